"""Tests paths that are composed by the room that they have together."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import room_composition
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import fleets

MODEL = fleets.MODEL


@pytest.fixture(name="settled", scope="module")
def _settled() -> tuple[list[upstreams.Upstream], pipelines.Plan]:
    return fleets.settle(fleets.engines(), pipelines.Plan())


def test_paths_keep_most_of_the_room_before_the_next_plan(
    settled: tuple[list[upstreams.Upstream], pipelines.Plan],
) -> None:
    """Guards against paths that divide the memory of a few engines.

    Load pattern: at peak load one engine of each pipeline of a data centre
    is lost at the same time.
    """
    fleet, plan = settled
    before = fleets.path_tokens(fleets.composed(fleet, plan))
    left = fleets.without(fleet, fleets.middle_stages(plan, "b"))
    after = fleets.path_tokens(fleets.composed(left, plan))
    assert sum(after.values()) >= 0.8 * sum(before.values())
    assert min(after.values()) >= 30e3


def test_order_of_the_holdings_does_not_matter(
    settled: tuple[list[upstreams.Upstream], pipelines.Plan],
) -> None:
    """Guards against instances that compose different paths."""
    fleet, plan = settled
    left = fleets.without(fleet, fleets.middle_stages(plan, "b"))
    held = list(fleets.holdings(left, plan).items())
    expected = room_composition.compose(MODEL, plan.pipelines, dict(held))
    random.Random(1).shuffle(held)
    found = room_composition.compose(MODEL, plan.pipelines, dict(held))
    assert found == expected


@hypothesis.settings(deadline=None, max_examples=60)
@hypothesis.given(data=st.data())
def test_every_path_runs_each_layer_once_within_memory(
    settled: tuple[list[upstreams.Upstream], pipelines.Plan],
    data: st.DataObject,
) -> None:
    """Guards against invalid paths, and room that engines do not have."""
    fleet, plan = settled
    lost = data.draw(st.sets(st.sampled_from(sorted(plan.stages)), max_size=12))
    left = fleets.without(fleet, lost)
    paths = fleets.composed(left, plan)
    tokens = fleets.path_tokens(paths)
    used_mb: dict[str, float] = {}
    for name, hops in paths.items():
        next_layer = 0
        for hop in hops:
            assert hop.first == next_layer < hop.last
            next_layer = hop.last
            used_mb[hop.engine.name] = used_mb.get(hop.engine.name, 0.0) + (
                tokens[name]
                * (hop.last - hop.first)
                * MODEL.token_layer_bytes
                / 1e6
            )
        assert next_layer == MODEL.layers
        assert len(hops) <= composition.MAX_HOP_COUNT
        assert len({h.engine.name for h in hops}) == len(hops)
    held = fleets.holdings(left, plan)
    for name, mb in used_mb.items():
        loaded_mb = held[name].loaded * MODEL.layer_mb
        assert (
            mb + loaded_mb <= MODEL.cards[held[name].engine.card].memory_mb + 1
        )
