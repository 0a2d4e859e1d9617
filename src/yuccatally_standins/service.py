"""Simulated reservation service."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

from aiohttp import web


@dataclasses.dataclass
class Faults:
    """Faults that a test enables.

    Attributes:
        delay_s: Delay before a call is executed, in seconds.
        delay_after_s: Delay between execution and response, in seconds.
        drop_after: Number of calls to execute before the connection breaks.
        drop_before: Number of calls whose connection breaks before execution.
        silent: Number of calls to execute without a response on an open
            connection.
    """

    delay_s: float = 0.0
    delay_after_s: float = 0.0
    drop_after: int = 0
    drop_before: int = 0
    silent: int = 0


class Service:
    """Records each reservation that it executes.

    Attributes:
        faults: Faults in force.
        reservations: Reservations executed.
        read_count: Number of stock reads received.
        received_count: Number of calls received.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.reservations: list[dict[str, Any]] = []
        self.read_count = 0
        self.received_count = 0

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_post("/reservations", self._reserve)
        app.router.add_put("/reservations", self._reserve)
        app.router.add_get("/reservations", self._list)
        app.router.add_get("/received", self._count_received)
        app.router.add_route("*", "/mirror/{status}", self._mirror)
        app.router.add_get("/stock/{lot}", self._stock)
        app.router.add_post("/faults", self._set_faults)
        return app

    async def _reserve(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self._fail_before(request)
        number = len(self.reservations) + 1
        self.reservations.append(
            {
                "number": number,
                "lot": body.get("lot"),
                "request": request.headers.get("Yuccatally-Request"),
                "key": request.headers.get("Idempotency-Key"),
            }
        )
        await self._fail_after(request)
        return web.json_response({"number": number, "lot": body.get("lot")})

    async def _list(self, request: web.Request) -> web.Response:
        return web.json_response(self.reservations)

    async def _stock(self, request: web.Request) -> web.Response:
        self.read_count += 1
        await self._fail_before(request)
        await self._fail_after(request)
        lot = request.match_info["lot"]
        sold = any(r["lot"] == lot for r in self.reservations)
        return web.json_response({"lot": lot, "available": not sold})

    async def _count_received(self, request: web.Request) -> web.Response:
        return web.json_response({"received": self.received_count})

    async def _mirror(self, request: web.Request) -> web.Response:
        """Responds with the requested status and content.

        The content is the body of the request, or bytes of a requested length.
        """
        body = await request.read()
        length = int(request.query.get("length", "0"))
        headers = {
            "X-Target": request.raw_path,
            "X-Method": request.method,
            "X-Request": request.headers.get("Yuccatally-Request", ""),
            "X-Cookie": request.headers.get("Cookie", ""),
            "Set-Cookie": "visit=1",
            "ETag": '"v1"',
            "Location": "/elsewhere",
        }
        content = body or bytes(i % 256 for i in range(length))
        status = int(request.match_info["status"])
        return web.Response(
            status=status,
            headers=headers,
            body=b"" if status in (204, 304) else content,
            content_type="application/octet-stream",
        )

    async def _fail_before(self, request: web.Request) -> None:
        self.received_count += 1
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.drop_before:
            self.faults.drop_before -= 1
            _abort(request)
            raise web.HTTPServiceUnavailable()

    async def _fail_after(self, request: web.Request) -> None:
        await asyncio.sleep(self.faults.delay_after_s)
        if self.faults.silent:
            self.faults.silent -= 1
            await asyncio.sleep(3600)
        if self.faults.drop_after:
            self.faults.drop_after -= 1
            _abort(request)

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response(dataclasses.asdict(self.faults))


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
