"""Tables and JSON on standard output."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import click

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


def format_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns aligned columns with a header line.

    >>> print(format_table(["A", "B"], [["x", 1], ["long", 2]]))
    A     B
    x     1
    long  2
    """
    lines = [list(columns), *([_format_cell(c) for c in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def print_result(output: str, content: Any, text: str) -> None:
    """Prints the content as JSON, or the text if the format is ``table``."""
    if output == "json":
        click.echo(json.dumps(content, indent=2, ensure_ascii=False))
    elif text:
        click.echo(text)


def format_labels(labels: dict[str, str]) -> str:
    """Returns labels as ``a=b,c=d``, ``-`` if there are none."""
    return ",".join(f"{k}={v}" for k, v in sorted(labels.items())) or "-"


def print_progress(text: str) -> None:
    """Prints the progress of a long operation to standard error."""
    click.echo(text, err=True)


def _format_cell(value: Any) -> str:
    # Control characters in external data must not reach the terminal.
    text = "-" if value in ("", None) else str(value)
    return "".join(c if c.isprintable() else "?" for c in text)
