"""Options that all commands for operators have in common."""

from __future__ import annotations

import asyncio
import functools
import os
import pathlib
from typing import TYPE_CHECKING
from typing import Any

import click

from yuccatally.cli import client
from yuccatally.cli import exits

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_ADDRESS = click.option(
    "--address",
    envvar="YUCCATALLY_ADDRESS",
    required=True,
    help="IP:PORT of an instance's operators' listener, or https://IP:PORT; "
    "several are separated by commas.",
)
_KEY_FILE = click.option(
    "--key-file",
    envvar="YUCCATALLY_KEY_FILE",
    type=click.Path(path_type=pathlib.Path),
    help="File with the operators' key; or set YUCCATALLY_KEY.",
)
_AUTHORITY = click.option(
    "--authority",
    envvar="YUCCATALLY_AUTHORITY",
    default="",
    help="PEM file with the certificates to verify https addresses with.",
)
_OUTPUT = click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)


def operator_command(
    command: Callable[..., Awaitable[None]],
) -> Callable[..., None]:
    """Turns a coroutine function into a command that uses an open client.

    The function is called with the client, the output format and its own
    options.
    """

    @_ADDRESS
    @_KEY_FILE
    @_AUTHORITY
    @_OUTPUT
    @functools.wraps(command)
    def run(
        address: str,
        key_file: pathlib.Path | None,
        authority: str,
        output: str,
        **options: Any,
    ) -> None:
        connection = client.ConnectionOptions(
            tuple(a.strip() for a in address.split(",") if a.strip()),
            _read_key(key_file),
            authority,
        )
        asyncio.run(_run_command(command, connection, output, options))

    return run


async def _run_command(
    command: Callable[..., Awaitable[None]],
    connection: client.ConnectionOptions,
    output: str,
    options: dict[str, Any],
) -> None:
    if not connection.addresses:
        raise exits.failure(
            exits.ExitStatus.USAGE, "--address: name at least one IP:PORT"
        )
    try:
        async with connection.open() as open_client:
            await command(open_client, output, **options)
    except OSError as error:
        message = f"--authority: {error}"
        raise exits.failure(exits.ExitStatus.USAGE, message) from error


def _read_key(key_file: pathlib.Path | None) -> str:
    # The key itself is not an option, because the process list would show it.
    if key_file is None:
        return os.environ.get("YUCCATALLY_KEY", "").strip()
    try:
        return key_file.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f"--key-file {key_file}: {error}"
        raise exits.failure(exits.ExitStatus.USAGE, message) from error
