"""Emulated instances that forward requests as the core decides."""

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

# Round trip from an instance to an engine that refuses the request.
ROUND_TRIP_S = 0.003
# Bound on retries, as the users' deployments configure it.
RETRY_RATIO, RETRY_WINDOW_S = 0.2, 10.0
# Maximum number of upstreams that one request is sent to.
MAX_ATTEMPT_COUNT = 2


@dataclasses.dataclass
class Request:
    """A request and its progress as seen by the client.

    Attributes:
        request_class: Class of the request.
        prompt_tokens: Prompt tokens.
        answer_tokens: Tokens of the complete answer.
        arrived_at: Time at which the client first sent it.
        tried_paths: Names of the paths that were tried.
        attempt_counter: Counts the upstreams that may have run it.
        first_event_at: Time of the first event, None before it.
        last_event_at: Time of the latest event.
        longest_gap_s: Longest time between two events.
        event_count: Number of events that the client has received.
        waiting_since: Start of the wait for a path with capacity.
        resubmitted: Whether the client sent it again after a refusal.
        ended: Whether it has ended, with any outcome.
    """

    request_class: experiment.RequestClass
    prompt_tokens: int
    answer_tokens: int
    arrived_at: float
    tried_paths: frozenset[str] = frozenset()
    attempt_counter: attempts.AttemptCounter = dataclasses.field(
        default_factory=attempts.AttemptCounter
    )
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    event_count: int = 0
    waiting_since: float | None = None
    resubmitted: bool = False
    ended: bool = False


ROUTING_RULE = rules.Route(
    "emulated",
    "h",
    "/",
    (),
    rules.RepeatPolicy.RESUMABLE_STREAM,
    timeout_s=20.0,
    objective_s=0.5,
    pause_objective_s=0.2,
    max_attempts=MAX_ATTEMPT_COUNT,
    anonymous=True,
    priority=1,
)


class Instance:
    """Receives requests and sends them over paths.

    Attributes:
        dispatcher: Path selection under test.
        active_attempts: Attempts under way, by path and request.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        placement: placement.Placement,
        clock: clock_module.Clock,
        rng: random.Random,
        create_dispatcher: Callable[[str, random.Random], dispatch.Dispatcher],
        instances: int,
        on_refused: Callable[[Request, float], None],
        on_ended: Callable[[Request, str], None],
    ) -> None:
        self.name = name
        self.placement = placement
        self.clock = clock
        self.rng = rng
        self.dispatcher = create_dispatcher(data_centre, rng)
        self.retry_budget = retries.RetryBudget(
            RETRY_RATIO, placement.experiment.retry_reserve, RETRY_WINDOW_S
        )
        self.instances = instances
        self.on_refused = on_refused
        self.on_ended = on_ended
        self.active_attempts: dict[str, dict[int, _Attempt]] = {}
        clock.call_every(detection.CHECK_INTERVAL_S, self._check_stalls)

    def submit(self, request: Request) -> None:
        """Receives a request of a client."""
        self.retry_budget.record_request(self.clock.now)
        self._dispatch(request)

    def _dispatch(self, request: Request) -> None:
        now = self.clock.now
        tokens = request.prompt_tokens + self.placement.model.answer_tokens
        chosen_path = self.dispatcher.choose_path(
            self.placement.paths, tokens, request.tried_paths, now
        )
        if not isinstance(chosen_path, dispatch.Path):
            self._wait_for_path(request, isinstance(chosen_path, dispatch.Full))
            return
        request.waiting_since = None
        request.tried_paths |= {chosen_path.name}
        request.attempt_counter.record_start()
        pipeline = self.placement.pipelines[chosen_path.name]
        if not pipeline.has_capacity(request.prompt_tokens):
            self.dispatcher.avoid(
                chosen_path.name, now + detection.PATH_AVOID_S
            )
            self.clock.call_after(
                ROUND_TRIP_S,
                lambda: self._handle_failure(request, attempts.Refused(503)),
            )
            return
        _Attempt(self, request, chosen_path, pipeline, tokens)

    def _wait_for_path(self, request: Request, paths_full: bool) -> None:
        """Retries the choice for a while, as ``forwarding.streams`` does."""
        now = self.clock.now
        if request.waiting_since is None:
            request.waiting_since = now
        wait_end = request.waiting_since
        wait_end += (
            streams.CAPACITY_WAIT_RATIO * request.request_class.objective_s
        )
        if request.attempt_counter.run_count:
            wait_end = request.last_event_at or request.arrived_at
            wait_end += streams.RESUME_TIMEOUT_S
            if now - request.waiting_since >= streams.SAME_PATH_DELAY_S:
                request.tried_paths = frozenset()
        if now >= wait_end:
            request.waiting_since = None
            self._end_without_path(request, paths_full)
        else:
            self.clock.call_after(
                streams.CAPACITY_POLL_S, lambda: self._dispatch(request)
            )

    def retry_interrupted(self, request: Request) -> None:
        """Handles a stream that was interrupted."""
        self._handle_failure(request, attempts.NoResponse("broken off"))

    def _handle_failure(
        self, request: Request, failure: attempts.Failure
    ) -> None:
        now = self.clock.now
        request.attempt_counter.record_failure(failure)
        remaining_s = (
            request.arrived_at + request.request_class.deadline_s - now
        )
        action = attempts.next_action(
            failure,
            request.attempt_counter,
            ROUTING_RULE,
            remaining_s,
            lambda: self.retry_budget.try_spend(now, self.instances),
        )
        match action:
            case attempts.SendAgain():
                self._dispatch(request)
            case attempts.Refuse(retry_after_s=retry_after_s):
                self._refuse(request, retry_after_s)
            case _:
                self.on_ended(request, "failed")

    def _end_without_path(self, request: Request, paths_full: bool) -> None:
        remaining_s = (
            request.arrived_at
            + request.request_class.deadline_s
            - self.clock.now
        )
        after_s = attempts.retry_delay_s(
            paths_full, remaining_s, self.rng.random()
        )
        match attempts.refuse_or_give_up(request.attempt_counter, after_s):
            case attempts.Refuse(retry_after_s=retry_after_s):
                self._refuse(request, retry_after_s)
            case _:
                self.on_ended(request, "failed")

    def _refuse(self, request: Request, retry_after_s: float) -> None:
        if request.resubmitted:
            self.on_ended(request, "refused")
        else:
            self.on_refused(request, retry_after_s)

    def _check_stalls(self) -> None:
        """Retries the streams of stalled paths on other paths."""
        now = self.clock.now
        for name in [
            n
            for n in self.active_attempts
            if self.dispatcher.is_stalled(n, now)
        ]:
            self.dispatcher.avoid(name, now + detection.PATH_AVOID_S)
            self.placement.suspect(name)
            budget_left = self.retry_budget.remaining(now, self.instances)
            candidates = [
                r
                for r in self.active_attempts[name].values()
                if r.request.attempt_counter.run_count < MAX_ATTEMPT_COUNT
            ]
            for attempt in candidates[:budget_left]:
                attempt.abandon()


class _Attempt:
    """One attempt of a request on a path."""

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
        self.first_event_received = False
        instance.dispatcher.record_start(path.name, tokens, instance.clock.now)
        instance.active_attempts.setdefault(path.name, {})[id(request)] = self
        remaining_tokens = (
            request.answer_tokens
            - request.event_count * pipeline_module.EVENT_TOKENS
        )
        self.stream = pipeline_module.Stream(
            request.prompt_tokens
            + request.event_count * pipeline_module.EVENT_TOKENS,
            max(1, remaining_tokens),
            self.on_event,
            self.on_end,
        )
        pipeline.start(self.stream)

    def on_event(self) -> None:
        """Records an event of the stream."""
        now = self.instance.clock.now
        request = self.request
        self.instance.dispatcher.record_event(self.path.name, now)
        if not self.first_event_received:
            self.first_event_received = True
            self.instance.dispatcher.record_first_event(self.path.name)
        if request.first_event_at is None:
            request.first_event_at = now
        else:
            gap_s = now - request.last_event_at
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        request.last_event_at = now
        request.event_count += 1

    def on_end(self, complete: bool) -> None:
        """Handles the end of the stream."""
        self._finish()
        if complete:
            self.instance.on_ended(self.request, "served")
        else:
            self.instance.retry_interrupted(self.request)

    def abandon(self) -> None:
        """Cancels the attempt and retries the request on another path."""
        self.pipeline.cancel(self.stream)
        self._finish()
        self.instance.retry_interrupted(self.request)

    def _finish(self) -> None:
        self.instance.dispatcher.record_end(
            self.path.name, self.tokens, self.first_event_received
        )
        active_attempts = self.instance.active_attempts[self.path.name]
        del active_attempts[id(self.request)]
        if not active_attempts:
            del self.instance.active_attempts[self.path.name]
