"""Connections to engines: one WebSocket each, one frame a step."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import aiohttp
import msgspec
import structlog

from yuccatally.core.stages import link
from yuccatally.core.stages import messages

if TYPE_CHECKING:
    from yuccatally.core.objects import kinds

CONNECT_TIMEOUT_S = 1.0
RECONNECT_FIRST_S = 0.1
RECONNECT_LAST_S = 2.0
TICK_S = 0.05
MAX_FRAME_BYTES = 16 * 1024 * 1024

_log = structlog.get_logger()
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.FromEngine)


class Receiver(Protocol):
    """What an engine's connection reports to."""

    def on_sent(self, engine: str, step: messages.Step) -> None:
        """A frame was handed to the engine."""

    def on_matched(
        self, engine: str, matched: tuple[link.Matched, ...]
    ) -> None:
        """Results of outstanding items arrived."""

    def on_connected(self, engine: str) -> None:
        """The engine can be used."""

    def on_disconnected(self, engine: str, reason: str) -> None:
        """The engine failed; its sequences have to move."""


@dataclasses.dataclass(frozen=True)
class Opened:
    """An open WebSocket with the state of the link over it."""

    socket: aiohttp.ClientWebSocketResponse
    link: link.StageLink


class EngineConnection:
    """Keeps one engine connected and exchanges frames with it.

    Attributes:
        name: Name of the engine object.
        address: ``IP:PORT`` of the engine.
        opened: The current connection, None while there is none.
        sequences: Sequences of this instance routed over the engine.
    """

    def __init__(
        self,
        declared: kinds.Object,
        session: aiohttp.ClientSession,
        receiver: Receiver,
    ) -> None:
        self.name = declared.name
        self.address = declared.spec.address
        self.session = session
        self.receiver = receiver
        self.opened: Opened | None = None
        self.sequences: set[str] = set()
        self.flush_scheduled = False
        self.outbox: asyncio.Queue[bytes] = asyncio.Queue()
        self.task = asyncio.create_task(self._run(), name=f"engine-{self.name}")

    def submit(self, item: messages.StepItem) -> bool:
        """Queues an item; returns whether the engine is connected."""
        if self.opened is None:
            return False
        self.opened.link.submit(item)
        self._schedule_flush()
        return True

    def release(self, request: str, attempt: int) -> None:
        """Releases an attempt's KV state, if the engine is connected."""
        if self.opened is not None:
            self.opened.link.withdraw(request)
            self._send(messages.Cancel(request, attempt))

    async def close(self) -> None:
        """Closes the connection."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def _schedule_flush(self) -> None:
        # Items submitted during one turn of the loop share a frame.
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        if self.opened is None:
            return
        while (
            step := self.opened.link.next_frame(time.monotonic())
        ) is not None:
            self._send(step)
            self.receiver.on_sent(self.name, step)

    def _send(self, message: messages.ToEngine) -> None:
        self.outbox.put_nowait(_encoder.encode(message))

    async def _run(self) -> None:
        delay_s = RECONNECT_FIRST_S
        while True:
            reason = "closed"
            try:
                reason = await self._connect_and_serve()
                delay_s = RECONNECT_FIRST_S
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                reason = type(error).__name__
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, RECONNECT_LAST_S)
            _log.debug("engine_reconnect", engine=self.name, reason=reason)

    async def _connect_and_serve(self) -> str:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            socket = await self.session.ws_connect(
                f"http://{self.address}/v1/steps",
                max_msg_size=MAX_FRAME_BYTES,
                autoping=True,
            )
        stage_link = link.StageLink(self.name, time.monotonic())
        self.outbox = asyncio.Queue()
        self.opened = Opened(socket, stage_link)
        self.receiver.on_connected(self.name)
        tasks = [
            asyncio.create_task(part)
            for part in (
                self._read(self.opened),
                self._write(self.opened),
                self._tick(self.opened),
            )
        ]
        reason = "cancelled"
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            reason = _reason_of(done)
        finally:
            for task in tasks:
                task.cancel()
            self.opened = None
            _abort(socket)
            self.receiver.on_disconnected(self.name, reason)
        return reason

    async def _read(self, opened: Opened) -> str:
        async for message in opened.socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                return f"unexpected {message.type.name} frame"
            try:
                decoded = _decoder.decode(message.data)
            except msgspec.DecodeError as error:
                return f"malformed frame: {error}"
            self._on_message(opened, decoded)
        return "connection closed"

    def _on_message(self, opened: Opened, message: messages.FromEngine) -> None:
        now = time.monotonic()
        match message:
            case messages.StepResult():
                matched = opened.link.on_result(message, now)
                self.receiver.on_matched(self.name, matched)
                self._flush()
            case messages.Pong():
                opened.link.on_pong(message, now)
            case messages.CacheEvents():
                pass

    async def _write(self, opened: Opened) -> str:
        while True:
            payload = await self.outbox.get()
            await opened.socket.send_bytes(payload)

    async def _tick(self, opened: Opened) -> str:
        while True:
            match opened.link.on_tick(time.monotonic()):
                case link.Failure(reason=reason):
                    return reason
                case messages.Ping() as ping:
                    self._send(ping)
            await asyncio.sleep(TICK_S)


def _abort(socket: aiohttp.ClientWebSocketResponse) -> None:
    """Drops a connection without waiting for the other end."""
    transport: Any = socket.get_extra_info("transport")
    response: Any = getattr(socket, "_response", None)
    if transport is None and response is not None and response.connection:
        transport = response.connection.transport
    if transport is not None:
        transport.abort()


def _reason_of(done: set[asyncio.Task[str]]) -> str:
    task = next(iter(done))
    error = task.exception()
    return type(error).__name__ if error is not None else task.result()
