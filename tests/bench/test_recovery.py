"""Tests the recovery benchmark."""

from __future__ import annotations

import pytest

from yuccatally_bench import recovery


def test_answers_that_had_ended_are_left_out() -> None:
    """Guards against a benchmark that fails on a busy machine.

    A fault that comes after the last token of an answer interrupts nothing;
    the maximum of its empty list of interruptions raised an error.
    """
    ended, under_way = [0.0, 1.0], [0.0, 1.0, 4.0]
    assert recovery.interruptions([ended, under_way], 2.0) == (2.0,)


def test_answer_that_does_not_go_on_in_time_counts() -> None:
    """Guards against a finite time for an answer that does not resume."""
    late = 2.0 + recovery.STEADY_TO_S + 1.0
    assert recovery.interruptions([[0.0, late]], 2.0) == (float("inf"),)


def test_fault_that_interrupts_nothing_is_named() -> None:
    """Guards against results of a fault that interrupted no answer."""
    with pytest.raises(recovery.NothingInterruptedError):
        recovery.interruptions([[0.0, 1.0]], 2.0)
