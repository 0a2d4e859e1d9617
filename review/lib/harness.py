"""A small deployment of separate router processes for the cases of the review.

Routers run as the deploy file says. The store and the engines are stand-ins of
the project, in the process of the case; see ``Deployment``.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

from yuccatally_standins import object_store
from yuccatally_standins import path_engine
from yuccatally_standins import path_site

ROOT = pathlib.Path(__file__).resolve().parents[2]
MEMORY_MB = 300

_used_ports: set[int] = set()

_SETTINGS = """\
nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge", "control", "directory"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
internalPorts = [{metrics}, {metrics}]
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[zones]
{zone} = "r"
[listen]
frontend = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
controlPlane = "127.0.0.1:{peers}"
directoryService = "127.0.0.1:{directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory}
maxFds = 4100
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
outerBoundMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryHeadroom = 200
recoveryS = 12
fencingEnforced = true
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""


class CaseError(Exception):
    """The case could not run."""


def free_ports(count: int) -> list[int]:
    """Returns free ports of the loopback interface.

    They lie below those that the system gives to outgoing connections, which
    could take one before a router listens on it.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(21_000, 32_000)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            found.append(port)
    return found


class Record:
    """Writes ``record.txt`` beside the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        at = time.monotonic() - self.started_at
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()


@dataclasses.dataclass
class Router:
    """A router process."""

    name: str
    callers: str
    ready: str
    peers: str
    directory: str
    settings: pathlib.Path
    log: pathlib.Path
    process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        return self.process.pid

    def memory_mb(self, field: str = "VmHWM") -> float:
        """Returns a figure of the memory of the process, in MB."""
        try:
            text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
        return 0.0


@dataclasses.dataclass
class Answer:
    """What a client received."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""
    took_s: float = 0.0


class Deployment:
    """Store, engines and routers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = object_store.ObjectStore()
        self.store_address = ""
        self.store_runner = None
        self.engines: dict[str, path_engine.PathEngine] = {}
        self.by_address: dict[str, path_engine.PathEngine] = {}
        self.routers: list[Router] = []
        self.tasks: list[asyncio.Task] = []
        self.session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Starts the store."""
        app = self.store.application()
        self.store_runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.store_runner.setup()
        listener = web.TCPSite(self.store_runner, "127.0.0.1", 0)
        await listener.start()
        host, port = self.store_runner.addresses[0][:2]
        self.store_address = f"{host}:{port}"
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )

    async def close(self) -> None:
        """Ends everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for router in self.routers:
            await self.kill(router)
        for engine in self.engines.values():
            await engine.stop()
        if self.session is not None:
            await self.session.close()
        if self.store_runner is not None:
            await self.store_runner.cleanup()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def publish_configuration(self, version: int, **changes) -> None:
        """Writes a configuration; ``changes`` replace its fields."""
        spec = {**path_site.configuration(version), **changes}
        await self.store.set("config", "main", spec)
        self.record.write(f"config version={version}")

    async def add_engine(self, engine: path_engine.PathEngine) -> None:
        """Starts an engine and publishes its entry."""
        await engine.start()
        self.engines[engine.name] = engine
        await self.store.set("servers", engine.name, engine.entry())

    def new_router(self, zone: str = "north") -> Router:
        """Creates the settings of a router."""
        name = f"n{len(self.routers) + 1}"
        callers, ready, peers, directory, metrics = free_ports(5)
        seeds = [r.peers for r in self.routers][:3]
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=name,
                zone=zone,
                callers=callers,
                ready=ready,
                peers=peers,
                directory=directory,
                metrics=metrics,
                seeds=json.dumps(seeds),
                store=self.store_address,
                memory=MEMORY_MB,
            )
        )
        address = "127.0.0.1:{}".format
        router = Router(
            name,
            address(callers),
            address(ready),
            address(peers),
            address(directory),
            settings,
            self.folder / f"{name}.log",
        )
        self.routers.append(router)
        return router

    async def start(self, router: Router) -> None:
        """Starts the process of a router as the deploy file says."""
        with router.log.open("ab") as log:
            router.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "yuccatally",
                "node",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "YUCCATALLY_NODE_FILE": str(router.settings),
                },
                stdout=log,
                stderr=log,
            )
        self.record.write(f"router {router.name} started pid={router.pid}")

    async def wait_ready(self, router: Router, timeout_s: float = 20.0) -> None:
        """Waits until a router answers that it is ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.probe(router):
                self.record.write(f"router {router.name} ready")
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{router.name} is not ready")

    async def probe(self, router: Router) -> bool:
        """Returns whether a router answers within a second that it is ready."""
        try:
            async with self.session.get(
                f"http://{router.ready}/readyz",
                timeout=aiohttp.ClientTimeout(total=1),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def kill(self, router: Router, number: int = signal.SIGKILL) -> None:
        """Ends a router that this case started."""
        process = router.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(number)
        await process.wait()

    def is_running(self, router: Router) -> bool:
        """Returns whether the process of a router runs."""
        return router.process is not None and router.process.returncode is None

    async def send(
        self,
        router: Router,
        target: str,
        attempt: str,
        method: str = "POST",
        headers: dict[str, str] | None = None,
        body: bytes = b"prompt",
        deadline_ms: int = 3000,
        timeout_s: float = 8.0,
        session: aiohttp.ClientSession | None = None,
    ) -> Answer:
        """Sends a request and reads its answer.

        Without a session of its own it is sent on a new connection.
        """
        sent = {
            "Host": path_site.HOST,
            "Api-Key": path_site.API_KEY,
            "Yuccatally-Attempt-Id": attempt,
            "Yuccatally-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        answer = Answer()
        started_at = time.monotonic()
        try:
            async with (session or self.session).request(
                method,
                f"http://{router.callers}{target}",
                headers=sent,
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                answer.status = response.status
                answer.headers = {
                    n.lower(): v for n, v in response.headers.items()
                }
                async for part in response.content.iter_any():
                    answer.body += part
                answer.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer.error = type(error).__name__
        answer.took_s = time.monotonic() - started_at
        return answer


def run(folder: pathlib.Path, main, trouble: bool) -> None:
    """Runs a case and exits with its verdict.

    Args:
        folder: Folder of the case.
        main: Coroutine function that gets the record, the deployment and
            whether the disruption is to happen; returns whether the rule held.
        trouble: Whether the disruption is to happen.
    """
    # Ends the routers as well if the case itself is ended.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record(folder)
    record.write(f"trouble={int(trouble)}")

    async def guarded() -> bool:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(115):
                await deployment.open()
                return await main(record, deployment, trouble)
        finally:
            keep = os.environ.get("KEEP_LOGS")
            for router in deployment.routers:
                if keep and router.log.exists():
                    shutil.copy(router.log, keep)
            await deployment.close()

    try:
        held = asyncio.run(guarded())
    except Exception as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record.write("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
