"""Export and import of KV state over the HTTP interface of engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import structlog

from yuccatally.store import bodies

if TYPE_CHECKING:
    from yuccatally.core.generation import actions

# A copy within an engine waits for at most one step. After this time, a prefill
# of the stage is faster than waiting.
COPY_TIMEOUT_S = 0.3
TRANSFER_TIMEOUT_S = 2.0
# A quarter of the memory of an instance. A longer state is computed again by a
# prefill, as after any other failed import.
MAX_STATE_BYTES = 64 * 1024 * 1024

_log = structlog.get_logger()


async def import_state(
    session: aiohttp.ClientSession,
    state_import: actions.ImportState,
    source_address: str,
    target_address: str,
) -> bool:
    """Imports the KV state of one attempt for another.

    Args:
        session: HTTP client.
        state_import: Request, attempts and position of the import.
        source_address: ``IP:PORT`` of the engine that holds the state.
        target_address: ``IP:PORT`` of the engine that imports it.

    Returns:
        Whether the target holds the state at exactly the requested position.
    """
    same_engine = source_address == target_address
    timeout_s = COPY_TIMEOUT_S if same_engine else TRANSFER_TIMEOUT_S
    try:
        async with asyncio.timeout(timeout_s):
            if same_engine:
                query = {"from": str(state_import.source_attempt)}
                state = b""
            else:
                query = {}
                state = await _export(session, state_import, source_address)
            query["position"] = str(state_import.position)
            path = f"/v1/kv/{state_import.request}/{state_import.attempt}"
            async with session.put(
                f"http://{target_address}{path}", params=query, data=state
            ) as response:
                return response.status == 204
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        _log.info(
            "state_import_failed",
            request=state_import.request,
            engine=state_import.target,
            error=type(error).__name__,
        )
        return False


async def _export(
    session: aiohttp.ClientSession,
    state_import: actions.ImportState,
    source_address: str,
) -> bytes:
    path = f"/v1/kv/{state_import.request}/{state_import.source_attempt}"
    async with session.get(f"http://{source_address}{path}") as response:
        response.raise_for_status()
        return await bodies.read(response, MAX_STATE_BYTES)
