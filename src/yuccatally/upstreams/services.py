"""Calls of plain HTTP services."""

from __future__ import annotations

import dataclasses

import aiohttp

CONNECT_TIMEOUT_S = 1.0
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class NotSentError(Exception):
    """No byte of the call was handed to the service."""


class UncertainError(Exception):
    """The call may have run although no answer came."""


@dataclasses.dataclass(frozen=True)
class Call:
    """A call to pass on.

    Attributes:
        method: HTTP method.
        path: Path and query below the service.
        headers: End-to-end headers.
        body: Request body.
        timeout_s: Longest wait for the answer, in seconds.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class Answer:
    """What the service answered."""

    status: int
    content_type: str
    body: bytes


async def call(
    session: aiohttp.ClientSession, address: str, request: Call
) -> Answer:
    """Makes one call on a connection of its own.

    A new connection for each call keeps a reply that arrives late from being
    read as the answer to another call, and makes a refused connection proof
    that nothing was sent.

    Raises:
        NotSentError: The connection could not be made.
        UncertainError: The connection failed or timed out afterwards.
    """
    timeout = aiohttp.ClientTimeout(
        total=request.timeout_s, sock_connect=CONNECT_TIMEOUT_S
    )
    try:
        async with session.request(
            request.method,
            f"http://{address}{request.path}",
            headers={**request.headers, "Connection": "close"},
            data=request.body,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            content_type = response.headers.get("Content-Type", "")
            return Answer(response.status, content_type, body)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise NotSentError(f"{address}: {type(error).__name__}") from error
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise UncertainError(f"{address}: {type(error).__name__}") from error
