"""Baseline without resumption: restarts an answer after a fixed timeout."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import time
from typing import TYPE_CHECKING

import msgspec

from yuccatally.core.stages import messages
from yuccatally_standins import site

if TYPE_CHECKING:
    import aiohttp

    from yuccatally_standins import streams

STEP_TIMEOUT_S = 2.0

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.FromEngine)


@dataclasses.dataclass
class EngineConnection:
    """An engine and the connection to it.

    Attributes:
        plan: Engine and layers.
        websocket: Open connection, or None before it is made.
        pending: Futures of steps without a result, by step key.
    """

    plan: site.EngineSpec
    websocket: aiohttp.ClientWebSocketResponse | None = None
    pending: dict[tuple[str, int, int], asyncio.Future[list[int]]] = (
        dataclasses.field(default_factory=dict)
    )


class FixedTimeout:
    """Generates answers directly on the engines, without an instance.

    A step that times out restarts the whole answer on the other replica of the
    stage. The baseline benefits from having no instance between.
    """

    def __init__(
        self, deployment: site.Site, replicas: list[list[str]]
    ) -> None:
        self.deployment = deployment
        self.replicas = replicas
        plans = {p.name: p for p in deployment.spec.engines}
        self.connections = {
            n: EngineConnection(plans[n]) for r in replicas for n in r
        }
        self.failed: set[str] = set()
        self.frame_numbers = itertools.count(1)
        self.readers: list[asyncio.Task[None]] = []

    async def connect(self, session: aiohttp.ClientSession) -> None:
        """Connects to every engine."""
        for name, connection in self.connections.items():
            url = f"{self.deployment.processes[name].url}/v1/steps"
            connection.websocket = await session.ws_connect(url)
            self.readers.append(asyncio.create_task(self._read(connection)))

    async def close(self) -> None:
        """Closes all connections."""
        for reader in self.readers:
            reader.cancel()
        await asyncio.gather(*self.readers, return_exceptions=True)

    async def generate(
        self, index: int, answer: streams.StreamedAnswer
    ) -> None:
        """Generates one answer and records the time of each new token."""
        for attempt in itertools.count(1):
            path = [
                self._choose_replica(index, names) for names in self.replicas
            ]
            try:
                await self._run_attempt(answer, f"base-{index}", attempt, path)
            except TimeoutError:
                continue
            answer.outcome = "answered"
            return

    def _choose_replica(self, index: int, names: list[str]) -> str:
        usable = [n for n in names if n not in self.failed] or names
        return usable[index % len(usable)]

    async def _run_attempt(
        self,
        answer: streams.StreamedAnswer,
        request: str,
        attempt: int,
        path: list[str],
    ) -> None:
        values = list(answer.prompt.encode())
        text, position = "", 0
        while len(text) < answer.max_tokens:
            token_count = len(values)
            for name in path:
                values = await self._step(
                    name, (request, attempt, position), values
                )
            if not values[0]:
                break
            position += token_count
            text += chr(values[0])
            if len(text) > len(answer.token_times):
                answer.text = text
                answer.token_times.append(time.monotonic())

    async def _step(
        self, name: str, key: tuple[str, int, int], values: list[int]
    ) -> list[int]:
        connection = self.connections[name]
        plan = connection.plan
        final = plan.last_layer == site.LAYER_COUNT
        layers = (plan.first_layer, plan.last_layer)
        item = messages.StepItem(
            *key, *layers, site.MODEL, site.VERSION, values, 1, final
        )
        future = asyncio.get_running_loop().create_future()
        connection.pending[key] = future
        try:
            async with asyncio.timeout(STEP_TIMEOUT_S):
                frame = messages.Step(next(self.frame_numbers), [item])
                if (
                    connection.websocket is not None
                    and not connection.websocket.closed
                ):
                    await connection.websocket.send_bytes(
                        _encoder.encode(frame)
                    )
                return await future
        except (TimeoutError, ConnectionError) as error:
            self.failed.add(name)
            raise TimeoutError from error
        finally:
            connection.pending.pop(key, None)

    async def _read(self, connection: EngineConnection) -> None:
        assert connection.websocket is not None
        async for message in connection.websocket:
            result = _decoder.decode(message.data)
            if not isinstance(result, messages.StepResult):
                continue
            for output in result.outputs:
                key = (output.request, output.attempt, output.position)
                future = connection.pending.get(key)
                if future is not None and not future.done():
                    future.set_result(output.values)
