"""Order, fairness, limits and refusals of admission control."""

from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from yuccatally.core.admission import admission
from yuccatally.core.admission import fairqueue
from yuccatally.core.admission import limits
from yuccatally.core.requests import outcomes

KEY = ("m", "v1")
NO_LIMIT = limits.AccountLimits(0.0, 0.0)


def queued_request(
    request: str,
    account: str = "desk",
    urgency: int = 1,
    work: float = 10.0,
    weight: int = 1,
    deadline: float = 1e9,
    now: float = 0.0,
) -> fairqueue.QueuedRequest:
    return fairqueue.QueuedRequest(
        request, account, weight, urgency, *KEY, work, deadline, now
    )


def drain(
    controller: admission.AdmissionController, count: int
) -> list[fairqueue.QueuedRequest]:
    admitted = []
    for _ in range(count):
        urgency = controller.next_urgency(KEY)
        if urgency is None:
            break
        admitted.append(controller.admit(KEY, urgency, 0.0))
    return admitted


@hypothesis.settings(max_examples=50, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 2), strategies.floats(1, 200)),
        min_size=50,
        max_size=120,
    )
)
def test_no_class_starves(sizes: list[tuple[int, float]]) -> None:
    """Guards against starvation of lower classes while higher ones wait."""
    controller = admission.AdmissionController()
    for urgency in (0, 1, 2):
        for i in range(100):
            item = queued_request(f"{urgency}-{i}", urgency=urgency, work=100.0)
            controller.offer(item, NO_LIMIT, 1, 0.0)
    work: collections.Counter[int] = collections.Counter()
    for i, (urgency, size) in enumerate(sizes):
        item = queued_request(f"new-{i}", urgency=urgency, work=size)
        controller.offer(item, NO_LIMIT, 1, 0.0)
        for admitted in drain(controller, 1):
            work[admitted.urgency] += admitted.work
    total = sum(work.values())
    # One request of each lower class may be due but not yet admitted.
    assert work[1] >= 0.1 * work[0] - 200
    assert work[2] >= 0.05 * (work[0] + work[1]) - 200
    assert work[0] >= 0.8 * total - 400


@hypothesis.settings(max_examples=50, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(0, 3),
            strategies.booleans(),
        ),
        max_size=150,
    )
)
def test_queue_is_bounded_and_every_request_has_one_fate(
    offers: list[tuple[int, int, bool]],
) -> None:
    """Guards against an unbounded queue and requests without an answer.

    Each request must be refused, shed or admitted exactly once.
    """
    controller = admission.AdmissionController(capacity=10)
    ending_counts: collections.Counter[str] = collections.Counter()
    for i, (urgency, account, admit_next) in enumerate(offers):
        item = queued_request(f"r{i}", f"a{account}", urgency)
        answer = controller.offer(item, NO_LIMIT, 1, 0.0)
        if isinstance(answer, outcomes.Refusal):
            assert answer.outcome is outcomes.Outcome.NOT_RUN
            assert answer.retry_after_s >= 1
            ending_counts[item.request] += 1
        else:
            ending_counts.update(s.request for s in answer.shed)
        assert len(controller.waiting) <= 10
        assert len(controller.waiting) == sum(
            len(q) for q in controller.queues.values()
        )
        if admit_next:
            ending_counts.update(g.request for g in drain(controller, 1))
    ending_counts.update(g.request for g in drain(controller, 1000))
    assert ending_counts == {f"r{i}": 1 for i in range(len(offers))}


@pytest.mark.parametrize(
    ("weights", "works"),
    [
        ({"a": 1, "b": 1}, {"a": 10.0, "b": 10.0}),
        ({"a": 3, "b": 1}, {"a": 10.0, "b": 10.0}),
        ({"a": 1, "b": 1}, {"a": 100.0, "b": 10.0}),
        ({"a": 5, "b": 1, "c": 2}, {"a": 7.0, "b": 90.0, "c": 30.0}),
    ],
)
def test_accounts_share_by_weight(
    weights: dict[str, int], works: dict[str, float]
) -> None:
    """Guards against accounts that gain a share by long or many requests."""
    controller = admission.AdmissionController(capacity=10_000)
    for i in range(1000):
        for account, weight in weights.items():
            item = queued_request(
                f"{account}{i}", account, 1, works[account], weight
            )
            controller.offer(item, NO_LIMIT, 1, 0.0)
    got: collections.Counter[str] = collections.Counter()
    for admitted in drain(controller, 300):
        got[admitted.account] += admitted.work
    shares = [got[a] / w for a, w in weights.items()]
    assert max(shares) - min(shares) <= 2 * max(works.values())


@pytest.mark.parametrize(
    ("queued", "new", "shed"),
    [
        pytest.param([("a", 2)], ("b", 0), "r0", id="lowest class goes first"),
        pytest.param([("a", 0)], ("b", 2), None, id="a lower class never wins"),
        pytest.param(
            [("a", 1), ("a", 1), ("a", 1)],
            ("b", 1),
            "r2",
            id="the newest of the largest account",
        ),
        pytest.param(
            [("a", 1), ("b", 1)], ("a", 1), None, id="no more than a fair part"
        ),
        pytest.param(
            [("a", 0), ("b", 2), ("c", 1)],
            ("d", 1),
            "r1",
            id="not the middle class",
        ),
    ],
)
def test_full_queue(
    queued: list[tuple[str, int]], new: tuple[str, int], shed: str | None
) -> None:
    """Guards against refusing a request in favour of a lower class."""
    controller = admission.AdmissionController(capacity=len(queued))
    for i, (account, urgency) in enumerate(queued):
        controller.offer(
            queued_request(f"r{i}", account, urgency), NO_LIMIT, 1, 0.0
        )
    answer = controller.offer(queued_request("new", *new), NO_LIMIT, 1, 0.0)
    if shed is None:
        assert isinstance(answer, outcomes.Refusal)
        assert answer.reason is outcomes.Reason.OVERLOADED
    else:
        assert isinstance(answer, admission.Queued)
        assert [s.request for s in answer.shed] == [shed]


def test_deadline_that_cannot_be_met_is_refused_early() -> None:
    """Guards against work on answers that would miss their deadline."""
    controller = admission.AdmissionController()
    for i in range(20):
        controller.offer(queued_request(f"r{i}"), NO_LIMIT, 1, 0.0)
        assert controller.next_urgency(KEY) == 1
        controller.admit(KEY, 1, 0.0)
        controller.record_finished(f"r{i}", 1, 1, 2.0)
    now = 2.0
    answer = controller.offer(
        queued_request("late", deadline=now + 1), NO_LIMIT, 1, now
    )
    assert isinstance(answer, outcomes.Refusal)
    assert answer.outcome is outcomes.Outcome.NOT_RUN
    on_time = controller.offer(
        queued_request("ok", deadline=now + 4), NO_LIMIT, 1, now
    )
    assert isinstance(on_time, admission.Queued)
    assert [s.request for s in controller.shed_expired(now + 3)] == ["ok"]
    # Without decay of the estimate, no request would be admitted again.
    again = queued_request("again", deadline=101.0, now=100.0)
    assert isinstance(
        controller.offer(again, NO_LIMIT, 1, 100.0), admission.Queued
    )


class LimitSharing:
    """Instances that share one limit with messages that may be lost."""

    def __init__(self, limit: float, count: int) -> None:
        self.instances = [limits.Limits(count) for _ in range(count)]
        self.limits = limits.AccountLimits(0.0, limit)
        self.consumed: list[tuple[float, float]] = []

    def offer(self, instance: int, cost: float, now: float) -> bool:
        instance_limits = self.instances[instance]
        consumed = (
            instance_limits.try_consume("desk", self.limits, cost, now) == 0
        )
        if consumed:
            self.consumed.append((now, cost))
        return consumed

    def exchange(
        self, borrower: int, peer: int, now: float, lost: bool
    ) -> None:
        borrowing, lending = self.instances[borrower], self.instances[peer]
        for unit, loan_requests in borrowing.loan_requests(now).items():
            loans = lending.lend(unit, loan_requests, now)
            if not lost:
                borrowing.borrow(unit, loans, requested_at=now - 0.1, now=now)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    strategies.integers(1, 6),
    strategies.floats(0, 1),
    strategies.floats(0, 1),
    strategies.integers(0, 2**32),
)
def test_limit_is_never_exceeded(
    count: int, lost: float, skew: float, seed: int
) -> None:
    """Guards against instances that together exceed the limit."""
    chance = random.Random(seed)
    limit, largest = 100.0, 5.0
    sharing = LimitSharing(limit, count)
    now = 0.0
    for _ in range(600):
        now += chance.expovariate(60)
        # At first only one instance is busy and borrows, then all are.
        alone = now < 4 and chance.random() < skew
        busy = 0 if alone else chance.randrange(count)
        sharing.offer(busy, chance.uniform(1, largest), now)
        if chance.random() < 0.1 and count > 1:
            borrower, peer = 0, chance.randrange(1, count)
            sharing.exchange(borrower, peer, now, chance.random() < lost)
    for start, (since, _) in enumerate(sharing.consumed):
        total = 0.0
        for at, cost in sharing.consumed[start:]:
            total += cost
            allowed = limit * (at - since + limits.BURST_S)
            assert total <= allowed + count * largest + 1e-6


@pytest.mark.parametrize(
    ("silent", "least", "most"),
    [
        (True, 0.15, 0.35),
        (False, 0.5, 1.0),
    ],
)
def test_limit_follows_demand_unless_peers_are_silent(
    silent: bool, least: float, most: float
) -> None:
    """Guards against a limit of which only a fraction can be used."""
    limit = 100.0
    sharing = LimitSharing(limit, 4)
    steps = 1000
    for step in range(steps):
        now = step / 100
        sharing.offer(0, 1.0, now)
        for peer in (1, 2, 3):
            sharing.offer(peer, 0.1, now)
            if step % 50 == 0:
                sharing.exchange(0, peer, now, silent)
    used = sum(c for at, c in sharing.consumed if c == 1.0 and at >= 2.0)
    assert least <= used / (limit * (steps / 100 - 2)) <= most


def test_unused_tokens_are_given_back() -> None:
    """Guards against charging an answer for its maximum number of tokens."""
    controller = admission.AdmissionController()
    allowed = limits.AccountLimits(0.0, 10.0)
    first = controller.offer(queued_request("r0"), allowed, 10, 0.0)
    assert isinstance(first, admission.Queued)
    refused = controller.offer(queued_request("r1"), allowed, 5, 0.0)
    assert isinstance(refused, outcomes.Refusal)
    assert refused.reason is outcomes.Reason.LIMITED
    drain(controller, 1)
    controller.record_finished("r0", 10, 2, 0.0)
    second = controller.offer(queued_request("r2"), allowed, 5, 0.0)
    assert isinstance(second, admission.Queued)
