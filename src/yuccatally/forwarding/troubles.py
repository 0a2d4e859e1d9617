"""Finding the engine at fault when an attempt on a pipeline fails."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import attempts
from yuccatally.platform import engines

if TYPE_CHECKING:
    import aiohttp

    from yuccatally.core.forwarding import dispatch
    from yuccatally.forwarding import answers
    from yuccatally.forwarding import fleet
    from yuccatally.forwarding import state

# New requests pass over a path for this long after it failed one.
AVOID_S = 0.5
# All streams of a path stall together; one report a second tells why.
ASK_S = 1.0
# A refusal on a path that is this full is taken as lack of memory.
CROWDED_SHARE = 0.7

_log = structlog.get_logger()


class Troubles:
    """Turns failed attempts into doubts about engines."""

    def __init__(
        self,
        node: state.State,
        others: fleet.Fleet,
        session: aiohttp.ClientSession,
    ) -> None:
        self.node = node
        self.fleet = others
        self.session = session
        self.asked_at: dict[str, float] = {}

    def on_failure(
        self, path: dispatch.Path, request: str, result: answers.Unusable
    ) -> None:
        """Takes in a failed attempt."""
        now = time.monotonic()
        self.node.dispatcher.avoid(path.name, now + AVOID_S)
        first = path.hops[0]
        match result.failure:
            case attempts.NotSent():
                self.fleet.doubt(first)
            case attempts.Refused():
                self._on_refused(path, result.faulty_address, now)
            case attempts.Lost(timed_out=True):
                self._on_stall(path, request, now)
            case attempts.Lost():
                self.fleet.doubt(first)
            case attempts.Failed():
                pass

    def _on_refused(
        self, path: dispatch.Path, faulty_address: str, now: float
    ) -> None:
        load = self.node.dispatcher.load(path.name, now)
        if load.tokens > CROWDED_SHARE * path.tokens:
            return
        for hop in path.hops:
            if hop.address == faulty_address:
                self.fleet.doubt(hop)
                return
        self.fleet.doubt(path.hops[0])

    def _on_stall(self, path: dispatch.Path, request: str, now: float) -> None:
        if now - self.asked_at.get(path.name, -ASK_S) < ASK_S:
            return
        self.asked_at[path.name] = now
        self.fleet.spawn(self._ask(path, request))

    async def _ask(self, path: dispatch.Path, request: str) -> None:
        """Asks the first engine of a path which one it waits for."""
        first = path.hops[0]
        try:
            report = await engines.report(self.session, first)
        except engines.ReportError as error:
            _log.info("report_missing", engine=first.name, error=str(error))
            self.fleet.doubt(first)
            return
        addresses = set(report.stalled.values())
        _log.info(
            "path_stalled",
            path=path.name,
            request=request,
            waits_for=",".join(sorted(addresses)),
        )
        for hop in path.hops:
            if hop.address in addresses:
                self.fleet.doubt(hop)
