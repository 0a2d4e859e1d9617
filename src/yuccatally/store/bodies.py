"""Bodies of responses, with a limit on their length."""

from __future__ import annotations

import aiohttp

from yuccatally.core import held_bytes


class BodyTooLongError(aiohttp.ClientPayloadError):
    """A body exceeds its limit; the connection has been closed."""


async def read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the body of a response.

    A faulty server may send bytes without end. A timeout alone does not bound
    the memory that they occupy.

    Raises:
        BodyTooLongError: The body is longer than ``max_bytes``.
    """
    body = bytearray()
    with held_bytes.PROCESS.hold() as holding:
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > max_bytes:
                response.close()
                raise BodyTooLongError(f"body is longer than {max_bytes} bytes")
            holding.resize(len(body))
    return bytes(body)
