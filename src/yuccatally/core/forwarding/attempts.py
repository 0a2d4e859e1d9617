"""What follows when a request has failed at an upstream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.core.forwarding import rules

# Callers come back after this time: a lost engine is replaced in about two
# seconds, and other pipelines have room as soon as answers end.
RETRY_AFTER_S = 0.5
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
        arrived: Whether any upstream was reached.
    """

    ran: int = 0
    arrived: bool = False


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


def not_run(progress: Progress) -> Refuse | GiveUp:
    """Returns the end of a request that no further upstream takes."""
    if progress.ran:
        return GiveUp(502)
    return Refuse(503, RETRY_AFTER_S)
