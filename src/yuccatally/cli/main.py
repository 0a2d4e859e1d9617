"""The command ``yuccatally``."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
from typing import TYPE_CHECKING

import click
import uvloop

from yuccatally.cli import deployment
from yuccatally.cli import exits
from yuccatally.cli import objects
from yuccatally.forwarding import node as forwarding_node
from yuccatally.forwarding import reload
from yuccatally.instance import instance
from yuccatally.platform import settings as platform_settings
from yuccatally.settings import settings as settings_module
from yuccatally.telemetry import logs
from yuccatally.telemetry import output

if TYPE_CHECKING:
    from yuccatally.core.forwarding import instance_settings

_SETTINGS = click.argument(
    "settings_file", type=click.Path(path_type=pathlib.Path)
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="yuccatally")
def main() -> None:
    """Routes requests to model pipelines over mixed accelerators.

    Exit statuses: 0 done, 1 refused, 2 wrong options or settings, 3 conflict
    with another operator, 4 unavailable and nothing changed, 5 a change may
    have been made, 6 not in force everywhere, 7 no access.
    """


@main.command()
@_SETTINGS
@click.option(
    "--platform",
    is_flag=True,
    help="The file has the format of the users' platform.",
)
def check(settings_file: pathlib.Path, platform: bool) -> None:
    """Checks a settings file and reports all problems."""
    if platform:
        _load_platform_settings(settings_file)
        click.echo(f"{settings_file}: ok")
        return
    settings = _load_settings(settings_file)
    if not settings.operators.key_sha256:
        click.echo(
            f"{settings_file}: warning: operators.key_sha256 is empty, so "
            f"anyone who reaches {settings.operators.address} is an operator",
            err=True,
        )
    click.echo(f"{settings_file}: ok")


@main.command()
@_SETTINGS
@click.option(
    "--log-level",
    type=click.Choice(settings_module.LOG_LEVELS),
    help="Lowest level that is logged, instead of that of the settings.",
)
def run(settings_file: pathlib.Path, log_level: str | None) -> None:
    """Runs an instance until it is drained."""
    settings = _load_settings(settings_file)
    level = log_level or settings.instance.log_level
    logs.configure(settings.instance.name, level)
    uvloop.run(_run_instance(settings))
    _end_process()


@main.command()
@click.argument(
    "settings_file",
    type=click.Path(path_type=pathlib.Path),
    required=False,
)
@click.option(
    "--log-level",
    type=click.Choice(settings_module.LOG_LEVELS),
    default="info",
    help="Lowest level that is logged.",
)
def node(settings_file: pathlib.Path | None, log_level: str) -> None:
    """Runs an instance on the users' platform until it is drained.

    Without SETTINGS_FILE, the platform's settings file is read.
    """
    file = settings_file or platform_settings.file_path()
    settings = _load_platform_settings(file)
    logs.configure(settings.name, log_level, output.NonBlockingOutput(1))
    uvloop.run(_run_forwarding_node(settings, file))
    _end_process()


for _command in (
    objects.apply,
    objects.get,
    objects.list_objects,
    objects.delete,
    objects.label,
    objects.selector,
    objects.watch,
    deployment.status,
    deployment.explain,
    deployment.drain,
    deployment.requests,
    deployment.metrics,
    deployment.spans,
):
    main.add_command(_command)


async def _run_instance(settings: settings_module.Settings) -> None:
    running_instance = instance.Instance.from_config(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, running_instance.start_drain)
    await running_instance.run()


async def _run_forwarding_node(
    settings: instance_settings.InstanceSettings, file: pathlib.Path
) -> None:
    running_node = forwarding_node.Node.from_config(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, running_node.start_drain)
    reloader = reload.SettingsReloader(file, running_node.reload)
    loop.add_signal_handler(signal.SIGHUP, reloader.check)
    reload_task = asyncio.create_task(reloader.run())
    try:
        await running_node.run()
    finally:
        reload_task.cancel()


def _end_process() -> None:
    """Ends the process without tearing down the interpreter.

    On a busy machine the teardown takes up to a second, in which the platform
    may kill the process although its requests have ended.
    """
    with contextlib.suppress(OSError):
        sys.stdout.flush()
        sys.stderr.flush()
    os._exit(exits.ExitStatus.DONE)


def _load_platform_settings(
    settings_file: pathlib.Path,
) -> instance_settings.InstanceSettings:
    loaded = platform_settings.load(settings_file)
    if loaded.is_error():
        messages = (f"{settings_file}: {problem}" for problem in loaded.error)
        raise exits.failure(exits.ExitStatus.USAGE, *messages)
    return loaded.ok


def _load_settings(settings_file: pathlib.Path) -> settings_module.Settings:
    loaded = settings_module.Settings.from_file(settings_file)
    if loaded.is_error():
        messages = (f"{settings_file}: {problem}" for problem in loaded.error)
        raise exits.failure(exits.ExitStatus.USAGE, *messages)
    return loaded.ok
