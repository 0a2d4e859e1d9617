"""Rerouting of streams whose path has lost a later engine."""

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
    from yuccatally.forwarding import streams

# The first engine is asked this often which engine it waits for; its reports
# are some hundred milliseconds old.
REPORT_INTERVAL_S = 0.1
# Clients leave after a pause of two seconds, and the new engines first read
# the stream so far.
REROUTE_TIMEOUT_S = 1.2
# Paths that are tried for one stream: an engine may have no room for it.
MAX_PATH_COUNT = 3

_log = structlog.get_logger()


class Rerouter:
    """Keeps streams on their first engine when a later one is lost.

    Streams that can go on over another pipeline do so sooner, since a stall
    shows before the report that names the lost engine. What stays could not:
    the route, the retry budget or the other pipelines do not allow it.

    Attributes:
        running: Paths that are being looked at.
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
        while time.monotonic() < until and self.streams.attempts_on_path(
            path.name
        ):
            try:
                report = await engines.fetch_report(self.session, path.hops[0])
            except engines.ReportError as error:
                # Without its first engine a stream can only go on elsewhere.
                _log.info("reroute_stopped", path=path.name, reason=str(error))
                return
            waiting = self.streams.attempts_on_path(path.name)
            for request, address in report.stalled_on.items():
                attempt = waiting.get(request)
                if attempt is not None and attempt.path.has(address):
                    await self._reroute(attempt, address)
            if not self.state.dispatcher.is_stalled(
                path.name, time.monotonic()
            ):
                return
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _reroute(
        self, attempt: streams.RunningAttempt, lost: str
    ) -> None:
        """Sends one stream around a lost engine.

        The engines that take over read the stream again, so this counts as a
        repeated send.
        """
        budget = self.state.retry_budget(attempt.service)
        excluded = frozenset({lost})
        budget_spent = False
        for _ in range(MAX_PATH_COUNT):
            holdings = self.state.holdings(attempt.service, excluded)
            found = reroute.path_around(attempt.path, lost, holdings)
            if found is None:
                self._log(attempt, lost, "layers are not held elsewhere")
                return
            budget_spent = budget_spent or budget.try_spend(
                time.monotonic(), self.state.instance_count
            )
            if not budget_spent:
                self._log(attempt, lost, "retry budget is used up")
                return
            with self.state.spans.record(
                "reroute", attempt.request, lost=lost
            ) as span:
                outcome = await engines.send_reroute_order(
                    self.session, attempt.request, found
                )
                span.set_attribute("ended", type(outcome).__name__.lower())
            match outcome:
                case reports.Rerouted():
                    attempt.path = found
                    self._log(attempt, lost, "")
                    return
                case reports.NotRerouted(faulty_address=""):
                    self._log(attempt, lost, outcome.reason)
                    return
                case reports.NotRerouted():
                    excluded |= {outcome.faulty_address}
        self._log(attempt, lost, "no engine has room")

    def _log(
        self, attempt: streams.RunningAttempt, lost: str, reason: str
    ) -> None:
        _log.info(
            "reroute_failed" if reason else "stream_rerouted",
            request=attempt.request,
            path=attempt.path.name,
            lost=lost,
            reason=reason,
            engines=",".join(h.name for h in attempt.path.hops),
        )
