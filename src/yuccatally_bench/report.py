"""Formats benchmark results as tables with median and spread."""

from __future__ import annotations

import dataclasses
import html
import statistics
import subprocess
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib


@dataclasses.dataclass(frozen=True)
class Row:
    """Results of one variant.

    Attributes:
        variant: Measured variant, for example a policy or a fault.
        samples: Value of each run, by column.
    """

    variant: str
    samples: dict[str, tuple[float, ...]]


def table(title: str, rows: list[Row]) -> str:
    """Returns a text table; each cell is median and half the range.

    >>> print(table("t", [Row("a", {"x": (1.0, 2.0, 3.0)})]))
    t
    variant  x
    a        2 ±1
    """
    columns = list(rows[0].samples) if rows else []
    lines = [["variant", *columns]]
    lines += [
        [r.variant, *(_format_cell(r.samples[c]) for c in columns)]
        for r in rows
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    text = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]
    return "\n".join([title, *text])


def write_html(path: pathlib.Path, title: str, tables: list[str]) -> None:
    """Writes an HTML report that names the commit."""
    blocks = "".join(f"<pre>{html.escape(t)}</pre>" for t in tables)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}"
        f"</title><h1>{html.escape(title)}</h1><p>commit {commit()}</p>"
        f"{blocks}\n"
    )


def commit() -> str:
    """Returns the short hash of the checked-out commit."""
    result = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stdout.strip() or "unknown"


def _format_cell(values: tuple[float, ...]) -> str:
    median = statistics.median(values)
    spread = (max(values) - min(values)) / 2
    return f"{median:.4g} ±{spread:.2g}"
