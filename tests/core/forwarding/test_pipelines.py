"""Placement on engines that pass requests on."""

from __future__ import annotations

import dataclasses
import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import models

MODEL = models.TODAY
CARDS = MODEL.cards
# Cards of each data centre as on the sites of today.
TODAY = {"a": (1, 8, 5), "b": (3, 3, 5), "c": (1, 4, 8)}


def _engines(
    homes: dict[str, tuple[int, int, int]],
) -> list[upstreams.Upstream]:
    return [
        upstreams.Upstream(
            name=f"{home}-{card}-{number}",
            born_ms=1,
            service="model",
            address=f"10.0.0.1:{1000 + number}",
            data_centre=home,
            slots=96,
            draining=False,
            card=card,
        )
        for home, counts in homes.items()
        for card, count in zip(CARDS, counts, strict=True)
        for number in range(count)
    ]


def _assert_whole(
    plan: pipelines.Plan, engines: list[upstreams.Upstream]
) -> None:
    known = {e.name: e for e in engines}
    used = [s.engine for p in plan.pipelines for s in p.stages]
    assert len(used) == len(set(used))
    for pipeline in plan.pipelines:
        reached = 0
        for stage in pipeline.stages:
            card = CARDS[known[stage.engine].card]
            assert stage.first == reached
            assert 0 < stage.last - stage.first <= MODEL.max_layers(card)
            reached = stage.last
        assert reached == MODEL.layers


def _homes(
    pipeline: pipelines.Pipeline, engines: list[upstreams.Upstream]
) -> set[str]:
    known = {e.name: e for e in engines}
    return {known[s.engine].data_centre for s in pipeline.stages}


def test_each_pipeline_stays_in_its_data_centre() -> None:
    """Guards against prompts that queue on the link between data centres."""
    engines = _engines(TODAY)
    plan = pipelines.plan(MODEL, engines, pipelines.Plan())
    _assert_whole(plan, engines)
    assert len(plan.pipelines) == 3
    assert all(len(_homes(p, engines)) == 1 for p in plan.pipelines)


def test_nothing_changes_while_nothing_changes() -> None:
    """Guards against loads of weights without a reason."""
    engines = _engines(TODAY)
    plan = pipelines.plan(MODEL, engines, pipelines.Plan())
    assert pipelines.plan(MODEL, engines, plan) is plan
    more = [*engines, *_engines({"d": (1, 0, 0)})]
    assert pipelines.plan(MODEL, more, plan) is plan


@pytest.mark.parametrize("number", range(28))
def test_loss_of_one_engine_moves_no_other(number: int) -> None:
    """Guards against a repair that takes layers away that serve."""
    engines = _engines(TODAY)
    plan = pipelines.plan(MODEL, engines, pipelines.Plan())
    stages = sorted(plan.stages.values(), key=lambda s: s.engine)
    lost = stages[number % len(stages)]
    left = [e for e in engines if e.name != lost.engine]
    repaired = pipelines.plan(MODEL, left, plan)
    _assert_whole(repaired, left)
    assert len(repaired.pipelines) == 3
    for name, stage in plan.stages.items():
        if name != lost.engine:
            assert repaired.stages[name] == stage
    assert all(len(_homes(p, left)) == 1 for p in repaired.pipelines)


def test_replaced_engines_do_not_use_spares_up() -> None:
    """Guards against repairs with several engines where one would do.

    On a day with a release, spares ran out after four of seven replacements
    and a stage was placed in another data centre.
    """
    engines = _engines(TODAY)
    plan = pipelines.plan(MODEL, engines, pipelines.Plan())
    for number in range(7):
        victims = [e for e in engines if e.name in plan.stages]
        victim = victims[(number * 5) % len(victims)]
        fresh = dataclasses.replace(victim, name=f"new-{number}")
        engines = [e for e in engines if e is not victim] + [fresh]
        plan = pipelines.plan(MODEL, engines, plan)
        _assert_whole(plan, engines)
        assert len(plan.pipelines) == 3
        assert all(len(_homes(p, engines)) == 1 for p in plan.pipelines)


def test_neighbours_grow_when_no_spare_is_left() -> None:
    """Guards against a lost pipeline where its engines have memory left."""
    engines = _engines({"a": (1, 8, 0)})
    plan = pipelines.plan(MODEL, engines, pipelines.Plan())
    small = min(plan.stages.values(), key=lambda s: s.last - s.first)
    left = [e for e in engines if e.name != small.engine]
    repaired = pipelines.plan(MODEL, left, plan)
    _assert_whole(repaired, left)
    assert len(repaired.pipelines) == 1


def _room(
    pipeline: pipelines.Pipeline, engines: list[upstreams.Upstream]
) -> float:
    """Returns the tokens for which the weakest stage has memory."""
    known = {e.name: e for e in engines}
    return min(
        MODEL.tokens(CARDS[known[s.engine].card], s.last - s.first)
        for s in pipeline.stages
    )


def test_repair_leaves_room_for_requests() -> None:
    """Guards against a repair after which a pipeline takes five requests.

    Load pattern: the last spare engine is small. It can hold the eight layers
    of a lost larger one with 0.4 of its 14.4 GB left; the neighbours have room
    for them beside 20,000 tokens.
    """
    engines = _engines(TODAY)
    plan = pipelines.plan(MODEL, engines, pipelines.Plan())
    (before,) = (p for p in plan.pipelines if _homes(p, engines) == {"a"})
    lost = before.stages[1].engine
    spares = {e.name for e in engines} - set(plan.stages)
    last_spare = max(n for n in spares if n.startswith("a-small"))
    gone = {lost, *spares} - {last_spare}
    left = [e for e in engines if e.name not in gone]
    repaired = pipelines.plan(MODEL, left, plan)
    _assert_whole(repaired, left)
    (after,) = (p for p in repaired.pipelines if p.name == before.name)
    assert _room(after, left) >= 20e3


def _full_pipeline(home: str) -> pipelines.Pipeline:
    """Returns a pipeline of medium engines that have no room to grow."""
    names = [*(f"{home}-medium-{n}" for n in range(7)), f"{home}-small-0"]
    sizes = (11, 11, 11, 8, 11, 11, 11, 6)
    ends = tuple(itertools.accumulate(sizes))
    return pipelines.Pipeline(
        f"{home}-1",
        tuple(
            pipelines.Stage(name, 1, end - size, end)
            for name, size, end in zip(names, sizes, ends, strict=True)
        ),
    )


def test_repair_does_not_cross_the_shared_link_for_more_room() -> None:
    """Guards against pipelines that all wait for the link between them.

    Load pattern: two pipelines lose an engine each. Their data centres have
    a small spare engine each, a third one has larger ones. Pipelines that
    crossed the link had pauses of 0.1 to 1 s, and the others had room.
    """
    engines = _engines({"a": (0, 7, 2), "b": (0, 2, 0), "c": (0, 7, 2)})
    previous = pipelines.Plan(1, (_full_pipeline("a"), _full_pipeline("c")))
    lost = {"a-medium-3", "c-medium-3"}
    left = [e for e in engines if e.name not in lost]
    repaired = pipelines.plan(MODEL, left, previous)
    _assert_whole(repaired, left)
    crossing = [p for p in repaired.pipelines if len(_homes(p, left)) > 1]
    assert len(repaired.pipelines) == 2
    assert not crossing


def test_engines_of_several_data_centres_join_when_none_can_alone() -> None:
    """Guards against serving nothing when each data centre is too small."""
    engines = _engines({"a": (1, 2, 0), "b": (1, 2, 2)})
    plan = pipelines.plan(MODEL, engines, pipelines.Plan())
    _assert_whole(plan, engines)
    assert len(plan.pipelines) == 1
    homes = [
        next(e.data_centre for e in engines if e.name == s.engine)
        for s in plan.pipelines[0].stages
    ]
    crossings = sum(a != b for a, b in itertools.pairwise(homes))
    assert crossings == 1


def test_reborn_engine_counts_as_lost() -> None:
    """Guards against layers that an engine held before its restart."""
    engines = _engines(TODAY)
    plan = pipelines.plan(MODEL, engines, pipelines.Plan())
    stage = next(iter(plan.stages.values()))
    reborn = [
        dataclasses.replace(e, born_ms=2) if e.name == stage.engine else e
        for e in engines
    ]
    repaired = pipelines.plan(MODEL, reborn, plan)
    _assert_whole(repaired, reborn)
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
        gone = data.draw(st.sets(st.sampled_from(engines), max_size=5))
        left = [e for e in engines if e not in gone]
        plan = pipelines.plan(MODEL, left, plan)
        _assert_whole(plan, left)


def test_unknown_cards_are_left_out() -> None:
    """Guards against orders to engines whose memory is not known."""
    odd = [
        dataclasses.replace(e, card="odd") for e in _engines({"a": (9, 0, 0)})
    ]
    assert pipelines.plan(MODEL, odd, pipelines.Plan()).pipelines == ()


@pytest.mark.parametrize(
    "ranges", [[(0, 4), (5, 8)], [(0, 4), (3, 8)], [(1, 8)]]
)
def test_pipeline_with_gap_or_overlap_cannot_be_made(
    ranges: list[tuple[int, int]],
) -> None:
    """Guards against a plan from another instance that skips a layer.

    Only plans from the store were checked.
    """
    stages = tuple(pipelines.Stage("e", 1, f, t) for f, t in ranges)
    with pytest.raises(ValueError, match="gap or overlap"):
        pipelines.Pipeline("p", stages)
