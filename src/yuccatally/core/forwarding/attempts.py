"""What follows when a request has failed at an upstream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.core.forwarding import rules

# When a refused caller should come back, in general.
RETRY_AFTER_S = 0.5
# A lost engine is replaced in two to three seconds: the time to find it and to
# load its layers elsewhere.
REPAIR_S = 3.0
# A burst lasts some seconds, and an answer takes about four.
ROOM_S = 2.0
# Callers that were refused together come back apart, by this share.
SPREAD_SHARE = 0.4
# Callers heed no longer time than this share of what they have left.
HEEDED_SHARE = 1 / 3
# With less time left, another attempt could not deliver anything.
LEAST_TIME_S = 0.05


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte reached an upstream."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """The upstream stated that it did not run the request."""

    status: int


@dataclasses.dataclass(frozen=True)
class NoResponse:
    """The request may have run, and no usable answer came."""

    reason: str
    timed_out: bool = False


@dataclasses.dataclass(frozen=True)
class ErrorResponse:
    """The upstream answered with a failure of its own."""

    status: int


Failure = NotSent | Refused | NoResponse | ErrorResponse


@dataclasses.dataclass(frozen=True)
class SendAgain:
    """Send the request to another upstream."""


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Refuse the request; it has not run and never will.

    Attributes:
        status: HTTP status that promises this.
        retry_after_s: When the caller should come back.
    """

    status: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """End with a status that promises nothing."""

    status: int


@dataclasses.dataclass(frozen=True)
class PassOn:
    """Hand the upstream's own failure to the caller."""


NextAction = SendAgain | Refuse | GiveUp | PassOn


@dataclasses.dataclass
class AttemptCounter:
    """What has happened to one request.

    Attributes:
        run_count: Upstreams that ran it or may have run it.
    """

    run_count: int = 0

    def record_start(self) -> None:
        """Counts an attempt, which may run until the contrary is known."""
        self.run_count += 1

    def record_failure(self, failure: Failure) -> None:
        """Takes an attempt back that did not run."""
        match failure:
            case NotSent() | Refused():
                self.run_count -= 1
            case NoResponse() | ErrorResponse():
                pass


def next_action(
    failure: Failure,
    progress: AttemptCounter,
    route: rules.Route,
    left_s: float,
    withdraw: Callable[[], bool],
) -> NextAction:
    """Returns what follows a failure.

    Args:
        failure: What happened.
        progress: State of the request, with this failure counted.
        route: Route of the request.
        left_s: Time to the caller's deadline or the route's timeout.
        withdraw: Takes one repeated send from the budget if it allows that.
    """
    match failure:
        case NotSent() | Refused():
            # Nothing ran, so any request may be sent again.
            allowed = progress.run_count == 0 or route.repeat.may_run_again
        case NoResponse() | ErrorResponse():
            allowed = (
                route.repeat.may_run_again
                and progress.run_count < route.max_attempts
            )
    if allowed and left_s > LEAST_TIME_S and withdraw():
        return SendAgain()
    match failure:
        case ErrorResponse():
            return PassOn()
        case NoResponse(timed_out=True):
            return GiveUp(504)
        case NoResponse():
            return GiveUp(502)
        case _:
            return refuse_or_give_up(progress)


def refuse_or_give_up(
    progress: AttemptCounter, after_s: float = RETRY_AFTER_S
) -> Refuse | GiveUp:
    """Returns the end of a request that no further upstream takes."""
    if progress.run_count:
        return GiveUp(502)
    return Refuse(503, after_s)


def retry_delay_s(full: bool, left_s: float, uniform: float) -> float:
    """Returns when a refused caller should come back, in seconds.

    Load pattern: a pipeline is lost at the peak and hundreds of callers are
    refused within a second. Most of them ask only once more, so they are told
    a time at which the cause has passed, and not all the same.

    Args:
        full: Whether there are paths, all of them full.
        left_s: Time for which the caller goes on waiting.
        uniform: Random number from 0 to 1.

    >>> retry_delay_s(full=False, left_s=20.0, uniform=0.5)
    3.0
    >>> retry_delay_s(full=False, left_s=1.5, uniform=0.5)
    0.5
    """
    usual_s = ROOM_S if full else REPAIR_S
    spread_s = usual_s * (1 + SPREAD_SHARE * (2 * uniform - 1))
    return round(max(0.0, min(spread_s, HEEDED_SHARE * left_s)), 3)
