"""Simulated model engine that holds ranges of layers."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import Any

from aiohttp import web
import msgspec

from yuccatally.core.stages import messages
from yuccatally_standins import engine_faults
from yuccatally_standins import engine_states
from yuccatally_standins import holdings
from yuccatally_standins import links
from yuccatally_standins import reference

_decoder = msgspec.msgpack.Decoder(messages.ToEngine)

MAX_CATCH_UP_S = 0.05


@dataclasses.dataclass
class EngineConfig:
    """Declared rates and behaviour of an engine.

    Attributes:
        name: Name of the engine.
        first_layer: First layer held at start.
        last_layer: Layer after the last one held at start.
        model: Model loaded at start.
        version: Version loaded at start.
        step_base_s: Fixed time of a step, in seconds.
        token_layer_s: Time for one layer and token, in seconds.
        checks_fencing: Whether orders with old fencing numbers are refused.
        capacity_layers: Layers of all models that fit into memory.
        weights: Address of the weight store; empty if loading takes no time.
        max_batch: Maximum number of items in a step.
        link_delay_s: Delay of every message sent, in seconds.
        link_value_s: Time for which one activation occupies the link, in
            seconds.
    """

    name: str
    first_layer: int
    last_layer: int
    model: str
    version: str
    step_base_s: float = 0.002
    token_layer_s: float = 0.00002
    checks_fencing: bool = False
    capacity_layers: int = 1024
    weights: str = ""
    max_batch: int = 512
    link_delay_s: float = 0.0
    link_value_s: float = 0.0


@dataclasses.dataclass(eq=False)
class _Connection:
    """A connection of an instance.

    Attributes:
        socket: WebSocket of the connection.
        transport: Transport below it, to abort the connection.
        drops_input: Whether received messages are ignored.
        drops_output: Whether messages are not sent.
    """

    socket: web.WebSocketResponse
    transport: asyncio.Transport | None
    drops_input: bool = False
    drops_output: bool = False


@dataclasses.dataclass(frozen=True)
class _QueuedItem:
    """An item that waits for a step.

    Attributes:
        order: Priority and number of arrival.
        connection: Connection that sent the item.
        frame: Number of the frame with the item.
        item: The item.
    """

    order: tuple[int, int]
    connection: _Connection
    frame: int
    item: messages.StepItem


class Engine:
    """Batches the items of all connections into steps.

    Attributes:
        queue: Items that wait for a step.
        batch: Items of the current step.
        cancelled: Attempts cancelled since the current step started.
        work_available: Set when items or faults have arrived.
        arrival_count: Number of items received so far.
        steps: Number of steps computed.
        reports: Number of descriptions requested.
        tokens: Number of tokens computed.
        token_layers: Sum over tokens of the layers applied to each.
        items: Number of items taken into a step.
        busy_s: Time of all steps, in seconds.
        busy_until: Monotonic time at which the last step ends, in seconds.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        self.faults = engine_faults.Faults()
        self.queue: list[_QueuedItem] = []
        self.batch: list[_QueuedItem] = []
        self.cancelled: set[engine_states.Key] = set()
        self.work_available = asyncio.Event()
        self.arrival_count = 0
        self.steps = 0
        self.reports = 0
        self.tokens = 0
        self.holdings = holdings.Holdings(
            config.capacity_layers,
            config.checks_fencing,
            config.weights,
            self._count_sequences,
        )
        if config.last_layer > config.first_layer:
            self.holdings.add_ready(
                config.model,
                config.version,
                range(config.first_layer, config.last_layer),
            )
        self.token_layers = 0
        self.items = 0
        self.busy_s = 0.0
        self.busy_until = 0.0
        self.link = links.OutboundLink(config.link_delay_s, config.link_value_s)
        self.connections: set[_Connection] = set()
        self.states = engine_states.States()
        self.tasks: set[asyncio.Task[None]] = set()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/v1/steps", self._steps)
        app.router.add_get("/v1/engine", self._describe)
        app.router.add_get("/v1/kv/{request}/{attempt}", self._export)
        app.router.add_put("/v1/kv/{request}/{attempt}", self._import)
        app.router.add_post("/v1/orders", self.holdings.handle_order)
        app.router.add_get("/orders", self.holdings.list_orders)
        app.router.add_get("/executed", self._executed)
        app.router.add_post("/faults", self._set_faults)
        app.on_startup.append(self._start)
        return app

    async def _start(self, app: web.Application) -> None:
        app["worker"] = asyncio.create_task(self._run_steps())

    async def _describe(self, request: web.Request) -> web.Response:
        self.reports += 1
        return web.json_response(
            {
                **dataclasses.asdict(self.config),
                **self.holdings.describe(),
                "reports": self.reports,
                "steps": self.steps,
                "tokens": self.tokens,
                "token_layers": self.token_layers,
                "items": self.items,
                "busy_s": self.busy_s,
                "sequences": len(self.states.by_attempt),
                "unclaimed": self.states.count_unclaimed(),
            }
        )

    async def _executed(self, request: web.Request) -> web.Response:
        return web.json_response(
            [[*key, ranges] for key, ranges in self.states.ranges.items()]
        )

    async def _export(self, request: web.Request) -> web.Response:
        raw = self.states.export_state(_key(request))
        if raw is None:
            raise web.HTTPNotFound()
        return web.Response(body=raw)

    async def _import(self, request: web.Request) -> web.Response:
        position = int(request.query["position"])
        key = _key(request)
        if "from" in request.query:
            source = (key[0], int(request.query["from"]))
            imported = self.states.copy(source, key, position)
        else:
            body = await request.read()
            imported = self.states.import_state(key, body, position)
        if not imported:
            raise web.HTTPConflict()
        return web.Response(status=204)

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            if name == "once":
                self.faults.once += value
            else:
                setattr(self.faults, name, value)
        self.work_available.set()
        return web.json_response(dataclasses.asdict(self.faults))

    async def _steps(self, request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(max_msg_size=16 * 1024 * 1024)
        await socket.prepare(request)
        transport: Any = request.transport
        connection = _Connection(socket, transport)
        self.connections.add(connection)
        try:
            async for message in socket:
                if message.type is not web.WSMsgType.BINARY:
                    break
                if not connection.drops_input:
                    await self._on_message(
                        connection, _decoder.decode(message.data)
                    )
        finally:
            self._drop(connection)
        return socket

    def _drop(self, connection: _Connection) -> None:
        self.connections.discard(connection)
        self.states.release_owned(connection)
        self.queue = [q for q in self.queue if q.connection is not connection]

    async def _on_message(
        self, connection: _Connection, message: messages.ToEngine
    ) -> None:
        match message:
            case messages.Step():
                for item in message.items:
                    self.arrival_count += 1
                    order = (item.priority, self.arrival_count)
                    self.queue.append(
                        _QueuedItem(order, connection, message.frame, item)
                    )
                self.work_available.set()
            case messages.Cancel():
                await self._cancel(connection, message)
            case messages.Ping():
                load = messages.LoadReport(
                    len(self.queue) + len(self.batch),
                    len(self.states.by_attempt),
                    steps=self.steps,
                )
                await self._send(connection, messages.Pong(message.nonce, load))

    async def _cancel(
        self, connection: _Connection, cancel: messages.Cancel
    ) -> None:
        key = (cancel.request, cancel.attempt)
        self.states.release(*key)
        self.cancelled.add(key)
        removed = [
            q for q in self.queue if (q.item.request, q.item.attempt) == key
        ]
        self.queue = [q for q in self.queue if q not in removed]
        for queued in removed:
            refusal = messages.StepRefusal(
                *key, queued.item.position, "cancelled"
            )
            result = messages.StepResult(queued.frame, [], [refusal])
            await self._send(connection, result)

    async def _run_steps(self) -> None:
        while True:
            await self.work_available.wait()
            self.work_available.clear()
            if self.queue:
                self.busy_until = time.monotonic()
            while self.queue and not self.faults.frozen:
                await self._run_step()

    async def _run_step(self) -> None:
        self.queue.sort(key=lambda q: q.order)
        size = self.config.max_batch
        self.batch, self.queue = self.queue[:size], self.queue[size:]
        self.cancelled.clear()
        fault = None
        if self.faults.once:
            fault = engine_faults.StepFault(self.faults.once.pop(0))
        self._inject_before_step(fault)
        work = sum(
            len(q.item.values) * (q.item.last_layer - q.item.first_layer)
            for q in self.batch
        )
        step_s = self.config.step_base_s + work * self.config.token_layer_s
        step_s *= self.faults.slow_factor
        if fault is engine_faults.StepFault.STALL:
            step_s += engine_faults.STALL_S
        # While items wait, steps follow each other at the declared times, so
        # that the computing time of this process does not lower the rate.
        now = time.monotonic()
        started = max(self.busy_until, now - MAX_CATCH_UP_S)
        self.busy_until = started + step_s
        self.busy_s += step_s
        self.items += len(self.batch)
        await asyncio.sleep(self.busy_until - now)
        self.steps += 1
        results = self._compute_batch(fault)
        if fault is engine_faults.StepFault.DISCONNECT_DURING:
            self._abort_batch()
        if fault is engine_faults.StepFault.LATE:
            task = asyncio.create_task(
                self._deliver(results, engine_faults.LATE_RESULT_DELAY_S)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif results:
            sent = engine_faults.apply_fault(fault, [r for _, r in results])
            for (connection, _), replies in zip(results, sent, strict=True):
                await self._deliver([(connection, r) for r in replies])
        if fault is engine_faults.StepFault.DISCONNECT_AFTER:
            self._abort_batch()
        self.batch = []

    def _inject_before_step(
        self, fault: engine_faults.StepFault | None
    ) -> None:
        match fault:
            case engine_faults.StepFault.DISCONNECT_BEFORE:
                self._abort_batch()
            case engine_faults.StepFault.SILENCE_IN:
                self.batch[0].connection.drops_input = True
            case engine_faults.StepFault.SILENCE_OUT:
                self.batch[0].connection.drops_output = True

    def _abort_batch(self) -> None:
        for queued in self.batch:
            if queued.connection.transport is not None:
                queued.connection.transport.abort()
            self._drop(queued.connection)

    def _compute_batch(
        self, fault: engine_faults.StepFault | None
    ) -> list[tuple[_Connection, messages.StepResult]]:
        results: dict[
            tuple[int, int], tuple[_Connection, messages.StepResult]
        ] = {}
        for index, queued in enumerate(self.batch):
            # The state of a closed connection would never be released.
            if queued.connection not in self.connections:
                continue
            is_refused = fault is engine_faults.StepFault.REFUSE and index == 0
            empty = messages.StepResult(queued.frame, [], [])
            key = (id(queued.connection), queued.frame)
            _, result = results.setdefault(key, (queued.connection, empty))
            answer = self._compute(queued, "fault" if is_refused else "")
            if isinstance(answer, messages.StepOutput):
                result.outputs.append(answer)
            else:
                result.refusals.append(answer)
        return list(results.values())

    def _compute(
        self, queued: _QueuedItem, injected_reason: str
    ) -> messages.StepOutput | messages.StepRefusal:
        item = queued.item
        reason = injected_reason or self._refusal_reason(item)
        key = (item.request, item.attempt)
        if reason:
            return messages.StepRefusal(*key, item.position, reason)
        values = self.states.apply(queued.connection, item)
        self.tokens += len(item.values)
        self.token_layers += len(item.values) * (
            item.last_layer - item.first_layer
        )
        if item.final:
            values = [reference.decode_token(values[-1])]
        return messages.StepOutput(*key, item.position, values)

    def _refusal_reason(self, item: messages.StepItem) -> str:
        if self.faults.refuse:
            return self.faults.refuse
        if (item.request, item.attempt) in self.cancelled:
            return "cancelled"
        if not self.holdings.covers(
            item.model, item.version, item.first_layer, item.last_layer
        ):
            return "not loaded"
        if item.position != self.states.next_position(item):
            return "not the next position"
        return ""

    def _count_sequences(self, model: str, version: str) -> int:
        weights = (model, version)
        return sum(
            s.weights == weights for s in self.states.by_attempt.values()
        )

    async def _deliver(
        self,
        results: list[tuple[_Connection, messages.StepResult]],
        delay_s: float = 0.0,
    ) -> None:
        await asyncio.sleep(delay_s)
        for connection, result in results:
            await self._send(connection, result)

    async def _send(
        self, connection: _Connection, message: messages.FromEngine
    ) -> None:
        if (
            self.faults.silent
            or connection.drops_output
            or connection.socket.closed
        ):
            return
        try:
            await self.link.send(
                connection.socket, message, self.faults.link_factor
            )
        except (ConnectionError, RuntimeError):
            self._drop(connection)


def _key(request: web.Request) -> engine_states.Key:
    info = request.match_info
    return (info["request"], int(info["attempt"]))
