"""Tests the planning of pipelines on engines that forward requests."""

from __future__ import annotations

import dataclasses
import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import planning
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import models

MODEL = models.DEPLOYED_MODEL
CARDS = MODEL.cards
# Number of cards of each type in each data centre of the users.
TODAY = {"a": (1, 8, 5), "b": (3, 3, 5), "c": (1, 4, 8)}


def _engines(
    data_centres: dict[str, tuple[int, int, int]],
) -> list[upstreams.Upstream]:
    return [
        upstreams.Upstream(
            name=f"{data_centre}-{card}-{number}",
            born_ms=1,
            service="model",
            address=f"10.0.0.1:{1000 + number}",
            data_centre=data_centre,
            slots=96,
            draining=False,
            card=card,
        )
        for data_centre, counts in data_centres.items()
        for card, count in zip(CARDS, counts, strict=True)
        for number in range(count)
    ]


def _assert_complete(
    plan: pipelines.Plan, engines: list[upstreams.Upstream]
) -> None:
    engines_by_name = {e.name: e for e in engines}
    used = [s.engine for p in plan.pipelines for s in p.stages]
    assert len(used) == len(set(used))
    for pipeline in plan.pipelines:
        next_layer = 0
        for stage in pipeline.stages:
            card = CARDS[engines_by_name[stage.engine].card]
            assert stage.first == next_layer
            assert 0 < stage.last - stage.first <= MODEL.max_layers(card)
            next_layer = stage.last
        assert next_layer == MODEL.layers


def _data_centres(
    pipeline: pipelines.Pipeline, engines: list[upstreams.Upstream]
) -> set[str]:
    engines_by_name = {e.name: e for e in engines}
    return {engines_by_name[s.engine].data_centre for s in pipeline.stages}


def test_each_pipeline_stays_in_its_data_centre() -> None:
    """Guards against prompts that queue on the link between data centres."""
    engines = _engines(TODAY)
    plan = planning.plan(MODEL, engines, pipelines.Plan())
    _assert_complete(plan, engines)
    assert len(plan.pipelines) == 3
    assert all(len(_data_centres(p, engines)) == 1 for p in plan.pipelines)


def _settled(
    engines: list[upstreams.Upstream], previous: pipelines.Plan | None = None
) -> pipelines.Plan:
    """Returns the plan that does not change any more.

    Each plan has at most one new pipeline for each data centre.
    """
    plan = previous or pipelines.Plan()
    for _ in range(20):
        following = planning.plan(MODEL, engines, plan)
        if following is plan:
            return plan
        plan = following
    raise AssertionError("plans do not settle")


def test_nothing_changes_while_nothing_changes() -> None:
    """Guards against unnecessary loads of weights."""
    engines = _engines(TODAY)
    plan = _settled(engines)
    more = [*engines, *_engines({"d": (1, 0, 0)})]
    extended = _settled(more, plan)
    assert extended.pipelines == plan.pipelines
    assert extended.stages.items() >= plan.stages.items()
    assert set(extended.stages) - set(plan.stages) == {"d-large-0"}


def test_every_engine_holds_layers() -> None:
    """Guards against spare engines that have to load layers after a failure.

    Load pattern: nine of 38 engines fail at once while 11 hold nothing, and
    loading layers takes two to four seconds.
    """
    engines = _engines(TODAY)
    plan = _settled(engines)
    assert set(plan.stages) == {e.name for e in engines}
    for replica in plan.replicas:
        card = CARDS[next(e.card for e in engines if e.name == replica.engine)]
        assert MODEL.tokens(card, replica.last - replica.first) >= 20e3


@pytest.mark.parametrize("number", range(28))
def test_replica_takes_over_without_a_load(number: int) -> None:
    """Guards against a repair that loads layers that a replica holds."""
    engines = _engines({"a": (2, 12, 12)})
    plan = _settled(engines)
    stages = sorted(
        (s for p in plan.pipelines for s in p.stages), key=lambda s: s.engine
    )
    failed = stages[number % len(stages)]
    replicated = {
        layer for r in plan.replicas for layer in range(r.first, r.last)
    }
    remaining = [e for e in engines if e.name != failed.engine]
    repaired = planning.plan(MODEL, remaining, plan)
    _assert_complete(repaired, remaining)
    assert len(repaired.pipelines) == len(plan.pipelines)
    if replicated.issuperset(range(failed.first, failed.last)):
        for name, stage in repaired.stages.items():
            assert plan.stages[name].layers.covers(stage.first, stage.last)


def test_engine_that_returns_with_layers_keeps_them() -> None:
    """Guards against a load of other layers after a short failure."""
    engines = _engines(TODAY)
    plan = _settled(engines)
    replica = plan.replicas[0]
    without = [e for e in engines if e.name != replica.engine]
    returned = [
        dataclasses.replace(e, layers=replica.layers)
        if e.name == replica.engine
        else e
        for e in engines
    ]
    assert _settled(returned, _settled(without, plan)).stages == plan.stages


@pytest.mark.parametrize("number", range(28))
def test_loss_of_one_engine_moves_no_other(number: int) -> None:
    """Guards against a repair that removes layers that are serving."""
    engines = _engines(TODAY)
    plan = planning.plan(MODEL, engines, pipelines.Plan())
    stages = sorted(plan.stages.values(), key=lambda s: s.engine)
    failed = stages[number % len(stages)]
    remaining = [e for e in engines if e.name != failed.engine]
    repaired = planning.plan(MODEL, remaining, plan)
    _assert_complete(repaired, remaining)
    assert len(repaired.pipelines) == 3
    for name, stage in plan.stages.items():
        if name != failed.engine:
            assert repaired.stages[name] == stage
    assert all(
        len(_data_centres(p, remaining)) == 1 for p in repaired.pipelines
    )


def test_replaced_engines_do_not_use_spares_up() -> None:
    """Guards against repairs with several engines if one is sufficient.

    On a day with a release, the spares were used up after four of seven
    replacements and a stage was placed in another data centre.
    """
    engines = _engines(TODAY)
    plan = planning.plan(MODEL, engines, pipelines.Plan())
    for number in range(7):
        victims = [e for e in engines if e.name in plan.stages]
        victim = victims[(number * 5) % len(victims)]
        replacement = dataclasses.replace(victim, name=f"new-{number}")
        engines = [e for e in engines if e is not victim] + [replacement]
        plan = planning.plan(MODEL, engines, plan)
        _assert_complete(plan, engines)
        assert len(plan.pipelines) == 3
        assert all(len(_data_centres(p, engines)) == 1 for p in plan.pipelines)


def test_neighbours_grow_when_no_spare_is_left() -> None:
    """Guards against removing a pipeline whose engines have free memory."""
    engines = _engines({"a": (1, 8, 0)})
    plan = planning.plan(MODEL, engines, pipelines.Plan())
    small = min(plan.stages.values(), key=lambda s: s.last - s.first)
    remaining = [e for e in engines if e.name != small.engine]
    repaired = planning.plan(MODEL, remaining, plan)
    _assert_complete(repaired, remaining)
    assert len(repaired.pipelines) == 1


def _token_capacity(
    pipeline: pipelines.Pipeline, engines: list[upstreams.Upstream]
) -> float:
    """Returns the token capacity of the stage with the least memory."""
    engines_by_name = {e.name: e for e in engines}
    return min(
        MODEL.tokens(CARDS[engines_by_name[s.engine].card], s.last - s.first)
        for s in pipeline.stages
    )


def test_repair_leaves_room_for_requests() -> None:
    """Guards against a repair after which a pipeline takes five requests.

    Load pattern: the last spare engine is small. It can hold the eight layers
    of a larger one that failed, with 0.4 of its 14.4 GB left. The neighbouring
    stages have memory for these layers in addition to 20,000 tokens.
    """
    engines = _engines(TODAY)
    plan = planning.plan(MODEL, engines, pipelines.Plan())
    (before,) = (
        p for p in plan.pipelines if _data_centres(p, engines) == {"a"}
    )
    failed = before.stages[1].engine
    spares = {e.name for e in engines} - set(plan.stages)
    last_spare = max(n for n in spares if n.startswith("a-small"))
    removed = {failed, *spares} - {last_spare}
    remaining = [e for e in engines if e.name not in removed]
    repaired = planning.plan(MODEL, remaining, plan)
    _assert_complete(repaired, remaining)
    (after,) = (p for p in repaired.pipelines if p.name == before.name)
    assert _token_capacity(after, remaining) >= 20e3


def _full_pipeline(data_centre: str) -> pipelines.Pipeline:
    """Returns a pipeline of medium engines without memory for more layers."""
    names = [
        *(f"{data_centre}-medium-{n}" for n in range(7)),
        f"{data_centre}-small-0",
    ]
    sizes = (11, 11, 11, 8, 11, 11, 11, 6)
    ends = tuple(itertools.accumulate(sizes))
    return pipelines.Pipeline(
        f"{data_centre}-1",
        tuple(
            pipelines.Stage(name, 1, end - size, end)
            for name, size, end in zip(names, sizes, ends, strict=True)
        ),
    )


def test_repair_does_not_cross_the_shared_link_for_more_room() -> None:
    """Guards against pipelines that all queue on the link between them.

    Load pattern: an engine of each of two pipelines fails. Each of their data
    centres has a small spare engine, a third one has larger ones. Pipelines
    that crossed the link had pauses of 0.1 to 1 s while the others had free
    capacity.
    """
    engines = _engines({"a": (0, 7, 2), "b": (0, 2, 0), "c": (0, 7, 2)})
    previous = pipelines.Plan(1, (_full_pipeline("a"), _full_pipeline("c")))
    failed = {"a-medium-3", "c-medium-3"}
    remaining = [e for e in engines if e.name not in failed]
    repaired = planning.plan(MODEL, remaining, previous)
    _assert_complete(repaired, remaining)
    crossing = [
        p for p in repaired.pipelines if len(_data_centres(p, remaining)) > 1
    ]
    assert len(repaired.pipelines) == 2
    assert not crossing


def test_engines_of_several_data_centres_join_when_none_can_alone() -> None:
    """Guards against having no pipeline if each data centre is too small."""
    engines = _engines({"a": (1, 2, 0), "b": (1, 2, 2)})
    plan = planning.plan(MODEL, engines, pipelines.Plan())
    _assert_complete(plan, engines)
    assert len(plan.pipelines) == 1
    data_centres = [
        next(e.data_centre for e in engines if e.name == s.engine)
        for s in plan.pipelines[0].stages
    ]
    crossings = sum(a != b for a, b in itertools.pairwise(data_centres))
    assert crossings == 1


def test_reborn_engine_counts_as_lost() -> None:
    """Guards against layers that an engine held before its restart."""
    engines = _engines(TODAY)
    plan = planning.plan(MODEL, engines, pipelines.Plan())
    stage = next(iter(plan.stages.values()))
    restarted = [
        dataclasses.replace(e, born_ms=2) if e.name == stage.engine else e
        for e in engines
    ]
    repaired = planning.plan(MODEL, restarted, plan)
    _assert_complete(repaired, restarted)
    assert stage not in repaired.stages.values()


@given(st.data())
def test_no_engine_serves_two_pipelines(data: st.DataObject) -> None:
    """Guards against repairs with engines that another pipeline uses.

    With two pipelines in one data centre, the first one took an engine of the
    second as a spare, and both ordered their own layers on it.
    """
    engines = _engines({"a": (2, 10, 12), "b": (1, 2, 3)})
    plan = pipelines.Plan()
    for _ in range(data.draw(st.integers(1, 6))):
        removed = data.draw(st.sets(st.sampled_from(engines), max_size=5))
        remaining = [e for e in engines if e not in removed]
        plan = planning.plan(MODEL, remaining, plan)
        _assert_complete(plan, remaining)


def test_unknown_cards_are_left_out() -> None:
    """Guards against orders to engines whose memory is unknown."""
    odd = [
        dataclasses.replace(e, card="odd") for e in _engines({"a": (9, 0, 0)})
    ]
    assert planning.plan(MODEL, odd, pipelines.Plan()).pipelines == ()


@pytest.mark.parametrize(
    "ranges", [[(0, 4), (5, 8)], [(0, 4), (3, 8)], [(1, 8)]]
)
def test_pipeline_with_gap_or_overlap_cannot_be_made(
    ranges: list[tuple[int, int]],
) -> None:
    """Guards against a plan from another instance that skips a layer.

    Plans were checked only if they came from the store.
    """
    stages = tuple(pipelines.Stage("e", 1, f, t) for f, t in ranges)
    with pytest.raises(ValueError, match="gap or overlap"):
        pipelines.Pipeline("p", stages)


@pytest.mark.parametrize("held", [(0, 200), (75, 81), (500, 501)])
def test_engine_with_layers_of_no_model_is_planned_like_an_empty_one(
    held: tuple[int, int],
) -> None:
    """Guards against an odd entry that ends the planning of all engines."""
    engines = _engines(TODAY)
    odd = upstreams.LayerRange(*held)
    # The last engines are the slowest, which no pipeline needs.
    engines[-1] = dataclasses.replace(engines[-1], layers=odd)
    plan = _settled(engines)
    _assert_complete(plan, engines)
    assert all(s.last <= MODEL.layers for s in plan.stages.values())
    assert engines[-1].name in plan.stages


def test_plan_of_a_model_with_more_layers_is_replaced() -> None:
    """Guards against planning that ends when a model gets smaller."""
    engines = _engines(TODAY)
    larger = dataclasses.replace(MODEL, layers=MODEL.layers + 10)
    previous = planning.plan(larger, engines, pipelines.Plan())
    settled = planning.plan(larger, engines, previous)
    planning.plan(MODEL, engines, settled)
