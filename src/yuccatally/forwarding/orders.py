"""Orders to engines, from the first try until the layers are held."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

from yuccatally.core.forwarding import reports
from yuccatally.platform import engines

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from yuccatally.core.control import lease
    from yuccatally.core.forwarding import pipelines
    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import state

# An order whose engine has not shown the layers is looked at this often.
POLL_S = 0.5
# Loads before the first request take a tenth of the declared time.
FIRST_POLL_S = 0.2
# Loads take some seconds; control orders again what is still missing.
TRIES = 40
# Questions in a row without an answer after which an engine is taken for lost.
# One answer alone may be lost on a link, or the order be carried out late.
SILENT_MOST = 2

_UNANSWERED = (reports.Outcome.UNKNOWN, reports.Outcome.UNREACHABLE)

_log = structlog.get_logger()


class Leader(Protocol):
    """Whether orders may be given, and under which lease."""

    lease: lease.Lease

    @property
    def leads(self) -> bool:
        """Whether orders may be given now."""


class Orders:
    """Gives orders and follows them.

    Attributes:
        running: Orders under way by engine and birth.
        accepted: Orders that an engine has accepted, as far as is known.
        silent: Questions in a row that an engine has not answered.
    """

    def __init__(
        self,
        node: state.State,
        session: aiohttp.ClientSession,
        leader: Leader,
    ) -> None:
        self.node = node
        self.session = session
        self.leader = leader
        self.running: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.accepted: dict[tuple[str, int], int] = {}
        self.silent: dict[tuple[str, int], int] = {}
        # Called with an engine that does not answer, and the reason.
        self.on_lost: Callable[[upstreams.Upstream, str], None] = (
            lambda engine, reason: None
        )

    def start(
        self,
        engine: upstreams.Upstream,
        stage: pipelines.Stage,
        model: rules.Model,
    ) -> None:
        """Orders an engine to hold a stage unless that is under way."""
        key = (engine.name, engine.born_ms)
        running = self.running.get(key)
        if running is not None and not running.done():
            return
        self.running[key] = asyncio.create_task(
            self._carry_out(engine, stage, model)
        )
        self.running[key].add_done_callback(_log_failure)

    async def _carry_out(
        self,
        engine: upstreams.Upstream,
        stage: pipelines.Stage,
        model: rules.Model,
    ) -> None:
        """Orders an engine to hold a range and waits until it does."""
        key = (engine.name, engine.born_ms)
        share = (stage.last - stage.first) / model.layers
        for number in range(TRIES):
            if not self.leader.leads or not self._is_planned(stage):
                return
            wanted = reports.LayersOrder(
                stage.layers, self.leader.lease.fence, self.accepted.get(key, 0)
            )
            outcome = await engines.send_layers_order(
                self.session, engine, wanted
            )
            _log.info(
                "order",
                engine=engine.name,
                first=stage.first,
                last=stage.last,
                fence=wanted.fence,
                expected=wanted.expected_orders,
                outcome=outcome.name,
            )
            if outcome is reports.Outcome.STALE_FENCE:
                self.leader.lease.apply_conflict()
                return
            if outcome is reports.Outcome.HOLDS_ALREADY:
                self.node.set_held(key, stage.layers)
                return
            self._note(engine, outcome not in _UNANSWERED, outcome.name)
            if outcome is reports.Outcome.BEGUN:
                self.accepted[key] = wanted.expected_orders + 1
            load_s = model.load_s * share if number else 0.0
            await asyncio.sleep(min(POLL_S, max(load_s / 2, FIRST_POLL_S)))
            if await self._shows(engine, stage):
                return

    async def _shows(
        self, engine: upstreams.Upstream, stage: pipelines.Stage
    ) -> bool:
        """Waits while an order is carried out; returns whether layers hold."""
        key = (engine.name, engine.born_ms)
        while self._is_planned(stage) and self.leader.leads:
            if self.node.holds(stage):
                return True
            try:
                report = await engines.fetch_report(self.session, engine)
            except engines.ReportError as error:
                _log.info(
                    "report_missing", engine=engine.name, error=str(error)
                )
                self._note(engine, False, str(error))
                return False
            self._note(engine, True)
            self.accepted[key] = report.accepted_order_count
            if report.layers and report.layers.covers(stage.first, stage.last):
                self.node.set_held(key, stage.layers)
                return True
            if not report.busy:
                return False
            await asyncio.sleep(POLL_S)
        return False

    def _note(
        self, engine: upstreams.Upstream, answered: bool, reason: str = ""
    ) -> None:
        """Counts questions without an answer; a silent engine is lost."""
        key = (engine.name, engine.born_ms)
        if answered:
            self.silent.pop(key, None)
            return
        self.silent[key] = self.silent.get(key, 0) + 1
        if self.silent[key] >= SILENT_MOST:
            del self.silent[key]
            self.on_lost(engine, f"does not answer orders: {reason}")

    def _is_planned(self, stage: pipelines.Stage) -> bool:
        known = self.node.registry.incarnation(stage.engine, stage.born_ms)
        if known is None or known.draining:
            return False
        return any(
            p.stages.get(stage.engine) == stage
            for p in self.node.plans.values()
        )


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("order_failed", exc_info=task.exception())
