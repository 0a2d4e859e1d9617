"""Reads what upstreams state about themselves in all their responses."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

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
# Requests a second that the upstream accepts from all instances together.
LIMIT = "server-limit"
# With this status a retry time is meant for the instance, not for its client.
BUSY_STATUS = 503
# Headers of faulty upstreams may be long.
MAX_LOGGED_CHARS = 40

_log = structlog.get_logger()


def create_middleware(
    find_upstream: Callable[[str], upstreams.Upstream | None],
    on_statement: Callable[[upstreams.Upstream, statements.Statement], None],
    requests_only: bool,
) -> client_middlewares.ClientMiddlewareType:
    """Returns a client middleware that reads the statements of upstreams.

    Every response of an upstream passes it: to requests, health checks, report
    requests and orders.

    Args:
        find_upstream: Returns the upstream with a name.
        on_statement: Called with each statement and the upstream that was
            addressed.
        requests_only: Whether all calls are requests of clients. Only the
            responses to these show that an upstream has no limit.
    """

    async def read_statements(
        request: aiohttp.ClientRequest,
        handler: client_middlewares.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        # Looked up before the response, when a new process may use the name.
        upstream = find_upstream(
            request.headers.get(headers.EXPECTED_UPSTREAM, "")
        )
        sent_at = time.monotonic()
        response = await handler(request)
        if upstream is not None:
            for statement in decode(response.status, response.headers):
                on_statement(upstream, statement)
            if requests_only and LIMIT not in response.headers:
                on_statement(upstream, statements.NoLimit(sent_at))
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
    duration_s = _parse_number(received, RETRY_AFTER)
    if status == BUSY_STATUS and duration_s:
        yield statements.Pause(duration_s)
    limit = _parse_number(received, LIMIT)
    if limit is not None:
        yield statements.Limit(limit)


def _parse_number(received: Mapping[str, str], name: str) -> float | None:
    """Returns a finite number of at least 0; None for anything else.

    >>> _parse_number({LIMIT: "1.5"}, LIMIT), _parse_number({}, LIMIT)
    (1.5, None)
    """
    text = received.get(name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if 0 <= number < float("inf"):
        return number
    _log.info("statement_ignored", header=name, value=text[:MAX_LOGGED_CHARS])
    return None
