"""Findings that instances tell each other."""

from __future__ import annotations

from yuccatally.core.forwarding import findings

ENGINE = findings.Engine("e", 1)
SILENT = findings.Kind.SILENT


def test_findings_that_go_round_end() -> None:
    """Guards against findings that instances renew for each other for ever."""
    first, second = findings.Findings(), findings.Findings()
    first.note(SILENT, ENGINE, 0.0)
    for step in range(1, 30):
        now = step / 10
        second.take(first.told(now), now)
        first.take(second.told(now), now)
        known = now < findings.FINDING_S
        assert (ENGINE in first.engines(SILENT, now)) is known
        assert (ENGINE in second.engines(SILENT, now)) is known


def test_kinds_are_told_apart() -> None:
    """Guards against a refusal that counts as silence."""
    found = findings.Findings()
    found.note(findings.Kind.REFUSING, ENGINE, 0.0)
    assert found.engines(SILENT, 0.0) == set()
    assert found.engines(findings.Kind.REFUSING, 0.0) == {ENGINE}


def test_new_request_renews_a_finding() -> None:
    """Guards against doubts that end while requests still fail."""
    found = findings.Findings()
    found.note(SILENT, ENGINE, 0.0)
    found.note(SILENT, ENGINE, 1.0)
    found.expire(2.0)
    assert found.engines(SILENT, 2.0) == {ENGINE}
    found.expire(2.6)
    assert found.noted_at == {}
