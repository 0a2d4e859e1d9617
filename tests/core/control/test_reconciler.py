"""Tests version changes, with and without memory for both versions."""

from __future__ import annotations

import dataclasses
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from yuccatally.core.control import reconciler
from yuccatally.core.control import states

LAYERS = 4


def pipeline(version: str, index: int, stages: int = 2) -> states.Pipeline:
    """Returns a pipeline with separate engines for each stage."""
    width = LAYERS // stages
    return states.Pipeline(
        f"site-{version}-{index}",
        "m",
        version,
        tuple(
            states.Stage(
                f"e{index}{k}",
                states.Range("m", version, k * width, (k + 1) * width),
            )
            for k in range(stages)
        ),
    )


@dataclasses.dataclass
class Cluster:
    """Engines, declared pipelines and the served version."""

    capacity: int
    served: str
    declared: dict[str, states.Pipeline]
    engines: dict[str, dict[states.Range, bool]]

    def observed(self) -> states.ObservedState:
        """Returns the observed state."""
        engines = {
            name: states.EngineState(
                name,
                self.capacity,
                tuple(states.Holding(r, ready) for r, ready in held.items()),
            )
            for name, held in self.engines.items()
        }
        return states.ObservedState(
            self.served, tuple(self.declared.values()), engines
        )

    def apply(self, step: states.Step) -> None:
        """Executes a step."""
        match step:
            case states.Load(engine=engine, range=wanted):
                held = self.engines[engine]
                held[wanted] = False
                assert sum(r.layer_count for r in held) <= self.capacity
            case states.Unload(engine=engine, range=dropped):
                self.engines[engine].pop(dropped, None)
            case states.DeclarePipeline(pipeline=declared):
                self.declared[declared.name] = declared
            case states.RemovePipeline(name=name):
                self.declared.pop(name, None)
            case states.SwitchVersion(version=version):
                self.served = version
            case states.Blocked():
                pass

    def finish_load(self, chooser: random.Random) -> None:
        """Finishes the load of one random range."""
        loading = [
            (name, r)
            for name, held in self.engines.items()
            for r, ready in held.items()
            if not ready
        ]
        if loading:
            name, wanted = chooser.choice(loading)
            self.engines[name][wanted] = True

    def complete_count(self, version: str) -> int:
        """Returns the number of complete declared pipelines of a version."""
        engines = self.observed().engines
        return sum(
            p.version == version and reconciler.is_complete(p, engines)
            for p in self.declared.values()
        )


def serving_cluster(count: int, capacity: int) -> Cluster:
    """Returns a cluster in which some pipelines serve version v1."""
    declared = [pipeline("v1", i) for i in range(count)]
    return Cluster(
        capacity,
        "v1",
        {p.name: p for p in declared},
        {s.engine: {s.range: True} for p in declared for s in p.stages},
    )


def desired(version: str, count: int) -> states.DesiredState:
    pipelines = tuple(pipeline(version, i) for i in range(count))
    return states.DesiredState("site", "m", version, pipelines)


@settings(max_examples=150, deadline=None)
@given(
    count=st.integers(2, 4),
    has_spare_memory=st.booleans(),
    seed=st.integers(0, 2**32),
)
def test_roll_keeps_a_whole_pipeline(
    count: int, has_spare_memory: bool, seed: int
) -> None:
    """Guards against a version change that leaves no complete pipeline.

    Only some of the steps are executed, in any order, as if holders of the
    lease were replaced while they work.
    """
    chooser = random.Random(seed)
    cluster = serving_cluster(
        count, LAYERS if has_spare_memory else LAYERS // 2
    )
    wanted = desired("v2", count)
    for _ in range(200):
        steps = list(reconciler.reconcile(wanted, cluster.observed()))
        loads = sum(isinstance(s, states.Load) for s in steps)
        assert loads <= reconciler.MAX_LOADS
        chooser.shuffle(steps)
        for step in steps[: chooser.randint(0, len(steps))]:
            cluster.apply(step)
            assert cluster.complete_count(cluster.served) >= 1, step
        cluster.finish_load(chooser)
    assert cluster.served == "v2"
    assert cluster.complete_count("v2") == count
    assert {r.version for e in cluster.engines.values() for r in e} == {"v2"}
    assert {p.version for p in cluster.declared.values()} == {"v2"}


def test_single_pipeline_without_room_stays_and_says_why() -> None:
    """Guards against removing the only pipeline to free memory."""
    cluster = serving_cluster(1, LAYERS // 2)
    for _ in range(20):
        steps = reconciler.reconcile(desired("v2", 1), cluster.observed())
        for step in steps:
            cluster.apply(step)
    assert cluster.complete_count("v1") == 1
    reasons = [s.reason for s in steps if isinstance(s, states.Blocked)]
    assert "site-v1-0 is the last whole pipeline in use" in reasons


def test_stuck_loads_bound_the_demand_on_the_store() -> None:
    """Guards against a restart of many engines that loads all weights."""
    cluster = serving_cluster(4, LAYERS)
    for held in cluster.engines.values():
        held.clear()
    for _ in range(10):
        steps = reconciler.reconcile(desired("v1", 4), cluster.observed(), 3)
        for step in steps:
            cluster.apply(step)
    loading = [r for e in cluster.engines.values() for r in e]
    assert len(loading) == 3


def test_old_version_stays_while_sequences_are_in_progress() -> None:
    """Guards against ending answers of the old version after the switch."""
    cluster = serving_cluster(1, LAYERS)
    cluster.served = "v2"
    new = pipeline("v2", 0)
    cluster.declared[new.name] = new
    for stage in new.stages:
        cluster.engines[stage.engine][stage.range] = True
    observed = cluster.observed()
    busy = {
        name: dataclasses.replace(
            e,
            holdings=tuple(
                dataclasses.replace(h, sequences=1) for h in e.holdings
            ),
        )
        for name, e in observed.engines.items()
    }
    steps = reconciler.reconcile(
        desired("v2", 1), dataclasses.replace(observed, engines=busy)
    )
    assert [s for s in steps if not isinstance(s, states.Blocked)] == []
    idle = reconciler.reconcile(desired("v2", 1), observed)
    assert states.RemovePipeline("site-v1-0") in idle


@pytest.mark.parametrize("missing", ["e00", "e01"])
def test_silent_engine_is_reported(missing: str) -> None:
    """Guards against a placement that is blocked without a stated reason."""
    cluster = serving_cluster(1, LAYERS)
    del cluster.engines[missing]
    steps = reconciler.reconcile(desired("v1", 1), cluster.observed())
    reason = f"engine {missing} does not answer"
    assert states.Blocked("site-v1-0", reason) in steps
