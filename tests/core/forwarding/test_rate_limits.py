"""Tests the limits that upstreams state and the turns within them."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import rate_limits
from yuccatally.core.forwarding import suspicions

ENGINE = suspicions.Incarnation("e1", 1000)


@pytest.fixture
def limits() -> rate_limits.LimitTable:
    """A table with a limit of 2 a second, stated at second 10."""
    table = rate_limits.LimitTable()
    table.record(ENGINE, rate_limits.Limit(2.0, 10.0), 10.0)
    return table


def test_latest_limit_is_in_force(limits: rate_limits.LimitTable) -> None:
    """Guards against a statement that is missed or kept for too long."""
    assert limits.in_force[ENGINE] == 2.0
    assert not limits.record(ENGINE, rate_limits.Limit(2.0, 11.0), 11.0)
    assert limits.record(ENGINE, rate_limits.Limit(0.5, 12.0), 12.0)
    assert not limits.record(ENGINE, rate_limits.Limit(3.0, 11.5), 12.0)
    assert limits.in_force[ENGINE] == 0.5
    assert limits.record(ENGINE, rate_limits.Limit(None, 13.0), 13.0)
    assert ENGINE not in limits.in_force


def test_response_to_an_earlier_request_does_not_end_a_limit(
    limits: rate_limits.LimitTable,
) -> None:
    """Guards against a slow response that ends a limit stated after it."""
    assert not limits.record(ENGINE, rate_limits.Limit(None, 9.0), 11.0)
    assert limits.in_force[ENGINE] == 2.0


def test_limit_is_that_of_one_incarnation(
    limits: rate_limits.LimitTable,
) -> None:
    """Guards against a restarted upstream that keeps an earlier limit."""
    assert suspicions.Incarnation("e1", 2000) not in limits.in_force


def test_number_of_limits_is_bounded() -> None:
    """Guards against upstreams without end that fill memory."""
    table = rate_limits.LimitTable()
    for number in range(rate_limits.MAX_LIMIT_COUNT + 10):
        engine = suspicions.Incarnation(f"e{number}", 1)
        table.record(engine, rate_limits.Limit(1.0, 1.0), 1.0)
    assert len(table.latest) == rate_limits.MAX_LIMIT_COUNT


def test_limits_that_are_passed_on_do_not_become_later(
    limits: rate_limits.LimitTable,
) -> None:
    """Guards against an ended limit that messages between instances renew."""
    other = rate_limits.LimitTable()
    for step in range(1, 20):
        # Each message takes half a second.
        for sent in limits.share(10.0 + step):
            other.merge(sent, 10.5 + step)
        for sent in other.share(11.0 + step):
            limits.merge(sent, 11.5 + step)
    assert limits.latest[ENGINE].stated_at == 10.0
    assert limits.record(ENGINE, rate_limits.Limit(None, 20.0), 31.0)
    for sent in limits.share(31.0):
        other.merge(sent, 31.5)
    assert not other.in_force


def test_all_limits_reach_an_instance_that_starts_later() -> None:
    """Guards against limits that are only in the messages after a change."""
    table, later = rate_limits.LimitTable(), rate_limits.LimitTable()
    for number in range(3 * rate_limits.MAX_SHARED_COUNT):
        engine = suspicions.Incarnation(f"e{number}", 1)
        table.record(engine, rate_limits.Limit(1.0, 1.0), 1.0)
    for step in range(4):
        shared = table.share(60.0 + step)
        assert len(shared) <= rate_limits.MAX_SHARED_COUNT
        for limit in shared:
            later.merge(limit, 60.1 + step)
    assert later.in_force.keys() == table.in_force.keys()


@given(
    st.floats(0, 20),
    st.lists(st.tuples(st.floats(0, 0.3), st.floats(0, 1.0)), max_size=200),
)
def test_turns_keep_the_rate_in_any_window(
    requests_per_s: float, asked: list[tuple[float, float]]
) -> None:
    """Guards against turns beyond one and a half times the rate and five.

    Load pattern: many more requests than the engine accepts arrive at all
    instances, and each waits up to a second for its turn.
    """
    scheduler = rate_limits.TurnScheduler()
    now = 100.0
    sent = []
    for pause_s, max_wait_s in asked:
        now += pause_s
        turn = scheduler.reserve(ENGINE, requests_per_s, max_wait_s, now)
        if isinstance(turn, rate_limits.Granted):
            assert turn.wait_s <= max_wait_s
            sent.append(now + turn.wait_s)
    for first in sent:
        in_window = sum(1 for at in sent if first <= at < first + 4.0)
        assert in_window <= 1.5 * 4 * requests_per_s + 5


def test_denied_turn_tells_the_true_time() -> None:
    """Guards against callers that return before there is a turn."""
    scheduler = rate_limits.TurnScheduler()
    denied = scheduler.reserve(ENGINE, 1.0, 0.0, 100.0)
    assert denied == rate_limits.Denied(1.0)
    granted = scheduler.reserve(ENGINE, 1.0, 0.0, 100.0 + denied.wait_s)
    assert granted == rate_limits.Granted(0.0)
    # Nothing is reserved by a request that is denied.
    again = scheduler.reserve(ENGINE, 1.0, 1.0, 101.0)
    assert again == rate_limits.Granted(1.0)


def test_lowest_rate_still_gets_a_request() -> None:
    """Guards against an upstream that can never show that a limit ended."""
    scheduler = rate_limits.TurnScheduler()
    scheduler.reserve(ENGINE, 0.0, 0.0, 100.0)
    turn = scheduler.reserve(ENGINE, 0.0, 0.0, 104.0)
    assert turn == rate_limits.Granted(0.0)


def _choose(
    names: tuple[str, ...], full: frozenset[str], excluded: frozenset[str]
) -> rate_limits.Choice:
    usable = [n for n in names if n not in excluded]
    if not usable:
        return dispatch.Nothing()
    free = [n for n in usable if n not in full]
    if not free:
        return dispatch.Full()
    return dispatch.Path(free[0], (), (), 0.0, 0.0, 1.0, 1, "north")


@pytest.mark.parametrize(
    ("waits_s", "tried", "full", "expected"),
    [
        ({"a": 0.5, "b": 0.0}, "", "", "b"),
        ({"a": 0.5, "b": 0.2}, "", "", "b"),
        ({"a": 0.5, "b": 0.2}, "b", "", "a"),
        ({"a": 0.5, "b": 0.0}, "", "b", "a"),
        ({"a": 0.5, "b": 0.2}, "", "b", "a"),
    ],
)
def test_path_of_the_earliest_turn_is_chosen(
    waits_s: dict[str, float], tried: str, full: str, expected: str
) -> None:
    """Guards against requests that wait while another engine accepts them."""
    choice = rate_limits.choose_by_turn(
        waits_s,
        frozenset(tried),
        lambda excluded: _choose(tuple(waits_s), frozenset(full), excluded),
    )
    assert isinstance(choice, dispatch.Path)
    assert choice.name == expected


def test_tried_paths_are_not_chosen_again() -> None:
    """Guards against a retry at the engine that has just failed."""
    choice = rate_limits.choose_by_turn(
        {"a": 0.5, "b": 0.0},
        frozenset("ab"),
        lambda excluded: _choose(("a", "b"), frozenset(), excluded),
    )
    assert choice == dispatch.Nothing()
