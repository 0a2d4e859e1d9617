"""Lenient reading of decoded settings that other programs write."""

from __future__ import annotations

from typing import Any

import structlog

from yuccatally.core import strict

_log = structlog.get_logger()


class LenientReader:
    """Reads values by dotted key and collects problems.

    A key with a default that has a bad value is logged and its default used; a
    key without one is a problem.
    """

    def __init__(self, raw: dict[str, Any]) -> None:
        self.raw = raw
        self.problems: list[strict.Problem] = []

    def value(self, key: str) -> Any:
        """Returns a value as it is, None if it is missing."""
        found: Any = self.raw
        for part in key.split("."):
            if not isinstance(found, dict):
                return None
            found = found.get(part)
        return found

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a text that is not empty, or the default."""
        found = self.value(key)
        if isinstance(found, str) and found:
            return found
        if default is None:
            self._reject(key, "expected a text that is not empty")
            return ""
        if found not in (None, ""):
            self.ignore(key, "expected a text")
        return default

    def number(self, key: str, default: float) -> float:
        """Returns a number of at least 0, or the default."""
        found = self.value(key)
        if found is None:
            return default
        if isinstance(found, bool) or not isinstance(found, int | float):
            self.ignore(key, "expected a number")
            return default
        if not 0 <= found < float("inf"):
            self.ignore(key, "expected a number of at least 0")
            return default
        return float(found)

    def table(self, key: str) -> dict[str, Any]:
        """Returns a table, empty if it is missing."""
        found = self.value(key)
        if found is not None and not isinstance(found, dict):
            self.ignore(key, "expected a table")
        return found if isinstance(found, dict) else {}

    def address(self, key: str) -> str:
        """Returns ``IP:PORT``."""
        found = self.text(key)
        if found and not _is_address(found):
            self._reject(key, "expected IP:PORT")
            return ""
        return found

    def addresses(self, key: str) -> tuple[str, ...]:
        """Returns the entries of a list that are ``IP:PORT``."""
        found = self.value(key)
        if not isinstance(found, list):
            if found is not None:
                self.ignore(key, "expected a list of IP:PORT")
            return ()
        good = tuple(a for a in found if isinstance(a, str) and _is_address(a))
        if len(good) != len(found):
            self.ignore(key, "skipped entries that are not IP:PORT")
        return good

    def ignore(self, key: str, message: str) -> None:
        """Logs that a value is not used."""
        _log.warning("setting_ignored", setting=key, reason=message)

    def _reject(self, key: str, message: str) -> None:
        self.problems.append(strict.Problem(key, message))


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return (
        bool(host) and port.isascii() and port.isdigit() and int(port) < 65536
    )
