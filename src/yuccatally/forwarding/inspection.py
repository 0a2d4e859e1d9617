"""Failure detection: checks of engines that requests found at fault."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

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

_log = structlog.get_logger()


class EngineInspector:
    """Confirms which suspected engines have failed.

    Attributes:
        checked_at: Time of the last check, by kind of check and engine.
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
            self.mark_failed(engine, str(error))
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
            self.mark_failed(engine, str(error))

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
            self.mark_failed(engine, str(error))
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

    def mark_failed(self, engine: upstreams.Upstream, reason: str) -> None:
        """Excludes an engine from plans and requests for ``FAILED_TTL_S``."""
        key = suspicions.Incarnation(engine.name, engine.born_ms)
        if key not in self.fleet.leader_state.failed_until:
            _log.warning("engine_lost", engine=engine.name, reason=reason)
        self.fleet.leader_state.failed_until[key] = (
            time.monotonic() + FAILED_TTL_S
        )
        self.state.suspect_upstream(engine, FAILED_TTL_S, reason)
