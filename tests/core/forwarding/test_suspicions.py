"""Findings that instances tell each other."""

from __future__ import annotations

from yuccatally.core.forwarding import suspicions

ENGINE = suspicions.Incarnation("e", 1)
SILENT = suspicions.Kind.SILENT


def test_findings_that_go_round_end() -> None:
    """Guards against findings that instances renew for each other for ever."""
    first, second = suspicions.SuspicionTable(), suspicions.SuspicionTable()
    first.record(SILENT, ENGINE, 0.0)
    for step in range(1, 30):
        now = step / 10
        second.merge(first.current(now), now)
        first.merge(second.current(now), now)
        known = now < suspicions.SUSPICION_TTL_S
        assert (ENGINE in first.suspected(SILENT, now)) is known
        assert (ENGINE in second.suspected(SILENT, now)) is known


def test_kinds_are_told_apart() -> None:
    """Guards against a refusal that counts as silence."""
    found = suspicions.SuspicionTable()
    found.record(suspicions.Kind.REFUSING, ENGINE, 0.0)
    assert found.suspected(SILENT, 0.0) == set()
    assert found.suspected(suspicions.Kind.REFUSING, 0.0) == {ENGINE}


def test_new_request_renews_a_finding() -> None:
    """Guards against doubts that end while requests still fail."""
    found = suspicions.SuspicionTable()
    found.record(SILENT, ENGINE, 0.0)
    found.record(SILENT, ENGINE, 1.0)
    found.expire(2.0)
    assert found.suspected(SILENT, 2.0) == {ENGINE}
    found.expire(2.6)
    assert found.observed_at == {}
