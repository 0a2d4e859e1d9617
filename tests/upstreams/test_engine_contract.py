"""Contract tests of the engine protocol, for every kind of engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import test_utils
import msgspec
import pytest
import pytest_asyncio

from yuccatally.core.control import states
from yuccatally.core.stages import messages
from yuccatally.upstreams import orders
from yuccatally_standins import engine
from yuccatally_standins import reference

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MODEL, VERSION, LAYERS = "m", "v1", 4
PROMPT = [72, 105, 33]


class EngineClient:
    """Client of one engine over a WebSocket."""

    def __init__(
        self, socket: aiohttp.ClientWebSocketResponse, address: str
    ) -> None:
        self.socket = socket
        self.address = address
        self.frame = 0

    async def step(self, **changes: object) -> messages.StepResult:
        """Sends one item in a frame and returns the frame's result."""
        self.frame += 1
        item = messages.StepItem(
            "r", 1, 0, 0, LAYERS, MODEL, VERSION, PROMPT, final=True
        )
        item = msgspec.structs.replace(item, **changes)
        await self.send(messages.Step(self.frame, [item]))
        while True:
            received = await self.receive()
            if isinstance(received, messages.StepResult):
                assert received.frame == self.frame
                return received

    async def send(self, message: messages.ToEngine) -> None:
        """Sends a message."""
        await self.socket.send_bytes(msgspec.msgpack.encode(message))

    async def receive(self) -> messages.FromEngine:
        """Returns the next message."""
        payload = await self.socket.receive_bytes(timeout=10)
        return msgspec.msgpack.decode(payload, type=messages.FromEngine)


@pytest_asyncio.fixture(params=[True, False], ids=["fenced", "unfenced"])
async def client(request: pytest.FixtureRequest) -> AsyncIterator[EngineClient]:
    """Client of an engine with a whole model; ``params`` lists the engines."""
    config = engine.EngineConfig(
        "e", 0, LAYERS, MODEL, VERSION, checks_fencing=request.param
    )
    server = test_utils.TestServer(engine.Engine(config).application())
    await server.start_server()
    address = f"127.0.0.1:{server.port}"
    async with aiohttp.ClientSession() as session:
        socket = await session.ws_connect(f"http://{address}/v1/steps")
        yield EngineClient(socket, address)
        await socket.close()
    await server.close()


async def test_steps_give_the_model_s_tokens(client: EngineClient) -> None:
    """Guards against an engine that computes other tokens than the model."""
    expected = reference.expected_tokens(MODEL, VERSION, LAYERS, PROMPT, 2)
    first = await client.step()
    assert first.outputs[0].values == expected[:1]
    second = await client.step(position=len(PROMPT), values=expected[:1])
    assert second.outputs[0].values == expected[1:]


@pytest.mark.parametrize(
    "changes",
    [
        {"position": 1},
        {"position": 0},
        {"position": len(PROMPT) + 1},
        {"version": "v0"},
        {"last_layer": LAYERS + 1},
        {"attempt": 2, "position": len(PROMPT)},
    ],
)
async def test_wrong_steps_are_refused_and_not_applied(
    client: EngineClient, changes: dict[str, object]
) -> None:
    """Guards against steps that are applied twice or out of order."""
    expected = reference.expected_tokens(MODEL, VERSION, LAYERS, PROMPT, 2)
    await client.step()
    refused = await client.step(**changes)
    assert refused.outputs == []
    assert refused.refusals[0].reason
    second = await client.step(position=len(PROMPT), values=expected[:1])
    assert second.outputs[0].values == expected[1:]


async def test_released_attempt_starts_anew(client: EngineClient) -> None:
    """Guards against KV state that outlives its attempt."""
    await client.step()
    await client.send(messages.Cancel("r", 1))
    again = await client.step(attempt=2)
    expected = reference.expected_tokens(MODEL, VERSION, LAYERS, PROMPT, 1)
    assert again.outputs[0].values == expected


async def test_heartbeat_names_its_nonce(client: EngineClient) -> None:
    """Guards against an old heartbeat that is taken for a new one."""
    await client.send(messages.Ping(7))
    pong = await client.receive()
    assert isinstance(pong, messages.Pong)
    assert pong.nonce == 7


async def test_orders_are_idempotent_and_fenced(
    client: EngineClient, request: pytest.FixtureRequest
) -> None:
    """Guards against orders applied twice or sent by a former lease holder."""
    checks_fencing = "unfenced" not in request.node.name
    layer_range = states.Range(MODEL, "v2", 0, LAYERS)
    async with aiohttp.ClientSession() as session:
        for _ in range(2):
            load = states.Load("e", layer_range)
            await orders.send_order(session, client.address, load, 2)
        state = await orders.fetch_engine_state(session, "e", client.address)
        assert state is not None
        matching = [h for h in state.holdings if h.range == layer_range]
        assert len(matching) == 1
        unload = states.Unload("e", layer_range)
        if checks_fencing:
            with pytest.raises(orders.OrderError) as refused:
                await orders.send_order(session, client.address, unload, 1)
            assert refused.value.stale_fence
        for _ in range(2):
            await orders.send_order(session, client.address, unload, 2)
        state = await orders.fetch_engine_state(session, "e", client.address)
    assert state is not None
    assert state.holding(layer_range) is None
