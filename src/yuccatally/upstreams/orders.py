"""Reads the layers that engines hold and sends orders to engines."""

from __future__ import annotations

import dataclasses
from typing import Any

import aiohttp
import msgspec

from yuccatally.core.control import states
from yuccatally.store import bodies

REQUEST_TIMEOUT_S = 1.0
# A description has some hundred bytes for each range that an engine holds.
MAX_RESPONSE_BYTES = 256 * 1024


class OrderError(Exception):
    """An order was refused, or its result is unknown.

    Attributes:
        stale_fence: Whether the engine has received a newer fencing number.
    """

    def __init__(self, message: str, stale_fence: bool = False) -> None:
        super().__init__(message)
        self.stale_fence = stale_fence


@dataclasses.dataclass(frozen=True)
class _Holding:
    model: str
    version: str
    first_layer: int
    last_layer: int
    ready: bool
    sequences: int = 0


@dataclasses.dataclass(frozen=True)
class _Description:
    capacity_layers: int
    holdings: tuple[_Holding, ...]


async def fetch_engine_state(
    session: aiohttp.ClientSession, name: str, address: str
) -> states.EngineState | None:
    """Returns the state of an engine; None without a valid response."""
    try:
        async with session.get(
            f"http://{address}/v1/engine",
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        ) as response:
            if response.status != 200:
                return None
            body = await bodies.read(response, MAX_RESPONSE_BYTES)
        description = msgspec.json.decode(body, type=_Description)
    except (TimeoutError, aiohttp.ClientError, OSError, msgspec.DecodeError):
        return None
    holdings = tuple(
        states.Holding(
            states.Range(h.model, h.version, h.first_layer, h.last_layer),
            h.ready,
            h.sequences,
        )
        for h in description.holdings
    )
    return states.EngineState(name, description.capacity_layers, holdings)


async def send_order(
    session: aiohttp.ClientSession,
    address: str,
    order: states.Load | states.Unload,
    fence: int,
) -> None:
    """Sends an order with a fencing number.

    Orders are idempotent: if the result of one is unknown, the next report of
    the engine shows whether it must be sent again.

    Raises:
        OrderError: The order was refused, or no response was received.
    """
    action = "load" if isinstance(order, states.Load) else "unload"
    body: dict[str, Any] = {
        "fence": fence,
        "action": action,
        "model": order.range.model,
        "version": order.range.version,
        "first_layer": order.range.first_layer,
        "last_layer": order.range.last_layer,
    }
    try:
        async with session.post(
            f"http://{address}/v1/orders",
            data=msgspec.json.encode(body),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        ) as response:
            if response.status >= 300:
                answer = await bodies.read(response, MAX_RESPONSE_BYTES)
                text = answer.decode(errors="replace")
                message = f"{action} on {order.engine}: {text}"
                raise OrderError(message, stale_fence=response.status == 409)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        message = f"{action} on {order.engine}: {type(error).__name__}"
        raise OrderError(message) from error
