"""Runs a measurement: ``python -m yuccatally_bench NAME``."""

from __future__ import annotations

import importlib
import pkgutil

import click

import yuccatally_bench


class Measurements(click.Group):
    """Every module of the package with a function ``command``."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of the measurements."""
        names = (
            m.name for m in pkgutil.iter_modules(yuccatally_bench.__path__)
        )
        return sorted(n for n in names if hasattr(_module(n), "command"))

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Returns the click command of one measurement."""
        return getattr(_module(cmd_name), "command", None)


def _module(name: str) -> object:
    if name == "__main__":
        return None
    try:
        return importlib.import_module(f"yuccatally_bench.{name}")
    except ModuleNotFoundError:
        return None


@click.command(cls=Measurements)
def main() -> None:
    """Prints a table with this version and the baselines side by side."""


if __name__ == "__main__":
    main()
