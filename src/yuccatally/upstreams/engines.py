"""Connections to engines: one WebSocket each, one frame a step."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import os
import random
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import aiohttp
import msgspec
import structlog

from yuccatally.core.stages import backoff
from yuccatally.core.stages import link
from yuccatally.core.stages import messages
from yuccatally.core.stages import steptime

if TYPE_CHECKING:
    from yuccatally.core.objects import kinds

CONNECT_TIMEOUT_S = 1.0
TICK_S = 0.05
# An engine that stays away for long expires state by itself.
MAX_OWED_RELEASES = 1024
MAX_FRAME_BYTES = 16 * 1024 * 1024

_log = structlog.get_logger()
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.FromEngine)


@dataclasses.dataclass(frozen=True)
class Disconnection:
    """A connection that ended.

    Attributes:
        sequences: Requests that were routed over it.
        reason: Why it ended.
        progress_at: When the engine last showed progress on outstanding
            steps, monotonic seconds; 0 if there were none.
    """

    sequences: frozenset[str]
    reason: str
    progress_at: float


class EngineEventHandler(Protocol):
    """What an engine's connection reports to."""

    def on_sent(self, engine: str, step: messages.Step) -> None:
        """A frame was handed to the engine."""

    def on_matched(
        self, engine: str, matched: tuple[link.MatchedResult, ...]
    ) -> None:
        """Results of outstanding items arrived."""

    def on_connected(self, engine: str) -> None:
        """The engine can be used."""

    def on_unmatched(self, engine: str, count: int) -> None:
        """Results that belong to no outstanding step were dropped."""

    def on_disconnected(self, engine: str, lost: Disconnection) -> None:
        """The engine failed; its sequences have to move."""

    def on_load_report(
        self, engine: str, load: messages.LoadReport, measured_at: float
    ) -> None:
        """The engine reported its load of a time, monotonic seconds."""

    def on_cache_events(
        self, engine: str, events: messages.CacheEvents
    ) -> None:
        """The engine reported changes of its prefix cache."""


@dataclasses.dataclass(frozen=True)
class Opened:
    """An open WebSocket with the state of the link over it."""

    socket: aiohttp.ClientWebSocketResponse
    link: link.StageLink


class EngineConnection:
    """Keeps one engine connected and exchanges frames with it.

    A connection that failed is never used again. After a stall the next
    connection carries a probe step first: an engine that accepts connections
    but computes nothing must not get sequences of callers.

    Attributes:
        name: Name of the engine object.
        address: ``IP:PORT`` of the engine.
        opened: The current connection, None while there is none.
        sequences: Sequences of this instance routed over the engine.
        times: Step time of the engine over all connections.
        probe: Step that the engine has to answer before it is used.
        owed: Releases to send after the next connect.
    """

    def __init__(
        self,
        engine: kinds.Object,
        session: aiohttp.ClientSession,
        receiver: EngineEventHandler,
    ) -> None:
        self.name = engine.name
        self.address = engine.spec.address
        self.session = session
        self.receiver = receiver
        self.opened: Opened | None = None
        self.sequences: set[str] = set()
        self.times = steptime.StepTime()
        self.backoff = backoff.Backoff()
        self.probe: messages.StepItem | None = None
        self.owed: collections.deque[messages.Cancel] = collections.deque(
            maxlen=MAX_OWED_RELEASES
        )
        self.flush_scheduled = False
        self.outbox: asyncio.Queue[bytes] = asyncio.Queue()
        self.task = asyncio.create_task(self._run(), name=f"engine-{self.name}")

    @property
    def usable(self) -> bool:
        """Whether sequences may be routed over the engine."""
        return self.opened is not None and self.probe is None

    def submit(self, item: messages.StepItem) -> bool:
        """Queues an item; returns whether the engine can be used."""
        if self.opened is None or not self.usable:
            return False
        self.opened.link.submit(item)
        self._schedule_flush()
        return True

    def release(self, request: str, attempt: int) -> None:
        """Releases an attempt's KV state, now or after the next connect.

        An engine may keep state over a lost connection: an import belongs to
        no connection until its first step.
        """
        cancel = messages.Cancel(request, attempt)
        if self.opened is None:
            self.owed.append(cancel)
            return
        self.opened.link.withdraw(request, attempt)
        self._send(cancel)

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
        while True:
            opened_at = time.monotonic()
            reason = "closed"
            try:
                reason = await self._connect_and_serve()
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                reason = type(error).__name__
                opened_at = time.monotonic()
            except Exception:
                # A fault of this program must not end the reconnects.
                _log.exception("engine_connection_failed", engine=self.name)
                opened_at = time.monotonic()
            self.backoff.on_closed(time.monotonic() - opened_at)
            await asyncio.sleep(self.backoff.delay(random.random()))
            _log.debug("engine_reconnect", engine=self.name, reason=reason)

    async def _connect_and_serve(self) -> str:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            socket = await self.session.ws_connect(
                f"http://{self.address}/v1/steps",
                max_msg_size=MAX_FRAME_BYTES,
                autoping=True,
            )
        now = time.monotonic()
        stage_link = link.StageLink(self.name, now, self.times)
        self.outbox = asyncio.Queue()
        self.opened = Opened(socket, stage_link)
        while self.owed:
            self._send(self.owed.popleft())
        if self.probe is None:
            self.receiver.on_connected(self.name)
        else:
            # The probe of an earlier connection may have been executed.
            identity = f"probe-{os.urandom(6).hex()}"
            self.probe = msgspec.structs.replace(self.probe, request=identity)
            stage_link.submit(self.probe)
            self._flush()
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
            progress_at = stage_link.progress_at if stage_link.frames else 0.0
            self.opened = None
            _abort(socket)
            moved, self.sequences = self.sequences, set()
            self.receiver.on_disconnected(
                self.name, Disconnection(frozenset(moved), reason, progress_at)
            )
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
        if opened is not self.opened:
            return
        now = time.monotonic()
        match message:
            case messages.StepResult():
                dropped = opened.link.unmatched_count
                matched = opened.link.on_result(message, now)
                if opened.link.unmatched_count > dropped:
                    self.receiver.on_unmatched(
                        self.name, opened.link.unmatched_count - dropped
                    )
                self.receiver.on_matched(
                    self.name, self._without_probe(matched)
                )
                self._flush()
            case messages.Pong():
                opened.link.on_pong(message, now)
                measured_at = now - message.report.age_s
                self.receiver.on_load_report(
                    self.name, message.report, measured_at
                )
            case messages.CacheEvents():
                self.receiver.on_cache_events(self.name, message)

    def _without_probe(
        self, matched: tuple[link.MatchedResult, ...]
    ) -> tuple[link.MatchedResult, ...]:
        probe = self.probe
        if probe is None or all(m.item is not probe for m in matched):
            return matched
        self.probe = None
        self.release(probe.request, probe.attempt)
        self.receiver.on_connected(self.name)
        return tuple(m for m in matched if m.item is not probe)

    async def _write(self, opened: Opened) -> str:
        while True:
            payload = await self.outbox.get()
            await opened.socket.send_bytes(payload)

    async def _tick(self, opened: Opened) -> str:
        while True:
            match opened.link.on_tick(time.monotonic()):
                case link.Failure() as failure:
                    if failure.stalled:
                        self.probe = _probe_for(opened.link) or self.probe
                    return failure.reason
                case messages.Ping() as ping:
                    self._send(ping)
            await asyncio.sleep(TICK_S)


def _probe_for(stage_link: link.StageLink) -> messages.StepItem | None:
    """Returns a step of one value for the layers the engine last served."""
    for frame in stage_link.frames.values():
        for item in frame.items.values():
            return messages.StepItem(
                request="probe",
                attempt=1,
                position=0,
                first_layer=item.first_layer,
                last_layer=item.last_layer,
                model=item.model,
                version=item.version,
                values=[0],
                priority=item.priority,
                final=item.final,
            )
    return None


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
