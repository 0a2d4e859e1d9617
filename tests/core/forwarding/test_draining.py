"""Decisions about requests at an instance that leaves."""

from __future__ import annotations

import math
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import draining

GRACE_S = 8.0
# Callers hold an address three times as long as the directory states.
ADDRESS_S = 3.0


@pytest.fixture
def drain() -> draining.Drain:
    """A drain that starts at 100 s."""
    return draining.Drain.from_config(100.0, GRACE_S)


@given(
    grace_s=st.floats(1.0, 60.0),
    sent_after_s=st.floats(0.0, 60.0),
    limit_s=st.floats(0.01, 60.0),
    expected_s=st.floats(0.01, 60.0) | st.just(math.inf),
)
def test_request_that_may_run_once_only_is_never_cut(
    grace_s: float, sent_after_s: float, limit_s: float, expected_s: float
) -> None:
    """Guards against bookings that are accepted and still run at the end.

    Load pattern: callers hold the address of a stopped instance and send
    bookings with any deadline.
    """
    drain = draining.Drain.from_config(0.0, grace_s)
    if drain.accepts(sent_after_s, sent_after_s + limit_s, False, expected_s):
        assert sent_after_s + limit_s < grace_s


def test_request_that_may_be_repeated_is_accepted_by_its_expected_duration(
    drain: draining.Drain,
) -> None:
    """Guards against refusals of streams with long deadlines that end in time.

    Load pattern: streams with a deadline of 20 s that take two to five seconds.
    """
    deadline = drain.started_at + 20.0
    for may_run_again in (True, False):
        accepted = drain.accepts(
            drain.started_at + 2.0, deadline, may_run_again, 5.0
        )
        assert accepted == may_run_again
    assert not drain.accepts(drain.started_at + 2.0, deadline, True, 6.0)


@pytest.mark.parametrize("may_run_again", [True, False])
def test_nothing_is_accepted_once_callers_can_know_other_addresses(
    drain: draining.Drain, may_run_again: bool
) -> None:
    """Guards against requests that no operator excuses when they are cut.

    The signal may be handled some tenths of a second after it was sent.
    """
    now = drain.started_at + ADDRESS_S - 0.3
    assert not drain.accepts(now, now + 0.1, may_run_again, 0.1)


def test_drain_ends_before_the_process_is_killed() -> None:
    """Guards against a period of accepting that is longer than the grace."""
    for grace_s in (0.5, 1.0, 3.0, GRACE_S):
        drain = draining.Drain.from_config(10.0, grace_s)
        assert 10.0 < drain.refuses_at <= drain.ends_at < 10.0 + grace_s


def test_pace_tells_short_answers_from_long_ones() -> None:
    """Guards against an estimate that ignores the size of the answer.

    Load pattern: tokens take 20 to 25 ms, answers have 10 to 400 of them.
    """
    rng = random.Random(1)
    history = draining.PaceHistory()
    for _ in range(200):
        size = rng.randrange(10, 400)
        history.record("ask", size, size * rng.uniform(0.020, 0.025))
    assert 0.2 <= history.expected_s("ask", 10) <= 0.25
    assert 8.0 <= history.expected_s("ask", 400) <= 10.0


def test_pace_follows_a_change_of_load() -> None:
    """Guards against an estimate from a time with other load."""
    history = draining.PaceHistory()
    for duration_s in (0.1, 3.0):
        for _ in range(draining.PACE_COUNT):
            history.record("stock", 0, duration_s)
    assert history.expected_s("stock", 0) == pytest.approx(3.0)


def test_slow_answers_count_in_the_pace() -> None:
    """Guards against a mean, which half of the requests exceed."""
    history = draining.PaceHistory()
    for number in range(draining.PACE_COUNT):
        history.record("stock", 0, 5.0 if number % 5 == 0 else 0.1)
    assert history.expected_s("stock", 0) == pytest.approx(5.0)


def test_route_without_answers_is_not_guessed() -> None:
    """Guards against an estimate without any observation."""
    assert draining.PaceHistory().expected_s("ask", 10) == math.inf


def test_history_stays_bounded_when_routes_change() -> None:
    """Guards against memory that grows with each route that is removed."""
    history = draining.PaceHistory()
    for number in range(draining.MAX_ROUTE_COUNT + 10):
        history.record(f"r{number}", 0, 1.0)
    assert len(history.paces) == draining.MAX_ROUTE_COUNT
    assert history.expected_s(f"r{number}", 0) == pytest.approx(1.0)


def test_final_answer_promises_only_what_is_known() -> None:
    """Guards against a 503 for a request that an upstream may have received."""
    assert draining.final_action(0) == attempts.Refuse(503, 0.0)
    assert draining.final_action(1) == attempts.GiveUp(504)


@pytest.mark.parametrize(
    ("grace_s", "margin_s"),
    [(8.0, 0.8), (4.0, 4.0 / 6), (2.0, 0.5), (0.6, 0.3)],
)
def test_process_has_time_to_end_before_it_is_killed(
    grace_s: float, margin_s: float
) -> None:
    """Guards against a kill while the process closes on a loaded machine.

    Requests are still served until the last sixth of the grace.
    """
    drain = draining.Drain.from_config(100.0, grace_s)
    assert drain.ends_at == pytest.approx(100.0 + grace_s - margin_s)
