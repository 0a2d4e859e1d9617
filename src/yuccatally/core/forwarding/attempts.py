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
class Lost:
    """The request may have run, and no usable answer came."""

    reason: str
    timed_out: bool = False


@dataclasses.dataclass(frozen=True)
class Failed:
    """The upstream answered with a failure of its own."""

    status: int


Failure = NotSent | Refused | Lost | Failed


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


Next = SendAgain | Refuse | GiveUp | PassOn


@dataclasses.dataclass
class Progress:
    """What has happened to one request.

    Attributes:
        ran: Upstreams that ran it or may have run it.
    """

    ran: int = 0

    def start(self) -> None:
        """Counts an attempt, which may run until the contrary is known."""
        self.ran += 1

    def settle(self, failure: Failure) -> None:
        """Takes an attempt back that did not run."""
        match failure:
            case NotSent() | Refused():
                self.ran -= 1
            case Lost() | Failed():
                pass


def after(
    failure: Failure,
    progress: Progress,
    route: rules.Route,
    left_s: float,
    withdraw: Callable[[], bool],
) -> Next:
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
            allowed = progress.ran == 0 or route.repeat.may_run_again
        case Lost() | Failed():
            allowed = (
                route.repeat.may_run_again and progress.ran < route.attempts
            )
    if allowed and left_s > LEAST_TIME_S and withdraw():
        return SendAgain()
    match failure:
        case Failed():
            return PassOn()
        case Lost(timed_out=True):
            return GiveUp(504)
        case Lost():
            return GiveUp(502)
        case _:
            return not_run(progress)


def not_run(
    progress: Progress, after_s: float = RETRY_AFTER_S
) -> Refuse | GiveUp:
    """Returns the end of a request that no further upstream takes."""
    if progress.ran:
        return GiveUp(502)
    return Refuse(503, after_s)


def retry_after_s(full: bool, left_s: float, uniform: float) -> float:
    """Returns when a refused caller should come back, in seconds.

    Load pattern: a pipeline is lost at the peak and hundreds of callers are
    refused within a second. Most of them ask only once more, so they are told
    a time at which the cause has passed, and not all the same.

    Args:
        full: Whether there are paths, all of them full.
        left_s: Time for which the caller goes on waiting.
        uniform: Random number from 0 to 1.

    >>> retry_after_s(full=False, left_s=20.0, uniform=0.5)
    3.0
    >>> retry_after_s(full=False, left_s=1.5, uniform=0.5)
    0.5
    """
    usual_s = ROOM_S if full else REPAIR_S
    spread_s = usual_s * (1 + SPREAD_SHARE * (2 * uniform - 1))
    return round(max(0.0, min(spread_s, HEEDED_SHARE * left_s)), 3)
