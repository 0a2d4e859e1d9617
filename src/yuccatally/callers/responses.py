"""Answers in the shape that callers of language models expect."""

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
_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "invalid_request_error",
    409: "conflict_error",
    429: "rate_limit_error",
}


class MalformedError(Exception):
    """A header or the body of a request cannot be served."""


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
    """Returns a JSON answer with the outcome header."""
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
    """Returns an error in the shape of the ``openai`` client package."""
    status = http_status(refusal)
    return {
        "error": {
            "message": refusal.message,
            "type": _TYPES.get(status, "server_error"),
            "param": None,
            "code": str(refusal.reason),
            "request": request,
            "outcome": str(refusal.outcome),
        }
    }


def refusal_response(
    request: str, refusal: outcomes.Refusal
) -> responses.Response:
    """Returns the answer for a refusal."""
    headers = {}
    if refusal.retry_after_s:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    if refusal.outcome is outcomes.Outcome.UNKNOWN:
        # The openai package sends a failed request again unless told not to.
        headers["x-should-retry"] = "false"
    return json_response(
        request,
        refusal.outcome,
        error_body(request, refusal),
        http_status(refusal),
        headers,
    )


def http_status(refusal: outcomes.Refusal) -> int:
    """Returns the HTTP status of a refusal."""
    return _STATUS.get(refusal.reason, _DEFAULT_STATUS)


def sse_event(content: Any) -> bytes:
    """Returns one server-sent event."""
    return b"data: " + msgspec.json.encode(content) + b"\n\n"
