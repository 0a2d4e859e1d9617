"""Judgement of what upstreams answered, shared by streams and calls."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import attempts
from yuccatally.platform import headers as platform_headers

if TYPE_CHECKING:
    from yuccatally.forwarding import ticket as tickets
    from yuccatally.upstreams import exchange
    from yuccatally.upstreams import services

# Statuses with which an upstream can state that it did not run a request.
REFUSALS = frozenset({400, 429, 503})
MISDIRECTED = 421

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class Whole:
    """A whole answer of an upstream."""

    status: int
    headers: services.Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class Unusable:
    """An attempt that gave no answer to pass on, or only as a last resort.

    Attributes:
        failure: What happened.
        answer: The upstream's own failure, if it answered with one.
        faulty_address: Address of the engine at fault, if it was named.
    """

    failure: attempts.Failure
    answer: Whole | None = None
    faulty_address: str = ""


def judge_head(
    ticket: tickets.Ticket, answer: exchange.UpstreamResponse
) -> Unusable | None:
    """Returns why an answer cannot be for this request; None if it can."""
    echoed = answer.header(platform_headers.REQUEST_ID)
    if echoed != ticket.request.id:
        answer.discard_connection()
        return Unusable(attempts.NoResponse("answer of another request"))
    not_run = bool(answer.header(platform_headers.NOT_EXECUTED))
    if answer.status == MISDIRECTED or (not_run and answer.status in REFUSALS):
        return Unusable(
            attempts.Refused(answer.status),
            faulty_address=answer.header(platform_headers.FAULTY_ADDRESS),
        )
    signed = bool(answer.header(platform_headers.SIGNATURE))
    if 200 <= answer.status < 300 and not signed:
        answer.discard_connection()
        return Unusable(attempts.NoResponse("answer without signature"))
    return None


def judge(
    ticket: tickets.Ticket, answer: exchange.UpstreamResponse, body: bytes
) -> Whole | Unusable:
    """Returns what a whole answer means."""
    unusable = judge_head(ticket, answer)
    if unusable is not None:
        return unusable
    whole = Whole(answer.status, answer.headers, body)
    if answer.status >= 500:
        return Unusable(attempts.ErrorResponse(answer.status), whole)
    return whole


def reason(failure: attempts.Failure) -> str:
    """Returns a short reason for logs and clients."""
    match failure:
        case attempts.NotSent():
            return "upstream-unreachable"
        case attempts.Refused(status=status):
            return f"upstream-refused-{status}"
        case attempts.NoResponse(timed_out=True):
            return "upstream-silent"
        case attempts.NoResponse():
            return "upstream-lost"
        case attempts.ErrorResponse(status=status):
            return f"upstream-failed-{status}"


async def end(
    reply: tickets.Reply, step: attempts.NextAction, why: str
) -> None:
    """Ends a request with a status of this instance's own.

    An answer that has begun is left incomplete, so that its connection is
    closed and nobody takes it for whole.
    """
    if reply.started:
        reply.reason = why
        return
    match step:
        case attempts.Refuse(status=status, retry_after_s=retry_after_s):
            await reply.refuse(status, why, retry_after_s)
        case attempts.GiveUp(status=status):
            await reply.refuse(status, why)
        case _:
            await reply.refuse(502, why)


def log_failure(
    ticket: tickets.Ticket,
    upstream: str,
    failure: attempts.Failure,
    step: attempts.NextAction,
) -> None:
    """Logs a failed attempt and what follows."""
    _log.info(
        "attempt_failed",
        request=ticket.request.id,
        upstream=upstream,
        failure=reason(failure),
        detail=getattr(failure, "reason", ""),
        left_ms=round(ticket.left_s() * 1e3),
        next=type(step).__name__,
    )
