"""Runs a benchmark: ``python -m yuccatally_bench NAME``."""

from __future__ import annotations

import importlib
import pkgutil

import click

import yuccatally_bench


class Benchmarks(click.Group):
    """Finds the modules of the package that define ``command``."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of the benchmarks."""
        names = (
            m.name for m in pkgutil.iter_modules(yuccatally_bench.__path__)
        )
        return sorted(n for n in names if hasattr(_import_module(n), "command"))

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Returns the click command of one benchmark."""
        return getattr(_import_module(cmd_name), "command", None)


def _import_module(name: str) -> object:
    if name == "__main__":
        return None
    try:
        return importlib.import_module(f"yuccatally_bench.{name}")
    except ModuleNotFoundError:
        return None


@click.command(cls=Benchmarks)
def main() -> None:
    """Prints a table that compares this version with the baselines."""


if __name__ == "__main__":
    main()
