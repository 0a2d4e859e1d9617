"""HTTP server protocol that parses a request after the previous response."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from yuccatally.instance import read_ahead

if TYPE_CHECKING:
    import asyncio

# Bytes that are read while a request is in progress. Reading goes on up to it,
# as the end of a connection is only noticed by reading.
AHEAD_BYTES = 16 * 1024


class _ReadControl(flow_control.FlowControl):
    """Reads nothing while too much of what was read is not parsed yet."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.is_held = False

    def resume_reading(self) -> None:
        if not self.is_held:
            super().resume_reading()


class SequentialProtocol(httptools_impl.HttpToolsProtocol):
    """Parses one request at a time.

    The base class parses all that is received and queues the requests, so that
    a block of 64 KiB becomes thousands of them. Here the rest stays unparsed
    until the response is written, which waits for the client to read.

    Attributes:
        request_started: Whether the first bytes of a request were parsed.
        in_headers: Whether the headers are not complete yet.
        in_body: Whether the body is being received.
        closing: Whether all further input is discarded.
        ahead: Bytes that are not parsed yet.
        body_left: Bytes of a body of known length that are not parsed yet.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.request_started = False
        self.in_headers = True
        self.in_body = False
        self.closing = False
        self.ahead = read_ahead.ReadAhead()
        self.body_left = 0

    def connection_made(self, transport: Any) -> None:
        """Prepares to pause reading."""
        super().connection_made(transport)
        self.flow = _ReadControl(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops what was not parsed."""
        self.ahead.clear()
        super().connection_lost(exc)

    @property
    def has_request(self) -> bool:
        """Whether a complete request is in progress."""
        cycle = self.cycle
        return (
            cycle is not None
            and not self.in_body
            and not cycle.response_complete
        )

    @property
    def is_ending(self) -> bool:
        """Whether the connection takes no further request."""
        return self.closing or self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Parses data unless a request is in progress."""
        if not self.closing:
            self.ahead.append(data)
            self._parse()

    def parse_part(self, part: bytes) -> None:
        """Passes bytes to the parser, which end at most one request."""
        super().data_received(part)

    def input_changed(self) -> None:
        """Pauses or resumes reading, depending on what is not parsed yet."""
        if self.transport.is_closing():
            return
        if self.ahead.data and len(self.ahead) > AHEAD_BYTES:
            self.flow.is_held = True
            self.flow.pause_reading()
        elif self.flow.is_held:
            self.flow.is_held = False
            self.flow.resume_reading()

    def on_message_begin(self) -> None:
        """Records the start of a request."""
        self.request_started = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Starts the request, unless its target is invalid."""
        super().on_headers_complete()
        self.in_body = True
        for name, value in self.headers:
            if name == b"content-length":
                self.body_left = int(value)  # valid: the parser has checked it

    def on_message_complete(self) -> None:
        """Resets the state for the next request of the connection."""
        self.request_started, self.in_headers, self.in_body = False, True, False
        self.body_left = 0
        if not self.closing:
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Starts the next request if it was received."""
        super().on_response_complete()
        if self.ahead.data:
            self._parse()
        else:
            self.input_changed()

    def _parse(self) -> None:
        ahead = self.ahead
        while ahead.data and not self.has_request:
            if self.is_ending:
                ahead.clear()
                break
            part = ahead.take(self.body_left)
            if self.body_left:
                self.body_left -= len(part)
            self.parse_part(part)
        self.input_changed()
