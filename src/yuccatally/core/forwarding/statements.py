"""What an upstream states about itself in its responses."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Leaving:
    """The upstream is shutting down and accepts no new requests."""


Statement = Leaving
