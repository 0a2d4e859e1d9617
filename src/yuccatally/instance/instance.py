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
from yuccatally.callers import responses
from yuccatally.core.config import configuration
from yuccatally.core.requests import ledger
from yuccatally.core.requests import outcomes
from yuccatally.instance import claims
from yuccatally.instance import control
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

ADDRESS_KEEP_S = 2.0
MEMBERS_REFRESH_S = 1.0

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
            self._on_config_change,
        )
        self.control = control.Control(
            settings.instance.name, store, self.config, self._live_names
        )
        self.members: tuple[client.Member, ...] = ()
        self.leaving = False
        self.drained = asyncio.Event()
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
                    callers_application.application(self),
                    self.settings.callers,
                    self.settings.limits,
                    self.settings.limits.body_bytes,
                    self._on_connection_refused,
                ),
                servers.Listener(
                    operators_application.application(self),
                    self.settings.operators,
                    self.settings.limits,
                    operators_application.BODY_BYTES,
                    self._on_connection_refused,
                ),
            ]
            self._spawn(self.watch.run())
            self._spawn(self._refresh_members())
            self._spawn(self.control.run(self.session))
            served = [asyncio.create_task(x.serve()) for x in listeners]
            _log.info("started", callers=self.settings.callers.address)
            await self.drained.wait()
            for listener in listeners:
                listener.stop()
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

    def instances_for_callers(self) -> dict[str, Any]:
        """Returns the addresses a caller should use, best first."""
        here = self.settings.instance.data_centre
        usable = [m for m in self.members if not m.leaving]
        usable.sort(key=lambda m: (m.data_centre != here, m.name))
        return {
            "instances": [
                {
                    "name": m.name,
                    "address": m.callers_address,
                    "data_centre": m.data_centre,
                }
                for m in usable
            ],
            "keep_s": ADDRESS_KEEP_S,
        }

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
            "control": {
                name: dataclasses.asdict(progress)
                for name, progress in self.control.progress.items()
            },
        }

    def start_drain(self) -> None:
        """Starts a graceful shutdown; repeated calls change nothing."""
        if not self.leaving:
            self.leaving = True
            self._spawn(self._drain())

    async def _drain(self) -> None:
        _log.info("draining", in_flight=len(self.ledger.in_flight))
        await asyncio.sleep(ADDRESS_KEEP_S)
        # A poll keeps the ledger free of I/O.
        while self.ledger.in_flight or self._settling():  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        self.drained.set()

    def _live_names(self) -> list[str]:
        return [m.name for m in self.members if not m.leaving]

    def _settling(self) -> bool:
        return bool(self.claims.workers)

    async def _settle(self, service: str, change: book.Change) -> None:
        try:
            await self.claims.apply(service, change)
        except claims.ClaimError as error:
            _log.warning("claim_not_settled", error=str(error))

    async def _refresh_members(self) -> None:
        while True:
            with contextlib.suppress(Exception):
                self.members = await self.store.members()
            await asyncio.sleep(MEMBERS_REFRESH_S)

    def _on_connection_refused(self, reason: str) -> None:
        self.metrics.count("connections_refused", reason)

    def _on_config_change(self) -> None:
        for connection in self.generations.reconcile(self.session):
            self._spawn(connection.close())

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self._on_background_end)

    def _on_background_end(self, task: asyncio.Task[Any]) -> None:
        self.background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task_failed", exc_info=task.exception())

    async def _close(self) -> None:
        for connection in self.generations.connections.values():
            await connection.close()
        for task in list(self.background):
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.control.give_up()
        await self.store.close()
