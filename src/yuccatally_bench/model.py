"""Simulates small engines on a test clock to compare decisions of the core.

The model covers what the decisions need: steps over batches, load reports,
cache events and links. It measures no process.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from typing import TYPE_CHECKING

from yuccatally.core.admission import admission
from yuccatally.core.admission import fairqueue
from yuccatally.core.admission import limits
from yuccatally.core.config import configuration
from yuccatally.core.objects import kinds
from yuccatally.core.requests import outcomes
from yuccatally.core.routing import router
from yuccatally.core.stages import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

REPORT_INTERVAL_S = 0.25
TICK_S = 0.05
MODEL = ("m", "v1")
UNLIMITED = limits.AccountLimits(0.0, 0.0)


@dataclasses.dataclass
class Engine:
    """Declared rates and faults of one engine.

    Attributes:
        name: Name.
        first_layer: First layer.
        last_layer: Layer after the last one.
        step_base_s: Fixed time of a step.
        token_layer_s: Time for one layer and token.
        batch: Maximum number of items in a step.
        declares_rates: Whether its object declares these rates.
        delay_s: Delay of its link.
        slow_factor: Factor on the time of steps.
        refuses: Whether it refuses every step immediately.
        report_mode: How it reports load: ``true``, ``frozen``, ``idle``,
            ``busy`` or ``late``.
        queue: Waiting items: urgency, sequence number and request.
        busy: Whether a step is under way.
        sequences: Requests whose state it stores.
        computed_token_layers: Computed work, in tokens times layers.
    """

    name: str
    first_layer: int = 0
    last_layer: int = 8
    step_base_s: float = 0.008
    token_layer_s: float = 0.00005
    batch: int = 16
    declares_rates: bool = True
    delay_s: float = 0.0
    slow_factor: float = 1.0
    refuses: bool = False
    report_mode: str = "true"
    queue: list[tuple[int, int, Request]] = dataclasses.field(
        default_factory=list
    )
    busy: bool = False
    sequences: set[str] = dataclasses.field(default_factory=set)
    computed_token_layers: float = 0.0

    def to_raw(self) -> dict[str, object]:
        """Returns its object as the platform stores it."""
        rates = {
            "step_base_ms": self.step_base_s * 1e3,
            "token_layer_us": self.token_layer_s * 1e6,
            "batch": self.batch,
        }
        placement = {"address": "127.0.0.1:1", "data_centre": "north"}
        spec = {**placement, **rates} if self.declares_rates else placement
        return {"kind": "engine", "name": self.name, "spec": spec}


@dataclasses.dataclass
class Request:
    """One request, its progress and its outcome."""

    request_id: str
    account: str
    urgency: int
    prefill: int
    max_tokens: int
    answer_tokens: int
    offered_at: float
    deadline: float
    instance: int
    outcome: str = ""
    ended_at: float = 0.0
    generated_tokens: int = 0
    stage_index: int = 0
    attempts: int = 0
    path: list[str] = dataclasses.field(default_factory=list)

    @property
    def latency_s(self) -> float:
        """Time until the outcome."""
        return self.ended_at - self.offered_at

    @property
    def in_time(self) -> bool:
        """Whether the complete answer met the deadline."""
        return self.outcome == "answered" and self.ended_at <= self.deadline


class Simulation:
    """Instances and engines on one clock.

    Attributes:
        now: Time in seconds.
        requests: All requests that have arrived.
        longest_queue: Maximum number of requests queued at one instance.
    """

    def __init__(
        self,
        engines: Sequence[Engine],
        pipelines: Sequence[Sequence[tuple[int, int, Sequence[str]]]],
        instances: int = 1,
        options: router.Options | None = None,
        seed: int = 1,
        queue: int = admission.MAX_QUEUED_COUNT,
    ) -> None:
        self.now = 100.0
        self.rng = random.Random(seed)
        self.engines = {e.name: e for e in engines}
        self.requests: list[Request] = []
        self.longest_queue = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        self.weights: dict[str, int] = {}
        config = _configuration(engines, pipelines)
        self.routers = [
            router.Router(options, seed * 1000 + i) for i in range(instances)
        ]
        self.admission_controllers = [
            admission.AdmissionController(queue) for _ in self.routers
        ]
        self.queued: list[dict[str, Request]] = [{} for _ in self.routers]
        for target_router in self.routers:
            target_router.apply_configuration(config)
            for name in self.engines:
                target_router.on_connected(name, self.now)
        for name in self.engines:
            self._schedule(
                self.rng.random() * REPORT_INTERVAL_S,
                lambda n=name: self._send_report(n),
            )
        self._schedule(TICK_S, self._tick)

    def offer(
        self,
        requests_per_s: float,
        seconds: float,
        callers: Sequence[tuple[str, int, float, int, int]],
        deadline_s: float = 8.0,
        max_tokens: int = 0,
    ) -> None:
        """Schedules random arrivals, starting now.

        Args:
            requests_per_s: Mean rate.
            seconds: Duration.
            callers: Account, urgency, share of the load, prefill, tokens.
            deadline_s: Deadline of each request.
            max_tokens: Token limit of each request; 0 uses its token number.
        """
        offset = 0.0
        while offset < seconds:
            offset += self.rng.expovariate(requests_per_s)
            account_load = self.rng.choices(callers, [c[2] for c in callers])[0]
            account, urgency, _, prefill, tokens = account_load
            instance = self.rng.randrange(len(self.routers))
            request = Request(
                f"r{next(self.sequence_numbers)}",
                account,
                urgency,
                prefill,
                max_tokens or tokens,
                tokens,
                self.now + offset,
                self.now + offset + deadline_s,
                instance,
            )
            self._schedule(offset, lambda r=request: self._arrive(r))

    def advance(self, seconds: float) -> None:
        """Runs all events of the next seconds."""
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, event = heapq.heappop(self.events)
            event()
        self.now = until

    def schedule_fault(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedules a fault after a delay in seconds."""
        self._schedule(seconds, event)

    def disconnect(self, engine: str) -> None:
        """Disconnects an engine; its sequences restart on other engines."""
        disconnected = self.engines[engine]
        for target_router in self.routers:
            target_router.on_disconnected(engine)
        disconnected.queue.clear()
        disconnected.sequences.clear()
        for request in [
            r for r in self.requests if engine in r.path and not r.outcome
        ]:
            self._retry(request, frozenset([engine]))

    def reconnect(self, engine: str) -> None:
        """Reconnects an engine."""
        for target_router in self.routers:
            target_router.on_connected(engine, self.now)

    def tokens_in_time(self, since: float, until: float) -> int:
        """Returns the tokens of answers that ended in time in an interval."""
        return sum(
            r.answer_tokens
            for r in self.requests
            if r.in_time and since <= r.ended_at < until
        )

    def _schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(
            self.events,
            (self.now + delay_s, next(self.sequence_numbers), event),
        )

    def _arrive(self, request: Request) -> None:
        self.requests.append(request)
        controller, target_router = (
            self.admission_controllers[request.instance],
            self.routers[request.instance],
        )
        expected = target_router.demand.expected(
            request.account, MODEL[0], request.max_tokens
        )
        item = fairqueue.QueuedRequest(
            request.request_id,
            request.account,
            self.weights.get(request.account, 1),
            request.urgency,
            *MODEL,
            request.prefill + expected,
            request.deadline,
            self.now,
        )
        decision = controller.offer(
            item, UNLIMITED, request.max_tokens, self.now
        )
        if isinstance(decision, outcomes.Refusal):
            self._record_outcome(request, "not-run")
            return
        self.queued[request.instance][request.request_id] = request
        self._shed(request.instance, decision.shed)
        self._admit_waiting(request.instance)
        queued = len(self.queued[request.instance])
        self.longest_queue = max(self.longest_queue, queued)

    def _shed(
        self, instance: int, shed: Sequence[admission.ShedRequest]
    ) -> None:
        for shed_request in shed:
            self._record_outcome(
                self.queued[instance].pop(shed_request.request), "not-run"
            )

    def _admit_waiting(self, instance: int) -> None:
        controller, target_router = (
            self.admission_controllers[instance],
            self.routers[instance],
        )
        for highest in (False, True):
            while (
                urgency := controller.next_urgency(MODEL, highest)
            ) is not None:
                if not target_router.has_capacity(
                    *MODEL, urgency == 0, self.now
                ):
                    break
                item = controller.admit(MODEL, urgency, self.now)
                request = self.queued[instance].pop(item.request)
                self._start(request, frozenset())

    def _start(self, request: Request, excluded: frozenset[str]) -> None:
        target_router = self.routers[request.instance]
        query = router.PathQuery(
            request.request_id,
            request.account,
            *MODEL,
            request.prefill + request.generated_tokens,
            request.max_tokens - request.generated_tokens,
            urgent=request.urgency == 0,
        )
        path = target_router.choose(query, self.now, excluded)
        if path is None or self.now > request.deadline:
            target_router.end_attempt(request.request_id)
            self.admission_controllers[request.instance].record_finished(
                request.request_id,
                request.max_tokens,
                request.generated_tokens,
                self.now,
            )
            self._record_outcome(request, "unknown")
            return
        if (
            request.attempts == 0
            and self.now + target_router.expected_s(query, path, self.now)
            > request.deadline
        ):
            self.admission_controllers[request.instance].refuse_admitted(
                request.request_id, request.max_tokens, self.now
            )
            self._record_outcome(request, "not-run")
            return
        target_router.start_attempt(query, path)
        request.attempts += 1
        request.stage_index = 0
        request.path = [h.engine for h in path.hops]
        self._enqueue(request, request.prefill + request.generated_tokens)

    def _retry(self, request: Request, excluded: frozenset[str]) -> None:
        for name in request.path:
            self.engines[name].sequences.discard(request.request_id)
            self.engines[name].queue = [
                q for q in self.engines[name].queue if q[2] is not request
            ]
        request.path = []
        self._schedule(0.01, lambda: self._start(request, excluded))

    def _enqueue(self, request: Request, token_count: int) -> None:
        engine = self.engines[request.path[request.stage_index]]
        self.routers[request.instance].on_queued(
            _item(request, engine, token_count), self.now
        )
        if engine.refuses:
            self.routers[request.instance].on_refusal(engine.name, self.now)
            self._retry(request, frozenset([engine.name]))
            return
        engine.sequences.add(request.request_id)
        engine.queue.append(
            (min(request.urgency, 1), next(self.sequence_numbers), request)
        )
        queued_token_counts[request.request_id] = token_count
        if not engine.busy:
            self._run_step(engine)

    def _run_step(self, engine: Engine) -> None:
        engine.queue.sort(key=lambda q: q[:2])
        batch = engine.queue[: engine.batch]
        engine.queue = engine.queue[engine.batch :]
        engine.busy = bool(batch)
        if not batch:
            return
        layers = engine.last_layer - engine.first_layer
        work = sum(
            queued_token_counts[r.request_id] * layers for _, _, r in batch
        )
        engine.computed_token_layers += work
        seconds = engine.step_base_s + work * engine.token_layer_s
        seconds *= engine.slow_factor
        batch_items = [
            (r, queued_token_counts[r.request_id], r.attempts)
            for _, _, r in batch
        ]
        self._schedule(seconds, lambda: self._run_step(engine))
        self._schedule(
            seconds + engine.delay_s,
            lambda: self._apply_results(engine, batch_items),
        )

    def _apply_results(
        self, engine: Engine, batch_items: list[tuple[Request, int, int]]
    ) -> None:
        for request, token_count, attempt in batch_items:
            if (
                request.outcome
                or request.attempts != attempt
                or not request.path
            ):
                continue
            if request.path[request.stage_index] != engine.name:
                continue
            target_router = self.routers[request.instance]
            target_router.on_result(
                engine.name, _item(request, engine, token_count), self.now
            )
            request.stage_index += 1
            if request.stage_index < len(request.path):
                self._enqueue(request, token_count)
                continue
            request.stage_index = 0
            request.generated_tokens += 1
            if request.generated_tokens < request.answer_tokens:
                self._enqueue(request, 1)
                continue
            target_router.end_attempt(request.request_id, request.answer_tokens)
            target_router.demand.record(
                request.account,
                MODEL[0],
                request.max_tokens,
                request.answer_tokens,
            )
            for name in request.path:
                self.engines[name].sequences.discard(request.request_id)
            self.admission_controllers[request.instance].record_finished(
                request.request_id,
                request.max_tokens,
                request.answer_tokens,
                self.now,
            )
            self._record_outcome(request, "answered")
            self._admit_waiting(request.instance)

    def _record_outcome(self, request: Request, outcome: str) -> None:
        request.outcome = outcome
        request.ended_at = self.now

    def _send_report(self, name: str) -> None:
        engine = self.engines[name]
        load = messages.LoadReport(len(engine.queue), len(engine.sequences))
        age_s = 0.0
        match engine.report_mode:
            case "idle":
                load = messages.LoadReport(0, 0)
            case "busy":
                load = messages.LoadReport(10**6, 10**6)
            case "late":
                age_s = 1.0
        if engine.report_mode != "frozen":
            measured_at = self.now - age_s
            for target_router in self.routers:
                self._schedule(
                    age_s,
                    lambda e=target_router: e.on_report(
                        name, load, measured_at + age_s
                    ),
                )
        self._schedule(REPORT_INTERVAL_S, lambda: self._send_report(name))

    def _tick(self) -> None:
        for instance, controller in enumerate(self.admission_controllers):
            self._shed(instance, controller.shed_expired(self.now))
            self._admit_waiting(instance)
        self._schedule(TICK_S, self._tick)


# Number of tokens in the queued item of each request.
queued_token_counts: dict[str, int] = {}


def _item(
    request: Request, engine: Engine, token_count: int
) -> messages.StepItem:
    return messages.StepItem(
        request.request_id,
        request.attempts,
        0,
        engine.first_layer,
        engine.last_layer,
        *MODEL,
        [0] * token_count,
    )


def _configuration(
    engines: Sequence[Engine],
    pipelines: Sequence[Sequence[tuple[int, int, Sequence[str]]]],
) -> configuration.Configuration:
    layers = max(e.last_layer for e in engines)
    raw: list[dict[str, object]] = [e.to_raw() for e in engines]
    spec: dict[str, object] = {"layers": layers, "version": MODEL[1]}
    raw.append({"kind": "model", "name": MODEL[0], "spec": spec})
    for number, stages in enumerate(pipelines):
        listed = [
            {
                "first_layer": first,
                "last_layer": last,
                "selector": f"name in ({','.join(names)})",
            }
            for first, last, names in stages
        ]
        raw.append(
            {
                "kind": "pipeline",
                "name": f"p{number}",
                "spec": {
                    "model": MODEL[0],
                    "version": MODEL[1],
                    "stages": listed,
                },
            }
        )
    config = configuration.Configuration()
    objects = tuple(kinds.decode(r).ok for r in raw)
    config.apply_snapshot(configuration.Snapshot(1, objects))
    return config
