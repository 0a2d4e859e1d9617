"""HTTP server protocol with size and time limits for each connection."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import structlog
from uvicorn.protocols.http import httptools_impl

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

# A body in chunks of one byte needs six bytes for each. Chunk extensions and
# trailers, which the parser does not limit, must fit into the rest.
WIRE_BYTES_FACTOR = 8

# Time for a refused sender to read the refusal. An immediate close would reset
# the connection while the sender still sends, and the refusal would be lost.
LINGER_TIMEOUT_S = 2.0

_log = structlog.get_logger()

_PHRASES = {
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}


@dataclasses.dataclass(frozen=True)
class ConnectionLimits:
    """Limits of the connections of one listener.

    Attributes:
        header_bytes: Longest request line and headers together, in bytes.
        header_timeout_s: Longest time from the connection or the first byte
            of a later request to the end of its headers, in seconds.
        body_bytes: Longest body that the application accepts, in bytes.
        body_timeout_s: Longest time from the end of the headers to the end
            of the body, in seconds.
        write_timeout_s: Longest time in which a caller reads nothing of a
            response that is ready to be sent, in seconds.
        max_connections: Largest number of open connections.
    """

    header_bytes: int
    header_timeout_s: float
    body_bytes: int
    body_timeout_s: float
    write_timeout_s: float
    max_connections: int

    @property
    def wire_bytes(self) -> int:
        """Largest number of bytes of one request on the wire."""
        return self.header_bytes + WIRE_BYTES_FACTOR * self.body_bytes


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Refuses requests that are too long or arrive too slowly.

    The subclass that ``limited_protocol`` returns sets ``limits`` and
    ``on_refused``.

    Attributes:
        limits: Limits of the connection.
        on_refused: Called with the reason of each refusal.
        request_started: Whether the first bytes of a request were parsed.
        in_headers: Whether the headers are not complete yet.
        in_body: Whether the body is being received.
        wire_bytes: Bytes received for the current request.
        header_bytes: Parsed length of the request line and headers.
        closing: Whether a refusal was sent or the connection aborted.
        idle_since: Time of the event loop at which the latest answer ended.
    """

    limits: ConnectionLimits
    on_refused: Callable[[str], None]

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.request_started = False
        self.in_headers = True
        self.in_body = False
        self.wire_bytes = 0
        self.header_bytes = 0
        self.closing = False
        self.idle_since = 0.0
        self.read_timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Starts the time limit for the first headers."""
        super().connection_made(transport)
        if len(self.connections) > self.limits.max_connections:
            self._refuse(503, "too-many-connections", "try another instance")
            return
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the time limits."""
        self._stop_read_timer()
        self.resume_writing()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser and enforces the length limits."""
        if self.closing:
            return
        if self.in_headers and self.read_timer is None:
            self._start_header_timer()
        self.wire_bytes += len(data)
        super().data_received(data)
        if self.closing or self.transport.is_closing():
            return
        if self.request_started and self.in_headers and self.read_timer is None:
            # The request follows another one in the same data.
            self._start_header_timer()
        if self.in_headers and self.wire_bytes > self.limits.header_bytes:
            self._refuse_headers()
        elif self.in_body and self.wire_bytes > self.limits.wire_bytes:
            text = f"the request is longer than {self.limits.wire_bytes} bytes"
            self._refuse(413, "body-too-long", text)

    def on_message_begin(self) -> None:
        """Records the start of a request."""
        self.request_started = True
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Adds the request target to the header length."""
        self.header_bytes += len(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header to the header length; drops trailers (unused)."""
        if not self.in_headers:
            return
        self.header_bytes += len(name) + len(value) + len(": \r\n")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts the time limit for the body."""
        self._stop_read_timer()
        self.in_headers = False
        if self.closing:
            return
        if self.header_bytes > self.limits.header_bytes:
            self._refuse_headers()
            return
        self.in_body = True
        self.read_timer = self.loop.call_later(
            self.limits.body_timeout_s, self._on_body_timeout
        )
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Records the start of an idle period."""
        self.idle_since = self.loop.time()
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """Closes the connection, unless its idle limit was raised meanwhile."""
        idle_until = self.idle_since + self.timeout_keep_alive
        if self.loop.time() < idle_until:
            self.timeout_keep_alive_task = self.loop.call_at(
                idle_until, self.timeout_keep_alive_handler
            )
        else:
            super().timeout_keep_alive_handler()

    def on_body(self, body: bytes) -> None:
        """Passes the body on, unless the request was refused."""
        if not self.closing:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Resets the state for the next request of the connection."""
        self._stop_read_timer()
        self.request_started, self.in_headers, self.in_body = False, True, False
        self.wire_bytes = self.header_bytes = 0
        if not self.closing:
            super().on_message_complete()

    def pause_writing(self) -> None:
        """Starts the time limit for reading the response."""
        super().pause_writing()
        self.write_timer = self.loop.call_later(
            self.limits.write_timeout_s, self._on_write_timeout
        )

    def resume_writing(self) -> None:
        """Stops the time limit for reading the response."""
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None
        super().resume_writing()

    def send_400_response(self, msg: str) -> None:
        """Refuses a request that the parser rejected."""
        self._refuse(400, "malformed", msg)

    def _start_header_timer(self) -> None:
        self.read_timer = self.loop.call_later(
            self.limits.header_timeout_s, self._on_header_timeout
        )

    def _stop_read_timer(self) -> None:
        if self.read_timer is not None:
            self.read_timer.cancel()
            self.read_timer = None

    def _on_header_timeout(self) -> None:
        self.read_timer = None
        if not self.request_started:
            self._abort("idle")  # there is no request to respond to
            return
        limit_s = self.limits.header_timeout_s
        text = f"the headers were not complete within {limit_s:g} s"
        self._refuse(408, "headers-too-slow", text)

    def _on_body_timeout(self) -> None:
        self.read_timer = None
        limit_s = self.limits.body_timeout_s
        text = f"the body was not complete within {limit_s:g} s"
        self._refuse(408, "body-too-slow", text)

    def _on_write_timeout(self) -> None:
        self._abort("reader-too-slow")

    def _refuse_headers(self) -> None:
        limit = self.limits.header_bytes
        text = f"request line and headers are longer than {limit} bytes"
        self._refuse(431, "headers-too-long", text)

    def _refuse(self, status: int, reason: str, text: str) -> None:
        """Sends an error response once, then discards further input.

        To the application, the caller has closed the connection.
        """
        if self.closing:
            return
        if not self._can_respond():
            self._abort(reason)
            return
        self._record_refusal(reason)
        self._stop_read_timer()
        if self.in_body:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self.transport.write(_error_response(status, reason, text))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_TIMEOUT_S, self.transport.abort)

    def _can_respond(self) -> bool:
        """Returns whether the caller would match a response to this request.

        While an earlier request of the connection is in progress, the caller
        would read the refusal as the response to that request.
        """
        cycle = self.cycle
        if self.in_body:
            return not cycle.response_started and not self.pipeline
        return cycle is None or cycle.response_complete

    def _abort(self, reason: str) -> None:
        self._record_refusal(reason)
        self.transport.abort()

    def _record_refusal(self, reason: str) -> None:
        self.closing = True
        self.on_refused(reason)
        _log.warning(
            "connection_refused",
            reason=reason,
            address=self.client[0] if self.client else "",
        )


def limited_protocol(
    limits: ConnectionLimits, on_refused: Callable[[str], None]
) -> type[LimitedProtocol]:
    """Returns a protocol class with the given limits.

    Args:
        limits: The limits.
        on_refused: Called with the reason of each refusal.
    """
    class_attributes = {
        "limits": limits,
        "on_refused": staticmethod(on_refused),
    }
    return type("LimitedProtocol", (LimitedProtocol,), class_attributes)


def _error_response(status: int, reason: str, text: str) -> bytes:
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
