"""Steps from what is the case to what a placement declares.

The steps are derived anew from the observed state each time. A new holder of
the lease therefore continues where the last one stopped, and an order that is
given twice changes nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.control import states

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_LOADS = 4  # bounds the demand on the rate-limited store of weights


def reconcile(
    desired: states.DesiredState,
    observed: states.ObservedState,
    max_loads: int = MAX_LOADS,
) -> tuple[states.Step, ...]:
    """Returns the steps that can be taken now.

    The served version always keeps a whole pipeline: nothing of its last one
    is removed or unloaded before another version's pipeline is whole and
    served.

    Args:
        desired: What the placement asks for.
        observed: Declared pipelines and reports of reachable engines.
        max_loads: Greatest number of loads under way at once.

    Returns:
        Orders, object writes, and what is blocked.
    """
    planner = _Planner(desired, observed, max_loads)
    return tuple(planner.steps())


def is_whole(
    pipeline: states.Pipeline, engines: dict[str, states.EngineState]
) -> bool:
    """Returns whether every stage is loaded on a reachable engine."""
    return all(_is_ready(stage, engines) for stage in pipeline.stages)


class _Planner:
    def __init__(
        self,
        desired: states.DesiredState,
        observed: states.ObservedState,
        max_loads: int,
    ) -> None:
        self.desired = desired
        self.observed = observed
        self.engines = observed.engines
        self.declared = {p.name: p for p in observed.declared}
        under_way = sum(
            not h.ready for e in self.engines.values() for h in e.holdings
        )
        self.loads_left = max(0, max_loads - under_way)
        self.planned_layers: dict[str, int] = {}
        self.removed: set[str] = set()

    def steps(self) -> Iterator[states.Step]:
        for pipeline in self.desired.pipelines:
            yield from self._advance(pipeline)
        yield from self._switch()
        yield from self._retire()
        yield from self._unload()

    def _advance(self, pipeline: states.Pipeline) -> Iterator[states.Step]:
        if is_whole(pipeline, self.engines):
            if self.declared.get(pipeline.name) != pipeline:
                yield states.DeclarePipeline(pipeline)
            return
        for stage in pipeline.stages:
            yield from self._prepare(pipeline, stage)

    def _prepare(
        self, pipeline: states.Pipeline, stage: states.Stage
    ) -> Iterator[states.Step]:
        engine = self.engines.get(stage.engine)
        if engine is None:
            reason = f"engine {stage.engine} does not answer"
            yield states.Blocked(pipeline.name, reason)
            return
        if engine.holding(stage.range) is not None:
            return
        planned = self.planned_layers.get(stage.engine, 0)
        if engine.free_layers - planned < stage.range.layer_count:
            yield from self._make_room(pipeline, stage)
            return
        if self.loads_left == 0:
            reason = f"loading of {stage.engine} waits for other loads"
            yield states.Blocked(pipeline.name, reason)
            return
        self.loads_left -= 1
        self.planned_layers[stage.engine] = planned + stage.range.layer_count
        yield states.Load(stage.engine, stage.range)

    def _make_room(
        self, pipeline: states.Pipeline, stage: states.Stage
    ) -> Iterator[states.Step]:
        """Gives up an old pipeline on the engine, unless it is needed."""
        for old in self.observed.declared:
            uses = any(s.engine == stage.engine for s in old.stages)
            if not uses or self._is_wanted(old) or old.name in self.removed:
                continue
            if self._may_remove(old):
                self.removed.add(old.name)
                yield states.RemovePipeline(old.name)
            else:
                reason = f"{old.name} is the last whole pipeline in use"
                yield states.Blocked(pipeline.name, reason)
                return
        reason = (
            f"{stage.engine} has no room for {stage.range.layer_count} layers"
        )
        yield states.Blocked(pipeline.name, reason)

    def _switch(self) -> Iterator[states.Step]:
        if self.observed.served_version == self.desired.version:
            return
        ready = [
            p
            for p in self.desired.pipelines
            if self.declared.get(p.name) == p and is_whole(p, self.engines)
        ]
        # With room for both versions, capacity does not drop at the switch.
        # Without it, half of the pipelines have to move first.
        needed = max(1, (len(self.desired.pipelines) + 1) // 2)
        if len(ready) >= needed:
            yield states.SwitchVersion(self.desired.model, self.desired.version)
            return
        reason = f"{len(ready)} of {needed} pipelines are whole and declared"
        yield states.Blocked(f"{self.desired.model} switch", reason)

    def _retire(self) -> Iterator[states.Step]:
        """Removes pipelines that are not wanted and carry no sequences."""
        if self.observed.served_version != self.desired.version:
            return
        replaced = {p.name for p in self.desired.pipelines}
        for old in self.observed.declared:
            if old.name in replaced or old.name in self.removed:
                continue
            busy = self._sequences(old)
            if old.version != self.observed.served_version and busy:
                reason = f"{busy} sequences of the old version are in progress"
                yield states.Blocked(old.name, reason)
            elif self._may_remove(old):
                self.removed.add(old.name)
                yield states.RemovePipeline(old.name)
            else:
                reason = "it is the last whole pipeline in use"
                yield states.Blocked(old.name, reason)

    def _unload(self) -> Iterator[states.Step]:
        """Drops ranges that no declared or wanted pipeline uses."""
        used = {
            (s.engine, s.range)
            for p in (*self.observed.declared, *self.desired.pipelines)
            for s in p.stages
        }
        for engine in self.engines.values():
            for held in engine.holdings:
                if held.range.model != self.desired.model:
                    continue
                if (engine.name, held.range) in used:
                    continue
                if held.sequences:
                    reason = f"{held.sequences} sequences are in progress"
                    yield states.Blocked(engine.name, reason)
                else:
                    yield states.Unload(engine.name, held.range)

    def _may_remove(self, old: states.Pipeline) -> bool:
        """Returns whether another whole pipeline of the version remains."""
        if old.version != self.observed.served_version:
            return True
        if not is_whole(old, self.engines):
            return True
        remaining = [
            p
            for p in self.observed.declared
            if p.name != old.name
            and p.name not in self.removed
            and p.version == old.version
            and is_whole(p, self.engines)
        ]
        return bool(remaining)

    def _is_wanted(self, pipeline: states.Pipeline) -> bool:
        return pipeline in self.desired.pipelines

    def _sequences(self, pipeline: states.Pipeline) -> int:
        counts = [0]
        for stage in pipeline.stages:
            engine = self.engines.get(stage.engine)
            held = engine.holding(stage.range) if engine else None
            counts.append(held.sequences if held else 0)
        return max(counts)


def _is_ready(
    stage: states.Stage, engines: dict[str, states.EngineState]
) -> bool:
    engine = engines.get(stage.engine)
    held = engine.holding(stage.range) if engine else None
    return held is not None and held.ready
