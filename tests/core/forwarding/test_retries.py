"""Tests the retry budget and the actions after a failed attempt."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import retries
from yuccatally.core.forwarding import rules

SHARE, RESERVE, WINDOW_S = 0.2, 200.0, 10.0


@given(st.integers(1, 12), st.integers(0, 2**32), st.floats(0, 60))
def test_all_instances_together_keep_the_bound(
    instances: int, seed: int, rate: float
) -> None:
    """Guards against retries of many instances that exceed the limit in total.

    Load pattern: every request fails for thirty seconds and is retried as
    often as the budget allows.
    """
    rng = random.Random(seed)
    budgets = [
        retries.RetryBudget(SHARE, RESERVE, WINDOW_S) for _ in range(instances)
    ]
    requests: list[float] = []
    sent_retries: list[float] = []
    for step in range(300):
        now = step * 0.1
        for _ in range(round(rate * 0.1)):
            budget = rng.choice(budgets)
            budget.record_request(now)
            requests.append(now)
            while budget.try_spend(now, instances):
                sent_retries.append(now)
    for end in sent_retries:
        start = end - WINDOW_S
        retry_count = sum(start < t <= end for t in sent_retries)
        request_count = sum(start < t <= end for t in requests)
        assert retry_count <= SHARE * request_count + RESERVE


def _route(repeat: rules.RepeatPolicy, max_attempts: int = 2) -> rules.Route:
    return rules.Route(
        "r", "h", "/", (), repeat, 1.0, 0.3, 0.2, max_attempts, False, 0
    )


FAILURES = st.one_of(
    st.just(attempts.NotSent("x")),
    st.sampled_from([429, 503, 421, 400]).map(attempts.Refused),
    st.booleans().map(lambda t: attempts.NoResponse("x", t)),
    st.sampled_from([500, 504]).map(attempts.ErrorResponse),
)


@given(
    st.lists(FAILURES, min_size=1, max_size=6),
    st.sampled_from(list(rules.RepeatPolicy)),
    st.integers(1, 3),
    st.booleans(),
)
def test_no_end_promises_too_much(
    failures: list[attempts.Failure],
    repeat: rules.RepeatPolicy,
    max_attempts: int,
    allowed: bool,
) -> None:
    """Guards against "not run" for executed requests, and repeated runs."""
    route = _route(repeat, max_attempts)
    counter = attempts.AttemptCounter()
    may_have_run = 0
    for failure in failures:
        if isinstance(failure, attempts.NoResponse | attempts.ErrorResponse):
            counter.run_count += 1
            may_have_run += 1
        action = attempts.next_action(
            failure, counter, route, 1.0, lambda: allowed
        )
        if isinstance(action, attempts.Refuse):
            assert may_have_run == 0
        if not isinstance(action, attempts.SendAgain):
            return
        assert may_have_run == 0 or repeat.may_run_again
        assert may_have_run < max(1, max_attempts) or isinstance(
            failure, attempts.NotSent | attempts.Refused
        )


@pytest.mark.parametrize(
    ("failure", "status"),
    [
        (attempts.NoResponse("x"), 502),
        (attempts.NoResponse("x", True), 504),
        (attempts.NotSent("x"), 503),
        (attempts.Refused(503), 503),
    ],
)
def test_status_of_an_end(failure: attempts.Failure, status: int) -> None:
    """Guards against a status that does not match the failure."""
    counter = attempts.AttemptCounter()
    if isinstance(failure, attempts.NoResponse):
        counter.run_count = 1
    route = _route(rules.RepeatPolicy.AT_MOST_ONCE)
    action = attempts.next_action(failure, counter, route, 0.0, lambda: True)
    assert isinstance(action, attempts.Refuse | attempts.GiveUp)
    assert action.status == status
