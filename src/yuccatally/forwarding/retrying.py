"""Attempts of one request, one after the other, until it ends."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch
from yuccatally.forwarding import answers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccatally.forwarding import state
    from yuccatally.forwarding import ticket as tickets

    Choice = dispatch.Path | dispatch.Full | dispatch.Nothing
    Choose = Callable[[frozenset[str]], Awaitable[Choice]]
    # Delivers an answer and returns None, or returns what went wrong.
    Attempt = Callable[[dispatch.Path], Awaitable[answers.Unusable | None]]
    OnFailure = Callable[[dispatch.Path, answers.Unusable], None]


async def forward(
    node: state.State,
    ticket: tickets.Ticket,
    reply: tickets.Reply,
    progress: attempts.AttemptCounter,
    choose: Choose,
    attempt: Attempt,
    on_failure: OnFailure,
) -> None:
    """Sends a request until it is answered or must end.

    Args:
        node: Shared state.
        ticket: The request.
        reply: Its answer.
        progress: What has happened to it; kept up to date.
        choose: Chooses a path, given the names of those that were tried.
        attempt: Sends the request over a path.
        on_failure: Called when an attempt has failed.
    """
    budget = node.budget(ticket.service.name)
    budget.record_request(time.monotonic())
    tried: frozenset[str] = frozenset()
    while True:
        with node.spans.hop("choose", ticket.request.id) as hop:
            path = await choose(tried)
            hop.set_attribute("ended", type(path).__name__.lower())
        if not isinstance(path, dispatch.Path):
            await _end_without_path(node, ticket, reply, progress, path)
            return
        tried |= {path.name}
        reply.attempts += 1
        reply.upstream = path.name
        progress.record_start()
        with node.spans.hop(
            "attempt",
            ticket.request.id,
            number=reply.attempts,
            path=path.name,
            upstreams=",".join(h.name for h in path.hops),
        ) as hop:
            result = await attempt(path)
            hop.set_attribute("events", reply.events)
            hop.set_attribute("ended", _ended(result))
        if result is None:
            return
        progress.record_failure(result.failure)
        on_failure(path, result)
        step = attempts.next_action(
            result.failure,
            progress,
            ticket.route,
            ticket.left_s(),
            lambda: budget.try_spend(time.monotonic(), node.instances),
        )
        answers.log_failure(ticket, path.name, result.failure, step)
        if isinstance(step, attempts.SendAgain):
            continue
        passed_on = result.answer if isinstance(step, attempts.PassOn) else None
        if passed_on is not None and not reply.started:
            await reply.whole(
                passed_on.status, passed_on.headers, passed_on.body
            )
        else:
            await answers.end(reply, step, answers.reason(result.failure))
        return


def _ended(result: answers.Unusable | None) -> str:
    return "whole" if result is None else answers.reason(result.failure)


def choose(
    node: state.State, ticket: tickets.Ticket, tried: frozenset[str]
) -> Choice:
    """Returns the path for the next attempt of a request.

    A plain upstream is a path of its own.
    """
    now = time.monotonic()
    if ticket.service.model is not None:
        return node.dispatcher.choose_path(
            node.paths(ticket.service), memory_tokens(ticket), tried, now
        )
    return node.dispatcher.choose_upstream(
        node.registry.usable_of(ticket.service.name), tried, now
    )


def memory_tokens(ticket: tickets.Ticket) -> float:
    """Returns the tokens that a request is expected to hold."""
    model = ticket.service.model
    if model is None:
        return 0.0
    return ticket.request.memory_tokens(model.answer_tokens)


async def _end_without_path(
    node: state.State,
    ticket: tickets.Ticket,
    reply: tickets.Reply,
    progress: attempts.AttemptCounter,
    found: dispatch.Full | dispatch.Nothing,
) -> None:
    full = isinstance(found, dispatch.Full)
    after_s = attempts.retry_delay_s(full, ticket.left_s(), node.rng.random())
    step = attempts.refuse_or_give_up(progress, after_s)
    await answers.end(reply, step, "full" if full else "no-path")
