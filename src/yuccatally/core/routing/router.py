"""Choice of a pipeline and of one engine for each of its stages."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

from yuccatally.core.generation import actions
from yuccatally.core.routing import demand
from yuccatally.core.routing import load
from yuccatally.core.routing import policies
from yuccatally.core.routing import prefixes
from yuccatally.core.routing import topology

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from yuccatally.core.config import configuration
    from yuccatally.core.stages import messages

# Weights for drawing candidates are computed anew after this time.
WEIGHTS_KEPT_S = 0.5
# Urgent work may use this much more than the limit of an engine, so that it
# never waits for the end of work of a lower class.
URGENT_FACTOR = 1.25
URGENT_EXTRA = 1
AFFINITY_ENTRIES = 16_384
# Half of all answers take longer than the mean.
EXPECTED_MARGIN = 1.1


@dataclasses.dataclass(frozen=True)
class EngineStatus:
    """State of one engine for operators.

    Attributes:
        connected: Whether it may be used.
        outstanding: Items of this instance that it has not answered.
        sequences: Sequences of this instance that are routed over it.
    """

    connected: bool
    outstanding: int
    sequences: int


@dataclasses.dataclass(frozen=True)
class Options:
    """How routes are chosen.

    Attributes:
        policy: ``work``, ``least-outstanding`` or ``round-robin``.
        demand: Whether measured demand of accounts is used.
        limits: Whether sequences on an engine are limited.
        delay_share: Weight of an engine's pace against queueing.
    """

    policy: str = "work"
    demand: bool = True
    limits: bool = True
    delay_share: float = 1.0


@dataclasses.dataclass(frozen=True)
class PathQuery:
    """What a route is needed for.

    Attributes:
        request: Request id.
        account: Client account.
        model: Name of the model.
        version: Version of the weights.
        prefill: Tokens to prefill: the prompt and tokens generated so far.
        max_tokens: Tokens that may still be generated.
        prefixes: Hashes of the prompt's prefixes.
        urgent: Whether it is of the highest class.
    """

    request: str
    account: str
    model: str
    version: str
    prefill: int
    max_tokens: int
    prefixes: tuple[int, ...] = ()
    urgent: bool = False


@dataclasses.dataclass
class Running:
    """An attempt on its route.

    Attributes:
        remaining: Token-layers still counted on each engine.
        queued_at: When its current item of each stage was queued, by the
            stage's first layer.
    """

    query: PathQuery
    path: actions.Path
    remaining: dict[str, float]
    queued_at: dict[int, float] = dataclasses.field(default_factory=dict)


class Router:
    """Chooses routes and keeps what it needs to know for that.

    Attributes:
        engines: Load by engine.
        running: Attempts by request.
        demand: Expected length of answers.
        caches: Prefix caches by engine.
    """

    def __init__(
        self, options: Options | None = None, seed: int | None = None
    ) -> None:
        self.options = options or Options()
        self.chance = random.Random(seed)
        self.engines: dict[str, load.EngineLoad] = {}
        self.running: dict[str, Running] = {}
        self.demand = demand.DemandEstimator(self.options.demand)
        self.prefix_indexes: dict[str, prefixes.PrefixIndex] = {}
        self.topology = topology.Topology({}, {})
        self.baseline = policies.by_name(self.options.policy)
        self.revision = -1
        self.affinity: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self.weights: dict[tuple[str, str], tuple[float, list[float]]] = {}

    def apply_configuration(self, config: configuration.Configuration) -> None:
        """Derives pipelines anew if the configuration has changed."""
        if config.revision == self.revision:
            return
        self.revision = config.revision
        self.topology = topology.derive(config)
        self.weights.clear()
        layers = {
            engine: stage.layers
            for listed in self.topology.pipelines.values()
            for pipeline in listed
            for stage in pipeline.stages
            for engine in stage.engines
        }
        for name, declared in self.topology.declared.items():
            known = self.engines.get(name)
            if known is None or known.declared != declared:
                fresh = load.EngineLoad(name, declared, layers.get(name, 1))
                if known is not None:
                    fresh.connected = known.connected
                    fresh.work, fresh.sequences = known.work, known.sequences
                self.engines[name] = fresh
        for name in self.engines.keys() - self.topology.declared.keys():
            del self.engines[name]
            self.prefix_indexes.pop(name, None)

    def has_capacity(
        self, model: str, version: str, urgent: bool, now: float
    ) -> bool:
        """Whether a pipeline of a model can take another sequence.

        True also if no pipeline is whole, so that the request can be refused
        for this reason instead of waiting.
        """
        if not self.options.limits:
            return True
        whole = False
        for pipeline in self.topology.pipelines.get((model, version), ()):
            stages = [
                self._usable(s, frozenset(), now) for s in pipeline.stages
            ]
            if all(stages):
                whole = True
                if all(self._with_capacity(s, urgent) for s in stages):
                    return True
        return not whole

    def choose(
        self,
        query: PathQuery,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> actions.Path | None:
        """Chooses a route; ``start`` counts the request's work on it.

        Two pipelines are drawn by speed, and in each two engines a stage;
        the one with the lower cost is used. The draw keeps instances that
        see the same reports from choosing the same engine at the same time.

        Args:
            query: What the route is for.
            now: Monotonic time in seconds.
            excluded: Engines that must not be used.

        Returns:
            A route, None if no pipeline of the model is whole.
        """
        listed = self.topology.pipelines.get((query.model, query.version), ())
        if self.baseline is not None:
            return self.baseline.choose(query, listed, self.engines, excluded)
        drawn = self._draw(query, listed, now)
        path = self._cheapest(query, drawn, excluded, now)
        if path is None and len(drawn) < len(listed):
            path = self._cheapest(query, listed, excluded, now)
        return path

    def start_attempt(self, query: PathQuery, path: actions.Path) -> None:
        """Counts the work of a request on its route, and only there."""
        self.end_attempt(query.request)
        remaining = {}
        for hop in path.hops:
            known = self.engines.get(hop.engine)
            if known is None:
                continue
            layers = hop.last_layer - hop.first_layer
            remaining[hop.engine] = self._work(query, hop.engine, layers)
            known.work += remaining[hop.engine]
            known.sequences += 1
        self.running[query.request] = Running(query, path, remaining)
        for prefix in query.prefixes[-1:]:
            self.affinity[prefix] = path.pipeline
            self.affinity.move_to_end(prefix)
            if len(self.affinity) > AFFINITY_ENTRIES:
                self.affinity.popitem(last=False)

    def expected_s(
        self, query: PathQuery, path: actions.Path, now: float
    ) -> float:
        """Returns how long an answer will probably take on a route."""
        total_s = 0.0
        for hop in path.hops:
            known = self.engines.get(hop.engine)
            if known is not None:
                prefill_s = query.prefill * known.layers / known.speed
                item_s = known.expected_item_s(query.urgent)
                total_s += item_s * self._tokens(query) + prefill_s
        return EXPECTED_MARGIN * total_s

    def on_queued(self, item: messages.StepItem, now: float) -> None:
        """Records that an item was queued for an engine."""
        running = self.running.get(item.request)
        if running is not None:
            running.queued_at[item.first_layer] = now

    def on_result(
        self, engine: str, item: messages.StepItem, now: float
    ) -> None:
        """Records an output of an engine."""
        running = self.running.get(item.request)
        known = self.engines.get(engine)
        if running is None or known is None:
            return
        work = len(item.values) * (item.last_layer - item.first_layer)
        counted = min(running.remaining.get(engine, 0.0), float(work))
        running.remaining[engine] = running.remaining.get(engine, 0.0) - counted
        # Work beyond what was expected is not taken from that of others.
        known.work += work - counted
        single = len(item.values) == 1
        queued_at = running.queued_at.get(item.first_layer, now)
        known.on_result(
            work, single, now - queued_at, now, running.query.urgent
        )

    def on_refusal(self, engine: str, now: float) -> None:
        """Records that an engine refused or failed a step."""
        known = self.engines.get(engine)
        if known is not None:
            known.on_failure(now)

    def on_connected(self, engine: str, now: float) -> None:
        """Records that the link of an engine is up."""
        if engine in self.engines:
            self.engines[engine].on_connected(now)
            self.weights.clear()
        # Events of an earlier connection say nothing about a new process.
        self.prefix_indexes[engine] = prefixes.PrefixIndex(engine)

    def on_disconnected(self, engine: str) -> None:
        """Records that the link of an engine is down."""
        if engine in self.engines:
            self.engines[engine].on_disconnected()
            self.weights.clear()
        self.prefix_indexes.pop(engine, None)

    def on_report(
        self, engine: str, report: messages.LoadReport, measured_at: float
    ) -> None:
        """Records a load report."""
        known = self.engines.get(engine)
        if known is not None:
            known.on_report(report, measured_at)

    def on_cache_events(
        self, engine: str, events: messages.CacheEvents
    ) -> prefixes.Resync | None:
        """Records cache events; returns a request for a snapshot."""
        view = self.prefix_indexes.setdefault(
            engine, prefixes.PrefixIndex(engine)
        )
        return view.apply_events(events)

    def end_attempt(self, request: str, tokens: int | None = None) -> None:
        """Takes back what an attempt still counts for.

        Args:
            request: Request id.
            tokens: Tokens of a whole answer, None if it did not end whole.
        """
        running = self.running.pop(request, None)
        if running is None:
            return
        for engine, remaining in running.remaining.items():
            known = self.engines.get(engine)
            if known is not None:
                known.work = max(0.0, known.work - remaining)
                known.sequences = max(0, known.sequences - 1)
        if tokens is not None:
            query = running.query
            self.demand.record(
                query.account, query.model, query.max_tokens, tokens
            )

    def _draw(
        self, query: PathQuery, listed: Sequence[topology.Pipeline], now: float
    ) -> Sequence[topology.Pipeline]:
        if len(listed) <= 2:
            return listed
        key = (query.model, query.version)
        computed_at, weights = self.weights.get(key, (-WEIGHTS_KEPT_S, []))
        if now - computed_at >= WEIGHTS_KEPT_S or not weights:
            weights = _accumulated(self._weight(p, now) for p in listed)
            self.weights[key] = (now, weights)
        drawn = self.chance.choices(listed, cum_weights=weights, k=2)
        known = next(
            (
                self.affinity[h]
                for h in reversed(query.prefixes)
                if h in self.affinity
            ),
            None,
        )
        return [*drawn, *(p for p in listed if p.name == known)]

    def _weight(self, pipeline: topology.Pipeline, now: float) -> float:
        return min(
            sum(
                self.engines[e].speed for e in self._usable(s, frozenset(), now)
            )
            / s.layers
            for s in pipeline.stages
        )

    def _cheapest(
        self,
        query: PathQuery,
        listed: Iterable[topology.Pipeline],
        excluded: frozenset[str],
        now: float,
    ) -> actions.Path | None:
        best: tuple[tuple[bool, float], actions.Path] | None = None
        for pipeline in listed:
            found = self._route(query, pipeline, excluded, now)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return best[1] if best else None

    def _route(
        self,
        query: PathQuery,
        pipeline: topology.Pipeline,
        excluded: frozenset[str],
        now: float,
    ) -> tuple[tuple[bool, float], actions.Path] | None:
        hops = []
        full = False
        queueing_s = pace_s = 0.0
        for stage in pipeline.stages:
            usable = self._usable(stage, excluded, now)
            if not usable:
                return None
            free = self._with_capacity(usable, query.urgent)
            full = full or not free
            engine = self._pick(query, stage, free or usable, now)
            queueing_s = max(
                queueing_s, self._queueing_s(query, engine, stage, now)
            )
            pace_s += self._pace_s(query, engine)
            hops.append(
                actions.Hop(engine, stage.first_layer, stage.last_layer)
            )
        cost = queueing_s + self.options.delay_share * pace_s
        path = actions.Path(
            pipeline.name, query.model, query.version, tuple(hops)
        )
        return (full, cost), path

    def _pick(
        self,
        query: PathQuery,
        stage: topology.Stage,
        candidates: list[str],
        now: float,
    ) -> str:
        drawn = candidates
        if len(candidates) > 2:
            speeds = [self.engines[e].speed for e in candidates]
            drawn = self.chance.choices(candidates, speeds, k=2)
        return min(
            drawn,
            key=lambda e: (
                self._queueing_s(query, e, stage, now)
                + self.options.delay_share * self._pace_s(query, e),
                e,
            ),
        )

    def _queueing_s(
        self, query: PathQuery, engine: str, stage: topology.Stage, now: float
    ) -> float:
        work = self._work(query, engine, stage.layers)
        return self.engines[engine].drain_s(work, now)

    def _pace_s(self, query: PathQuery, engine: str) -> float:
        """Returns the time an answer spends on an engine without queueing.

        The lowest latency contains the delay of the link.
        """
        floor_s = self.engines[engine].limit.floor_s
        if floor_s == float("inf"):
            return 0.0
        return floor_s * self._tokens(query)

    def _work(self, query: PathQuery, engine: str, layers: int) -> float:
        cache = self.prefix_indexes.get(engine)
        hit = (
            cache.hit_tokens(query.prefixes)
            if cache and query.prefixes
            else 0.0
        )
        # The last position is computed even if the whole prompt is cached.
        prefill = max(1.0, query.prefill - hit)
        return (prefill + self._tokens(query) - 1) * layers

    def _tokens(self, query: PathQuery) -> float:
        return self.demand.expected(
            query.account, query.model, query.max_tokens
        )

    def _usable(
        self, stage: topology.Stage, excluded: frozenset[str], now: float
    ) -> list[str]:
        connected = [
            e
            for e in stage.engines
            if e not in excluded
            and e in self.engines
            and self.engines[e].connected
        ]
        healthy = [e for e in connected if self.engines[e].usable(now)]
        # An engine that refused before is better than none.
        return healthy or connected

    def _with_capacity(self, engines: list[str], urgent: bool) -> list[str]:
        if not self.options.limits:
            return engines
        factor = URGENT_FACTOR if urgent else 1.0
        extra = URGENT_EXTRA if urgent else 0
        return [
            e
            for e in engines
            if self.engines[e].sequences
            < self.engines[e].limit.value * factor + extra
        ]


def _accumulated(weights: Iterable[float]) -> list[float]:
    total = 0.0
    found = []
    for weight in weights:
        # Each pipeline keeps a small chance, or a failed one never returns.
        total += max(weight, 1e-6)
        found.append(total)
    return found
