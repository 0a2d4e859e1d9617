"""What instances tell each other about the pace of servers."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccatally.core.forwarding import pace

# Entries of one message; the latest changes are sent first.
MAX_SHARED_COUNT = 64
# A release is passed on for this long after it, several times the time in which
# it reaches all instances.
RELEASED_TTL_S = 5.0
# Messages share the same entries for this long, far below the time that they
# take themselves.
PREPARED_TTL_S = 0.02
# Largest plausible number of requests, falls or growths.
MAX_COUNT = 1_000_000


class SharedPace(msgspec.Struct, array_like=True, frozen=True):
    """The pace of one server in a message.

    Attributes:
        server: Name of the upstream or path.
        incarnation: Identifies its processes, see ``pace.Server``.
        limit: Outstanding requests of all instances; 0 if it is released.
        falls: Number of falls of the limit.
        growths: Number of growths since the last fall.
        age_s: Time since the last change, in seconds. A message that is passed
            on doesn't renew it.
    """

    server: str
    incarnation: int
    limit: int
    falls: int
    growths: int
    age_s: float


class Encoder:
    """Encodes the pace of servers for messages.

    Load pattern: a relay sends hundreds of messages a second while thousands
    of servers are paced. The messages share what has been prepared.

    Attributes:
        prepared: Entries as last returned.
        prepared_at: Time at which they were prepared.
    """

    def __init__(self) -> None:
        self.prepared: tuple[SharedPace, ...] = ()
        self.prepared_at = -math.inf

    def encode(
        self,
        paces: Mapping[str, pace.Pace],
        past: Mapping[str, pace.Pace],
        now: float,
    ) -> tuple[SharedPace, ...]:
        """Returns the entries of the latest changes."""
        if now - self.prepared_at < PREPARED_TTL_S:
            return self.prepared
        released = (
            (n, p)
            for n, p in past.items()
            if not p.limit and now - p.changed_at < RELEASED_TTL_S
        )
        latest = heapq.nlargest(
            MAX_SHARED_COUNT,
            (*paces.items(), *released),
            key=lambda item: item[1].changed_at,
        )
        self.prepared = tuple(
            SharedPace(
                name,
                p.incarnation,
                p.limit,
                p.falls,
                p.growths,
                max(0.0, now - p.changed_at),
            )
            for name, p in latest
        )
        self.prepared_at = now
        return self.prepared


def is_valid(received: SharedPace, max_age_s: float) -> bool:
    """Returns whether the figures of an entry are plausible and recent."""
    counts = (received.limit, received.falls, received.growths)
    return all(0 <= c <= MAX_COUNT for c in counts) and (
        0.0 <= received.age_s <= max_age_s
    )
