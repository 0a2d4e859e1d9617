"""One instance: the core and the adapters round it."""

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
from yuccatally.callers import gate
from yuccatally.callers import responses
from yuccatally.core.config import configuration
from yuccatally.core.requests import ledger
from yuccatally.core.requests import outcomes
from yuccatally.instance import claims
from yuccatally.instance import drain
from yuccatally.instance import fleet
from yuccatally.instance import generations
from yuccatally.instance import servers
from yuccatally.instance import watch
from yuccatally.operators import application as operators_application
from yuccatally.store import http as http_store
from yuccatally.store import once
from yuccatally.telemetry import metrics
from yuccatally.telemetry import traces

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterator

    from starlette import responses as http

    from yuccatally.core.claims import book
    from yuccatally.core.objects import kinds
    from yuccatally.settings import settings as settings_module
    from yuccatally.store import client

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
        self.tracer = traces.tracer(self.traces, settings.instance.name)
        self.claims = claims.ClaimWriter(store)
        self.generations = generations.Generations(
            self.config, self.tracer, self.metrics
        )
        self.watch = watch.ConfigWatch(
            store,
            self.config,
            settings.platform.watch_wait_s,
            self._on_platform_change,
            has_role=lambda: self.fleet.agent.is_watcher(),
            first_wait_s=watch.PEERS_FIRST_S,
        )
        self.fleet = fleet.Fleet(
            settings,
            store,
            self.config,
            self.watch,
            lambda: len(self.ledger.in_flight),
        )
        self.drain = drain.Drain(self.fleet.leave, self._busy)
        self.background: set[asyncio.Task[Any]] = set()
        self.next_request = 0
        self.boot = os.urandom(4).hex()
        self.session: aiohttp.ClientSession

    @classmethod
    def from_config(cls, settings: settings_module.Settings) -> Instance:
        """Builds an instance that uses the platform over HTTP."""
        store = http_store.HttpStore(f"http://{settings.platform.address}")
        return cls(settings, store)

    async def run(self) -> None:
        """Serves until a drain has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, middlewares=(once.send_once,)
        ) as self.session:
            listeners = [
                servers.Listener(
                    gate.Gate(callers_application.application(self), self),
                    self.settings.callers.address,
                ),
                servers.Listener(
                    operators_application.application(self),
                    self.settings.operators.address,
                ),
            ]
            self._spawn(self.watch.run())
            self.fleet.start()
            self.drain.listeners = listeners[:1]
            served = [asyncio.create_task(x.serve()) for x in listeners]
            _log.info("started", callers=self.settings.callers.address)
            await self.drain.done.wait()
            await asyncio.gather(*(x.stop() for x in listeners))
            await asyncio.gather(*served)
            await self._close()
        _log.info("stopped")

    def accept(self) -> str:
        """Records a new request and returns its id."""
        self.next_request += 1
        name = self.settings.instance.name
        request = f"{name}-{self.boot}-{self.next_request:x}"
        self.ledger.accept(request, time.monotonic())
        return request

    def finish(self, request: str, outcome: outcomes.Outcome) -> None:
        """Records the outcome of a request."""
        started = self.ledger.in_flight[request]
        self.ledger.finish(request, outcome)
        elapsed_s = time.monotonic() - started
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
        self.metrics.count("refusals", str(refusal.reason))
        self.finish(request, refusal.outcome)
        return responses.refused(request, refusal)

    @contextlib.contextmanager
    def span(
        self, name: str, request: str, **attributes: str
    ) -> Iterator[None]:
        """Records a span of a request."""
        merged = {"request": request, **attributes}
        with self.tracer.start_as_current_span(name, attributes=merged):
            yield

    def settle_later(self, service: str, change: book.Change) -> None:
        """Writes a settlement or release without delaying the answer."""
        self._spawn(self._settle(service, change))

    def service_address(self, service: kinds.Object, attempt: int) -> str:
        """Returns the address to use for an attempt."""
        addresses = service.spec.addresses
        return addresses[(self.next_request + attempt) % len(addresses)]

    @property
    def leaving(self) -> bool:
        """Whether the shutdown has been announced."""
        return self.drain.leaving

    @property
    def members(self) -> tuple[client.Member, ...]:
        """All instances that are not dead, with this one."""
        return self.fleet.members()

    def status(self) -> dict[str, Any]:
        """Returns the state of this instance for operators."""
        totals = self.ledger.totals()
        engines = {
            name: dataclasses.asdict(view)
            for name, view in self.generations.view().items()
        }
        return {
            "instance": self.settings.instance.name,
            "data_centre": self.settings.instance.data_centre,
            "leaving": self.leaving,
            "revision": self.config.revision,
            "requests": dataclasses.asdict(totals),
            "balanced": totals.balanced,
            "engines": engines,
            "fleet": self.fleet.status(),
        }

    def start_drain(self) -> None:
        """Starts a graceful shutdown; repeated calls change nothing."""
        if not self.leaving:
            self._spawn(self.drain.run())

    def _busy(self) -> int:
        return len(self.ledger.in_flight) + len(self.claims.workers)

    async def _settle(self, service: str, change: book.Change) -> None:
        try:
            await self.claims.apply(service, change)
        except claims.ClaimError as error:
            _log.warning("claim_not_settled", error=str(error))

    def _on_platform_change(self, from_peer: bool) -> None:
        if not from_peer:
            self.fleet.config_changed()
        for connection in self.generations.reconcile(self.session):
            self._spawn(connection.close())

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _close(self) -> None:
        for connection in self.generations.connections.values():
            await connection.close()
        for task in list(self.background):
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.fleet.close()
        await self.store.close()
