"""What the parts of a forwarding instance share."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import reroute
from yuccatally.core.forwarding import retries
from yuccatally.core.forwarding import upstreams
from yuccatally.forwarding import spans

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.core.forwarding import instance_settings
    from yuccatally.core.forwarding import rules

# A configuration that neither store nor peers have confirmed for this long may
# be out of date. Each pair of eight instances meets every 0.3 s, so silence for
# this long is no chance.
CONFIRMED_S = 2.5

_log = structlog.get_logger()


class InstanceState:
    """Rules, upstreams, plans and load as this instance believes them.

    Attributes:
        rules: Configuration in force; None before the first.
        rules_spec: The same as the platform holds it, for other instances.
        watch_up: Whether the watch of the configuration is up.
        confirmed_at: Time at which a peer last confirmed the rules.
        spans: Hops of the latest requests.
        registry: Upstreams.
        plans: Pipelines by service.
        plans_generation: Number of the last change of them.
        held: Layers that a report has shown, by engine and birth.
        dispatcher: Choice of paths.
        instances: Instances that share the retry budget, this one included.
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
        self.plans: dict[str, pipelines.Plan] = {}
        self.plans_generation = 0
        self.confirmed_layers: dict[tuple[str, int], upstreams.LayerRange] = {}
        self.confirmed_generation = 0
        self.dispatcher = dispatch.Dispatcher(settings.data_centre, self.rng)
        self.retry_budgets: dict[str, retries.RetryBudget] = {}
        self.instance_count = 1
        self.leaving = False
        self.in_flight = 0
        self.rules_callbacks: list[Callable[[rules.Rules], None]] = []
        self._paths: dict[str, tuple[object, list[dispatch.Path]]] = {}

    def apply_rules(
        self, found: rules.Rules, spec: object, source: str
    ) -> None:
        """Puts a configuration in force unless it is older."""
        if self.rules is not None and found.version <= self.rules.version:
            return
        self.rules = found
        self.rules_spec = spec
        _log.info(
            "configuration_applied",
            version=found.version,
            routes=len(found.routes),
            source=source,
        )
        for call in self.rules_callbacks:
            call(found)

    def apply_plan(self, service: str, plan: pipelines.Plan) -> None:
        """Puts a plan in force unless a later one is."""
        known = self.plans.get(service)
        if known is not None and known.rank >= plan.rank:
            return
        self.plans[service] = plan
        self.plans_generation += 1
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
        """Number of the last change of upstreams or plans."""
        return self.registry.entries_generation + self.plans_generation

    def has_current_rules(self) -> bool:
        """Returns whether no newer rules than those in force are known of.

        That is so while the store's watch is up, or while instances whose
        watch is up state that they have no newer ones.
        """
        if self.store_connected:
            return True
        return time.monotonic() - self.confirmed_at < CONFIRMED_S

    def retry_budget(self, service: str) -> retries.RetryBudget:
        """Returns the retry budget of a service."""
        found = self.retry_budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = retries.RetryBudget(
                bounds.retry_share, bounds.retry_reserve, bounds.retry_window_s
            )
            self.retry_budgets[service] = found
        return found

    def paths(self, service: rules.Service) -> list[dispatch.Path]:
        """Returns the pipelines of a service that are whole now."""
        plan = self.plans.get(service.name)
        if plan is None or service.model is None:
            return []
        key = (
            plan.rank,
            self.registry.generation,
            self.confirmed_generation,
            id(service),
        )
        known = self._paths.get(service.name)
        if known is not None and known[0] == key:
            return known[1]
        whole = []
        for pipeline in plan.pipelines:
            hops = self._hops(pipeline, service.model.layers)
            if hops is not None:
                whole.append((pipeline.name, hops))
        found = dispatch.build_paths(service.model, whole)
        self._paths[service.name] = (key, found)
        return found

    def holds_stage(self, stage: pipelines.Stage) -> bool:
        """Returns whether an engine is known to hold its range."""
        found = self.registry.incarnation(stage.engine, stage.born_ms)
        if found is None:
            return False
        if found.layers and found.layers.covers(stage.first, stage.last):
            return True
        held = self.confirmed_layers.get((stage.engine, stage.born_ms))
        return held is not None and held.covers(stage.first, stage.last)

    def holdings(
        self, service: str, excluded: frozenset[str]
    ) -> list[reroute.Holding]:
        """Returns what the usable engines of a service hold.

        Args:
            service: Name of the service.
            excluded: Addresses of engines to leave out.
        """
        found = []
        for engine in self.registry.usable_of(service):
            held = self.confirmed_layers.get(
                (engine.name, engine.born_ms), engine.layers
            )
            if held is not None and engine.address not in excluded:
                found.append(reroute.Holding(engine, held))
        return found

    def set_confirmed_layers(
        self, engine: tuple[str, int], layers: upstreams.LayerRange | None
    ) -> None:
        """Notes the layers that an incarnation was seen to hold."""
        if self.confirmed_layers.get(engine) == layers:
            return
        if layers is None:
            del self.confirmed_layers[engine]
        else:
            self.confirmed_layers[engine] = layers
        self.confirmed_generation += 1

    def suspect_upstream(
        self, engine: upstreams.Upstream, seconds: float, reason: str
    ) -> None:
        """Stops the use of an upstream for a while."""
        until = time.monotonic() + seconds
        if self.registry.suspect(engine.name, engine.born_ms, until):
            _log.warning(
                "upstream_suspected",
                upstream=engine.name,
                address=engine.address,
                reason=reason,
            )

    def _hops(
        self, pipeline: pipelines.Pipeline, layers: int
    ) -> tuple[dispatch.Hop, ...] | None:
        """Returns the stages of a pipeline, None unless it is whole."""
        hops = []
        if pipeline.layers != layers:
            return None
        for stage in pipeline.stages:
            engine = self.registry.usable(stage.engine, stage.born_ms)
            if engine is None or not self.holds_stage(stage):
                return None
            hops.append(dispatch.Hop(engine, stage.first, stage.last))
        return tuple(hops)
