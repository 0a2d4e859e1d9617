"""Load, speed and health of one engine, as one instance sees them."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from yuccatally.core.routing import concurrency

if TYPE_CHECKING:
    from yuccatally.core.stages import messages

# Results are summed up over windows of this length. Shorter windows hold too
# few steps of a slow engine to tell its speed.
WINDOW_S = 0.2
# A report loses weight with this time constant; requests last seconds.
REPORT_DECAY_S = 2.0
# A report counts at most this many sequences for each one that the own limit
# allows, so that one that overstates cannot starve an engine for good.
FOREIGN_CAP = 4.0
FASTER_WEIGHT = 0.5
SLOWER_WEIGHT = 0.25
# Token-layers per second of an engine that declares no rates, until measured.
UNKNOWN_SPEED = 10_000.0
LATENCY_WEIGHT = 0.2
# Prefill makes steps longer than those that the declared speed is for.
DECLARED_TOLERANCE = 1.5
FAILURES_TO_EJECT = 3
EJECT_FIRST_S = 0.5
EJECT_LAST_S = 10.0


@dataclasses.dataclass(frozen=True)
class DeclaredRates:
    """Rates that an engine object states; zero where it states none.

    Attributes:
        step_base_s: Fixed time of a step, in seconds.
        token_layer_s: Time for one layer and token, in seconds.
        batch: Greatest number of items in a step.
    """

    step_base_s: float = 0.0
    token_layer_s: float = 0.0
    batch: int = 0

    @property
    def complete(self) -> bool:
        """Whether a speed follows from it."""
        return self.batch > 0 and self.token_layer_s > 0

    def speed(self, layers: int) -> float:
        """Returns token-layers per second of full steps of single tokens."""
        work = self.batch * layers
        return work / (self.step_base_s + work * self.token_layer_s)


class EngineLoad:
    """What an instance knows of one engine.

    Attributes:
        name: Name of the engine.
        declared: Its declared rates.
        layers: Layers of the model that it applies.
        connected: Whether its link is up.
        work: Token-layers of own sequences that remain to be done.
        sequences: Own sequences routed over it.
        speed: Token-layers per second that it does for all instances.
        item_s: Recent mean time of a single-token item, queueing included.
        urgent_item_s: The same for urgent items, which engines serve first;
            0 while none was seen.
        limit: Bound on own sequences.
    """

    def __init__(self, name: str, declared: DeclaredRates, layers: int) -> None:
        self.name = name
        self.declared = declared
        self.layers = layers
        self.connected = False
        self.work = 0.0
        self.sequences = 0
        known = declared.complete
        self.speed = declared.speed(layers) if known else UNKNOWN_SPEED
        self.measured = False
        self.item_s = 0.0
        self.urgent_item_s = 0.0
        self.limit = concurrency.ConcurrencyLimit(declared.batch)
        self.window = _Window(0.0)
        self.reported_sequences = 0
        self.reported_at = -math.inf
        self.own_when_reported = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf

    def on_report(self, load: messages.LoadReport, measured_at: float) -> None:
        """Records what the engine reports; older reports are ignored."""
        if measured_at <= self.reported_at:
            return
        self.reported_sequences = load.sequences
        self.reported_at = measured_at
        self.own_when_reported = self.sequences

    def on_result(
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
            self.item_s = _follow(self.item_s, latency_s)
            if urgent:
                self.urgent_item_s = _follow(self.urgent_item_s, latency_s)
            self.limit.on_latency(latency_s, now)
        if now - window.started >= WINDOW_S:
            self._close_window(now)

    def expected_item_s(self, urgent: bool) -> float:
        """Returns the expected time of a single-token item of a class."""
        return (urgent and self.urgent_item_s) or self.item_s

    def on_failure(self, now: float) -> None:
        """Records a refusal; an engine that only refuses is left out.

        An engine that fails everything at once has no outstanding work, and
        would draw all requests if work alone counted.
        """
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT:
            pause_s = EJECT_FIRST_S * 2 ** min(self.ejections, 10)
            self.ejected_until = now + min(EJECT_LAST_S, pause_s)
            self.ejections += 1
            self.failures = 0
            self.limit.restart()

    def on_connected(self, now: float) -> None:
        """Starts with few sequences, since its caches are cold."""
        self.connected = True
        self.window = _Window(now)
        self.item_s = 0.0
        self.urgent_item_s = 0.0
        self.limit.restart()

    def on_disconnected(self) -> None:
        """Forgets reports, which belong to the lost connection."""
        self.connected = False
        self.reported_at = -math.inf

    def usable(self, now: float) -> bool:
        """Whether new sequences may be routed over it."""
        return self.connected and now >= self.ejected_until

    def foreign_sequences(self, now: float) -> float:
        """Returns the sequences of other instances, corrected for age.

        A report that is old says little, so its weight decays. Own results
        that come at the pace of an idle engine outweigh a report.
        """
        age_s = now - self.reported_at
        if math.isinf(age_s):
            return 0.0
        others = max(0.0, self.reported_sequences - self.own_when_reported)
        others = min(others, FOREIGN_CAP * self.limit.value)
        if self.limit.idle_pace(self.item_s):
            others = min(others, float(max(1, self.sequences)))
        return others * math.exp(-max(0.0, age_s) / REPORT_DECAY_S)

    def drain_s(self, added_work: float, now: float) -> float:
        """Returns the time to do all known work and some more."""
        foreign = self.foreign_sequences(now)
        each = self.work / self.sequences if self.sequences else added_work
        return (self.work + added_work + foreign * each) / self.speed

    def room(self, factor: float = 1.0) -> bool:
        """Whether the limit leaves room for a sequence."""
        return self.sequences < self.limit.value * factor

    def _close_window(self, now: float) -> None:
        window = self.window
        seconds = now - window.started
        self.window = _Window(now)
        if seconds > 5 * WINDOW_S or not window.items:
            return
        found = self._whole_speed(window.work / seconds, now)
        each = window.work / window.items
        mean_s = window.latency_s / max(1, window.singles)
        target_s = self.limit.target_s(
            self._full_step_s(each), self._single_s()
        )
        if not self.measured and not self.declared.complete:
            self.speed, self.measured = found, True
        elif found > self.speed:
            self.speed += FASTER_WEIGHT * (found - self.speed)
        elif mean_s >= target_s * SATURATED:
            self.speed += SLOWER_WEIGHT * (found - self.speed)
        if window.singles:
            self.limit.adjust(mean_s, target_s, self.sequences)

    def _whole_speed(self, own: float, now: float) -> float:
        """Returns the speed for all instances that follows from the own part.

        A report that overstates the load of others must not make an engine
        look fast, so the result is bounded by the declared speed.
        """
        if not self.declared.complete:
            return own
        sequences = max(1, self.sequences)
        shared = (sequences + self.foreign_sequences(now)) / sequences
        highest = DECLARED_TOLERANCE * self.declared.speed(self.layers)
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


# From this part of the target latency on, an engine's output is its speed.
SATURATED = 0.6


@dataclasses.dataclass
class _Window:
    started: float
    work: float = 0.0
    items: int = 0
    singles: int = 0
    latency_s: float = 0.0


def _follow(mean_s: float, latest_s: float) -> float:
    weight = LATENCY_WEIGHT if mean_s else 1.0
    return mean_s + weight * (latest_s - mean_s)
