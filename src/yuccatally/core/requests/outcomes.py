"""Outcomes of requests."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Outcome of a request as reported to the caller.

    ``IN_FLIGHT`` is used only in the header of a streamed answer, which is sent
    before the outcome is known.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    IN_FLIGHT = "in-flight"


class Reason(enum.StrEnum):
    """Reason why a request was not answered."""

    MALFORMED = "malformed"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not-found"
    NO_ROUTE = "no-route"
    OVERLOADED = "overloaded"
    LIMITED = "limited"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    KEY_MISSING = "key-missing"
    KEY_IN_USE = "key-in-use"
    KEY_EXPIRED = "key-expired"
    UPSTREAM_FAILED = "upstream-failed"
    ANSWER_NOT_KEPT = "answer-not-kept"
    CALLER_GONE = "caller-gone"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request that ends without an answer.

    Attributes:
        outcome: ``NOT_RUN`` or ``UNKNOWN``.
        reason: Machine-readable reason.
        message: Cause and remedy, for the caller.
        retry_after_s: Seconds after which to retry; 0 if a retry is of no use.
    """

    outcome: Outcome
    reason: Reason
    message: str
    retry_after_s: float = 0.0
