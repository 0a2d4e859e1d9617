"""The command ``yuccatally``."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

import click
import uvloop

from yuccatally.instance import instance
from yuccatally.settings import settings as settings_module
from yuccatally.telemetry import logs

EXIT_INVALID = 2

_SETTINGS = click.argument(
    "settings_file", type=click.Path(path_type=pathlib.Path)
)


@click.group()
@click.version_option(package_name="yuccatally")
def main() -> None:
    """Routes requests to model pipelines over mixed accelerators."""


@main.command()
@_SETTINGS
def check(settings_file: pathlib.Path) -> None:
    """Checks a settings file."""
    _load(settings_file)
    click.echo(f"{settings_file}: ok")


@main.command()
@_SETTINGS
@click.option("--log-level", default="info", show_default=True)
def run(settings_file: pathlib.Path, log_level: str) -> None:
    """Runs an instance until it is drained."""
    settings = _load(settings_file)
    logs.configure(settings.instance.name, log_level)
    uvloop.run(_run(settings))


async def _run(settings: settings_module.Settings) -> None:
    node = instance.Instance.from_config(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.start_drain)
    await node.run()


def _load(settings_file: pathlib.Path) -> settings_module.Settings:
    loaded = settings_module.Settings.from_file(settings_file)
    if loaded.is_error():
        for problem in loaded.error:
            click.echo(f"{settings_file}: {problem}", err=True)
        sys.exit(EXIT_INVALID)
    return loaded.ok
