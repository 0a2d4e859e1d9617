"""Finds out which engines have ended, and shares the requests they lost."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import marks
from yuccatally.core.forwarding import suspicions
from yuccatally.forwarding import detection
from yuccatally.upstreams import reachability

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from yuccatally.core.forwarding import crash_evidence
    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import leader_state
    from yuccatally.forwarding import state

# A process may close its connections before it stops listening. An engine that
# has accepted a connection is asked again after this time.
SECOND_CHECK_DELAY_S = 0.1
# Evidence of a crash is sent to all instances after this time, in which the
# connections to the engine break one after the other.
SPREAD_DELAY_S = 0.005

_log = structlog.get_logger()


class CrashReports:
    """Applies evidence on crashed engines and passes news on at once.

    Load pattern: a request that has ended an engine is repeated at another
    instance within milliseconds, long before the next heartbeat.

    Attributes:
        examined: Engines that are being examined.
        is_spreading: Whether evidence is about to be sent.
        has_failed: Whether the last evaluation of the evidence has failed.
        on_quarantined: Called with each mark that is in quarantine from now on.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        leader: leader_state.LeaderStateTracker,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        send_heartbeats: Callable[[], Awaitable[None]],
    ) -> None:
        """Creates an object without evidence.

        Args:
            instance_state: Shared state.
            leader: State of the leader, which names failed engines.
            spawn: Runs a coroutine in the background.
            send_heartbeats: Sends a heartbeat with the evidence to relays and
                followers.
        """
        self.state = instance_state
        self.leader = leader
        self.spawn = spawn
        self.send_heartbeats = send_heartbeats
        self.examined: set[suspicions.Incarnation] = set()
        self.is_spreading = False
        self.has_failed = False
        self.on_quarantined: Callable[[str], None] = lambda mark: None

    def examine(self, engine: upstreams.Upstream) -> None:
        """Starts to find out whether an engine has ended."""
        key = suspicions.Incarnation(engine.name, engine.born_ms)
        is_known = self.state.quarantine.has_ended(key)
        if key not in self.examined and not is_known:
            self.examined.add(key)
            self.spawn(self._examine(engine, key))

    def merge(self, evidence: crash_evidence.Evidence, source: str) -> None:
        """Merges the evidence of another instance."""
        now = time.monotonic()
        received = self.state.quarantine.merge(evidence, now)
        self._apply_quarantined(received, source)
        if self.state.quarantine.has_news:
            self.update(now)

    def update(self, now: float) -> None:
        """Evaluates all evidence, and passes it on if there is news.

        Evidence that cannot be evaluated is discarded, and logged once. All
        instances share it and would otherwise end at the same moment, with
        the requests that they serve.
        """
        try:
            found = self.state.quarantine.update(self._has_ended, now)
        except Exception:
            if not self.has_failed:
                _log.exception("evidence_discarded")
            self.has_failed = True
            self.state.quarantine.discard_losses()
            return
        self.has_failed = False
        self._apply_quarantined(found, "evidence")
        if self.state.quarantine.take_news() and not self.is_spreading:
            self.is_spreading = True
            self.spawn(self._spread())

    async def _examine(
        self, engine: upstreams.Upstream, key: suspicions.Incarnation
    ) -> None:
        try:
            has_ended = await reachability.has_ended(engine.address)
            if has_ended is False:
                self.state.quarantine.record_working(key)
                await asyncio.sleep(SECOND_CHECK_DELAY_S)
                has_ended = await reachability.has_ended(engine.address)
        finally:
            self.examined.discard(key)
        _log.info("engine_examined", engine=engine.name, ended=has_ended)
        if has_ended is None:
            return  # the leader's check decides
        if has_ended:
            self.state.suspect_upstream(
                engine, detection.UPSTREAM_AVOID_S, "connection refused"
            )
        now = time.monotonic()
        self.state.quarantine.record_fate(key, has_ended, now)
        if self.state.quarantine.has_news:
            self.update(now)

    async def _spread(self) -> None:
        await asyncio.sleep(SPREAD_DELAY_S)
        self.is_spreading = False
        await self.send_heartbeats()

    def _has_ended(self, engine: suspicions.Incarnation) -> bool:
        """Returns whether an engine has failed, left or been restarted."""
        return (
            engine in self.leader.failed_until
            or self.state.registry.has_left(engine.name, engine.born_ms)
        )

    def _apply_quarantined(self, found: list[str], source: str) -> None:
        now = time.monotonic()
        for mark in found:
            is_request = marks.is_fingerprint(mark)
            _log.warning(
                "request_quarantined" if is_request else "prompt_quarantined",
                part=mark,
                seconds=round(self.state.quarantine.remaining_s(mark, now)),
                source=source,
            )
            self.on_quarantined(mark)
