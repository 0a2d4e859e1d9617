"""Decisions after a failed attempt to forward a request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.core.forwarding import rules

# Default of the Retry-After header of refusals.
RETRY_AFTER_S = 0.5
# A failed engine is replaced within two to three seconds: its failure is
# detected and its layers are loaded on another engine.
REPAIR_RETRY_AFTER_S = 3.0
# A burst lasts a few seconds, and an answer takes about four.
CAPACITY_RETRY_AFTER_S = 2.0
# Spreads the retries of callers that were refused at the same time.
RETRY_JITTER_RATIO = 0.4
# Callers ignore a Retry-After that exceeds this part of their remaining time.
MAX_REMAINING_RATIO = 1 / 3
# With less remaining time, another attempt cannot deliver an answer.
MIN_ATTEMPT_S = 0.05


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte of the request reached an upstream."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """The upstream reported that it did not execute the request."""

    status: int


@dataclasses.dataclass(frozen=True)
class NoResponse:
    """The request may have been executed, but no usable response arrived."""

    reason: str
    timed_out: bool = False


@dataclasses.dataclass(frozen=True)
class ErrorResponse:
    """The upstream answered with an error status."""

    status: int


@dataclasses.dataclass(frozen=True)
class Withdrawn:
    """This instance ended the attempt, which may have been executed."""

    reason: str


Failure = NotSent | Refused | NoResponse | ErrorResponse | Withdrawn


@dataclasses.dataclass(frozen=True)
class SendAgain:
    """Retries the request at another upstream."""


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Refuses the request, which has not been and will not be executed.

    Attributes:
        status: HTTP status that guarantees this to the caller.
        retry_after_s: Delay after which the caller should retry.
    """

    status: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Ends with a status that leaves open whether the request was executed."""

    status: int


@dataclasses.dataclass(frozen=True)
class PassOn:
    """Relays the error response of the upstream to the caller."""


NextAction = SendAgain | Refuse | GiveUp | PassOn


@dataclasses.dataclass
class AttemptCounter:
    """Counts the attempts of one request that may have been executed.

    Attributes:
        run_count: Number of upstreams that executed or may have executed it.
        start_count: Number of attempts in all.
    """

    run_count: int = 0
    start_count: int = 0

    @property
    def is_retry(self) -> bool:
        """Whether the latest attempt is not the first."""
        return self.start_count > 1

    def record_start(self) -> None:
        """Counts an attempt as possibly executed."""
        self.run_count += 1
        self.start_count += 1

    def record_failure(self, failure: Failure) -> None:
        """Uncounts the attempt if it was certainly not executed."""
        match failure:
            case NotSent() | Refused():
                self.run_count -= 1
            case NoResponse() | ErrorResponse() | Withdrawn():
                pass


def next_action(
    failure: Failure,
    counter: AttemptCounter,
    route: rules.Route,
    remaining_s: float,
    spend_retry: Callable[[], bool],
) -> NextAction:
    """Returns the action that follows a failed attempt.

    Args:
        failure: Failure of the latest attempt.
        counter: Attempts of the request, this failure included.
        route: Route of the request.
        remaining_s: Time to the caller's deadline or the route's timeout.
        spend_retry: Takes one retry from the budget; returns whether the
            budget allows it.
    """
    match failure:
        case NotSent() | Refused():
            # Not executed, so a retry is safe for any request.
            allowed = counter.run_count == 0 or route.repeat.may_run_again
        case NoResponse() | ErrorResponse():
            allowed = (
                route.repeat.may_run_again
                and counter.run_count < route.max_attempts
            )
        case Withdrawn():
            allowed = False
    if allowed and remaining_s > MIN_ATTEMPT_S and spend_retry():
        return SendAgain()
    return final_action(failure, counter)


def final_action(failure: Failure, counter: AttemptCounter) -> NextAction:
    """Returns the action that ends a request after a failed attempt.

    Args:
        failure: Failure of the latest attempt.
        counter: Attempts of the request, this failure included.
    """
    match failure:
        case ErrorResponse():
            return PassOn()
        case NoResponse(timed_out=True):
            return GiveUp(504)
        case NoResponse() | Withdrawn():
            return GiveUp(502)
        case _:
            return refuse_or_give_up(counter)


def refuse_or_give_up(
    counter: AttemptCounter, retry_after_s: float = RETRY_AFTER_S
) -> Refuse | GiveUp:
    """Returns the final action for a request that cannot be retried."""
    if counter.run_count:
        return GiveUp(502)
    return Refuse(503, retry_after_s)


def retry_delay_s(
    full: bool, remaining_s: float, uniform: float, pause_s: float = 0.0
) -> float:
    """Returns the time after which a refused caller should retry, in seconds.

    Load pattern: a pipeline fails at peak load and hundreds of callers are
    refused within a second. Most of them retry only once, so the delay lasts
    until the cause has passed, and it is jittered.

    Args:
        full: Whether paths exist but have no capacity.
        remaining_s: Time until the caller stops waiting.
        uniform: Random number from 0 to 1.
        pause_s: Time until the first upstream that asked for a pause accepts
            requests again; 0 if none did.

    >>> retry_delay_s(full=False, remaining_s=20.0, uniform=0.5)
    3.0
    >>> retry_delay_s(full=False, remaining_s=1.5, uniform=0.5)
    0.5
    """
    base_s = CAPACITY_RETRY_AFTER_S if full else REPAIR_RETRY_AFTER_S
    if pause_s > 0 and not full:
        base_s = pause_s / (1 - RETRY_JITTER_RATIO)
    jittered_s = base_s * (1 + RETRY_JITTER_RATIO * (2 * uniform - 1))
    return round(
        max(0.0, min(jittered_s, MAX_REMAINING_RATIO * remaining_s)), 3
    )
