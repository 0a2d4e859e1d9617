"""Tests the limit on the prefill that recovery causes."""

from __future__ import annotations

from yuccatally.core.generation import budget


def test_recovery_of_many_streams_is_spread() -> None:
    """Guards against overload after an engine with many streams has failed."""
    tested = budget.RetryBudget(limit_tokens=1000)
    requests = [f"r{n}" for n in range(40)]
    running = [r for r in requests if tested.try_admit(r, 1, 300)]
    assert len(running) == 3
    assert not tested.try_admit("urgent", 0, 300)
    order = []
    while running:
        assert sum(tested.admitted_tokens.values()) <= 1000
        tested.remove(running.pop(0))
        running += tested.admit_waiting()
        order += running[-1:]
    assert order[0] == "urgent"
    assert set(order) == {*requests[3:], "urgent"}


def test_prefill_above_the_limit_runs_alone() -> None:
    """Guards against a long answer that is never recovered."""
    tested = budget.RetryBudget(limit_tokens=10)
    assert tested.try_admit("long", 1, 5000)
    assert not tested.try_admit("next", 1, 1)
    tested.remove("next")
    assert tested.admit_waiting() == ()
