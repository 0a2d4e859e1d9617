"""Requests to plain services, answered whole."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import attempts
from yuccatally.forwarding import answers
from yuccatally.forwarding import retrying
from yuccatally.upstreams import exchange
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from yuccatally.core.forwarding import dispatch
    from yuccatally.forwarding import state
    from yuccatally.forwarding import ticket as tickets

# Longest answer that is held until it is whole.
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024


class CallForwarder:
    """Forwards requests that one upstream answers whole."""

    def __init__(
        self,
        node: state.State,
        client: exchange.UpstreamClient,
        on_failure: retrying.OnFailure,
    ) -> None:
        """Creates a forwarder; see ``streams.StreamForwarder``."""
        self.node = node
        self.client = client
        self.on_failure = on_failure

    async def run(self, ticket: tickets.Ticket, reply: tickets.Reply) -> None:
        """Forwards a request until an upstream answers or none is left."""
        progress = attempts.AttemptCounter()

        async def choose(tried: frozenset[str]) -> retrying.Choice:
            return retrying.choose(self.node, ticket, tried)

        async def attempt(path: dispatch.Path) -> answers.Unusable | None:
            result = await self._attempt(ticket, path, progress)
            if isinstance(result, answers.Unusable):
                return result
            await reply.whole(result.status, result.headers, result.body)
            return None

        await retrying.forward(
            self.node,
            ticket,
            reply,
            progress,
            choose,
            attempt,
            self.on_failure,
        )

    async def _attempt(
        self,
        ticket: tickets.Ticket,
        path: dispatch.Path,
        progress: attempts.AttemptCounter,
    ) -> answers.Whole | answers.Unusable:
        patience_s = self._patience_s(ticket, progress)
        if patience_s <= 0:
            return answers.Unusable(attempts.NotSent("deadline"))
        tokens = retrying.memory_tokens(ticket)
        self.node.dispatcher.record_start(path.name, tokens, time.monotonic())
        answer: exchange.UpstreamResponse | None = None
        try:
            async with asyncio.timeout(patience_s):
                answer = await self.client.open(
                    exchange.UpstreamRequest(
                        method=ticket.method,
                        address=path.hops[0].address,
                        target=ticket.target,
                        headers=ticket.outgoing(
                            ticket.request.last_event_id, path
                        ),
                        body=ticket.body,
                        read_timeout_s=patience_s,
                        new_connection=not ticket.route.repeat.may_run_again,
                    )
                )
                body = await answer.body(ANSWER_LIMIT_BYTES)
        except services.NotSentError as error:
            return answers.Unusable(attempts.NotSent(str(error)))
        except exchange.NoResponseError as error:
            return answers.Unusable(
                attempts.NoResponse(str(error), error.timed_out)
            )
        except TimeoutError:
            return answers.Unusable(
                attempts.NoResponse("no answer in time", True)
            )
        finally:
            if answer is not None:
                answer.close()
            self.node.dispatcher.record_end(path.name, tokens)
        return answers.judge(ticket, answer, body)

    def _patience_s(
        self, ticket: tickets.Ticket, progress: attempts.AttemptCounter
    ) -> float:
        """Returns how long an upstream may take.

        Half of a timeout is left for another upstream when the request can be
        sent to one; nearly all answers come within the objective.
        """
        left_s = ticket.left_s()
        route = ticket.route
        if (
            route.repeat.may_run_again
            and progress.run_count < route.max_attempts
        ):
            return min(left_s, max(route.objective_s, left_s / 2))
        return left_s
