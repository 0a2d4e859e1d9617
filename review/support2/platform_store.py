"""Stand-in for the platform: its store and its starts of processes."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

import http11

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 40.0
PAGE_COUNT = 500
# Below the range from which systems take the ports of outgoing connections.
PORTS = (20_000, 32_000)
_given_ports = set()

SETTINGS = """\
nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge","control","directory"]
ip = "127.0.0.1"
zone = "{zone}"
region = "cascadia"
internalPorts = [{metrics},{metrics}]
seeds = [{seeds}]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","platform","layers"]
[zones]
cascadia-a = "cascadia"
cascadia-b = "cascadia"
[listen]
frontend = "127.0.0.1:{frontend}"
ready = "127.0.0.1:{ready}"
controlPlane = "127.0.0.1:{control}"
directoryService = "127.0.0.1:{directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = {grace_s}
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
outerBoundMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryHeadroom = {headroom}
recoveryS = 12
passMs = 120
retryAfterS = 0
stall_ms = 2000
fencingEnforced = true
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


def free_port():
    """Returns a port that is free and that no outgoing connection takes."""
    while True:
        port = random.randrange(*PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class Store:
    """The metadata store: objects, conditions, lists and watches.

    Each machine reaches it at a port of its own, so that the store can turn
    single machines away: their calls get 503, and nothing is done.
    """

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.turned_away = set()
        self.servers = {}

    async def open(self, machine):
        server = http11.Server(lambda r: self._handle(machine, r))
        await server.start()
        self.servers[machine] = server
        return server.address

    def turn_away(self, machine):
        """Answers all calls of a machine with 503, waiting ones too."""
        self.turned_away.add(machine)
        self._wake()

    def admit(self, machine):
        self.turned_away.discard(machine)

    def write(self, kind, name, spec):
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": int(time.time()),
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = stored
        self.history.append((self.revision, kind, stored, False))
        self._wake()
        return stored

    def remove(self, kind, name):
        self.revision += 1
        stored = dict(self.objects.pop((kind, name)))
        stored["metadata"] = {**stored["metadata"], "revision": self.revision}
        self.history.append((self.revision, kind, stored, True))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, machine, request):
        if machine in self.turned_away:
            return self._respond(503, {})
        parts = request.path.strip("/").split("/")
        kind, name = parts[1], "/".join(parts[2:])
        body = json.loads(request.body) if request.body else {}
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(machine, kind, request.query)
        if request.method == "GET" and not name:
            return self._list(kind, request.query.get("after", ""))
        if request.method == "GET":
            stored = self.objects.get((kind, name))
            return self._respond(200 if stored else 404, stored or {})
        if request.method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return self._respond(409, self.objects[kind, name])
            return self._respond(200, self.write(kind, name, body["spec"]))
        stored = self.objects.get((kind, name))
        if stored is None:
            return self._respond(404, {})
        given = body.get("metadata", {}).get("revision")
        given = request.query.get("revision", given)
        if given is not None and int(given) != stored["metadata"]["revision"]:
            return self._respond(409, stored)
        if request.method == "PUT":
            return self._respond(200, self.write(kind, name, body["spec"]))
        self.remove(kind, name)
        return self._respond(200, {})

    def _list(self, kind, after):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, n] for n in names[:PAGE_COUNT]]
        return self._respond(
            200,
            {
                "items": items,
                "hasMore": len(names) > PAGE_COUNT,
                "at": self.revision,
            },
        )

    async def _watch(self, machine, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query["waitMs"]) / 1e3
        if since > self.revision:
            return self._respond(410, {})
        while True:
            if machine in self.turned_away:
                return self._respond(503, {})
            events = [
                {"object": o, "deleted": d}
                for r, k, o, d in self.history
                if k == kind and r > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return self._respond(
                    200, {"events": events, "at": self.revision}
                )
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _respond(self, status, body):
        return http11.Response(
            status,
            {"Content-Type": "application/json", "Store-Era": "0"},
            json.dumps(body).encode(),
        )


class Machine:
    """A machine of the system and the process that runs on it."""

    def __init__(self, name, zone, folder, store_address, seeds, bounds):
        self.name = name
        self.zone = zone
        self.file = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process = None
        self.ports = {
            n: free_port()
            for n in ("frontend", "ready", "control", "directory", "metrics")
        }
        self.store_address = store_address
        self.seeds = seeds
        self.bounds = {"grace_s": 8, "headroom": 200, **bounds}

    @property
    def frontend(self):
        return f"127.0.0.1:{self.ports['frontend']}"

    @property
    def control(self):
        return f"127.0.0.1:{self.ports['control']}"

    def write_settings(self, **bounds):
        self.bounds.update(bounds)
        seeds = ",".join(f'"{s}"' for s in self.seeds)
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            store=self.store_address,
            seeds=seeds,
            **self.ports,
            **self.bounds,
        )
        temporary = self.file.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.file)

    def start(self):
        """Starts the process with the command of the deploy file."""
        environment = {
            n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["YUCCATALLY_NODE_FILE"] = str(self.file)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "yuccatally", "node"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self):
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise SetupError(f"{self.name} ended: {self.process.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise SetupError(f"{self.name} is not ready")

    async def is_ready(self):
        request = http11.encode_request("GET", "/readyz", [("Host", "r")])
        address = f"127.0.0.1:{self.ports['ready']}"
        try:
            return (await http11.exchange(address, request, 1.0)).status == 200
        except (OSError, TimeoutError, http11.BrokenError):
            return False

    async def resolve(self):
        target = f"/resolve?name=x&region=cascadia&zone={self.zone}"
        request = http11.encode_request("GET", target, [("Host", "r")])
        address = f"127.0.0.1:{self.ports['directory']}"
        response = await http11.exchange(address, request, 1.0)
        return json.loads(response.body)["addresses"]

    def peak_memory_mb(self):
        """Returns the peak of the resident memory of the process."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) // 1024
        return 0

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class SetupError(Exception):
    """The case cannot run."""


class Deployment:
    """Machines with a store, in a temporary folder; ends what it started."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.machines = []
        self.folder = None

    async def __aenter__(self):
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        return self

    async def __aexit__(self, *exception):
        for machine in self.machines:
            machine.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for machine in self.machines:
                target = pathlib.Path(keep) / machine.log.name
                target.write_bytes(machine.log.read_bytes())
        self.temporary.cleanup()

    async def add_machine(self, name, zone="cascadia-a", **bounds):
        address = await self.store.open(name)
        seeds = [m.control for m in self.machines[:3]]
        machine = Machine(name, zone, self.folder, address, seeds, bounds)
        self.machines.append(machine)
        machine.write_settings()
        return machine


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, file):
        self.file = pathlib.Path(file).open("w")
        self.started_at = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.started_at
