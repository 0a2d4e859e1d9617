"""Tests the suspicions that instances exchange."""

from __future__ import annotations

from yuccatally.core.forwarding import suspicions

ENGINE = suspicions.Incarnation("e", 1)
SILENT = suspicions.Kind.SILENT


def test_findings_that_go_round_end() -> None:
    """Guards against suspicions that instances renew for each other."""
    first, second = suspicions.SuspicionTable(), suspicions.SuspicionTable()
    first.record(SILENT, ENGINE, 0.0)
    for step in range(1, 30):
        now = step / 10
        second.merge(first.current(now), now)
        first.merge(second.current(now), now)
        is_current = now < suspicions.SUSPICION_TTL_S
        assert (ENGINE in first.suspected(SILENT, now)) is is_current
        assert (ENGINE in second.suspected(SILENT, now)) is is_current


def test_kinds_are_told_apart() -> None:
    """Guards against a refusal that counts as a missing response."""
    table = suspicions.SuspicionTable()
    table.record(suspicions.Kind.REFUSING, ENGINE, 0.0)
    assert table.suspected(SILENT, 0.0) == set()
    assert table.suspected(suspicions.Kind.REFUSING, 0.0) == {ENGINE}


def test_new_request_renews_a_finding() -> None:
    """Guards against suspicions that expire while requests still fail."""
    table = suspicions.SuspicionTable()
    table.record(SILENT, ENGINE, 0.0)
    table.record(SILENT, ENGINE, 1.0)
    table.expire(2.0)
    assert table.suspected(SILENT, 2.0) == {ENGINE}
    table.expire(2.6)
    assert table.observed_at == {}
