"""Policies to compare: those of the core and simple baselines."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import planning

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams

    Planner = Callable[
        [rules.Model, Iterable[upstreams.Upstream], pipelines.Plan],
        pipelines.Plan,
    ]
    DispatcherFactory = Callable[[str, random.Random], dispatch.Dispatcher]


class Baseline(dispatch.Dispatcher):
    """Selects any path that was not tried, regardless of its capacity."""

    def choose_path(
        self,
        paths: Iterable[dispatch.Path],
        tokens: float,
        excluded: frozenset[str],
        now: float,
    ) -> dispatch.Path | dispatch.Full | dispatch.Nothing:
        """Returns the path that the policy selects."""
        usable = [p for p in paths if p.name not in excluded]
        return self.pick_path(usable, now) if usable else dispatch.Nothing()

    def pick_path(
        self, usable: list[dispatch.Path], now: float
    ) -> dispatch.Path:
        """Returns one of the usable paths."""
        raise NotImplementedError


class RoundRobin(Baseline):
    """Selects the paths in rotation."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        super().__init__(data_centre, rng)
        self.next_index = rng.randrange(1000)

    def pick_path(
        self, usable: list[dispatch.Path], now: float
    ) -> dispatch.Path:
        """Returns the next path."""
        self.next_index += 1
        return usable[self.next_index % len(usable)]


class LeastOutstanding(Baseline):
    """Selects the path with the fewest known outstanding requests."""

    def pick_path(
        self, usable: list[dispatch.Path], now: float
    ) -> dispatch.Path:
        """Returns the path with the fewest outstanding requests."""
        return min(
            usable,
            key=lambda p: (
                self.outstanding_work(p.name, now).requests,
                self.rng.random(),
            ),
        )


def fill_engines(
    model: rules.Model,
    engines: Iterable[upstreams.Upstream],
    previous: pipelines.Plan,
) -> pipelines.Plan:
    """Returns pipelines across all data centres that fill each engine.

    The baseline ignores links and memory for requests, and repairs nothing: a
    pipeline with a failed engine is removed.
    """
    engines_by_key = {(e.name, e.born_ms): e for e in engines}
    retained = [
        p
        for p in previous.pipelines
        if all((s.engine, s.born_ms) in engines_by_key for s in p.stages)
    ]
    used_engines = {s.engine for p in retained for s in p.stages}
    free_engines = [
        e for e in engines_by_key.values() if e.name not in used_engines
    ]
    number = len(previous.pipelines)
    stages: list[pipelines.Stage] = []
    for engine in free_engines:
        first = stages[-1].last if stages else 0
        size = model.max_layers(model.cards[engine.card]) - 1
        last = min(model.layers, first + max(1, size))
        stages.append(pipelines.Stage(engine.name, engine.born_ms, first, last))
        if last == model.layers:
            number += 1
            retained.append(pipelines.Pipeline(f"p-{number}", tuple(stages)))
            stages = []
    new_pipelines = tuple(sorted(retained, key=lambda p: p.name))
    if new_pipelines == previous.pipelines:
        return previous
    return pipelines.Plan(previous.generation + 1, new_pipelines)


@dataclasses.dataclass(frozen=True)
class Policy:
    """A combination of planner and path selection.

    Attributes:
        name: Name in tables.
        plan: Computes a plan from the usable engines.
        create_dispatcher: Creates the dispatcher of an instance.
    """

    name: str
    plan: Planner
    create_dispatcher: DispatcherFactory


POLICIES = {
    p.name: p
    for p in (
        Policy("core", planning.plan, dispatch.Dispatcher),
        Policy("round-robin", planning.plan, RoundRobin),
        Policy("least-outstanding", planning.plan, LeastOutstanding),
        Policy("plain-placement", fill_engines, dispatch.Dispatcher),
    )
}
