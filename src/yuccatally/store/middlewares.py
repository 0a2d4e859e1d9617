"""Client middlewares for aiohttp."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import client_middlewares


class ConnectionLostError(aiohttp.ClientConnectionError):
    """The connection closed after the request was sent wholly or partly."""


async def send_at_most_once(
    request: aiohttp.ClientRequest,
    handler: client_middlewares.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Prevents aiohttp from repeating a request on its own.

    aiohttp repeats GET, HEAD, PUT and DELETE if the connection closes before
    the response. The first PUT or DELETE may have taken effect: a service would
    execute it twice, and a conditional write would conflict with itself.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(type(error).__name__) from error
