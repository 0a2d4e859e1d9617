"""What an engine stand-in has loaded, and orders that change it."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

WEIGHTS_RETRY_S = 0.2


@dataclasses.dataclass
class Holding:
    """A range of layers of one model version."""

    model: str
    version: str
    first_layer: int
    last_layer: int
    ready: bool = False

    @property
    def layers(self) -> int:
        """Number of layers."""
        return self.last_layer - self.first_layer


class Holdings:
    """Loaded ranges, bounded by the engine's memory.

    Attributes:
        capacity_layers: Layers that fit into the engine's memory.
        checks_fencing: Whether orders with an old fencing number are refused.
        fence: Highest fencing number seen.
        history: Orders that were carried out, with their fencing numbers.
    """

    def __init__(
        self,
        capacity_layers: int,
        checks_fencing: bool,
        weights: str,
        sequences: Callable[[str, str], int],
    ) -> None:
        self.capacity_layers = capacity_layers
        self.checks_fencing = checks_fencing
        self.weights = weights
        self.sequences = sequences
        self.fence = 0
        self.held: list[Holding] = []
        self.history: list[dict[str, Any]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def add_ready(self, model: str, version: str, layers: range) -> None:
        """Adds a range without loading it."""
        self.held.append(
            Holding(model, version, layers.start, layers.stop, ready=True)
        )

    def covers(
        self, model: str, version: str, first_layer: int, last_layer: int
    ) -> bool:
        """Returns whether a ready holding contains a range of layers."""
        return any(
            h.ready
            and (h.model, h.version) == (model, version)
            and h.first_layer <= first_layer < last_layer <= h.last_layer
            for h in self.held
        )

    def describe(self) -> dict[str, Any]:
        """Returns the part of the engine's description."""
        return {
            "capacity_layers": self.capacity_layers,
            "fence": self.fence,
            "holdings": [
                {
                    **dataclasses.asdict(h),
                    "sequences": self.sequences(h.model, h.version),
                }
                for h in self.held
            ],
        }

    async def on_order(self, request: web.Request) -> web.Response:
        """Serves ``POST /v1/orders``; an order given twice changes nothing."""
        order = await request.json()
        if self.checks_fencing and order["fence"] < self.fence:
            return web.json_response({"error": "stale fence"}, status=409)
        self.fence = max(self.fence, order["fence"])
        self.history.append(order)
        wanted = Holding(
            order["model"],
            order["version"],
            order["first_layer"],
            order["last_layer"],
        )
        if order["action"] == "unload":
            self.held = [h for h in self.held if not _same(h, wanted)]
            return web.json_response({})
        if any(_same(h, wanted) for h in self.held):
            return web.json_response({})
        used = sum(h.layers for h in self.held)
        if used + wanted.layers > self.capacity_layers:
            return web.json_response({"error": "no capacity"}, status=507)
        self.held.append(wanted)
        task = asyncio.create_task(self._load(wanted))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return web.json_response({}, status=202)

    async def on_history(self, request: web.Request) -> web.Response:
        """Serves ``GET /orders``, for tests."""
        return web.json_response(self.history)

    async def _load(self, wanted: Holding) -> None:
        url = f"http://{self.weights}/weights/{wanted.model}/{wanted.version}"
        query = {"layers": str(wanted.layers)}
        async with aiohttp.ClientSession() as session:
            while self.weights and wanted in self.held:
                try:
                    async with session.get(url, params=query) as response:
                        if response.status == 200:
                            break
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(WEIGHTS_RETRY_S)
        wanted.ready = True


def _same(left: Holding, right: Holding) -> bool:
    return dataclasses.replace(left, ready=False) == dataclasses.replace(
        right, ready=False
    )
