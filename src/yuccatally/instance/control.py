"""Carries out control: leases, reports of engines, orders, object writes."""

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

TICK_S = 0.5
# While nothing is to be done, engines are asked for reports this often.
IDLE_INTERVAL_S = 5.0
CANDIDATES = 2
REPORTS_AT_ONCE = 32

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class Progress:
    """Where the control of one placement stands, as this instance sees it.

    Attributes:
        held: Whether this instance holds the lease.
        fence: Fencing number of the lease.
        plan: Why the plan is as it is.
        blocked: What cannot be done yet, and why.
    """

    held: bool
    fence: int
    plan: str
    blocked: tuple[states.Blocked, ...]


@dataclasses.dataclass(frozen=True)
class _Idle:
    """Until when a placement with nothing to do is left alone.

    A change of the fencing number or of an object ends it early.
    """

    until: float
    fence: int
    revision: int


class PlacementController:
    """Control of all placements for which this instance is a candidate.

    Each placement has a lease of its own, so that the work is spread over the
    instances and the loss of one holds up few placements.
    """

    def __init__(
        self,
        name: str,
        store: client.StoreClient,
        config: configuration.Configuration,
        live: Callable[[], Sequence[str]],
    ) -> None:
        self.name = name
        # A restarted instance must not take its earlier lease for its own.
        self.holder = f"{name}-{os.urandom(4).hex()}"
        self.store = store
        self.config = config
        self.live = live
        self.leases: dict[str, lease.Lease] = {}
        self.progress: dict[str, Progress] = {}
        self.idle: dict[str, _Idle] = {}
        self.session: aiohttp.ClientSession

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Runs until cancelled."""
        self.session = session
        while True:
            for placement in self.config.of_kind("placement"):
                try:
                    await self._advance(placement)
                except client.StoreError as error:
                    _log.warning(
                        "control_delayed",
                        placement=placement.name,
                        error=str(error),
                    )
                except Exception:
                    # A fault in one placement must not end control of others.
                    _log.exception("control_failed", placement=placement.name)
            await asyncio.sleep(TICK_S)

    async def give_up(self) -> None:
        """Gives held leases up, so that others need not wait for a term."""
        for name, held in self.leases.items():
            await leases.release(self.store, name, held)

    async def _advance(self, placement: kinds.Object) -> None:
        name = placement.name
        wanted = self._is_candidate(name)
        if not wanted and name not in self.leases:
            return
        held = self.leases.setdefault(name, lease.Lease(self.holder))
        await leases.run_step(self.store, name, held, wanted)
        if held.is_valid(leases.boot_time_s()):
            if self._is_due(placement, held):
                await self._reconcile(placement, held)
        else:
            self.progress[name] = Progress(False, held.fence, "", ())

    def _is_due(self, placement: kinds.Object, held: lease.Lease) -> bool:
        idle = self.idle.get(placement.name)
        return (
            idle is None
            or leases.boot_time_s() >= idle.until
            or idle.fence != held.fence
            or idle.revision != self._relevant_revision(placement)
        )

    def _relevant_revision(self, placement: kinds.Object) -> int:
        """Returns the revision of the last change that control acts on."""
        relevant = ("engine", "model", "pipeline")
        revisions = (
            o.revision for kind in relevant for o in self.config.of_kind(kind)
        )
        return max(placement.revision, *revisions, 0)

    async def _reconcile(
        self, placement: kinds.Object, held: lease.Lease
    ) -> None:
        # Read from the platform: the copy in force here may be behind what
        # the last holder wrote.
        listing = await self.store.list_objects("pipeline")
        events = [
            documents.event_from(watch.document_of(stored))
            for stored in listing.items
        ]
        found = [e.declared for e in events if e.declared is not None]
        declared = targets.declared_pipelines(placement.name, found)
        target = targets.desired_state(
            placement, self.config, rates.Links(), declared
        )
        if target is None:
            return
        desired, plan = target
        model = await self.store.get("model", desired.model)
        engines = await self._reports(desired, declared)
        observed = states.ObservedState(
            str(model.spec["version"]), declared, engines
        )
        steps = reconciler.reconcile(desired, observed)
        blocked = tuple(s for s in steps if isinstance(s, states.Blocked))
        self.progress[placement.name] = Progress(
            True, held.fence, plan.reason, blocked
        )
        if steps:
            self.idle.pop(placement.name, None)
        else:
            self.idle[placement.name] = _Idle(
                leases.boot_time_s() + IDLE_INTERVAL_S,
                held.fence,
                self._relevant_revision(placement),
            )
        versions = {o.name: o.version for o in found}
        for step in steps:
            if not held.is_valid(leases.boot_time_s()):
                return
            await self._perform(step, placement, held, versions, model)

    async def _reports(
        self,
        desired: states.DesiredState,
        declared: tuple[states.Pipeline, ...],
    ) -> dict[str, states.EngineState]:
        names = {
            s.engine for p in (*desired.pipelines, *declared) for s in p.stages
        }
        gate = asyncio.Semaphore(REPORTS_AT_ONCE)

        async def ask(name: str) -> states.EngineState | None:
            engine = self.config.get("engine", name)
            if engine is None:
                return None
            async with gate:
                return await orders.fetch_engine_state(
                    self.session, name, engine.spec.address
                )

        reports = await asyncio.gather(*(ask(n) for n in sorted(names)))
        return {r.name: r for r in reports if r is not None}

    async def _perform(
        self,
        step: states.Step,
        placement: kinds.Object,
        held: lease.Lease,
        versions: dict[str, int],
        model: client.StoredObject,
    ) -> None:
        match step:
            case states.Blocked():
                return
            case states.Load(engine=engine) | states.Unload(engine=engine):
                await self._order(engine, step, held)
            case states.DeclarePipeline(pipeline=pipeline):
                labels = {targets.PLACEMENT_LABEL: placement.name}
                await self._put(
                    "pipeline",
                    pipeline.name,
                    targets.pipeline_spec(pipeline),
                    labels,
                    versions.get(pipeline.name, 0),
                )
            case states.RemovePipeline(name=name):
                await self._delete("pipeline", name, versions.get(name, 0))
            case states.SwitchVersion(version=version):
                await self._put(
                    "model",
                    model.name,
                    {**model.spec, "version": version},
                    model.labels,
                    model.version,
                )
        _log.info(
            "control_step",
            placement=placement.name,
            fence=held.fence,
            step=type(step).__name__,
            detail=str(step),
        )

    async def _order(
        self,
        engine: str,
        order: states.Load | states.Unload,
        held: lease.Lease,
    ) -> None:
        declared = self.config.get("engine", engine)
        if declared is None:
            return
        try:
            await orders.send_order(
                self.session, declared.spec.address, order, held.fence
            )
        except orders.OrderError as error:
            _log.warning("order_failed", engine=engine, error=str(error))
            if error.stale_fence:
                # Another instance has given orders under a newer number.
                held.apply_conflict()

    async def _put(
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
            # The next pass starts from what the platform then holds.
            _log.info("control_write_unsettled", error=str(error))

    async def _delete(self, kind: str, name: str, version: int) -> None:
        try:
            await self.store.delete(kind, name, version)
        except (
            client.ConflictError,
            client.NotFoundError,
            client.UncertainError,
        ) as error:
            _log.info("control_write_unsettled", error=str(error))

    def _is_candidate(self, placement: str) -> bool:
        """Returns whether the instance is among the first by hash."""
        names = {*self.live(), self.name}
        return self.name in rendezvous.ranked(placement, names, CANDIDATES)
