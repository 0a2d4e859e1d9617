"""Calls of HTTP services."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import aiohttp
import yarl

from yuccatally.store import connectors
from yuccatally.store import middlewares

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import client_middlewares

CONNECT_TIMEOUT_S = 1.0
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that the client library adds unless the caller sent them.
_AUTOMATIC = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")

Headers = tuple[tuple[str, str], ...]


class NotSentError(Exception):
    """No byte of the call was sent to the service."""


class UncertainError(Exception):
    """The call may have run, but no complete answer was received."""


class TooLongError(Exception):
    """The call ran, but its answer exceeds the length limit.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int, limit: int) -> None:
        super().__init__(f"the answer is longer than {limit} bytes")
        self.status = status


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """A request to a service.

    Attributes:
        method: HTTP method.
        target: Path and query below the service, encoded as received.
        headers: End-to-end headers in order.
        body: Request body.
        max_answer_bytes: Longest accepted body of the answer.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    max_answer_bytes: int


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """The answer of a service.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers in order.
        body: Body as received, without decoding.
        length: Content-Length of a body that is not sent, as in an answer to
            HEAD; empty if there was none.
    """

    status: int
    headers: Headers
    body: bytes
    length: str = ""


class SecondConnectionError(Exception):
    """The client library tried to repeat a call."""


@dataclasses.dataclass
class CallProgress:
    """Progress of a call.

    Attributes:
        connections: Number of connections started for the call.
        connected: Whether the call got a connection, so that bytes may have
            been sent.
        on_connected: Called when the call gets a connection.
    """

    connections: int = 0
    connected: bool = False
    on_connected: Callable[[], None] = lambda: None


def create_session(
    keep_alive_s: float = 0.0,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
    extra_middlewares: tuple[client_middlewares.ClientMiddlewareType, ...] = (),
) -> aiohttp.ClientSession:
    """Creates a session for calls of services.

    The session decodes no bodies and stores no cookies.

    Args:
        keep_alive_s: Time for which an idle connection is kept for reuse. With
            0, each call has its own connection, so that a late answer cannot
            be read as the answer to another call.
        response_class: Class of the responses.
        extra_middlewares: Client middlewares that see each call.
    """
    trace_config = aiohttp.TraceConfig()
    trace_config.on_connection_create_start.append(_on_connecting)
    trace_config.on_connection_create_end.append(_on_connected)
    trace_config.on_connection_reuseconn.append(_on_connected)
    connector = connectors.CheckedConnector(limit=0, force_close=True)
    if keep_alive_s:
        connector = connectors.UnusedDataConnector(
            limit=0, keepalive_timeout=keep_alive_s
        )
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(*extra_middlewares, middlewares.send_at_most_once),
        response_class=response_class,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_AUTOMATIC,
        trace_configs=[trace_config],
    )


async def call(
    client: aiohttp.ClientSession,
    address: str,
    request: ServiceRequest,
    timeout_s: float,
) -> ServiceResponse:
    """Makes one call.

    Args:
        client: Session from ``create_session``.
        address: ``IP:PORT``.
        request: The request.
        timeout_s: Longest wait for the complete answer, in seconds.

    Raises:
        NotSentError: The connection could not be made.
        UncertainError: The connection was made, but no complete answer was
            received in time.
        TooLongError: The answer exceeds the limit.
    """
    progress = CallProgress()
    try:
        async with client.request(
            request.method,
            yarl.URL(f"http://{address}{request.target}", encoded=True),
            headers=request.headers,
            data=request.body or None,
            timeout=aiohttp.ClientTimeout(
                total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
            ),
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response:
            return await _read_answer(response, request)
    except (
        TimeoutError,
        aiohttp.ClientError,
        OSError,
        SecondConnectionError,
    ) as error:
        message = f"{address}: {type(error).__name__}"
        if progress.connected:
            raise UncertainError(message) from error
        raise NotSentError(message) from error


def end_to_end_headers(headers: list[tuple[bytes, bytes]]) -> Headers:
    """Returns the end-to-end headers, without hop-by-hop headers."""
    decoded = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in headers]
    connection_options = {
        token.strip().lower()
        for name, value in decoded
        if name.lower() == "connection"
        for token in value.split(",")
    }
    excluded = HOP_BY_HOP | connection_options
    return tuple((n, v) for n, v in decoded if n.lower() not in excluded)


async def _read_answer(
    response: aiohttp.ClientResponse, request: ServiceRequest
) -> ServiceResponse:
    parts: list[bytes] = []
    length_bytes = 0
    async for part in response.content.iter_any():
        length_bytes += len(part)
        if length_bytes > request.max_answer_bytes:
            raise TooLongError(response.status, request.max_answer_bytes)
        parts.append(part)
    bodiless = request.method == "HEAD" or response.status == 304
    return ServiceResponse(
        response.status,
        end_to_end_headers(list(response.raw_headers)),
        b"".join(parts),
        response.headers.get("Content-Length", "") if bodiless else "",
    )


async def _on_connecting(
    client: aiohttp.ClientSession, context: object, parameters: object
) -> None:
    # aiohttp repeats a request with an idempotent method when its connection
    # is closed, but PUT and DELETE of a service may have to run at most once.
    progress = context.trace_request_ctx
    progress.connections += 1
    if progress.connections > 1:
        raise SecondConnectionError


async def _on_connected(
    client: aiohttp.ClientSession, context: object, parameters: object
) -> None:
    progress = context.trace_request_ctx
    progress.connected = True
    progress.on_connected()
