"""Simulated clock that runs events in order of time."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock:
    """Simulated time with a queue of scheduled events.

    Attributes:
        now: Simulated time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.sequence_numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def call_after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Calls an action after a delay in seconds."""
        self.call_at(self.now + max(0.0, delay_s), action)

    def call_at(self, time_s: float, action: Callable[[], None]) -> None:
        """Calls an action at a time; ties run in the order of scheduling."""
        heapq.heappush(
            self.events, (time_s, next(self.sequence_numbers), action)
        )

    def call_every(self, period_s: float, action: Callable[[], None]) -> None:
        """Calls an action periodically, first after one period."""

        def run_and_reschedule() -> None:
            action()
            self.call_after(period_s, run_and_reschedule)

        self.call_after(period_s, run_and_reschedule)

    def run(self, until_s: float) -> None:
        """Runs all events that are due up to a time."""
        while self.events and self.events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until_s
