"""Lenient reader for decoded settings that other programs write."""

from __future__ import annotations

from typing import Any

import structlog

from yuccatally.core import strict

_log = structlog.get_logger()


class LenientReader:
    """Reads values by dotted key and collects problems.

    For an invalid value of a key with a default, the reader logs the key and
    returns the default. An invalid value of a key without one is a problem.

    Attributes:
        raw: Decoded settings.
        problems: Problems with keys that have no default.
    """

    def __init__(self, raw: dict[str, Any]) -> None:
        self.raw = raw
        self.problems: list[strict.Problem] = []

    def value(self, key: str) -> Any:
        """Returns a value unchanged, or None if it is missing."""
        current: Any = self.raw
        for part in key.split("."):
            if not isinstance(current, dict):
                return None
            current = current.get(part)
        return current

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a non-empty string, or the default."""
        value = self.value(key)
        if isinstance(value, str) and value:
            return value
        if default is None:
            self._reject(key, "expected a non-empty string")
            return ""
        if value not in (None, ""):
            self.ignore(key, "expected a string")
        return default

    def number(self, key: str, default: float) -> float:
        """Returns a number of at least 0, or the default."""
        value = self.value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.ignore(key, "expected a number")
            return default
        if not 0 <= value < float("inf"):
            self.ignore(key, "expected a number of at least 0")
            return default
        return float(value)

    def table(self, key: str) -> dict[str, Any]:
        """Returns a table, or an empty one if it is missing or invalid."""
        value = self.value(key)
        if value is not None and not isinstance(value, dict):
            self.ignore(key, "expected a table")
        return value if isinstance(value, dict) else {}

    def address(self, key: str) -> str:
        """Returns an address of the form ``IP:PORT``."""
        address = self.text(key)
        if address and not _is_address(address):
            self._reject(key, "expected IP:PORT")
            return ""
        return address

    def addresses(self, key: str) -> tuple[str, ...]:
        """Returns the entries of a list that have the form ``IP:PORT``."""
        value = self.value(key)
        if not isinstance(value, list):
            if value is not None:
                self.ignore(key, "expected a list of IP:PORT")
            return ()
        valid = tuple(a for a in value if isinstance(a, str) and _is_address(a))
        if len(valid) != len(value):
            self.ignore(key, "skipped entries that are not IP:PORT")
        return valid

    def ignore(self, key: str, message: str) -> None:
        """Logs that a value is ignored."""
        _log.warning("setting_ignored", setting=key, reason=message)

    def _reject(self, key: str, message: str) -> None:
        self.problems.append(strict.Problem(key, message))


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return (
        bool(host) and port.isascii() and port.isdigit() and int(port) < 65536
    )
