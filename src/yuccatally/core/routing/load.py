"""Load, speed and health of one engine, as observed by one instance."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from yuccatally.core.routing import concurrency

if TYPE_CHECKING:
    from yuccatally.core.stages import messages

# Results are aggregated over windows of this length. Shorter windows hold too
# few steps of a slow engine to determine its speed.
WINDOW_S = 0.2
# Time constant with which a load report loses weight; requests last seconds.
REPORT_DECAY_S = 2.0
# A load report counts at most this many sequences for each one that the local
# limit allows, so that an overstated report cannot exclude an engine
# permanently.
MAX_PEER_SEQUENCES_FACTOR = 4.0
SPEED_INCREASE_WEIGHT = 0.5
SPEED_DECREASE_WEIGHT = 0.25
# Token-layers per second of an engine without declared rates, until measured.
DEFAULT_TOKEN_LAYERS_PER_S = 10_000.0
LATENCY_WEIGHT = 0.2
# Prefill makes steps longer than the declared speed assumes.
DECLARED_SPEED_FACTOR = 1.5
EJECT_FAILURES_COUNT = 3
EJECT_FIRST_S = 0.5
EJECT_LAST_S = 10.0


@dataclasses.dataclass(frozen=True)
class DeclaredRates:
    """Rates that an engine object declares; zero where it declares none.

    Attributes:
        step_base_s: Fixed time of a step, in seconds.
        token_layer_s: Time for one layer and token, in seconds.
        batch: Maximum number of items in a step.
    """

    step_base_s: float = 0.0
    token_layer_s: float = 0.0
    batch: int = 0

    @property
    def complete(self) -> bool:
        """Whether the speed can be computed from the rates."""
        return self.batch > 0 and self.token_layer_s > 0

    def speed(self, layers: int) -> float:
        """Returns token-layers per second of full steps of single tokens."""
        work = self.batch * layers
        return work / (self.step_base_s + work * self.token_layer_s)


class EngineLoad:
    """State of one engine, from its load reports and own results.

    Attributes:
        name: Name of the engine.
        declared: Its declared rates.
        layers: Layers of the model that it applies.
        connected: Whether its link is up.
        work: Token-layers of own sequences that remain to be done.
        sequences: Own sequences whose path includes the engine.
        speed: Token-layers per second that it processes for all instances.
        item_latency_s: Recent mean latency of a single-token item, queueing
            included.
        urgent_item_latency_s: The same for urgent items, which engines serve
            first; 0 until one has finished.
        limit: Limit on own sequences.
    """

    def __init__(self, name: str, declared: DeclaredRates, layers: int) -> None:
        self.name = name
        self.declared = declared
        self.layers = layers
        self.connected = False
        self.work = 0.0
        self.sequences = 0
        rated = declared.complete
        self.speed = (
            declared.speed(layers) if rated else DEFAULT_TOKEN_LAYERS_PER_S
        )
        self.measured = False
        self.item_latency_s = 0.0
        self.urgent_item_latency_s = 0.0
        self.limit = concurrency.ConcurrencyLimit(declared.batch)
        self.window = _Window(0.0)
        self.reported_sequences = 0
        self.reported_at = -math.inf
        self.own_sequences_at_report = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf

    def apply_report(
        self, report: messages.LoadReport, measured_at: float
    ) -> None:
        """Applies a load report; ignores one older than the last."""
        if measured_at <= self.reported_at:
            return
        self.reported_sequences = report.sequences
        self.reported_at = measured_at
        self.own_sequences_at_report = self.sequences

    def record_result(
        self,
        work: float,
        single: bool,
        latency_s: float,
        now: float,
        urgent: bool = False,
    ) -> None:
        """Records a finished item.

        Args:
            work: Token-layers of the item.
            single: Whether it was a single token.
            latency_s: Time since it was queued, in seconds.
            now: Monotonic time in seconds.
            urgent: Whether it was of the highest class.
        """
        self.work = max(0.0, self.work - work)
        self.failures = 0
        window = self.window
        window.work += work
        window.items += 1
        if single:
            window.singles += 1
            window.latency_s += latency_s
            self.item_latency_s = _smooth(self.item_latency_s, latency_s)
            if urgent:
                self.urgent_item_latency_s = _smooth(
                    self.urgent_item_latency_s, latency_s
                )
            self.limit.record_latency(latency_s, now)
        if now - window.started_at >= WINDOW_S:
            self._close_window(now)

    def expected_item_s(self, urgent: bool) -> float:
        """Returns the expected time of a single-token item of a class."""
        return (urgent and self.urgent_item_latency_s) or self.item_latency_s

    def record_failure(self, now: float) -> None:
        """Records a refusal; ejects an engine after several in a row.

        An engine that fails everything at once has no outstanding work, and
        would attract all requests if work alone counted.
        """
        self.failures += 1
        if self.failures >= EJECT_FAILURES_COUNT:
            pause_s = EJECT_FIRST_S * 2 ** min(self.ejections, 10)
            self.ejected_until = now + min(EJECT_LAST_S, pause_s)
            self.ejections += 1
            self.failures = 0
            self.limit.restart()

    def on_connected(self, now: float) -> None:
        """Restarts with few sequences, since the engine's caches are cold."""
        self.connected = True
        self.window = _Window(now)
        self.item_latency_s = 0.0
        self.urgent_item_latency_s = 0.0
        self.limit.restart()

    def on_disconnected(self) -> None:
        """Discards the load report, which belongs to the closed connection."""
        self.connected = False
        self.reported_at = -math.inf

    def usable(self, now: float) -> bool:
        """Whether a path of a new sequence may include the engine."""
        return self.connected and now >= self.ejected_until

    def peer_sequences(self, now: float) -> float:
        """Returns the sequences of other instances, corrected for age.

        The weight of a load report decays with its age. Own results at the
        latency of an idle engine take precedence over a report.
        """
        age_s = now - self.reported_at
        if math.isinf(age_s):
            return 0.0
        others = max(
            0.0, self.reported_sequences - self.own_sequences_at_report
        )
        others = min(others, MAX_PEER_SEQUENCES_FACTOR * self.limit.value)
        if self.limit.is_idle_latency(self.item_latency_s):
            others = min(others, float(max(1, self.sequences)))
        return others * math.exp(-max(0.0, age_s) / REPORT_DECAY_S)

    def drain_s(self, added_work: float, now: float) -> float:
        """Returns the time to do all instances' work plus ``added_work``."""
        others = self.peer_sequences(now)
        work_each = self.work / self.sequences if self.sequences else added_work
        return (self.work + added_work + others * work_each) / self.speed

    def has_capacity(self, factor: float = 1.0) -> bool:
        """Whether the limit permits another sequence."""
        return self.sequences < self.limit.value * factor

    def _close_window(self, now: float) -> None:
        window = self.window
        seconds = now - window.started_at
        self.window = _Window(now)
        if seconds > 5 * WINDOW_S or not window.items:
            return
        speed = self._total_speed(window.work / seconds, now)
        work_each = window.work / window.items
        mean_s = window.latency_s / max(1, window.singles)
        target_s = self.limit.target_s(
            self._full_step_s(work_each), self._single_s()
        )
        if not self.measured and not self.declared.complete:
            self.speed, self.measured = speed, True
        elif speed > self.speed:
            self.speed += SPEED_INCREASE_WEIGHT * (speed - self.speed)
        elif mean_s >= target_s * SATURATION_RATIO:
            self.speed += SPEED_DECREASE_WEIGHT * (speed - self.speed)
        if window.singles:
            self.limit.adjust(mean_s, target_s, self.sequences)

    def _total_speed(self, own: float, now: float) -> float:
        """Estimates the speed for all instances from the speed for this one.

        A report that overstates the load of others must not make an engine
        look fast, so the estimate is bounded by the declared speed.
        """
        if not self.declared.complete:
            return own
        sequences = max(1, self.sequences)
        shared = (sequences + self.peer_sequences(now)) / sequences
        highest = DECLARED_SPEED_FACTOR * self.declared.speed(self.layers)
        return max(own, min(own * shared, highest))

    def _single_s(self) -> float:
        """Returns the declared time of a step with a single token."""
        return (
            self.declared.step_base_s
            + self.layers * self.declared.token_layer_s
        )

    def _full_step_s(self, work_each: float) -> float:
        if not self.declared.complete:
            return 0.0
        busy_s = self.declared.batch * work_each * self.declared.token_layer_s
        return self.declared.step_base_s + busy_s


# At or above this ratio of the target latency, an engine is saturated and its
# output is its speed.
SATURATION_RATIO = 0.6


@dataclasses.dataclass
class _Window:
    started_at: float
    work: float = 0.0
    items: int = 0
    singles: int = 0
    latency_s: float = 0.0


def _smooth(mean_s: float, latest_s: float) -> float:
    weight = LATENCY_WEIGHT if mean_s else 1.0
    return mean_s + weight * (latest_s - mean_s)
