"""Small engines on a test clock, to compare decisions of the core.

Only what the decisions need is modelled: steps over batches, load reports,
cache events and links. Nothing here measures a process.
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
        batch: Greatest number of items in a step.
        declares: Whether its object states these rates.
        delay_s: Delay of its link.
        slow_factor: Factor on the time of steps.
        refuses: Whether it refuses everything at once.
        report: What becomes of a load report: ``true``, ``frozen``, ``idle``,
            ``busy`` or ``late``.
    """

    name: str
    first_layer: int = 0
    last_layer: int = 8
    step_base_s: float = 0.008
    token_layer_s: float = 0.00005
    batch: int = 16
    declares: bool = True
    delay_s: float = 0.0
    slow_factor: float = 1.0
    refuses: bool = False
    report: str = "true"
    queue: list[tuple[int, int, Run]] = dataclasses.field(default_factory=list)
    busy: bool = False
    held: set[str] = dataclasses.field(default_factory=set)
    applied: float = 0.0

    def raw(self) -> dict[str, object]:
        """Returns its object as the platform holds it."""
        rates = {
            "step_base_ms": self.step_base_s * 1e3,
            "token_layer_us": self.token_layer_s * 1e6,
            "batch": self.batch,
        }
        where = {"address": "127.0.0.1:1", "data_centre": "north"}
        spec = {**where, **rates} if self.declares else where
        return {"kind": "engine", "name": self.name, "spec": spec}


@dataclasses.dataclass
class Run:
    """One request and what became of it."""

    request: str
    account: str
    urgency: int
    prefill: int
    max_tokens: int
    tokens: int
    offered_at: float
    deadline: float
    instance: int
    outcome: str = ""
    ended_at: float = 0.0
    done: int = 0
    stage: int = 0
    attempts: int = 0
    route: list[str] = dataclasses.field(default_factory=list)

    @property
    def latency_s(self) -> float:
        """Time until the outcome."""
        return self.ended_at - self.offered_at

    @property
    def good(self) -> bool:
        """Whether the answer was whole in time."""
        return self.outcome == "answered" and self.ended_at <= self.deadline


class Site:
    """Instances and engines on one clock.

    Attributes:
        now: Time in seconds.
        runs: All requests.
        longest_queue: Greatest number of requests that waited at one gate.
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
        self.chance = random.Random(seed)
        self.engines = {e.name: e for e in engines}
        self.runs: list[Run] = []
        self.longest_queue = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.weights: dict[str, int] = {}
        config = _configuration(engines, pipelines)
        self.routers = [
            router.Router(options, seed * 1000 + i) for i in range(instances)
        ]
        self.gates = [
            admission.AdmissionController(queue) for _ in self.routers
        ]
        self.waiting: list[dict[str, Run]] = [{} for _ in self.routers]
        for each in self.routers:
            each.apply_configuration(config)
            for name in self.engines:
                each.on_connected(name, self.now)
        for name in self.engines:
            self._later(
                self.chance.random() * REPORT_INTERVAL_S,
                lambda n=name: self._report(n),
            )
        self._later(TICK_S, self._tick)

    def offer(
        self,
        requests_per_s: float,
        seconds: float,
        callers: Sequence[tuple[str, int, float, int, int]],
        deadline_s: float = 8.0,
        max_tokens: int = 0,
    ) -> None:
        """Schedules random arrivals from now on.

        Args:
            requests_per_s: Mean rate.
            seconds: How long.
            callers: Account, class, part of the load, prefill, tokens.
            deadline_s: Deadline of each request.
            max_tokens: Token limit that callers state; 0 states the tokens.
        """
        offset = 0.0
        while offset < seconds:
            offset += self.chance.expovariate(requests_per_s)
            picked = self.chance.choices(callers, [c[2] for c in callers])[0]
            account, urgency, _, prefill, tokens = picked
            instance = self.chance.randrange(len(self.routers))
            run = Run(
                f"r{next(self.order)}",
                account,
                urgency,
                prefill,
                max_tokens or tokens,
                tokens,
                self.now + offset,
                self.now + offset + deadline_s,
                instance,
            )
            self._later(offset, lambda r=run: self._arrive(r))

    def advance(self, seconds: float) -> None:
        """Runs all events of the next seconds."""
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, event = heapq.heappop(self.events)
            event()
        self.now = until

    def at(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedules a fault some seconds from now."""
        self._later(seconds, event)

    def disconnect(self, engine: str) -> None:
        """Loses an engine; its sequences start again elsewhere."""
        lost = self.engines[engine]
        for each in self.routers:
            each.on_disconnected(engine)
        lost.queue.clear()
        lost.held.clear()
        for run in [
            r for r in self.runs if engine in r.route and not r.outcome
        ]:
            self._retry(run, frozenset([engine]))

    def reconnect(self, engine: str) -> None:
        """Brings an engine back."""
        for each in self.routers:
            each.on_connected(engine, self.now)

    def good_tokens(self, since: float, until: float) -> int:
        """Returns tokens of answers that were whole in time in a span."""
        return sum(
            r.tokens
            for r in self.runs
            if r.good and since <= r.ended_at < until
        )

    def _later(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(
            self.events, (self.now + delay_s, next(self.order), event)
        )

    def _arrive(self, run: Run) -> None:
        self.runs.append(run)
        gate, each = self.gates[run.instance], self.routers[run.instance]
        expected = each.demand.expected(run.account, MODEL[0], run.max_tokens)
        item = fairqueue.QueuedRequest(
            run.request,
            run.account,
            self.weights.get(run.account, 1),
            run.urgency,
            *MODEL,
            run.prefill + expected,
            run.deadline,
            self.now,
        )
        answer = gate.offer(item, UNLIMITED, run.max_tokens, self.now)
        if isinstance(answer, outcomes.Refusal):
            self._end(run, "not-run")
            return
        self.waiting[run.instance][run.request] = run
        self._shed(run.instance, answer.shed)
        self._pump(run.instance)
        waiting = len(self.waiting[run.instance])
        self.longest_queue = max(self.longest_queue, waiting)

    def _shed(
        self, instance: int, shed: Sequence[admission.ShedRequest]
    ) -> None:
        for each in shed:
            self._end(self.waiting[instance].pop(each.request), "not-run")

    def _pump(self, instance: int) -> None:
        gate, each = self.gates[instance], self.routers[instance]
        for highest in (False, True):
            while (u := gate.next_urgency(MODEL, highest)) is not None:
                if not each.has_capacity(*MODEL, u == 0, self.now):
                    break
                item = gate.admit(MODEL, u, self.now)
                run = self.waiting[instance].pop(item.request)
                self._start(run, frozenset())

    def _start(self, run: Run, excluded: frozenset[str]) -> None:
        each = self.routers[run.instance]
        ask = router.PathQuery(
            run.request,
            run.account,
            *MODEL,
            run.prefill + run.done,
            run.max_tokens - run.done,
            urgent=run.urgency == 0,
        )
        route = each.choose(ask, self.now, excluded)
        if route is None or self.now > run.deadline:
            each.end_attempt(run.request)
            self.gates[run.instance].record_finished(
                run.request, run.max_tokens, run.done, self.now
            )
            self._end(run, "unknown")
            return
        if (
            run.attempts == 0
            and self.now + each.expected_s(ask, route, self.now) > run.deadline
        ):
            self.gates[run.instance].refuse_admitted(
                run.request, run.max_tokens, self.now
            )
            self._end(run, "not-run")
            return
        each.start_attempt(ask, route)
        run.attempts += 1
        run.stage = 0
        run.route = [h.engine for h in route.hops]
        self._queue(run, run.prefill + run.done)

    def _retry(self, run: Run, excluded: frozenset[str]) -> None:
        for name in run.route:
            self.engines[name].held.discard(run.request)
            self.engines[name].queue = [
                q for q in self.engines[name].queue if q[2] is not run
            ]
        run.route = []
        self._later(0.01, lambda: self._start(run, excluded))

    def _queue(self, run: Run, width: int) -> None:
        engine = self.engines[run.route[run.stage]]
        self.routers[run.instance].on_queued(
            _item(run, engine, width), self.now
        )
        if engine.refuses:
            self.routers[run.instance].on_refusal(engine.name, self.now)
            self._retry(run, frozenset([engine.name]))
            return
        engine.held.add(run.request)
        engine.queue.append((min(run.urgency, 1), next(self.order), run))
        run_width[run.request] = width
        if not engine.busy:
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        engine.queue.sort(key=lambda q: q[:2])
        batch = engine.queue[: engine.batch]
        engine.queue = engine.queue[engine.batch :]
        engine.busy = bool(batch)
        if not batch:
            return
        layers = engine.last_layer - engine.first_layer
        work = sum(run_width[r.request] * layers for _, _, r in batch)
        engine.applied += work
        seconds = engine.step_base_s + work * engine.token_layer_s
        seconds *= engine.slow_factor
        stepped = [(r, run_width[r.request], r.attempts) for _, _, r in batch]
        self._later(seconds, lambda: self._step(engine))
        self._later(
            seconds + engine.delay_s, lambda: self._results(engine, stepped)
        )

    def _results(
        self, engine: Engine, stepped: list[tuple[Run, int, int]]
    ) -> None:
        for run, width, attempt in stepped:
            if run.outcome or run.attempts != attempt or not run.route:
                continue
            if run.route[run.stage] != engine.name:
                continue
            each = self.routers[run.instance]
            each.on_result(engine.name, _item(run, engine, width), self.now)
            run.stage += 1
            if run.stage < len(run.route):
                self._queue(run, width)
                continue
            run.stage = 0
            run.done += 1
            if run.done < run.tokens:
                self._queue(run, 1)
                continue
            each.end_attempt(run.request, run.tokens)
            each.demand.record(
                run.account, MODEL[0], run.max_tokens, run.tokens
            )
            for name in run.route:
                self.engines[name].held.discard(run.request)
            self.gates[run.instance].record_finished(
                run.request, run.max_tokens, run.tokens, self.now
            )
            self._end(run, "answered")
            self._pump(run.instance)

    def _end(self, run: Run, outcome: str) -> None:
        run.outcome = outcome
        run.ended_at = self.now

    def _report(self, name: str) -> None:
        engine = self.engines[name]
        load = messages.LoadReport(len(engine.queue), len(engine.held))
        age_s = 0.0
        match engine.report:
            case "idle":
                load = messages.LoadReport(0, 0)
            case "busy":
                load = messages.LoadReport(10**6, 10**6)
            case "late":
                age_s = 1.0
        if engine.report != "frozen":
            at = self.now - age_s
            for each in self.routers:
                self._later(
                    age_s, lambda e=each: e.on_report(name, load, at + age_s)
                )
        self._later(REPORT_INTERVAL_S, lambda: self._report(name))

    def _tick(self) -> None:
        for instance, gate in enumerate(self.gates):
            self._shed(instance, gate.shed_expired(self.now))
            self._pump(instance)
        self._later(TICK_S, self._tick)


# Values of the item that each request has queued.
run_width: dict[str, int] = {}


def _item(run: Run, engine: Engine, width: int) -> messages.StepItem:
    return messages.StepItem(
        run.request,
        run.attempts,
        0,
        engine.first_layer,
        engine.last_layer,
        *MODEL,
        [0] * width,
    )


def _configuration(
    engines: Sequence[Engine],
    pipelines: Sequence[Sequence[tuple[int, int, Sequence[str]]]],
) -> configuration.Configuration:
    layers = max(e.last_layer for e in engines)
    raw: list[dict[str, object]] = [e.raw() for e in engines]
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
