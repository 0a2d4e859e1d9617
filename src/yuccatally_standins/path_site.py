"""A small site with the platform's formats, in one process."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from aiohttp import web
import yarl

from yuccatally.core.forwarding import instance_settings
from yuccatally.forwarding import node
from yuccatally_standins import object_store
from yuccatally_standins import path_engine
from yuccatally_standins import site as site_module

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = "site.example"
API_KEY = "key-1"
STREAM_TIMEOUT_MS = 4000
CALL_TIMEOUT_MS = 1500


@dataclasses.dataclass
class Site:
    """Store, engines, services and instances of a site.

    Attributes:
        store: Simulated metadata store.
        store_address: Address of the store.
        session: Client session that sends the requests.
        engines: Engines and services by name.
        instances: Instances in the order of their start.
        tasks: Tasks that run the instances.
        engines_by_address: Engines and services by address.
    """

    store: object_store.ObjectStore
    store_address: str
    session: aiohttp.ClientSession
    engines: dict[str, path_engine.PathEngine] = dataclasses.field(
        default_factory=dict
    )
    instances: list[node.Node] = dataclasses.field(default_factory=list)
    tasks: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)
    engines_by_address: dict[str, path_engine.PathEngine] = dataclasses.field(
        default_factory=dict
    )

    async def add_engine(
        self, name: str, card: str = "big", events: int = 6, **options: str
    ) -> path_engine.PathEngine:
        """Starts an engine, or a service without a card, and publishes it."""
        service = "model" if card else "desk"
        engine = path_engine.PathEngine(
            self.engines_by_address,
            name,
            service,
            card,
            events=events,
            **options,
        )
        await engine.start()
        self.engines[name] = engine
        await self.publish_entry(engine)
        return engine

    async def publish_entry(
        self, engine: path_engine.PathEngine, state: str = "ready"
    ) -> None:
        """Writes the entry of an engine to the store."""
        await self.store.set("servers", engine.name, engine.entry(state))

    async def publish_configuration(self, version: int, **changes: Any) -> None:
        """Writes a configuration with changed fields to the store."""
        spec = {**configuration(version), **changes}
        await self.store.set("config", "main", spec)

    async def start_instance(
        self,
        name: str = "n1",
        data_centre: str = "north",
        shares_load: bool = False,
    ) -> node.Node:
        """Starts an instance and waits until it has applied its rules."""
        seeds = tuple(i.settings.listen.peers for i in self.instances)
        started = node.Node.from_config(
            instance_settings.InstanceSettings(
                name=name,
                data_centre=data_centre,
                region="r",
                regions={data_centre: "r"},
                listen=instance_settings.ListenAddresses(
                    *(_free_address() for _ in range(4))
                ),
                seeds=seeds,
                store=self.store_address,
                metrics=_free_address(),
                shares_load=shares_load,
                bounds=instance_settings.Bounds(
                    grace_s=3.0, fences_enforced=True
                ),
            )
        )
        self.instances.append(started)
        self.tasks.append(asyncio.create_task(started.run()))
        await until(lambda: started.state.rules is not None)
        return started

    async def send_request(
        self,
        target: str,
        attempt: str = "a1",
        method: str = "POST",
        headers: dict[str, str] | None = None,
        at: node.Node | None = None,
        deadline_ms: int = 3000,
        sent_body: bytes = b"prompt",
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request; returns the status, the headers and the body.

        A body whose connection broke ends in ``!``.
        """
        at = at or self.instances[0]
        sent_headers = {
            "Host": HOST,
            "Api-Key": API_KEY,
            "Yuccatally-Attempt-Id": attempt,
            "Yuccatally-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        url = f"http://{at.settings.listen.callers}{target}"
        body = b""
        async with self.session.request(
            method,
            yarl.URL(url, encoded=True),
            headers=sent_headers,
            data=sent_body,
        ) as response:
            received = {n.lower(): v for n, v in response.headers.items()}
            try:
                async for chunk in response.content.iter_any():
                    body += chunk
            except aiohttp.ClientPayloadError:
                body += b"!"
            return response.status, received, body

    async def stop(self) -> None:
        """Stops instances and engines.

        Raises:
            BaseException: The failure that ended an instance.
        """
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for started in self.instances:
            if started.failure is not None:
                raise started.failure
        for engine in self.engines.values():
            await engine.stop()


def configuration(version: int) -> dict[str, Any]:
    """Returns a configuration in the format of the platform."""
    common = {"host": HOST, "sloMs": 500, "priority": 1, "anonymous": False}
    return {
        "version": version,
        "routes": [
            {
                **common,
                "name": "ask",
                "pathPrefix": "/ask/",
                "routeKind": "streaming",
                "timeoutMs": STREAM_TIMEOUT_MS,
                "service": "model",
                "maxAttempts": 2,
                "resumable": True,
                "gapTargetMs": 200,
            },
            {
                **common,
                "name": "book",
                "pathPrefix": "/book/",
                "routeKind": "non_idempotent",
                "timeoutMs": CALL_TIMEOUT_MS,
                "service": "desk",
                "maxAttempts": 1,
            },
            {
                **common,
                "name": "stock",
                "pathPrefix": "/stock/",
                "routeKind": "idempotent",
                "timeoutMs": CALL_TIMEOUT_MS,
                "service": "desk",
                "maxAttempts": 2,
            },
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 64},
            {
                "name": "model",
                "healthPath": "/healthz",
                "maxConnections": 64,
                "engine": {
                    "slots": 8,
                    "layers": 4,
                    "layerMb": 100.0,
                    "kvBytes": 4000,
                    "step_ms": 1.0,
                    "per_seq_ms": 0.01,
                    "context_per_k": 0.01,
                    "read_per_s": 100_000,
                    "activationBytes": 1000,
                    "linkMbps": 1000.0,
                    "pipeMbps": 1000.0,
                    "loads_at_once": 4,
                    "usual": {"prompt": 100, "answer": 50},
                    "models": [{"name": "m", "loadS": 0.1}],
                    "kinds": [
                        {
                            "name": "big",
                            "sizeMb": 600.0,
                            "pace": 1.0,
                            "readFactor": 1.0,
                        }
                    ],
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 4096,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 5000,
        },
        "tenants": [{"name": "desk-one", "apiKeys": [API_KEY], "priority": 1}],
    }


async def until(condition: Any, timeout_s: float = 10.0) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def run_store() -> AsyncIterator[tuple[object_store.ObjectStore, str]]:
    """Runs a store and yields it with its address."""
    store = object_store.ObjectStore()
    runner = web.AppRunner(store.application(), shutdown_timeout=0.1)
    await runner.setup()
    listener = web.TCPSite(runner, "127.0.0.1", 0)
    await listener.start()
    host, port = runner.addresses[0][:2]
    try:
        yield store, f"{host}:{port}"
    finally:
        await runner.cleanup()


def _free_address() -> str:
    return f"127.0.0.1:{site_module.free_port()}"
