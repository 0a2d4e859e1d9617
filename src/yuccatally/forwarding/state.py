"""State that the components of a forwarding instance share."""

from __future__ import annotations

import functools
import random
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import pace
from yuccatally.core.forwarding import pace_table
from yuccatally.core.forwarding import path_building
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import quarantine
from yuccatally.core.forwarding import rate_limits
from yuccatally.core.forwarding import retries
from yuccatally.core.forwarding import room_composition
from yuccatally.core.forwarding import statements
from yuccatally.core.forwarding import suspicions
from yuccatally.core.forwarding import upstreams
from yuccatally.forwarding import pace_log
from yuccatally.forwarding import spans
from yuccatally.forwarding import waiting

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccatally.core.forwarding import instance_settings
    from yuccatally.core.forwarding import rules

# A configuration that neither the store nor peers have confirmed for this long
# may be outdated. Each pair of eight instances exchanges heartbeats every 0.3
# s, so a gap of this length is not random.
CONFIRMED_S = 2.5

_log = structlog.get_logger()


class InstanceState:
    """Rules, upstreams, plans and outstanding work known to this instance.

    Attributes:
        rules: Configuration in force; None before the first.
        rules_spec: Configuration in force in the platform's format, for peers.
        store_connected: Whether the watch of the configuration is connected.
        confirmed_at: Time at which a peer last confirmed the rules.
        spans: Recorder of the spans of the latest requests.
        registry: Upstreams.
        plans: Latest plan by service.
        plans_generation: Generation of the plans; increases with each change.
        confirmed_layers: Layers that a report has confirmed, by engine name and
            start time.
        confirmed_generation: Generation of these layers.
        dispatcher: Chooses paths by outstanding work.
        waiting: Requests that wait for room; empty unless load is shared.
        quarantine: Requests that crash engines.
        limits: Request rates that upstreams accept.
        retry_budgets: Retry budgets by service.
        instance_count: Number of instances that share the retry budget,
            including this one.
        leaving: Whether a graceful shutdown has started.
        in_flight: Number of requests in flight.
        rules_callbacks: Called with each new configuration.
    """

    def __init__(self, settings: instance_settings.InstanceSettings) -> None:
        self.settings = settings
        self.rng = random.Random()
        self.rules: rules.Rules | None = None
        self.rules_spec: object = None
        self.store_connected = False
        self.confirmed_at = 0.0
        self.spans = spans.SpanRecorder(settings.name)
        self.registry = upstreams.Registry()
        self.registry.on_leaving = _log_leaving
        self.registry.on_return = _log_return
        self.plans: dict[str, pipelines.Plan] = {}
        self.plans_generation = 0
        self.confirmed_layers: dict[tuple[str, int], upstreams.LayerRange] = {}
        self.confirmed_generation = 0
        paces = None
        if settings.shares_load:
            paces = pace_table.PaceTable()
            paces.on_change = pace_log.PaceLog(time.monotonic).record
        self.dispatcher = dispatch.Dispatcher(
            settings.data_centre, self.rng, paces
        )
        self._observed_generations: dict[str, int] = {}
        self.waiting = waiting.WaitingList(self.rng)
        self.waiting.watch(self.dispatcher, self.registry)
        self.quarantine = quarantine.RequestQuarantine()
        self.limits = rate_limits.LimitTable()
        self.retry_budgets: dict[str, retries.RetryBudget] = {}
        self.instance_count = 1
        self.leaving = False
        self.in_flight = 0
        self.rules_callbacks: list[Callable[[rules.Rules], None]] = []
        self._paths: dict[str, tuple[object, list[dispatch.Path]]] = {}

    def apply_rules(
        self, new_rules: rules.Rules, spec: object, source: str
    ) -> None:
        """Applies a configuration if it is newer than the one in force."""
        if self.rules is not None and new_rules.version <= self.rules.version:
            return
        self.rules = new_rules
        self.rules_spec = spec
        _log.info(
            "configuration_applied",
            version=new_rules.version,
            routes=len(new_rules.routes),
            source=source,
        )
        for callback in self.rules_callbacks:
            callback(new_rules)

    def apply_plan(self, service: str, plan: pipelines.Plan) -> None:
        """Applies a plan if it is later than the one in force."""
        current = self.plans.get(service)
        if current is not None and current.rank >= plan.rank:
            return
        self.plans[service] = plan
        self.plans_generation += 1
        self.waiting.notify()
        _log.info(
            "plan_in_force",
            service=service,
            fence=plan.fence,
            generation=plan.generation,
            pipelines=",".join(
                f"{p.name}:{len(p.stages)}" for p in plan.pipelines
            ),
        )

    @property
    def list_generation(self) -> int:
        """Generation of upstreams and plans; increases with each change."""
        return self.registry.entries_generation + self.plans_generation

    def has_current_rules(self) -> bool:
        """Returns whether the rules in force are known to be current.

        They are current while the watch of the store is connected, or while
        instances whose watch is connected report that they have no newer rules.
        """
        if self.store_connected:
            return True
        return time.monotonic() - self.confirmed_at < CONFIRMED_S

    def retry_budget(self, service: str) -> retries.RetryBudget:
        """Returns the retry budget of a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = retries.RetryBudget(
                bounds.retry_share, bounds.retry_reserve, bounds.retry_window_s
            )
            self.retry_budgets[service] = budget
        return budget

    def paths(self, service: rules.Service) -> list[dispatch.Path]:
        """Returns the paths of the complete pipelines of a service."""
        plan = self.plans.get(service.name)
        if plan is None or service.model is None:
            return []
        key = (
            plan.rank,
            self.registry.generation,
            self.confirmed_generation,
            id(service),
        )
        cached = self._paths.get(service.name)
        if cached is not None and cached[0] == key:
            return cached[1]
        model = service.model
        planned = [p for p in plan.pipelines if p.layers == model.layers]
        held = self._planned_holdings(plan, model)
        if self.settings.shares_load:
            complete = room_composition.compose(model, planned, held)
        else:
            complete = composition.compose(model.layers, planned, held)
        paths = path_building.build_paths(model, complete)
        self._paths[service.name] = (key, paths)
        self._observe(
            service.name,
            (
                pace.Server.from_hops(
                    p.name, ((h.name, h.born_ms) for h in p.hops), p.slots
                )
                for p in paths
            ),
        )
        return paths

    def usable_upstreams(self, service: str) -> list[upstreams.Upstream]:
        """Returns the upstreams of a plain service that accept requests."""
        usable = self.registry.usable_of(service)
        generation = self.registry.generation
        if self._observed_generations.get(service) != generation:
            self._observed_generations[service] = generation
            self._observe(service, (_server(u) for u in usable))
        return usable

    def observe_upstreams(self) -> None:
        """Records which upstreams of plain services accept requests.

        Load pattern: an instance gets the first request for a service a minute
        after a server returned, and other instances have proven it since.
        """
        if self.rules is None or self.dispatcher.paces is None:
            return
        generation = self.registry.generation
        for service in self.rules.services.values():
            if (
                service.model is None
                and self._observed_generations.get(service.name) != generation
            ):
                self.usable_upstreams(service.name)

    def _observe(self, service: str, servers: Iterable[pace.Server]) -> None:
        if self.dispatcher.paces is not None:
            self.dispatcher.paces.observe(service, servers, time.monotonic())

    def holds_stage(self, stage: pipelines.Stage) -> bool:
        """Returns whether the engine of a stage is known to hold its layers."""
        engine = self.registry.incarnation(stage.engine, stage.born_ms)
        if engine is None:
            return False
        if engine.layers and engine.layers.covers(stage.first, stage.last):
            return True
        confirmed = self.confirmed_layers.get((stage.engine, stage.born_ms))
        return confirmed is not None and confirmed.covers(
            stage.first, stage.last
        )

    def holds_only_stage(self, stage: pipelines.Stage) -> bool:
        """Returns whether the engine is known to hold just these layers."""
        engine = self.registry.incarnation(stage.engine, stage.born_ms)
        return engine is not None and stage.layers in (
            engine.layers,
            self.confirmed_layers.get((stage.engine, stage.born_ms)),
        )

    def holdings(
        self, service: str, excluded: frozenset[str]
    ) -> list[composition.Holding]:
        """Returns the layers that the usable engines of a service hold.

        Engines that limit their rate are left out: streams that are moved to
        them would take no turns.

        Args:
            service: Name of the service.
            excluded: Addresses of engines to leave out.
        """
        holdings: list[composition.Holding] = []
        known = self.rules.services.get(service) if self.rules else None
        cards = known.model.cards if known and known.model else {}
        for engine in self.registry.usable_of(service):
            if (
                engine.card not in cards
                or engine.address in excluded
                or self.limits.limited((engine,))
            ):
                continue
            layers = self.held(engine)
            if layers is not None:
                holdings.append(
                    composition.Holding(
                        engine, layers, layers.last - layers.first
                    )
                )
        return holdings

    def set_confirmed_layers(
        self, engine: tuple[str, int], layers: upstreams.LayerRange | None
    ) -> None:
        """Records the layers that an engine incarnation has confirmed."""
        if self.confirmed_layers.get(engine) == layers:
            return
        if layers is None:
            del self.confirmed_layers[engine]
        else:
            self.confirmed_layers[engine] = layers
        self.confirmed_generation += 1
        self.waiting.notify()

    def suspect_upstream(
        self, engine: upstreams.Upstream, seconds: float, reason: str
    ) -> None:
        """Excludes an upstream from use for some seconds."""
        until = time.monotonic() + seconds
        if self.registry.suspect(engine.name, engine.born_ms, until):
            _log.warning(
                "upstream_suspected",
                upstream=engine.name,
                address=engine.address,
                reason=reason,
            )

    def apply_statement(
        self, upstream: upstreams.Upstream, statement: statements.Statement
    ) -> None:
        """Applies what an upstream stated about itself in a response."""
        match statement:
            case statements.Leaving():
                self.announce_leaving(
                    upstream.name, upstream.born_ms, "response"
                )
            case statements.Pause(duration_s=duration_s):
                until = time.monotonic() + duration_s
                if self.registry.pause(upstream.name, upstream.born_ms, until):
                    _log.info(
                        "upstream_paused",
                        upstream=upstream.name,
                        seconds=duration_s,
                    )
            case statements.Limit(requests_per_s=rate):
                self.apply_limit(
                    suspicions.Incarnation(upstream.name, upstream.born_ms),
                    rate_limits.Limit(rate, time.monotonic()),
                    "response",
                )
            case statements.NoLimit(sent_at=sent_at):
                self.apply_limit(
                    suspicions.Incarnation(upstream.name, upstream.born_ms),
                    rate_limits.Limit(None, sent_at),
                    "response",
                )

    def apply_limit(
        self,
        engine: suspicions.Incarnation,
        limit: rate_limits.Limit,
        source: str,
    ) -> None:
        """Applies the latest statement of an upstream on its rate.

        Args:
            engine: The upstream.
            limit: Its statement.
            source: Where the statement was received, for the log.
        """
        if self.limits.record(engine, limit, time.monotonic()):
            self._log_limit(engine, source)

    def merge_limit(self, shared: rate_limits.SharedLimit, source: str) -> None:
        """Applies a limit that another instance knows."""
        if self.limits.merge(shared, time.monotonic()):
            self._log_limit(shared.engine, source)

    def _log_limit(self, engine: suspicions.Incarnation, source: str) -> None:
        requests_per_s = self.limits.in_force.get(engine)
        if requests_per_s is None:
            _log.info(
                "upstream_limit_ended", upstream=engine.name, source=source
            )
        else:
            _log.info(
                "upstream_limited",
                upstream=engine.name,
                requests_per_s=requests_per_s,
                source=source,
            )

    def announce_leaving(self, name: str, born_ms: int, source: str) -> None:
        """Excludes an incarnation that has stated that it leaves, for good.

        Args:
            name: Name of the upstream.
            born_ms: Start time of the process, milliseconds since 1970.
            source: Where the statement was received, for the log.
        """
        if self.registry.announce_leaving(name, born_ms, time.monotonic()):
            _log.info("leaving_announced", upstream=name, source=source)

    def log_leaving_hops(self, request: str, path: dispatch.Path) -> None:
        """Logs the upstreams of a path that are known to leave."""
        for hop in path.hops:
            if (hop.name, hop.born_ms) in self.registry.leaving:
                _log.warning(
                    "leaving_upstream_used",
                    request=request,
                    path=path.name,
                    upstream=hop.name,
                )

    def _planned_holdings(
        self, plan: pipelines.Plan, model: rules.Model
    ) -> dict[str, composition.Holding]:
        """Returns the planned layers that usable engines hold, by engine.

        Layers that an engine holds outside its planned range are about to be
        unloaded. An entry without a known card, which another writer may have
        left in place of the engine's own, names no engine to use.
        """
        holdings = {}
        for stage in plan.stages.values():
            engine = self.registry.usable(stage.engine, stage.born_ms)
            if engine is None or engine.card not in model.cards:
                continue
            held = (
                stage.layers if self.holds_stage(stage) else self.held(engine)
            )
            if held is None:
                continue
            first = max(stage.first, held.first)
            last = min(stage.last, held.last)
            if first < last:
                holdings[engine.name] = composition.Holding(
                    engine,
                    upstreams.LayerRange(first, last),
                    self._loaded_layer_count(engine, stage),
                )
        return holdings

    def held(self, engine: upstreams.Upstream) -> upstreams.LayerRange | None:
        """Returns the layers that an engine holds, as last confirmed."""
        return self.confirmed_layers.get(
            (engine.name, engine.born_ms), engine.layers
        )

    def _loaded_layer_count(
        self, engine: upstreams.Upstream, stage: pipelines.Stage
    ) -> int:
        """Returns the layers in memory once the stage is loaded."""
        held = self.held(engine)
        if (
            held is None
            or self.holds_only_stage(stage)
            or not held.covers(stage.first, stage.last)
        ):
            return stage.last - stage.first
        return held.last - held.first


def _server(upstream: upstreams.Upstream) -> pace.Server:
    return _known_server(upstream.name, upstream.born_ms, upstream.slots)


@functools.lru_cache(maxsize=8192)
def _known_server(name: str, born_ms: int, slots: int) -> pace.Server:
    return pace.Server.from_hops(name, ((name, born_ms),), slots)


def _log_leaving(upstream: upstreams.Upstream) -> None:
    _log.info(
        "upstream_leaving",
        upstream=upstream.name,
        address=upstream.address,
        listed_draining=upstream.draining,
    )


def _log_return(upstream: upstreams.Upstream) -> None:
    _log.warning(
        "upstream_returned", upstream=upstream.name, address=upstream.address
    )
