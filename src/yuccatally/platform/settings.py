"""The settings file that the platform writes for a process."""

from __future__ import annotations

import os
import pathlib
from typing import Any

import expression
import structlog

from yuccatally.core import strict
from yuccatally.core.forwarding import node

PATH_VARIABLE = "YUCCATALLY_NODE_FILE"
DEFAULT_PATH = "/etc/yuccatally/local.toml"
# Offset of the metrics listener from the first port free for the instances.
METRICS_PORT_OFFSET = 5

_log = structlog.get_logger()


def path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(
    file: pathlib.Path,
) -> expression.Result[node.Node, tuple[strict.Problem, ...]]:
    """Reads the settings file.

    Args:
        file: Path of the file.

    Returns:
        The settings, or every key that keeps the process from starting.
    """
    try:
        content = file.read_bytes()
    except OSError as error:
        problem = strict.Problem("", f"cannot be read: {error.strerror}")
        return expression.Error((problem,))
    decoded = strict.decode_toml(content)
    if decoded.is_error():
        return expression.Error((decoded.error,))
    return decode(decoded.ok)


def decode(
    raw: dict[str, Any],
) -> expression.Result[node.Node, tuple[strict.Problem, ...]]:
    """Translates the platform's settings.

    Unknown keys are ignored. A bad value of a key that has a default is logged
    and the default is used; other bad values are problems.

    Args:
        raw: Decoded TOML.

    Returns:
        The settings, or the problems.
    """
    reader = _Reader(raw)
    zones = reader.table("zones")
    found = node.Node(
        name=reader.text("nodeName"),
        data_centre=reader.text("zone"),
        region=reader.text("region", ""),
        regions={k: v for k, v in zones.items() if isinstance(v, str)},
        listen=node.Listen(
            callers=reader.address("listen.frontend"),
            readiness=reader.address("listen.ready"),
            peers=reader.address("listen.controlPlane"),
            directory=reader.address("listen.directoryService"),
        ),
        seeds=reader.addresses("seeds"),
        store=reader.address("platform.address"),
        bounds=_bounds(reader),
        metrics=_metrics(reader),
    )
    if reader.problems:
        return expression.Error(tuple(reader.problems))
    return expression.Ok(found)


def _bounds(reader: _Reader) -> node.Bounds:
    default = node.Bounds()
    return node.Bounds(
        grace_s=reader.number("bounds.graceS", default.grace_s),
        retry_share=reader.number(
            "bounds.retryBudgetRatio", default.retry_share
        ),
        retry_reserve=reader.number(
            "bounds.retryHeadroom", default.retry_reserve
        ),
        retry_window_s=reader.number(
            "bounds.budgetWindowS", default.retry_window_s
        ),
        directory_ttl_s=reader.number(
            "bounds.ttl_max_s", default.directory_ttl_s
        ),
        fences_enforced=reader.value("bounds.fencingEnforced") is True,
    )


def _metrics(reader: _Reader) -> str:
    ports = reader.value("internalPorts")
    ip = reader.text("ip", "")
    if not ip or not isinstance(ports, list) or not ports:
        return ""
    if not isinstance(ports[0], int):
        reader.ignore("internalPorts", "expected two port numbers")
        return ""
    return f"{ip}:{ports[0] + METRICS_PORT_OFFSET}"


class _Reader:
    """Reads values by dotted key and collects problems."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self.raw = raw
        self.problems: list[strict.Problem] = []

    def value(self, key: str) -> Any:
        found: Any = self.raw
        for part in key.split("."):
            if not isinstance(found, dict):
                return None
            found = found.get(part)
        return found

    def text(self, key: str, default: str | None = None) -> str:
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
        found = self.value(key)
        if found is not None and not isinstance(found, dict):
            self.ignore(key, "expected a table")
        return found if isinstance(found, dict) else {}

    def address(self, key: str) -> str:
        found = self.text(key)
        if found and not _is_address(found):
            self._reject(key, "expected IP:PORT")
            return ""
        return found

    def addresses(self, key: str) -> tuple[str, ...]:
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
        _log.warning("setting_ignored", setting=key, reason=message)

    def _reject(self, key: str, message: str) -> None:
        self.problems.append(strict.Problem(key, message))


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return (
        bool(host) and port.isascii() and port.isdigit() and int(port) < 65536
    )
