"""Plans pipelines by the room that they have together."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import engine_memory
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import planning
from yuccatally.core.forwarding import relief
from yuccatally.core.forwarding import replication
from yuccatally.core.forwarding import room
from yuccatally.core.forwarding import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccatally.core.forwarding import rules

# Request memory of stages in tokens, from the preferred to the least useful.
TOKEN_TARGETS = (90e3, 75e3, 60e3, 50e3, 40e3, 30e3, 20e3, 12e3, 8e3, 4e3)
# A further pipeline with less takes more engines from the replicas than it is
# worth.
MIN_NEW_TOKENS = 30e3
# A new pipeline leaves no spare engine if that gains more than this.
SPARE_GAIN_RATIO = 1.25
# Room that a load must gain for each layer: the shared store of the weights
# serves few loads at full speed, and loads delay those of other pipelines.
LAYER_LOAD_TOKENS = 300.0


def plan(
    model: rules.Model,
    engines: Iterable[upstreams.Upstream],
    previous: pipelines.Plan,
    fence: int = 0,
) -> pipelines.Plan:
    """Returns the plan for the usable engines.

    Load pattern: at peak load one engine of each pipeline of a data centre
    fails at once. Repaired one by one, each pipeline keeps a stage with memory
    for a handful of requests. Instead, the broken pipelines of a data centre
    are planned together: some give their engines to the others and are built
    again from what remains, whichever leaves the most room. Pipelines that are
    whole keep their stages; those with too little room are relieved by spare
    engines before new pipelines are built.

    Args:
        model: Properties of the model.
        engines: Usable engines, with the layers that they are known to hold.
        previous: Plan in force.
        fence: Fencing number of the control lease.

    Returns:
        The previous plan if no change is necessary.
    """
    draft = _Draft.from_plan(model, engines, previous)
    for data_centre, broken in draft.take_broken(previous).items():
        draft = _best_repair(draft, data_centre, broken)
    relieving = relief.relieve(
        model, draft.usable, draft.spares, draft.stages, draft.replicas
    )
    draft.apply(relieving)
    has_grown = draft.build_next()
    planned = draft.planned()
    replicas = tuple(
        sorted(
            (s for n, s in draft.replicas.items() if n in draft.spares),
            key=lambda s: s.engine,
        )
    )
    if not has_grown:
        replicas = replication.replicate(
            model, draft.usable, draft.spares, replicas, planned
        )
    if (planned, replicas) == (previous.pipelines, previous.replicas):
        return previous
    return pipelines.Plan(
        previous.generation + 1, planned, max(fence, previous.fence), replicas
    )


@dataclasses.dataclass
class _Draft:
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
    ) -> _Draft:
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

    def copy(self) -> _Draft:
        """Returns a copy to try changes on."""
        return _Draft(
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
        return room.stages_room(self.model, self.usable, stages)

    def score(self, stages: Sequence[pipelines.Stage]) -> float:
        """Returns the mean room of changed stages, less the cost of loads."""
        missing = [self.missing_layers(s) for s in stages]
        load_s = self.model.load_s * max(missing) / self.model.layers
        return self.tokens(stages) * room.ready_ratio(
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
                self._cover(kept, spares),
                self._fill(kept, spares),
                self._restage(kept, spares) if spares is local else None,
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
        for tokens in TOKEN_TARGETS:
            if tokens < MIN_NEW_TOKENS and self.stages:
                return
            chosen = _fastest(self.model, local, tokens)
            if chosen is None:
                continue
            chosen.sort(key=self._position)
            stages = _assign(self.model, chosen, tokens)
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
            stages = _assign(self.model, engines, tokens)
            if stages is not None:
                return tokens, stages
        return None

    def _available(self) -> list[str]:
        """Returns the spare engines that relieve no stage."""
        return [n for n in self.spares if n not in self.reserved]

    def _position(self, engine: upstreams.Upstream) -> tuple[int, str]:
        """Returns where an engine stands in a path by what it holds."""
        return (engine.layers.first if engine.layers else 0, engine.name)

    def _cover(
        self,
        kept: Sequence[pipelines.Stage],
        spares: Sequence[upstreams.Upstream],
    ) -> list[pipelines.Stage] | None:
        """Fills the gaps with engines that hold the layers already."""
        holdings = [
            composition.Holding(e, e.layers, e.layers.last - e.layers.first)
            for e in spares
            if e.layers is not None
        ]
        gaps = _gaps(kept, self.model)
        for tokens in TOKEN_TARGETS:
            # An engine unloads the layers outside its stage.
            hops = room.cover_gaps(
                gaps,
                [
                    (
                        h,
                        engine_memory.layer_capacity(
                            self.model, h.engine, tokens
                        ),
                    )
                    for h in holdings
                ],
            )
            if hops is not None:
                return [
                    *kept,
                    *(_stage(h.engine, h.first, h.last) for h in hops),
                ]
        return None

    def _fill(
        self,
        kept: Sequence[pipelines.Stage],
        spares: Sequence[upstreams.Upstream],
    ) -> list[pipelines.Stage] | None:
        """Fills the gaps with few spare engines that load the layers."""
        for tokens in TOKEN_TARGETS:
            stages = list(kept)
            left = list(spares)
            for gap in _gaps(kept, self.model):
                chosen = _fewest(self.model, left, gap, tokens)
                found = _assign(self.model, chosen, tokens, gap)
                if found is None:
                    break
                stages.extend(found)
                used = {s.engine for s in found}
                left = [e for e in left if e.name not in used]
            else:
                return stages
        return None

    def _restage(
        self,
        kept: Sequence[pipelines.Stage],
        spares: Sequence[upstreams.Upstream],
    ) -> list[pipelines.Stage] | None:
        """Divides all layers anew among the engines of a broken pipeline.

        Each stage moves by a few layers, as the engines keep their order.
        Nothing is taken away, since a broken pipeline serves nothing.
        """
        own = [self.usable[s.engine] for s in kept]
        gaps = _gaps(kept, self.model)
        position = sum(s.last <= gaps[0].first for s in kept)
        for tokens in TOKEN_TARGETS:
            size = _capacity(self.model, own, tokens)
            added = []
            for engine in sorted(
                spares,
                key=lambda e: (
                    -engine_memory.layer_capacity(self.model, e, tokens)
                ),
            ):
                if size >= self.model.layers:
                    break
                added.append(engine)
                size += _capacity(self.model, [engine], tokens)
            engines = [*own[:position], *added, *own[position:]]
            stages = _assign(self.model, engines, tokens)
            if stages is not None:
                return stages
        return None


def _best_repair(
    draft: _Draft, data_centre: str, broken: Sequence[pipelines.Pipeline]
) -> _Draft:
    """Repairs the broken pipelines of a data centre together.

    The pipelines that miss the most layers give their engines to the others
    and are built again from the remaining ones. How many do so is decided by
    the total room.
    """
    ordered = sorted(
        broken,
        key=lambda p: (
            -sum(s.last - s.first for s in draft.kept(p)),
            p.name,
        ),
    )
    drafts = []
    for kept_count in range(len(ordered), -1, -1):
        trial = draft.copy()
        for pipeline in ordered[kept_count:]:
            trial.release(trial.kept(pipeline))
        for pipeline in ordered[:kept_count]:
            trial.repair(pipeline, data_centre)
        for pipeline in ordered:
            if pipeline.name not in trial.stages:
                trial.rebuild(pipeline.name, data_centre)
        drafts.append(trial)
    return max(drafts, key=_Draft.room)


def _gaps(
    kept: Sequence[pipelines.Stage], model: rules.Model
) -> list[upstreams.LayerRange]:
    return composition.find_gaps(
        [(s.first, s.last) for s in kept], model.layers
    )


def _capacity(
    model: rules.Model, engines: Iterable[upstreams.Upstream], tokens: float
) -> int:
    return sum(engine_memory.layer_capacity(model, e, tokens) for e in engines)


def _fastest(
    model: rules.Model, engines: Sequence[upstreams.Upstream], tokens: float
) -> list[upstreams.Upstream] | None:
    """Returns the fastest engines that hold all layers, or None."""
    chosen: list[upstreams.Upstream] = []
    size = 0
    for engine in engines:
        if size >= model.layers:
            break
        capacity = engine_memory.layer_capacity(model, engine, tokens)
        if capacity:
            chosen.append(engine)
            size += capacity
    return chosen if size >= model.layers else None


def _fewest(
    model: rules.Model,
    engines: Sequence[upstreams.Upstream],
    layers: upstreams.LayerRange,
    tokens: float,
) -> list[upstreams.Upstream]:
    """Returns as few and as small engines for a range as possible."""
    size = layers.last - layers.first
    available = sorted(
        engines,
        key=lambda e: engine_memory.layer_capacity(model, e, tokens),
    )
    chosen: list[upstreams.Upstream] = []
    while size > 0 and available:
        capacities = [
            engine_memory.layer_capacity(model, e, tokens) for e in available
        ]
        index = next(
            (i for i, c in enumerate(capacities) if c >= size),
            len(available) - 1,
        )
        chosen.append(available.pop(index))
        size -= capacities[index]
    return chosen


def _assign(
    model: rules.Model,
    engines: Iterable[upstreams.Upstream],
    tokens: float,
    layers: upstreams.LayerRange | None = None,
) -> list[pipelines.Stage] | None:
    """Assigns a range to engines in order, or returns None if it is too large.

    Args:
        model: Properties of the model.
        engines: Engines in the order of their stages.
        tokens: Tokens for which each stage has memory.
        layers: Range to assign; all layers by default.
    """
    layers = layers or upstreams.LayerRange(0, model.layers)
    stages: list[pipelines.Stage] = []
    first = layers.first
    for engine in engines:
        size = min(
            engine_memory.layer_capacity(model, engine, tokens),
            layers.last - first,
        )
        if size > 0:
            stages.append(_stage(engine, first, first + size))
            first += size
    if first < layers.last or len(stages) > composition.MAX_HOP_COUNT:
        return None
    return stages


def _stage(
    engine: upstreams.Upstream, first: int, last: int
) -> pipelines.Stage:
    return pipelines.Stage(engine.name, engine.born_ms, first, last)
