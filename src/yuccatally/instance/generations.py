"""Runs generations over the connections to engines."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.generation import actions
from yuccatally.core.generation import generation
from yuccatally.core.requests import outcomes
from yuccatally.core.routing import router
from yuccatally.core.stages import messages
from yuccatally.upstreams import engines

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterable

    import aiohttp
    from opentelemetry import trace

    from yuccatally.core.config import configuration
    from yuccatally.core.stages import link
    from yuccatally.telemetry import metrics

ROUTE_RETRY_S = 0.05
FIRST_ROUTE_WAIT_S = 1.0  # covers a reconnect to an engine that restarted

_log = structlog.get_logger()

Emitted = actions.EmitToken | actions.Finished | actions.Failed


@dataclasses.dataclass
class _Running:
    generation: generation.Generation
    emitted: asyncio.Queue[Emitted]
    span: trace.Span | None = None


class Generations:
    """All generations in flight on one instance, and its engines.

    Implements ``engines.Receiver``.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        tracer: trace.Tracer,
        figures: metrics.Metrics,
    ) -> None:
        self.config = config
        self.tracer = tracer
        self.metrics = figures
        self.connections: dict[str, engines.EngineConnection] = {}
        self.running: dict[str, _Running] = {}
        self.waiting: dict[str, frozenset[str]] = {}
        self.retry_scheduled = False

    def reconcile(self, session: aiohttp.ClientSession) -> list[str]:
        """Connects declared engines.

        Returns:
            Names of connections whose engine is not declared any more.
        """
        declared = {o.name: o for o in self.config.of_kind("engine")}
        gone = [
            name
            for name, connection in self.connections.items()
            if name not in declared
            or declared[name].spec.address != connection.address
        ]
        for name, engine in declared.items():
            if name not in self.connections:
                self.connections[name] = engines.EngineConnection(
                    engine, session, self
                )
        return gone

    async def generate(self, job: actions.Job) -> AsyncIterator[Emitted]:
        """Yields the tokens of one answer, then how it ended.

        Args:
            job: What to generate.

        Yields:
            ``EmitToken`` for each token, then one ``Finished`` or ``Failed``.
        """
        machine = generation.Generation(job)
        entry = _Running(machine, asyncio.Queue())
        self.running[job.request] = entry
        self._route(job.request, frozenset())
        try:
            while True:
                emitted = await self._next(entry)
                yield emitted
                if not isinstance(emitted, actions.EmitToken):
                    return
        finally:
            gone = machine.refusal(
                outcomes.Reason.CALLER_GONE, "the caller closed the connection"
            )
            self._perform(machine.abandon(gone))
            self._end_attempt(entry)
            self.running.pop(job.request, None)
            self.waiting.pop(job.request, None)

    def on_sent(self, engine: str, step: messages.Step) -> None:
        """See ``engines.Receiver``."""
        self.metrics.count("step_frames")
        self.metrics.count("step_items", amount=len(step.items))
        for item in step.items:
            entry = self.running.get(item.request)
            if entry is not None:
                entry.generation.on_sent(item.attempt)

    def on_matched(
        self, engine: str, matched: tuple[link.Matched, ...]
    ) -> None:
        """See ``engines.Receiver``."""
        for match in matched:
            entry = self.running.get(match.item.request)
            if entry is None:
                continue
            machine = entry.generation
            if isinstance(match.result, messages.StepOutput):
                self._perform(machine.on_output(match.item, match.result))
            else:
                _log.info(
                    "step_refused",
                    request=match.item.request,
                    engine=engine,
                    reason=match.result.reason,
                )
                self._perform(machine.on_refusal(match.item, match.result))

    def on_connected(self, engine: str) -> None:
        """See ``engines.Receiver``."""
        _log.info("engine_connected", engine=engine)
        self._retry_waiting()

    def on_disconnected(self, engine: str, reason: str) -> None:
        """See ``engines.Receiver``."""
        _log.warning("engine_disconnected", engine=engine, reason=reason)
        for request in list(self.connections[engine].sequences):
            entry = self.running.get(request)
            if entry is not None:
                self._perform(entry.generation.on_failure(engine))

    def view(self) -> dict[str, router.EngineView]:
        """Returns the state of each engine for routing."""
        return {
            name: router.EngineView(
                connected=c.opened is not None,
                outstanding=c.opened.link.outstanding if c.opened else 0,
                sequences=len(c.sequences),
            )
            for name, c in self.connections.items()
        }

    async def _next(self, entry: _Running) -> Emitted:
        job = entry.generation.job
        wait_s = job.deadline - time.monotonic()
        if entry.generation.attempt == 0:
            wait_s = min(wait_s, FIRST_ROUTE_WAIT_S)
        try:
            async with asyncio.timeout(wait_s):
                return await entry.emitted.get()
        except TimeoutError:
            self._perform(entry.generation.abandon(_late(entry.generation)))
            return await entry.emitted.get()

    def _perform(self, wanted: Iterable[actions.Action]) -> None:
        for action in wanted:
            match action:
                case actions.SubmitStep(engine=engine, item=item):
                    self._submit(engine, item)
                case actions.ReleaseAttempt():
                    connection = self.connections.get(action.engine)
                    if connection is not None:
                        connection.release(action.request, action.attempt)
                case actions.NeedRoute(request=request, excluded=excluded):
                    self.metrics.count("attempts_abandoned")
                    self._end_attempt(self.running[request])
                    self._route(request, excluded)
                case (
                    actions.EmitToken() | actions.Finished() | actions.Failed()
                ):
                    self.running[action.request].emitted.put_nowait(action)
                case actions.Dropped(request=request, reason=reason):
                    self.metrics.count("results_dropped")
                    _log.info("result_dropped", request=request, reason=reason)

    def _submit(self, engine: str, item: messages.StepItem) -> None:
        connection = self.connections.get(engine)
        if connection is None or not connection.submit(item):
            machine = self.running[item.request].generation
            self._perform(machine.on_failure(engine))

    def _route(self, request: str, excluded: frozenset[str]) -> None:
        entry = self.running[request]
        job = entry.generation.job
        route = router.choose(
            job.model, job.version, self.config, self.view(), excluded
        )
        if route is None:
            self.waiting[request] = excluded
            self._schedule_retry()
            return
        self.waiting.pop(request, None)
        for hop in route.hops:
            self.connections[hop.engine].sequences.add(request)
        entry.span = self.tracer.start_span(
            "attempt",
            attributes={
                "request": request,
                "attempt": entry.generation.attempt + 1,
                "pipeline": route.pipeline,
                "engines": ",".join(h.engine for h in route.hops),
            },
        )
        self._perform(entry.generation.start(route))

    def _end_attempt(self, entry: _Running) -> None:
        request = entry.generation.job.request
        for connection in self.connections.values():
            connection.sequences.discard(request)
        if entry.span is not None:
            entry.span.set_attribute("tokens", len(entry.generation.tokens))
            entry.span.end()
            entry.span = None

    def _schedule_retry(self) -> None:
        if not self.retry_scheduled:
            self.retry_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(ROUTE_RETRY_S, self._retry_waiting)

    def _retry_waiting(self) -> None:
        self.retry_scheduled = False
        # Engines excluded at the first try may be used again after a wait.
        for request in list(self.waiting):
            if request in self.running:
                self._route(request, frozenset())


def _late(machine: generation.Generation) -> outcomes.Refusal:
    if machine.state is generation.State.WAITING:
        message = f"no whole pipeline of model {machine.job.model!r} is up"
        return machine.refusal(outcomes.Reason.NO_ROUTE, message)
    return machine.refusal(outcomes.Reason.DEADLINE, "the deadline passed")
