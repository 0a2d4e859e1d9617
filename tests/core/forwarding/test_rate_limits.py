"""Tests the limits that upstreams state and the turns within them."""

from __future__ import annotations

import pytest

from yuccatally.core.forwarding import rate_limits
from yuccatally.core.forwarding import suspicions

ENGINE = suspicions.Incarnation("e1", 1000)


@pytest.fixture
def limits() -> rate_limits.LimitTable:
    """A table with a limit of 2 a second, stated at second 10."""
    table = rate_limits.LimitTable()
    table.record(ENGINE, rate_limits.Limit(2.0, 10.0))
    return table


def test_latest_limit_is_in_force(limits: rate_limits.LimitTable) -> None:
    """Guards against a statement that is missed or kept for too long."""
    assert limits.rate(ENGINE) == 2.0
    assert not limits.record(ENGINE, rate_limits.Limit(2.0, 11.0))
    assert limits.record(ENGINE, rate_limits.Limit(0.5, 12.0))
    assert not limits.record(ENGINE, rate_limits.Limit(3.0, 11.5))
    assert limits.rate(ENGINE) == 0.5
    assert limits.record(ENGINE, rate_limits.Limit(None, 13.0))
    assert limits.rate(ENGINE) is None


def test_response_to_an_earlier_request_does_not_end_a_limit(
    limits: rate_limits.LimitTable,
) -> None:
    """Guards against a slow response that ends a limit stated after it."""
    assert not limits.record(ENGINE, rate_limits.Limit(None, 9.0))
    assert limits.rate(ENGINE) == 2.0


def test_limit_is_that_of_one_incarnation(
    limits: rate_limits.LimitTable,
) -> None:
    """Guards against a restarted upstream that keeps an earlier limit."""
    assert limits.rate(suspicions.Incarnation("e1", 2000)) is None


def test_number_of_limits_is_bounded() -> None:
    """Guards against upstreams without end that fill memory."""
    table = rate_limits.LimitTable()
    for number in range(rate_limits.MAX_LIMIT_COUNT + 10):
        engine = suspicions.Incarnation(f"e{number}", 1)
        table.record(engine, rate_limits.Limit(1.0, 1.0))
    assert len(table.latest) == rate_limits.MAX_LIMIT_COUNT
