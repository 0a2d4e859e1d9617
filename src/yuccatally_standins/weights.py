"""Stand-in for the rate-limited store of model weights."""

from __future__ import annotations

import asyncio
import dataclasses

from aiohttp import web


@dataclasses.dataclass
class Faults:
    """Faults that a test switches on."""

    down: bool = False


class Weights:
    """Serves one download at a time, at a fixed time for each layer.

    Attributes:
        layer_s: Time to download one layer, in seconds.
        peak: Greatest number of downloads that were asked for at once.
    """

    def __init__(self, layer_s: float) -> None:
        self.layer_s = layer_s
        self.faults = Faults()
        self.lock = asyncio.Lock()
        self.waiting = 0
        self.peak = 0

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/weights/{model}/{version}", self._get)
        app.router.add_get("/peak", self._peak)
        app.router.add_post("/faults", self._set_faults)
        return app

    async def _get(self, request: web.Request) -> web.Response:
        if self.faults.down:
            raise web.HTTPServiceUnavailable()
        self.waiting += 1
        self.peak = max(self.peak, self.waiting)
        try:
            async with self.lock:
                await asyncio.sleep(self.layer_s * int(request.query["layers"]))
        finally:
            self.waiting -= 1
        return web.json_response({})

    async def _peak(self, request: web.Request) -> web.Response:
        return web.json_response({"peak": self.peak})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response(dataclasses.asdict(self.faults))
