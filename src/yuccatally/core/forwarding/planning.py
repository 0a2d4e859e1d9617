"""Plans the pipelines of a model on engines that forward by themselves."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import engine_memory
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import replication
from yuccatally.core.forwarding import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from yuccatally.core.forwarding import rules

# Request memory of each stage in tokens, in order of preference. A pipeline has
# some 40 requests of 900 tokens at peak load.
TOKEN_TARGETS = (75e3, 60e3, 50e3, 40e3, 30e3, 20e3, 12e3)
# The same for stages that replace failed ones. Lower targets use fewer spare
# engines and leave more of them for the next failure. The stage with the least
# memory limits the pipeline.
REPAIR_TOKEN_TARGETS = (50e3, 40e3, 30e3, 20e3)
# Last resort: a pipeline has capacity for some ten requests, a sixth of its
# usual capacity.
MIN_TOKEN_TARGETS = (12e3, 8e3, 4e3)
# With fewer pipelines, a pipeline may use engines of several data centres. Each
# crossing takes tens of milliseconds a prompt on a shared link.
MIN_PIPELINE_COUNT = 2


def plan(
    model: rules.Model,
    engines: Iterable[upstreams.Upstream],
    previous: pipelines.Plan,
    fence: int = 0,
) -> pipelines.Plan:
    """Returns the plan for the usable engines.

    Load pattern: an engine fails at peak load. Its pipeline is repaired with
    replicas that hold its layers, or with other spare engines, and all other
    stages are kept, so that no serving stage is moved. Engines that no pipeline
    needs become replicas.

    Args:
        model: Properties of the model.
        engines: Usable engines.
        previous: Plan in force.
        fence: Fencing number of the control lease.

    Returns:
        The previous plan if no change is necessary.
    """
    planner = Planner(model, engines)
    planner.reserve(previous)
    kept = [planner.repair(p) for p in previous.pipelines]
    remaining = [p for p in kept if p is not None]
    built = planner.build(remaining)
    planned = tuple(sorted((*remaining, *built), key=lambda p: p.name))
    # The next plan may build further pipelines on the other engines.
    replicas = planner.kept_replicas()
    if not built:
        replicas = replication.replicate(
            model, planner.usable, planner.spares, replicas, planned
        )
    if (planned, replicas) == (previous.pipelines, previous.replicas):
        return previous
    return pipelines.Plan(
        previous.generation + 1,
        planned,
        max(fence, previous.fence),
        replicas,
    )


class Planner:
    """Assigns spare engines to stages; see ``plan``."""

    def __init__(
        self, model: rules.Model, engines: Iterable[upstreams.Upstream]
    ) -> None:
        self.model = model
        self.spares = {
            e.name: e
            for e in sorted(
                engines, key=lambda e: engine_memory.slowness(model, e)
            )
            if e.card in model.cards
        }
        self.usable = dict(self.spares)
        self.replicas: dict[str, pipelines.Stage] = {}

    def reserve(self, previous: pipelines.Plan) -> None:
        """Removes the engines of all pipelines from the spare engines.

        Replicas are spare engines that already hold layers.
        """
        for pipeline in previous.pipelines:
            for stage in pipeline.stages:
                if self._is_usable(stage):
                    del self.spares[stage.engine]
        for stage in previous.replicas:
            if self._is_usable(stage):
                self.replicas[stage.engine] = stage

    def repair(self, pipeline: pipelines.Pipeline) -> pipelines.Pipeline | None:
        """Returns a pipeline with failed stages replaced, if possible."""
        kept = [s for s in pipeline.stages if self._is_usable(s)]
        if len(kept) == len(pipeline.stages):
            return pipeline
        data_centres = {self.usable[s.engine].data_centre for s in kept}
        ranges = [(s.first, s.last) for s in kept]
        for gap in composition.find_gaps(ranges, self.model.layers):
            replacement = self._cover_with_replicas(
                gap, data_centres
            ) or self._cover_gap(gap, kept, data_centres)
            if replacement is None:
                self._release(kept)
                return None
            kept.extend(replacement)
        ordered = tuple(sorted(kept, key=lambda s: s.first))
        return pipelines.Pipeline(pipeline.name, ordered)

    def build(
        self,
        existing: Sequence[pipelines.Pipeline],
        targets: Sequence[float] = TOKEN_TARGETS,
    ) -> list[pipelines.Pipeline]:
        """Returns new pipelines on spare engines."""
        built: list[pipelines.Pipeline] = []
        used_names = {p.name for p in existing}
        data_centres = sorted({e.data_centre for e in self.spares.values()})
        for data_centre in data_centres:
            local = [
                e for e in self.spares.values() if e.data_centre == data_centre
            ]
            stages = self._build_stages(local, targets)
            if stages is not None:
                built.append(
                    pipelines.Pipeline(
                        new_name(used_names, data_centre), stages
                    )
                )
        if len(existing) + len(built) < MIN_PIPELINE_COUNT:
            by_data_centre = sorted(
                self.spares.values(), key=lambda e: (e.data_centre, e.name)
            )
            stages = self._build_stages(
                by_data_centre, targets, keep_order=True
            )
            if stages is not None:
                built.append(
                    pipelines.Pipeline(new_name(used_names, "all"), stages)
                )
        return built

    def kept_replicas(self) -> tuple[pipelines.Stage, ...]:
        """Returns the replicas on engines that are still spare."""
        kept = [s for n, s in self.replicas.items() if n in self.spares]
        return tuple(sorted(kept, key=lambda s: s.engine))

    def _cover_with_replicas(
        self, gap: upstreams.LayerRange, data_centres: set[str]
    ) -> list[pipelines.Stage] | None:
        """Returns stages for a gap on replicas of some data centres."""
        holdings = [
            composition.Holding(
                self.usable[s.engine], s.layers, s.last - s.first
            )
            for s in self.kept_replicas()
            if self.usable[s.engine].data_centre in data_centres
        ]
        hops = composition.cover_range(gap, holdings, lambda h: ())
        if hops is None:
            return None
        for hop in hops:
            del self.spares[hop.engine.name]
        return [
            pipelines.Stage(h.engine.name, h.engine.born_ms, h.first, h.last)
            for h in hops
        ]

    def _cover_gap(
        self,
        gap: upstreams.LayerRange,
        kept: list[pipelines.Stage],
        data_centres: set[str],
    ) -> list[pipelines.Stage] | None:
        """Returns stages for a gap in a pipeline.

        Spare engines of the same data centre are preferred, followed by
        neighbouring stages that take more layers. Engines of other data
        centres are the last choice, alone or with the neighbouring stages,
        because prompts queue on the shared link between data centres.

        Load pattern: one engine after the other fails at peak load. A small
        spare engine can hold the range of a larger one, with memory for
        five requests. Extending the neighbouring stages leaves more memory and
        is preferred to that. The shared link is not used to gain memory: it
        carries twelve prompts a second for all pipelines that cross it.
        """
        local = [
            e for e in self.spares.values() if e.data_centre in data_centres
        ]
        everywhere = list(self.spares.values())
        for engines, targets in (
            (local, REPAIR_TOKEN_TARGETS),
            (local, MIN_TOKEN_TARGETS),
            (everywhere, REPAIR_TOKEN_TARGETS),
            (everywhere, MIN_TOKEN_TARGETS),
        ):
            for find in (
                functools.partial(self._fill_with_fewest, engines, gap),
                functools.partial(self._extend_neighbours, gap, kept, engines),
            ):
                for tokens in targets:
                    stages = find(tokens)
                    if stages is not None:
                        return stages
        return None

    def _fill_with_fewest(
        self,
        engines: list[upstreams.Upstream],
        layers: upstreams.LayerRange,
        tokens: float,
    ) -> list[pipelines.Stage] | None:
        """Fills a range with as few and as small engines as possible.

        Larger engines are kept for the failure of a larger stage.
        """
        capacities = {
            e.name: engine_memory.layer_capacity(self.model, e, tokens)
            for e in engines
        }
        size = layers.last - layers.first
        chosen: list[upstreams.Upstream] = []
        available = sorted(engines, key=lambda e: capacities[e.name])
        while size > 0 and available:
            sufficient = [e for e in available if capacities[e.name] >= size]
            engine = sufficient[0] if sufficient else available[-1]
            available.remove(engine)
            chosen.append(engine)
            size -= capacities[engine.name]
        return self._fill(chosen, layers, tokens)

    def _extend_neighbours(
        self,
        gap: upstreams.LayerRange,
        kept: list[pipelines.Stage],
        spares: list[upstreams.Upstream],
        tokens: float,
    ) -> list[pipelines.Stage] | None:
        """Fills a gap with the neighbouring stages and with spare engines.

        Removes extended stages from ``kept`` and includes them in the result.
        """
        before = next((s for s in kept if s.last == gap.first), None)
        after = next((s for s in kept if s.first == gap.last), None)
        first, last = gap.first, gap.last
        if before is not None:
            first = min(last, first + self._free_layers(before, tokens))
        if after is not None:
            last = max(first, last - self._free_layers(after, tokens))
        stages = self._fill_with_fewest(
            spares, upstreams.LayerRange(first, last), tokens
        )
        if stages is None:
            return None
        if before is not None and first > gap.first:
            kept.remove(before)
            stages.append(dataclasses.replace(before, last=first))
        if after is not None and last < gap.last:
            kept.remove(after)
            stages.append(dataclasses.replace(after, first=last))
        return stages

    def _free_layers(self, stage: pipelines.Stage, tokens: float) -> int:
        capacity = engine_memory.layer_capacity(
            self.model, self.usable[stage.engine], tokens
        )
        return max(0, capacity - (stage.last - stage.first))

    def _build_stages(
        self,
        engines: list[upstreams.Upstream],
        targets: Sequence[float],
        keep_order: bool = False,
    ) -> tuple[pipelines.Stage, ...] | None:
        """Returns stages for all layers with as much memory as possible."""
        all_layers = upstreams.LayerRange(0, self.model.layers)
        for keep_spare in (True, False):
            for tokens in targets:
                capacities = [
                    engine_memory.layer_capacity(self.model, e, tokens)
                    for e in engines
                ]
                # The other engines must be able to hold the model if the
                # largest one fails.
                reserve = max(capacities, default=0) if keep_spare else 0
                if sum(capacities) - reserve < self.model.layers:
                    continue
                chosen = engines
                if keep_order:
                    # Neighbouring stages share a data centre.
                    chosen = [
                        e
                        for e in engines
                        if engine_memory.layer_capacity(self.model, e, tokens)
                    ]
                stages = self._fill(chosen, all_layers, tokens)
                if stages is not None:
                    return tuple(stages)
        return None

    def _fill(
        self,
        engines: list[upstreams.Upstream],
        layers: upstreams.LayerRange,
        tokens: float,
    ) -> list[pipelines.Stage] | None:
        """Assigns a range to engines in order, or none if it does not fit."""
        stages: list[pipelines.Stage] = []
        first = layers.first
        for engine in engines:
            if first == layers.last:
                break
            size = min(
                engine_memory.layer_capacity(self.model, engine, tokens),
                layers.last - first,
            )
            if size <= 0:
                continue
            stages.append(
                pipelines.Stage(
                    engine.name, engine.born_ms, first, first + size
                )
            )
            first += size
        if first < layers.last:
            return None
        for stage in stages:
            del self.spares[stage.engine]
        return stages

    def _is_usable(self, stage: pipelines.Stage) -> bool:
        found = self.usable.get(stage.engine)
        return found is not None and found.born_ms == stage.born_ms

    def _release(self, stages: Iterable[pipelines.Stage]) -> None:
        for stage in stages:
            self.spares[stage.engine] = self.usable[stage.engine]
            # It still holds its layers.
            self.replicas[stage.engine] = stage
        self.spares = {n: e for n, e in self.usable.items() if n in self.spares}


def new_name(used_names: set[str], data_centre: str) -> str:
    """Returns an unused name for a pipeline and records it as used."""
    number = 1
    while f"{data_centre}-{number}" in used_names:
        number += 1
    name = f"{data_centre}-{number}"
    used_names.add(name)
    return name
