"""Protocol of connections to servers, for aiohttp."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import client_proto
from aiohttp import hdrs
from aiohttp import http_exceptions

if TYPE_CHECKING:
    from aiohttp import http_parser
    from aiohttp import streams


# Heads of sound responses have some hundred bytes. The limits of aiohttp for
# their lines add up to a megabyte.
MAX_HEAD_BYTES = 64 * 1024


class CheckedProtocol(client_proto.ResponseHandler):
    """Fails heads that do not end, and bodies that are cut off or no body.

    aiohttp reports the reset of a connection as the end of a body that has
    neither a length nor chunks. After an invalid chunk it closes the connection
    and leaves the reader waiting until its timeout.

    Attributes:
        ends_with_connection: Whether only the end of the connection marks the
            end of the body of the latest response.
        idle: Whether the connection is kept and no request is open on it.
        head_bytes: Bytes received since the last complete head or body.
    """

    ends_with_connection = False
    idle = False
    head_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Called with bytes of the connection."""
        if data and self.idle:
            # They belong to no request. A parser would hold a part of a
            # response that nothing shows.
            self.force_close()
            return
        has_body = self._payload is not None and not self._payload.is_eof()
        if not has_body and not self._upgraded:
            self.head_bytes += len(data)
        super().data_received(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.head_bytes = 0
            if self.transport is not None:
                self.transport.close()
            self.set_exception(
                http_exceptions.HttpProcessingError(message="head too long")
            )

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Called with each response whose headers are complete."""
        message = data[0]
        self.head_bytes = 0
        self.ends_with_connection = (
            not message.chunked and hdrs.CONTENT_LENGTH not in message.headers
        )
        super().feed_data(data, size)

    def set_exception(
        self, exc: BaseException, *exc_cause: BaseException
    ) -> None:
        """Called with each error of the connection or of its parser."""
        super().set_exception(exc, *exc_cause)
        if isinstance(exc, http_exceptions.HttpProcessingError):
            self._fail_body("invalid bytes within the body")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Called at the end of the connection, with an error after a reset."""
        if exc is not None and self.ends_with_connection:
            self._fail_body("connection reset within the body")
        super().connection_lost(exc)

    def _fail_body(self, reason: str) -> None:
        body = self._payload
        if body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(reason))
