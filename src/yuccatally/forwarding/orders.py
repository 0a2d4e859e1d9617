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
POLL_INTERVAL_S = 0.5
# Loads before the first request take a tenth of the declared time.
MIN_POLL_DELAY_S = 0.2
# Loads take some seconds; control orders again what is still missing.
MAX_TRY_COUNT = 40
# Questions in a row without an answer after which an engine is taken for lost.
# One answer alone may be lost on a link, or the order be carried out late.
MAX_UNANSWERED_COUNT = 2

_UNANSWERED = (reports.Outcome.UNKNOWN, reports.Outcome.UNREACHABLE)

_log = structlog.get_logger()


class Leadership(Protocol):
    """Whether orders may be given, and under which lease."""

    lease: lease.Lease

    @property
    def is_leader(self) -> bool:
        """Whether orders may be given now."""


class OrderTracker:
    """Gives orders and follows them.

    Attributes:
        running: Orders under way by engine and birth.
        accepted: Orders that an engine has accepted, as far as is known.
        silent: Questions in a row that an engine has not answered.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        session: aiohttp.ClientSession,
        leader: Leadership,
    ) -> None:
        self.state = instance_state
        self.session = session
        self.leader = leader
        self.running: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.accepted_counts: dict[tuple[str, int], int] = {}
        self.unanswered_counts: dict[tuple[str, int], int] = {}
        # Called with an engine that does not answer, and the reason.
        self.on_failed: Callable[[upstreams.Upstream, str], None] = (
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
            self._execute(engine, stage, model)
        )
        self.running[key].add_done_callback(_log_failure)

    async def _execute(
        self,
        engine: upstreams.Upstream,
        stage: pipelines.Stage,
        model: rules.Model,
    ) -> None:
        """Orders an engine to hold a range and waits until it does."""
        key = (engine.name, engine.born_ms)
        share = (stage.last - stage.first) / model.layers
        for number in range(MAX_TRY_COUNT):
            if not self.leader.is_leader or not self._is_planned(stage):
                return
            wanted = reports.LayersOrder(
                stage.layers,
                self.leader.lease.fence,
                self.accepted_counts.get(key, 0),
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
                self.state.set_confirmed_layers(key, stage.layers)
                return
            self._record_answer(
                engine, outcome not in _UNANSWERED, outcome.name
            )
            if outcome is reports.Outcome.BEGUN:
                self.accepted_counts[key] = wanted.expected_orders + 1
            load_s = model.load_s * share if number else 0.0
            await asyncio.sleep(
                min(POLL_INTERVAL_S, max(load_s / 2, MIN_POLL_DELAY_S))
            )
            if await self._wait_for_layers(engine, stage):
                return

    async def _wait_for_layers(
        self, engine: upstreams.Upstream, stage: pipelines.Stage
    ) -> bool:
        """Waits while an order is carried out; returns whether layers hold."""
        key = (engine.name, engine.born_ms)
        while self._is_planned(stage) and self.leader.is_leader:
            if self.state.holds_stage(stage):
                return True
            try:
                report = await engines.fetch_report(self.session, engine)
            except engines.ReportError as error:
                _log.info(
                    "report_missing", engine=engine.name, error=str(error)
                )
                self._record_answer(engine, False, str(error))
                return False
            self._record_answer(engine, True)
            self.accepted_counts[key] = report.accepted_order_count
            if report.layers and report.layers.covers(stage.first, stage.last):
                self.state.set_confirmed_layers(key, stage.layers)
                return True
            if not report.busy:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def _record_answer(
        self, engine: upstreams.Upstream, answered: bool, reason: str = ""
    ) -> None:
        """Counts questions without an answer; a silent engine is lost."""
        key = (engine.name, engine.born_ms)
        if answered:
            self.unanswered_counts.pop(key, None)
            return
        self.unanswered_counts[key] = self.unanswered_counts.get(key, 0) + 1
        if self.unanswered_counts[key] >= MAX_UNANSWERED_COUNT:
            del self.unanswered_counts[key]
            self.on_failed(engine, f"does not answer orders: {reason}")

    def _is_planned(self, stage: pipelines.Stage) -> bool:
        known = self.state.registry.incarnation(stage.engine, stage.born_ms)
        if known is None or known.draining:
            return False
        return any(
            p.stages.get(stage.engine) == stage
            for p in self.state.plans.values()
        )


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("order_failed", exc_info=task.exception())
