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
LOST_S = 6.0
# Engines in doubt are asked for a report this often.
VERIFY_S = 0.8
# Lost engines whose time is up within this are asked once more; it has room
# for a question that is not answered.
RECHECK_S = 1.2

_log = structlog.get_logger()


class Inspection:
    """Decides which engines in doubt are lost.

    Attributes:
        verified_at: Time of the last question by kind and engine.
    """

    def __init__(
        self,
        node: state.State,
        others: fleet.Fleet,
        session: aiohttp.ClientSession,
        given: orders.Orders,
    ) -> None:
        self.node = node
        self.fleet = others
        self.session = session
        self.orders = given
        self.verified_at: dict[tuple[str, suspicions.Incarnation], float] = {}

    def check(self) -> None:
        """Asks engines in doubt, each no more often than is useful."""
        now = time.monotonic()
        ending = [
            e for e, t in self.fleet.news.lost.items() if t - now < RECHECK_S
        ]
        for verify, noted in (
            (self._verify, self.fleet.doubts),
            (self._verify_refuser, self.fleet.refusers),
            (self._recheck, ending),
        ):
            for engine in noted:
                key = (verify.__name__, engine)
                if now - self.verified_at.get(key, -VERIFY_S) >= VERIFY_S:
                    self.verified_at[key] = now
                    self.fleet.spawn(verify(engine))

    async def _verify_refuser(self, doubted: suspicions.Incarnation) -> None:
        """Asks an engine that refuses whether it is leaving."""
        engine = self.node.registry.incarnation(doubted.name, doubted.born_ms)
        if engine is None:
            return
        in_force = self.node.rules
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
            self.lose(engine, str(error))
            return
        self.lose(engine, "refuses requests and health checks")

    async def _recheck(self, lost: suspicions.Incarnation) -> None:
        """Leaves a lost engine out of plans for longer if it is still silent.

        Its entry can stay long after its end, while the store is away.
        """
        engine = self.node.registry.incarnation(lost.name, lost.born_ms)
        if engine is None:
            return
        try:
            await engines.fetch_report(self.session, engine)
        except engines.ReportError as error:
            self.lose(engine, str(error))

    async def _verify(self, doubted: suspicions.Incarnation) -> None:
        """Asks an engine in doubt for a report; plans without it if silent."""
        engine = self.node.registry.incarnation(doubted.name, doubted.born_ms)
        if engine is None:
            return
        key = (engine.name, engine.born_ms)
        try:
            report = await engines.fetch_report(self.session, engine)
        except engines.ReportError as error:
            self.lose(engine, str(error))
            return
        for address in set(report.stalled_on.values()):
            # It may answer here and still be cut off from its neighbours.
            waited_for = self.node.registry.by_address(address)
            if waited_for is not None:
                self.lose(waited_for, f"{engine.name} waits for it")
        self.orders.accepted[key] = report.accepted_order_count
        held = self.node.held.get(key)
        if held is not None and report.layers != held:
            self.node.set_held(key, None)
        self.fleet.news.lost.pop(doubted, None)

    def lose(self, engine: upstreams.Upstream, reason: str) -> None:
        """Leaves an engine out of plans and requests for a while."""
        key = suspicions.Incarnation(engine.name, engine.born_ms)
        if key not in self.fleet.news.lost:
            _log.warning("engine_lost", engine=engine.name, reason=reason)
        self.fleet.news.lost[key] = time.monotonic() + LOST_S
        self.node.avoid(engine, LOST_S, reason)
