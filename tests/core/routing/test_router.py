"""Choice of a route: caches, demand and health."""

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
    site = model.Site(engines, [[(0, 8, ["a", "b"])]], options=options)
    return site.routers[0]


def ask(request: str = "r", tokens: int = 4) -> router.PathQuery:
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
    """Guards against caches that are ignored, and against hot spots."""
    chosen = two_engines()
    stored = list(prefixes.hashes(PROMPT))
    chosen.on_cache_events("b", messages.CacheEvents(0, stored, []))
    path = chosen.choose(ask(), 100.0, frozenset(["a"]))
    assert path is not None
    for i in range(busy_requests):
        chosen.start_attempt(ask(f"r{i}"), path)
    found = chosen.choose(ask("new"), 100.0)
    assert found is not None
    assert found.hops[0].engine == expected


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
    """Guards against hits on prefixes that may be evicted already."""
    view = prefixes.PrefixIndex("a")
    asked = [view.apply_events(messages.CacheEvents(*e)) for e in events]
    assert view.hit_tokens([1, 2]) == hit
    assert view.stale is stale
    assert (asked[-1] is not None) is stale


def test_snapshot_repairs_a_gap() -> None:
    """Guards against an old snapshot that undoes later events."""
    view = prefixes.PrefixIndex("a")
    view.apply_events(messages.CacheEvents(0, [1], []))
    assert view.apply_events(messages.CacheEvents(5, [2], [])) is not None
    view.apply_snapshot(3, [7])
    assert view.stale
    # The request is repeated until a snapshot was applied.
    assert view.apply_events(messages.CacheEvents(6, [3], [])) is not None
    view.apply_snapshot(7, [1, 2, 3])
    assert view.hit_tokens([1, 2, 3]) == 48
    assert view.apply_events(messages.CacheEvents(7, [4], [])) is None


@pytest.mark.parametrize(("measured", "expected"), [(True, 10), (False, 100)])
def test_expected_tokens_follow_the_account(
    measured: bool, expected: int
) -> None:
    """Guards against queued work that is counted by the limit alone."""
    chosen = two_engines(router.Options(demand=measured))
    for _ in range(20):
        chosen.demand.record("desk", "m", 1000, 100)
    found = chosen.demand.expected("desk", "m", 100)
    assert found == pytest.approx(expected, rel=0.01)
    assert chosen.demand.expected("other", "m", 100) == 100


def test_work_is_taken_back_whatever_happens() -> None:
    """Guards against work that stays counted and repels requests for good."""
    chosen = two_engines()
    now = 100.0
    for i in range(20):
        wanted = ask(f"r{i}")
        first = chosen.choose(wanted, now)
        assert first is not None
        chosen.start_attempt(wanted, first)
        second = chosen.choose(wanted, now, frozenset([first.hops[0].engine]))
        assert second is not None
        chosen.start_attempt(wanted, second)
        item = messages.StepItem(wanted.request, 1, 0, 0, 8, "m", "v1", [0] * 9)
        chosen.on_queued(item, now)
        for _ in range(i):
            chosen.on_result(second.hops[0].engine, item, now + 0.01)
        chosen.end_attempt(wanted.request, 3)
        chosen.end_attempt(wanted.request)
    assert {e.sequences for e in chosen.engines.values()} == {0}
    assert all(e.work < 9 * 8 * 20 for e in chosen.engines.values())


def test_refusing_engine_is_used_only_as_the_last_resort() -> None:
    """Guards against an engine that fails fast and so looks free."""
    chosen = two_engines()
    for _ in range(3):
        chosen.on_refusal("a", 100.0)
    picked = {chosen.choose(ask(f"r{i}"), 100.1) for i in range(9)}
    assert {r.hops[0].engine for r in picked if r} == {"b"}
    chosen.on_disconnected("b")
    path = chosen.choose(ask(), 100.1)
    assert path is not None
    assert path.hops[0].engine == "a"
    chosen.on_connected("b", 100.2)
    assert chosen.engines["b"].limit.value < chosen.engines["b"].declared.batch
    assert chosen.engines["a"].usable(100.9)


def test_expected_time_of_urgent_work_is_its_own() -> None:
    """Guards against urgent requests refused for the queue of others.

    Engines serve urgent items first, so that the mean over all classes says
    how long the others wait.
    """
    chosen = two_engines()
    path = chosen.choose(ask(), 100.0)
    assert path is not None
    engine = path.hops[0].engine
    normal = ask("normal", 200)
    urgent = dataclasses.replace(ask("urgent", 200), urgent=True)
    now = 100.0
    for wanted in (normal, urgent):
        chosen.start_attempt(wanted, path)
    for position in range(100):
        for request, priority, latency_s in (
            ("normal", 1, 0.5),
            ("urgent", 0, 0.05),
        ):
            item = messages.StepItem(
                request, 1, position, 0, 8, *model.MODEL, [1], priority
            )
            chosen.on_queued(item, now)
            chosen.on_result(engine, item, now + latency_s)
        now += 0.01
    own_s = router.EXPECTED_MARGIN * 200 * 0.05
    prefill_s = 1.0
    assert chosen.expected_s(urgent, path, now) < own_s + prefill_s
    assert chosen.expected_s(normal, path, now) > 2 * own_s
