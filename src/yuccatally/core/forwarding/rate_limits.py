"""Request rates that upstreams accept from all instances together."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccatally.core.forwarding import suspicions

# Limits that are remembered. An upstream that gets no requests states nothing,
# so a limit has no lifetime of its own.
MAX_LIMIT_COUNT = 4096


@dataclasses.dataclass(frozen=True)
class Limit:
    """The latest statement of an upstream on its rate.

    Attributes:
        requests_per_s: Requests a second that it accepts from all instances
            together; None if it stated no limit.
        stated_at: Monotonic time of the statement, in seconds. A response
            without a limit counts from the time at which its request was sent.
    """

    requests_per_s: float | None
    stated_at: float


class LimitTable:
    """Limits of upstreams that this instance knows.

    Attributes:
        latest: Latest statement by incarnation, in the order in which the
            limits became known.
    """

    def __init__(self) -> None:
        self.latest: dict[suspicions.Incarnation, Limit] = {}

    def record(self, engine: suspicions.Incarnation, limit: Limit) -> bool:
        """Records a statement; returns whether the limit in force changed.

        Responses overtake each other. A response without a limit ends one only
        if its request was sent after the latest statement of the limit.
        """
        known = self.latest.get(engine)
        if known is None and limit.requests_per_s is None:
            return False
        if known is not None and limit.stated_at <= known.stated_at:
            return False
        self.latest[engine] = limit
        if len(self.latest) > MAX_LIMIT_COUNT:
            del self.latest[next(iter(self.latest))]
        return known is None or known.requests_per_s != limit.requests_per_s

    def rate(self, engine: suspicions.Incarnation) -> float | None:
        """Returns the limit in force in requests a second; None without one."""
        known = self.latest.get(engine)
        return known.requests_per_s if known is not None else None
