"""Reload of the settings file when it changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from yuccatally.platform import settings as platform_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    import pathlib

    from yuccatally.core.forwarding import instance_settings

# Interval of checks, since the file may change without a signal.
CHECK_INTERVAL_S = 1.0

_log = structlog.get_logger()


class SettingsReloader:
    """Checks a settings file for changes and applies them.

    Attributes:
        file: Path of the settings file.
        apply: Called with the settings after each valid change.
        content: Content that was read last; None if it could not be read.
    """

    def __init__(
        self,
        file: pathlib.Path,
        apply: Callable[[instance_settings.InstanceSettings], None],
    ) -> None:
        self.file = file
        self.apply = apply
        self.content = self._read()

    async def run(self) -> None:
        """Checks the file periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Applies the file if it has changed and is valid."""
        content = self._read()
        if content is None or content == self.content:
            return
        self.content = content
        loaded = platform_settings.load(self.file)
        if loaded.is_error():
            problems = "; ".join(str(p) for p in loaded.error)
            _log.error("settings_rejected", problems=problems)
            return
        self.apply(loaded.ok)

    def _read(self) -> bytes | None:
        try:
            return self.file.read_bytes()
        except OSError as error:
            _log.warning("settings_unreadable", reason=error.strerror)
            return None
