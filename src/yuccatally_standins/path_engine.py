"""Stand-in for engines that answer whole requests along a path."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import struct
from typing import Any

from aiohttp import web

EVENT_PAUSE_S = 0.005
SIGNATURE = "signed"


@dataclasses.dataclass
class Behaviour:
    """What a test makes an engine or service do.

    Attributes:
        stalled: Whether requests over it make no progress.
        refuse: Status with which it states that it did not run a request.
        fail: Status of a failure of its own.
        break_after: Events after which it breaks off within an event.
        wrong_id: Whether answers carry the id of another request.
        unsigned: Whether answers carry no signature.
        unframed: How an answer without a stated length ends: ``close`` or
            ``reset``; empty for answers with a length.
        mute: Whether a request that was run gets no answer.
        leaving: Whether it refuses requests and health checks.
    """

    stalled: bool = False
    refusal_status: int = 0
    failure_status: int = 0
    break_after: int | None = None
    wrong_id: bool = False
    unsigned: bool = False
    unframed: str = ""
    drops_answer: bool = False
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class ExecutedRequest:
    """A request that an engine has run.

    Attributes:
        request: Id of the client's attempt.
        target: Path and query.
        headers: Headers by lower-case name.
        body: Body.
    """

    request: str
    target: str
    headers: dict[str, str]
    body: bytes


class PathEngine:
    """An engine, or a plain service when it has no card.

    Attributes:
        fleet: All engines by address, to look at the others of a path.
        streams: Whether its answers are streams of events.
        delay_s: Time that it works on a request, in seconds.
        held: Layers that it holds as first and last, exclusive.
        orders: Orders accepted.
        runs: Requests that it has run.
        cancelled: Requests whose connection was closed before their end.
        loads: Ranges that it was ordered to hold.
        paths: Paths of the streams that it sends as their first engine.
        rerouted: Paths over which requests were ordered to go on.
    """

    def __init__(
        self,
        engines_by_address: dict[str, PathEngine],
        name: str,
        service: str,
        card: str = "",
        data_centre: str = "north",
        events: int = 6,
    ) -> None:
        self.engines_by_address = engines_by_address
        self.name = name
        self.service = service
        self.card = card
        self.data_centre = data_centre
        self.events = events
        self.streams = bool(card)
        self.delay_s = 0.0
        self.address = ""
        self.born_ms = 1000
        self.behaviour = Behaviour()
        self.held_layers: tuple[int, int] | None = None
        self.accepted_order_count = 0
        self.fence = 0
        self.executed_requests: list[ExecutedRequest] = []
        self.cancelled: list[str] = []
        self.loaded_ranges: list[tuple[int, int]] = []
        self.paths: dict[str, str] = {}
        self.rerouted_paths: list[str] = []
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listens on a port of its own."""
        app = web.Application()
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_get("/healthz", self._health)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self.engines_by_address[self.address] = self

    async def stop(self) -> None:
        """Stops to listen and drops all connections."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns what it publishes in the store."""
        found: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 4,
            "born": self.born_ms,
        }
        if self.card:
            found["routeKind"] = self.card
            found["models"] = [{"name": "m", "version": 1, "adapters": []}]
            found["layers"] = self._layers()
        return found

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "sequence": self.accepted_order_count,
                "busy": False,
                "born": self.born_ms,
                "layers": self._layers(),
                "waiting": 0,
                "running": 0,
                "stalled": [
                    {"id": attempt, "address": part.address}
                    for attempt, path in self.paths.items()
                    for part in self._parts(path)[1:]
                    if part.behaviour.stalled
                ],
            }
        )

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(status=503 if self.behaviour.leaving else 200)

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body["operation"] == "repath":
            return self._reroute(body["id"], body["path"])
        if body["fencingToken"] < self.fence:
            return web.Response(status=412)
        self.fence = body["fencingToken"]
        wanted = (body["from"], body["target"])
        if self.held_layers == wanted:
            return web.Response(status=200)
        if body["expected"] != self.accepted_order_count:
            return web.Response(status=409)
        self.accepted_order_count += 1
        self.held_layers = wanted
        self.loaded_ranges.append(wanted)
        return web.Response(status=202)

    def _reroute(self, attempt: str, path: str) -> web.Response:
        if attempt not in self.paths:
            return web.Response(status=404)
        if not path.startswith(f"{self.address}="):
            return web.Response(status=400)
        missing = self._missing(path)
        if missing is not None:
            return web.json_response({"address": missing}, status=409)
        self.paths[attempt] = path
        self.rerouted_paths.append(path)
        return web.Response(status=200)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        attempt = request.headers.get("Yuccatally-Attempt-Id", "")
        expected = request.headers.get("Yuccatally-Expect-Instance", self.name)
        if expected != self.name:
            return self._answer(request, 421, b"", signed=False)
        path = request.headers.get("Yuccatally-Hop-Count", "")
        missing = self._missing(path) if self.card else None
        if missing is not None:
            return self._answer(request, 421, b"", signed=False, faulty=missing)
        if self.behaviour.refusal_status or self.behaviour.leaving:
            status = self.behaviour.refusal_status or 503
            return self._answer(request, status, b"", signed=False, ran=False)
        body = await request.read()
        headers = {n.lower(): v for n, v in request.headers.items()}
        run = ExecutedRequest(attempt, request.raw_path, headers, body)
        self.executed_requests.append(run)
        try:
            await asyncio.sleep(self.delay_s)
            if self.behaviour.drops_answer:
                await asyncio.sleep(3600)
            if self.behaviour.failure_status:
                return self._answer(
                    request, self.behaviour.failure_status, b"failed"
                )
            if not self.streams:
                return await self._whole(request, b"done " + attempt.encode())
            return await self._stream(request, path)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise

    async def _stream(
        self, request: web.Request, path: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._headers(request))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        attempt = request.headers.get("Yuccatally-Attempt-Id", "")
        self.paths[attempt] = path
        try:
            await response.prepare(request)
            await self._send_events(request, response, first, attempt)
        finally:
            del self.paths[attempt]
        return response

    async def _send_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        first: int,
        attempt: str,
    ) -> None:
        for number in range(first, self.events + 1):
            while self._is_stalled(attempt):  # noqa: ASYNC110
                await asyncio.sleep(EVENT_PAUSE_S)
            if self.behaviour.break_after == number - first:
                await response.write(b"id: %d\ndata: half" % number)
                request.transport.abort()
                return
            await response.write(b"id: %d\ndata: e%d\n\n" % (number, number))
            await asyncio.sleep(EVENT_PAUSE_S)
        await response.write_eof()

    def _is_stalled(self, attempt: str) -> bool:
        parts = self._parts(self.paths[attempt])
        return any(p.behaviour.stalled for p in parts)

    def _parts(self, path: str) -> list[PathEngine]:
        return [
            self.engines_by_address[p.split("=")[0]]
            for p in path.split(",")
            if p
        ]

    async def _whole(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        if not self.behaviour.unframed:
            return self._answer(request, 200, body)
        lines = [f"{n}: {v}" for n, v in self._headers(request).items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
        transport = request.transport
        transport.write(head + body)
        await asyncio.sleep(EVENT_PAUSE_S)
        if self.behaviour.unframed == "reset":
            connection = transport.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            transport.abort()
        else:
            transport.close()
        return web.Response()

    def _answer(
        self,
        request: web.Request,
        status: int,
        body: bytes,
        signed: bool = True,
        ran: bool = True,
        faulty: str = "",
    ) -> web.Response:
        headers = self._headers(request)
        if not signed:
            headers.pop("Yuccatally-Server-Signature", None)
        if not ran:
            headers["Yuccatally-Not-Executed"] = "1"
        if faulty:
            headers["At-Server"] = faulty
        return web.Response(status=status, body=body, headers=headers)

    def _headers(self, request: web.Request) -> dict[str, str]:
        attempt = request.headers.get("Yuccatally-Attempt-Id", "")
        if self.behaviour.wrong_id:
            attempt = "another"
        headers = {"Yuccatally-Attempt-Id": attempt}
        if not self.behaviour.unsigned:
            headers["Yuccatally-Server-Signature"] = SIGNATURE
        return headers

    def _missing(self, path: str) -> str | None:
        """Returns the address of an engine that does not hold its part."""
        for part in path.split(","):
            address, _, layers = part.partition("=")
            first, _, last = layers.partition("-")
            held_layers = (
                self.engines_by_address[address].held_layers
                if address in self.engines_by_address
                else None
            )
            if (
                held_layers is None
                or held_layers[0] > int(first)
                or held_layers[1] < int(last)
            ):
                return address
        return None

    def _layers(self) -> dict[str, int] | None:
        if self.held_layers is None:
            return None
        return {
            "from": self.held_layers[0],
            "target": self.held_layers[1],
            "version": 1,
        }
