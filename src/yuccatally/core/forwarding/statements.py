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


Statement = Leaving | Pause
