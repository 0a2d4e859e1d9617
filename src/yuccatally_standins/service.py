"""Stand-in for a reservation service."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

from aiohttp import web


@dataclasses.dataclass
class Faults:
    """Faults that a test switches on.

    Attributes:
        delay_s: Delay before a call is carried out, in seconds.
        drop_after: Number of calls to carry out without an answer.
    """

    delay_s: float = 0.0
    drop_after: int = 0


class Service:
    """Records each reservation that it carries out."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.reservations: list[dict[str, Any]] = []
        self.reads = 0

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_post("/reservations", self._reserve)
        app.router.add_get("/reservations", self._list)
        app.router.add_get("/stock/{lot}", self._stock)
        app.router.add_post("/faults", self._set_faults)
        return app

    async def _reserve(self, request: web.Request) -> web.Response:
        body = await request.json()
        await asyncio.sleep(self.faults.delay_s)
        number = len(self.reservations) + 1
        self.reservations.append(
            {
                "number": number,
                "lot": body.get("lot"),
                "request": request.headers.get("Yuccatally-Request"),
            }
        )
        if self.faults.drop_after:
            self.faults.drop_after -= 1
            if request.transport is not None:
                request.transport.abort()
        return web.json_response({"number": number, "lot": body.get("lot")})

    async def _list(self, request: web.Request) -> web.Response:
        return web.json_response(self.reservations)

    async def _stock(self, request: web.Request) -> web.Response:
        self.reads += 1
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.drop_after:
            self.faults.drop_after -= 1
            if request.transport is not None:
                request.transport.abort()
        lot = request.match_info["lot"]
        sold = any(r["lot"] == lot for r in self.reservations)
        return web.json_response({"lot": lot, "available": not sold})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response(dataclasses.asdict(self.faults))
