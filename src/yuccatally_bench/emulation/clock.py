"""Events in the order of their time."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock:
    """Simulated time and what is to happen.

    Attributes:
        now: Simulated time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.order = itertools.count()
        self.waiting: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Calls an action after a delay in seconds."""
        self.at(self.now + max(0.0, delay_s), action)

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Calls an action at a time, in the order of the calls."""
        heapq.heappush(self.waiting, (time_s, next(self.order), action))

    def every(self, period_s: float, action: Callable[[], None]) -> None:
        """Calls an action again and again, first after one period."""

        def again() -> None:
            action()
            self.after(period_s, again)

        self.after(period_s, again)

    def run(self, until_s: float) -> None:
        """Runs what is due until a time."""
        while self.waiting and self.waiting[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self.waiting)
            action()
        self.now = until_s
