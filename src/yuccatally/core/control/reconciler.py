"""Computes the steps from the observed to the desired state of a placement.

The steps are computed from the observed state each time. A new holder of the
lease therefore continues where the previous one stopped, and a repeated order
has no effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.control import states

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_LOADS = 4  # limits the load on the rate-limited weight store


def reconcile(
    desired: states.DesiredState,
    observed: states.ObservedState,
    max_loads: int = MAX_LOADS,
) -> tuple[states.Step, ...]:
    """Returns the steps that are possible now.

    The served version always keeps a complete pipeline: no part of its last one
    is removed or unloaded before a pipeline of another version is complete and
    served.

    Args:
        desired: Desired state of the placement.
        observed: Declared pipelines and states of reachable engines.
        max_loads: Maximum number of concurrent loads.

    Returns:
        Orders, object writes and blocked steps.
    """
    planner = _Planner(desired, observed, max_loads)
    return tuple(planner.steps())


def is_complete(
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
        loading_count = sum(
            not h.ready for e in self.engines.values() for h in e.holdings
        )
        self.remaining_loads = max(0, max_loads - loading_count)
        self.ordered_layers: dict[str, int] = {}
        self.removed: set[str] = set()

    def steps(self) -> Iterator[states.Step]:
        for pipeline in self.desired.pipelines:
            yield from self._declare_or_load(pipeline)
        yield from self._switch()
        yield from self._remove_obsolete()
        yield from self._unload()

    def _declare_or_load(
        self, pipeline: states.Pipeline
    ) -> Iterator[states.Step]:
        if is_complete(pipeline, self.engines):
            if self.declared.get(pipeline.name) != pipeline:
                yield states.DeclarePipeline(pipeline)
            return
        for stage in pipeline.stages:
            yield from self._load_stage(pipeline, stage)

    def _load_stage(
        self, pipeline: states.Pipeline, stage: states.Stage
    ) -> Iterator[states.Step]:
        engine = self.engines.get(stage.engine)
        if engine is None:
            reason = f"engine {stage.engine} does not answer"
            yield states.Blocked(pipeline.name, reason)
            return
        if engine.holding(stage.range) is not None:
            return
        planned = self.ordered_layers.get(stage.engine, 0)
        if engine.free_layers - planned < stage.range.layer_count:
            yield from self._free_memory(pipeline, stage)
            return
        if self.remaining_loads == 0:
            reason = f"loading of {stage.engine} waits for other loads"
            yield states.Blocked(pipeline.name, reason)
            return
        self.remaining_loads -= 1
        self.ordered_layers[stage.engine] = planned + stage.range.layer_count
        yield states.Load(stage.engine, stage.range)

    def _free_memory(
        self, pipeline: states.Pipeline, stage: states.Stage
    ) -> Iterator[states.Step]:
        """Removes pipelines on the engine that are no longer desired."""
        for old in self.observed.declared:
            uses = any(s.engine == stage.engine for s in old.stages)
            if not uses or self._is_desired(old) or old.name in self.removed:
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
            if self.declared.get(p.name) == p and is_complete(p, self.engines)
        ]
        # If the engines have memory for both versions, the switch does not
        # reduce the capacity. Otherwise half of the pipelines must move first.
        needed = max(1, (len(self.desired.pipelines) + 1) // 2)
        if len(ready) >= needed:
            yield states.SwitchVersion(self.desired.model, self.desired.version)
            return
        reason = f"{len(ready)} of {needed} pipelines are whole and declared"
        yield states.Blocked(f"{self.desired.model} switch", reason)

    def _remove_obsolete(self) -> Iterator[states.Step]:
        """Removes undesired pipelines without sequences in progress."""
        if self.observed.served_version != self.desired.version:
            return
        desired_names = {p.name for p in self.desired.pipelines}
        for old in self.observed.declared:
            if old.name in desired_names or old.name in self.removed:
                continue
            busy = self._max_sequences(old)
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
        """Unloads ranges that no declared or desired pipeline uses."""
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
        """Returns whether another complete pipeline of the version remains."""
        if old.version != self.observed.served_version:
            return True
        if not is_complete(old, self.engines):
            return True
        remaining = [
            p
            for p in self.observed.declared
            if p.name != old.name
            and p.name not in self.removed
            and p.version == old.version
            and is_complete(p, self.engines)
        ]
        return bool(remaining)

    def _is_desired(self, pipeline: states.Pipeline) -> bool:
        return pipeline in self.desired.pipelines

    def _max_sequences(self, pipeline: states.Pipeline) -> int:
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
