"""Instances that forward requests by the decisions of the core."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import retries
from yuccatally.core.forwarding import rules
from yuccatally.forwarding import detection
from yuccatally.forwarding import streams
from yuccatally_bench.emulation import pipeline as pipeline_module

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from yuccatally_bench.emulation import clock as clock_module
    from yuccatally_bench.emulation import experiment
    from yuccatally_bench.emulation import placement

# Time from an instance to an engine and back, and to find a refusal.
ROUND_TRIP_S = 0.003
# Bound on repeated sends, as the users' sites set it.
RETRY_SHARE, RETRY_WINDOW_S = 0.2, 10.0
# Upstreams that one request may be sent to.
ATTEMPTS = 2


@dataclasses.dataclass
class Request:
    """A request and what its client has seen.

    Attributes:
        kind: Class of the request.
        prompt: Prompt tokens.
        answer: Tokens of the whole answer.
        arrived_at: Time at which the client first sent it.
        tried: Paths that were tried.
        progress: Upstreams that may have run it.
        events: Events that the client has.
        waits_since: Time since which it waits for a path with room.
        returned: Whether it was refused once before.
        done: Whether it has ended, with any outcome.
    """

    kind: experiment.Class
    prompt: int
    answer: int
    arrived_at: float
    tried: frozenset[str] = frozenset()
    progress: attempts.AttemptCounter = dataclasses.field(
        default_factory=attempts.AttemptCounter
    )
    first_at: float | None = None
    last_at: float = 0.0
    longest_gap_s: float = 0.0
    events: int = 0
    waits_since: float | None = None
    returned: bool = False
    done: bool = False


ROUTE = rules.Route(
    "emulated",
    "h",
    "/",
    (),
    rules.RepeatPolicy.RESUMABLE_STREAM,
    timeout_s=20.0,
    objective_s=0.5,
    pause_objective_s=0.2,
    max_attempts=ATTEMPTS,
    anonymous=True,
    priority=1,
)


class Instance:
    """Takes requests and sends them over paths.

    Attributes:
        dispatcher: The chooser under test.
        running: Requests under way with their streams, by path.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        placed: placement.Placement,
        clock: clock_module.Clock,
        rng: random.Random,
        chooser: Callable[[str, random.Random], dispatch.Dispatcher],
        instances: int,
        on_refused: Callable[[Request, float], None],
        on_done: Callable[[Request, str], None],
    ) -> None:
        self.name = name
        self.placed = placed
        self.clock = clock
        self.rng = rng
        self.dispatcher = chooser(data_centre, rng)
        self.budget = retries.RetryBudget(
            RETRY_SHARE, placed.experiment.retry_reserve, RETRY_WINDOW_S
        )
        self.instances = instances
        self.on_refused = on_refused
        self.on_done = on_done
        self.running: dict[str, dict[int, _Running]] = {}
        clock.every(detection.CHECK_INTERVAL_S, self._look)

    def take(self, request: Request) -> None:
        """Takes a request of a client."""
        self.budget.record_request(self.clock.now)
        self._send(request)

    def _send(self, request: Request) -> None:
        now = self.clock.now
        tokens = request.prompt + self.placed.model.answer_tokens
        found = self.dispatcher.choose_path(
            self.placed.paths, tokens, request.tried, now
        )
        if not isinstance(found, dispatch.Path):
            self._wait(request, isinstance(found, dispatch.Full))
            return
        request.waits_since = None
        request.tried |= {found.name}
        request.progress.record_start()
        pipeline = self.placed.pipelines[found.name]
        if not pipeline.accepts(request.prompt):
            self.dispatcher.avoid(found.name, now + detection.PATH_AVOID_S)
            self.clock.after(
                ROUND_TRIP_S,
                lambda: self._on_failure(request, attempts.Refused(503)),
            )
            return
        _Running(self, request, found, pipeline, tokens)

    def _wait(self, request: Request, full: bool) -> None:
        """Looks again for a while, as ``forwarding.streams`` does."""
        now = self.clock.now
        if request.waits_since is None:
            request.waits_since = now
        until = request.waits_since
        until += streams.CAPACITY_WAIT_RATIO * request.kind.objective_s
        if request.progress.run_count:
            until = request.last_at or request.arrived_at
            until += streams.RESUME_TIMEOUT_S
            if now - request.waits_since >= streams.SAME_PATH_DELAY_S:
                request.tried = frozenset()
        if now >= until:
            request.waits_since = None
            self._end_without_path(request, full)
        else:
            self.clock.after(
                streams.CAPACITY_POLL_S, lambda: self._send(request)
            )

    def on_failure(self, request: Request) -> None:
        """Goes on after a stream that broke off."""
        self._on_failure(request, attempts.NoResponse("broken off"))

    def _on_failure(self, request: Request, failure: attempts.Failure) -> None:
        now = self.clock.now
        request.progress.record_failure(failure)
        left_s = request.arrived_at + request.kind.deadline_s - now
        step = attempts.next_action(
            failure,
            request.progress,
            ROUTE,
            left_s,
            lambda: self.budget.try_spend(now, self.instances),
        )
        match step:
            case attempts.SendAgain():
                self._send(request)
            case attempts.Refuse(retry_after_s=retry_after_s):
                self._refuse(request, retry_after_s)
            case _:
                self.on_done(request, "failed")

    def _end_without_path(self, request: Request, full: bool) -> None:
        left_s = request.arrived_at + request.kind.deadline_s - self.clock.now
        after_s = attempts.retry_delay_s(full, left_s, self.rng.random())
        match attempts.refuse_or_give_up(request.progress, after_s):
            case attempts.Refuse(retry_after_s=retry_after_s):
                self._refuse(request, retry_after_s)
            case _:
                self.on_done(request, "failed")

    def _refuse(self, request: Request, retry_after_s: float) -> None:
        if request.returned:
            self.on_done(request, "refused")
        else:
            self.on_refused(request, retry_after_s)

    def _look(self) -> None:
        """Moves streams off paths that have stalled."""
        now = self.clock.now
        for name in [
            n for n in self.running if self.dispatcher.is_stalled(n, now)
        ]:
            self.dispatcher.avoid(name, now + detection.PATH_AVOID_S)
            self.placed.doubt(name)
            left = self.budget.remaining(now, self.instances)
            moving = [
                r
                for r in self.running[name].values()
                if r.request.progress.run_count < ATTEMPTS
            ]
            for running in moving[:left]:
                running.move()


class _Running:
    """A request on a path."""

    def __init__(
        self,
        instance: Instance,
        request: Request,
        path: dispatch.Path,
        pipeline: pipeline_module.Pipeline,
        tokens: float,
    ) -> None:
        self.instance = instance
        self.request = request
        self.path = path
        self.pipeline = pipeline
        self.tokens = tokens
        self.begun = False
        instance.dispatcher.record_start(path.name, tokens, instance.clock.now)
        instance.running.setdefault(path.name, {})[id(request)] = self
        left = request.answer - request.events * pipeline_module.STRIDE
        self.stream = pipeline_module.Stream(
            request.prompt + request.events * pipeline_module.STRIDE,
            max(1, left),
            self.on_event,
            self.on_end,
        )
        pipeline.start(self.stream)

    def on_event(self) -> None:
        """Takes in an event of the stream."""
        now = self.instance.clock.now
        request = self.request
        self.instance.dispatcher.record_event(self.path.name, now)
        if not self.begun:
            self.begun = True
            self.instance.dispatcher.record_first_event(self.path.name)
        if request.first_at is None:
            request.first_at = now
        else:
            gap_s = now - request.last_at
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        request.last_at = now
        request.events += 1

    def on_end(self, whole: bool) -> None:
        """Takes in the end of the stream."""
        self._finish()
        if whole:
            self.instance.on_done(self.request, "served")
        else:
            self.instance.on_failure(self.request)

    def move(self) -> None:
        """Leaves the path and goes on elsewhere."""
        self.pipeline.cancel(self.stream)
        self._finish()
        self.instance.on_failure(self.request)

    def _finish(self) -> None:
        self.instance.dispatcher.record_end(
            self.path.name, self.tokens, self.begun
        )
        running = self.instance.running[self.path.name]
        del running[id(self.request)]
        if not running:
            del self.instance.running[self.path.name]
