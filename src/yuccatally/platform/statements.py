"""Reads what upstreams state about themselves in all their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import statements
from yuccatally.platform import headers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    import aiohttp
    from aiohttp import client_middlewares

    from yuccatally.core.forwarding import upstreams

LEAVING = "server-leaving"
RETRY_AFTER = "retry-after"
# With this status a retry time is meant for the instance, not for its client.
BUSY_STATUS = 503


def create_middleware(
    find_upstream: Callable[[str], upstreams.Upstream | None],
    on_statement: Callable[[upstreams.Upstream, statements.Statement], None],
) -> client_middlewares.ClientMiddlewareType:
    """Returns a client middleware that reads the statements of upstreams.

    Every response of an upstream passes it: to requests, health checks, report
    requests and orders.

    Args:
        find_upstream: Returns the upstream with a name.
        on_statement: Called with each statement and the upstream that was
            addressed.
    """

    async def read_statements(
        request: aiohttp.ClientRequest,
        handler: client_middlewares.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        # Looked up before the response, when a new process may use the name.
        upstream = find_upstream(
            request.headers.get(headers.EXPECTED_UPSTREAM, "")
        )
        response = await handler(request)
        if upstream is not None:
            for statement in decode(response.status, response.headers):
                on_statement(upstream, statement)
        return response

    return read_statements


def decode(
    status: int, received: Mapping[str, str]
) -> Iterator[statements.Statement]:
    """Yields the statements in a response.

    Args:
        status: HTTP status.
        received: Headers, found by their names in any case.
    """
    if received.get(LEAVING, "").strip() == "1":
        yield statements.Leaving()
    duration_s = _parse_seconds(received.get(RETRY_AFTER, ""))
    if status == BUSY_STATUS and duration_s > 0:
        yield statements.Pause(duration_s)


def _parse_seconds(text: str) -> float:
    """Returns a finite number of seconds; 0 for anything else.

    >>> [_parse_seconds(t) for t in ("1.5", "-1", "inf", "soon")]
    [1.5, 0.0, 0.0, 0.0]
    """
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0 < seconds < float("inf") else 0.0
