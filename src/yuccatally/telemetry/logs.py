"""Structured logs, one line of key=value pairs an event."""

from __future__ import annotations

import logging
import sys

import structlog

_LIBRARY_FORMAT = (
    "timestamp=%(asctime)s level=%(levelname)s event=library "
    "logger=%(name)s message=%(message)r"
)


def configure(instance: str, level: str = "info") -> None:
    """Sets up structlog for the process.

    Args:
        instance: Name that each line carries.
        level: Lowest level that is written.
    """
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.WARNING,
        format=_LIBRARY_FORMAT,
    )
    threshold = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "instance", "event"]
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    structlog.contextvars.bind_contextvars(instance=instance)
