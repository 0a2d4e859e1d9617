"""Adaptive limit on the sequences that one instance runs on an engine."""

from __future__ import annotations

import math

INITIAL_SEQUENCES = 8.0
RESTART_SEQUENCES = 2.0
MIN_SEQUENCES = 1.0
# An engine reaches its highest rate when the next full batch is queued at the
# end of a step. An item then waits for the rest of one step and spends one
# whole step in the engine.
TARGET_STEPS = 1.75
# Frame handling on a busy instance and engine adds some milliseconds to the
# minimum latency. Without this allowance, the limit of engines with short
# steps is too low.
EXCHANGE_S = 0.006
# Without declared rates, the target is this multiple of the minimum latency.
# A step that takes k times as long as a step with one item reaches at least
# (k - 1) / k of the engine's highest rate.
TARGET_LATENCY_FACTOR = 6.0
TOLERANCE_FACTOR = 1.15
SLOW_START_FACTOR = 1.5
INCREASE_RATIO = 0.08
DECREASE_FACTOR = 0.92
# The limit grows only while it is used: the latency of an unused limit does
# not show whether a higher one is sustainable.
MIN_USED_RATIO = 0.8
SETTLED_FACTOR = 1.05
MIN_LATENCY_WINDOW_S = 10.0
IDLE_LATENCY_FACTOR = 1.5


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, after a slow start.

    Attributes:
        value: Maximum number of sequences.
        slow_start: Whether the slow start is still in progress.
    """

    def __init__(self, batch: int) -> None:
        self.value = float(batch) if batch else INITIAL_SEQUENCES
        self.slow_start = True
        self.window_minima = [math.inf, math.inf]
        self.window_started_at = 0.0

    @property
    def min_latency_s(self) -> float:
        """Minimum recent latency of a single-token item, in seconds."""
        return min(self.window_minima)

    def restart(self) -> None:
        """Restarts the slow start with few sequences."""
        self.value = min(self.value, RESTART_SEQUENCES)
        self.slow_start = True
        self.window_minima = [math.inf, math.inf]

    def record_latency(self, latency_s: float, now: float) -> None:
        """Updates the minimum latency of the current and previous window."""
        if now - self.window_started_at > MIN_LATENCY_WINDOW_S:
            self.window_minima = [latency_s, self.window_minima[0]]
            self.window_started_at = now
        elif latency_s < self.window_minima[0]:
            self.window_minima[0] = latency_s

    def target_s(self, full_step_s: float, single_s: float = 0.0) -> float:
        """Returns the latency at which the engine is fully used.

        Args:
            full_step_s: Time of a full step, 0 if unknown.
            single_s: Time of a step with one token. The excess of the minimum
                latency over it is the delay of the link.
        """
        if math.isinf(self.min_latency_s):
            return math.inf
        if not full_step_s:
            return TARGET_LATENCY_FACTOR * self.min_latency_s
        link_s = max(0.0, self.min_latency_s - single_s)
        return link_s + EXCHANGE_S + TARGET_STEPS * full_step_s

    def adjust(self, mean_s: float, target_s: float, used: int) -> None:
        """Adapts the limit to the latency of one window.

        Args:
            mean_s: Mean latency of single-token items.
            target_s: Result of ``target_s``.
            used: Sequences at the end of the window.
        """
        if mean_s > target_s * TOLERANCE_FACTOR:
            self.slow_start = False
            # While more sequences run than the limit allows, the latency does
            # not yet reflect the last decrease.
            if used <= self.value * SETTLED_FACTOR:
                self.value = max(MIN_SEQUENCES, self.value * DECREASE_FACTOR)
        elif mean_s < target_s and used >= MIN_USED_RATIO * self.value:
            growth = (
                SLOW_START_FACTOR if self.slow_start else 1 + INCREASE_RATIO
            )
            self.value = max(self.value + 1, self.value * growth)

    def is_idle_latency(self, latency_s: float) -> bool:
        """Whether a latency is close to the minimum, as on an idle engine."""
        return 0 < latency_s <= IDLE_LATENCY_FACTOR * self.min_latency_s
