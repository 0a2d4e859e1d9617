"""Baseline policies, for comparison with the cost-based choice."""

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
        listed: Sequence[topology.Pipeline],
        engines: Mapping[str, load.EngineLoad],
        excluded: frozenset[str],
    ) -> actions.Path | None:
        """Returns a route, None if no pipeline is whole."""


class LeastOutstanding:
    """The engine with the fewest own sequences, then the pipeline."""

    def choose(
        self,
        query: router.PathQuery,
        listed: Sequence[topology.Pipeline],
        engines: Mapping[str, load.EngineLoad],
        excluded: frozenset[str],
    ) -> actions.Path | None:
        """See ``Baseline``."""

        def least(names: list[str]) -> str:
            return min(names, key=lambda n: (engines[n].sequences, n))

        routes = _routes(query, listed, engines, excluded, least)
        if not routes:
            return None
        return min(
            routes,
            key=lambda r: (
                max(engines[h.engine].sequences for h in r.hops),
                r.pipeline,
            ),
        )


class RoundRobin:
    """Pipelines in turn, and the engines of each stage in turn."""

    def __init__(self) -> None:
        self.turns: collections.Counter[tuple[str, ...]] = collections.Counter()

    def choose(
        self,
        query: router.PathQuery,
        listed: Sequence[topology.Pipeline],
        engines: Mapping[str, load.EngineLoad],
        excluded: frozenset[str],
    ) -> actions.Path | None:
        """See ``Baseline``."""
        names = tuple(p.name for p in listed)
        for _ in listed:
            turn = self.turns[names]
            self.turns[names] += 1
            pipeline = listed[turn % len(listed)]
            routes = _routes(query, [pipeline], engines, excluded, self._next)
            if routes:
                return routes[0]
        return None

    def _next(self, names: list[str]) -> str:
        key = tuple(names)
        self.turns[key] += 1
        return names[self.turns[key] % len(names)]


def by_name(policy: str) -> Baseline | None:
    """Returns the baseline of a name, None for the cost-based choice."""
    match policy:
        case "least-outstanding":
            return LeastOutstanding()
        case "round-robin":
            return RoundRobin()
        case _:
            return None


def _routes(
    query: router.PathQuery,
    listed: Sequence[topology.Pipeline],
    engines: Mapping[str, load.EngineLoad],
    excluded: frozenset[str],
    pick: Callable[[list[str]], str],
) -> list[actions.Path]:
    routes = []
    for pipeline in listed:
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
                        pick(names), stage.first_layer, stage.last_layer
                    )
                )
        if len(hops) == len(pipeline.stages):
            routes.append(
                actions.Path(
                    pipeline.name, query.model, query.version, tuple(hops)
                )
            )
    return routes
