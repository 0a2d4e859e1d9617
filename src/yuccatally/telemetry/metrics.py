"""Latency histograms and counters in the Prometheus text format."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from hdrh import histogram

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccatally.core.requests import ledger

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)
PREFIX = "yuccatally"

# Bounds memory and the size of the exposed text if a label value comes from a
# request, for example from its path.
MAX_LABELS_PER_COUNTER = 256
OTHER_LABEL = "other"

HELP = {
    "requests": "Requests by state; accepted is the sum of all others.",
    "refusals": "Requests that were not answered, by reason.",
    "connections_refused": "Connections ended by a limit, by reason.",
    "step_frames": "Frames sent to engines.",
    "step_items": "Step items sent to engines.",
    "results_dropped": "Results of engines that matched no outstanding item.",
    "attempts_abandoned": "Attempts that went on over another route.",
    "forwarded": "Forwarded requests by status and whether they were whole.",
    "attempts_failed": "Failed attempts of forwarded requests, by failure.",
    "paths_stalled": "Times that a path was found stalled, by path.",
    "waiting_requests": "Requests that wait for room, by service and priority.",
    "longest_wait_seconds": "Longest wait so far, by service and priority.",
    "waiting_refused": "Requests refused for lack of room, by service.",
    "waited": "Time for which requests searched for a path or waited for room.",
    "first_byte": "Time from the arrival of a request to the first byte.",
    "servers_paced": "Servers with a limit since they started or recovered.",
    "pace_limit": "Sum of their limits, over all instances.",
    "pace_outstanding": "Outstanding attempts of this instance at them.",
    "request": "Time from the acceptance of a request to its outcome.",
    "first_token": "Time from the acceptance to the first token of a stream.",
}


@dataclasses.dataclass(frozen=True)
class Latency:
    """Quantiles of one histogram, in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float


class Metrics:
    """Histograms by name; counters and gauges by name and label value."""

    def __init__(self) -> None:
        self.histograms: dict[str, histogram.HdrHistogram] = {}
        self.sums_s: collections.Counter[str] = collections.Counter()
        self.gauges: dict[tuple[str, str], float] = {}
        self.counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.label_counts: collections.Counter[str] = collections.Counter()

    def observe(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        durations = self.histograms.get(name)
        if durations is None:
            durations = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.histograms[name] = durations
        # Longer durations are recorded as the maximum of the histogram.
        duration_us = min(max(LOWEST_US, int(seconds * 1e6)), HIGHEST_US)
        durations.record_value(duration_us)
        self.sums_s[name] += seconds

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Adds to a counter.

        Label values beyond ``MAX_LABELS_PER_COUNTER`` share one counter.
        """
        key = (name, label)
        if key not in self.counters:
            if self.label_counts[name] >= MAX_LABELS_PER_COUNTER:
                key = (name, OTHER_LABEL)
            else:
                self.label_counts[name] += 1
        self.counters[key] += amount

    def counters_by_label(self, name: str) -> dict[str, int]:
        """Returns the counters of a name by label value."""
        return {
            label: value
            for (counter, label), value in sorted(self.counters.items())
            if counter == name
        }

    def latencies(self) -> dict[str, Latency]:
        """Returns the quantiles of each histogram by name."""
        return {
            name: Latency(
                durations.get_total_count(),
                *(_quantile_s(durations, q) for q in QUANTILES),
            )
            for name, durations in sorted(self.histograms.items())
        }

    def prometheus_text(self, totals: ledger.Totals | None = None) -> str:
        """Returns all metrics in the Prometheus text format 0.0.4.

        Args:
            totals: Requests by state; None if they are not counted.
        """
        lines = [
            *(_request_lines(totals) if totals else ()),
            *self._counter_lines(),
            *self._gauge_lines(),
            *self._summary_lines(),
        ]
        return "\n".join(lines) + "\n"

    def _gauge_lines(self) -> Iterator[str]:
        previous = ""
        for (name, label), value in sorted(self.gauges.items()):
            metric = f"{PREFIX}_{name}"
            if name != previous:
                yield from _header_lines(metric, name, "gauge")
                previous = name
            labels = f'{{label="{escape(label)}"}}' if label else ""
            yield f"{metric}{labels} {value:g}"

    def _counter_lines(self) -> Iterator[str]:
        previous = ""
        for (name, label), value in sorted(self.counters.items()):
            metric = f"{PREFIX}_{name}_total"
            if name != previous:
                yield from _header_lines(metric, name, "counter")
                previous = name
            labels = f'{{label="{escape(label)}"}}' if label else ""
            yield f"{metric}{labels} {value}"

    def _summary_lines(self) -> Iterator[str]:
        for name, durations in sorted(self.histograms.items()):
            metric = f"{PREFIX}_{name}_seconds"
            yield from _header_lines(metric, name, "summary")
            for quantile in QUANTILES:
                value = _quantile_s(durations, quantile)
                yield f'{metric}{{quantile="{quantile}"}} {value}'
            yield f"{metric}_sum {self.sums_s[name]:.6f}"
            yield f"{metric}_count {durations.get_total_count()}"


def escape(label: str) -> str:
    r"""Escapes a label value for the text format.

    >>> print(escape('a"b'))
    a\"b
    """
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _request_lines(totals: ledger.Totals) -> Iterator[str]:
    metric = f"{PREFIX}_requests"
    yield from _header_lines(metric, "requests", "gauge")
    for field in dataclasses.fields(totals):
        state = field.name.replace("_", "-")
        yield f'{metric}{{state="{state}"}} {getattr(totals, field.name)}'


def _header_lines(metric: str, name: str, kind: str) -> Iterator[str]:
    text = HELP.get(name, f"{name.replace('_', ' ').capitalize()}.")
    yield f"# HELP {metric} {text}"
    yield f"# TYPE {metric} {kind}"


def _quantile_s(durations: histogram.HdrHistogram, quantile: float) -> float:
    return durations.get_value_at_percentile(quantile * 100) / 1e6
