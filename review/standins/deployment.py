"""A small deployment: routers as processes, the platform and engines here.

The store, the engines and the clients run in this process and speak what
PROTOCOL.md says. The routers are started with the command of
deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Where the build of deploy/system.toml has put the program, or a copy of that.
DEPS = os.environ.get("DEPS", str(ROOT / "target" / "deps"))
HOST = "site.example"
KEY = "k3yk3yk3yk3yk3yk3yk3"
# Bounds of the small sites.
CONTACT_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
# Time for which a crashed engine is away, and for which work waits for one.
DOWN_S = 4.0
STALL_S = 2.0
# Parts in which a slow client sends a body.
UPLOAD_STEPS = 32
# Long bodies are not kept whole.
MAX_KEPT_BYTES = 1024
# A process that ends sooner could not start.
MIN_LIFE_S = 1.0


def free_port() -> int:
    """Returns a port of the loopback interface that nothing else will take.

    It is outside the range from which the kernel takes ports of its own, and
    each is given out once.
    """
    while True:
        port = random.randrange(18000, 32000)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


_given_ports: set[int] = set()


class Record:
    """Lines of record.txt, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def line(self, text: str) -> None:
        """Writes one line."""
        at = time.monotonic() - self.started_at
        self.file.write(f"{at:8.3f} s  {text}\n")
        self.file.flush()


class Store:
    """Metadata store of the platform: objects by kind and name."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.address = ""
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Starts to listen on a free port."""
        app = web.Application()
        app.router.add_get("/objects/{kind}", self._list)
        app.router.add_post("/objects/{kind}", self._create)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def set(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object, as the operator or an engine does."""
        await self._write(kind, name, spec)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            metadata = {**stored["metadata"], "revision": self.revision}
            await self._notify(kind, {**stored, "metadata": metadata}, True)

    async def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[(kind, name)] = stored
        await self._notify(kind, stored, False)
        return stored

    async def _notify(
        self, kind: str, stored: dict[str, Any], deleted: bool
    ) -> None:
        event = {"object": stored, "deleted": deleted}
        self.history.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    def _answer(self, body: Any, status: int = 200) -> web.Response:
        headers = {"Store-Era": "0"}
        return web.json_response(body, status=status, headers=headers)

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[(kind, n)] for n in names[:500]]
        return self._answer(
            {"items": items, "hasMore": len(names) > 500, "at": self.revision}
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        if since > self.revision:
            return self._answer({}, 410)

        def events() -> list[dict[str, Any]]:
            return [e for r, k, e in self.history if k == kind and r > since]

        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(int(request.query["waitMs"]) / 1e3),
                self.changed,
            ):
                await self.changed.wait_for(events)
        return self._answer({"events": events(), "at": self.revision})

    async def _get(self, request: web.Request) -> web.Response:
        stored = self.objects.get(_key(request))
        return self._answer(stored or {}, 200 if stored else 404)

    async def _create(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        if (kind, name) in self.objects:
            return self._answer(self.objects[(kind, name)], 409)
        return self._answer(await self._write(kind, name, body.get("spec")))

    async def _replace(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = _key(request)
        stored = self.objects.get((kind, name))
        if stored is None:
            return self._answer({}, 404)
        expected = body.get("metadata", {}).get("revision")
        if expected not in (None, stored["metadata"]["revision"]):
            return self._answer(stored, 409)
        return self._answer(await self._write(kind, name, body.get("spec")))

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = _key(request)
        stored = self.objects.get((kind, name))
        if stored is None:
            return self._answer({}, 404)
        expected = request.query.get("revision")
        if expected not in (None, str(stored["metadata"]["revision"])):
            return self._answer(stored, 409)
        await self.remove(kind, name)
        return self._answer({})


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that an engine has begun to run.

    Attributes:
        at: Monotonic time in seconds.
        engine: Name of the engine.
        request: Attempt id of the client.
        body: Start of the body of the request.
    """

    at: float
    engine: str
    request: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class Order:
    """An order that reached an engine.

    Attributes:
        at: Monotonic time in seconds.
        engine: Name of the engine.
        fence: Fence number of the order.
        status: Status that the engine answered.
        text: What was ordered.
    """

    at: float
    engine: str
    fence: int
    status: int
    text: str


class Engine:
    """An engine of the model, or a plain one without a card."""

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        zone: str,
        card: str = "",
        slots: int = 8,
    ) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.card = card
        self.slots = slots
        self.port = free_port()
        self.born = int(time.time() * 1e3)
        self.state = "ready"
        self.work_s = 0.05
        self.first_s = 0.05
        self.events = 8
        self.gap_s = 0.02
        # Part of a prompt under which an engine ends that begins to write an
        # answer: the last one of the path, which returns the tokens, or all.
        self.fatal_part = ""
        self.fatal_for_last = False
        # All engines by address, to check the parts of a path.
        self.others: dict[str, Engine] = {}
        # Engine that an open request waits for, by its id.
        self.stalled: dict[str, str] = {}
        self.paths: dict[str, str] = {}
        self.layers: tuple[int, int] | None = None
        self.sequence = 0
        self.fence = 0
        self.arrivals: list[Arrival] = []
        self.orders: list[Order] = []
        self.crashed_at: list[float] = []
        self.running = 0
        self.runner: web.AppRunner | None = None
        self.cut = False

    @property
    def address(self) -> str:
        """Address of the engine."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Starts to listen and registers the engine."""
        app = web.Application(client_max_size=1 << 24)
        app.on_response_prepare.append(self._sign_state)
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_get("/healthz", self._health)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", self.port).start()
        await self.publish()

    async def publish(self) -> None:
        """Writes the entry of the engine, which changes with its state."""
        await self.store.set("servers", self.name, self.entry())

    def entry(self) -> dict[str, Any]:
        """Returns the entry of the engine in the store."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.card:
            entry["routeKind"] = self.card
            entry["stage"] = "combined"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
            entry["layers"] = self._layers()
        return entry

    async def stop(self) -> None:
        """Stops listening and ends all connections at once."""
        runner, self.runner = self.runner, None
        if runner is None:
            return
        for listener in list(runner.sites):
            await listener.stop()
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    async def crash(self, down_s: float) -> None:
        """Ends as a crash does; the engine is back after some seconds."""
        if self.runner is None:
            return
        self.crashed_at.append(time.monotonic())
        await self.stop()
        if down_s > 3 * HEARTBEAT_S:
            await asyncio.sleep(3 * HEARTBEAT_S)
            await self.store.remove("servers", self.name)
            await asyncio.sleep(down_s - 3 * HEARTBEAT_S)
        else:
            await asyncio.sleep(down_s)
        self.layers, self.sequence, self.fence = None, 0, 0
        self.born = int(time.time() * 1e3)
        await self.start()

    async def _sign_state(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.state == "draining":
            response.headers["Server-Leaving"] = "1"

    def _layers(self) -> dict[str, int] | None:
        if self.layers is None:
            return None
        return {"from": self.layers[0], "target": self.layers[1], "version": 1}

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": self.sequence,
                "born": self.born,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 100_000,
                "handles": 0,
                "pace": 1.0,
                "layers": self._layers(),
                "routeKind": self.card,
                "stalled": [
                    {"id": i, "address": a} for i, a in self.stalled.items()
                ],
            }
        )

    async def _health(self, request: web.Request) -> web.Response:
        status = 200 if self.state == "ready" else 503
        headers = {"Yuccatally-Instance-Id": self.name}
        return web.Response(status=status, headers=headers)

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.json()
        status = self._apply_order(request, body)
        text = f"{body.get('from')}-{body.get('target')}"
        self.orders.append(
            Order(
                time.monotonic(),
                self.name,
                body.get("fencingToken", 0),
                status,
                text,
            )
        )
        if status == 202:
            await self.publish()
        return web.Response(status=status)

    def _apply_order(self, request: web.Request, body: dict[str, Any]) -> int:
        expected = request.headers.get("Yuccatally-Expect-Instance", self.name)
        if expected != self.name:
            return 421
        if body["operation"] == "repath":
            return self._change_path(body["id"], body["path"])
        if body["operation"] != "place":
            return 400
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return 412
        self.fence = fence
        layers = (body["from"], body["target"])
        if layers == self.layers:
            return 200
        if body.get("expected", self.sequence) != self.sequence:
            return 409
        self.layers = layers
        self.sequence += 1
        return 202

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        attempt = request.headers.get("Yuccatally-Attempt-Id", "")
        headers = {"Yuccatally-Attempt-Id": attempt}
        expected = request.headers.get("Yuccatally-Expect-Instance", self.name)
        path = request.headers.get("Yuccatally-Hop-Count", "")
        if expected != self.name:
            headers["At-Server"] = self.address
            return web.Response(status=421, headers=headers)
        status, faulty = self._find_missing(path)
        if status:
            headers["At-Server"] = faulty
            headers["Yuccatally-Not-Executed"] = "1"
            return web.Response(status=status, headers=headers)
        if self.running >= self.slots:
            headers["Yuccatally-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        body = await request.read()
        self.arrivals.append(
            Arrival(time.monotonic(), self.name, attempt, body[:MAX_KEPT_BYTES])
        )
        headers["Yuccatally-Server-Signature"] = f"{self.name}.{attempt}"
        self.running += 1
        try:
            if not self.card:
                await asyncio.sleep(self.work_s)
                text = b"done " + attempt.encode()
                return web.Response(body=text, headers=headers)
            return await self._stream(request, headers)
        finally:
            self.running -= 1

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        attempt = headers["Yuccatally-Attempt-Id"]
        self.paths[attempt] = request.headers.get("Yuccatally-Hop-Count", "")
        try:
            return await self._write(request, headers, attempt)
        finally:
            del self.paths[attempt]
            self.stalled.pop(attempt, None)

    async def _write(
        self, request: web.Request, headers: dict[str, str], attempt: str
    ) -> web.StreamResponse:
        hops = self._hops(attempt)
        await asyncio.sleep(self.first_s)
        if self.fatal_part and self.fatal_part in _parts(request):
            fatal_for = hops[-1:] if self.fatal_for_last else hops
            crashes = [
                asyncio.create_task(e.crash(DOWN_S)) for e, _ in fatal_for
            ]
            if not self.fatal_for_last:
                await asyncio.shield(asyncio.wait(crashes))
            await asyncio.sleep(0)
        faulty = await self._wait_for_path(attempt, hops)
        if faulty:
            del headers["Yuccatally-Server-Signature"]
            headers["Yuccatally-Not-Executed"] = "1"
            headers["At-Server"] = faulty
            return web.Response(status=503, headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            if await self._wait_for_path(attempt, hops):
                request.transport.abort()
                return response
            await response.write(b"id: %d\ndata: e%d\n\n" % (number, number))
            await asyncio.sleep(self.gap_s)
        await response.write_eof()
        return response

    def _hops(self, attempt: str) -> list[tuple[Engine, int]]:
        """Returns the engines of a path with their present starts."""
        path = self.paths[attempt]
        if not path:
            return [(self, self.born)]
        addresses = [h.partition("=")[0] for h in path.split(",")]
        return [(self.others[a], self.others[a].born) for a in addresses]

    async def _wait_for_path(
        self, attempt: str, hops: list[tuple[Engine, int]]
    ) -> str:
        """Waits while an engine is dead; returns its address if it stays so.

        Another path that an order names meanwhile takes the place of the old.
        """
        path = self.paths[attempt]
        until = time.monotonic() + STALL_S
        while True:
            if self.paths[attempt] != path:
                path = self.paths[attempt]
                hops[:] = self._hops(attempt)
            dead = [
                e.address
                for e, born in hops
                if e.runner is None or e.born != born
            ]
            if not dead:
                self.stalled.pop(attempt, None)
                return ""
            self.stalled[attempt] = dead[0]
            if time.monotonic() >= until:
                return dead[0]
            await asyncio.sleep(0.01)

    def _change_path(self, attempt: str, path: str) -> int:
        if attempt not in self.paths:
            return 404
        if self._find_missing(path)[0]:
            return 409
        self.paths[attempt] = path
        return 200

    def _find_missing(self, path: str) -> tuple[int, str]:
        """Returns the status of a path and the engine at fault; 0 for none."""
        if not self.card:
            return 0, ""
        for hop in path.split(","):
            address, _, layers = hop.partition("=")
            first, _, last = layers.partition("-")
            engine = self.others.get(address)
            if engine is None or engine.runner is None:
                return 503, address
            held = engine.layers
            if held is None or held[0] > int(first) or held[1] < int(last):
                return 421, address
        return 0, ""


def _parts(request: web.Request) -> list[str]:
    """Returns the parts of a prompt but the last, which never crashes."""
    listed = request.headers.get("Yuccatally-Prefix-Hash", "").split(",")
    return [p.partition(":")[0] for p in listed[:-1]]


class Proxy:
    """Forwards connections; while cut it passes nothing in either direction.

    As behind a partition, open connections fall silent without a reset, and
    attempts to connect get no answer: the queue of the listening socket is full
    and the kernel drops their first packets.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.port = free_port()
        self.is_whole = asyncio.Event()
        self.is_whole.set()
        self.listener = socket.socket()
        self.fillers: list[socket.socket] = []
        self.acceptor: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        # Connections of earlier rounds are silent.
        self.round = 0

    @property
    def address(self) -> str:
        """Address of the proxy."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Starts to listen."""
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.acceptor = asyncio.create_task(self._accept_all())

    async def cut(self) -> None:
        """Begins a partition."""
        self.is_whole.clear()
        self.acceptor.cancel()
        await asyncio.wait((self.acceptor,))
        self.listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def silence(self) -> None:
        """Lets all open connections fall silent for good; new ones work."""
        self.round += 1

    def heal(self) -> None:
        """Ends the partition."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(64)
        self.acceptor = asyncio.create_task(self._accept_all())
        self.is_whole.set()

    async def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self.acceptor is not None:
            self.acceptor.cancel()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for filler in self.fillers:
            filler.close()
        self.listener.close()

    async def _accept_all(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            task = asyncio.create_task(self._forward(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        writers = [writer]
        try:
            host, _, port = self.target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            writers.append(far_writer)
            opened_in = self.round
            await asyncio.gather(
                self._copy(reader, far_writer, opened_in),
                self._copy(far_reader, writer, opened_in),
            )
        except OSError:
            pass
        finally:
            for each in writers:
                each.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        opened_in: int,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._wait_for_path(opened_in)
                writer.write(data)
                await writer.drain()
            await self._wait_for_path(opened_in)
        writer.close()

    async def _wait_for_path(self, opened_in: int) -> None:
        await self.is_whole.wait()
        if opened_in != self.round:
            await asyncio.Event().wait()


class Router:
    """One machine with the project's program as a process.

    Like the platform, it starts the process again after it has ended.
    """

    def __init__(
        self,
        site: Site,
        name: str,
        zone: str,
        store: str,
        peers: str = "",
        listen_peers: str = "",
    ) -> None:
        self.site = site
        self.name = name
        self.zone = zone
        self.store = store
        self.frontend = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.directory = f"127.0.0.1:{free_port()}"
        self.peers = peers or f"127.0.0.1:{free_port()}"
        self.internal = free_port()
        self.file = site.folder / f"{name}.toml"
        self.log = (site.folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None
        # Monotonic times at which the process has ended by itself.
        self.own_ends: list[float] = []
        self.could_not_start = False
        # Exit status of each end that was not asked for.
        self.statuses: list[int] = []
        # Set before the platform asks the process to end.
        self.end_is_planned = False
        # Called after each start of the process.
        self.on_start: Callable[[Router], None] = lambda router: None
        self.is_stopping = False
        self.keeper: asyncio.Task[None] | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Writes the settings file."""
        self.file.write_text(self._settings(seeds))

    def start(self, seeds: list[str]) -> None:
        """Writes the settings and keeps the process running."""
        self.write_settings(seeds)
        self.keeper = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        while not self.is_stopping:
            environment = {
                n: v for n, v in os.environ.items() if n in ("PATH", "HOME")
            }
            environment["PYTHONPATH"] = DEPS
            environment["YUCCATALLY_NODE_FILE"] = str(self.file)
            started_at = time.monotonic()
            self.process = await asyncio.create_subprocess_exec(
                *self.site.command,
                cwd=ROOT,
                env=environment,
                stdout=self.log,
                stderr=self.log,
            )
            self.on_start(self)
            status = await self.process.wait()
            if self.is_stopping:
                return
            if self.end_is_planned:
                self.end_is_planned = False
                await asyncio.sleep(RESTART_DELAY_S)
                continue
            self.statuses.append(status)
            self.site.record.line(f"{self.name} ended by itself ({status})")
            if time.monotonic() - started_at < MIN_LIFE_S:
                self.could_not_start = True
            else:
                self.own_ends.append(time.monotonic())
            await asyncio.sleep(RESTART_DELAY_S)

    async def stop(self) -> None:
        """Ends the process."""
        self.is_stopping = True
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        if self.keeper is not None:
            await asyncio.wait((self.keeper,), timeout=5.0)
            self.keeper.cancel()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log_text(self) -> str:
        """Returns what the process has logged so far."""
        return (self.site.folder / f"{self.name}.log").read_text()

    def _settings(self, seeds: list[str]) -> str:
        internal = self.internal
        listed = ", ".join(f'"{s}"' for s in seeds)
        zones = "\n".join(f'{z} = "region"' for z in self.site.zones)
        return f"""nodeName = "{self.name}"
role = "node"
machineClass = "edge"
serves = ["edge", "control", "directory"]
ip = "127.0.0.1"
zone = "{self.zone}"
region = "region"
internalPorts = [{internal}, {internal}]
seeds = [{listed}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[zones]
{zones}
[listen]
frontend = "{self.frontend}"
ready = "{self.ready}"
controlPlane = "{self.peers}"
directoryService = "{self.directory}"
[limits]
memoryMb = 300
maxFds = 4100
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
outerBoundMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryHeadroom = 200
recoveryS = 12
passMs = 120
retryAfterS = 0
stall_ms = 2000
fencingEnforced = true
ttl_max_s = 5
[platform]
address = "{self.store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a client has received.

    Attributes:
        status: Status; 0 if the connection ended without an answer.
        body: Body.
        complete: Whether the body is complete.
    """

    status: int
    body: bytes = b""
    complete: bool = False


class Site:
    """Store, engines and routers of one run."""

    def __init__(self, folder: pathlib.Path, zones: tuple[str, ...]) -> None:
        self.case_folder = folder
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = zones
        self.record = Record(folder)
        self.store = Store()
        self.engines: list[Engine] = []
        self.engines_by_address: dict[str, Engine] = {}
        self.routers: list[Router] = []
        self.proxies: list[Proxy] = []
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        self.command = tomllib.loads(deploy)["roles"]["node"]["run"].split()
        self.number = 0

    async def add_engine(self, *args: Any, **options: Any) -> Engine:
        """Starts an engine."""
        engine = Engine(self.store, *args, **options)
        engine.others = self.engines_by_address
        await engine.start()
        self.engines.append(engine)
        self.engines_by_address[engine.address] = engine
        return engine

    async def add_proxy(self, target: str) -> Proxy:
        """Starts a proxy."""
        proxy = Proxy(target)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    def next_id(self) -> str:
        """Returns an attempt id that no other request has."""
        self.number += 1
        return f"{self.number:016x}"

    async def send(
        self,
        router: Router,
        target: str,
        body: bytes = b"",
        deadline_ms: int = 1500,
        headers: dict[str, str] | None = None,
        attempt: str = "",
        method: str = "POST",
        upload_s: float = 0.0,
        patience_s: float = 0.0,
    ) -> Answer:
        """Sends a request on a connection of its own."""
        attempt = attempt or self.next_id()
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Yuccatally-Attempt-Id: {attempt}",
            f"Yuccatally-Deadline-Ms: {deadline_ms}",
            f"Api-Key: {KEY}",
            f"Content-Length: {len(body)}",
            *(f"{n}: {v}" for n, v in (headers or {}).items()),
        ]
        head = "\r\n".join([*lines, "", ""]).encode()
        try:
            async with asyncio.timeout(deadline_ms / 1e3):
                return await _exchange(
                    router.frontend, head, body, upload_s, patience_s
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return Answer(0)

    async def stop(self) -> None:
        """Ends everything that was started."""
        await asyncio.gather(*(r.stop() for r in self.routers))
        for proxy in self.proxies:
            await proxy.stop()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def _exchange(
    address: str, sent: bytes, body: bytes, upload_s: float, patience_s: float
) -> Answer:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(sent)
        if not upload_s:
            writer.write(body)
        else:
            size = max(1, len(body) // UPLOAD_STEPS)
            for start in range(0, len(body), size):
                writer.write(body[start : start + size])
                await writer.drain()
                await asyncio.sleep(upload_s / UPLOAD_STEPS)
        async with asyncio.timeout(patience_s or None):
            received = await reader.readuntil(b"\r\n\r\n")
        head = received.decode("latin-1")
        status = int(head.split(" ", 2)[1])
        fields = {
            n.strip().lower(): v.strip()
            for n, _, v in (x.partition(":") for x in head.split("\r\n")[1:])
        }
        body = b""
        try:
            if "chunked" in fields.get("transfer-encoding", ""):
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    body += (await reader.readexactly(size + 2))[:-2]
            else:
                length = int(fields.get("content-length", "0"))
                body = await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            return Answer(status, body)
        return Answer(status, body, complete=True)
    finally:
        writer.close()


def configuration(
    layers: int = 4,
    slots: int = 8,
    size_mb: float = 36000.0,
    kv_bytes: float = 426000.0,
) -> dict[str, Any]:
    """Returns the configuration of the operator."""
    common = {"host": HOST, "anonymous": False}
    return {
        "version": 7,
        "routes": [
            {
                **common,
                "name": "summary",
                "pathPrefix": "/ask/",
                "routeKind": "streaming",
                "resumable": True,
                "timeoutMs": 20000,
                "sloMs": 500,
                "gapTargetMs": 200,
                "maxAttempts": 2,
                "priority": 1,
                "service": "model",
                "sticky": True,
            },
            {
                **common,
                "name": "book",
                "pathPrefix": "/book/",
                "routeKind": "non_idempotent",
                "timeoutMs": 800,
                "sloMs": 300,
                "maxAttempts": 1,
                "priority": 2,
                "service": "desk",
            },
            {
                **common,
                "name": "read",
                "pathPrefix": "/read/",
                "routeKind": "idempotent",
                "timeoutMs": 800,
                "sloMs": 300,
                "maxAttempts": 2,
                "priority": 2,
                "service": "desk",
            },
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 110},
            {
                "name": "model",
                "healthPath": "/healthz",
                "maxConnections": 978,
                "engine": {
                    "slots": slots,
                    "layers": layers,
                    "layerMb": 1750.0,
                    "kvBytes": kv_bytes,
                    "step_ms": 0.85,
                    "per_seq_ms": 0.00276,
                    "context_per_k": 0.0037,
                    "read_per_s": 272000.0,
                    "pairs_per_m": 0.12,
                    "chunk": 512,
                    "stride": 2,
                    "activationBytes": 21300.0,
                    "linkMbps": 480000.0,
                    "pipeMbps": 6500.0,
                    "loads_at_once": 6,
                    "report_lag_ms": 200.0,
                    "usual": {"prompt": 100, "answer": 16},
                    "models": [{"name": "m", "loadS": 0.1}],
                    "kinds": [
                        {
                            "name": "a100s",
                            "sizeMb": size_mb,
                            "pace": 3.1,
                            "readFactor": 3.2,
                        }
                    ],
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "desk-one", "apiKeys": [KEY]}],
    }


async def until(
    condition: Any, timeout_s: float, interval_s: float = 0.05
) -> bool:
    """Waits for a condition, which may be a coroutine function."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return True
        await asyncio.sleep(interval_s)
    return False


def run_case(case: Any) -> int:
    """Runs a case and returns its exit status; ends it when it is stopped."""

    async def run() -> int:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await case()
        except asyncio.CancelledError:
            return 2

    return asyncio.run(run())
