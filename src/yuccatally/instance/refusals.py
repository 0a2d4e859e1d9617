"""Responses and log lines of refused connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

_PHRASES = {
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}
# A client can cause refusals at any rate, and each log line costs time.
LOG_LINE_COUNT = 20
LOG_PERIOD_S = 10.0

_log = structlog.get_logger()


class RefusalLog:
    """Counts refusals and logs a limited number of them for each reason.

    Attributes:
        on_refused: Called with the reason of each refusal.
        clock: Returns the time, in seconds.
        period_start: Start of the current period by reason.
        counts: Refusals in the current period by reason.
    """

    def __init__(
        self, on_refused: Callable[[str], None], clock: Callable[[], float]
    ) -> None:
        self.on_refused = on_refused
        self.clock = clock
        self.period_start: dict[str, float] = {}
        self.counts: dict[str, int] = {}

    def record(self, reason: str, address: str) -> None:
        """Counts a refusal, and logs it unless there were many lately.

        The first line of a period states how many of the last period are
        missing in the log.
        """
        self.on_refused(reason)
        now = self.clock()
        unlogged = 0
        if now - self.period_start.get(reason, float("-inf")) >= LOG_PERIOD_S:
            unlogged = max(0, self.counts.get(reason, 0) - LOG_LINE_COUNT)
            self.period_start[reason] = now
            self.counts[reason] = 0
        self.counts[reason] += 1
        if self.counts[reason] <= LOG_LINE_COUNT:
            _log.warning(
                "connection_refused",
                reason=reason,
                address=address,
                unlogged=unlogged,
            )


def error_response(status: int, reason: str, text: str) -> bytes:
    """Returns a response that closes the connection.

    Args:
        status: Status, which promises that the request was not executed.
        reason: Short reason.
        text: Explanation.
    """
    error = {
        "message": text,
        "type": "invalid_request_error",
        "param": None,
        "code": reason,
        "outcome": "not-run",
    }
    body = msgspec.json.encode({"error": error})
    return b"".join(
        [
            b"HTTP/1.1 %d %s\r\n" % (status, _PHRASES[status]),
            b"Content-Type: application/json\r\n",
            b"Content-Length: %d\r\n" % len(body),
            b"Yuccatally-Outcome: not-run\r\n",
            b"Connection: close\r\n\r\n",
            body,
        ]
    )
