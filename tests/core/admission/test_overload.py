"""Load above room for five seconds, followed by normal load.

Each test names the callers that make it worse. Without an order that puts
requests that can still be in time first, the backlog made every further answer
late, and goodput stayed at half of the normal value for over ten seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from tests.core.admission import conftest

ROOM_PER_S = 100.0
NORMAL_PER_S = 0.8 * ROOM_PER_S
BEGIN, END = 5.0, 10.0
RECOVERED = END + 3.0


def _overload(load: conftest.Load, **kind: object) -> None:
    load.add(NORMAL_PER_S, 0.0, 20.0)
    load.add(ROOM_PER_S, BEGIN, END, **kind)


def _assert_recovered(load: conftest.Load) -> None:
    normal = load.goodput(0.0, BEGIN)
    assert load.goodput(RECOVERED, RECOVERED + 1.0) >= 0.95 * normal
    assert load.goodput(RECOVERED, 20.0) >= 0.95 * normal


def test_callers_that_return_as_told(load: conftest.Load) -> None:
    """Guards against a wave of returns that makes new requests late."""
    _overload(load)
    load.run(25.0)
    _assert_recovered(load)
    # Room for 100 requests a second is used while 180 arrive.
    assert load.goodput(BEGIN + 1.0, END) >= 0.45


def test_callers_that_return_at_once(load: conftest.Load) -> None:
    """Guards against retries that take the room of all others."""
    _overload(load)
    load.add(0.3 * ROOM_PER_S, BEGIN, END, obeys=False, returns=4)
    load.run(25.0)
    _assert_recovered(load)


def test_hot_account(load: conftest.Load) -> None:
    """Guards against an account that takes the part of the others."""
    _overload(load, account="hot")
    load.run(25.0)
    _assert_recovered(load)
    started = load.started(BEGIN + 1.0, END)
    others = [c for c in load.callers if BEGIN + 1.0 <= c.first_at < END]
    sent = sum(c.account != "hot" for c in others)
    served = sum(n for a, n in started.items() if a != "hot")
    assert served >= 0.85 * sent
    # The hot account gets what the others leave.
    assert started["hot"] >= 0.8 * (ROOM_PER_S * (END - BEGIN - 1.0) - sent)


def test_hot_account_gets_everything_when_nobody_else_waits(
    load: conftest.Load,
) -> None:
    """Guards against room that is kept for accounts without requests."""
    load.add(1.5 * ROOM_PER_S, 0.0, 10.0, account="hot")
    load.run(15.0)
    started = load.started(5.0, 10.0)
    assert started["hot"] >= 0.95 * 5.0 * ROOM_PER_S


def test_callers_that_leave_early(load: conftest.Load) -> None:
    """Guards against room that is held for callers that have left."""
    _overload(load, leaves_after_s=0.3)
    load.run(25.0)
    _assert_recovered(load)


@pytest.mark.parametrize("priority", [2, 9])
def test_lower_priority_does_not_starve(
    load: conftest.Load, priority: int
) -> None:
    """Guards against a class that gets nothing while a higher one waits."""
    load.add(1.5 * ROOM_PER_S, 0.0, 15.0, priority=1)
    load.add(0.3 * ROOM_PER_S, 0.0, 15.0, priority=priority)
    load.run(20.0)
    lower = [c for c in load.callers if c.priority == priority]
    served = sum(c.started_at is not None for c in lower)
    assert served >= 0.05 * ROOM_PER_S * 15.0


def test_refusals_are_early(load: conftest.Load) -> None:
    """Guards against requests that are held and then refused."""
    _overload(load)
    load.run(25.0)
    assert max(load.held_s) <= 1.1
    early = sum(h <= 0.5 + 0.1 for h in load.held_s)
    assert early >= 0.9 * len(load.held_s)
