"""Times at which refused callers are told to return."""

from __future__ import annotations

import random

import pytest

from yuccatally.core.admission import returns


@pytest.fixture
def schedule() -> returns.ReturnSchedule:
    """A schedule without promises."""
    return returns.ReturnSchedule()


def _promise(
    schedule: returns.ReturnSchedule,
    fingerprint: str,
    uniform: float = 0.5,
    starts_per_s: float = 10.0,
    remaining_s: float = 20.0,
    wait_s: float = 0.0,
    now: float = 0.0,
) -> float:
    return schedule.promise(
        fingerprint, now, wait_s, starts_per_s, remaining_s, uniform, now
    )


def test_returns_are_spread_over_the_room_that_is_freed(
    schedule: returns.ReturnSchedule,
) -> None:
    """Load pattern: a failure refuses hundreds of callers in one second."""
    rng = random.Random(3)
    delays = [
        _promise(schedule, f"f{n}", rng.random(), remaining_s=60.0)
        for n in range(100)
    ]
    for second in range(2, 9):
        due = sum(second <= d < second + 1 for d in delays)
        assert 5 <= due <= 15, second


def test_return_follows_what_waits(schedule: returns.ReturnSchedule) -> None:
    """Guards against a return while the queue is still full."""
    assert _promise(schedule, "f", 0.0, wait_s=3.0) >= 3.0


def test_return_is_within_the_time_that_callers_accept(
    schedule: returns.ReturnSchedule,
) -> None:
    """Guards against delays that callers ignore; they return at once then."""
    delays = [
        _promise(schedule, f"f{n}", n / 100, remaining_s=6.0)
        for n in range(100)
    ]
    assert max(delays) <= 2.0
    last = delays[50:]
    assert max(last) - min(last) > 0.3
    assert _promise(schedule, "gone", remaining_s=-1.0) == 0.0


def test_unknown_rate_gives_the_default_delay(
    schedule: returns.ReturnSchedule,
) -> None:
    """Guards against a return at once before anything is known."""
    assert _promise(schedule, "f", starts_per_s=0.0) == 2.0


def test_promises_fade(schedule: returns.ReturnSchedule) -> None:
    """Guards against room that stays promised to callers that are gone."""
    delays = [_promise(schedule, f"f{n}") for n in range(20)]
    assert schedule.count_due(0.0, max(delays)) == 20
    after = max(delays) + returns.RETURN_GRACE_S
    assert schedule.count_due(after, after + 60.0) == 0
    assert not schedule.promises
    assert _promise(schedule, "new", now=after) < 1.0


def test_promise_is_kept_once_and_not_early(
    schedule: returns.ReturnSchedule,
) -> None:
    """Load pattern: clients that return at once several times."""
    delay_s = _promise(schedule, "f", now=1.0)
    assert schedule.claim("f", 1.05) is None
    due = schedule.claim("f", 1.0 + delay_s)
    assert due is not None
    assert due.offered_at == 1.0
    assert schedule.claim("f", 1.0 + delay_s) is None


def test_late_caller_has_no_promise(schedule: returns.ReturnSchedule) -> None:
    """Guards against rank that is kept for ever."""
    delay_s = _promise(schedule, "f")
    late = delay_s + returns.RETURN_GRACE_S + 0.1
    assert schedule.claim("f", late) is None


def test_memory_is_bounded(schedule: returns.ReturnSchedule) -> None:
    """Load pattern: an overload of minutes with new callers all the time."""
    for number in range(returns.MAX_PROMISE_COUNT + 10):
        _promise(schedule, f"f{number}")
    assert len(schedule.promises) == returns.MAX_PROMISE_COUNT
