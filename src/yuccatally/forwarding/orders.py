"""Orders to engines to load layers, tracked until the layers are held."""

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

# Interval of report requests while an engine does not hold the ordered layers.
POLL_INTERVAL_S = 0.5
# Delay before the first report request of the first try: before the engine has
# served a request, loads take a tenth of the declared time.
MIN_POLL_DELAY_S = 0.2
# Loads take some seconds. The leader orders again what is missing after these
# tries.
MAX_TRY_COUNT = 40
# Consecutive reports that may be older than an accepted order. Reports are some
# hundred milliseconds old; an engine that lowers its count for longer has lost
# the order.
MAX_OUTDATED_COUNT = 3
# Consecutive requests without a response after which an engine is marked as
# failed. A single response may be lost, or the order be executed late.
MAX_UNANSWERED_COUNT = 2

_UNANSWERED = (reports.Outcome.UNKNOWN, reports.Outcome.UNREACHABLE)

_log = structlog.get_logger()


class Leadership(Protocol):
    """Leadership of this instance and the lease that it is based on."""

    lease: lease.Lease

    @property
    def is_leader(self) -> bool:
        """Whether this instance may send orders now."""


class OrderTracker:
    """Sends orders to engines and tracks their execution.

    Attributes:
        running: Tasks of the orders under way, by engine and start time.
        accepted_counts: Number of orders that each engine accepted, as last
            reported.
        unanswered_counts: Number of consecutive requests that each engine did
            not answer.
        on_failed: Called with an engine that does not respond, and the reason.
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
        self.on_failed: Callable[[upstreams.Upstream, str], None] = (
            lambda engine, reason: None
        )

    @property
    def running_count(self) -> int:
        """Number of orders under way."""
        return sum(not task.done() for task in self.running.values())

    def is_running(self, stage: pipelines.Stage) -> bool:
        """Returns whether an order to the engine of a stage is under way."""
        task = self.running.get((stage.engine, stage.born_ms))
        return task is not None and not task.done()

    def start(
        self,
        engine: upstreams.Upstream,
        stage: pipelines.Stage,
        model: rules.Model,
    ) -> None:
        """Orders an engine to hold a stage unless an order is under way."""
        if self.is_running(stage):
            return
        key = (engine.name, engine.born_ms)
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
        """Orders an engine to hold a stage and waits until it does."""
        key = (engine.name, engine.born_ms)
        layer_ratio = (stage.last - stage.first) / model.layers
        for try_index in range(MAX_TRY_COUNT):
            if not self.leader.is_leader or not self._is_planned(stage):
                return
            order = reports.LayersOrder(
                stage.layers,
                self.leader.lease.fence,
                self.accepted_counts.get(key, 0),
            )
            outcome = await engines.send_layers_order(
                self.session, engine, order
            )
            _log.info(
                "order",
                engine=engine.name,
                first=stage.first,
                last=stage.last,
                fence=order.fence,
                expected=order.expected_orders,
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
                self.accepted_counts[key] = order.expected_orders + 1
            load_s = model.load_s * layer_ratio if try_index else 0.0
            await asyncio.sleep(
                min(POLL_INTERVAL_S, max(load_s / 2, MIN_POLL_DELAY_S))
            )
            if await self._wait_for_layers(engine, stage):
                return

    async def _wait_for_layers(
        self, engine: upstreams.Upstream, stage: pipelines.Stage
    ) -> bool:
        """Waits while an order is executed; returns whether it is complete."""
        key = (engine.name, engine.born_ms)
        outdated_count = 0
        while self._is_planned(stage) and self.leader.is_leader:
            if self.state.holds_only_stage(stage):
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
            if (
                report.born_ms == engine.born_ms
                and report.accepted_order_count
                < self.accepted_counts.get(key, 0)
                and outdated_count < MAX_OUTDATED_COUNT
            ):
                # It was made before the order. Another order would be refused.
                outdated_count += 1
                await asyncio.sleep(MIN_POLL_DELAY_S)
                continue
            self.accepted_counts[key] = report.accepted_order_count
            if report.layers and report.layers.covers(stage.first, stage.last):
                self.state.set_confirmed_layers(key, report.layers)
                if report.layers == stage.layers:
                    return True
            if not report.busy:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def _record_answer(
        self, engine: upstreams.Upstream, answered: bool, reason: str = ""
    ) -> None:
        """Counts unanswered requests and reports a failed engine."""
        key = (engine.name, engine.born_ms)
        if answered:
            self.unanswered_counts.pop(key, None)
            return
        self.unanswered_counts[key] = self.unanswered_counts.get(key, 0) + 1
        if self.unanswered_counts[key] >= MAX_UNANSWERED_COUNT:
            del self.unanswered_counts[key]
            self.on_failed(engine, f"does not answer orders: {reason}")

    def _is_planned(self, stage: pipelines.Stage) -> bool:
        entry = self.state.registry.incarnation(stage.engine, stage.born_ms)
        if entry is None or entry.draining:
            return False
        return any(
            p.stages.get(stage.engine) == stage
            for p in self.state.plans.values()
        )


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("order_failed", exc_info=task.exception())
