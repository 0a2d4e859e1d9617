"""Keeps aiohttp from sending a request again on its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import client_middlewares


class ConnectionLostError(aiohttp.ClientConnectionError):
    """The connection ended after the request was sent, in whole or part."""


async def send_at_most_once(
    request: aiohttp.ClientRequest,
    handler: client_middlewares.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Client middleware that sends every request at most once.

    aiohttp sends GET, HEAD, PUT and DELETE again when the connection ends
    before an answer. The first PUT or DELETE may have taken effect: a service
    would run it twice, and a conditional write would report a conflict with
    itself.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(type(error).__name__) from error
