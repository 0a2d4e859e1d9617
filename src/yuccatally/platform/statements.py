"""Reads what upstreams state about themselves in all their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import statements
from yuccatally.platform import headers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    import aiohttp
    from aiohttp import client_middlewares
    import multidict

    from yuccatally.core.forwarding import upstreams

LEAVING = "server-leaving"


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
            for statement in decode(response.headers):
                on_statement(upstream, statement)
        return response

    return read_statements


def decode(
    received: multidict.CIMultiDictProxy[str],
) -> Iterator[statements.Statement]:
    """Yields the statements in the headers of a response."""
    if received.get(LEAVING, "").strip() == "1":
        yield statements.Leaving()
