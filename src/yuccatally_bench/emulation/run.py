"""Runs an experiment with one seed and policy."""

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

# Instances exchange outstanding work as ``forwarding.fleet`` does.
EXCHANGE_INTERVAL_S = fleet.HEARTBEAT_INTERVAL_S
# Value of an answer that is complete but late: the users price it at a quarter.
LATE_VALUE_RATIO = 0.25


@dataclasses.dataclass
class Tally:
    """Requests of one class by outcome."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def request_count(self) -> int:
        """Number of requests that have ended."""
        return self.in_time + self.late + self.refused + self.failed

    @property
    def value_per_request(self) -> float:
        """Mean value of a request."""
        if not self.request_count:
            return 0.0
        return (
            self.in_time + LATE_VALUE_RATIO * self.late
        ) / self.request_count


@dataclasses.dataclass(frozen=True)
class Results:
    """Results of a run.

    Attributes:
        tallies: Outcomes by class.
        first_event_s: Times to the first event in seconds, ascending.
        goodput_per_s: Answers in time per second.
        preemption_count: Number of times that a stream lost its memory.
        load_count: Number of layer loads that were ordered.
        mean_choice_us: Mean time of a path choice in microseconds.
    """

    tallies: dict[str, Tally]
    first_event_s: list[float]
    goodput_per_s: float
    preemption_count: int
    load_count: int
    mean_choice_us: float

    @property
    def value_per_request(self) -> float:
        """Mean value of a request over all classes."""
        request_count = sum(t.request_count for t in self.tallies.values())
        total_value = sum(
            t.value_per_request * t.request_count for t in self.tallies.values()
        )
        return total_value / max(1, request_count)

    def first_event_quantile_s(self, quantile: float) -> float:
        """Returns a quantile of the time to the first event."""
        if not self.first_event_s:
            return math.nan
        return self.first_event_s[
            min(
                len(self.first_event_s) - 1,
                int(quantile * len(self.first_event_s)),
            )
        ]


class Run:
    """Simulates an experiment."""

    def __init__(
        self,
        experiment: experiment_module.Experiment,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self.experiment = experiment
        self.rng = random.Random(seed)
        self.clock = clock_module.Clock()
        self.placement = placement.Placement(
            experiment, policy, self.clock, self.rng
        )
        self.tallies: dict[str, Tally] = collections.defaultdict(Tally)
        self.first_event_s: list[float] = []
        total = sum(experiment.instances.values())
        self.instances_by_data_centre = {
            data_centre: [
                instances.Instance(
                    f"{data_centre}-{n}",
                    data_centre,
                    self.placement,
                    self.clock,
                    self.rng,
                    policy.create_dispatcher,
                    total,
                    self._resubmit_later,
                    self._record_outcome,
                )
                for n in range(count)
            ]
            for data_centre, count in experiment.instances.items()
        }
        self.all_instances = [
            i for p in self.instances_by_data_centre.values() for i in p
        ]

    def simulate(self) -> Results:
        """Runs the simulation and returns its results."""
        for request_class in self.experiment.classes:
            self._schedule(request_class)
        for fault in self.experiment.faults:
            self.clock.call_at(
                fault.at_s, lambda f=fault: self.placement.inject_fault(f)
            )
        self.clock.call_every(EXCHANGE_INTERVAL_S, self._exchange_work)
        longest_s = max(c.deadline_s for c in self.experiment.classes)
        self.clock.run(self.experiment.length_s + longest_s)
        return Results(
            dict(self.tallies),
            sorted(self.first_event_s),
            sum(t.in_time for t in self.tallies.values())
            / self.experiment.length_s,
            sum(p.preemption_count for p in self.placement.pipelines.values()),
            self.placement.load_count,
            self._measure_choice_us(),
        )

    def _schedule(self, request_class: experiment_module.RequestClass) -> None:
        """Schedules the next arrival of a class."""
        rate = request_class.per_s * self.experiment.load_factor(self.clock.now)
        gap_s = self.rng.expovariate(rate) if rate else self.experiment.length_s

        def arrive() -> None:
            if self.clock.now >= self.experiment.length_s:
                return
            request = instances.Request(
                request_class,
                self._draw_length(
                    request_class.prompt_tokens, request_class.spread
                ),
                self._draw_length(
                    request_class.answer_tokens, request_class.spread
                ),
                self.clock.now,
            )
            self.rng.choice(self.all_instances).submit(request)
            self._schedule(request_class)

        self.clock.call_after(gap_s, arrive)

    def _draw_length(self, mean: float, spread: float) -> int:
        """Draws a log-normal length of at most three times the mean."""
        sigma = math.sqrt(math.log(1 + spread * spread))
        mu = math.log(mean) - sigma * sigma / 2
        drawn_length = self.rng.lognormvariate(mu, sigma)
        return max(2, int(min(drawn_length, 3 * mean)))

    def _resubmit_later(
        self, request: instances.Request, after_s: float
    ) -> None:
        """Resubmits a refused request once, to a random instance."""
        request.resubmitted = True
        request.tried_paths = frozenset()
        self.clock.call_after(
            after_s, lambda: self.rng.choice(self.all_instances).submit(request)
        )

    def _record_outcome(self, request: instances.Request, outcome: str) -> None:
        if request.ended:
            return
        request.ended = True
        tally = self.tallies[request.request_class.name]
        if outcome == "refused":
            tally.refused += 1
        elif outcome == "failed" or request.first_event_at is None:
            tally.failed += 1
        else:
            first_event_s = request.first_event_at - request.arrived_at
            self.first_event_s.append(first_event_s)
            request_class = request.request_class
            if (
                first_event_s <= request_class.objective_s
                and request.longest_gap_s <= request_class.pause_s
            ):
                tally.in_time += 1
            else:
                tally.late += 1

    def _exchange_work(self) -> None:
        """Exchanges outstanding work over relays, one per data centre."""
        now = self.clock.now
        relays = {
            name: members[0]
            for name, members in self.instances_by_data_centre.items()
            if members
        }
        followers = {
            name: [i.name for i in members[1:]]
            for name, members in self.instances_by_data_centre.items()
        }
        work_by_data_centre = {
            p: r.dispatcher.work_of(followers[p], now)
            for p, r in relays.items()
        }
        for data_centre, relay in relays.items():
            for other, work in work_by_data_centre.items():
                if other != data_centre:
                    relay.dispatcher.apply_remote_work(
                        relays[other].name, work, now
                    )
            for follower in self.instances_by_data_centre[data_centre][1:]:
                own = follower.dispatcher.work_of((), now)
                relay.dispatcher.apply_remote_work(follower.name, own, now)
                rest = relay.dispatcher.work_without(follower.name, now)
                follower.dispatcher.apply_remote_work(relay.name, rest, now)

    def _measure_choice_us(self, count: int = 200) -> float:
        """Measures the mean time of a choice among all paths."""
        dispatcher = self.all_instances[0].dispatcher
        started_at = time.perf_counter()
        for _ in range(count):
            dispatcher.choose_path(
                self.placement.paths, 900.0, frozenset(), self.clock.now
            )
        return (time.perf_counter() - started_at) / count * 1e6
