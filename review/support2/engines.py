"""Stand-ins for engines: plain services and model engines."""

from __future__ import annotations

import asyncio
import json
import time

import http11

HOST = "desk.example"


class Engine:
    """A plain service, or a model engine that can hold all layers.

    It follows the platform's pages: it checks the instance that a request
    expects, signs and echoes, takes orders with fences, reports, and answers
    with events on streaming routes. ``runs`` lists what it ran.
    """

    def __init__(self, store, record, name, service, card="", **options):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.card = card
        self.zone = options.get("zone", "cascadia-a")
        self.slots = options.get("slots", 96)
        self.work_s = options.get("work_s", 0.02)
        self.event_s = options.get("event_s", 0.02)
        self.events = options.get("events", 6)
        self.server = http11.Server(self._handle)
        self.born = int(time.time() * 1e3)
        self.layers = None
        self.sequence = 0
        self.fence = 0
        self.runs = []
        self.running = 0
        self.begun = set()
        self.is_up = False

    async def start(self, port=0):
        self.server = http11.Server(self._handle)
        await self.server.start(port)
        self.is_up = True
        self.publish()

    def publish(self, state="ready"):
        spec = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.card:
            spec["routeKind"] = self.card
            spec["stage"] = "combined"
            spec["models"] = [{"name": "m0", "version": 1, "adapters": []}]
            spec["layers"] = self._layers()
        self.store.write("servers", self.name, spec)

    async def crash(self):
        """Ends as a killed process does: connections reset, port closed."""
        self.is_up = False
        self.record(
            f"engine {self.name} crashes with {self.running} requests"
        )
        await self.server.abort()

    def _layers(self):
        if self.layers is None:
            return None
        return {"from": self.layers[0], "target": self.layers[1], "version": 1}

    async def _handle(self, request):
        if request.path == "/report" and self.card:
            return self._report()
        if request.path == "/order" and self.card:
            return self._order(json.loads(request.body))
        attempt = request.headers.get("yuccatally-attempt-id", "")
        expected = request.headers.get("yuccatally-expect-instance", self.name)
        if expected != self.name:
            return http11.Response(
                421, {"Yuccatally-Instance-Id": self.name}
            )
        if request.path == "/healthz":
            return http11.Response(200, {"Yuccatally-Instance-Id": self.name})
        if not attempt:
            return http11.Response(400, {"Yuccatally-Not-Executed": "1"})
        if self.running >= self.slots:
            return http11.Response(
                503,
                {
                    "Yuccatally-Attempt-Id": attempt,
                    "Yuccatally-Not-Executed": "1",
                },
            )
        return await self._run(request, attempt)

    async def _run(self, request, attempt):
        self.running += 1
        self.runs.append(request)
        tenant = request.headers.get("yuccatally-tenant", "-")
        self.record(
            f"run   {attempt} at {self.name}: {request.method} "
            f"{request.target} tenant={tenant} body={request.body[:60]!r}"
        )
        try:
            await asyncio.sleep(self.work_s)
            if self.card:
                return await self._stream(request, attempt)
            return http11.Response(
                200,
                {
                    "Yuccatally-Attempt-Id": attempt,
                    "Yuccatally-Server-Signature": f"sig.{self.name}.{attempt}",
                    "Content-Type": "text/plain",
                },
                b"done " + attempt.encode(),
            )
        finally:
            self.running -= 1

    async def _stream(self, request, attempt):
        writer = request.writer
        lines = [
            "HTTP/1.1 200 OK",
            f"Yuccatally-Attempt-Id: {attempt}",
            f"Yuccatally-Server-Signature: sig.{self.name}.{attempt}",
            "Yuccatally-Weight-Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(request.headers.get("last-event-id", "0") or 0) + 1
        for number in range(first, self.events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _report(self):
        body = {
            "stage": "combined",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "busy": False,
            "born": self.born,
            "sequence": self.sequence,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 1000000,
            "handles": 0,
            "pace": 1.0,
            "layers": self._layers(),
            "routeKind": self.card,
            "stalled": [],
        }
        return _json(200, body)

    def _order(self, order):
        if order["operation"] != "place":
            return _json(404, {})
        if order.get("fencingToken", 0) < self.fence:
            return _json(412, {})
        self.fence = order.get("fencingToken", 0)
        layers = (order["from"], order["target"])
        if self.layers == layers:
            return _json(200, {})
        if order.get("expected", self.sequence) != self.sequence:
            return _json(409, {})
        self.sequence += 1
        self.layers = layers
        self.record(f"order {self.name} holds layers {layers}")
        self.publish()
        return _json(202, {})


def _json(status, body):
    return http11.Response(
        status, {"Content-Type": "application/json"}, json.dumps(body).encode()
    )


def route(name, prefix, kind, service, **fields):
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": 1500,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
        **fields,
    }


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 110}


def model_service(name):
    """Returns a service whose engines can hold the whole model."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 978,
        "engine": {
            "slots": 96,
            "layers": 4,
            "layerMb": 100.0,
            "kvBytes": 4000,
            "step_ms": 0.85,
            "per_seq_ms": 0.01,
            "context_per_k": 0.01,
            "read_per_s": 272000,
            "activationBytes": 1000,
            "linkMbps": 1000.0,
            "pipeMbps": 6500.0,
            "loads_at_once": 4,
            "usual": {"prompt": 800, "answer": 150},
            "models": [{"name": "m0", "loadS": 0.1}],
            "kinds": [
                {
                    "name": "a100s",
                    "sizeMb": 36000.0,
                    "pace": 1.0,
                    "readFactor": 1.0,
                }
            ],
        },
    }


def configuration(version, routes, services, tenants):
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }
