"""Simulated link from an engine to the instances."""

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
    """Delays messages by the delay and transfer time of a link.

    Activations are transferred one after the other; delays overlap.

    Attributes:
        delay_s: Delay of each message, in seconds.
        value_s: Time to transfer one activation, in seconds.
        free_at: Monotonic time at which the last transfer ends, in seconds.
        pending: Messages that are delayed.
    """

    def __init__(self, delay_s: float, value_s: float) -> None:
        self.delay_s = delay_s
        self.value_s = value_s
        self.free_at = 0.0
        self.pending: set[asyncio.Task[None]] = set()

    async def send(
        self,
        socket: web.WebSocketResponse,
        message: messages.FromEngine,
        factor: float = 1.0,
    ) -> None:
        """Sends a message, without a delay if the link has no times.

        Args:
            socket: Connection to send on.
            message: Message to send.
            factor: Factor for the delay and the transfer time.
        """
        payload = _encoder.encode(message)
        if not self.delay_s and not self.value_s:
            await socket.send_bytes(payload)
            return
        now = time.monotonic()
        arrives_at = now
        if isinstance(message, messages.StepResult):
            values = sum(len(o.values) for o in message.outputs)
            transfer_s = values * self.value_s * factor
            self.free_at = max(self.free_at, now) + transfer_s
            arrives_at = self.free_at
        arrives_at += self.delay_s * factor
        task = asyncio.create_task(_send_at(arrives_at, socket, payload))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)


async def _send_at(
    due_at: float, socket: web.WebSocketResponse, payload: bytes
) -> None:
    await asyncio.sleep(max(0.0, due_at - time.monotonic()))
    if socket.closed:
        return
    try:
        await socket.send_bytes(payload)
    except (ConnectionError, RuntimeError):
        return
