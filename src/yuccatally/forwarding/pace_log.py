"""Log lines of servers that are paced."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import pace

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines of one interval; the rest are counted. After a power failure thousands
# of servers return at once.
MAX_LINE_COUNT = 20
INTERVAL_S = 1.0

_log = structlog.get_logger()


class PaceLog:
    """Logs changes that this instance decides, a limited number a second.

    Attributes:
        clock: Returns the monotonic time in seconds.
        started_at: Start of the present interval.
        line_count: Lines of the present interval.
        omitted_count: Changes that were not logged since the last line.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.started_at = float("-inf")
        self.line_count = 0
        self.omitted_count = 0

    def record(self, change: pace.Change) -> None:
        """Logs a change."""
        now = self.clock()
        if now - self.started_at >= INTERVAL_S:
            self.started_at = now
            self.line_count = 0
        if self.line_count >= MAX_LINE_COUNT:
            self.omitted_count += 1
            return
        self.line_count += 1
        omitted_count, self.omitted_count = self.omitted_count, 0
        match change:
            case pace.Began(server=server, limit=limit):
                _log.info(
                    "server_paced",
                    server=server,
                    limit=limit,
                    omitted=omitted_count,
                )
            case pace.Fell(server=server, limit=limit):
                _log.info(
                    "server_pace_lowered",
                    server=server,
                    limit=limit,
                    omitted=omitted_count,
                )
            case pace.Released(server=server):
                _log.info(
                    "server_released", server=server, omitted=omitted_count
                )
