"""Baseline policies for comparison with the cost-based choice."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import Protocol

from yuccatally.core.generation import actions

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccatally.core.routing import load
    from yuccatally.core.routing import router
    from yuccatally.core.routing import topology


class Baseline(Protocol):
    """A policy that replaces the cost-based choice."""

    def choose(
        self,
        query: router.PathQuery,
        pipelines: Sequence[topology.Pipeline],
        engines: Mapping[str, load.EngineLoad],
        excluded: frozenset[str],
    ) -> actions.Path | None:
        """Returns a path, None if no pipeline is complete."""


class LeastOutstanding:
    """Chooses the engines, then the pipeline, with the fewest own sequences."""

    def choose(
        self,
        query: router.PathQuery,
        pipelines: Sequence[topology.Pipeline],
        engines: Mapping[str, load.EngineLoad],
        excluded: frozenset[str],
    ) -> actions.Path | None:
        """See ``Baseline``."""

        def least_loaded(names: list[str]) -> str:
            return min(names, key=lambda n: (engines[n].sequences, n))

        paths = _paths(query, pipelines, engines, excluded, least_loaded)
        if not paths:
            return None
        return min(
            paths,
            key=lambda p: (
                max(engines[h.engine].sequences for h in p.hops),
                p.pipeline,
            ),
        )


class RoundRobin:
    """Uses pipelines in turn, and the engines of each stage in turn."""

    def __init__(self) -> None:
        self.counters: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )

    def choose(
        self,
        query: router.PathQuery,
        pipelines: Sequence[topology.Pipeline],
        engines: Mapping[str, load.EngineLoad],
        excluded: frozenset[str],
    ) -> actions.Path | None:
        """See ``Baseline``."""
        names = tuple(p.name for p in pipelines)
        for _ in pipelines:
            index = self.counters[names]
            self.counters[names] += 1
            pipeline = pipelines[index % len(pipelines)]
            paths = _paths(
                query, [pipeline], engines, excluded, self._next_engine
            )
            if paths:
                return paths[0]
        return None

    def _next_engine(self, names: list[str]) -> str:
        key = tuple(names)
        self.counters[key] += 1
        return names[self.counters[key] % len(names)]


def by_name(policy: str) -> Baseline | None:
    """Returns the baseline policy of a name, None for the cost-based choice."""
    match policy:
        case "least-outstanding":
            return LeastOutstanding()
        case "round-robin":
            return RoundRobin()
        case _:
            return None


def _paths(
    query: router.PathQuery,
    pipelines: Sequence[topology.Pipeline],
    engines: Mapping[str, load.EngineLoad],
    excluded: frozenset[str],
    choose_engine: Callable[[list[str]], str],
) -> list[actions.Path]:
    paths = []
    for pipeline in pipelines:
        hops = []
        for stage in pipeline.stages:
            names = [
                e
                for e in stage.engines
                if e not in excluded and e in engines and engines[e].connected
            ]
            if names:
                hops.append(
                    actions.Hop(
                        choose_engine(names),
                        stage.first_layer,
                        stage.last_layer,
                    )
                )
        if len(hops) == len(pipeline.stages):
            paths.append(
                actions.Path(
                    pipeline.name, query.model, query.version, tuple(hops)
                )
            )
    return paths
