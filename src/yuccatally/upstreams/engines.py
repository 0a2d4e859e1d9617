"""Connections to engines: one WebSocket per engine, one frame per step."""

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
TICK_INTERVAL_S = 0.05
# The oldest releases are dropped beyond this number: an engine that is
# disconnected for long expires KV state by itself.
MAX_PENDING_RELEASE_COUNT = 1024
MAX_FRAME_BYTES = 16 * 1024 * 1024

_log = structlog.get_logger()
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.FromEngine)


@dataclasses.dataclass(frozen=True)
class Disconnection:
    """A connection that ended.

    Attributes:
        sequences: Ids of the requests that used it.
        reason: Why it ended.
        progress_at: Monotonic time in seconds of the last progress on
            outstanding steps; 0 if there were none.
    """

    sequences: frozenset[str]
    reason: str
    progress_at: float


class EngineEventHandler(Protocol):
    """Receives the events of the connections to engines."""

    def on_sent(self, engine: str, step: messages.Step) -> None:
        """Called when a frame was queued for sending to the engine."""

    def on_matched(
        self, engine: str, matched: tuple[link.MatchedResult, ...]
    ) -> None:
        """Called with the results of outstanding items."""

    def on_connected(self, engine: str) -> None:
        """Called when the engine is usable."""

    def on_unmatched(self, engine: str, count: int) -> None:
        """Called when results without an outstanding step were dropped."""

    def on_disconnected(
        self, engine: str, disconnection: Disconnection
    ) -> None:
        """Called when a connection ended; its sequences need other engines."""

    def on_load_report(
        self, engine: str, report: messages.LoadReport, measured_at: float
    ) -> None:
        """Called with a load report and the monotonic time of its figures."""

    def on_cache_events(
        self, engine: str, events: messages.CacheEvents
    ) -> None:
        """Called with changes of the engine's prefix cache."""


@dataclasses.dataclass(frozen=True)
class Channel:
    """An open WebSocket and the state of the exchange over it."""

    socket: aiohttp.ClientWebSocketResponse
    link: link.StageLink


class EngineConnection:
    """Keeps an engine connected and exchanges frames with it.

    A failed connection is not reused. After a stall, the next connection
    starts with a probe step: an engine that accepts connections but executes
    no steps must not get sequences of callers.

    Attributes:
        name: Name of the engine object.
        address: ``IP:PORT`` of the engine.
        channel: The current connection; None while disconnected.
        sequences: Sequences of this instance that use the engine.
        step_time: Estimate of the step time, across connections.
        probe: Step that the engine must answer before it is usable.
        pending_releases: Releases to send after a reconnect.
    """

    def __init__(
        self,
        engine: kinds.Object,
        session: aiohttp.ClientSession,
        event_handler: EngineEventHandler,
    ) -> None:
        self.name = engine.name
        self.address = engine.spec.address
        self.session = session
        self.event_handler = event_handler
        self.channel: Channel | None = None
        self.sequences: set[str] = set()
        self.step_time = steptime.StepTime()
        self.backoff = backoff.Backoff()
        self.probe: messages.StepItem | None = None
        self.pending_releases: collections.deque[messages.Cancel] = (
            collections.deque(maxlen=MAX_PENDING_RELEASE_COUNT)
        )
        self.flush_scheduled = False
        self.outbox: asyncio.Queue[bytes] = asyncio.Queue()
        self.task = asyncio.create_task(self._run(), name=f"engine-{self.name}")

    @property
    def usable(self) -> bool:
        """Whether sequences may use the engine."""
        return self.channel is not None and self.probe is None

    def submit(self, item: messages.StepItem) -> bool:
        """Queues an item; returns whether the engine is usable."""
        if self.channel is None or not self.usable:
            return False
        self.channel.link.submit(item)
        self._schedule_flush()
        return True

    def release(self, request: str, attempt: int) -> None:
        """Releases the KV state of an attempt, now or after a reconnect.

        An engine may keep state after a disconnect: an import belongs to no
        connection until its first step.
        """
        cancel = messages.Cancel(request, attempt)
        if self.channel is None:
            self.pending_releases.append(cancel)
            return
        self.channel.link.withdraw(request, attempt)
        self._send(cancel)

    async def close(self) -> None:
        """Closes the connection."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def _schedule_flush(self) -> None:
        # Items submitted in one iteration of the event loop share a frame.
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        if self.channel is None:
            return
        while (
            step := self.channel.link.next_frame(time.monotonic())
        ) is not None:
            self._send(step)
            self.event_handler.on_sent(self.name, step)

    def _send(self, message: messages.ToEngine) -> None:
        self.outbox.put_nowait(_encoder.encode(message))

    async def _run(self) -> None:
        while True:
            connected_at = time.monotonic()
            reason = "closed"
            try:
                reason = await self._connect_and_serve()
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                reason = type(error).__name__
                connected_at = time.monotonic()
            except Exception:
                # An unexpected error must not stop the reconnects.
                _log.exception("engine_connection_failed", engine=self.name)
                connected_at = time.monotonic()
            self.backoff.on_closed(time.monotonic() - connected_at)
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
        stage_link = link.StageLink(self.name, now, self.step_time)
        self.outbox = asyncio.Queue()
        self.channel = Channel(socket, stage_link)
        while self.pending_releases:
            self._send(self.pending_releases.popleft())
        if self.probe is None:
            self.event_handler.on_connected(self.name)
        else:
            # The engine may have executed the probe of the previous
            # connection, so its request id is not reused.
            probe_id = f"probe-{os.urandom(6).hex()}"
            self.probe = msgspec.structs.replace(self.probe, request=probe_id)
            stage_link.submit(self.probe)
            self._flush()
        tasks = [
            asyncio.create_task(work)
            for work in (
                self._read(self.channel),
                self._write(self.channel),
                self._tick(self.channel),
            )
        ]
        reason = "cancelled"
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            reason = _end_reason(done)
        finally:
            for task in tasks:
                task.cancel()
            progress_at = stage_link.progress_at if stage_link.frames else 0.0
            self.channel = None
            _abort(socket)
            sequences, self.sequences = self.sequences, set()
            self.event_handler.on_disconnected(
                self.name,
                Disconnection(frozenset(sequences), reason, progress_at),
            )
        return reason

    async def _read(self, channel: Channel) -> str:
        async for message in channel.socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                return f"unexpected {message.type.name} frame"
            try:
                decoded = _decoder.decode(message.data)
            except msgspec.DecodeError as error:
                return f"malformed frame: {error}"
            self._on_message(channel, decoded)
        return "connection closed"

    def _on_message(
        self, channel: Channel, message: messages.FromEngine
    ) -> None:
        if channel is not self.channel:
            return
        now = time.monotonic()
        match message:
            case messages.StepResult():
                previous_count = channel.link.unmatched_count
                matched = channel.link.on_result(message, now)
                if channel.link.unmatched_count > previous_count:
                    self.event_handler.on_unmatched(
                        self.name, channel.link.unmatched_count - previous_count
                    )
                self.event_handler.on_matched(
                    self.name, self._complete_probe(matched)
                )
                self._flush()
            case messages.Pong():
                channel.link.on_pong(message, now)
                measured_at = now - message.report.age_s
                self.event_handler.on_load_report(
                    self.name, message.report, measured_at
                )
            case messages.CacheEvents():
                self.event_handler.on_cache_events(self.name, message)

    def _complete_probe(
        self, matched: tuple[link.MatchedResult, ...]
    ) -> tuple[link.MatchedResult, ...]:
        """Ends the probe if it was answered; returns the other results."""
        probe = self.probe
        if probe is None or all(m.item is not probe for m in matched):
            return matched
        self.probe = None
        self.release(probe.request, probe.attempt)
        self.event_handler.on_connected(self.name)
        return tuple(m for m in matched if m.item is not probe)

    async def _write(self, channel: Channel) -> str:
        while True:
            payload = await self.outbox.get()
            await channel.socket.send_bytes(payload)

    async def _tick(self, channel: Channel) -> str:
        while True:
            match channel.link.on_tick(time.monotonic()):
                case link.Failure() as failure:
                    if failure.stalled:
                        self.probe = _build_probe(channel.link) or self.probe
                    return failure.reason
                case messages.Ping() as ping:
                    self._send(ping)
            await asyncio.sleep(TICK_INTERVAL_S)


def _build_probe(stage_link: link.StageLink) -> messages.StepItem | None:
    """Returns a step of one value, for the layers of an outstanding step."""
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
    """Aborts a connection without waiting for the peer."""
    transport: Any = socket.get_extra_info("transport")
    response: Any = getattr(socket, "_response", None)
    if transport is None and response is not None and response.connection:
        transport = response.connection.transport
    if transport is not None:
        transport.abort()


def _end_reason(done: set[asyncio.Task[str]]) -> str:
    task = next(iter(done))
    error = task.exception()
    return type(error).__name__ if error is not None else task.result()
