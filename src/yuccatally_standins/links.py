"""Declared delay and transfer time of what an engine sends."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec

from yuccatally.core.stages import messages

if TYPE_CHECKING:
    from aiohttp import web

_encoder = msgspec.msgpack.Encoder()


class OutboundLink:
    """Sends messages after the time that a declared link would need.

    Transfers of activations follow each other; delays overlap.
    """

    def __init__(self, delay_s: float, value_s: float) -> None:
        self.delay_s = delay_s
        self.value_s = value_s
        self.free_at = 0.0
        self.under_way: set[asyncio.Task[None]] = set()

    async def send(
        self,
        socket: web.WebSocketResponse,
        message: messages.FromEngine,
        factor: float = 1.0,
    ) -> None:
        """Sends a message, at once if the link has no declared times."""
        payload = _encoder.encode(message)
        if not self.delay_s and not self.value_s:
            await socket.send_bytes(payload)
            return
        now = time.monotonic()
        arrives = now
        if isinstance(message, messages.StepResult):
            values = sum(len(o.values) for o in message.outputs)
            busy_s = values * self.value_s * factor
            self.free_at = max(self.free_at, now) + busy_s
            arrives = self.free_at
        arrives += self.delay_s * factor
        task = asyncio.create_task(_send_at(arrives, socket, payload))
        self.under_way.add(task)
        task.add_done_callback(self.under_way.discard)


async def _send_at(
    when: float, socket: web.WebSocketResponse, payload: bytes
) -> None:
    await asyncio.sleep(max(0.0, when - time.monotonic()))
    if socket.closed:
        return
    try:
        await socket.send_bytes(payload)
    except (ConnectionError, RuntimeError):
        return
