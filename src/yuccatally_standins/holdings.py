"""Layers that the simulated engine has loaded, and orders to change them."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

WEIGHTS_RETRY_INTERVAL_S = 0.2


@dataclasses.dataclass
class Holding:
    """A range of layers of one model version.

    Attributes:
        model: Model of the layers.
        version: Version of the model.
        first_layer: First layer of the range.
        last_layer: Layer after the last one of the range.
        ready: Whether the layers are loaded.
    """

    model: str
    version: str
    first_layer: int
    last_layer: int
    ready: bool = False

    @property
    def layer_count(self) -> int:
        """Number of layers in the range."""
        return self.last_layer - self.first_layer


class Holdings:
    """Ranges that are loaded or being loaded, limited by memory.

    Attributes:
        capacity_layers: Number of layers that fit into the memory.
        checks_fencing: Whether orders with an old fencing number are refused.
        weights: Address of the weight store; empty if loading takes no time.
        count_sequences: Returns the number of sequences on a model version.
        fence: Highest fencing number received.
        ranges: Ranges that are loaded or being loaded.
        accepted_orders: Orders whose fencing number was not refused.
        tasks: Loads in progress.
    """

    def __init__(
        self,
        capacity_layers: int,
        checks_fencing: bool,
        weights: str,
        count_sequences: Callable[[str, str], int],
    ) -> None:
        self.capacity_layers = capacity_layers
        self.checks_fencing = checks_fencing
        self.weights = weights
        self.count_sequences = count_sequences
        self.fence = 0
        self.ranges: list[Holding] = []
        self.accepted_orders: list[dict[str, Any]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def add_ready(self, model: str, version: str, layers: range) -> None:
        """Adds a range as already loaded."""
        self.ranges.append(
            Holding(model, version, layers.start, layers.stop, ready=True)
        )

    def covers(
        self, model: str, version: str, first_layer: int, last_layer: int
    ) -> bool:
        """Returns whether a loaded range contains the given layers."""
        return any(
            h.ready
            and (h.model, h.version) == (model, version)
            and h.first_layer <= first_layer < last_layer <= h.last_layer
            for h in self.ranges
        )

    def describe(self) -> dict[str, Any]:
        """Returns the fields of the engine description about layers."""
        return {
            "capacity_layers": self.capacity_layers,
            "fence": self.fence,
            "holdings": [
                {
                    **dataclasses.asdict(h),
                    "sequences": self.count_sequences(h.model, h.version),
                }
                for h in self.ranges
            ],
        }

    async def handle_order(self, request: web.Request) -> web.Response:
        """Serves ``POST /v1/orders``; repeated orders change nothing."""
        order = await request.json()
        if self.checks_fencing and order["fence"] < self.fence:
            return web.json_response({"error": "stale fence"}, status=409)
        self.fence = max(self.fence, order["fence"])
        self.accepted_orders.append(order)
        requested = Holding(
            order["model"],
            order["version"],
            order["first_layer"],
            order["last_layer"],
        )
        if order["action"] == "unload":
            self.ranges = [
                h for h in self.ranges if not _is_same_range(h, requested)
            ]
            return web.json_response({})
        if any(_is_same_range(h, requested) for h in self.ranges):
            return web.json_response({})
        used = sum(h.layer_count for h in self.ranges)
        if used + requested.layer_count > self.capacity_layers:
            return web.json_response({"error": "no capacity"}, status=507)
        self.ranges.append(requested)
        task = asyncio.create_task(self._load(requested))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return web.json_response({}, status=202)

    async def list_orders(self, request: web.Request) -> web.Response:
        """Serves ``GET /orders``, for tests."""
        return web.json_response(self.accepted_orders)

    async def _load(self, requested: Holding) -> None:
        url = (
            f"http://{self.weights}/weights/"
            f"{requested.model}/{requested.version}"
        )
        query = {"layers": str(requested.layer_count)}
        async with aiohttp.ClientSession() as session:
            while self.weights and requested in self.ranges:
                try:
                    async with session.get(url, params=query) as response:
                        if response.status == 200:
                            break
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(WEIGHTS_RETRY_INTERVAL_S)
        requested.ready = True


def _is_same_range(left: Holding, right: Holding) -> bool:
    return dataclasses.replace(left, ready=False) == dataclasses.replace(
        right, ready=False
    )
