"""Runs generations on the engines of their paths."""

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

PATH_RETRY_INTERVAL_S = 0.05
LATE_IMPORT_DELAY_S = 3.0
FIRST_PATH_TIMEOUT_S = 1.0  # allows a reconnect to an engine that restarted

_log = structlog.get_logger()
_WAITING = generation.State.WAITING

GenerationEvent = actions.EmitToken | actions.Finished | actions.Failed


@dataclasses.dataclass
class _ActiveGeneration:
    """One generation in flight.

    Attributes:
        generation: State machine.
        events: Events that the caller has not consumed; the state machine
            bounds their number.
        spans: Recorder of the spans.
        timers: Timers to cancel at the end.
        failed_at: Monotonic time of the first failure since the last token;
            None if there was none.
        started_at: Monotonic time at which the current attempt started.
        excluded: Engines that the next path must not use.
    """

    generation: generation.Generation
    events: asyncio.Queue[GenerationEvent]
    spans: spans.SpanRecorder
    timers: list[asyncio.TimerHandle] = dataclasses.field(default_factory=list)
    failed_at: float | None = None
    started_at: float = 0.0
    excluded: frozenset[str] = frozenset()


class GenerationRunner:
    """Runs all generations of one instance and connects its engines.

    Implements ``engines.EngineEventHandler``.

    Attributes:
        connections: Connections of declared engines, by name.
        running: Generations in flight, by request id.
        waiting: Requests without a path, with the engines to exclude.
        budget: Limit of the tokens that retries may prefill.
        imports: Imports of KV state in progress.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        tracer: trace.Tracer,
        instance_metrics: metrics.Metrics,
        path_selector: paths.PathSelector | None = None,
    ) -> None:
        self.config = config
        self.paths = path_selector or paths.PathSelector(config)
        self.tracer = tracer
        self.metrics = instance_metrics
        self.connections: dict[str, engines.EngineConnection] = {}
        self.running: dict[str, _ActiveGeneration] = {}
        self.waiting: dict[str, frozenset[str]] = {}
        self.budget = budget.RetryBudget()
        self.imports: set[asyncio.Task[None]] = set()
        self.retry_scheduled = False

    def reconcile_connections(
        self, session: aiohttp.ClientSession
    ) -> list[engines.EngineConnection]:
        """Connects all declared engines.

        Returns:
            Connections whose engine was removed or has another address now;
            the caller closes them.
        """
        declared = {o.name: o for o in self.config.of_kind("engine")}
        obsolete = [
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
        return obsolete

    async def generate(
        self, job: actions.Job
    ) -> AsyncGenerator[GenerationEvent]:
        """Generates one answer and yields its tokens.

        A token counts as consumed when the caller requests the next one. A
        caller that requests none pauses its own generation only.

        Args:
            job: The request.

        Yields:
            ``EmitToken`` for each token, then one ``Finished`` or ``Failed``.
        """
        machine = generation.Generation(job)
        recorder = spans.SpanRecorder(self.tracer, job.request)
        entry = _ActiveGeneration(machine, asyncio.Queue(), recorder)
        self.running[job.request] = entry
        self._set_timers(entry)
        try:
            self._try_start(job.request, frozenset())
            while True:
                event = await entry.events.get()
                yield event
                if not isinstance(event, actions.EmitToken):
                    return
                self._perform_actions(machine.on_consumed())
        finally:
            caller_gone = machine.refusal(
                outcomes.Reason.CALLER_GONE, "the caller closed the connection"
            )
            self._perform_actions(machine.abandon(caller_gone))
            self._remove(entry)

    def on_sent(self, engine: str, step: messages.Step) -> None:
        """See ``engines.EngineEventHandler``."""
        self.metrics.count("step_frames")
        self.metrics.count("step_items", amount=len(step.items))
        for item in step.items:
            entry = self.running.get(item.request)
            if entry is not None:
                entry.generation.on_sent(item.attempt)

    def on_matched(
        self, engine: str, matched: tuple[link.MatchedResult, ...]
    ) -> None:
        """See ``engines.EngineEventHandler``."""
        for match in matched:
            entry = self.running.get(match.item.request)
            if entry is None or entry.generation.stage_of(match.item) is None:
                self._release_late_result(engine, match)
                continue
            entry.spans.record_result(match.item)
            machine = entry.generation
            if isinstance(match.result, messages.StepOutput):
                self.paths.on_result(engine, match.item)
                self._perform_actions(
                    machine.on_output(match.item, match.result)
                )
            else:
                self.paths.on_refusal(engine)
                _log.info(
                    "step_refused",
                    request=match.item.request,
                    engine=engine,
                    reason=match.result.reason,
                )
                self._perform_actions(
                    machine.on_refusal(match.item, match.result)
                )

    def on_unmatched(self, engine: str, count: int) -> None:
        """See ``engines.EngineEventHandler``."""
        self.metrics.count("results_dropped", amount=count)
        _log.info("result_dropped", engine=engine, count=count)

    def on_connected(self, engine: str) -> None:
        """See ``engines.EngineEventHandler``."""
        _log.info("engine_connected", engine=engine)
        self.paths.on_connected(engine)
        self._retry_waiting()

    def on_disconnected(
        self, engine: str, disconnection: engines.Disconnection
    ) -> None:
        """See ``engines.EngineEventHandler``."""
        _log.warning(
            "engine_disconnected",
            engine=engine,
            reason=disconnection.reason,
            sequences=len(disconnection.sequences),
        )
        self.metrics.count("engine_failures", disconnection.reason)
        self.paths.on_disconnected(engine)
        if disconnection.progress_at:
            detected_s = time.monotonic() - disconnection.progress_at
            self.metrics.observe("recovery_detection", detected_s)
        for request in disconnection.sequences:
            entry = self.running.get(request)
            if entry is not None:
                self._perform_actions(entry.generation.on_failure(engine))

    def on_load_report(
        self, engine: str, report: messages.LoadReport, measured_at: float
    ) -> None:
        """See ``engines.EngineEventHandler``."""
        self.paths.on_load_report(engine, report, measured_at)

    def on_cache_events(
        self, engine: str, events: messages.CacheEvents
    ) -> None:
        """See ``engines.EngineEventHandler``."""
        self.paths.on_cache_events(self.connections[engine], events)

    def engine_statuses(self) -> dict[str, router.EngineStatus]:
        """Returns the state of each engine, for operators."""
        return {
            name: router.EngineStatus(
                connected=c.usable,
                outstanding=c.channel.link.outstanding if c.channel else 0,
                sequences=len(c.sequences),
            )
            for name, c in self.connections.items()
        }

    def _set_timers(self, entry: _ActiveGeneration) -> None:
        loop = asyncio.get_running_loop()
        remaining_s = max(0.0, entry.generation.job.deadline - time.monotonic())

        def abandon_if_not_started() -> None:
            if entry.generation.attempt == 0:
                self._abandon_at_deadline(entry)

        deadlines: list[tuple[float, Callable[[], None]]] = [
            (remaining_s, lambda: self._abandon_at_deadline(entry)),
            (min(remaining_s, FIRST_PATH_TIMEOUT_S), abandon_if_not_started),
        ]
        entry.timers = [loop.call_later(s, call) for s, call in deadlines]

    def _abandon_at_deadline(self, entry: _ActiveGeneration) -> None:
        machine = entry.generation
        self._perform_actions(machine.abandon(_deadline_refusal(machine)))
        self._end_attempt(entry, "deadline")

    def _remove(self, entry: _ActiveGeneration) -> None:
        request = entry.generation.job.request
        for timer in entry.timers:
            timer.cancel()
        self._end_attempt(entry, "end")
        self.running.pop(request, None)
        self.waiting.pop(request, None)
        self._return_budget(request)

    def _perform_actions(self, requested: Iterable[actions.Action]) -> None:
        for action in requested:
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
                    self._schedule_attempt(action)
                case actions.EmitToken():
                    self._emit_token(action)
                case actions.Finished() | actions.Failed():
                    self.paths.record_generation_end(
                        self.running[action.request].generation, action
                    )
                    self.running[action.request].events.put_nowait(action)
                case actions.ResultDropped(request=request, reason=reason):
                    self.metrics.count("results_dropped")
                    _log.info("result_dropped", request=request, reason=reason)

    def _submit(self, engine: str, item: messages.StepItem) -> None:
        entry = self.running[item.request]
        # A previous action may have ended the attempt.
        if entry.generation.stage_of(item) is None:
            return
        entry.spans.record_submit(item)
        self.paths.on_queued(item)
        connection = self.connections.get(engine)
        if connection is None or not connection.submit(item):
            self._perform_actions(entry.generation.on_failure(engine))

    def _release(self, engine: str, request: str, attempt: int) -> None:
        connection = self.connections.get(engine)
        if connection is not None:
            connection.release(request, attempt)

    def _release_late_result(
        self, engine: str, match: link.MatchedResult
    ) -> None:
        item = match.item
        self.metrics.count("results_dropped", "late")
        _log.info("result_late", request=item.request, attempt=item.attempt)
        # The step ran after the release of the attempt, so the engine may hold
        # KV state of it again.
        if isinstance(match.result, messages.StepOutput):
            self._release(engine, item.request, item.attempt)

    async def _import(self, state_import: actions.ImportState) -> None:
        source = self.connections.get(state_import.source)
        target = self.connections.get(state_import.target)
        succeeded = False
        if source is not None and target is not None:
            succeeded = await kv.import_state(
                target.session, state_import, source.address, target.address
            )
        self.metrics.count("state_imports", "ok" if succeeded else "failed")
        if not succeeded:
            # A paused engine may execute the import after the attempt was
            # released, so it is released again.
            asyncio.get_running_loop().call_later(
                LATE_IMPORT_DELAY_S,
                self._release,
                state_import.target,
                state_import.request,
                state_import.attempt,
            )
        entry = self.running.get(state_import.request)
        if entry is None:
            for engine, attempt in (
                (state_import.source, state_import.source_attempt),
                (state_import.target, state_import.attempt),
            ):
                self._release(engine, state_import.request, attempt)
            return
        self._perform_actions(
            entry.generation.on_imported(state_import, succeeded)
        )

    def _emit_token(self, action: actions.EmitToken) -> None:
        entry = self.running[action.request]
        self._return_budget(action.request)
        entry.events.put_nowait(action)
        if entry.failed_at is not None:
            now = time.monotonic()
            self.metrics.observe("recovery", now - entry.failed_at)
            self.metrics.observe("recovery_prefill", now - entry.started_at)
            entry.failed_at = None

    def _schedule_attempt(self, need: actions.NeedPath) -> None:
        entry = self.running[need.request]
        self.metrics.count("attempts_abandoned")
        self._end_attempt(entry, "abandoned")
        self._return_budget(need.request)
        if entry.failed_at is None:
            entry.failed_at = time.monotonic()
        if not need.delay_s:
            self._try_start(need.request, need.excluded)
            return
        delay_s = need.delay_s * (0.5 + random.random())
        asyncio.get_running_loop().call_later(
            delay_s, self._try_start, need.request, need.excluded
        )

    def _try_start(self, request: str, excluded: frozenset[str]) -> None:
        """Starts an attempt if the retry budget permits and a path is free."""
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
        path = self.paths.choose(machine, excluded)
        if path is None:
            self.waiting[request] = excluded
            self._return_budget(request)
            self._schedule_retry()
            return
        usable = {
            name
            for name, c in self.connections.items()
            if c.usable and name not in excluded
        }
        self._start_attempt(
            entry, machine.prefer_previous_engines(path, usable)
        )

    def _start_attempt(
        self, entry: _ActiveGeneration, path: actions.Path
    ) -> None:
        machine = entry.generation
        if entry.failed_at is not None:
            waited_s = time.monotonic() - entry.failed_at
            self.metrics.observe("recovery_choice", waited_s)
            tokens = len(machine.known_tokens)
            self.metrics.count("recovery_prefill_tokens", amount=tokens)
        for hop in path.hops:
            self.connections[hop.engine].sequences.add(machine.job.request)
        entry.started_at = time.monotonic()
        self.paths.start(machine, path)
        entry.spans.start_attempt(machine.attempt + 1, path)
        self._perform_actions(machine.start(path))

    def _end_attempt(self, entry: _ActiveGeneration, reason: str) -> None:
        machine = entry.generation
        for hop in machine.last_path.hops if machine.last_path else ():
            connection = self.connections.get(hop.engine)
            if connection is not None:
                connection.sequences.discard(machine.job.request)
        self.paths.record_attempt_end(machine.job.request)
        entry.spans.end_attempt(len(machine.tokens), reason)

    def _return_budget(self, request: str) -> None:
        """Returns the tokens of a request to the retry budget."""
        self.budget.remove(request)
        for admitted in self.budget.admit_waiting():
            entry = self.running.get(admitted)
            if entry is None:
                self.budget.remove(admitted)
            else:
                self._try_start(admitted, entry.excluded)

    def _schedule_retry(self) -> None:
        if not self.retry_scheduled:
            self.retry_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(PATH_RETRY_INTERVAL_S, self._retry_waiting)

    def _retry_waiting(self) -> None:
        self.retry_scheduled = False
        # After the delay, engines excluded at the failure may be used again.
        for request in list(self.waiting):
            self._try_start(request, frozenset())


def _deadline_refusal(machine: generation.Generation) -> outcomes.Refusal:
    if machine.state is generation.State.WAITING:
        message = f"no whole pipeline of model {machine.job.model!r} is up"
        return machine.refusal(outcomes.Reason.NO_ROUTE, message)
    return machine.refusal(outcomes.Reason.DEADLINE, "the deadline passed")
