"""Export and import of KV state over the engines' HTTP interface."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import structlog

if TYPE_CHECKING:
    from yuccatally.core.generation import actions

# A copy inside an engine waits for at most one step. Beyond this time a
# prefill of the stage is quicker.
COPY_TIMEOUT_S = 0.3
TRANSFER_TIMEOUT_S = 2.0

_log = structlog.get_logger()


async def import_state(
    session: aiohttp.ClientSession,
    wanted: actions.ImportState,
    source_address: str,
    target_address: str,
) -> bool:
    """Continues the KV state of one attempt under another.

    Args:
        session: HTTP client.
        wanted: What to import.
        source_address: ``IP:PORT`` of the engine that holds the state.
        target_address: ``IP:PORT`` of the engine that continues it.

    Returns:
        Whether the target holds the state at exactly the wanted position.
    """
    same = source_address == target_address
    limit_s = COPY_TIMEOUT_S if same else TRANSFER_TIMEOUT_S
    try:
        async with asyncio.timeout(limit_s):
            if same:
                query = {"from": str(wanted.source_attempt)}
                state = b""
            else:
                query = {}
                state = await _export(session, wanted, source_address)
            query["position"] = str(wanted.position)
            path = f"/v1/kv/{wanted.request}/{wanted.attempt}"
            async with session.put(
                f"http://{target_address}{path}", params=query, data=state
            ) as answer:
                return answer.status == 204
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        _log.info(
            "state_import_failed",
            request=wanted.request,
            engine=wanted.target,
            error=type(error).__name__,
        )
        return False


async def _export(
    session: aiohttp.ClientSession,
    wanted: actions.ImportState,
    source_address: str,
) -> bytes:
    path = f"/v1/kv/{wanted.request}/{wanted.source_attempt}"
    async with session.get(f"http://{source_address}{path}") as answer:
        answer.raise_for_status()
        return await answer.read()
