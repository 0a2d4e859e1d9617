"""Validation of upstream responses, shared by streams and calls."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import marks
from yuccatally.platform import headers as platform_headers

if TYPE_CHECKING:
    from yuccatally.core.forwarding import dispatch
    from yuccatally.forwarding import request_context
    from yuccatally.upstreams import exchange
    from yuccatally.upstreams import services

# Statuses with which an upstream can state that it did not execute a request.
REFUSAL_STATUSES = frozenset({400, 429, 503})
MISDIRECTED_STATUS = 421

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class CompleteResponse:
    """A complete response of an upstream."""

    status: int
    headers: services.Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """An attempt without a successful response.

    Attributes:
        failure: Kind of the failure.
        response: Error response of the upstream, if there is one. It is passed
            on only if the request cannot be sent again.
        faulty_address: Address of the engine at fault, if the upstream named
            one.
    """

    failure: attempts.Failure
    response: CompleteResponse | None = None
    faulty_address: str = ""


def check_headers(
    context: request_context.RequestContext, response: exchange.UpstreamResponse
) -> FailedAttempt | None:
    """Checks whether the headers of a response fit the request.

    Returns:
        The failed attempt if the response is a refusal or does not belong to
        the request, else None.
    """
    echoed = response.header(platform_headers.REQUEST_ID)
    if echoed != context.request.id:
        response.discard_connection()
        return FailedAttempt(attempts.NoResponse("response to another request"))
    not_executed = bool(response.header(platform_headers.NOT_EXECUTED))
    if response.status == MISDIRECTED_STATUS or (
        not_executed and response.status in REFUSAL_STATUSES
    ):
        return FailedAttempt(
            attempts.Refused(response.status),
            faulty_address=response.header(platform_headers.FAULTY_ADDRESS),
        )
    signed = bool(response.header(platform_headers.SIGNATURE))
    if 200 <= response.status < 300 and not signed:
        response.discard_connection()
        return FailedAttempt(attempts.NoResponse("response without signature"))
    return None


def check_response(
    context: request_context.RequestContext,
    response: exchange.UpstreamResponse,
    body: bytes,
) -> CompleteResponse | FailedAttempt:
    """Returns a complete response, or the failed attempt if it is an error."""
    failed = check_headers(context, response)
    if failed is not None:
        return failed
    complete = CompleteResponse(response.status, response.headers, body)
    if response.status >= 500:
        return FailedAttempt(attempts.ErrorResponse(response.status), complete)
    return complete


def failure_reason(failure: attempts.Failure) -> str:
    """Returns a short reason for logs and client responses."""
    match failure:
        case attempts.NotSent():
            return "upstream-unreachable"
        case attempts.Refused(status=status):
            return f"upstream-refused-{status}"
        case attempts.NoResponse(timed_out=True):
            return "upstream-silent"
        case attempts.Withdrawn(reason=reason):
            return reason
        case attempts.NoResponse():
            return "upstream-lost"
        case attempts.ErrorResponse(status=status):
            return f"upstream-failed-{status}"


async def end_request(
    writer: request_context.ResponseWriter,
    action: attempts.NextAction,
    reason: str,
) -> None:
    """Ends a request with a status of this instance.

    A response that has started is left incomplete, so that its connection is
    closed and the client does not treat it as complete.
    """
    if writer.started:
        writer.reason = reason
        return
    match action:
        case attempts.Refuse(status=status, retry_after_s=retry_after_s):
            await writer.send_error(status, reason, retry_after_s)
        case attempts.GiveUp(status=status):
            await writer.send_error(status, reason)
        case _:
            await writer.send_error(502, reason)


def log_failure(
    context: request_context.RequestContext,
    path: dispatch.Path,
    failure: attempts.Failure,
    action: attempts.NextAction,
    event_count: int,
    has_open_run: bool,
) -> None:
    """Logs a failed attempt and the next action.

    Args:
        context: The request.
        path: Path of the attempt.
        failure: How the attempt failed.
        action: What follows.
        event_count: Number of events that the attempt received.
        has_open_run: Whether a run of the request may still answer.
    """
    _log.info(
        "attempt_failed",
        request=context.request.id,
        upstream=path.name,
        engine=path.hops[0].name,
        failure=failure_reason(failure),
        detail=getattr(failure, "reason", ""),
        events=event_count,
        parts=",".join(context.request.shared_parts),
        fingerprint=marks.fingerprint_of(context.marks),
        left_ms=round(context.remaining_s() * 1e3),
        next=_name_next(action, has_open_run),
    )


def _name_next(action: attempts.NextAction, has_open_run: bool) -> str:
    if has_open_run and not isinstance(action, attempts.SendAgain):
        return "Wait"
    return type(action).__name__
