"""Latency histograms and counters in the Prometheus text format."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from hdrh import histogram

if TYPE_CHECKING:
    from yuccatally.core.requests import ledger

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)


class Metrics:
    """Histograms by name and counters by name and label."""

    def __init__(self) -> None:
        self.histograms: dict[str, histogram.HdrHistogram] = {}
        self.counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def observe(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        found = self.histograms.get(name)
        if found is None:
            found = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.histograms[name] = found
        found.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        self.counters[(name, label)] += amount

    def text(self, totals: ledger.Totals) -> str:
        """Returns everything in the Prometheus text format."""
        lines = [
            f'yuccatally_requests{{state="{state}"}} {value}'
            for state, value in (
                ("accepted", totals.accepted),
                ("answered", totals.answered),
                ("not-run", totals.not_run),
                ("unknown", totals.unknown),
                ("in-flight", totals.in_flight),
            )
        ]
        for (name, label), value in sorted(self.counters.items()):
            labels = f'{{label="{label}"}}' if label else ""
            lines.append(f"yuccatally_{name}_total{labels} {value}")
        for name, found in sorted(self.histograms.items()):
            metric = f"yuccatally_{name}_seconds"
            for quantile in QUANTILES:
                value = found.get_value_at_percentile(quantile * 100) / 1e6
                lines.append(f'{metric}{{quantile="{quantile}"}} {value}')
            lines.append(f"{metric}_count {found.get_total_count()}")
        return "\n".join(lines) + "\n"
