"""Lifecycle of requests, balance of the ledger and the retry budget."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from yuccatally.core.requests import budget
from yuccatally.core.requests import ledger
from yuccatally.core.requests import lifecycle
from yuccatally.core.requests import outcomes

ENDS = tuple(outcomes.Outcome)


class _Machine(stateful.RuleBasedStateMachine):
    """Checks that the ledger balances and that not-run is always correct."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = ledger.Ledger()
        self.sent: dict[str, int] = {}
        self.count = 0

    @stateful.rule()
    def accept(self) -> None:
        self.count += 1
        self.ledger.accept(f"r{self.count}", 0.0)
        self.sent[f"r{self.count}"] = 0

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(
        pick=st.integers(0, 20),
        step=st.sampled_from(["send", "fail", *ENDS, "fault"]),
    )
    def step(self, pick: int, step: str) -> None:
        request = sorted(self.sent)[pick % len(self.sent)]
        current = self.ledger.lifecycle_of(request)
        match step:
            case "send":
                current.begin_attempt()
                self.sent[request] += 1
            case "fail" if self.sent[request]:
                current.cancel_attempt()
                self.sent[request] -= 1
            case "fail":
                with pytest.raises(lifecycle.LifecycleError):
                    current.cancel_attempt()
            case "fault":
                self.end(request, current.unfinished_outcome())
            case outcomes.Outcome():
                self.end(request, step)

    def end(self, request: str, outcome: outcomes.Outcome) -> None:
        contradictory = outcome is outcomes.Outcome.IN_FLIGHT or (
            outcome is outcomes.Outcome.NOT_RUN and self.sent[request]
        )
        if contradictory:
            with pytest.raises(lifecycle.LifecycleError):
                self.ledger.finish(request, outcome)
            return
        self.ledger.finish(request, outcome)
        del self.sent[request]
        with pytest.raises(ledger.LedgerError):
            self.ledger.finish(request, outcome)

    @stateful.invariant()
    def identity_holds(self) -> None:
        totals = self.ledger.totals()
        assert totals.balanced
        assert totals.accepted == self.count
        assert totals.in_flight == len(self.sent)


TestMachine = _Machine.TestCase
TestMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


def test_retries_stay_a_share_of_requests() -> None:
    """Guards against retries that multiply the load of a failing service."""
    retries = budget.RetryBudget(
        0.0, retry_ratio=0.2, capacity=10, refill_per_s=0.0
    )
    made = 0
    for _ in range(1000):
        retries.record_request()
        made += retries.try_spend(0.0) + retries.try_spend(0.0)
    assert 200 <= made <= 210
    assert retries.refused == 2000 - made
    idle = budget.RetryBudget(
        0.0, retry_ratio=0.0, capacity=2, refill_per_s=1.0
    )
    assert [idle.try_spend(0.0) for _ in range(3)] == [True, True, False]
    assert [idle.try_spend(100.0) for _ in range(3)] == [True, True, False]
