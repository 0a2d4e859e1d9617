"""Simulated engines that answer complete requests along a path."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import struct
import time
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

EVENT_INTERVAL_S = 0.005
TRICKLE_INTERVAL_S = 0.05
# The response before has been written.
REPEAT_DELAY_S = 0.02
SIGNATURE = "signed"
FOREIGN_HEAD = b"HTTP/1.1 503 Busy\r\nContent-Type: text/plain\r\n\r\nfailed"
HALF_EVENT = b"id: %d\ndata: half"


@dataclasses.dataclass
class Behaviour:
    """Behaviour of an engine or service that a test sets.

    Attributes:
        stalled: Whether requests on paths through it make no progress.
        refusal_status: Status of responses that state that the request was not
            executed; 0 for none.
        repeats_refusal: When the latest refusal is written once more: ``idle``
            for just after it, ``next`` for in place of the next response on the
            connection; empty for never.
        retry_after: Value of Retry-After in refusals; empty for none.
        failure_status: Status of responses to executed requests that fail; 0
            for none.
        empty_status: Status of responses without a body; 0 for none.
        plain_answer: Whether streams are answered with a text.
        foreign_head: Whether a stream continues with the head and the text of
            an error response within its body.
        ignores_last_id: Whether streams always start with the first event.
        break_after: Number of events after which the connection breaks within
            an event.
        ends_within_event: Whether the response ends there in order instead.
        wrong_id: Whether responses carry the ID of another request.
        unsigned: Whether responses carry no signature.
        unframed: End of a response without a length: ``close`` or ``reset``;
            empty for responses with a length.
        drops_answer: Whether an executed request gets no response.
        partial_head: Bytes sent in response to an executed request before its
            connection closes, with ``%b`` for its ID; empty for whole
            responses.
        leaving: Whether requests and health checks are refused.
        fatal_part: Part of a prompt under which the process ends when it begins
            to answer; empty for none.
        fatal_body: Body of a request under which the process ends in the same
            way; empty for none.
        fatal_after: Number of events that a stream gives before that.
        announces_leaving: Whether all responses state that the engine leaves,
            while it serves as before.
        rate_limit: Rate in requests a second that all responses name; empty for
            none.
        report_lag_s: Time for which an accepted order loads layers and reports
            do not show it, in seconds.
        trickle_after: Number of events after which bytes of an event arrive now
            and then without its end.
        answer_bytes: Length of a plain answer; 0 for a short one.
    """

    stalled: bool = False
    refusal_status: int = 0
    repeats_refusal: str = ""
    retry_after: str = ""
    failure_status: int = 0
    empty_status: int = 0
    plain_answer: bool = False
    foreign_head: bool = False
    ignores_last_id: bool = False
    break_after: int | None = None
    ends_within_event: bool = False
    wrong_id: bool = False
    unsigned: bool = False
    unframed: str = ""
    drops_answer: bool = False
    partial_head: bytes = b""
    leaving: bool = False
    fatal_part: str = ""
    fatal_body: bytes = b""
    fatal_after: int = 0
    announces_leaving: bool = False
    rate_limit: str = ""
    report_lag_s: float = 0.0
    trickle_after: int | None = None
    answer_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class ExecutedRequest:
    """A request that an engine has executed.

    Attributes:
        request: ID of the client's attempt.
        target: Path and query.
        headers: Headers by name in lower case.
        body: Body of the request.
    """

    request: str
    target: str
    headers: dict[str, str]
    body: bytes


class PathEngine:
    """An engine, or a plain service if it has no card.

    Attributes:
        engines_by_address: All engines of the site, to check the other engines
            of a path.
        name: Name of the engine.
        service: Name of the service it belongs to.
        card: Kind of accelerator; empty for a plain service.
        data_centre: Data centre of the engine.
        events: Number of events in a stream.
        streams: Whether responses are event streams.
        delay_s: Processing time of a request, in seconds.
        address: Address it listens on.
        born_ms: Start time in milliseconds, which identifies the incarnation.
        behaviour: Behaviour that the test sets.
        held_layers: First layer and layer after the last one held, or None.
        accepted_order_count: Number of orders accepted.
        refused_count: Number of requests refused.
        refused_order_count: Number of orders refused because of their count.
        state_before: Count and layers before the last accepted order.
        ordered_at: Time of the last accepted order.
        fence: Highest fencing token received.
        executed_requests: Requests executed.
        latest_refusal: Bytes of the latest refusal.
        refused_on: Connection of the latest refusal.
        arrivals: Monotonic time of the arrival of each request, executed or
            refused.
        cancelled: Attempts whose connection closed before their end.
        loaded_ranges: Ranges of layers that accepted orders named.
        paths: Path of each open stream by attempt, on its first engine.
        rerouted_paths: Paths to which open streams were moved.
        has_crashed: Whether a prompt has ended the process.
        is_running: Set while the process runs; cleared during a pause.
    """

    def __init__(
        self,
        engines_by_address: dict[str, PathEngine],
        name: str,
        service: str,
        card: str = "",
        data_centre: str = "north",
        events: int = 6,
        held_layers: tuple[int, int] | None = None,
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
        self.held_layers = held_layers
        self.accepted_order_count = 0
        self.refused_order_count = 0
        self.refused_count = 0
        self.state_before: tuple[int, tuple[int, int] | None] = (0, None)
        self.ordered_at = float("-inf")
        self.fence = 0
        self.executed_requests: list[ExecutedRequest] = []
        self.arrivals: list[float] = []
        self.latest_refusal = b""
        self.refused_on: asyncio.BaseTransport | None = None
        self.cancelled: list[str] = []
        self.loaded_ranges: list[tuple[int, int]] = []
        self.paths: dict[str, str] = {}
        self.rerouted_paths: list[str] = []
        self.runner: web.AppRunner | None = None
        self.has_crashed = False
        self.crashed_runner: web.AppRunner | None = None
        self.is_running = asyncio.Event()
        self.is_running.set()

    async def start(self) -> None:
        """Starts to listen on a free port."""
        app = web.Application(middlewares=[self._wait_for_end_of_pause])
        app.on_response_prepare.append(self._announce)
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_get("/healthz", self._health)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self.runner.setup()
        listener = web.TCPSite(self.runner, "127.0.0.1", 0)
        await listener.start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self.engines_by_address[self.address] = self

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        for runner in (self.runner, self.crashed_runner):
            if runner is not None:
                await runner.cleanup()
        self.runner = self.crashed_runner = None

    async def crash(self) -> None:
        """Ends all connections and stops listening, as a crash does."""
        self.has_crashed = True
        runner, self.runner = self.runner, None
        if runner is None:
            return
        for listener in list(runner.sites):
            await listener.stop()
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.crashed_runner = runner

    def pause(self, pause_s: float) -> None:
        """Stops all work for a time, in seconds; connections stay open.

        Connections are accepted meanwhile, as the operating system does.
        """
        self.is_running.clear()
        asyncio.get_running_loop().call_later(pause_s, self.is_running.set)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns the entry that the engine publishes in the store."""
        entry: dict[str, Any] = {
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
            entry["routeKind"] = self.card
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
            entry["layers"] = _encode_layers(self.held_layers)
        return entry

    @web.middleware
    async def _wait_for_end_of_pause(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        await self.is_running.wait()
        return await handler(request)

    async def _announce(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        await self.is_running.wait()
        if self.behaviour.announces_leaving:
            response.headers["Server-Leaving"] = "1"
        if self.behaviour.rate_limit:
            response.headers["Server-Limit"] = self.behaviour.rate_limit

    async def _report(self, request: web.Request) -> web.Response:
        count, layers = self.accepted_order_count, self.held_layers
        if self._is_report_outdated():
            count, layers = self.state_before
        return web.json_response(
            {
                "sequence": count,
                "busy": False,
                "born": self.born_ms,
                "layers": _encode_layers(layers),
                "waiting": 0,
                "running": 0,
                "stalled": [
                    {"id": attempt, "address": engine.address}
                    for attempt, path in self.paths.items()
                    for engine in self._engines_of(path)[1:]
                    if engine.behaviour.stalled
                    or not engine.is_running.is_set()
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
        layers = (body["from"], body["target"])
        is_loading = self._is_report_outdated()
        if self.held_layers == layers and not is_loading:
            return web.Response(status=200)
        if body["expected"] != self.accepted_order_count:
            self.refused_order_count += 1
            return web.Response(status=409)
        self.state_before = (self.accepted_order_count, self.held_layers)
        self.ordered_at = time.monotonic()
        self.accepted_order_count += 1
        self.held_layers = layers
        self.loaded_ranges.append(layers)
        return web.Response(status=202)

    def _is_report_outdated(self) -> bool:
        age_s = time.monotonic() - self.ordered_at
        return age_s < self.behaviour.report_lag_s

    def _reroute(self, attempt: str, path: str) -> web.Response:
        if attempt not in self.paths:
            return web.Response(status=404)
        if not path.startswith(f"{self.address}="):
            return web.Response(status=400)
        missing = self._find_missing(path)
        if missing is not None:
            return web.json_response({"address": missing}, status=409)
        self.paths[attempt] = path
        self.rerouted_paths.append(path)
        return web.Response(status=200)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.arrivals.append(time.monotonic())
        attempt = request.headers.get("Yuccatally-Attempt-Id", "")
        expected = request.headers.get("Yuccatally-Expect-Instance", self.name)
        if expected != self.name:
            return self._create_response(request, 421, b"", signed=False)
        path = request.headers.get("Yuccatally-Hop-Count", "")
        missing = self._find_missing(path) if self.card else None
        if missing is not None:
            return self._create_response(
                request, 421, b"", signed=False, faulty_address=missing
            )
        if self.behaviour.refusal_status or self.behaviour.leaving:
            return self._refuse(request)
        body = await request.read()
        headers = {n.lower(): v for n, v in request.headers.items()}
        executed = ExecutedRequest(attempt, request.raw_path, headers, body)
        self.executed_requests.append(executed)
        if (
            self.behaviour.repeats_refusal == "next"
            and request.transport is self.refused_on
        ):
            request.transport.write(self.latest_refusal)
        try:
            await asyncio.sleep(self.delay_s)
            await self.is_running.wait()
            if self._is_fatal(request, body) and not self.behaviour.fatal_after:
                await self.crash()
                await asyncio.sleep(3600)
            if self.behaviour.drops_answer:
                await asyncio.sleep(3600)
            if self.behaviour.partial_head:
                request.transport.write(
                    self.behaviour.partial_head % attempt.encode()
                )
                request.transport.close()
                return web.Response()
            if self.behaviour.failure_status:
                return self._create_response(
                    request, self.behaviour.failure_status, b"failed"
                )
            if self.behaviour.empty_status:
                return self._create_response(
                    request, self.behaviour.empty_status, b""
                )
            if not self.streams or self.behaviour.plain_answer:
                answer = b"done " + attempt.encode()
                return await self._send_plain(
                    request, answer.ljust(self.behaviour.answer_bytes, b".")
                )
            if self.behaviour.unframed:
                return await self._send_unframed(
                    request, self._event_parts(request)
                )
            return await self._stream(request, path)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise

    def _refuse(self, request: web.Request) -> web.Response:
        status = self.behaviour.refusal_status or 503
        self.refused_count += 1
        response = self._create_response(
            request, status, b"", signed=False, executed=False
        )
        lines = [f"{n}: {v}" for n, v in response.headers.items()]
        lines = [f"HTTP/1.1 {status} Refused", *lines, "Content-Length: 0"]
        self.latest_refusal = "\r\n".join([*lines, "", ""]).encode()
        self.refused_on = request.transport
        if self.behaviour.repeats_refusal == "idle":
            asyncio.get_running_loop().call_later(
                REPEAT_DELAY_S, request.transport.write, self.latest_refusal
            )
        return response

    def _is_fatal(self, request: web.Request, body: bytes) -> bool:
        if body and body == self.behaviour.fatal_body:
            return True
        parts = request.headers.get("Yuccatally-Prefix-Hash", "").split(",")
        fatal = self.behaviour.fatal_part
        return bool(fatal) and fatal in (p.partition(":")[0] for p in parts)

    async def _stream(
        self, request: web.Request, path: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._headers(request))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        first = self._first_event(request)
        attempt = request.headers.get("Yuccatally-Attempt-Id", "")
        self.paths[attempt] = path
        try:
            await response.prepare(request)
            await self._send_events(request, response, first, attempt)
        finally:
            self.paths.pop(attempt, None)
        return response

    def _first_event(self, request: web.Request) -> int:
        if self.behaviour.ignores_last_id:
            return 1
        return int(request.headers.get("Last-Event-Id", "0")) + 1

    async def _send_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        first: int,
        attempt: str,
    ) -> None:
        if self.behaviour.foreign_head:
            await response.write(FOREIGN_HEAD)
        for number in range(first, self.events + 1):
            while self._is_stalled(attempt):  # noqa: ASYNC110
                await asyncio.sleep(EVENT_INTERVAL_S)
            await self.is_running.wait()
            is_fatal = self._is_fatal(request, await request.read())
            if is_fatal and number - first == self.behaviour.fatal_after:
                await self.crash()
                await asyncio.sleep(3600)
            if self.behaviour.break_after == number - first:
                await response.write(HALF_EVENT % number)
                if self.behaviour.ends_within_event:
                    await response.write_eof()
                else:
                    request.transport.abort()
                return
            while self.behaviour.trickle_after == number - first:
                await response.write(b":")
                await asyncio.sleep(TRICKLE_INTERVAL_S)
                await self.is_running.wait()
            await response.write(b"id: %d\ndata: e%d\n\n" % (number, number))
            await asyncio.sleep(EVENT_INTERVAL_S)
        await self.is_running.wait()
        await response.write_eof()

    def _is_stalled(self, attempt: str) -> bool:
        engines = self._engines_of(self.paths.get(attempt, ""))
        return any(
            e.behaviour.stalled or not e.is_running.is_set() for e in engines
        )

    def _engines_of(self, path: str) -> list[PathEngine]:
        return [
            self.engines_by_address[p.split("=")[0]]
            for p in path.split(",")
            if p
        ]

    async def _send_plain(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        if not self.behaviour.unframed:
            return self._create_response(request, 200, body)
        return await self._send_unframed(request, [body])

    def _event_parts(self, request: web.Request) -> list[bytes]:
        """Returns the events of a stream, and a part of one if it breaks."""
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        numbers = range(first, self.events + 1)
        parts = [b"id: %d\ndata: e%d\n\n" % (n, n) for n in numbers]
        broken = self.behaviour.break_after
        if broken is not None and broken < len(parts):
            parts[broken:] = [HALF_EVENT % (first + broken)]
        return parts

    async def _send_unframed(
        self, request: web.Request, parts: list[bytes]
    ) -> web.Response:
        """Sends a response whose end is only marked by its connection's end."""
        lines = [f"{n}: {v}" for n, v in self._headers(request).items()]
        if self.streams:
            lines.append("Content-Type: text/event-stream")
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
        transport = request.transport
        for part in (head, *parts):
            await self.is_running.wait()
            transport.write(part)
            await asyncio.sleep(EVENT_INTERVAL_S)
        if self.behaviour.unframed == "reset":
            connection = transport.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            transport.abort()
        else:
            transport.close()
        return web.Response()

    def _create_response(
        self,
        request: web.Request,
        status: int,
        body: bytes,
        signed: bool = True,
        executed: bool = True,
        faulty_address: str = "",
    ) -> web.Response:
        headers = self._headers(request)
        if not signed:
            headers.pop("Yuccatally-Server-Signature", None)
        if not executed:
            headers["Yuccatally-Not-Executed"] = "1"
            if self.behaviour.retry_after:
                headers["Retry-After"] = self.behaviour.retry_after
        if faulty_address:
            headers["At-Server"] = faulty_address
        return web.Response(status=status, body=body, headers=headers)

    def _headers(self, request: web.Request) -> dict[str, str]:
        attempt = request.headers.get("Yuccatally-Attempt-Id", "")
        if self.behaviour.wrong_id:
            attempt = "another"
        headers = {"Yuccatally-Attempt-Id": attempt}
        if not self.behaviour.unsigned:
            headers["Yuccatally-Server-Signature"] = SIGNATURE
        return headers

    def _find_missing(self, path: str) -> str | None:
        """Returns the first engine that does not hold its layers of a path."""
        for hop in path.split(","):
            address, _, layers = hop.partition("=")
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


def _encode_layers(layers: tuple[int, int] | None) -> dict[str, int] | None:
    if layers is None:
        return None
    return {"from": layers[0], "target": layers[1], "version": 1}
