"""Checks of engines that time out at an instance that may be at fault."""

from __future__ import annotations

import pytest

from yuccatally.core.forwarding import checks
from yuccatally.core.forwarding import suspicions


def _engines(count: int) -> list[suspicions.Incarnation]:
    return [suspicions.Incarnation(f"e{n}", 1) for n in range(count)]


@pytest.mark.parametrize(
    ("count", "interval_s", "needs_comparison"),
    [(3, 0.0, False), (5, 0.0, True), (60, 0.01, True), (60, 0.3, False)],
)
def test_many_timeouts_at_once_need_a_comparison(
    count: int, interval_s: float, needs_comparison: bool
) -> None:
    """Guards against a slow leader that takes most engines for failed.

    Three engines that are lost together are found without a further check.
    """
    history = checks.TimeoutHistory()
    now = 10.0
    for engine in _engines(count):
        now += interval_s
        history.record(engine, now)
    assert history.needs_comparison(now) is needs_comparison


def test_repeated_timeouts_of_few_engines_need_no_comparison() -> None:
    """Guards against checks that hold back the loss of a few engines."""
    history = checks.TimeoutHistory()
    for number in range(40):
        history.record(_engines(3)[number % 3], 10.0 + number / 100)
    assert not history.needs_comparison(10.4)


def test_comparison_leaves_out_engines_that_are_silent() -> None:
    """Guards against a comparison with the engines in question."""
    engines = _engines(8)
    chosen = checks.comparison_engines("seed", engines, engines[:6])
    assert set(chosen) == set(engines[6:])
    assert checks.comparison_engines("seed", engines, engines) == []
