"""Requests that ask for room, and what was decided on them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccatally.core.admission import fairqueue

LOWEST_PRIORITY = 9


class Reason(enum.StrEnum):
    """Why a request was refused."""

    FULL = "full"
    TOO_LATE = "too-late"
    SHED = "shed"


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request is refused and has not been sent.

    Attributes:
        reason: Short reason for the caller and the log.
        retry_after_s: Delay after which the caller should return.
    """

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class ShedRequest:
    """A request that was refused after it had waited."""

    request: str
    refusal: Refused


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request without a path.

    Attributes:
        request: Unique name of the request.
        account: Client account; empty for none.
        priority: Priority; 0 is the most urgent.
        tokens: Expected memory use, in tokens; 0 for plain services.
        received_at: Monotonic time of its arrival, in seconds.
        objective_s: Target for the time to its answer or first event.
        patience_s: Time after which its caller leaves without an event.
        deadline: Monotonic time at which it ends in any case, in seconds.
        fingerprint: Mark that the repeats of the request share.
        weight: Weight of the account.
    """

    request: str
    account: str
    priority: int
    tokens: float
    received_at: float
    objective_s: float
    patience_s: float
    deadline: float
    fingerprint: str
    weight: int = 1

    @property
    def urgency(self) -> int:
        """Class of the request."""
        return min(max(0, self.priority), LOWEST_PRIORITY)


@dataclasses.dataclass(frozen=True)
class Queued:
    """The request waits.

    Attributes:
        request: Its unique name.
        until: Latest start at which its answer is of use to its caller.
        shed: Waiting request that was refused to make room for it.
    """

    request: str
    until: float
    shed: ShedRequest | None = None


@dataclasses.dataclass(frozen=True)
class WaitingWork:
    """Requests that wait, and their tokens."""

    requests: int
    tokens: float


@dataclasses.dataclass(frozen=True)
class ClassStatus:
    """Waiting requests of one class.

    Attributes:
        urgency: The class.
        requests: Number of waiting requests.
        longest_wait_s: Time for which the oldest of them has waited.
    """

    urgency: int
    requests: int
    longest_wait_s: float


@dataclasses.dataclass(frozen=True)
class Waiting:
    """A request that waits.

    Attributes:
        arrival: The request.
        item: Its entry in the queue.
        until: Latest start at which its answer is of use to its caller.
    """

    arrival: Arrival
    item: fairqueue.QueuedRequest
    until: float
