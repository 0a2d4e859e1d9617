"""Placement of a model on engines that pass requests on by themselves."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from yuccatally.core.forwarding import rules

# Tokens of requests that each stage is to have memory for, best first. A
# pipeline of today's sites runs some 40 requests of 900 tokens at its peak.
TOKEN_STEPS = (75e3, 60e3, 50e3, 40e3, 30e3, 20e3, 12e3)
# The same for stages that replace lost ones. Starting lower takes fewer spare
# engines, and so more of them are left for the next loss. The room of a
# pipeline is that of its weakest stage.
REPAIR_TOKEN_STEPS = (50e3, 40e3, 30e3, 20e3)
# With less, a pipeline takes some ten requests, a sixth of what it could.
TIGHT_TOKEN_STEPS = (12e3, 8e3, 4e3)
# Below this many pipelines, engines of several data centres are joined: each
# crossing costs tens of milliseconds a prompt on a shared link.
LEAST_PIPELINES = 2


@dataclasses.dataclass(frozen=True)
class Stage:
    """A range of layers on one incarnation of an engine.

    Attributes:
        engine: Name of the engine.
        born_ms: Its start, milliseconds since 1970.
        first: First layer.
        last: Layer after the last one.
    """

    engine: str
    born_ms: int
    first: int
    last: int

    @property
    def layers(self) -> upstreams.LayerRange:
        """The range as engines report it."""
        return upstreams.LayerRange(self.first, self.last)


@dataclasses.dataclass(frozen=True)
class Pipeline:
    """Stages that together hold every layer once, in order.

    Raises:
        ValueError: A layer is missing, comes twice or is out of order.
    """

    name: str
    stages: tuple[Stage, ...]

    def __post_init__(self) -> None:
        reached = 0
        for stage in self.stages:
            if stage.first != reached or stage.last <= stage.first:
                raise ValueError(f"{self.name}: gap or overlap at {reached}")
            reached = stage.last

    @property
    def layers(self) -> int:
        """Number of layers that the stages hold."""
        return self.stages[-1].last if self.stages else 0


@dataclasses.dataclass(frozen=True)
class Plan:
    """The pipelines of one service.

    Attributes:
        generation: Number of the plan; it grows with each change.
        pipelines: Pipelines by the order of their names.
        fence: Fencing number of the lease under which it was made.
    """

    generation: int = 0
    pipelines: tuple[Pipeline, ...] = ()
    fence: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Order of plans: a later holder of the lease goes first."""
        return (self.fence, self.generation)

    @property
    def stages(self) -> dict[str, Stage]:
        """Stages by engine."""
        return {s.engine: s for p in self.pipelines for s in p.stages}


def plan(
    model: rules.Model,
    engines: Iterable[upstreams.Upstream],
    previous: Plan,
    fence: int = 0,
) -> Plan:
    """Returns the plan for the engines that may be used.

    Load pattern: an engine is lost at the peak. Its pipeline is repaired with
    spare engines, and all other stages stay as they are, so that nothing that
    serves is moved. Engines that no pipeline needs are kept as spares.

    Args:
        model: How the engines run the model.
        engines: Engines that may be used.
        previous: Plan in force.
        fence: Fencing number of the lease that is held.

    Returns:
        The previous plan if nothing has to change.
    """
    planner = _Planner(model, engines)
    planner.reserve(previous)
    kept = [planner.repair(p) for p in previous.pipelines]
    pipelines = [p for p in kept if p is not None]
    pipelines.extend(planner.build(pipelines))
    found = tuple(sorted(pipelines, key=lambda p: p.name))
    if found == previous.pipelines:
        return previous
    return Plan(previous.generation + 1, found, max(fence, previous.fence))


class _Planner:
    def __init__(
        self, model: rules.Model, engines: Iterable[upstreams.Upstream]
    ) -> None:
        self.model = model
        self.free = {
            e.name: e
            for e in sorted(engines, key=self._speed)
            if e.card in model.cards
        }
        self.all = dict(self.free)

    def reserve(self, previous: Plan) -> None:
        """Keeps the engines of all pipelines from being taken as spares."""
        for stage in previous.stages.values():
            if self._is_there(stage):
                del self.free[stage.engine]

    def repair(self, pipeline: Pipeline) -> Pipeline | None:
        """Returns a pipeline with its lost stages replaced, if it can be."""
        kept = [s for s in pipeline.stages if self._is_there(s)]
        if len(kept) == len(pipeline.stages):
            return pipeline
        homes = {self.all[s.engine].data_centre for s in kept}
        for lost in _gaps(kept, self.model.layers):
            cover = self._cover(lost, kept, homes)
            if cover is None:
                self._release(kept)
                return None
            kept.extend(cover)
        ordered = tuple(sorted(kept, key=lambda s: s.first))
        return Pipeline(pipeline.name, ordered)

    def build(self, existing: Sequence[Pipeline]) -> list[Pipeline]:
        """Returns new pipelines on engines that are free."""
        built: list[Pipeline] = []
        taken = {p.name for p in existing}
        homes = sorted({e.data_centre for e in self.free.values()})
        for home in homes:
            local = [e for e in self.free.values() if e.data_centre == home]
            stages = self._spread(local)
            if stages is not None:
                built.append(Pipeline(_name(taken, home), stages))
        if len(existing) + len(built) < LEAST_PIPELINES:
            by_home = sorted(
                self.free.values(), key=lambda e: (e.data_centre, e.name)
            )
            stages = self._spread(by_home, keep_order=True)
            if stages is not None:
                built.append(Pipeline(_name(taken, "all"), stages))
        return built

    def _cover(
        self, lost: upstreams.LayerRange, kept: list[Stage], homes: set[str]
    ) -> list[Stage] | None:
        """Returns stages for a lost range, taking engines from the spares.

        Spare engines of the same data centre come first, then its neighbours
        in the pipeline with more layers, and engines elsewhere last, alone or
        beside the neighbours: prompts wait for each other on the shared link
        between data centres.

        Load pattern: one engine after the other is lost at the peak. A small
        spare engine can hold the range of a larger one, with memory left for
        five requests; growing the neighbours leaves more room and goes before
        that. Room is not gained over the shared link, which carries twelve
        prompts a second for all pipelines that cross it.
        """
        local = [e for e in self.free.values() if e.data_centre in homes]
        everywhere = list(self.free.values())
        for engines, steps in (
            (local, REPAIR_TOKEN_STEPS),
            (local, TIGHT_TOKEN_STEPS),
            (everywhere, REPAIR_TOKEN_STEPS),
            (everywhere, TIGHT_TOKEN_STEPS),
        ):
            for find in (
                functools.partial(self._fewest, engines, lost),
                functools.partial(self._extend, lost, kept, engines),
            ):
                for tokens in steps:
                    stages = find(tokens)
                    if stages is not None:
                        return stages
        return None

    def _fewest(
        self,
        engines: list[upstreams.Upstream],
        layers: upstreams.LayerRange,
        tokens: float,
    ) -> list[Stage] | None:
        """Fills a range with few engines, and small ones where they do.

        The larger ones stay free for the loss of a larger stage.
        """
        rooms = {e.name: self._room(e, tokens) for e in engines}
        size = layers.last - layers.first
        chosen: list[upstreams.Upstream] = []
        left = sorted(engines, key=lambda e: rooms[e.name])
        while size > 0 and left:
            enough = [e for e in left if rooms[e.name] >= size]
            taken = enough[0] if enough else left[-1]
            left.remove(taken)
            chosen.append(taken)
            size -= rooms[taken.name]
        return self._fill(chosen, layers, tokens)

    def _extend(
        self,
        lost: upstreams.LayerRange,
        kept: list[Stage],
        spares: list[upstreams.Upstream],
        tokens: float,
    ) -> list[Stage] | None:
        """Gives a lost range to the stages beside it and to spare engines.

        Removes the stages that grow from ``kept`` and returns them as well.
        """
        before = next((s for s in kept if s.last == lost.first), None)
        after = next((s for s in kept if s.first == lost.last), None)
        first, last = lost.first, lost.last
        if before is not None:
            first = min(last, first + self._growth(before, tokens))
        if after is not None:
            last = max(first, last - self._growth(after, tokens))
        stages = self._fewest(spares, upstreams.LayerRange(first, last), tokens)
        if stages is None:
            return None
        if before is not None and first > lost.first:
            kept.remove(before)
            stages.append(dataclasses.replace(before, last=first))
        if after is not None and last < lost.last:
            kept.remove(after)
            stages.append(dataclasses.replace(after, first=last))
        return stages

    def _growth(self, stage: Stage, tokens: float) -> int:
        room = self._room(self.all[stage.engine], tokens)
        return max(0, room - (stage.last - stage.first))

    def _spread(
        self, engines: list[upstreams.Upstream], keep_order: bool = False
    ) -> tuple[Stage, ...] | None:
        """Returns stages for a whole model with as much memory as possible."""
        whole = upstreams.LayerRange(0, self.model.layers)
        for spare in (True, False):
            for tokens in TOKEN_STEPS:
                rooms = [self._room(e, tokens) for e in engines]
                # Without the largest engine the rest must be able to hold it.
                reserve = max(rooms, default=0) if spare else 0
                if sum(rooms) - reserve < self.model.layers:
                    continue
                chosen = engines
                if keep_order:
                    # Neighbours in the path share a data centre.
                    chosen = [e for e in engines if self._room(e, tokens)]
                stages = self._fill(chosen, whole, tokens)
                if stages is not None:
                    return tuple(stages)
        return None

    def _fill(
        self,
        engines: list[upstreams.Upstream],
        layers: upstreams.LayerRange,
        tokens: float,
    ) -> list[Stage] | None:
        """Gives a range to engines in order; takes none if it does not fit."""
        stages: list[Stage] = []
        first = layers.first
        for engine in engines:
            if first == layers.last:
                break
            size = min(self._room(engine, tokens), layers.last - first)
            if size <= 0:
                continue
            stages.append(
                Stage(engine.name, engine.born_ms, first, first + size)
            )
            first += size
        if first < layers.last:
            return None
        for stage in stages:
            del self.free[stage.engine]
        return stages

    def _room(self, engine: upstreams.Upstream, tokens: float) -> int:
        """Returns the layers beside which a number of tokens fits."""
        card = self.model.cards[engine.card]
        per_layer_mb = (
            self.model.layer_mb + tokens * self.model.token_layer_bytes / 1e6
        )
        most = self.model.max_layers(card)
        return min(most, int(card.memory_mb // per_layer_mb))

    def _speed(self, engine: upstreams.Upstream) -> tuple[float, str]:
        card = self.model.cards.get(engine.card)
        if card is None:
            return (0.0, engine.name)
        return (card.step_factor + card.read_factor, engine.name)

    def _is_there(self, stage: Stage) -> bool:
        found = self.all.get(stage.engine)
        return found is not None and found.born_ms == stage.born_ms

    def _release(self, stages: Iterable[Stage]) -> None:
        for stage in stages:
            self.free[stage.engine] = self.all[stage.engine]
        self.free = {n: e for n, e in self.all.items() if n in self.free}


def _gaps(stages: Iterable[Stage], layers: int) -> list[upstreams.LayerRange]:
    """Returns the ranges that no stage holds.

    >>> _gaps([Stage("a", 0, 0, 4), Stage("b", 0, 6, 8)], 9)
    [LayerRange(first=4, last=6), LayerRange(first=8, last=9)]
    """
    gaps = []
    reached = 0
    for stage in sorted(stages, key=lambda s: s.first):
        if stage.first > reached:
            gaps.append(upstreams.LayerRange(reached, stage.first))
        reached = stage.last
    if reached < layers:
        gaps.append(upstreams.LayerRange(reached, layers))
    return gaps


def _name(taken: set[str], home: str) -> str:
    number = 1
    while f"{home}-{number}" in taken:
        number += 1
    name = f"{home}-{number}"
    taken.add(name)
    return name
