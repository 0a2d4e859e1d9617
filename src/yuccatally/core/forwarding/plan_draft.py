"""A plan in preparation, and the ways to change it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import engine_memory
from yuccatally.core.forwarding import path_room
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import planning
from yuccatally.core.forwarding import staging

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccatally.core.forwarding import relief
    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams

# A further pipeline with less takes more engines from the replicas than it is
# worth.
MIN_NEW_TOKENS = 30e3
# A new pipeline leaves no spare engine if that gains more than this.
SPARE_GAIN_RATIO = 1.25
# Room that a load must gain for each layer: the shared store of the weights
# serves few loads at full speed, and loads delay those of other pipelines.
LAYER_LOAD_TOKENS = 300.0


@dataclasses.dataclass
class Draft:
    """A plan in preparation.

    Attributes:
        model: Properties of the model.
        usable: Usable engines by name, the fastest first.
        spares: Those that no pipeline uses.
        replicas: Ranges of spare engines that hold layers or load them.
        stages: Stages by pipeline.
        changed: Pipelines whose engines may have to load layers.
        reserved: Spare engines that load layers to relieve a stage.
    """

    model: rules.Model
    usable: Mapping[str, upstreams.Upstream]
    spares: dict[str, upstreams.Upstream]
    replicas: dict[str, pipelines.Stage]
    stages: dict[str, tuple[pipelines.Stage, ...]]
    changed: set[str]
    reserved: frozenset[str] = frozenset()

    @classmethod
    def from_plan(
        cls,
        model: rules.Model,
        engines: Iterable[upstreams.Upstream],
        previous: pipelines.Plan,
    ) -> Draft:
        """Returns a draft with the pipelines of a plan that are whole."""
        usable = {
            e.name: e
            for e in sorted(
                engines, key=lambda e: engine_memory.slowness(model, e)
            )
            if e.card in model.cards
        }
        draft = cls(model, usable, dict(usable), {}, {}, set())
        for stage in previous.replicas:
            if draft.is_usable(stage) and stage.last <= model.layers:
                draft.replicas[stage.engine] = stage
        for pipeline in previous.pipelines:
            if pipeline.layers == model.layers and all(
                draft.is_usable(s) for s in pipeline.stages
            ):
                draft.add(pipeline.name, pipeline.stages)
        return draft

    def copy(self) -> Draft:
        """Returns a copy to try changes on."""
        return Draft(
            self.model,
            self.usable,
            dict(self.spares),
            dict(self.replicas),
            dict(self.stages),
            set(self.changed),
        )

    def is_usable(self, stage: pipelines.Stage) -> bool:
        """Returns whether this incarnation of the engine is usable."""
        found = self.usable.get(stage.engine)
        return found is not None and found.born_ms == stage.born_ms

    def take_broken(
        self, previous: pipelines.Plan
    ) -> dict[str, list[pipelines.Pipeline]]:
        """Returns the pipelines to repair, by data centre.

        Their engines are reserved until it is decided which are released.
        """
        broken: dict[str, list[pipelines.Pipeline]] = {}
        for pipeline in previous.pipelines:
            if (
                pipeline.name in self.stages
                or pipeline.layers != self.model.layers
            ):
                continue
            kept = self.kept(pipeline)
            for stage in kept:
                del self.spares[stage.engine]
            if kept:
                home = self.usable[kept[0].engine].data_centre
                broken.setdefault(home, []).append(pipeline)
        return broken

    def kept(self, pipeline: pipelines.Pipeline) -> list[pipelines.Stage]:
        """Returns the stages of a pipeline whose engines are usable."""
        return [s for s in pipeline.stages if self.is_usable(s)]

    def add(self, name: str, stages: Sequence[pipelines.Stage]) -> None:
        """Adds a pipeline; its engines are no longer spare."""
        self.stages[name] = tuple(sorted(stages, key=lambda s: s.first))
        for stage in stages:
            self.spares.pop(stage.engine, None)

    def release(self, stages: Iterable[pipelines.Stage]) -> None:
        """Returns engines to the spare ones; they still hold their layers."""
        for stage in stages:
            self.spares[stage.engine] = self.usable[stage.engine]
            self.replicas[stage.engine] = stage
        self.spares = {n: e for n, e in self.usable.items() if n in self.spares}

    def apply(self, change: relief.Relief) -> None:
        """Applies the relief of stages with too little memory."""
        released = {
            s.engine: s
            for name, stages in change.stages.items()
            for s in self.stages[name]
            if s.engine not in {n.engine for n in stages}
        }
        for name, stages in change.stages.items():
            self.add(name, stages)
        self.release(released.values())
        self.replicas.update(change.replicas)
        self.reserved = frozenset(change.replicas)

    def planned(self) -> tuple[pipelines.Pipeline, ...]:
        """Returns the pipelines, ordered by name."""
        return tuple(
            pipelines.Pipeline(name, stages)
            for name, stages in sorted(self.stages.items())
        )

    def room(self) -> float:
        """Returns the room of all pipelines, less the cost of their loads."""
        return sum(
            self.score(s) if name in self.changed else self.tokens(s)
            for name, s in self.stages.items()
        )

    def tokens(self, stages: Sequence[pipelines.Stage]) -> float:
        """Returns the tokens that the requests of a pipeline can use."""
        return path_room.stages_room(self.model, self.usable, stages)

    def score(self, stages: Sequence[pipelines.Stage]) -> float:
        """Returns the mean room of changed stages, less the cost of loads."""
        missing = [self.missing_layers(s) for s in stages]
        load_s = self.model.load_s * max(missing) / self.model.layers
        return self.tokens(stages) * path_room.ready_ratio(
            load_s
        ) - LAYER_LOAD_TOKENS * sum(missing)

    def missing_layers(self, stage: pipelines.Stage) -> int:
        """Returns the layers that the engine of a stage has to load."""
        held = self.usable[stage.engine].layers
        if held is None:
            return stage.last - stage.first
        shared = min(stage.last, held.last) - max(stage.first, held.first)
        return stage.last - stage.first - max(0, shared)

    def repair(self, pipeline: pipelines.Pipeline, data_centre: str) -> None:
        """Repairs a pipeline in the way that leaves it the most room."""
        kept = self.kept(pipeline)
        local = [
            e for e in self.spares.values() if e.data_centre == data_centre
        ]
        found = [
            stages
            for spares in (local, list(self.spares.values()))
            for stages in (
                staging.cover(self.model, kept, spares),
                staging.fill(self.model, kept, spares),
                staging.restage(self.model, self.usable, kept, spares)
                if spares is local
                else None,
            )
            if stages is not None
        ]
        if not found:
            self.release(kept)
            return
        best = max(found, key=self.score)
        self.release(
            s for s in kept if s.engine not in {b.engine for b in best}
        )
        self.set(pipeline.name, best)

    def set(self, name: str, stages: Sequence[pipelines.Stage]) -> None:
        """Adds a pipeline whose engines may have to load layers."""
        self.add(name, stages)
        self.changed.add(name)

    def rebuild(self, name: str, data_centre: str) -> None:
        """Builds a released pipeline again from spare engines, if possible."""
        local = [
            e for e in self.spares.values() if e.data_centre == data_centre
        ]
        for tokens in staging.TOKEN_TARGETS:
            if tokens < MIN_NEW_TOKENS and self.stages:
                return
            chosen = staging.fastest(self.model, local, tokens)
            if chosen is None:
                continue
            chosen.sort(key=self._position)
            stages = staging.assign(self.model, chosen, tokens)
            if stages is not None:
                self.set(name, stages)
                return

    def build_next(self) -> bool:
        """Builds further pipelines; returns whether there is a new one.

        The first ones take whatever there is. Later ones leave the largest
        spare engine for the next failure, unless they need it for their room.
        """
        if len(self.stages) < planning.MIN_PIPELINE_COUNT:
            return self._build_first()
        names = set(self.stages)
        count = len(names)
        for data_centre in sorted(
            {e.data_centre for e in self.spares.values()}
        ):
            stages = self._build_stages(data_centre)
            if stages is not None:
                self.add(planning.new_name(names, data_centre), stages)
        return len(self.stages) > count

    def _build_first(self) -> bool:
        planner = planning.Planner(self.model, self.usable.values())
        planner.spares = {n: self.usable[n] for n in self._available()}
        built = planner.build(self.planned())
        for pipeline in built:
            self.add(pipeline.name, pipeline.stages)
        return bool(built)

    def _build_stages(self, data_centre: str) -> list[pipelines.Stage] | None:
        """Returns stages for a new pipeline of a data centre, if worth it."""
        local = [
            self.usable[n]
            for n in self._available()
            if self.usable[n].data_centre == data_centre
        ]
        best = None
        for keeps_spare in (True, False):
            found = self._strongest(local, keeps_spare)
            if found is not None and (
                best is None or found[0] >= SPARE_GAIN_RATIO * best[0]
            ):
                best = found
        return best[1] if best else None

    def _strongest(
        self, engines: Sequence[upstreams.Upstream], keeps_spare: bool
    ) -> tuple[float, list[pipelines.Stage]] | None:
        """Returns the stages with the most memory, and its target."""
        for tokens in planning.TOKEN_TARGETS:
            if tokens < MIN_NEW_TOKENS:
                return None
            capacities = [
                engine_memory.layer_capacity(self.model, e, tokens)
                for e in engines
            ]
            reserve = max(capacities, default=0) if keeps_spare else 0
            if sum(capacities) - reserve < self.model.layers:
                continue
            stages = staging.assign(self.model, engines, tokens)
            if stages is not None:
                return tokens, stages
        return None

    def _available(self) -> list[str]:
        """Returns the spare engines that relieve no stage."""
        return [n for n in self.spares if n not in self.reserved]

    def _position(self, engine: upstreams.Upstream) -> tuple[int, str]:
        """Returns where an engine stands in a path by what it holds."""
        return (engine.layers.first if engine.layers else 0, engine.name)
