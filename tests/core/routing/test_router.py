"""Tests the choice of a path: caches, demand and health of engines."""

from __future__ import annotations

import dataclasses

import pytest

from yuccatally.core.routing import prefixes
from yuccatally.core.routing import router
from yuccatally.core.stages import messages
from yuccatally_bench import model

PROMPT = tuple(range(64))


def two_engines(options: router.Options | None = None) -> router.Router:
    engines = [model.Engine("a"), model.Engine("b")]
    site = model.Simulation(engines, [[(0, 8, ["a", "b"])]], options=options)
    return site.routers[0]


def make_query(request: str = "r", tokens: int = 4) -> router.PathQuery:
    hashes = prefixes.hashes(PROMPT)
    return router.PathQuery(
        request, "desk", *model.MODEL, len(PROMPT), tokens, hashes
    )


@pytest.mark.parametrize(
    ("busy_requests", "expected"),
    [(0, "b"), (1, "b"), (8, "a")],
)
def test_prefix_hit_is_weighed_against_queueing(
    busy_requests: int, expected: str
) -> None:
    """Guards against ignored caches and against hot spots."""
    tested = two_engines()
    stored = list(prefixes.hashes(PROMPT))
    tested.on_cache_events("b", messages.CacheEvents(0, stored, []))
    path = tested.choose(make_query(), 100.0, frozenset(["a"]))
    assert path is not None
    for i in range(busy_requests):
        tested.start_attempt(make_query(f"r{i}"), path)
    chosen_path = tested.choose(make_query("new"), 100.0)
    assert chosen_path is not None
    assert chosen_path.hops[0].engine == expected


@pytest.mark.parametrize(
    ("events", "hit", "stale"),
    [
        pytest.param([(0, [1, 2], [])], 32, False, id="in order"),
        pytest.param([(5, [1, 2], [])], 32, False, id="joined late"),
        pytest.param([(0, [1, 2], []), (2, [], [2])], 16, False, id="evicted"),
        pytest.param(
            [(0, [1, 2], []), (0, [1, 2], [])], 32, False, id="repeated"
        ),
        pytest.param(
            [(0, [1, 2], []), (3, [9], [])], 16, True, id="one event lost"
        ),
        pytest.param(
            [(0, [1], []), (3, [9], []), (1, [2], [])],
            8,
            True,
            id="lost event comes after the gap",
        ),
    ],
)
def test_cache_events_with_gaps(
    events: list[tuple[int, list[int], list[int]]], hit: float, stale: bool
) -> None:
    """Guards against full credit for prefixes that may have been evicted."""
    index = prefixes.PrefixIndex("a")
    resyncs = [index.apply_events(messages.CacheEvents(*e)) for e in events]
    assert index.hit_tokens([1, 2]) == hit
    assert index.stale is stale
    assert (resyncs[-1] is not None) is stale


def test_snapshot_repairs_a_gap() -> None:
    """Guards against an old snapshot that reverts later events."""
    index = prefixes.PrefixIndex("a")
    index.apply_events(messages.CacheEvents(0, [1], []))
    assert index.apply_events(messages.CacheEvents(5, [2], [])) is not None
    index.apply_snapshot(3, [7])
    assert index.stale
    # The resync request is repeated until a snapshot is applied.
    assert index.apply_events(messages.CacheEvents(6, [3], [])) is not None
    index.apply_snapshot(7, [1, 2, 3])
    assert index.hit_tokens([1, 2, 3]) == 48
    assert index.apply_events(messages.CacheEvents(7, [4], [])) is None


@pytest.mark.parametrize(("measured", "expected"), [(True, 10), (False, 100)])
def test_expected_tokens_follow_the_account(
    measured: bool, expected: int
) -> None:
    """Guards against estimates of work from the token limit alone."""
    tested = two_engines(router.Options(demand=measured))
    for _ in range(20):
        tested.demand.record("desk", "m", 1000, 100)
    expected_tokens = tested.demand.expected("desk", "m", 100)
    assert expected_tokens == pytest.approx(expected, rel=0.01)
    assert tested.demand.expected("other", "m", 100) == 100


def test_work_is_taken_back_whatever_happens() -> None:
    """Guards against stale counted work that keeps requests away forever."""
    tested = two_engines()
    now = 100.0
    for i in range(20):
        query = make_query(f"r{i}")
        first = tested.choose(query, now)
        assert first is not None
        tested.start_attempt(query, first)
        second = tested.choose(query, now, frozenset([first.hops[0].engine]))
        assert second is not None
        tested.start_attempt(query, second)
        item = messages.StepItem(query.request, 1, 0, 0, 8, "m", "v1", [0] * 9)
        tested.on_queued(item, now)
        for _ in range(i):
            tested.on_result(second.hops[0].engine, item, now + 0.01)
        tested.end_attempt(query.request, 3)
        tested.end_attempt(query.request)
    assert {e.sequences for e in tested.engines.values()} == {0}
    assert all(e.work < 9 * 8 * 20 for e in tested.engines.values())


def test_refusing_engine_is_used_only_as_the_last_resort() -> None:
    """Guards against an engine that fails fast and so looks idle."""
    tested = two_engines()
    for _ in range(3):
        tested.on_refusal("a", 100.0)
    picked = {tested.choose(make_query(f"r{i}"), 100.1) for i in range(9)}
    assert {r.hops[0].engine for r in picked if r} == {"b"}
    tested.on_disconnected("b")
    path = tested.choose(make_query(), 100.1)
    assert path is not None
    assert path.hops[0].engine == "a"
    tested.on_connected("b", 100.2)
    assert tested.engines["b"].limit.value < tested.engines["b"].declared.batch
    assert tested.engines["a"].usable(100.9)


def test_expected_time_of_urgent_work_is_its_own() -> None:
    """Guards against refusing urgent requests because other classes queue.

    Engines serve urgent items first, so the mean latency over all classes
    reflects the queueing of the other classes.
    """
    tested = two_engines()
    path = tested.choose(make_query(), 100.0)
    assert path is not None
    engine = path.hops[0].engine
    normal = make_query("normal", 200)
    urgent = dataclasses.replace(make_query("urgent", 200), urgent=True)
    now = 100.0
    for query in (normal, urgent):
        tested.start_attempt(query, path)
    for position in range(100):
        for request, priority, latency_s in (
            ("normal", 1, 0.5),
            ("urgent", 0, 0.05),
        ):
            item = messages.StepItem(
                request, 1, position, 0, 8, *model.MODEL, [1], priority
            )
            tested.on_queued(item, now)
            tested.on_result(engine, item, now + latency_s)
        now += 0.01
    urgent_s = router.EXPECTED_TIME_FACTOR * 200 * 0.05
    prefill_s = 1.0
    assert tested.expected_s(urgent, path, now) < urgent_s + prefill_s
    assert tested.expected_s(normal, path, now) > 2 * urgent_s
