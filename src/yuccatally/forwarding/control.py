"""Control of the engines: who leads, which plan holds, which orders go out."""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.control import lease
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import plans
from yuccatally.core.forwarding import suspicions
from yuccatally.forwarding import inspection
from yuccatally.forwarding import orders
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
# A dead leader is replaced after this time; a renewal each second is a call.
LEASE_TERM_S = 3.0
# Short against the two seconds in which layers are loaded.
TICK_S = 0.1
# One instance besides the holder polls the lease, so that a dead holder is
# replaced; more would only add calls.
CANDIDATES = 2
# The last holder of the lease leads through an outage of the store for this
# long; it covers the outages that the platform's operators plan with.
OUTAGE_LEAD_S = 60.0
# The first plan waits until the list of engines has not grown for this long:
# instances see half of the engines at first, and the rest seconds later.
SETTLE_S = 1.5
# Traffic starts 12 s after the instances, and loads take some two seconds.
SETTLE_MOST_S = 6.0

_log = structlog.get_logger()


class Control:
    """Plans pipelines and gives orders while the lease is held."""

    def __init__(
        self,
        node: state.State,
        others: fleet.Fleet,
        store: client.StoreClient,
        session: aiohttp.ClientSession,
    ) -> None:
        self.node = node
        self.fleet = others
        self.store = store
        self.session = session
        name = node.settings.name
        # A restarted instance must not take its earlier lease for its own.
        self.lease = lease.Lease(f"{name}-{os.urandom(4).hex()}", LEASE_TERM_S)
        self.versions: dict[str, int] = {}
        # Rank of the latest plan that the store is known to have, by service.
        self.saved: dict[str, tuple[int, int]] = {}
        self.plans_listed = False
        self.grew_at = 0.0
        self.engines_seen = 0
        self.first_seen_at = 0.0
        self.orders = orders.Orders(node, session, self)
        self.inspection = inspection.Inspection(
            node, others, session, self.orders
        )
        self.orders.on_lost = self.inspection.lose
        self.held_at: float | None = None
        # Called when a call to the store has failed.
        self.on_store_lost: Callable[[], None] = lambda: None

    @property
    def leads(self) -> bool:
        """Whether orders may be given now.

        The last holder goes on while no instance reaches the store: nobody
        else can take the lease then, and engines refuse its fencing number as
        soon as they have seen a later one.
        """
        now = leases.boot_time_s()
        if self.lease.is_valid(now):
            self.held_at = now
            return True
        return (
            self.held_at is not None
            and now - self.held_at < OUTAGE_LEAD_S
            and self.node.settings.bounds.fences_enforced
            and self.lease.is_holder
            and not self.node.leaving
            and not self.fleet.any_reaches_store()
        )

    def on_plans(
        self,
        items: tuple[client.StoredObject, ...],
        outage: watches.Outage | None = None,
    ) -> None:
        """Takes in the plans of all services."""
        self.plans_listed = True
        for item in items:
            self.on_plan(item, outage)

    def on_plan(
        self, item: client.StoredObject, outage: watches.Outage | None = None
    ) -> None:
        """Takes in the plan of a service."""
        if item.deleted:
            # The holder of the lease writes the plan in force again.
            self.versions.pop(item.name, None)
            self.saved.pop(item.name, None)
            return
        if item.version < self.versions.get(item.name, 0):
            return
        self.versions[item.name] = item.version
        try:
            plan = plans.from_spec(item.spec)
        except plans.PlanFormatError as error:
            _log.warning("plan_ignored", service=item.name, reason=str(error))
            return
        self.node.apply_plan(item.name, plan)
        self._note_saved(item.name, plan)

    async def keep_lease(self) -> None:
        """Holds the lease where this instance should, until cancelled."""
        while True:
            try:
                if self._is_candidate() or self.leads:
                    await leases.run_step(
                        self.store,
                        LEASE_NAME,
                        self.lease,
                        not self.node.leaving,
                    )
                await self._save_plans()
            except client.StoreError as error:
                _log.warning("control_delayed", error=str(error))
                self.on_store_lost()
            await asyncio.sleep(TICK_S)

    async def run(self) -> None:
        """Plans and gives orders while this instance leads."""
        led = False
        while True:
            self.node.registry.expire(time.monotonic())
            self.fleet.news.leads = leads = self.leads
            self.fleet.news.fence = self.lease.fence
            if leads != led:
                event = "control_acquired" if leads else "control_lost"
                _log.info(event, fence=self.lease.fence)
            led = leads
            if leads and self.plans_listed and self.node.rules is not None:
                self.inspection.check()
                for service in self.node.rules.services.values():
                    if service.model is not None:
                        self._advance(service, service.model)
            await asyncio.sleep(TICK_S)

    async def give_up(self) -> None:
        """Gives the lease up, so that another instance leads at once."""
        try:
            await leases.release(self.store, LEASE_NAME, self.lease)
        except client.StoreError as error:
            _log.info("lease_not_given_up", error=str(error))

    def may_lead(self) -> bool:
        """Returns whether this instance leads or may have to at any time."""
        return self._is_candidate() or self.lease.is_holder

    def _is_candidate(self) -> bool:
        """Returns whether this instance is among the first that can lead."""
        if self.node.leaving or not self.node.watch_up:
            return False
        names = [
            m.contact.name
            for m in self.fleet.live()
            if not m.contact.leaving and m.store_connected
        ]
        names.append(self.node.settings.name)
        return self.node.settings.name in sorted(names)[:CANDIDATES]

    def _advance(self, service: rules.Service, model: rules.Model) -> None:
        usable = [
            u
            for u in self.node.registry.entries.values()
            if u.service == service.name
            and not u.draining
            and suspicions.Incarnation(u.name, u.born_ms)
            not in self.fleet.news.lost
        ]
        previous = self.node.plans.get(service.name, pipelines.Plan())
        if previous.pipelines:
            if not self._knows_engines(previous):
                return
            if previous.rank > self.saved.get(service.name, (0, 0)):
                # An earlier holder of the lease could not write it.
                self.fleet.news.unsaved_plans.setdefault(service.name, previous)
        elif not self._settled(len(usable)):
            return
        plan = pipelines.plan(model, usable, previous, self.lease.fence)
        if plan is not previous:
            self._put_in_force(service.name, plan)
        by_name = {u.name: u for u in usable}
        for pipeline in plan.pipelines:
            for stage in pipeline.stages:
                if not self.node.holds(stage):
                    self.orders.start(by_name[stage.engine], stage, model)

    def _knows_engines(self, plan: pipelines.Plan) -> bool:
        """Returns whether engines of a plan that are missing are gone.

        An instance that has just started may not have their entries yet; a
        plan without them would move layers that serve.
        """
        watch = self.fleet.upstream_watch
        if watch is None or watch.listed_at is None:
            return False
        if time.monotonic() - watch.listed_at >= watches.REJOIN_S:
            return True
        return all(name in self.node.registry.entries for name in plan.stages)

    def _settled(self, engines_now: int) -> bool:
        now = time.monotonic()
        if engines_now and not self.first_seen_at:
            self.first_seen_at = now
        if engines_now > self.engines_seen:
            self.grew_at = now
        self.engines_seen = engines_now
        if not engines_now:
            return False
        return (
            now - self.grew_at >= SETTLE_S
            or now - self.first_seen_at >= SETTLE_MOST_S
        )

    def _put_in_force(self, service: str, plan: pipelines.Plan) -> None:
        """Uses a plan at once and brings it to the store.

        While nobody reaches the store, the plan goes to the other instances
        only; engines refuse orders with an outdated fencing number, so a plan
        of a later holder of the lease wins.
        """
        self._log_changes(service, plan)
        self.node.apply_plan(service, plan)
        self.fleet.news.unsaved_plans[service] = plan

    async def _save_plans(self) -> None:
        """Writes plans that the store does not have yet."""
        if not self.lease.is_valid(leases.boot_time_s()):
            return
        for service, plan in list(self.fleet.news.unsaved_plans.items()):
            try:
                stored = await self.store.put(
                    plans.KIND,
                    service,
                    plans.to_spec(plan),
                    {},
                    self.versions.get(service, 0),
                )
            except (client.ConflictError, client.UncertainError):
                # Another holder's plan, or this one: the store's state decides.
                self.on_plan(await self.store.get(plans.KIND, service))
                continue
            self.versions[service] = max(
                stored.version, self.versions.get(service, 0)
            )
            self._note_saved(service, plan)

    def _note_saved(self, service: str, plan: pipelines.Plan) -> None:
        """Forgets a plan that the store has, or has a later one than."""
        self.saved[service] = max(plan.rank, self.saved.get(service, (0, 0)))
        unsaved = self.fleet.news.unsaved_plans.get(service)
        if unsaved is not None and plan.rank >= unsaved.rank:
            del self.fleet.news.unsaved_plans[service]

    def _log_changes(self, service: str, plan: pipelines.Plan) -> None:
        previous = self.node.plans.get(service, pipelines.Plan()).stages
        for pipeline in plan.pipelines:
            changed = [
                s for s in pipeline.stages if previous.get(s.engine) != s
            ]
            if changed:
                _log.info(
                    "pipeline_planned",
                    service=service,
                    generation=plan.generation,
                    pipeline=pipeline.name,
                    changed=",".join(
                        f"{s.engine}={s.first}-{s.last}" for s in changed
                    ),
                )
