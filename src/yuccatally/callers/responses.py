"""Responses in the format of the OpenAI API, with the outcome."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from starlette import responses

from yuccatally.core.requests import outcomes

OUTCOME_HEADER = "Yuccatally-Outcome"

_STATUS = {
    outcomes.Reason.MALFORMED: 400,
    outcomes.Reason.UNAUTHENTICATED: 401,
    outcomes.Reason.NOT_FOUND: 404,
    outcomes.Reason.KEY_MISSING: 400,
    outcomes.Reason.KEY_IN_USE: 409,
    outcomes.Reason.KEY_EXPIRED: 400,
    outcomes.Reason.LIMITED: 429,
    outcomes.Reason.OVERLOADED: 503,
    outcomes.Reason.DEADLINE: 504,
    outcomes.Reason.UPSTREAM_FAILED: 502,
    outcomes.Reason.ANSWER_NOT_KEPT: 502,
    outcomes.Reason.INTERNAL: 500,
}
_DEFAULT_STATUS = 503
_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "invalid_request_error",
    409: "conflict_error",
    429: "rate_limit_error",
}


class MalformedError(Exception):
    """A header or the body of a request is invalid or not supported."""


def outcome_header(request: str, outcome: outcomes.Outcome) -> str:
    """Returns the value of the outcome header.

    >>> outcome_header("r1", outcomes.Outcome.NOT_RUN)
    'not-run; request=r1'
    """
    return f"{outcome}; request={request}"


def json_response(
    request: str,
    outcome: outcomes.Outcome,
    content: Any,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> responses.Response:
    """Returns a JSON response with the outcome header."""
    return responses.Response(
        msgspec.json.encode(content),
        status_code=status,
        media_type="application/json",
        headers={
            OUTCOME_HEADER: outcome_header(request, outcome),
            **(headers or {}),
        },
    )


def error_body(request: str, refusal: outcomes.Refusal) -> dict[str, Any]:
    """Returns an error in the format that the ``openai`` package expects."""
    status = http_status(refusal)
    return {
        "error": {
            "message": refusal.message,
            "type": _ERROR_TYPES.get(status, "server_error"),
            "param": None,
            "code": str(refusal.reason),
            "request": request,
            "outcome": str(refusal.outcome),
        }
    }


def refusal_response(
    request: str, refusal: outcomes.Refusal
) -> responses.Response:
    """Returns the error response for a refusal."""
    headers = {}
    if refusal.retry_after_s:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    if refusal.outcome is outcomes.Outcome.UNKNOWN:
        # The openai package retries failed requests by default. This request
        # may have run already.
        headers["x-should-retry"] = "false"
    return json_response(
        request,
        refusal.outcome,
        error_body(request, refusal),
        http_status(refusal),
        headers,
    )


def http_status(refusal: outcomes.Refusal) -> int:
    """Returns the HTTP status code of a refusal."""
    return _STATUS.get(refusal.reason, _DEFAULT_STATUS)


def sse_event(content: Any) -> bytes:
    """Encodes one server-sent event."""
    return b"data: " + msgspec.json.encode(content) + b"\n\n"
