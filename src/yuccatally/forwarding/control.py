"""Control of the engines: leader election, placement plans and orders."""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.control import lease
from yuccatally.core.forwarding import members
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import plans
from yuccatally.core.forwarding import suspicions
from yuccatally.forwarding import inspection
from yuccatally.forwarding import orders
from yuccatally.forwarding import placement
from yuccatally.forwarding import watches
from yuccatally.store import client
from yuccatally.store import leases

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from yuccatally.core.forwarding import rules
    from yuccatally.forwarding import fleet
    from yuccatally.forwarding import state

LEASE_NAME = "control"
PLAN_KIND = plans.KIND
# A failed leader is replaced after this time. The lease is renewed each second,
# and each renewal is a call to the store.
LEASE_TERM_S = 3.0
# Short compared with the two seconds that loading layers takes.
TICK_INTERVAL_S = 0.1
# One instance besides the leader polls the lease, so that a failed leader is
# replaced. More candidates would only add calls to the store.
CANDIDATE_COUNT = 2
# The last leader keeps leading for this long during an outage of the store.
# This covers the outages that the operators of the platform plan for.
OUTAGE_LEADERSHIP_S = 60.0
# The first plan is made once the number of engines has not grown for this
# long: at startup half of the engines are listed, the rest seconds later.
SETTLE_PERIOD_S = 1.5
# Upper limit of that wait. Traffic starts 12 s after the instances, and loading
# layers takes about two seconds.
MAX_SETTLE_S = 6.0
# Instances receive a plan with a heartbeat, every 0.3 s.
UNLOAD_DELAY_S = 1.0

_log = structlog.get_logger()


class Control:
    """Computes plans and sends orders to engines while it holds the lease.

    Attributes:
        lease: The control lease.
        stored_versions: Version of the stored plan, by service.
        saved_ranks: Rank of the latest plan known to be stored, by service.
        plans_listed: Whether the stored plans were listed at least once.
        last_growth_at: Time at which the number of engines last grew.
        last_engine_count: Number of engines at the previous check.
        first_engine_at: Time at which the first engine was listed; 0 before.
        lease_valid_at: Time at which the lease was last known to be valid.
        created_at: Time at which this instance was created.
        failed_services: Services whose plan cannot be computed.
        planned_at: Time of the latest change of the plan, by service.
        on_store_failure: Called when a call to the store has failed.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        peers: fleet.Fleet,
        store: client.StoreClient,
        session: aiohttp.ClientSession,
    ) -> None:
        self.state = instance_state
        self.fleet = peers
        self.store = store
        self.session = session
        name = instance_state.settings.name
        # The suffix makes the holder unique to this process: a restarted
        # instance must not treat the lease of its predecessor as its own.
        self.lease = lease.Lease(f"{name}-{os.urandom(4).hex()}", LEASE_TERM_S)
        self.stored_versions: dict[str, int] = {}
        self.saved_ranks: dict[str, tuple[int, int]] = {}
        self.plans_listed = False
        self.last_growth_at = 0.0
        self.last_engine_count = 0
        self.first_engine_at = 0.0
        self.orders = orders.OrderTracker(instance_state, session, self)
        self.inspection = inspection.EngineInspector(
            instance_state, peers, session, self.orders
        )
        self.orders.on_failed = self.inspection.handle_no_answer
        self.lease_valid_at: float | None = None
        self.created_at = time.monotonic()
        self.failed_services: set[str] = set()
        self.planned_at: dict[str, float] = {}
        self.on_store_failure: Callable[[], None] = lambda: None

    @property
    def is_leader(self) -> bool:
        """Whether this instance may send orders now.

        The last leader keeps leading while no instance reaches the store: no
        other instance can acquire the lease then, and engines refuse its
        fencing number once they have seen a later one.
        """
        now = leases.boot_time_s()
        if self.lease.is_valid(now):
            self.lease_valid_at = now
            return True
        return (
            self.lease_valid_at is not None
            and now - self.lease_valid_at < OUTAGE_LEADERSHIP_S
            and self.state.settings.bounds.fences_enforced
            and self.lease.is_holder
            and not self.state.leaving
            and not self.fleet.is_store_reachable()
        )

    def apply_plan_list(
        self,
        items: tuple[client.StoredObject, ...],
        outage: watches.Outage | None = None,
    ) -> None:
        """Applies the complete list of stored plans."""
        self.plans_listed = True
        for item in items:
            self.apply_stored_plan(item, outage)

    def apply_stored_plan(
        self, item: client.StoredObject, outage: watches.Outage | None = None
    ) -> None:
        """Applies a stored plan, or records that it was deleted."""
        if item.deleted:
            # The leader writes the current plan again.
            self.stored_versions.pop(item.name, None)
            self.saved_ranks.pop(item.name, None)
            return
        if item.version < self.stored_versions.get(item.name, 0):
            return
        self.stored_versions[item.name] = item.version
        try:
            plan = plans.from_spec(item.spec)
        except plans.PlanFormatError as error:
            _log.warning("plan_ignored", service=item.name, reason=str(error))
            return
        self.state.apply_plan(item.name, plan)
        self._record_saved(item.name, plan)

    def handle_restore(self) -> None:
        """Forgets what is stored, since the store was restored from a copy.

        The holder of the lease writes plans again that the copy lacks.
        """
        self.stored_versions.clear()
        self.saved_ranks.clear()

    async def keep_lease(self) -> None:
        """Acquires and renews the lease while eligible, until cancelled."""
        while True:
            try:
                if self._is_candidate() or self.is_leader:
                    await leases.run_step(
                        self.store,
                        LEASE_NAME,
                        self.lease,
                        self._may_acquire(),
                    )
                if self.state.store_connected:
                    await self._save_plans()
            except client.StoreError as error:
                _log.warning("control_delayed", error=str(error))
                self.on_store_failure()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def run(self) -> None:
        """Updates plans and sends orders while this instance leads."""
        was_leader = False
        while True:
            self.state.registry.expire(time.monotonic())
            self.fleet.leader_state.is_leader = is_leader = self.is_leader
            self.fleet.leader_state.fence = self.lease.fence
            if is_leader != was_leader:
                event = "control_acquired" if is_leader else "control_lost"
                _log.info(event, fence=self.lease.fence)
            was_leader = is_leader
            if is_leader and self.plans_listed and self.state.rules is not None:
                self.inspection.check()
                for service in self.state.rules.services.values():
                    if service.model is not None:
                        self._try_update_placement(service, service.model)
            await asyncio.sleep(TICK_INTERVAL_S)

    async def release_lease(self) -> None:
        """Releases the lease, so that another instance leads immediately."""
        try:
            await leases.release(self.store, LEASE_NAME, self.lease)
        except client.StoreError as error:
            _log.info("lease_release_failed", error=str(error))

    def may_lead(self) -> bool:
        """Returns whether this instance holds the lease or may acquire it."""
        return self._is_candidate() or self.lease.is_holder

    def _is_candidate(self) -> bool:
        """Returns whether this instance may acquire the lease.

        The candidates are the eligible instances with the largest links, then
        the first ones in order of their names.
        """
        if self.state.leaving or not self.state.store_connected:
            return False
        contacts = [
            m.contact
            for m in self.fleet.live_peers()
            if not m.contact.leaving and m.store_connected
        ]
        contacts.append(self.fleet.own_contact)
        names = members.preferred_names(contacts)
        return self.state.settings.name in names[:CANDIDATE_COUNT]

    def _may_acquire(self) -> bool:
        """Returns whether this candidate may hold the lease.

        An instance that has started less than a term ago cannot tell a lease
        that was never held from one that a restored store has lost. It defers
        to a holder that it hears of.
        """
        if self.state.leaving or self.lease.is_holder:
            return not self.state.leaving
        heard = self.fleet.leader_state.current(time.monotonic())
        return (
            time.monotonic() - self.created_at >= LEASE_TERM_S
            or heard is None
            or self.fleet.is_leaving(heard.holder)
        )

    def _try_update_placement(
        self, service: rules.Service, model: rules.Model
    ) -> None:
        """Updates a plan; an error leaves it as it is, and is logged once.

        An unexpected entry would otherwise end one leader after the other.
        """
        try:
            self._update_placement(service, model)
        except Exception:
            if service.name not in self.failed_services:
                _log.exception("placement_failed", service=service.name)
            self.failed_services.add(service.name)
        else:
            self.failed_services.discard(service.name)

    def _update_placement(
        self, service: rules.Service, model: rules.Model
    ) -> None:
        usable_engines = [
            u
            for u in self.state.registry.entries.values()
            if u.service == service.name
            and not u.draining
            and suspicions.Incarnation(u.name, u.born_ms)
            not in self.fleet.leader_state.failed_until
        ]
        previous = self.state.plans.get(service.name, pipelines.Plan())
        if previous.pipelines:
            if not self._may_replan(previous):
                return
            if previous.rank > self.saved_ranks.get(service.name, (0, 0)):
                # The previous leader could not store it.
                self.fleet.leader_state.unsaved_plans.setdefault(
                    service.name, previous
                )
        elif not self._has_settled(len(usable_engines)):
            return
        plan = placement.make_plan(
            self.state, model, usable_engines, previous, self.lease.fence
        )
        if plan is not previous:
            self._apply_new_plan(service.name, plan)
        by_name = {u.name: u for u in usable_engines}
        for pipeline in plan.pipelines:
            for stage in pipeline.stages:
                # A former replica unloads the layers outside its stage, whose
                # memory requests need.
                if not self.state.holds_only_stage(
                    stage
                ) and not self._must_keep(service.name, stage):
                    self.orders.start(by_name[stage.engine], stage, model)
        # More loads at once would delay those of pipelines.
        startable = max(0, model.loads_at_once - self.orders.running_count)
        missing = [
            s
            for s in plan.replicas
            if not self.state.holds_stage(s) and not self.orders.is_running(s)
        ]
        for stage in missing[:startable]:
            self.orders.start(by_name[stage.engine], stage, model)

    def _must_keep(self, service: str, stage: pipelines.Stage) -> bool:
        """Returns whether an engine must not yet unload other layers.

        Other instances send requests to them until they receive the plan.
        """
        return (
            self.state.settings.shares_load
            and self.state.holds_stage(stage)
            and time.monotonic() - self.planned_at.get(service, 0.0)
            < UNLOAD_DELAY_S
        )

    def _may_replan(self, plan: pipelines.Plan) -> bool:
        """Returns whether missing engines of a plan can be treated as removed.

        An instance that has just started may not have received their entries
        yet. A plan without these engines would move layers that are in use.
        """
        watch = self.fleet.upstream_watch
        if watch is None or watch.first_listed_at is None:
            return False
        if time.monotonic() - watch.first_listed_at >= watches.REJOIN_PERIOD_S:
            return True
        return all(name in self.state.registry.entries for name in plan.stages)

    def _has_settled(self, engine_count: int) -> bool:
        now = time.monotonic()
        if engine_count and not self.first_engine_at:
            self.first_engine_at = now
        if engine_count > self.last_engine_count:
            self.last_growth_at = now
        self.last_engine_count = engine_count
        if not engine_count:
            return False
        return (
            now - self.last_growth_at >= SETTLE_PERIOD_S
            or now - self.first_engine_at >= MAX_SETTLE_S
        )

    def _apply_new_plan(self, service: str, plan: pipelines.Plan) -> None:
        """Applies a plan immediately and queues it to be stored.

        While no instance reaches the store, only the other instances receive
        the plan. Engines refuse orders with an outdated fencing number, so the
        plan of a later leader takes precedence.
        """
        placement.log_changes(self.state, service, plan)
        self.planned_at[service] = time.monotonic()
        self.state.apply_plan(service, plan)
        self.fleet.leader_state.unsaved_plans[service] = plan

    async def _save_plans(self) -> None:
        """Writes plans that are not stored yet."""
        if not self.lease.is_valid(leases.boot_time_s()):
            return
        for service, plan in list(
            self.fleet.leader_state.unsaved_plans.items()
        ):
            try:
                stored = await self.store.put(
                    plans.KIND,
                    service,
                    plans.to_spec(plan),
                    {},
                    self.stored_versions.get(service, 0),
                )
            except (client.ConflictError, client.UncertainError):
                # Another leader or a lost response: read back what is stored.
                self.apply_stored_plan(
                    await self.store.get(plans.KIND, service)
                )
                continue
            self.stored_versions[service] = max(
                stored.version, self.stored_versions.get(service, 0)
            )
            self._record_saved(service, plan)

    def _record_saved(self, service: str, plan: pipelines.Plan) -> None:
        """Drops an unsaved plan once it or a later one is stored."""
        self.saved_ranks[service] = max(
            plan.rank, self.saved_ranks.get(service, (0, 0))
        )
        unsaved = self.fleet.leader_state.unsaved_plans.get(service)
        if unsaved is not None and plan.rank >= unsaved.rank:
            del self.fleet.leader_state.unsaved_plans[service]
