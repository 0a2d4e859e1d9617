"""Tests of the metrics in the Prometheus text format."""

from __future__ import annotations

import re

from yuccatally.core.requests import ledger
from yuccatally.telemetry import metrics

SAMPLE = re.compile(
    r'(?P<name>[a-z_]+)(\{(?P<label>[a-z]+)="(?P<value>([^"\\\n]|\\["\\n])*)"\})?'
    r" (?P<number>\d+(\.\d+)?(e-?\d+)?)"
)


def test_text_follows_the_format() -> None:
    """Guards against a format error that makes scrapers reject all metrics."""
    registry = metrics.Metrics()
    for label in ("overloaded", 'x"y\\z\n', ""):
        registry.count("refusals", label)
    registry.count("step_frames", amount=3)
    for duration_s in (0.0, 0.001, 0.2, 1e9):
        registry.observe("request", duration_s)
    text = registry.prometheus_text(ledger.Totals(5, 2, 1, 1, 1))
    assert text.endswith("\n")
    described: set[str] = set()
    typed: dict[str, str] = {}
    samples = set()
    for line in text.splitlines():
        if line.startswith("# HELP "):
            described.add(line.split()[2])
            continue
        if line.startswith("# TYPE "):
            _, _, name, kind = line.split()
            assert name in described
            assert name not in typed
            typed[name] = kind
            continue
        sample = SAMPLE.fullmatch(line)
        assert sample, line
        name = sample["name"]
        base = re.sub(r"_(sum|count)$", "", name)
        metric = name if name in typed else base
        # The samples of a metric follow its HELP and TYPE lines.
        assert metric == list(typed)[-1]
        assert (name, sample["value"]) not in samples
        samples.add((name, sample["value"]))
    assert typed["yuccatally_refusals_total"] == "counter"
    assert typed["yuccatally_request_seconds"] == "summary"
    assert ("yuccatally_request_seconds", "0.99") in samples
    assert "yuccatally_request_seconds_count 4" in text
    assert 'yuccatally_requests{state="in-flight"} 1' in text


def test_labels_are_bounded() -> None:
    """Guards against memory that grows with label values from requests."""
    registry = metrics.Metrics()
    for number in range(1_000):
        registry.count("refusals", f"label-{number}")
    counts = registry.counters_by_label("refusals")
    assert len(counts) <= metrics.MAX_LABELS_PER_COUNTER + 1
    assert sum(counts.values()) == 1_000
