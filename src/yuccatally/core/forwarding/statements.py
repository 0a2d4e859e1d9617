"""What an upstream states about itself in its responses."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Leaving:
    """The upstream is shutting down and accepts no new requests."""


@dataclasses.dataclass(frozen=True)
class Pause:
    """The upstream refused a request and wants none of this instance.

    Attributes:
        duration_s: For how long, in seconds.
    """

    duration_s: float


@dataclasses.dataclass(frozen=True)
class Limit:
    """The upstream accepts a limited rate from all instances together.

    Attributes:
        requests_per_s: Requests a second; 0 or more.
    """

    requests_per_s: float


@dataclasses.dataclass(frozen=True)
class NoLimit:
    """The response to a request states no limit.

    Attributes:
        sent_at: Monotonic time at which the request was sent, in seconds.
    """

    sent_at: float


Statement = Leaving | Pause | Limit | NoLimit
