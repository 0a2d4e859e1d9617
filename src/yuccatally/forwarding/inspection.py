"""Reports and health checks of engines that requests found at fault."""

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

# An engine that did not answer a report is left out of plans for this long.
FAILED_TTL_S = 6.0
# Engines in doubt are asked for a report this often.
CHECK_INTERVAL_S = 0.8
# Lost engines whose time is up within this are asked once more; it has room
# for a question that is not answered.
RECHECK_MARGIN_S = 1.2

_log = structlog.get_logger()


class EngineInspector:
    """Decides which engines in doubt are lost.

    Attributes:
        verified_at: Time of the last question by kind and engine.
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
        """Asks engines in doubt, each no more often than is useful."""
        now = time.monotonic()
        ending = [
            e
            for e, t in self.fleet.leader_state.failed_until.items()
            if t - now < RECHECK_MARGIN_S
        ]
        for check, noted in (
            (self._check_silent, self.fleet.suspected_silent),
            (self._check_refusing, self.fleet.suspected_refusing),
            (self._recheck, ending),
        ):
            for engine in noted:
                key = (check.__name__, engine)
                if (
                    now - self.checked_at.get(key, -CHECK_INTERVAL_S)
                    >= CHECK_INTERVAL_S
                ):
                    self.checked_at[key] = now
                    self.fleet.spawn(check(engine))

    async def _check_refusing(self, suspected: suspicions.Incarnation) -> None:
        """Asks an engine that refuses whether it is leaving."""
        engine = self.state.registry.incarnation(
            suspected.name, suspected.born_ms
        )
        if engine is None:
            return
        in_force = self.state.rules
        service = in_force.services.get(engine.service) if in_force else None
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
            # A full engine refuses health checks as well.
            if healthy or report.running + report.waiting >= engine.slots:
                return
        except engines.ReportError as error:
            self.mark_failed(engine, str(error))
            return
        self.mark_failed(engine, "refuses requests and health checks")

    async def _recheck(self, lost: suspicions.Incarnation) -> None:
        """Leaves a lost engine out of plans for longer if it is still silent.

        Its entry can stay long after its end, while the store is away.
        """
        engine = self.state.registry.incarnation(lost.name, lost.born_ms)
        if engine is None:
            return
        try:
            await engines.fetch_report(self.session, engine)
        except engines.ReportError as error:
            self.mark_failed(engine, str(error))

    async def _check_silent(self, suspected: suspicions.Incarnation) -> None:
        """Asks an engine in doubt for a report; plans without it if silent."""
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
            # It may answer here and still be cut off from its neighbours.
            waited_for = self.state.registry.by_address(address)
            if waited_for is not None:
                self.mark_failed(waited_for, f"{engine.name} waits for it")
        self.orders.accepted_counts[key] = report.accepted_order_count
        held = self.state.confirmed_layers.get(key)
        if held is not None and report.layers != held:
            self.state.set_confirmed_layers(key, None)
        self.fleet.leader_state.failed_until.pop(suspected, None)

    def mark_failed(self, engine: upstreams.Upstream, reason: str) -> None:
        """Leaves an engine out of plans and requests for a while."""
        key = suspicions.Incarnation(engine.name, engine.born_ms)
        if key not in self.fleet.leader_state.failed_until:
            _log.warning("engine_lost", engine=engine.name, reason=reason)
        self.fleet.leader_state.failed_until[key] = (
            time.monotonic() + FAILED_TTL_S
        )
        self.state.suspect_upstream(engine, FAILED_TTL_S, reason)
