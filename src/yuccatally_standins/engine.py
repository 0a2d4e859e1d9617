"""Stand-in for a model engine that holds ranges of layers."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
from typing import Any

from aiohttp import web
import msgspec

from yuccatally.core.stages import messages
from yuccatally_standins import holdings
from yuccatally_standins import links
from yuccatally_standins import reference

_decoder = msgspec.msgpack.Decoder(messages.ToEngine)

CATCH_UP_S = 0.05


@dataclasses.dataclass
class EngineConfig:
    """Declared rates and behaviour of an engine.

    Attributes:
        name: Name.
        first_layer: First layer it holds.
        last_layer: Layer after the last one it holds.
        model: Model loaded at start.
        version: Version loaded at start.
        step_base_s: Fixed time of a step, in seconds.
        token_layer_s: Time for one layer and token, in seconds.
        checks_fencing: Whether old fencing numbers are refused.
        capacity_layers: Layers of all models that fit into memory.
        weights: Address of the weight store; empty if loading takes no time.
        max_batch: Greatest number of items in a step.
        link_delay_s: Delay of everything it sends, in seconds.
        link_value_s: Time one activation occupies its link, in seconds.
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


@dataclasses.dataclass
class Faults:
    """Faults that a test switches on.

    Attributes:
        frozen: Steps are not computed; heartbeats are answered.
        silent: Nothing is sent on open connections.
        slow_factor: Factor on the time of each step.
        link_factor: Factor on the delay and transfer time of its link.
        refuse: Reason with which every item is refused; empty for none.
    """

    frozen: bool = False
    silent: bool = False
    slow_factor: float = 1.0
    link_factor: float = 1.0
    refuse: str = ""


@dataclasses.dataclass(eq=False)
class _Connection:
    socket: web.WebSocketResponse
    sequences: dict[tuple[str, int], reference.LayerState] = dataclasses.field(
        default_factory=dict
    )
    versions: dict[tuple[str, int], tuple[str, str]] = dataclasses.field(
        default_factory=dict
    )


class Engine:
    """Batches the items of all connections into steps."""

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        self.faults = Faults()
        self.queue: list[tuple[int, int, _Connection, int, Any]] = []
        self.arrived = asyncio.Event()
        self.order = 0
        self.steps = 0
        self.tokens = 0
        self.holdings = holdings.Holdings(
            config.capacity_layers,
            config.checks_fencing,
            config.weights,
            self._sequences_of,
        )
        if config.last_layer > config.first_layer:
            self.holdings.add_ready(
                config.model,
                config.version,
                range(config.first_layer, config.last_layer),
            )
        self.token_layers = 0
        self.busy_until = 0.0
        self.link = links.OutboundLink(config.link_delay_s, config.link_value_s)
        self.connections: set[_Connection] = set()
        self.applied: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/steps", self._steps)
        app.router.add_get("/v1/engine", self._describe)
        app.router.add_post("/v1/orders", self.holdings.on_order)
        app.router.add_get("/orders", self.holdings.on_history)
        app.router.add_post("/faults", self._set_faults)
        app.on_startup.append(self._start)
        return app

    async def _start(self, app: web.Application) -> None:
        app["worker"] = asyncio.create_task(self._work())

    async def _describe(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                **dataclasses.asdict(self.config),
                **self.holdings.describe(),
                "steps": self.steps,
                "tokens": self.tokens,
                "token_layers": self.token_layers,
                "sequences": sum(len(c.sequences) for c in self.connections),
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        self.arrived.set()
        return web.json_response(dataclasses.asdict(self.faults))

    async def _steps(self, request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(max_msg_size=16 * 1024 * 1024)
        await socket.prepare(request)
        connection = _Connection(socket)
        self.connections.add(connection)
        try:
            async for message in socket:
                if message.type is not web.WSMsgType.BINARY:
                    break
                await self._on_message(
                    connection, _decoder.decode(message.data)
                )
        finally:
            self.connections.discard(connection)
        return socket

    async def _on_message(
        self, connection: _Connection, message: messages.ToEngine
    ) -> None:
        match message:
            case messages.Step():
                for item in message.items:
                    self.order += 1
                    self.queue.append(
                        (
                            item.priority,
                            self.order,
                            connection,
                            message.frame,
                            item,
                        )
                    )
                self.arrived.set()
            case messages.Cancel():
                key = (message.request, message.attempt)
                connection.sequences.pop(key, None)
            case messages.Ping():
                load = messages.Load(
                    len(self.queue),
                    sum(len(c.sequences) for c in self.connections),
                )
                await self._send(connection, messages.Pong(message.nonce, load))

    async def _work(self) -> None:
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            if self.queue:
                self.busy_until = time.monotonic()
            while self.queue and not self.faults.frozen:
                await self._step()

    async def _step(self) -> None:
        self.queue.sort(key=lambda entry: entry[:2])
        size = self.config.max_batch
        batch, self.queue = self.queue[:size], self.queue[size:]
        work = sum(
            len(i.values) * (i.last_layer - i.first_layer)
            for _, _, _, _, i in batch
        )
        seconds = self.config.step_base_s + work * self.config.token_layer_s
        # While items wait, steps follow each other at the declared times, so
        # that the time this process computes does not lower the rate.
        now = time.monotonic()
        started = max(self.busy_until, now - CATCH_UP_S)
        self.busy_until = started + seconds * self.faults.slow_factor
        await asyncio.sleep(self.busy_until - now)
        self.steps += 1
        results: dict[
            tuple[int, int], tuple[_Connection, messages.StepResult]
        ] = {}
        for _, _, connection, frame, item in batch:
            key = (id(connection), frame)
            empty = messages.StepResult(frame, [], [])
            _, result = results.setdefault(key, (connection, empty))
            answer = self._compute(connection, item)
            if isinstance(answer, messages.StepOutput):
                result.outputs.append(answer)
            else:
                result.refusals.append(answer)
        for connection, result in results.values():
            await self._send(connection, result)

    def _compute(
        self, connection: _Connection, item: messages.StepItem
    ) -> messages.StepOutput | messages.StepRefusal:
        reason = self._refusal(connection, item)
        key = (item.request, item.attempt)
        if reason:
            return messages.StepRefusal(*key, item.position, reason)
        if item.position == 0:
            connection.sequences[key] = reference.LayerState.empty(
                item.first_layer, item.last_layer
            )
            connection.versions[key] = (item.model, item.version)
        seed = reference.seed_of(item.model, item.version)
        values = connection.sequences[key].apply(seed, item.values)
        self.tokens += len(item.values)
        self.token_layers += len(item.values) * (
            item.last_layer - item.first_layer
        )
        if item.final:
            values = [reference.token_of(values[-1])]
        return messages.StepOutput(*key, item.position, values)

    def _refusal(self, connection: _Connection, item: messages.StepItem) -> str:
        if self.faults.refuse:
            return self.faults.refuse
        if not self.holdings.covers(
            item.model, item.version, item.first_layer, item.last_layer
        ):
            return "not loaded"
        state = connection.sequences.get((item.request, item.attempt))
        expected = 0 if state is None else state.position
        if item.position != expected:
            return "not the next position"
        return ""

    def _sequences_of(self, model: str, version: str) -> int:
        return sum(
            c.versions.get(key) == (model, version)
            for c in self.connections
            for key in c.sequences
        )

    async def _send(
        self, connection: _Connection, message: messages.FromEngine
    ) -> None:
        if self.faults.silent or connection.socket.closed:
            return
        try:
            await self.link.send(
                connection.socket, message, self.faults.link_factor
            )
        except (ConnectionError, RuntimeError):
            self.connections.discard(connection)
