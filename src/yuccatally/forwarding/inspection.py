"""Failure detection: checks of engines that requests found at fault."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import checks
from yuccatally.core.forwarding import suspicions
from yuccatally.platform import engines

if TYPE_CHECKING:
    import aiohttp

    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import fleet
    from yuccatally.forwarding import orders
    from yuccatally.forwarding import state

# Engines that did not answer a report request are excluded from plans for this
# long.
FAILED_TTL_S = 6.0
# Minimum interval between two checks of a suspected engine.
CHECK_INTERVAL_S = 0.8
# Failed engines whose exclusion ends within this time are checked again. The
# margin leaves time for a request that is not answered.
RECHECK_MARGIN_S = 1.2
# Checks that were sent together time out within this time.
TIMEOUT_SPREAD_S = 0.05

_log = structlog.get_logger()


class EngineInspector:
    """Confirms which suspected engines have failed.

    Attributes:
        checked_at: Time of the last check, by kind of check and engine.
        timeouts: Latest checks that timed out.
        comparison: Running check of engines that are expected to answer.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        peers: fleet.Fleet,
        session: aiohttp.ClientSession,
        order_tracker: orders.OrderTracker,
    ) -> None:
        self.state = instance_state
        self.fleet = peers
        self.session = session
        self.orders = order_tracker
        self.checked_at: dict[tuple[str, suspicions.Incarnation], float] = {}
        self.timeouts = checks.TimeoutHistory()
        self.comparison: asyncio.Task[bool] | None = None

    def check(self) -> None:
        """Starts the checks of suspected engines that are due."""
        now = time.monotonic()
        expiring = [
            e
            for e, t in self.fleet.leader_state.failed_until.items()
            if t - now < RECHECK_MARGIN_S
        ]
        for check, engines_to_check in (
            (self._check_silent, self.fleet.suspected_silent),
            (self._check_refusing, self.fleet.suspected_refusing),
            (self._recheck, expiring),
        ):
            for engine in engines_to_check:
                key = (check.__name__, engine)
                if (
                    now - self.checked_at.get(key, -CHECK_INTERVAL_S)
                    >= CHECK_INTERVAL_S
                ):
                    self.checked_at[key] = now
                    self.fleet.spawn(check(engine))

    async def _check_refusing(self, suspected: suspicions.Incarnation) -> None:
        """Checks whether an engine that refuses requests is shutting down."""
        engine = self.state.registry.incarnation(
            suspected.name, suspected.born_ms
        )
        if engine is None:
            return
        current_rules = self.state.rules
        service = (
            current_rules.services.get(engine.service)
            if current_rules
            else None
        )
        if service is None:
            return
        try:
            report = await engines.fetch_report(self.session, engine)
            healthy = await engines.is_healthy(
                self.session, engine, service.health
            )
            _log.info(
                "refuser_checked",
                engine=engine.name,
                healthy=healthy,
                running=report.running,
                waiting=report.waiting,
                used=report.used_token_layers,
                total=report.total_token_layers,
                layers=str(report.layers),
            )
            # An engine at capacity also refuses health checks.
            if healthy or report.running + report.waiting >= engine.slots:
                return
        except engines.ReportError as error:
            await self._handle_no_report(engine, error)
            return
        self.mark_failed(engine, "refuses requests and health checks")

    async def _recheck(self, failed: suspicions.Incarnation) -> None:
        """Extends the exclusion of a failed engine that still does not answer.

        Its entry can remain long after the engine has ended, while the store is
        not reachable.
        """
        engine = self.state.registry.incarnation(failed.name, failed.born_ms)
        if engine is None:
            return
        try:
            await engines.fetch_report(self.session, engine)
        except engines.ReportError as error:
            await self._handle_no_report(engine, error)

    async def _check_silent(self, suspected: suspicions.Incarnation) -> None:
        """Requests a report from an engine; marks it as failed without one."""
        engine = self.state.registry.incarnation(
            suspected.name, suspected.born_ms
        )
        if engine is None:
            return
        key = (engine.name, engine.born_ms)
        try:
            report = await engines.fetch_report(self.session, engine)
        except engines.ReportError as error:
            await self._handle_no_report(engine, error)
            return
        for address in set(report.stalled_on.values()):
            # An engine can answer report requests while its neighbours cannot
            # reach it.
            blocking = self.state.registry.by_address(address)
            if blocking is not None:
                self.mark_failed(blocking, f"{engine.name} waits for it")
        self.orders.accepted_counts[key] = report.accepted_order_count
        confirmed = self.state.confirmed_layers.get(key)
        if confirmed is not None and report.layers != confirmed:
            self.state.set_confirmed_layers(key, None)
        self.fleet.leader_state.failed_until.pop(suspected, None)

    def handle_no_answer(self, engine: upstreams.Upstream, reason: str) -> None:
        """Handles an engine that did not answer several orders."""
        error = engines.ReportTimeoutError(reason)
        self.fleet.spawn(self._handle_no_report(engine, error))

    async def _handle_no_report(
        self, engine: upstreams.Upstream, error: engines.ReportError
    ) -> None:
        """Marks an engine as failed, unless this instance may be at fault."""
        if self.state.settings.shares_load and isinstance(
            error, engines.ReportTimeoutError
        ):
            key = suspicions.Incarnation(engine.name, engine.born_ms)
            self.timeouts.record(key, time.monotonic())
            await asyncio.sleep(TIMEOUT_SPREAD_S)
            if (
                self.timeouts.needs_comparison(time.monotonic())
                and not await self._has_connectivity()
            ):
                _log.warning(
                    "check_discarded",
                    engine=engine.name,
                    timeouts=len(self.timeouts.timed_out_at),
                    reason="no other engine answers in time either",
                )
                return
        self.mark_failed(engine, str(error))

    async def _has_connectivity(self) -> bool:
        """Returns whether another engine answers a check in time."""
        if self.comparison is None or self.comparison.done():
            self.comparison = asyncio.create_task(self._compare())
        return await asyncio.shield(self.comparison)

    async def _compare(self) -> bool:
        registry = self.state.registry
        usable = [
            suspicions.Incarnation(u.name, u.born_ms)
            for u in registry.entries.values()
            if u.card and not u.draining
        ]
        chosen = checks.comparison_engines(
            str(time.monotonic()),
            usable,
            (
                *self.timeouts.timed_out_at,
                *self.fleet.leader_state.failed_until,
            ),
        )
        found = [registry.incarnation(e.name, e.born_ms) for e in chosen]
        results = await asyncio.gather(
            *(
                engines.fetch_report(self.session, engine)
                for engine in found
                if engine is not None
            ),
            return_exceptions=True,
        )
        return any(
            not isinstance(r, engines.ReportTimeoutError) for r in results
        )

    def mark_failed(self, engine: upstreams.Upstream, reason: str) -> None:
        """Excludes an engine from plans and requests for ``FAILED_TTL_S``."""
        key = suspicions.Incarnation(engine.name, engine.born_ms)
        if key not in self.fleet.leader_state.failed_until:
            _log.warning("engine_lost", engine=engine.name, reason=reason)
        self.fleet.leader_state.failed_until[key] = (
            time.monotonic() + FAILED_TTL_S
        )
        self.state.suspect_upstream(engine, FAILED_TTL_S, reason)
