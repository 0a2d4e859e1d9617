"""Emulated engines, their faults and the plan that the core computes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import path_building
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
# Time from the first stalled stream to a plan without the failed engine: an
# unanswered request for a load report, and the heartbeats on the way.
FAILURE_DETECTION_S = 0.6
# An entry expires after three heartbeat intervals of 1.2 s.
ENTRY_TIMEOUT_S = 3.6


class Placement:
    """Layers loaded on engines and the resulting pipelines.

    Attributes:
        engines: Registered engines, by name.
        crashed: Names of engines that do not answer.
        failed: Names of engines whose failure is confirmed.
        slow_factors: Factors on the step time of slow engines, by name.
        loaded_layers: Loaded layers by name and start time of the engine.
        pending_loads: Ordered loads that have not completed.
        paths: Complete pipelines as the instances see them.
        pipelines: Emulated pipelines, by name.
        load_count: Number of layer loads that were ordered.
    """

    def __init__(
        self,
        experiment: experiment_module.Experiment,
        policy: policies.Policy,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self.experiment = experiment
        self.model: rules.Model = experiment.model
        self.policy = policy
        self.clock = clock
        self.rng = rng
        self.link = pipeline_module.SharedLink(experiment.model.pipe_mbps)
        self.engines: dict[str, upstreams.Upstream] = {}
        self.crashed: set[str] = set()
        self.failed: set[str] = set()
        self.slow_factors: dict[str, float] = {}
        self.loaded_layers: dict[tuple[str, int], upstreams.LayerRange] = {}
        self.pending_loads: set[tuple[str, int, int, int]] = set()
        self.plan = pipelines.Plan()
        self.paths: list[dispatch.Path] = []
        self.pipelines: dict[str, pipeline_module.Pipeline] = {}
        self.load_count = 0
        number = 0
        for group in experiment.engines:
            for _ in range(group.count):
                number += 1
                name = f"e{number:04}"
                self.engines[name] = upstreams.Upstream(
                    name,
                    1,
                    SERVICE,
                    f"{name}:1",
                    group.data_centre,
                    experiment.model.slots,
                    False,
                    card=group.card,
                )
        self._replan(initial=True)

    def inject_fault(self, fault: experiment_module.Fault) -> None:
        """Injects a fault into engines that are part of a pipeline."""
        engines_with_layers = sorted(
            s.engine
            for p in self.plan.pipelines
            for s in p.stages
            if s.engine not in self.crashed
        )
        for name in self.rng.sample(
            engines_with_layers, min(fault.count, len(engines_with_layers))
        ):
            match fault.kind:
                case experiment_module.FaultKind.SLOW:
                    self._slow_engine(name, fault)
                case _:
                    self._crash_engine(name, fault)

    def suspect(self, path: str) -> None:
        """Records that the streams of a path are stalled."""
        pipeline = self.pipelines.get(path)
        if pipeline is None or not pipeline.failed:
            return
        for hop in pipeline.path.hops:
            if hop.name in self.crashed and hop.name not in self.failed:
                self.clock.call_after(
                    FAILURE_DETECTION_S,
                    lambda n=hop.name: self._confirm_failure(n),
                )

    def _crash_engine(self, name: str, fault: experiment_module.Fault) -> None:
        self.crashed.add(name)
        for pipeline in self.pipelines.values():
            if any(h.name == name for h in pipeline.path.hops):
                pipeline.fail(self.experiment.stall_s)
        self.clock.call_after(
            ENTRY_TIMEOUT_S, lambda: self._confirm_failure(name)
        )
        if fault.kind is experiment_module.FaultKind.CRASH:
            self.clock.call_after(
                fault.for_s, lambda: self._restart_engine(name)
            )

    def _confirm_failure(self, name: str) -> None:
        if name in self.crashed and name not in self.failed:
            self.failed.add(name)
            self._replan()

    def _restart_engine(self, name: str) -> None:
        """Restarts an engine without layers and with a new incarnation."""
        self.crashed.discard(name)
        self.failed.discard(name)
        previous = self.engines[name]
        self.engines[name] = dataclasses.replace(
            previous, born_ms=previous.born_ms + 1
        )
        self._replan()

    def _slow_engine(self, name: str, fault: experiment_module.Fault) -> None:
        self.slow_factors[name] = fault.factor
        self._update_slow_factors()

        def recover() -> None:
            self.slow_factors.pop(name, None)
            self._update_slow_factors()

        self.clock.call_after(fault.for_s, recover)

    def _usable_engines(self) -> Iterable[upstreams.Upstream]:
        return [e for n, e in self.engines.items() if n not in self.failed]

    def _replan(self, initial: bool = False) -> None:
        # Each call of the planner adds at most one pipeline per data centre.
        while True:
            new_plan = self.policy.plan(
                self.model, self._usable_engines(), self.plan
            )
            if new_plan is self.plan:
                break
            self.plan = new_plan
        for stage in self.plan.stages.values():
            self._load_layers(stage, initial)
        for pipeline in self.plan.pipelines:
            for stage in pipeline.stages:
                self._unload_layers(stage)
        self._update_paths()

    def _load_layers(self, stage: pipelines.Stage, immediately: bool) -> None:
        key = (stage.engine, stage.born_ms)
        loaded_layers = self.loaded_layers.get(key)
        if loaded_layers is not None and loaded_layers.covers(
            stage.first, stage.last
        ):
            return
        order = (*key, stage.first, stage.last)
        if order in self.pending_loads:
            return
        if immediately:
            self.loaded_layers[key] = stage.layers
            return
        self.load_count += 1
        self.pending_loads.add(order)
        share = (stage.last - stage.first) / self.model.layers
        queueing_factor = max(
            1.0, len(self.pending_loads) / max(1, self.model.loads_at_once)
        )

        def complete_load() -> None:
            self.pending_loads.discard(order)
            self.loaded_layers[key] = stage.layers
            self._update_paths()

        self.clock.call_after(
            self.model.load_s * share * queueing_factor, complete_load
        )

    def _unload_layers(self, stage: pipelines.Stage) -> None:
        """Unloads the layers of a former replica that its stage excludes."""
        key = (stage.engine, stage.born_ms)
        loaded_layers = self.loaded_layers.get(key)
        if loaded_layers is not None and loaded_layers.covers(
            stage.first, stage.last
        ):
            self.loaded_layers[key] = stage.layers

    def _update_paths(self) -> None:
        """Rebuilds the paths from pipelines whose stages are all loaded."""
        holdings = {}
        for stage in self.plan.stages.values():
            holding = self._build_holding(stage)
            if holding is not None:
                holdings[stage.engine] = holding
        self.paths = path_building.build_paths(
            self.model,
            composition.compose(
                self.model.layers, self.plan.pipelines, holdings
            ),
        )
        for path in self.paths:
            existing = self.pipelines.get(path.name)
            if existing is None or existing.path.hops != path.hops:
                self.pipelines[path.name] = pipeline_module.Pipeline(
                    path, self.model, self.clock, self.link
                )
            elif existing.path != path:
                existing.path = path
        self._update_slow_factors()

    def _build_holding(
        self, stage: pipelines.Stage
    ) -> composition.Holding | None:
        engine = self.engines[stage.engine]
        if engine.born_ms != stage.born_ms or engine.name in self.failed:
            return None
        loaded = self.loaded_layers.get((stage.engine, stage.born_ms))
        if loaded is None or not loaded.covers(stage.first, stage.last):
            return None
        return composition.Holding(
            engine, stage.layers, loaded.last - loaded.first
        )

    def _update_slow_factors(self) -> None:
        for pipeline in self.pipelines.values():
            shares = [
                (last - first)
                / self.model.layers
                * self.slow_factors.get(hop.name, 1.0)
                for hop, (first, last) in zip(
                    pipeline.path.hops, pipeline.path.ranges, strict=True
                )
            ]
            pipeline.slow_factor = sum(shares)
