"""Controls placements: leases, engine reports, orders and object writes."""

from __future__ import annotations

import asyncio
import dataclasses
import os
from typing import TYPE_CHECKING
from typing import Any

import structlog

from yuccatally.core import rendezvous
from yuccatally.core.config import documents
from yuccatally.core.control import lease
from yuccatally.core.control import reconciler
from yuccatally.core.control import states
from yuccatally.core.control import targets
from yuccatally.core.placement import rates
from yuccatally.instance import watch
from yuccatally.store import client
from yuccatally.store import leases
from yuccatally.upstreams import orders

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    import aiohttp

    from yuccatally.core.config import configuration
    from yuccatally.core.objects import kinds

TICK_INTERVAL_S = 0.5
# Interval for reading engine reports while a placement needs no steps.
IDLE_INTERVAL_S = 5.0
CANDIDATE_COUNT = 2
MAX_CONCURRENT_REPORTS_COUNT = 32

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class PlacementStatus:
    """State of the control of one placement, as known to this instance.

    Attributes:
        held: Whether this instance holds the lease.
        fence: Fencing number of the lease.
        plan: Reason for the current plan.
        blocked: Steps that are not possible yet, with the reason.
    """

    held: bool
    fence: int
    plan: str
    blocked: tuple[states.Blocked, ...]


@dataclasses.dataclass(frozen=True)
class _IdlePause:
    """Pause of the control of a placement that needs no steps.

    A change of the fencing number or of an object ends the pause early.
    """

    until: float
    fence: int
    revision: int


class PlacementController:
    """Controls all placements for which this instance is a candidate.

    Each placement has its own lease. This distributes the work over the
    instances, and the failure of one instance delays few placements.

    Attributes:
        statuses: Status of each placement that this instance controls or may
            control, by name.
    """

    def __init__(
        self,
        name: str,
        store: client.StoreClient,
        config: configuration.Configuration,
        live_instances: Callable[[], Sequence[str]],
    ) -> None:
        self.name = name
        # A restarted instance must not regard a lease of its previous process
        # as its own.
        self.holder = f"{name}-{os.urandom(4).hex()}"
        self.store = store
        self.config = config
        self.live_instances = live_instances
        self.leases: dict[str, lease.Lease] = {}
        self.statuses: dict[str, PlacementStatus] = {}
        self.idle_pauses: dict[str, _IdlePause] = {}
        self.session: aiohttp.ClientSession

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Controls placements until cancelled."""
        self.session = session
        while True:
            for placement in self.config.of_kind("placement"):
                try:
                    await self._run_placement(placement)
                except client.StoreError as error:
                    _log.warning(
                        "control_delayed",
                        placement=placement.name,
                        error=str(error),
                    )
                except Exception:
                    # One placement must not stop the control of the others.
                    _log.exception("control_failed", placement=placement.name)
            await asyncio.sleep(TICK_INTERVAL_S)

    async def release_leases(self) -> None:
        """Releases all leases, so that others need not wait for their end."""
        for name, own_lease in self.leases.items():
            await leases.release(self.store, name, own_lease)

    async def _run_placement(self, placement: kinds.Object) -> None:
        name = placement.name
        candidate = self._is_candidate(name)
        if not candidate and name not in self.leases:
            return
        own_lease = self.leases.setdefault(name, lease.Lease(self.holder))
        await leases.run_step(self.store, name, own_lease, candidate)
        if own_lease.is_valid(leases.boot_time_s()):
            if self._is_due(placement, own_lease):
                await self._reconcile(placement, own_lease)
        else:
            self.statuses[name] = PlacementStatus(
                False, own_lease.fence, "", ()
            )

    def _is_due(self, placement: kinds.Object, own_lease: lease.Lease) -> bool:
        idle = self.idle_pauses.get(placement.name)
        return (
            idle is None
            or leases.boot_time_s() >= idle.until
            or idle.fence != own_lease.fence
            or idle.revision != self._relevant_revision(placement)
        )

    def _relevant_revision(self, placement: kinds.Object) -> int:
        """Returns the latest revision of the objects that affect control."""
        relevant_kinds = ("engine", "model", "pipeline")
        revisions = (
            o.revision
            for kind in relevant_kinds
            for o in self.config.of_kind(kind)
        )
        return max(placement.revision, *revisions, 0)

    async def _reconcile(
        self, placement: kinds.Object, own_lease: lease.Lease
    ) -> None:
        # Read from the platform, since the configuration in force here may be
        # older than the last writes of the previous holder.
        listing = await self.store.list_objects("pipeline")
        events = [
            documents.event_from(watch.to_document(stored))
            for stored in listing.items
        ]
        stored_pipelines = [
            e.declared for e in events if e.declared is not None
        ]
        declared = targets.declared_pipelines(placement.name, stored_pipelines)
        desired_and_plan = targets.desired_state(
            placement, self.config, rates.Links(), declared
        )
        if desired_and_plan is None:
            return
        desired, plan = desired_and_plan
        model = await self.store.get("model", desired.model)
        engines = await self._fetch_reports(desired, declared)
        observed = states.ObservedState(
            str(model.spec["version"]), declared, engines
        )
        steps = reconciler.reconcile(desired, observed)
        blocked = tuple(s for s in steps if isinstance(s, states.Blocked))
        self.statuses[placement.name] = PlacementStatus(
            True, own_lease.fence, plan.reason, blocked
        )
        if steps:
            self.idle_pauses.pop(placement.name, None)
        else:
            self.idle_pauses[placement.name] = _IdlePause(
                leases.boot_time_s() + IDLE_INTERVAL_S,
                own_lease.fence,
                self._relevant_revision(placement),
            )
        versions = {o.name: o.version for o in stored_pipelines}
        for step in steps:
            if not own_lease.is_valid(leases.boot_time_s()):
                return
            await self._perform_step(
                step, placement, own_lease, versions, model
            )

    async def _fetch_reports(
        self,
        desired: states.DesiredState,
        declared: tuple[states.Pipeline, ...],
    ) -> dict[str, states.EngineState]:
        names = {
            s.engine for p in (*desired.pipelines, *declared) for s in p.stages
        }
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REPORTS_COUNT)

        async def fetch(name: str) -> states.EngineState | None:
            engine = self.config.get("engine", name)
            if engine is None:
                return None
            async with semaphore:
                return await orders.fetch_engine_state(
                    self.session, name, engine.spec.address
                )

        reports = await asyncio.gather(*(fetch(n) for n in sorted(names)))
        return {r.name: r for r in reports if r is not None}

    async def _perform_step(
        self,
        step: states.Step,
        placement: kinds.Object,
        own_lease: lease.Lease,
        versions: dict[str, int],
        model: client.StoredObject,
    ) -> None:
        match step:
            case states.Blocked():
                return
            case states.Load(engine=engine) | states.Unload(engine=engine):
                await self._send_order(engine, step, own_lease)
            case states.DeclarePipeline(pipeline=pipeline):
                labels = {targets.PLACEMENT_LABEL: placement.name}
                await self._put_object(
                    "pipeline",
                    pipeline.name,
                    targets.pipeline_spec(pipeline),
                    labels,
                    versions.get(pipeline.name, 0),
                )
            case states.RemovePipeline(name=name):
                await self._delete_object(
                    "pipeline", name, versions.get(name, 0)
                )
            case states.SwitchVersion(version=version):
                await self._put_object(
                    "model",
                    model.name,
                    {**model.spec, "version": version},
                    model.labels,
                    model.version,
                )
        _log.info(
            "control_step",
            placement=placement.name,
            fence=own_lease.fence,
            step=type(step).__name__,
            detail=str(step),
        )

    async def _send_order(
        self,
        engine: str,
        order: states.Load | states.Unload,
        own_lease: lease.Lease,
    ) -> None:
        declared = self.config.get("engine", engine)
        if declared is None:
            return
        try:
            await orders.send_order(
                self.session, declared.spec.address, order, own_lease.fence
            )
        except orders.OrderError as error:
            _log.warning("order_failed", engine=engine, error=str(error))
            if error.stale_fence:
                # Another instance has sent orders with a newer fencing number.
                own_lease.apply_conflict()

    async def _put_object(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        labels: dict[str, str],
        version: int,
    ) -> None:
        try:
            await self.store.put(kind, name, spec, labels, version)
        except (client.ConflictError, client.UncertainError) as error:
            # The next pass starts from the state that the platform then has.
            _log.info("control_write_unsettled", error=str(error))

    async def _delete_object(self, kind: str, name: str, version: int) -> None:
        try:
            await self.store.delete(kind, name, version)
        except (
            client.ConflictError,
            client.NotFoundError,
            client.UncertainError,
        ) as error:
            _log.info("control_write_unsettled", error=str(error))

    def _is_candidate(self, placement: str) -> bool:
        """Returns whether hashing makes this instance a candidate."""
        names = {*self.live_instances(), self.name}
        return self.name in rendezvous.ranked(placement, names, CANDIDATE_COUNT)
