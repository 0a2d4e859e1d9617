"""Requests to upstreams whose answers are passed on as they arrive."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import aiohttp
import yarl

from yuccatally.upstreams import services

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from typing import Self

    from aiohttp import client_proto
    from aiohttp import connector

# Connections within a region take milliseconds; a dropped opening packet is
# sent again after a second or more.
CONNECT_TIMEOUT_S = 1.0
# Kept below the idle time after which upstreams close a connection, so that
# no request meets that close.
KEEP_ALIVE_S = 2.0
# Time in which a connection is closed after the last byte of a body that has
# no stated length.
CLOSE_WAIT_S = 0.5

RESPONSE_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, ValueError)


class NoResponseError(Exception):
    """The request was sent, and its answer failed or did not come.

    Attributes:
        timed_out: Whether nothing came for too long.
    """

    def __init__(self, reason: str, timed_out: bool = False) -> None:
        super().__init__(reason)
        self.timed_out = timed_out


@dataclasses.dataclass(frozen=True)
class UpstreamRequest:
    """A request to one upstream.

    Attributes:
        method: HTTP method.
        address: ``IP:PORT``.
        target: Path and query, encoded as received.
        headers: End-to-end headers in order.
        body: Request body.
        read_timeout_s: Longest time without a byte of the answer.
        new_connection: Whether the request needs a connection of its own,
            because it may not be repeated if a pooled connection turns out to
            be closed.
    """

    method: str
    address: str
    target: str
    headers: services.Headers
    body: bytes
    read_timeout_s: float
    new_connection: bool


class WatchedResponse(aiohttp.ClientResponse):
    """A response that knows how its connection ended.

    Attributes:
        protocol: Protocol of the connection.
        ended: Future of the end of the connection; None if it had ended
            before the headers were read.
    """

    protocol: client_proto.ResponseHandler | None = None
    ended: asyncio.Future[None] | None = None

    async def start(self, connection: connector.Connection) -> Self:
        """Reads the headers."""
        # Later the connection may be released or closed already.
        self.protocol = connection.protocol
        if self.protocol is not None:
            self.ended = self.protocol.closed
        return await super().start(connection)


class UpstreamResponse:
    """An answer whose headers have arrived.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers in order.
    """

    def __init__(self, response: WatchedResponse) -> None:
        self.response = response
        self.status = response.status
        self.headers = services.end_to_end_headers(list(response.raw_headers))
        length = response.headers.get("Content-Length")
        encoding = response.headers.get("Transfer-Encoding", "")
        self.unframed = length is None and "chunked" not in encoding.lower()

    def header(self, name: str) -> str:
        """Returns a header, empty if it is missing."""
        return self.response.headers.get(name, "")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            LostError: It ended before it was complete.
        """
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except TimeoutError as error:
            raise NoResponseError("silent", timed_out=True) from error
        except RESPONSE_ERRORS as error:
            raise NoResponseError(type(error).__name__) from error
        if self.unframed:
            await self._check_close()

    async def body(self, limit_bytes: int) -> bytes:
        """Returns the whole body.

        Raises:
            LostError: It ended early or is too long.
        """
        parts = bytearray()
        async for chunk in self.chunks():
            parts += chunk
            if len(parts) > limit_bytes:
                raise NoResponseError("too long")
        return bytes(parts)

    def close(self) -> None:
        """Ends the exchange; the connection is dropped unless it is done."""
        self.response.close()

    def discard_connection(self) -> None:
        """Closes the connection, on which another answer may follow."""
        self.response.close()
        if self.response.protocol is not None:
            self.response.protocol.close()

    async def _check_close(self) -> None:
        """Tells a reset from the end of a body that has no stated length.

        The library reports both as the end of the body.
        """
        ended = self.response.ended
        if ended is None:
            raise NoResponseError("end of the connection not seen")
        try:
            async with asyncio.timeout(CLOSE_WAIT_S):
                await asyncio.shield(ended)
        except TimeoutError as error:
            raise NoResponseError("end of the connection not seen") from error
        except RESPONSE_ERRORS as error:
            raise NoResponseError("reset before its end") from error


class UpstreamClient:
    """Sends requests, each at most once."""

    def __init__(self) -> None:
        self.pooled_session = services.session(KEEP_ALIVE_S, WatchedResponse)
        self.single_use_session = services.session(0.0, WatchedResponse)

    async def open(self, exchange: UpstreamRequest) -> UpstreamResponse:
        """Sends a request and waits for the headers of its answer.

        Raises:
            services.NotSentError: The connection could not be made.
            LostError: The request may have run.
        """
        progress = services.Progress()
        session = (
            self.single_use_session
            if exchange.new_connection
            else self.pooled_session
        )
        try:
            response = await session.request(
                exchange.method,
                yarl.URL(
                    f"http://{exchange.address}{exchange.target}", encoded=True
                ),
                headers=exchange.headers,
                data=exchange.body or None,
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    sock_connect=CONNECT_TIMEOUT_S,
                    sock_read=exchange.read_timeout_s,
                ),
                allow_redirects=False,
                trace_request_ctx=progress,
            )
        except (*RESPONSE_ERRORS, services.SecondConnectionError) as error:
            message = f"{exchange.address}: {type(error).__name__}"
            if not progress.connected:
                raise services.NotSentError(message) from error
            timed_out = isinstance(error, TimeoutError)
            raise NoResponseError(message, timed_out) from error
        return UpstreamResponse(response)

    async def close(self) -> None:
        """Closes connections."""
        with contextlib.suppress(aiohttp.ClientError):
            await self.pooled_session.close()
            await self.single_use_session.close()
