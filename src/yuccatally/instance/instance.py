"""One instance: the core and its adapters."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import time
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import structlog

from yuccatally.callers import application as callers_application
from yuccatally.callers import availability
from yuccatally.callers import responses
from yuccatally.core.config import configuration
from yuccatally.core.requests import ledger
from yuccatally.core.requests import outcomes
from yuccatally.core.requests import trail
from yuccatally.core.routing import router
from yuccatally.instance import admissions
from yuccatally.instance import claims
from yuccatally.instance import clients as clients_module
from yuccatally.instance import control
from yuccatally.instance import drain
from yuccatally.instance import fleet
from yuccatally.instance import generations
from yuccatally.instance import paths
from yuccatally.instance import servers
from yuccatally.instance import services
from yuccatally.instance import trails
from yuccatally.instance import usage
from yuccatally.instance import watch
from yuccatally.operators import application as operators_application
from yuccatally.store import connectors
from yuccatally.store import http as http_store
from yuccatally.store import middlewares
from yuccatally.telemetry import metrics
from yuccatally.telemetry import traces

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterator

    from opentelemetry import trace
    from starlette import responses as http

    from yuccatally.settings import settings as settings_module
    from yuccatally.store import client

# Longest wait for settlements at the end of a drain, needed if the platform is
# unavailable. A duplicate of a call whose settlement was not stored gets
# "unknown" instead of the stored answer.
SETTLE_TIMEOUT_S = 60.0

_log = structlog.get_logger()


class Instance:
    """State and connections of one instance."""

    def __init__(
        self, settings: settings_module.Settings, store: client.StoreClient
    ) -> None:
        self.settings = settings
        self.store = store
        self.config = configuration.Configuration()
        self.ledger = ledger.Ledger()
        self.metrics = metrics.Metrics()
        self.traces = traces.TraceBuffer()
        self.trail = trail.Trail(settings.instance.name)
        self.trails = trails.TrailReplicator(self.trail, self.metrics)
        self.tracer = traces.create_tracer(
            self.traces, self.trail, settings.instance.name
        )
        self.claims = claims.ClaimWriter(store)
        self.services = services.ServiceCaller(self.tracer, self.metrics)
        self.paths = paths.PathSelector(
            self.config,
            router.Options(
                settings.routing.policy,
                settings.routing.demand,
                settings.routing.limits,
            ),
        )
        self.admissions = admissions.AdmissionQueue(
            self.paths, self.metrics, settings.routing.queue
        )
        self.generations = generations.GenerationRunner(
            self.config, self.tracer, self.metrics, self.paths
        )
        self.watch = watch.ConfigWatch(
            store,
            self.config,
            settings.platform.watch_wait_s,
            self._on_platform_change,
            is_watcher=lambda: self.fleet.agent.is_watcher(),
            peer_wait_s=watch.PEER_SNAPSHOT_WAIT_S,
        )
        self.fleet = fleet.Fleet(
            settings,
            store,
            self.config,
            self.watch,
            lambda: len(self.ledger.in_flight),
        )
        self.usage = usage.UsageExchange(
            settings.instance.name,
            self.admissions.admission.limits,
            self.fleet.transport,
            self.fleet.members,
        )
        self.trails.peers = trails.FleetPeers(self.fleet, self.trail)
        self.control = control.PlacementController(
            settings.instance.name, store, self.config, self._serving_instances
        )
        self.drain = drain.Drain(self.fleet.leave, self._in_flight_count)
        self.background_tasks: set[asyncio.Task[Any]] = set()
        self.next_request = 0
        self.boot_id = os.urandom(4).hex()
        self.session: aiohttp.ClientSession

    @classmethod
    def from_config(cls, settings: settings_module.Settings) -> Instance:
        """Creates an instance that uses the platform over HTTP."""
        store = http_store.HttpStore(f"http://{settings.platform.address}")
        return cls(settings, store)

    async def run(self) -> None:
        """Serves until a drain is complete."""
        connector = connectors.CheckedConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, middlewares=(middlewares.send_at_most_once,)
        ) as self.session:
            clients = clients_module.Clients(
                clients_module.MachineLimits(self.settings.limits.memory_bytes)
            )
            listeners = [
                servers.Listener(
                    availability.AvailabilityMiddleware(
                        callers_application.create_application(self), self
                    ),
                    self.settings.callers,
                    self.settings.limits,
                    self.settings.limits.body_bytes,
                    self._on_connection_refused,
                    clients,
                ),
                servers.Listener(
                    operators_application.create_application(self),
                    self.settings.operators,
                    self.settings.limits,
                    operators_application.MAX_BODY_BYTES,
                    self._on_connection_refused,
                    clients,
                    clients_module.DIRECTORY_SHARE,
                ),
            ]
            self.spawn(self.watch.run())
            self.fleet.start()
            self.spawn(self.usage.run())
            self.spawn(self.control.run(self.session))
            self.drain.listeners = listeners[:1]
            self.spawn(self.trails.run())
            serve_tasks = [asyncio.create_task(x.serve()) for x in listeners]
            _log.info("started", callers=self.settings.callers.address)
            await self.drain.done.wait()
            await self._flush_claims()
            await asyncio.gather(*(x.stop() for x in listeners))
            await asyncio.gather(*serve_tasks)
            await self._close()
        _log.info("stopped")

    def accept(self) -> str:
        """Records a new request and returns its id."""
        self.next_request += 1
        name = self.settings.instance.name
        request = f"{name}-{self.boot_id}-{self.next_request:x}"
        self.ledger.accept(request, time.monotonic())
        self.trail.add(request, trail.Step.ACCEPTED, time.time())
        return request

    def finish(self, request: str, outcome: outcomes.Outcome) -> None:
        """Records the outcome of a request."""
        lifecycle = self.ledger.finish(request, outcome)
        self.admissions.remove(request)
        elapsed_s = time.monotonic() - lifecycle.accepted_at
        self.metrics.observe("request", elapsed_s)
        with self.span("outcome", request, outcome=str(outcome)):
            _log.info(
                "request_ended",
                request=request,
                outcome=str(outcome),
                elapsed_s=round(elapsed_s, 4),
            )

    def answer(self, request: str, body: Any) -> http.Response:
        """Ends a request with a JSON answer."""
        self.finish(request, outcomes.Outcome.ANSWERED)
        return responses.json_response(request, outcomes.Outcome.ANSWERED, body)

    def refuse(self, request: str, refusal: outcomes.Refusal) -> http.Response:
        """Ends a request with a refusal."""
        self.finish(request, refusal.outcome)
        self.metrics.count("refusals", str(refusal.reason))
        return responses.refusal_response(request, refusal)

    @contextlib.contextmanager
    def span(
        self, name: str, request: str, **attributes: str
    ) -> Iterator[trace.Span]:
        """Records a span of a request."""
        span_attributes = {"request": request, **attributes}
        with self.tracer.start_as_current_span(
            name, attributes=span_attributes
        ) as span:
            yield span

    def end_unfinished(self, request: str) -> None:
        """Ends a request that an error or a disconnect left without outcome."""
        lifecycle = self.ledger.in_flight.get(request)
        if lifecycle is not None:
            self.metrics.count("unfinished_requests")
            self.finish(request, lifecycle.unfinished_outcome())

    @property
    def leaving(self) -> bool:
        """Whether the shutdown has been announced."""
        return self.drain.leaving

    @property
    def members(self) -> tuple[client.Member, ...]:
        """All instances that have not failed, this one included."""
        return self.fleet.members()

    def status(self) -> dict[str, Any]:
        """Returns the state of this instance for operators."""
        totals = self.ledger.totals()
        engines = {
            name: dataclasses.asdict(status)
            for name, status in self.generations.engine_statuses().items()
        }
        return {
            "instance": self.settings.instance.name,
            "data_centre": self.settings.instance.data_centre,
            "leaving": self.leaving,
            "revision": self.config.revision,
            "requests": dataclasses.asdict(totals),
            "balanced": totals.balanced,
            "engines": engines,
            "control": {
                name: dataclasses.asdict(status)
                for name, status in self.control.statuses.items()
            },
            "fleet": self.fleet.status(),
        }

    def start_drain(self) -> None:
        """Starts a graceful shutdown; repeated calls have no effect."""
        if not self.leaving:
            self.spawn(self.drain.run())

    def _in_flight_count(self) -> int:
        return len(self.ledger.in_flight)

    async def _flush_claims(self) -> None:
        unsettled = await self.claims.flush(SETTLE_TIMEOUT_S)
        if unsettled:
            _log.error("claims_not_settled", count=unsettled)
        await self.trails.copy_pending()

    def _serving_instances(self) -> list[str]:
        return [m.name for m in self.members if not m.leaving]

    def _on_connection_refused(self, reason: str) -> None:
        self.metrics.count("connections_refused", reason)

    def _on_platform_change(self, from_peer: bool) -> None:
        if not from_peer:
            self.fleet.publish_config_change()
        for connection in self.generations.reconcile_connections(self.session):
            self.spawn(connection.close())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs work in the background, beyond the end of its request."""
        task = asyncio.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self._on_background_done)
        return task

    def _on_background_done(self, task: asyncio.Task[Any]) -> None:
        self.background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task_failed", exc_info=task.exception())

    async def _close(self) -> None:
        for connection in self.generations.connections.values():
            await connection.close()
        for task in list(self.background_tasks):
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        await self.control.release_leases()
        await self.claims.close()
        await self.services.close()
        await self.fleet.close()
        await self.store.close()
