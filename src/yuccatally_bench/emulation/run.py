"""One run of an experiment with one seed and policy."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import time
from typing import TYPE_CHECKING

from yuccatally.forwarding import fleet
from yuccatally_bench.emulation import clock as clock_module
from yuccatally_bench.emulation import instances
from yuccatally_bench.emulation import placement

if TYPE_CHECKING:
    from yuccatally_bench.emulation import experiment as experiment_module
    from yuccatally_bench.emulation import policies

# Instances exchange their load as ``forwarding.fleet`` does.
EXCHANGE_S = fleet.HEARTBEAT_INTERVAL_S
# Worth of an answer that is whole and late: a quarter, as the users price it.
LATE_WORTH = 0.25


@dataclasses.dataclass
class Tally:
    """Requests of one class by outcome."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def asked(self) -> int:
        """Requests that have ended."""
        return self.in_time + self.late + self.refused + self.failed

    @property
    def worth(self) -> float:
        """Worth earned for each request."""
        if not self.asked:
            return 0.0
        return (self.in_time + LATE_WORTH * self.late) / self.asked


@dataclasses.dataclass(frozen=True)
class Figures:
    """Results of a run.

    Attributes:
        tallies: Outcomes by class.
        first_s: Times to the first event, ascending, in seconds.
        goodput: Answers in time, for each second.
        preempted: Times that a stream lost its memory.
        loads: Loads of layers that were ordered.
        decision_us: Mean time of a choice of a path, in microseconds.
    """

    tallies: dict[str, Tally]
    first_s: list[float]
    goodput: float
    preempted: int
    loads: int
    decision_us: float

    @property
    def worth(self) -> float:
        """Worth earned for each request of any class."""
        asked = sum(t.asked for t in self.tallies.values())
        earned = sum(t.worth * t.asked for t in self.tallies.values())
        return earned / max(1, asked)

    def first_quantile_s(self, share: float) -> float:
        """Returns the time to the first event that a share stays below."""
        if not self.first_s:
            return math.nan
        return self.first_s[
            min(len(self.first_s) - 1, int(share * len(self.first_s)))
        ]


class Run:
    """Plays an experiment."""

    def __init__(
        self,
        found: experiment_module.Experiment,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self.experiment = found
        self.rng = random.Random(seed)
        self.clock = clock_module.Clock()
        self.placed = placement.Placement(found, policy, self.clock, self.rng)
        self.tallies: dict[str, Tally] = collections.defaultdict(Tally)
        self.first_s: list[float] = []
        total = sum(found.instances.values())
        self.by_place = {
            place: [
                instances.Instance(
                    f"{place}-{n}",
                    place,
                    self.placed,
                    self.clock,
                    self.rng,
                    policy.choose,
                    total,
                    self._on_refused,
                    self._on_done,
                )
                for n in range(count)
            ]
            for place, count in found.instances.items()
        }
        self.everyone = [i for p in self.by_place.values() for i in p]

    def play(self) -> Figures:
        """Returns the figures of the run."""
        for kind in self.experiment.classes:
            self._schedule(kind)
        for fault in self.experiment.faults:
            self.clock.at(fault.at_s, lambda f=fault: self.placed.strike(f))
        self.clock.every(EXCHANGE_S, self._exchange)
        longest_s = max(c.deadline_s for c in self.experiment.classes)
        self.clock.run(self.experiment.length_s + longest_s)
        return Figures(
            dict(self.tallies),
            sorted(self.first_s),
            sum(t.in_time for t in self.tallies.values())
            / self.experiment.length_s,
            sum(p.preempted for p in self.placed.pipelines.values()),
            self.placed.loads,
            self._decision_us(),
        )

    def _schedule(self, kind: experiment_module.Class) -> None:
        """Plans the next arrival of a class."""
        rate = kind.per_s * self.experiment.factor(self.clock.now)
        gap_s = self.rng.expovariate(rate) if rate else self.experiment.length_s

        def arrive() -> None:
            if self.clock.now >= self.experiment.length_s:
                return
            request = instances.Request(
                kind,
                self._tokens(kind.prompt_tokens, kind.spread),
                self._tokens(kind.answer_tokens, kind.spread),
                self.clock.now,
            )
            self.rng.choice(self.everyone).take(request)
            self._schedule(kind)

        self.clock.after(gap_s, arrive)

    def _tokens(self, mean: float, spread: float) -> int:
        """Returns a length: log-normal, at most three means."""
        sigma = math.sqrt(math.log(1 + spread * spread))
        mu = math.log(mean) - sigma * sigma / 2
        drawn = self.rng.lognormvariate(mu, sigma)
        return max(2, int(min(drawn, 3 * mean)))

    def _on_refused(self, request: instances.Request, after_s: float) -> None:
        """Lets a client come back once, to any instance."""
        request.returned = True
        request.tried = frozenset()
        self.clock.after(
            after_s, lambda: self.rng.choice(self.everyone).take(request)
        )

    def _on_done(self, request: instances.Request, outcome: str) -> None:
        if request.done:
            return
        request.done = True
        tally = self.tallies[request.kind.name]
        if outcome == "refused":
            tally.refused += 1
        elif outcome == "failed" or request.first_at is None:
            tally.failed += 1
        else:
            first_s = request.first_at - request.arrived_at
            self.first_s.append(first_s)
            kind = request.kind
            if (
                first_s <= kind.objective_s
                and request.longest_gap_s <= kind.pause_s
            ):
                tally.in_time += 1
            else:
                tally.late += 1

    def _exchange(self) -> None:
        """Exchanges load over the relays, the first of each data centre."""
        now = self.clock.now
        relays = {p: found[0] for p, found in self.by_place.items() if found}
        followers = {
            p: [i.name for i in found[1:]] for p, found in self.by_place.items()
        }
        clusters = {
            p: r.dispatcher.work_of(followers[p], now)
            for p, r in relays.items()
        }
        for place, relay in relays.items():
            for other, loads in clusters.items():
                if other != place:
                    relay.dispatcher.apply_remote_work(
                        relays[other].name, loads, now
                    )
            for follower in self.by_place[place][1:]:
                own = follower.dispatcher.work_of((), now)
                relay.dispatcher.apply_remote_work(follower.name, own, now)
                rest = relay.dispatcher.work_without(follower.name, now)
                follower.dispatcher.apply_remote_work(relay.name, rest, now)

    def _decision_us(self, count: int = 200) -> float:
        """Returns the mean time of a choice among all paths."""
        chooser = self.everyone[0].dispatcher
        started_at = time.perf_counter()
        for _ in range(count):
            chooser.choose_path(
                self.placed.paths, 900.0, frozenset(), self.clock.now
            )
        return (time.perf_counter() - started_at) / count * 1e6
