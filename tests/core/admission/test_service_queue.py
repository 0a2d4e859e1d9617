"""Order, waits and refusals of requests that have no path with room."""

from __future__ import annotations

import random

import pytest

from yuccatally.core.admission import arrivals
from yuccatally.core.admission import service_queue

OBJECTIVE_S = 0.5


@pytest.fixture
def queue() -> service_queue.ServiceQueue:
    """A queue that knows that ten requests start in a second."""
    return _busy_queue(10.0)


def _busy_queue(
    starts_per_s: float, capacity: int = 8
) -> service_queue.ServiceQueue:
    created = service_queue.ServiceQueue("model", random.Random(1), capacity)
    for number in range(int(starts_per_s) + 1):
        now = number / starts_per_s - 1.0
        created.start_at_once(_arrival(f"before-{number}", now=now), now)
    return created


def _arrival(
    request: str,
    account: str = "desk",
    priority: int = 1,
    now: float = 0.0,
    fingerprint: str = "",
    deadline_s: float = 20.0,
) -> arrivals.Arrival:
    return arrivals.Arrival(
        request=request,
        account=account,
        priority=priority,
        tokens=100.0,
        received_at=now,
        objective_s=OBJECTIVE_S,
        patience_s=2.0,
        deadline=now + deadline_s,
        fingerprint=fingerprint or request,
    )


def _offer(
    queue: service_queue.ServiceQueue,
    request: str,
    now: float = 0.0,
    **options: object,
) -> arrivals.Queued | arrivals.Refused:
    return queue.offer(_arrival(request, now=now, **options), now)


def _start_all(
    queue: service_queue.ServiceQueue, now: float = 0.0
) -> list[str]:
    started = []
    while len(queue):
        item = queue.candidates(now)[0]
        queue.start(item, None, now)
        started.append(item.request)
    return started


def test_higher_priority_goes_first(queue: service_queue.ServiceQueue) -> None:
    """Guards against room that goes to whoever asks next."""
    _offer(queue, "low", priority=3)
    _offer(queue, "high", priority=0)
    _offer(queue, "mid", priority=1)
    assert _start_all(queue) == ["high", "mid", "low"]


def test_accounts_take_turns(queue: service_queue.ServiceQueue) -> None:
    """Guards against an account whose backlog delays all others."""
    for number in range(3):
        _offer(queue, f"hot-{number}", account="hot")
    _offer(queue, "calm", account="calm")
    assert _start_all(queue).index("calm") <= 1


def test_oldest_of_an_account_goes_first(
    queue: service_queue.ServiceQueue,
) -> None:
    """Guards against an order in which the first caller waits longest."""
    for number in range(3):
        _offer(queue, f"r{number}", now=0.01 * number)
    assert _start_all(queue, 0.05) == ["r0", "r1", "r2"]


def test_resumed_request_goes_before_all_others(
    queue: service_queue.ServiceQueue,
) -> None:
    """Guards against streams that break off while new ones start."""
    _offer(queue, "urgent", priority=0)
    queue.offer_resumed(_arrival("resumed", priority=5), 1.5, 0.0)
    assert _start_all(queue) == ["resumed", "urgent"]


def test_late_request_goes_after_those_in_time(
    queue: service_queue.ServiceQueue,
) -> None:
    """Load pattern: a burst; the oldest request has missed its objective."""
    _offer(queue, "late")
    _offer(queue, "timely", now=0.45)
    assert _start_all(queue, 0.55) == ["timely", "late"]


def test_caller_that_returns_as_told_precedes_new_ones_of_its_account() -> None:
    """Guards against a second refusal behind those who came later."""
    queue = _busy_queue(10.0)
    refused, delay_s = _offer_until_refused(queue)
    _start_all(queue, 0.1)
    later = 0.1 + delay_s
    # Both have missed their objective when room is freed.
    _offer(queue, "new", now=later - 0.1)
    _offer(queue, "again", now=later, fingerprint=refused)
    assert _start_all(queue, later + 0.6) == ["again", "new"]


def test_caller_that_returns_early_is_like_a_new_one() -> None:
    """Load pattern: clients that retry at once and often."""
    queue = _busy_queue(10.0)
    refused, _ = _offer_until_refused(queue)
    _start_all(queue, 0.1)
    _offer(queue, "new", now=0.1)
    _offer(queue, "again", now=0.11, fingerprint=refused)
    assert _start_all(queue, 0.8) == ["new", "again"]


def _offer_until_refused(
    queue: service_queue.ServiceQueue,
) -> tuple[str, float]:
    for number in range(30):
        offered = _offer(queue, f"r{number}")
        if isinstance(offered, arrivals.Refused):
            return f"r{number}", offered.retry_after_s
    raise AssertionError("all requests wait")


def test_request_that_would_be_late_for_its_caller_is_refused_at_once() -> None:
    """Load pattern: more waits than starts while answers are of use."""
    queue = _busy_queue(10.0, capacity=100)
    decisions = [_offer(queue, f"r{number}") for number in range(40)]
    waiting = [d for d in decisions if isinstance(d, arrivals.Queued)]
    refused = [d for d in decisions if isinstance(d, arrivals.Refused)]
    # Ten starts a second, and answers are of use for one second.
    assert 4 <= len(waiting) <= 11
    assert {r.reason for r in refused} == {"too-late"}


def test_wait_is_short_while_nothing_is_known() -> None:
    """Guards against a long wait for paths that free no room."""
    queue = service_queue.ServiceQueue("model", random.Random(1))
    offered = _offer(queue, "first")
    assert isinstance(offered, arrivals.Queued)
    assert offered.until == pytest.approx(0.1 * OBJECTIVE_S)


def test_time_to_the_first_event_shortens_the_wait(
    queue: service_queue.ServiceQueue,
) -> None:
    """Guards against starts in time whose answers are late."""
    queue.record_first_event(0.3, 0.0)
    _offer(queue, "first")
    assert queue.candidates(0.0)[0].deadline == pytest.approx(0.2)


def test_no_wait_goes_beyond_the_deadline(
    queue: service_queue.ServiceQueue,
) -> None:
    """Guards against requests that outlast the timeout of their route."""
    offered = _offer(queue, "first", deadline_s=0.2)
    assert isinstance(offered, arrivals.Queued)
    assert offered.until < 0.2


def test_full_queue_sheds_the_newest_of_the_largest_account() -> None:
    """Guards against a full queue that turns small accounts away."""
    queue = _busy_queue(100.0, capacity=4)
    for number in range(4):
        _offer(queue, f"hot-{number}", account="hot")
    offered = _offer(queue, "calm", account="calm")
    assert isinstance(offered, arrivals.Queued)
    assert offered.shed is not None
    assert offered.shed.request == "hot-3"
    assert offered.shed.refusal.reason == "shed"
    more = _offer(queue, "hot-4", account="hot")
    assert isinstance(more, arrivals.Refused)
    assert more.reason == "full"


def test_full_queue_sheds_the_lowest_priority() -> None:
    """Guards against urgent requests that are refused for others."""
    queue = _busy_queue(100.0, capacity=2)
    _offer(queue, "low", priority=3)
    _offer(queue, "mid", priority=2)
    offered = _offer(queue, "high", priority=0)
    assert isinstance(offered, arrivals.Queued)
    assert offered.shed is not None
    assert offered.shed.request == "low"


def test_requests_that_will_be_too_late_are_shed() -> None:
    """Load pattern: paths fail while requests wait for them."""
    queue = _busy_queue(20.0, capacity=100)
    for number in range(9):
        _offer(queue, f"r{number}")
    shed: list[arrivals.ShedRequest] = []
    for tick in range(1, 9):
        shed += queue.shed_late(0.1 * tick)
    # Nothing starts; the last request could wait until 1.0 s.
    assert shed
    assert {s.refusal.reason for s in shed} == {"shed"}
    assert all(s.refusal.retry_after_s > 0 for s in shed)


def test_large_request_is_passed_by_a_few_only(
    queue: service_queue.ServiceQueue,
) -> None:
    """Guards against large requests that small ones keep from room."""
    queue.capacity = 100
    _offer(queue, "large", account="large")
    passing = 0
    for number in range(10):
        _offer(queue, f"s{number}", account=f"small-{number}", priority=1)
        candidates = queue.candidates(0.0)
        small = [c for c in candidates if c.request != "large"]
        if not small:
            break
        queue.start(small[0], candidates[0], 0.0)
        passing += 1
    assert passing == service_queue.MAX_PASSED_COUNT


def test_only_request_of_a_class_may_always_wait(
    queue: service_queue.ServiceQueue,
) -> None:
    """Guards against a class that never gets its guaranteed share."""
    queue.capacity = 100
    for number in range(40):
        _offer(queue, f"r{number}", account=f"a{number}")
    offered = _offer(queue, "low", priority=8)
    assert isinstance(offered, arrivals.Queued)


def test_caller_that_left_gets_no_room(
    queue: service_queue.ServiceQueue,
) -> None:
    """Guards against starts for callers that have disconnected."""
    _offer(queue, "gone")
    _offer(queue, "there", now=0.01)
    queue.remove("gone")
    assert _start_all(queue, 0.02) == ["there"]
    assert not len(queue)


def test_status_and_work_count_what_waits(
    queue: service_queue.ServiceQueue,
) -> None:
    """Guards against waiting requests that operators cannot see."""
    _offer(queue, "first", priority=1)
    _offer(queue, "second", priority=2, now=0.2)
    assert queue.work() == arrivals.WaitingWork(2, 200.0)
    assert queue.status(0.3) == [
        arrivals.ClassStatus(1, 1, pytest.approx(0.3)),
        arrivals.ClassStatus(2, 1, pytest.approx(0.1)),
    ]
