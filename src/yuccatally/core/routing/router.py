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

# Draw weights of pipelines are recomputed after this time.
WEIGHTS_MAX_AGE_S = 0.5
# Urgent sequences may exceed the limit of an engine by this factor and count,
# so that they never wait for the end of work of a lower class.
URGENT_LIMIT_FACTOR = 1.25
URGENT_EXTRA_COUNT = 1
MAX_AFFINITY_COUNT = 16_384
# Margin over the mean, since half of all answers take longer than it.
EXPECTED_TIME_FACTOR = 1.1


@dataclasses.dataclass(frozen=True)
class EngineStatus:
    """State of one engine for operators.

    Attributes:
        connected: Whether it can be used.
        outstanding: Items of this instance without a result yet.
        sequences: Sequences of this instance whose path includes it.
    """

    connected: bool
    outstanding: int
    sequences: int


@dataclasses.dataclass(frozen=True)
class Options:
    """Configures the choice of paths.

    Attributes:
        policy: ``work``, ``least-outstanding`` or ``round-robin``.
        demand: Whether the measured demand of client accounts is used.
        limits: Whether sequences on an engine are limited.
        delay_weight: Weight of an engine's minimum latency relative to
            queueing time.
    """

    policy: str = "work"
    demand: bool = True
    limits: bool = True
    delay_weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class PathQuery:
    """Describes the attempt that a path is chosen for.

    Attributes:
        request: Request id.
        account: Client account.
        model: Name of the model.
        version: Version of the weights.
        prefill: Number of tokens to prefill: the prompt and the tokens
            generated so far.
        max_tokens: Maximum number of tokens still to be generated.
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
class RunningAttempt:
    """An attempt and its work on the engines of its path.

    Attributes:
        query: Query that the path was chosen for.
        path: Path of the attempt.
        remaining: Token-layers still counted on each engine.
        queued_at: Time at which the current item of each stage was queued,
            by the stage's first layer.
    """

    query: PathQuery
    path: actions.Path
    remaining: dict[str, float]
    queued_at: dict[int, float] = dataclasses.field(default_factory=dict)


class Router:
    """Chooses paths and tracks the load, demand and caches behind the choice.

    Attributes:
        engines: Load by engine.
        running: Attempts by request.
        demand: Expected length of answers.
        prefix_indexes: Prefix cache indexes by engine.
        affinity: Pipeline last used for a prefix.
        weights: Time of computation and cumulative draw weights of the
            pipelines, by model and version.
    """

    def __init__(
        self, options: Options | None = None, seed: int | None = None
    ) -> None:
        self.options = options or Options()
        self.rng = random.Random(seed)
        self.engines: dict[str, load.EngineLoad] = {}
        self.running: dict[str, RunningAttempt] = {}
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
        """Derives pipelines again if the configuration has changed."""
        if config.revision == self.revision:
            return
        self.revision = config.revision
        self.topology = topology.derive(config)
        self.weights.clear()
        layers = {
            engine: stage.layers
            for pipelines in self.topology.pipelines.values()
            for pipeline in pipelines
            for stage in pipeline.stages
            for engine in stage.engines
        }
        for name, declared in self.topology.declared.items():
            current = self.engines.get(name)
            if current is None or current.declared != declared:
                added = load.EngineLoad(name, declared, layers.get(name, 1))
                if current is not None:
                    added.connected = current.connected
                    added.work, added.sequences = (
                        current.work,
                        current.sequences,
                    )
                self.engines[name] = added
        for name in self.engines.keys() - self.topology.declared.keys():
            del self.engines[name]
            self.prefix_indexes.pop(name, None)

    def has_capacity(
        self, model: str, version: str, urgent: bool, now: float
    ) -> bool:
        """Whether a pipeline of a model has capacity for another sequence.

        Also true if no pipeline is complete, so that the request is refused
        for this reason instead of waiting.
        """
        if not self.options.limits:
            return True
        complete = False
        for pipeline in self.topology.pipelines.get((model, version), ()):
            stages = [
                self._usable_engines(s, frozenset(), now)
                for s in pipeline.stages
            ]
            if all(stages):
                complete = True
                if all(self._with_capacity(s, urgent) for s in stages):
                    return True
        return not complete

    def choose(
        self,
        query: PathQuery,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> actions.Path | None:
        """Chooses a path; ``start_attempt`` counts the request's work on it.

        Draws two pipelines by speed, and two engines for each stage of a
        pipeline, and uses the one with the lower cost. The random draw keeps
        instances with the same load reports from choosing the same engine at
        the same time.

        Args:
            query: Attempt that the path is for.
            now: Monotonic time in seconds.
            excluded: Engines that must not be used.

        Returns:
            A path, None if no pipeline of the model is complete.
        """
        pipelines = self.topology.pipelines.get(
            (query.model, query.version), ()
        )
        if self.baseline is not None:
            return self.baseline.choose(
                query, pipelines, self.engines, excluded
            )
        drawn = self._draw_pipelines(query, pipelines, now)
        path = self._cheapest_path(query, drawn, excluded, now)
        if path is None and len(drawn) < len(pipelines):
            path = self._cheapest_path(query, pipelines, excluded, now)
        return path

    def start_attempt(self, query: PathQuery, path: actions.Path) -> None:
        """Counts the work of a request on its path and on no other."""
        self.end_attempt(query.request)
        remaining = {}
        for hop in path.hops:
            engine_load = self.engines.get(hop.engine)
            if engine_load is None:
                continue
            layers = hop.last_layer - hop.first_layer
            remaining[hop.engine] = self._work(query, hop.engine, layers)
            engine_load.work += remaining[hop.engine]
            engine_load.sequences += 1
        self.running[query.request] = RunningAttempt(query, path, remaining)
        for prefix in query.prefixes[-1:]:
            self.affinity[prefix] = path.pipeline
            self.affinity.move_to_end(prefix)
            if len(self.affinity) > MAX_AFFINITY_COUNT:
                self.affinity.popitem(last=False)

    def expected_s(
        self, query: PathQuery, path: actions.Path, now: float
    ) -> float:
        """Returns the expected time of an answer on a path, with a margin."""
        total_s = 0.0
        for hop in path.hops:
            engine_load = self.engines.get(hop.engine)
            if engine_load is not None:
                prefill_s = (
                    query.prefill * engine_load.layers / engine_load.speed
                )
                item_s = engine_load.expected_item_s(query.urgent)
                total_s += item_s * self._expected_tokens(query) + prefill_s
        return EXPECTED_TIME_FACTOR * total_s

    def on_queued(self, item: messages.StepItem, now: float) -> None:
        """Records that an item was queued for an engine."""
        attempt = self.running.get(item.request)
        if attempt is not None:
            attempt.queued_at[item.first_layer] = now

    def on_result(
        self, engine: str, item: messages.StepItem, now: float
    ) -> None:
        """Records an output of an engine and subtracts its work."""
        attempt = self.running.get(item.request)
        engine_load = self.engines.get(engine)
        if attempt is None or engine_load is None:
            return
        work = len(item.values) * (item.last_layer - item.first_layer)
        counted = min(attempt.remaining.get(engine, 0.0), float(work))
        attempt.remaining[engine] = attempt.remaining.get(engine, 0.0) - counted
        # Work beyond the expected amount is not subtracted from that of other
        # attempts.
        engine_load.work += work - counted
        single = len(item.values) == 1
        queued_at = attempt.queued_at.get(item.first_layer, now)
        engine_load.record_result(
            work, single, now - queued_at, now, attempt.query.urgent
        )

    def on_refusal(self, engine: str, now: float) -> None:
        """Records that an engine refused or failed a step."""
        engine_load = self.engines.get(engine)
        if engine_load is not None:
            engine_load.record_failure(now)

    def on_connected(self, engine: str, now: float) -> None:
        """Marks the engine as connected and resets its state."""
        if engine in self.engines:
            self.engines[engine].on_connected(now)
            self.weights.clear()
        # Events of an earlier connection do not apply to a new process.
        self.prefix_indexes[engine] = prefixes.PrefixIndex(engine)

    def on_disconnected(self, engine: str) -> None:
        """Marks the engine as disconnected and discards its cache index."""
        if engine in self.engines:
            self.engines[engine].on_disconnected()
            self.weights.clear()
        self.prefix_indexes.pop(engine, None)

    def on_report(
        self, engine: str, report: messages.LoadReport, measured_at: float
    ) -> None:
        """Applies a load report of an engine."""
        engine_load = self.engines.get(engine)
        if engine_load is not None:
            engine_load.apply_report(report, measured_at)

    def on_cache_events(
        self, engine: str, events: messages.CacheEvents
    ) -> prefixes.ResyncRequest | None:
        """Applies cache events; returns a resync request after a gap."""
        index = self.prefix_indexes.setdefault(
            engine, prefixes.PrefixIndex(engine)
        )
        return index.apply_events(events)

    def end_attempt(self, request: str, tokens: int | None = None) -> None:
        """Removes the remaining work of an attempt from its engines.

        Args:
            request: Request id.
            tokens: Number of tokens of a complete answer, None if the answer
                is incomplete.
        """
        attempt = self.running.pop(request, None)
        if attempt is None:
            return
        for engine, remaining in attempt.remaining.items():
            engine_load = self.engines.get(engine)
            if engine_load is not None:
                engine_load.work = max(0.0, engine_load.work - remaining)
                engine_load.sequences = max(0, engine_load.sequences - 1)
        if tokens is not None:
            query = attempt.query
            self.demand.record(
                query.account, query.model, query.max_tokens, tokens
            )

    def _draw_pipelines(
        self,
        query: PathQuery,
        pipelines: Sequence[topology.Pipeline],
        now: float,
    ) -> Sequence[topology.Pipeline]:
        if len(pipelines) <= 2:
            return pipelines
        key = (query.model, query.version)
        computed_at, weights = self.weights.get(key, (-WEIGHTS_MAX_AGE_S, []))
        if now - computed_at >= WEIGHTS_MAX_AGE_S or not weights:
            weights = _cumulative(self._weight(p, now) for p in pipelines)
            self.weights[key] = (now, weights)
        drawn = self.rng.choices(pipelines, cum_weights=weights, k=2)
        preferred = next(
            (
                self.affinity[h]
                for h in reversed(query.prefixes)
                if h in self.affinity
            ),
            None,
        )
        return [*drawn, *(p for p in pipelines if p.name == preferred)]

    def _weight(self, pipeline: topology.Pipeline, now: float) -> float:
        return min(
            sum(
                self.engines[e].speed
                for e in self._usable_engines(s, frozenset(), now)
            )
            / s.layers
            for s in pipeline.stages
        )

    def _cheapest_path(
        self,
        query: PathQuery,
        pipelines: Iterable[topology.Pipeline],
        excluded: frozenset[str],
        now: float,
    ) -> actions.Path | None:
        best: tuple[tuple[bool, float], actions.Path] | None = None
        for pipeline in pipelines:
            candidate = self._build_path(query, pipeline, excluded, now)
            if candidate is not None and (
                best is None or candidate[0] < best[0]
            ):
                best = candidate
        return best[1] if best else None

    def _build_path(
        self,
        query: PathQuery,
        pipeline: topology.Pipeline,
        excluded: frozenset[str],
        now: float,
    ) -> tuple[tuple[bool, float], actions.Path] | None:
        hops = []
        at_limit = False
        queueing_s = unqueued_s = 0.0
        for stage in pipeline.stages:
            usable = self._usable_engines(stage, excluded, now)
            if not usable:
                return None
            candidates = self._with_capacity(usable, query.urgent)
            at_limit = at_limit or not candidates
            engine = self._choose_engine(
                query, stage, candidates or usable, now
            )
            queueing_s = max(
                queueing_s, self._queueing_s(query, engine, stage, now)
            )
            unqueued_s += self._unqueued_s(query, engine)
            hops.append(
                actions.Hop(engine, stage.first_layer, stage.last_layer)
            )
        cost = queueing_s + self.options.delay_weight * unqueued_s
        path = actions.Path(
            pipeline.name, query.model, query.version, tuple(hops)
        )
        return (at_limit, cost), path

    def _choose_engine(
        self,
        query: PathQuery,
        stage: topology.Stage,
        candidates: list[str],
        now: float,
    ) -> str:
        drawn = candidates
        if len(candidates) > 2:
            speeds = [self.engines[e].speed for e in candidates]
            drawn = self.rng.choices(candidates, speeds, k=2)
        return min(
            drawn,
            key=lambda e: (
                self._queueing_s(query, e, stage, now)
                + self.options.delay_weight * self._unqueued_s(query, e),
                e,
            ),
        )

    def _queueing_s(
        self, query: PathQuery, engine: str, stage: topology.Stage, now: float
    ) -> float:
        work = self._work(query, engine, stage.layers)
        return self.engines[engine].drain_s(work, now)

    def _unqueued_s(self, query: PathQuery, engine: str) -> float:
        """Returns the time an answer spends on an engine without queueing.

        The minimum latency includes the delay of the link.
        """
        min_latency_s = self.engines[engine].limit.min_latency_s
        if min_latency_s == float("inf"):
            return 0.0
        return min_latency_s * self._expected_tokens(query)

    def _work(self, query: PathQuery, engine: str, layers: int) -> float:
        cache = self.prefix_indexes.get(engine)
        hit = (
            cache.hit_tokens(query.prefixes)
            if cache and query.prefixes
            else 0.0
        )
        # The last position is computed even if the whole prompt is cached.
        prefill = max(1.0, query.prefill - hit)
        return (prefill + self._expected_tokens(query) - 1) * layers

    def _expected_tokens(self, query: PathQuery) -> float:
        return self.demand.expected(
            query.account, query.model, query.max_tokens
        )

    def _usable_engines(
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
        # An ejected engine is better than none.
        return healthy or connected

    def _with_capacity(self, engines: list[str], urgent: bool) -> list[str]:
        if not self.options.limits:
            return engines
        factor = URGENT_LIMIT_FACTOR if urgent else 1.0
        extra = URGENT_EXTRA_COUNT if urgent else 0
        return [
            e
            for e in engines
            if self.engines[e].sequences
            < self.engines[e].limit.value * factor + extra
        ]


def _cumulative(weights: Iterable[float]) -> list[float]:
    total = 0.0
    sums = []
    for weight in weights:
        # The minimum weight lets a pipeline that failed be drawn again.
        total += max(weight, 1e-6)
        sums.append(total)
    return sums
