"""Requests to upstreams with streamed responses."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import aiohttp
import structlog
import yarl

from yuccatally.core import held_bytes
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator
    from typing import Self

    from aiohttp import client_middlewares
    from aiohttp import connector

    from yuccatally.store import response_protocol

# A connection within a region takes milliseconds. A lost SYN packet is repeated
# only after a second or more.
CONNECT_TIMEOUT_S = 1.0
# Below the idle timeout of upstreams, so that no request is sent on a
# connection that the upstream is closing.
KEEP_ALIVE_TIMEOUT_S = 2.0
# The only status below 200 that the client library returns. No request asks for
# another protocol.
SWITCHING_PROTOCOLS = 101

_log = structlog.get_logger()

RESPONSE_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, ValueError)


class NoResponseError(Exception):
    """The request was sent, but no complete response was received.

    Attributes:
        timed_out: Whether the reason is a read timeout.
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
        read_timeout_s: Longest time to the headers of the response, and between
            two parts of its body.
        new_connection: Whether the request needs a connection of its own,
            because it may not be repeated if a pooled connection turns out to
            be closed, or because an earlier response on one may have its id.
    """

    method: str
    address: str
    target: str
    headers: services.Headers
    body: bytes
    read_timeout_s: float
    new_connection: bool


class WatchedResponse(aiohttp.ClientResponse):
    """A response that keeps the protocol of its connection.

    Attributes:
        protocol: Protocol of the connection.
    """

    protocol: response_protocol.CheckedProtocol | None = None

    async def start(self, connection: connector.Connection) -> Self:
        """Reads the headers."""
        # Read first: later the connection may be released or closed.
        self.protocol = connection.protocol
        return await super().start(connection)


class UpstreamResponse:
    """A response whose headers have been received.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers in order.
    """

    def __init__(self, response: WatchedResponse) -> None:
        self.response = response
        self.status = response.status
        self.headers = services.end_to_end_headers(list(response.raw_headers))

    def header(self, name: str) -> str:
        """Returns the value of a header, empty if it is missing."""
        return self.response.headers.get(name, "")

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection marks the end of the body."""
        protocol = self.response.protocol
        return protocol is None or protocol.ends_with_connection

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            NoResponseError: The body is not complete.
        """
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except TimeoutError as error:
            raise NoResponseError("read timeout", timed_out=True) from error
        except RESPONSE_ERRORS as error:
            raise NoResponseError(type(error).__name__) from error

    async def body(self, max_body_bytes: int) -> bytes:
        """Returns the whole body.

        Raises:
            NoResponseError: The body is not complete or too long.
        """
        parts = bytearray()
        with self.hold() as holding:
            async for chunk in self.chunks():
                parts += chunk
                if len(parts) > max_body_bytes:
                    raise NoResponseError("body too long")
                holding.resize(len(parts))
        return bytes(parts)

    @contextlib.contextmanager
    def hold(self) -> Iterator[held_bytes.Holding]:
        """Counts the bytes that are held of the body.

        Raises:
            NoResponseError: The response was discarded.
        """
        try:
            with held_bytes.PROCESS.hold(self._discard) as holding:
                yield holding
        except held_bytes.DiscardedError as error:
            raise NoResponseError(str(error)) from error

    def _discard(self) -> None:
        _log.warning(
            "response_discarded",
            address=self.response.url.authority,
            held=held_bytes.PROCESS.total_bytes,
        )
        self.response.close()

    def close(self) -> None:
        """Ends the exchange; closes the connection unless it is complete."""
        self.response.close()

    def discard_connection(self) -> None:
        """Closes the connection, on which a further response may follow."""
        self.response.close()
        if self.response.protocol is not None:
            self.response.protocol.close()


class UpstreamClient:
    """Sends each request at most once."""

    def __init__(
        self,
        extra_middlewares: tuple[
            client_middlewares.ClientMiddlewareType, ...
        ] = (),
    ) -> None:
        """Creates sessions; see ``services.create_session``."""
        self.pooled_session = services.create_session(
            KEEP_ALIVE_TIMEOUT_S, WatchedResponse, extra_middlewares
        )
        self.single_use_session = services.create_session(
            0.0, WatchedResponse, extra_middlewares
        )

    async def open(self, request: UpstreamRequest) -> UpstreamResponse:
        """Sends a request and waits for the headers of the response.

        Raises:
            services.NotSentError: The connection could not be made.
            NoResponseError: No response was received; the request may have run.
        """
        # Bytes that are no headers may arrive without end, so the time to the
        # headers is limited as a whole.
        time_limit = asyncio.timeout(None)
        progress = services.CallProgress(
            on_connected=lambda: time_limit.reschedule(
                asyncio.get_running_loop().time() + request.read_timeout_s
            )
        )
        session = (
            self.single_use_session
            if request.new_connection
            else self.pooled_session
        )
        try:
            async with time_limit:
                response = await session.request(
                    request.method,
                    yarl.URL(
                        f"http://{request.address}{request.target}",
                        encoded=True,
                    ),
                    headers=request.headers,
                    data=request.body or None,
                    timeout=aiohttp.ClientTimeout(
                        total=None,
                        sock_connect=CONNECT_TIMEOUT_S,
                        sock_read=request.read_timeout_s,
                    ),
                    allow_redirects=False,
                    trace_request_ctx=progress,
                )
        except (*RESPONSE_ERRORS, services.SecondConnectionError) as error:
            message = f"{request.address}: {type(error).__name__}"
            if not progress.connected:
                raise services.NotSentError(message) from error
            timed_out = isinstance(error, TimeoutError)
            raise NoResponseError(message, timed_out) from error
        if response.status == SWITCHING_PROTOCOLS:
            response.close()
            raise NoResponseError(f"{request.address}: switching protocols")
        return UpstreamResponse(response)

    async def close(self) -> None:
        """Closes all connections."""
        with contextlib.suppress(aiohttp.ClientError):
            await self.pooled_session.close()
            await self.single_use_session.close()
