"""Rerouting of streams after an engine behind the first one has failed."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import reports
from yuccatally.core.forwarding import reroute
from yuccatally.platform import engines

if TYPE_CHECKING:
    import aiohttp

    from yuccatally.core.forwarding import dispatch
    from yuccatally.forwarding import state
    from yuccatally.forwarding import stream_runs
    from yuccatally.forwarding import streams

# Interval of requests to the first engine for the engine that it waits for; its
# reports are a few hundred milliseconds old.
REPORT_INTERVAL_S = 0.1
# Clients disconnect after a pause of two seconds, and the new engines first
# prefill the stream so far.
REROUTE_TIMEOUT_S = 1.2
# Number of paths that are tried for one stream, as an engine may not have the
# capacity for it.
MAX_PATH_COUNT = 3

_log = structlog.get_logger()


class Rerouter:
    """Keeps streams on their first engine when a later one has failed.

    Streams that can resume on another pipeline are tried there before, since
    a stall is detected before the report that names the failed engine. The rest
    could not resume because of their route, the retry budget or the state of
    the other pipelines.

    Attributes:
        running: Names of the paths whose streams are being rerouted.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        forwarder: streams.StreamForwarder,
        session: aiohttp.ClientSession,
    ) -> None:
        self.state = instance_state
        self.streams = forwarder
        self.session = session
        self.running: set[str] = set()

    async def run(self, path: dispatch.Path) -> None:
        """Reroutes the streams that stay on a stalled path."""
        if path.name in self.running:
            return
        self.running.add(path.name)
        try:
            await self._run(path)
        finally:
            self.running.discard(path.name)

    async def _run(self, path: dispatch.Path) -> None:
        until = time.monotonic() + REROUTE_TIMEOUT_S
        while time.monotonic() < until and self.streams.staying_runs(path.name):
            try:
                report = await engines.fetch_report(self.session, path.hops[0])
            except engines.ReportError as error:
                # Without its first engine a stream can only resume on another
                # path.
                _log.info("reroute_stopped", path=path.name, reason=str(error))
                return
            waiting = self.streams.staying_runs(path.name)
            for request, address in report.stalled_on.items():
                run = waiting.get(request)
                if run is not None and run.path.has(address):
                    await self._reroute(run, address)
            if not self.state.dispatcher.is_stalled(
                path.name, time.monotonic()
            ):
                return
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _reroute(
        self, run: stream_runs.StreamRun, failed_address: str
    ) -> None:
        """Reroutes one stream around a failed engine.

        The replacement engines prefill the stream again, so this counts as a
        retry.
        """
        budget = self.state.retry_budget(run.context.service.name)
        excluded = frozenset({failed_address})
        budget_spent = False
        for _ in range(MAX_PATH_COUNT):
            holdings = self.state.holdings(run.context.service.name, excluded)
            new_path = reroute.path_around(run.path, failed_address, holdings)
            if new_path is None:
                self._log(
                    run, failed_address, "no other engine holds the layers"
                )
                return
            budget_spent = budget_spent or budget.try_spend(
                time.monotonic(), self.state.instance_count
            )
            if not budget_spent:
                self._log(run, failed_address, "retry budget is exhausted")
                return
            with self.state.spans.record(
                "reroute", run.context.request.id, lost=failed_address
            ) as span:
                outcome = await engines.send_reroute_order(
                    self.session, run.context.request.id, new_path
                )
                span.set_attribute("ended", type(outcome).__name__.lower())
            match outcome:
                case reports.Rerouted():
                    run.path = new_path
                    self._log(run, failed_address, "")
                    return
                case reports.NotRerouted(faulty_address=""):
                    self._log(run, failed_address, outcome.reason)
                    return
                case reports.NotRerouted():
                    excluded |= {outcome.faulty_address}
        self._log(run, failed_address, "no engine has capacity")

    def _log(
        self, run: stream_runs.StreamRun, failed_address: str, reason: str
    ) -> None:
        _log.info(
            "reroute_failed" if reason else "stream_rerouted",
            request=run.context.request.id,
            path=run.path.name,
            lost=failed_address,
            reason=reason,
            engines=",".join(h.name for h in run.path.hops),
        )
