"""Exit statuses of the commands."""

from __future__ import annotations

import enum

import click


class ExitStatus(enum.IntEnum):
    """Exit status; docs/operators/reading.md lists them for scripts.

    ``USAGE`` is also what click uses for wrong options.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6
    NO_ACCESS = 7


def failure(status: ExitStatus, *lines: str) -> SystemExit:
    """Prints messages to standard error and returns the error to raise."""
    for line in lines:
        click.echo(line, err=True)
    return SystemExit(int(status))
