"""Finds out whether the process of an upstream has ended."""

from __future__ import annotations

import asyncio

# A process that has ended is refused within a round trip. A machine that does
# not answer at all is found by the leader's checks.
CONNECT_TIMEOUT_S = 0.3


async def has_ended(address: str) -> bool | None:
    """Returns whether no process listens on an address; None if unknown.

    Args:
        address: ``IP:PORT``.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except OSError:
        return None
    writer.close()
    return False
