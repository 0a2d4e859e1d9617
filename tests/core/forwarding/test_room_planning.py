"""Tests the planning of pipelines by the room that they have together."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import pytest

from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import plan_draft
from yuccatally.core.forwarding import room_planning
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import fleets

MODEL = fleets.MODEL


@pytest.fixture(name="settled", scope="module")
def _settled() -> tuple[list[upstreams.Upstream], pipelines.Plan]:
    return fleets.settle(fleets.engines(), pipelines.Plan())


def _assert_valid(
    plan: pipelines.Plan, fleet: list[upstreams.Upstream]
) -> None:
    engines = {e.name: e for e in fleet}
    used = [s.engine for p in plan.pipelines for s in p.stages]
    used += [s.engine for s in plan.replicas]
    assert len(used) == len(set(used))
    assert all(p.layers == MODEL.layers for p in plan.pipelines)
    for stage in plan.stages.values():
        engine = engines[stage.engine]
        assert stage.born_ms == engine.born_ms
        size = stage.last - stage.first
        assert 0 < size <= MODEL.max_layers(MODEL.cards[engine.card])


def test_loss_in_each_pipeline_leaves_most_of_the_room(
    settled: tuple[list[upstreams.Upstream], pipelines.Plan],
) -> None:
    """Guards against pipelines that are repaired for a handful of requests.

    Load pattern: at peak load one engine of each pipeline of a data centre
    is lost at the same time.
    """
    fleet, plan = settled
    before = fleets.planned_tokens(fleet, plan)
    lost = fleets.middle_stages(plan, "b")
    assert len(lost) >= 2
    left, repaired = fleets.settle(fleets.without(fleet, lost), plan)
    after = fleets.planned_tokens(left, repaired)
    assert sum(after.values()) >= 0.85 * sum(before.values())
    assert min(after.values()) >= plan_draft.MIN_NEW_TOKENS


def test_loss_is_repaired_with_few_loads(
    settled: tuple[list[upstreams.Upstream], pipelines.Plan],
) -> None:
    """Guards against pipelines that are built anew while engines hold them."""
    fleet, plan = settled
    left = fleets.without(fleet, fleets.middle_stages(plan, "b"))
    repaired = room_planning.plan(MODEL, left, plan)
    held = {
        e.name: set(range(e.layers.first, e.layers.last))
        for e in left
        if e.layers
    }
    missing = [
        set(range(s.first, s.last)) - held[s.engine]
        for p in repaired.pipelines
        for s in p.stages
    ]
    assert sum(len(m) for m in missing) <= 0.1 * MODEL.layers


@pytest.mark.parametrize("data_centre", ["a", "b", "c"])
def test_room_returns_with_the_engines(
    settled: tuple[list[upstreams.Upstream], pipelines.Plan], data_centre: str
) -> None:
    """Guards against weak pipelines that stay weak to the end of the day.

    Load pattern: crashed engines start again four seconds later, empty.
    """
    fleet, plan = settled
    before = sum(fleets.planned_tokens(fleet, plan).values())
    lost = fleets.middle_stages(plan, data_centre)
    left, repaired = fleets.settle(fleets.without(fleet, lost), plan)
    reborn = []
    for name in lost:
        home, card, number = name.split("-")
        reborn.append(fleets.empty_engine(home, card, int(number), born_ms=2))
    back, restored = fleets.settle([*left, *reborn], repaired)
    _assert_valid(restored, back)
    after = sum(fleets.planned_tokens(back, restored).values())
    assert after >= 0.95 * before


def test_rolling_release_keeps_the_room(
    settled: tuple[list[upstreams.Upstream], pipelines.Plan],
) -> None:
    """Guards against room that each step of a release reduces.

    Load pattern: a third of the engines is replaced one after the other. Each
    drains, and an empty one comes.
    """
    fleet, plan = settled
    before = sum(fleets.planned_tokens(fleet, plan).values())
    lowest = before
    for engine in fleets.engines()[::3]:
        fleet, plan = fleets.settle(fleets.without(fleet, [engine.name]), plan)
        _assert_valid(plan, fleet)
        lowest = min(lowest, sum(fleets.planned_tokens(fleet, plan).values()))
        home, card, number = engine.name.split("-")
        new = fleets.empty_engine(home, card, int(number), born_ms=2)
        fleet, plan = fleets.settle([*fleet, new], plan)
    assert lowest >= 0.75 * before
    after = sum(fleets.planned_tokens(fleet, plan).values())
    assert after >= 0.9 * before


def test_stages_that_serve_do_not_move_when_engines_come(
    settled: tuple[list[upstreams.Upstream], pipelines.Plan],
) -> None:
    """Guards against loads that interrupt pipelines with enough room."""
    fleet, plan = settled
    more = [
        *fleet,
        *(fleets.empty_engine("b", "v100", n) for n in range(90, 93)),
    ]
    _, extended = fleets.settle(more, plan)
    assert set(plan.pipelines) <= set(extended.pipelines)


@hypothesis.settings(deadline=None, max_examples=40)
@hypothesis.given(data=st.data())
def test_every_plan_covers_each_layer_once_and_settles(
    data: st.DataObject,
) -> None:
    """Guards against overlaps, engines beyond their memory, and oscillation."""
    counts = st.tuples(*(st.integers(0, 12) for _ in MODEL.cards))
    everything = fleets.engines(
        {"a": data.draw(counts), "b": data.draw(counts)}
    )
    fleet, plan = fleets.settle(everything, pipelines.Plan())
    for _ in range(3):
        lost = data.draw(
            st.sets(st.sampled_from([e.name for e in fleet]), max_size=5)
            if fleet
            else st.just(set())
        )
        left = fleets.without(fleet, lost)
        _assert_valid(room_planning.plan(MODEL, left, plan), left)
        fleet, plan = fleets.settle(left, plan)
        _assert_valid(plan, fleet)
        assert room_planning.plan(MODEL, fleet, plan) is plan
