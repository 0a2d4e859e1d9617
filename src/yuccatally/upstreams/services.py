"""Calls of plain HTTP services."""

from __future__ import annotations

import dataclasses

import aiohttp
import yarl

from yuccatally.store import middlewares

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
    """No byte of the call was handed to the service."""


class UncertainError(Exception):
    """The call may have run although no answer came."""


class TooLongError(Exception):
    """The call ran, but its answer exceeds the limit.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int, limit: int) -> None:
        super().__init__(f"the answer is longer than {limit} bytes")
        self.status = status


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """A call to pass on.

    Attributes:
        method: HTTP method.
        target: Path and query below the service, encoded as received.
        headers: End-to-end headers in order.
        body: Request body.
        limit_bytes: Longest answer that is accepted.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    limit_bytes: int


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """What the service answered.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers in order.
        body: Body as received, without decoding.
        length: Length announced for a body that is not sent, as in an answer
            to HEAD; empty if none was announced.
    """

    status: int
    headers: Headers
    body: bytes
    length: str = ""


class SecondConnectionError(Exception):
    """The client library tried to send a call again on its own."""


@dataclasses.dataclass
class Progress:
    """How far a call has got.

    Attributes:
        connections: Connections that were started.
        connected: Whether the call has a connection, so that bytes may have
            been sent.
    """

    connections: int = 0
    connected: bool = False


def session(
    keep_alive_s: float = 0.0,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
) -> aiohttp.ClientSession:
    """Returns a session for calls of services.

    Nothing is decoded or remembered between calls.

    Args:
        keep_alive_s: Time for which a connection is kept for other calls. With
            0 every call has a connection of its own, so a reply that arrives
            late cannot be read as the answer to another call.
        response_class: Class of the responses.
    """
    progress = aiohttp.TraceConfig()
    progress.on_connection_create_start.append(_on_connecting)
    progress.on_connection_create_end.append(_on_connected)
    progress.on_connection_reuseconn.append(_on_connected)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    if keep_alive_s:
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=keep_alive_s
        )
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(middlewares.send_at_most_once,),
        response_class=response_class,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_AUTOMATIC,
        trace_configs=[progress],
    )


async def call(
    client: aiohttp.ClientSession,
    address: str,
    request: ServiceRequest,
    timeout_s: float,
) -> ServiceResponse:
    """Makes one call.

    Args:
        client: Session made by ``session``.
        address: ``IP:PORT``.
        request: What to call.
        timeout_s: Longest wait for the whole answer, in seconds.

    Raises:
        NotSentError: The connection could not be made.
        UncertainError: The connection failed or timed out afterwards.
        TooLongError: The answer exceeds the limit.
    """
    progress = Progress()
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
            return await _answer(response, request)
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
    """Returns the headers that are meant for the other end."""
    decoded = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in headers]
    named = {
        token.strip().lower()
        for name, value in decoded
        if name.lower() == "connection"
        for token in value.split(",")
    }
    excluded = HOP_BY_HOP | named
    return tuple((n, v) for n, v in decoded if n.lower() not in excluded)


async def _answer(
    response: aiohttp.ClientResponse, request: ServiceRequest
) -> ServiceResponse:
    parts: list[bytes] = []
    length = 0
    async for part in response.content.iter_any():
        length += len(part)
        if length > request.limit_bytes:
            raise TooLongError(response.status, request.limit_bytes)
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
    # aiohttp sends a call with an idempotent method again when the connection
    # drops, but PUT and DELETE of a service may have to run at most once.
    progress = context.trace_request_ctx
    progress.connections += 1
    if progress.connections > 1:
        raise SecondConnectionError


async def _on_connected(
    client: aiohttp.ClientSession, context: object, parameters: object
) -> None:
    context.trace_request_ctx.connected = True
