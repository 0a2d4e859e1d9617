"""Process of one instance on the users' platform and its life cycle."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import time
from typing import TYPE_CHECKING

import aiohttp
import structlog

from yuccatally.core import held_bytes
from yuccatally.core.forwarding import draining
from yuccatally.forwarding import application
from yuccatally.forwarding import calls
from yuccatally.forwarding import control
from yuccatally.forwarding import detection
from yuccatally.forwarding import fleet
from yuccatally.forwarding import operators
from yuccatally.forwarding import registration
from yuccatally.forwarding import rerouting
from yuccatally.forwarding import state
from yuccatally.forwarding import store_sync
from yuccatally.forwarding import streams
from yuccatally.instance import clients as clients_module
from yuccatally.instance import protocol
from yuccatally.instance import servers
from yuccatally.platform import endpoints
from yuccatally.platform import statements
from yuccatally.platform import store as platform_store
from yuccatally.settings import settings as settings_module
from yuccatally.store import connectors
from yuccatally.store import middlewares
from yuccatally.telemetry import metrics
from yuccatally.upstreams import exchange

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from aiohttp import client_middlewares

    from yuccatally.core.forwarding import instance_settings
    from yuccatally.core.forwarding import rules

# Callers cache addresses for this long, and some for three times as long.
DIRECTORY_TTL_S = 1.0
# Time to write the last answers of a drain. It and the closing of connections
# fit into the margin of ``draining``.
FINAL_ANSWER_S = 0.15
# Short compared with the duration of a response.
DRAIN_POLL_S = 0.05
# Idle connections are kept well beyond the idle timeout that clients use, so
# that none is closed while a request is in transit.
IDLE_FACTOR = 2.0
# Longer than the timeout of any route, so that the route's timeout ends a
# request.
BODY_TIMEOUT_S = 30.0
# Clients themselves close a stream after a pause of a few seconds.
WRITE_TIMEOUT_S = 10.0
# Below the 4,100 file descriptors of the smallest machines, which leaves enough
# for connections to upstreams.
MAX_CONNECTION_COUNT = 3000

_log = structlog.get_logger()


class Node:
    """An instance, its components and their tasks.

    Attributes:
        state: State that the components share.
        stopping: Set when a drain starts.
        leaving_at: Monotonic time at which a drain started; 0 before.
        failure: Error with which a component has ended; None without one.
    """

    def __init__(self, settings: instance_settings.InstanceSettings) -> None:
        self.settings = settings
        self.state = state.InstanceState(settings)
        self.store = platform_store.PlatformStore(settings.store)
        self.fleet = fleet.Fleet(self.state)
        self.registration = registration.Registration(self.fleet, self.store)
        self.fleet.on_removed = self.registration.remove
        self.metrics = metrics.Metrics()
        self.clients = clients_module.Clients(
            clients_module.MachineLimits(
                settings.memory_bytes, settings.descriptor_count
            )
        )
        self.stopping = asyncio.Event()
        self.leaving_at = 0.0
        self.failure: BaseException | None = None
        self.tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(cls, settings: instance_settings.InstanceSettings) -> Node:
        """Returns an instance for settings without opening any sockets."""
        return cls(settings)

    def reload(self, settings: instance_settings.InstanceSettings) -> None:
        """Applies changed bounds and seeds; other changes need a restart."""
        previous = self.state.settings
        if settings == previous:
            return
        merged = dataclasses.replace(
            previous, bounds=settings.bounds, seeds=settings.seeds
        )
        if dataclasses.replace(
            settings, bounds=previous.bounds, seeds=previous.seeds
        ) != dataclasses.replace(
            previous, bounds=previous.bounds, seeds=previous.seeds
        ):
            _log.warning("settings_need_restart")
        self.settings = self.state.settings = merged
        for budget in self.state.retry_budgets.values():
            budget.set_limits(
                merged.bounds.retry_share,
                merged.bounds.retry_reserve,
                merged.bounds.retry_window_s,
            )
        _log.info("settings_reloaded", bounds=str(settings.bounds))

    def start_drain(self) -> None:
        """Starts a graceful shutdown; further calls have no effect."""
        if not self.state.leaving:
            self.leaving_at = time.monotonic()
            self.state.leaving = True
            _log.info(
                "draining",
                in_flight=self.state.in_flight,
                grace_s=self.settings.bounds.grace_s,
            )
            self.stopping.set()

    async def run(self) -> None:
        """Runs the instance until a drain is complete."""
        # uvicorn logs an error for responses that are aborted on purpose; these
        # are already logged with the request.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        _log.info("starting", name=self.settings.name)
        upstream_client = exchange.UpstreamClient(
            (self._read_statements(True),)
        )
        session = aiohttp.ClientSession(
            connector=connectors.UnusedDataConnector(),
            middlewares=(
                self._read_statements(False),
                middlewares.send_at_most_once,
            ),
        )
        try:
            listeners = self._open(upstream_client, session)
            await self.stopping.wait()
            await self._drain(listeners)
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            await upstream_client.close()
            await session.close()
            await self.fleet.close()
            await self.store.close()
        _log.info("stopped", in_flight=self.state.in_flight)

    def _read_statements(
        self, requests_only: bool
    ) -> client_middlewares.ClientMiddlewareType:
        return statements.create_middleware(
            self.state.registry.entries.get,
            self.state.apply_statement,
            requests_only,
        )

    def _open(
        self,
        upstream_client: exchange.UpstreamClient,
        session: aiohttp.ClientSession,
    ) -> list[servers.Listener]:
        """Starts all components and returns the listeners."""
        self.control = control.Control(
            self.state, self.fleet, self.store, session
        )
        detector = detection.FaultDetector(self.state, self.fleet)
        forwarder = streams.StreamForwarder(
            self.state,
            upstream_client,
            detector.record_failure,
            self.fleet.rate_limiter,
        )
        detector.abandon = forwarder.abandon
        self.fleet.crash_reports.on_quarantined = forwarder.withdraw
        rerouter = rerouting.Rerouter(self.state, forwarder, session)
        detector.reroute = lambda path: self.fleet.spawn(rerouter.run(path))
        self.application = application.Application(
            self.state,
            forwarder,
            calls.CallForwarder(
                self.state,
                upstream_client,
                detector.record_failure,
                self.fleet.rate_limiter,
            ),
            self.metrics,
        )
        listeners = self._listeners()
        self.watches = store_sync.StoreSync(
            self.state,
            self.fleet,
            self.store,
            self.control,
            self.registration,
        ).watches
        self.fleet.open()
        for work in (
            self.fleet.run(),
            *((self.fleet.rooms.run(),) if self.settings.shares_load else ()),
            self.registration.run(),
            self.control.keep_lease(),
            self.control.run(),
            detector.run(),
            *(watch.run() for watch in self.watches),
            *(listener.serve() for listener in listeners),
        ):
            self._start(work)
        return listeners

    async def _drain(self, listeners: list[servers.Listener]) -> None:
        """Serves until no more requests are expected and none is in flight."""
        drain = draining.Drain.from_config(
            self.leaving_at, self.settings.bounds.grace_s
        )
        self.application.start_drain(drain)
        # These calls may last as long as the drain if the store is silent.
        for work in (self.fleet.notify_relays(), self.control.release_lease()):
            self.fleet.spawn(work)
        await asyncio.sleep(drain.refuses_at - time.monotonic())
        stops_at = drain.ends_at - servers.FIRST_REQUEST_GRACE_S
        await self._until_idle(listeners, stops_at)
        for listener in listeners:
            listener.close_idle()
        # A request that has just been accepted is still answered.
        await asyncio.gather(*(listener.stop() for listener in listeners))
        await self._until_idle(listeners, drain.ends_at + FINAL_ANSWER_S)

    async def _until_idle(
        self, listeners: list[servers.Listener], ends_at: float
    ) -> None:
        """Waits until all answers are sent, or until a time."""

        def is_busy() -> bool:
            return self.state.in_flight > 0 or any(
                listener.has_unsent_data for listener in listeners
            )

        # Polling keeps the request counter free of synchronization.
        while is_busy() and time.monotonic() < ends_at:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_S)

    def _listeners(self) -> list[servers.Listener]:
        listen = self.settings.listen
        callers = self._listener(
            self.application, listen.callers, clients_module.CALLERS_SHARE
        )

        def apply_limits(new_rules: rules.Rules) -> None:
            callers.apply_limits(
                _connection_limits(new_rules.limits),
                new_rules.limits.idle_s * IDLE_FACTOR,
            )

        self.state.rules_callbacks.append(apply_limits)
        directory = endpoints.directory_application(
            self.fleet.caller_addresses,
            min(DIRECTORY_TTL_S, self.settings.bounds.directory_ttl_s),
        )
        readiness = endpoints.readiness_application(
            lambda: self.state.rules is not None and not self.state.leaving
        )
        listeners = [
            callers,
            self._listener(
                directory, listen.directory, clients_module.DIRECTORY_SHARE
            ),
            self._listener(readiness, listen.readiness),
        ]
        if self.settings.metrics:
            operator_endpoints = operators.OperatorEndpoints(
                self.state, self.fleet, self.metrics_text
            )
            operator_endpoints.open()
            listeners.append(
                self._listener(
                    operator_endpoints.application(), self.settings.metrics
                )
            )
        return listeners

    def _listener(
        self,
        app: Callable[..., Any],
        address: str,
        share: float = clients_module.INTERNAL_SHARE,
    ) -> servers.Listener:
        return servers.Listener(
            app,
            settings_module.ListenerSettings(address),
            settings_module.LimitsSettings(),
            settings_module.LimitsSettings().body_bytes,
            self._count_refused_connection,
            self.clients,
            share,
        )

    def metrics_text(self) -> str:
        """Returns the metrics, with counters read from the current state."""
        for service, budget in self.state.retry_budgets.items():
            key = ("retries_refused", service)
            self.metrics.counters[key] = budget.refused_count
        waiting = self.state.waiting
        for service, queue in waiting.queues.items():
            for reason, count in queue.refusal_counts.items():
                key = ("waiting_refused", f"{service} {reason}")
                self.metrics.counters[key] = count
        self.metrics.gauges.clear()
        for service, status in waiting.status(time.monotonic()):
            label = f"{service} {status.urgency}"
            self.metrics.gauges["waiting_requests", label] = status.requests
            self.metrics.gauges["longest_wait_seconds", label] = (
                status.longest_wait_s
            )
        self.metrics.counters[("store_calls", "")] = self.store.call_count
        self.metrics.counters[("responses_discarded", "")] = (
            held_bytes.PROCESS.discarded_count
        )
        self.metrics.counters[("prompts_quarantined", "")] = (
            self.state.quarantine.total_count
        )
        paces = self.state.dispatcher.paces
        if paces is not None:
            self.metrics.gauges["servers_paced", ""] = len(paces.paces)
            self.metrics.gauges["pace_limit", ""] = paces.limit_sum
            self.metrics.gauges["pace_outstanding", ""] = paces.own_sum
        return self.metrics.prometheus_text()

    def _count_refused_connection(self, reason: str) -> None:
        self.metrics.count("connections_refused", reason)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Starts a drain if a component has failed."""
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _log.error("task_failed", exc_info=error)
            self.failure = error
            self.start_drain()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._handle_task_end)
        self.tasks.append(task)


def _connection_limits(limits: rules.Limits) -> protocol.ConnectionLimits:
    return protocol.ConnectionLimits(
        header_bytes=limits.header_bytes,
        header_timeout_s=limits.header_timeout_s,
        body_bytes=limits.body_bytes,
        body_timeout_s=BODY_TIMEOUT_S,
        write_timeout_s=WRITE_TIMEOUT_S,
        max_connections=MAX_CONNECTION_COUNT,
    )
