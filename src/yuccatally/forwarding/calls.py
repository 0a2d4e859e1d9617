"""Requests to plain services, answered whole."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch
from yuccatally.forwarding import answers
from yuccatally.upstreams import exchange
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import state
    from yuccatally.forwarding import ticket as tickets

# Longest answer that is held until it is whole.
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
# An upstream that could not be reached is left alone for this long.
UNREACHABLE_S = 1.0

_log = structlog.get_logger()


class CallForwarder:
    """Forwards requests that one upstream answers whole."""

    def __init__(
        self, node: state.State, client: exchange.ExchangeClient
    ) -> None:
        self.node = node
        self.client = client

    async def run(self, ticket: tickets.Ticket, reply: tickets.Reply) -> None:
        """Forwards a request until an upstream answers or none is left."""
        progress = attempts.Progress()
        budget = self.node.budget(ticket.service.name)
        budget.on_request(time.monotonic())
        tried: frozenset[str] = frozenset()
        while True:
            now = time.monotonic()
            found = self.node.dispatcher.upstream(
                self.node.registry.of(ticket.service.name), tried, now
            )
            if isinstance(found, dispatch.Nothing):
                await answers.end(
                    reply, attempts.not_run(progress), "no-upstream"
                )
                return
            tried |= {found.name}
            reply.attempts += 1
            reply.upstream = found.name
            result = await self._attempt(ticket, found, len(tried) == 1)
            if isinstance(result, answers.Whole):
                await reply.whole(result.status, result.headers, result.body)
                return
            answers.count(progress, result.failure)
            step = attempts.after(
                result.failure,
                progress,
                ticket.route,
                ticket.left_s(),
                lambda: budget.withdraw(time.monotonic(), self.node.instances),
            )
            answers.log_failure(ticket, found.name, result.failure, step)
            if isinstance(step, attempts.SendAgain):
                continue
            if isinstance(step, attempts.PassOn) and result.answer is not None:
                answer = result.answer
                await reply.whole(answer.status, answer.headers, answer.body)
                return
            await answers.end(reply, step, answers.reason(result.failure))
            return

    async def _attempt(
        self, ticket: tickets.Ticket, found: upstreams.Upstream, first: bool
    ) -> answers.Whole | answers.Unusable:
        left_s = ticket.left_s()
        if left_s <= 0:
            return answers.Unusable(attempts.NotSent("deadline"))
        repeatable = ticket.route.repeat.may_run_again
        patience_s = left_s
        if repeatable and first and ticket.route.attempts > 1:
            # Half of a timeout is left for another upstream when the first
            # one is silent; nearly all answers come within the objective.
            patience_s = min(left_s, max(ticket.route.objective_s, left_s / 2))
        self.node.dispatcher.start(found.name, 0.0, time.monotonic())
        answer: exchange.Answer | None = None
        try:
            async with asyncio.timeout(patience_s):
                answer = await self.client.open(
                    exchange.Exchange(
                        method=ticket.method,
                        address=found.address,
                        target=ticket.target,
                        headers=ticket.outgoing(found.name, "", None),
                        body=ticket.body,
                        silence_s=patience_s,
                        fresh=not repeatable,
                    )
                )
                body = await answer.body(ANSWER_LIMIT_BYTES)
        except services.NotSentError as error:
            self.node.avoid(found, UNREACHABLE_S, str(error))
            return answers.Unusable(attempts.NotSent(str(error)))
        except exchange.LostError as error:
            return answers.Unusable(attempts.Lost(str(error), error.timed_out))
        except TimeoutError:
            return answers.Unusable(attempts.Lost("no answer in time", True))
        finally:
            if answer is not None:
                answer.close()
            self.node.dispatcher.finish(found.name, 0.0)
        return answers.judge(ticket, answer, body)
