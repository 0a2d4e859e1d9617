"""Runs generations over the connections to engines."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.generation import actions
from yuccatally.core.generation import budget
from yuccatally.core.generation import generation
from yuccatally.core.requests import outcomes
from yuccatally.core.routing import router
from yuccatally.core.stages import messages
from yuccatally.instance import paths
from yuccatally.instance import spans
from yuccatally.upstreams import engines
from yuccatally.upstreams import kv

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Callable
    from collections.abc import Iterable

    import aiohttp
    from opentelemetry import trace

    from yuccatally.core.config import configuration
    from yuccatally.core.stages import link
    from yuccatally.telemetry import metrics

ROUTE_RETRY_S = 0.05
LATE_IMPORT_S = 3.0
FIRST_ROUTE_WAIT_S = 1.0  # covers a reconnect to an engine that restarted

_log = structlog.get_logger()
_WAITING = generation.State.WAITING

Emitted = actions.EmitToken | actions.Finished | actions.Failed


@dataclasses.dataclass
class _Running:
    """One generation in flight.

    Attributes:
        generation: Its state machine.
        emitted: What the caller has not taken; the machine bounds it.
        spans: Its spans.
        timers: Deadlines to cancel at the end.
        failed_at: When an attempt was lost without a token since.
        started_at: When the current attempt started.
        excluded: Engines that the next route must not use.
    """

    generation: generation.Generation
    emitted: asyncio.Queue[Emitted]
    spans: spans.SpanRecorder
    timers: list[asyncio.TimerHandle] = dataclasses.field(default_factory=list)
    failed_at: float | None = None
    started_at: float = 0.0
    excluded: frozenset[str] = frozenset()


class GenerationRunner:
    """All generations in flight on one instance, and its engines.

    Implements ``engines.Receiver``.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        tracer: trace.Tracer,
        figures: metrics.Metrics,
        chosen: paths.PathSelector | None = None,
    ) -> None:
        self.config = config
        self.paths = chosen or paths.PathSelector(config)
        self.tracer = tracer
        self.metrics = figures
        self.connections: dict[str, engines.EngineConnection] = {}
        self.running: dict[str, _Running] = {}
        self.waiting: dict[str, frozenset[str]] = {}
        self.budget = budget.RetryBudget()
        self.imports: set[asyncio.Task[None]] = set()
        self.retry_scheduled = False

    def reconcile(
        self, session: aiohttp.ClientSession
    ) -> list[engines.EngineConnection]:
        """Connects declared engines.

        Returns:
            Connections whose engine is not declared any more or has moved to
            another address; the caller closes them.
        """
        declared = {o.name: o for o in self.config.of_kind("engine")}
        gone = [
            self.connections.pop(name)
            for name, connection in list(self.connections.items())
            if name not in declared
            or declared[name].spec.address != connection.address
        ]
        for name, engine in declared.items():
            if name not in self.connections:
                self.connections[name] = engines.EngineConnection(
                    engine, session, self
                )
        return gone

    async def generate(self, job: actions.Job) -> AsyncGenerator[Emitted]:
        """Yields the tokens of one answer, then how it ended.

        A token counts as taken when the next one is asked for; a caller that
        does not ask pauses its own generation.

        Args:
            job: What to generate.

        Yields:
            ``EmitToken`` for each token, then one ``Finished`` or ``Failed``.
        """
        machine = generation.Generation(job)
        recorder = spans.SpanRecorder(self.tracer, job.request)
        entry = _Running(machine, asyncio.Queue(), recorder)
        self.running[job.request] = entry
        self._set_timers(entry)
        try:
            self._try(job.request, frozenset())
            while True:
                emitted = await entry.emitted.get()
                yield emitted
                if not isinstance(emitted, actions.EmitToken):
                    return
                self._perform(machine.on_consumed())
        finally:
            gone = machine.refusal(
                outcomes.Reason.CALLER_GONE, "the caller closed the connection"
            )
            self._perform(machine.abandon(gone))
            self._forget(entry)

    def on_sent(self, engine: str, step: messages.Step) -> None:
        """See ``engines.Receiver``."""
        self.metrics.count("step_frames")
        self.metrics.count("step_items", amount=len(step.items))
        for item in step.items:
            entry = self.running.get(item.request)
            if entry is not None:
                entry.generation.on_sent(item.attempt)

    def on_matched(
        self, engine: str, matched: tuple[link.MatchedResult, ...]
    ) -> None:
        """See ``engines.Receiver``."""
        for match in matched:
            entry = self.running.get(match.item.request)
            if entry is None or entry.generation.stage_of(match.item) is None:
                self._drop_late(engine, match)
                continue
            entry.spans.on_result(match.item)
            machine = entry.generation
            if isinstance(match.result, messages.StepOutput):
                self.paths.on_result(engine, match.item)
                self._perform(machine.on_output(match.item, match.result))
            else:
                self.paths.on_refusal(engine)
                _log.info(
                    "step_refused",
                    request=match.item.request,
                    engine=engine,
                    reason=match.result.reason,
                )
                self._perform(machine.on_refusal(match.item, match.result))

    def on_unmatched(self, engine: str, count: int) -> None:
        """See ``engines.Receiver``."""
        self.metrics.count("results_dropped", amount=count)
        _log.info("result_dropped", engine=engine, count=count)

    def on_connected(self, engine: str) -> None:
        """See ``engines.Receiver``."""
        _log.info("engine_connected", engine=engine)
        self.paths.on_connected(engine)
        self._retry_waiting()

    def on_disconnected(self, engine: str, lost: engines.Disconnection) -> None:
        """See ``engines.Receiver``."""
        _log.warning(
            "engine_disconnected",
            engine=engine,
            reason=lost.reason,
            sequences=len(lost.sequences),
        )
        self.metrics.count("engine_failures", lost.reason)
        self.paths.on_disconnected(engine)
        if lost.progress_at:
            detected_s = time.monotonic() - lost.progress_at
            self.metrics.observe("recovery_detection", detected_s)
        for request in lost.sequences:
            entry = self.running.get(request)
            if entry is not None:
                self._perform(entry.generation.on_failure(engine))

    def on_report(
        self, engine: str, load: messages.LoadReport, measured_at: float
    ) -> None:
        """See ``engines.Receiver``."""
        self.paths.on_report(engine, load, measured_at)

    def on_cache(self, engine: str, events: messages.CacheEvents) -> None:
        """See ``engines.Receiver``."""
        self.paths.on_cache(self.connections[engine], events)

    def engine_statuses(self) -> dict[str, router.EngineStatus]:
        """Returns the state of each engine for routing."""
        return {
            name: router.EngineStatus(
                connected=c.usable,
                outstanding=c.opened.link.outstanding if c.opened else 0,
                sequences=len(c.sequences),
            )
            for name, c in self.connections.items()
        }

    def _set_timers(self, entry: _Running) -> None:
        loop = asyncio.get_running_loop()
        left_s = max(0.0, entry.generation.job.deadline - time.monotonic())

        def if_not_started() -> None:
            if entry.generation.attempt == 0:
                self._give_up(entry)

        waits: list[tuple[float, Callable[[], None]]] = [
            (left_s, lambda: self._give_up(entry)),
            (min(left_s, FIRST_ROUTE_WAIT_S), if_not_started),
        ]
        entry.timers = [loop.call_later(s, call) for s, call in waits]

    def _give_up(self, entry: _Running) -> None:
        machine = entry.generation
        self._perform(machine.abandon(_late(machine)))
        self._end_attempt(entry, "deadline")

    def _forget(self, entry: _Running) -> None:
        request = entry.generation.job.request
        for timer in entry.timers:
            timer.cancel()
        self._end_attempt(entry, "end")
        self.running.pop(request, None)
        self.waiting.pop(request, None)
        self._settle(request)

    def _perform(self, wanted: Iterable[actions.Action]) -> None:
        for action in wanted:
            match action:
                case actions.SubmitStep(engine=engine, item=item):
                    self._submit(engine, item)
                case actions.ReleaseAttempt():
                    self._release(action.engine, action.request, action.attempt)
                case actions.ImportState():
                    task = asyncio.create_task(self._import(action))
                    self.imports.add(task)
                    task.add_done_callback(self.imports.discard)
                case actions.NeedPath():
                    self._need_route(action)
                case actions.EmitToken():
                    self._on_token(action)
                case actions.Finished() | actions.Failed():
                    self.paths.on_over(
                        self.running[action.request].generation, action
                    )
                    self.running[action.request].emitted.put_nowait(action)
                case actions.ResultDropped(request=request, reason=reason):
                    self.metrics.count("results_dropped")
                    _log.info("result_dropped", request=request, reason=reason)

    def _submit(self, engine: str, item: messages.StepItem) -> None:
        entry = self.running[item.request]
        # An action before this one may have ended the attempt.
        if entry.generation.stage_of(item) is None:
            return
        entry.spans.on_submit(item)
        self.paths.on_queued(item)
        connection = self.connections.get(engine)
        if connection is None or not connection.submit(item):
            self._perform(entry.generation.on_failure(engine))

    def _release(self, engine: str, request: str, attempt: int) -> None:
        connection = self.connections.get(engine)
        if connection is not None:
            connection.release(request, attempt)

    def _drop_late(self, engine: str, match: link.MatchedResult) -> None:
        item = match.item
        self.metrics.count("results_dropped", "late")
        _log.info("result_late", request=item.request, attempt=item.attempt)
        # The step ran after the attempt was released, so the engine may hold
        # its state again.
        if isinstance(match.result, messages.StepOutput):
            self._release(engine, item.request, item.attempt)

    async def _import(self, wanted: actions.ImportState) -> None:
        source = self.connections.get(wanted.source)
        target = self.connections.get(wanted.target)
        succeeded = False
        if source is not None and target is not None:
            succeeded = await kv.import_state(
                target.session, wanted, source.address, target.address
            )
        self.metrics.count("state_imports", "ok" if succeeded else "failed")
        if not succeeded:
            # A paused engine may carry the import out after its release.
            asyncio.get_running_loop().call_later(
                LATE_IMPORT_S,
                self._release,
                wanted.target,
                wanted.request,
                wanted.attempt,
            )
        entry = self.running.get(wanted.request)
        if entry is None:
            for engine, attempt in (
                (wanted.source, wanted.source_attempt),
                (wanted.target, wanted.attempt),
            ):
                self._release(engine, wanted.request, attempt)
            return
        self._perform(entry.generation.on_imported(wanted, succeeded))

    def _on_token(self, action: actions.EmitToken) -> None:
        entry = self.running[action.request]
        self._settle(action.request)
        entry.emitted.put_nowait(action)
        if entry.failed_at is not None:
            now = time.monotonic()
            self.metrics.observe("recovery", now - entry.failed_at)
            self.metrics.observe("recovery_prefill", now - entry.started_at)
            entry.failed_at = None

    def _need_route(self, need: actions.NeedPath) -> None:
        entry = self.running[need.request]
        self.metrics.count("attempts_abandoned")
        self._end_attempt(entry, "abandoned")
        self._settle(need.request)
        if entry.failed_at is None:
            entry.failed_at = time.monotonic()
        if not need.delay_s:
            self._try(need.request, need.excluded)
            return
        delay_s = need.delay_s * (0.5 + random.random())
        asyncio.get_running_loop().call_later(
            delay_s, self._try, need.request, need.excluded
        )

    def _try(self, request: str, excluded: frozenset[str]) -> None:
        """Starts an attempt if the budget and the engines allow it."""
        entry = self.running.get(request)
        if entry is None or entry.generation.state is not _WAITING:
            return
        machine = entry.generation
        job = machine.job
        entry.excluded = excluded
        self.waiting.pop(request, None)
        if machine.attempt and not self.budget.try_admit(
            request, job.priority, len(machine.known_tokens)
        ):
            return
        route = self.paths.choose(machine, excluded)
        if route is None:
            self.waiting[request] = excluded
            self._settle(request)
            self._schedule_retry()
            return
        usable = {
            name
            for name, c in self.connections.items()
            if c.usable and name not in excluded
        }
        self._start(entry, machine.prefer_previous_engines(route, usable))

    def _start(self, entry: _Running, route: actions.Path) -> None:
        machine = entry.generation
        if entry.failed_at is not None:
            waited_s = time.monotonic() - entry.failed_at
            self.metrics.observe("recovery_choice", waited_s)
            tokens = len(machine.known_tokens)
            self.metrics.count("recovery_prefill_tokens", amount=tokens)
        for hop in route.hops:
            self.connections[hop.engine].sequences.add(machine.job.request)
        entry.started_at = time.monotonic()
        self.paths.start(machine, route)
        entry.spans.start_attempt(machine.attempt + 1, route)
        self._perform(machine.start(route))

    def _end_attempt(self, entry: _Running, reason: str) -> None:
        machine = entry.generation
        for hop in machine.last_path.hops if machine.last_path else ():
            connection = self.connections.get(hop.engine)
            if connection is not None:
                connection.sequences.discard(machine.job.request)
        self.paths.on_attempt_end(machine.job.request)
        entry.spans.end_attempt(len(machine.tokens), reason)

    def _settle(self, request: str) -> None:
        """Returns a request's share of the retry budget."""
        self.budget.remove(request)
        for admitted in self.budget.admit_waiting():
            entry = self.running.get(admitted)
            if entry is None:
                self.budget.remove(admitted)
            else:
                self._try(admitted, entry.excluded)

    def _schedule_retry(self) -> None:
        if not self.retry_scheduled:
            self.retry_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(ROUTE_RETRY_S, self._retry_waiting)

    def _retry_waiting(self) -> None:
        self.retry_scheduled = False
        # Engines excluded at the first try may be used again after a wait.
        for request in list(self.waiting):
            self._try(request, frozenset())


def _late(machine: generation.Generation) -> outcomes.Refusal:
    if machine.state is generation.State.WAITING:
        message = f"no whole pipeline of model {machine.job.model!r} is up"
        return machine.refusal(outcomes.Reason.NO_ROUTE, message)
    return machine.refusal(outcomes.Reason.DEADLINE, "the deadline passed")
