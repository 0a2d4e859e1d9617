"""Judgement of what upstreams answered, shared by streams and calls."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import attempts
from yuccatally.platform import headers as platform_headers

if TYPE_CHECKING:
    from yuccatally.forwarding import request_context
    from yuccatally.upstreams import exchange
    from yuccatally.upstreams import services

# Statuses with which an upstream can state that it did not run a request.
REFUSAL_STATUSES = frozenset({400, 429, 503})
MISDIRECTED_STATUS = 421

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class CompleteResponse:
    """A whole answer of an upstream."""

    status: int
    headers: services.Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """An attempt that gave no answer to pass on, or only as a last resort.

    Attributes:
        failure: What happened.
        answer: The upstream's own failure, if it answered with one.
        faulty_address: Address of the engine at fault, if it was named.
    """

    failure: attempts.Failure
    response: CompleteResponse | None = None
    faulty_address: str = ""


def check_headers(
    context: request_context.RequestContext, response: exchange.UpstreamResponse
) -> FailedAttempt | None:
    """Returns why an answer cannot be for this request; None if it can."""
    echoed = response.header(platform_headers.REQUEST_ID)
    if echoed != context.request.id:
        response.discard_connection()
        return FailedAttempt(attempts.NoResponse("answer of another request"))
    not_run = bool(response.header(platform_headers.NOT_EXECUTED))
    if response.status == MISDIRECTED_STATUS or (
        not_run and response.status in REFUSAL_STATUSES
    ):
        return FailedAttempt(
            attempts.Refused(response.status),
            faulty_address=response.header(platform_headers.FAULTY_ADDRESS),
        )
    signed = bool(response.header(platform_headers.SIGNATURE))
    if 200 <= response.status < 300 and not signed:
        response.discard_connection()
        return FailedAttempt(attempts.NoResponse("answer without signature"))
    return None


def check_response(
    context: request_context.RequestContext,
    response: exchange.UpstreamResponse,
    body: bytes,
) -> CompleteResponse | FailedAttempt:
    """Returns what a whole answer means."""
    unusable = check_headers(context, response)
    if unusable is not None:
        return unusable
    complete = CompleteResponse(response.status, response.headers, body)
    if response.status >= 500:
        return FailedAttempt(attempts.ErrorResponse(response.status), complete)
    return complete


def failure_reason(failure: attempts.Failure) -> str:
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


async def end_request(
    writer: request_context.ResponseWriter, step: attempts.NextAction, why: str
) -> None:
    """Ends a request with a status of this instance's own.

    An answer that has begun is left incomplete, so that its connection is
    closed and nobody takes it for whole.
    """
    if writer.started:
        writer.reason = why
        return
    match step:
        case attempts.Refuse(status=status, retry_after_s=retry_after_s):
            await writer.send_error(status, why, retry_after_s)
        case attempts.GiveUp(status=status):
            await writer.send_error(status, why)
        case _:
            await writer.send_error(502, why)


def log_failure(
    context: request_context.RequestContext,
    upstream: str,
    failure: attempts.Failure,
    step: attempts.NextAction,
) -> None:
    """Logs a failed attempt and what follows."""
    _log.info(
        "attempt_failed",
        request=context.request.id,
        upstream=upstream,
        failure=failure_reason(failure),
        detail=getattr(failure, "reason", ""),
        left_ms=round(context.remaining_s() * 1e3),
        next=type(step).__name__,
    )
