"""Engines, their faults, and the plan that the core makes for them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import upstreams
from yuccatally_bench.emulation import experiment as experiment_module
from yuccatally_bench.emulation import pipeline as pipeline_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from yuccatally.core.forwarding import rules
    from yuccatally_bench.emulation import clock as clock_module
    from yuccatally_bench.emulation import policies

SERVICE = "model"
# From the first stalled stream to a plan without the lost engine: a report that
# is not answered, and the heartbeats on the way.
DETECT_S = 0.6
# An entry lapses after three heartbeats of 1.2 s.
LAPSE_S = 3.6


class Placement:
    """Which engines hold what, and the pipelines that result.

    Attributes:
        engines: Engines that announce themselves, by name.
        lost: Engines that control has found silent.
        paths: Whole pipelines as the instances see them.
        pipelines: The same as they run, by name.
        loads: Loads of layers that were ordered.
    """

    def __init__(
        self,
        found: experiment_module.Experiment,
        policy: policies.Policy,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self.experiment = found
        self.model: rules.Model = found.model
        self.policy = policy
        self.clock = clock
        self.rng = rng
        self.pipe = pipeline_module.Pipe(found.model.pipe_mbps)
        self.engines: dict[str, upstreams.Upstream] = {}
        self.dead: set[str] = set()
        self.lost: set[str] = set()
        self.slow: dict[str, float] = {}
        self.held: dict[tuple[str, int], upstreams.LayerRange] = {}
        self.loading: set[tuple[str, int, int, int]] = set()
        self.plan = pipelines.Plan()
        self.paths: list[dispatch.Path] = []
        self.pipelines: dict[str, pipeline_module.Pipeline] = {}
        self.loads = 0
        number = 0
        for group in found.engines:
            for _ in range(group.count):
                number += 1
                name = f"e{number:04}"
                self.engines[name] = upstreams.Upstream(
                    name,
                    1,
                    SERVICE,
                    f"{name}:1",
                    group.data_centre,
                    found.model.slots,
                    False,
                    card=group.card,
                )
        self._replan(first=True)

    def strike(self, fault: experiment_module.Fault) -> None:
        """Lets a fault happen to engines that hold layers."""
        holding = sorted(
            s.engine
            for p in self.plan.pipelines
            for s in p.stages
            if s.engine not in self.dead
        )
        for name in self.rng.sample(holding, min(fault.count, len(holding))):
            match fault.kind:
                case experiment_module.FaultKind.SLOW:
                    self._slow(name, fault)
                case _:
                    self._crash(name, fault)

    def doubt(self, path: str) -> None:
        """Takes in that streams of a path stand still."""
        pipeline = self.pipelines.get(path)
        if pipeline is None or not pipeline.dead:
            return
        for hop in pipeline.path.hops:
            if hop.name in self.dead and hop.name not in self.lost:
                self.clock.after(DETECT_S, lambda n=hop.name: self._lose(n))

    def _crash(self, name: str, fault: experiment_module.Fault) -> None:
        self.dead.add(name)
        for pipeline in self.pipelines.values():
            if any(h.name == name for h in pipeline.path.hops):
                pipeline.fail(self.experiment.stall_s)
        self.clock.after(LAPSE_S, lambda: self._lose(name))
        if fault.kind is experiment_module.FaultKind.CRASH:
            self.clock.after(fault.for_s, lambda: self._restart(name))

    def _lose(self, name: str) -> None:
        if name in self.dead and name not in self.lost:
            self.lost.add(name)
            self._replan()

    def _restart(self, name: str) -> None:
        """Brings an engine back, empty and as another incarnation."""
        self.dead.discard(name)
        self.lost.discard(name)
        known = self.engines[name]
        self.engines[name] = dataclasses.replace(
            known, born_ms=known.born_ms + 1
        )
        self._replan()

    def _slow(self, name: str, fault: experiment_module.Fault) -> None:
        self.slow[name] = fault.factor
        self._set_factors()

        def recover() -> None:
            self.slow.pop(name, None)
            self._set_factors()

        self.clock.after(fault.for_s, recover)

    def _usable(self) -> Iterable[upstreams.Upstream]:
        return [e for n, e in self.engines.items() if n not in self.lost]

    def _replan(self, first: bool = False) -> None:
        # The planner adds one pipeline a data centre each time.
        while True:
            found = self.policy.plan(self.model, self._usable(), self.plan)
            if found is self.plan:
                break
            self.plan = found
        for pipeline in self.plan.pipelines:
            for stage in pipeline.stages:
                self._load(stage, first)
        self._make_paths()

    def _load(self, stage: pipelines.Stage, at_once: bool) -> None:
        key = (stage.engine, stage.born_ms)
        held = self.held.get(key)
        if held is not None and held.covers(stage.first, stage.last):
            return
        order = (*key, stage.first, stage.last)
        if order in self.loading:
            return
        if at_once:
            self.held[key] = stage.layers
            return
        self.loads += 1
        self.loading.add(order)
        share = (stage.last - stage.first) / self.model.layers
        busy = max(1.0, len(self.loading) / max(1, self.model.loads_at_once))

        def loaded() -> None:
            self.loading.discard(order)
            self.held[key] = stage.layers
            self._make_paths()

        self.clock.after(self.model.load_s * share * busy, loaded)

    def _make_paths(self) -> None:
        """Takes over the pipelines whose stages are all there."""
        whole = []
        for pipeline in self.plan.pipelines:
            hops = [self._hop(s) for s in pipeline.stages]
            if all(hops):
                whole.append((pipeline.name, tuple(h for h in hops if h)))
        self.paths = dispatch.build_paths(self.model, whole)
        for path in self.paths:
            known = self.pipelines.get(path.name)
            if known is None or known.path.hops != path.hops:
                self.pipelines[path.name] = pipeline_module.Pipeline(
                    path, self.model, self.clock, self.pipe
                )
            elif known.path != path:
                known.path = path
        self._set_factors()

    def _hop(self, stage: pipelines.Stage) -> dispatch.Hop | None:
        engine = self.engines[stage.engine]
        if engine.born_ms != stage.born_ms or engine.name in self.lost:
            return None
        held = self.held.get((stage.engine, stage.born_ms))
        if held is None or not held.covers(stage.first, stage.last):
            return None
        return dispatch.Hop(engine, stage.first, stage.last)

    def _set_factors(self) -> None:
        for pipeline in self.pipelines.values():
            shares = [
                (last - first)
                / self.model.layers
                * self.slow.get(hop.name, 1.0)
                for hop, (first, last) in zip(
                    pipeline.path.hops, pipeline.path.ranges, strict=True
                )
            ]
            pipeline.factor = sum(shares)
