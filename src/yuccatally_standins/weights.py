"""Simulated rate-limited store of model weights."""

from __future__ import annotations

import asyncio
import dataclasses

from aiohttp import web


@dataclasses.dataclass
class Faults:
    """Faults that a test enables.

    Attributes:
        down: Whether every download is refused with status 503.
    """

    down: bool = False


class Weights:
    """Serves one download at a time, in a fixed time for each layer.

    Attributes:
        layer_s: Time to download one layer, in seconds.
        faults: Faults in force.
        lock: Held during a download.
        active_count: Number of downloads that wait or run.
        peak_count: Maximum number of downloads that waited or ran at once.
    """

    def __init__(self, layer_s: float) -> None:
        self.layer_s = layer_s
        self.faults = Faults()
        self.lock = asyncio.Lock()
        self.active_count = 0
        self.peak_count = 0

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/weights/{model}/{version}", self._get)
        app.router.add_get("/peak", self._get_peak)
        app.router.add_post("/faults", self._set_faults)
        return app

    async def _get(self, request: web.Request) -> web.Response:
        if self.faults.down:
            raise web.HTTPServiceUnavailable()
        self.active_count += 1
        self.peak_count = max(self.peak_count, self.active_count)
        try:
            async with self.lock:
                await asyncio.sleep(self.layer_s * int(request.query["layers"]))
        finally:
            self.active_count -= 1
        return web.json_response({})

    async def _get_peak(self, request: web.Request) -> web.Response:
        return web.json_response({"peak": self.peak_count})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response(dataclasses.asdict(self.faults))
