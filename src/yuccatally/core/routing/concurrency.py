"""Adaptive bound on the sequences that one instance has on an engine."""

from __future__ import annotations

import math

FIRST_LIMIT = 8.0
RESTART_LIMIT = 2.0
LEAST_LIMIT = 1.0
# An engine does its highest rate when the next full batch waits at the end of
# a step: an item then spends the rest of one step and one whole step there.
TARGET_STEPS = 1.75
# Handling of frames by a busy instance and engine adds some milliseconds to the
# lowest latency; without them the limit of engines with short steps is too low.
EXCHANGE_S = 0.006
# Without declared rates the target is this multiple of the lowest latency. A
# step that takes k times the time of a step with one item reaches at least
# (k - 1) / k of the engine's highest rate.
TARGET_FLOORS = 6.0
TOLERANCE = 1.15
SLOW_START_GROWTH = 1.5
GROWTH = 0.08
SHRINK = 0.92
# The limit grows only while it is used; otherwise it says nothing.
USED = 0.8
SETTLED = 1.05
FLOOR_KEPT_S = 10.0
IDLE_PACE = 1.5


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, after a slow start.

    Attributes:
        value: Greatest number of sequences.
        starting: Whether the slow start is not over yet.
    """

    def __init__(self, batch: int) -> None:
        self.value = float(batch) if batch else FIRST_LIMIT
        self.starting = True
        self.floors = [math.inf, math.inf]
        self.floor_since = 0.0

    @property
    def floor_s(self) -> float:
        """Lowest recent latency of a single-token item, in seconds."""
        return min(self.floors)

    def restart(self) -> None:
        """Begins a slow start with few sequences."""
        self.value = min(self.value, RESTART_LIMIT)
        self.starting = True
        self.floors = [math.inf, math.inf]

    def on_latency(self, latency_s: float, now: float) -> None:
        """Keeps the lowest latency of the last seconds."""
        if now - self.floor_since > FLOOR_KEPT_S:
            self.floors = [latency_s, self.floors[0]]
            self.floor_since = now
        elif latency_s < self.floors[0]:
            self.floors[0] = latency_s

    def target_s(self, full_step_s: float, single_s: float = 0.0) -> float:
        """Returns the latency at which the engine is fully used.

        Args:
            full_step_s: Time of a full step, 0 if not known.
            single_s: Time of a step with one token; what the lowest latency
                exceeds it by is the delay of the link.
        """
        if math.isinf(self.floor_s):
            return math.inf
        if not full_step_s:
            return TARGET_FLOORS * self.floor_s
        link_s = max(0.0, self.floor_s - single_s)
        return link_s + EXCHANGE_S + TARGET_STEPS * full_step_s

    def adjust(self, mean_s: float, target_s: float, used: int) -> None:
        """Adapts the limit to the latency of one window.

        Args:
            mean_s: Mean latency of single-token items.
            target_s: Result of ``target_s``.
            used: Sequences at the end of the window.
        """
        if mean_s > target_s * TOLERANCE:
            self.starting = False
            # While more sequences run than the limit allows, the latency does
            # not show yet what the last decrease has done.
            if used <= self.value * SETTLED:
                self.value = max(LEAST_LIMIT, self.value * SHRINK)
        elif mean_s < target_s and used >= USED * self.value:
            growth = SLOW_START_GROWTH if self.starting else 1 + GROWTH
            self.value = max(self.value + 1, self.value * growth)

    def idle_pace(self, item_s: float) -> bool:
        """Whether a latency is close to the lowest one."""
        return 0 < item_s <= IDLE_PACE * self.floor_s
