"""Structured logs with one line of key=value pairs per event."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import structlog

if TYPE_CHECKING:
    from collections.abc import MutableMapping

REDACTED = "[redacted]"
MAX_VALUE_LENGTH = 2_000

# Keys whose values would be secrets or texts of callers. Log calls state the
# length or the digest of such a value instead.
REDACTED_KEYS = frozenset(
    {
        "authorization",
        "body",
        "content",
        "headers",
        "key",
        "messages",
        "prompt",
        "text",
        "token",
        "tokens_so_far",
        "values",
    }
)

_RENDERER = structlog.processors.LogfmtRenderer(
    key_order=["timestamp", "level", "instance", "event"]
)


class Output(Protocol):
    """Destination of log lines."""

    def write(self, text: str) -> int:
        """Writes a line that ends with a newline."""

    def flush(self) -> None:
        """Writes buffered lines."""


def configure(
    instance: str, level: str = "info", file: Output | None = None
) -> None:
    """Configures structlog and the logging module for the process.

    Args:
        instance: Name of the instance, added to each line.
        level: Minimum level that is written.
        file: Destination of the lines; defaults to standard error.
    """
    file = file or sys.stderr
    handler = logging.StreamHandler(file)
    handler.setFormatter(LibraryFormatter(instance))
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)
    threshold = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            redact,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.WriteLoggerFactory(file=file),
    )
    structlog.contextvars.bind_contextvars(instance=instance)


def redact(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Replaces values that must not be logged and truncates long ones."""
    for name, value in event.items():
        if name.lower() in REDACTED_KEYS or isinstance(value, bytes):
            event[name] = REDACTED
        elif isinstance(value, str) and len(value) > MAX_VALUE_LENGTH:
            event[name] = value[:MAX_VALUE_LENGTH] + "..."
    return event


def render(logger: Any, method: str, event: MutableMapping[str, Any]) -> str:
    """Formats an event as one line and escapes unprintable characters."""
    line = _RENDERER(logger, method, event)
    if line.isprintable():
        return line
    return "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode()
        for c in line
    )


class LibraryFormatter(logging.Formatter):
    """Formats log records of libraries as one line of key=value pairs."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self.instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Formats a record as one line."""
        event: dict[str, Any] = {
            "timestamp": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname.lower(),
            "instance": self.instance,
            "event": "library",
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            event["exception"] = self.formatException(record.exc_info)
        return render(None, "", redact(None, "", event))
