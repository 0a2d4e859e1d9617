"""Detection of stalled paths and of the engines at fault."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.forwarding import fleet
    from yuccatally.forwarding import state
    from yuccatally.forwarding import upstream_responses

# A path is not chosen for new requests for this long after an attempt on it
# failed. The leader takes about as long to identify the failed engine.
PATH_AVOID_S = 1.0
# An unreachable upstream is not used for this long. A restart takes about as
# long, and the other upstreams serve its requests meanwhile.
UPSTREAM_AVOID_S = 1.0
# Interval at which a stall that persists is handled again.
STALL_REPEAT_S = 0.4
# Well below the shortest pause that counts as a stall.
CHECK_INTERVAL_S = 0.03

_log = structlog.get_logger()


class FaultDetector:
    """Records suspicions from failed attempts and stalled paths.

    Attributes:
        handled_at: Time at which a stall was last handled, by path.
        abandon: Tries other paths for the streams on a path that may be sent
            again and returns their number.
        reroute: Reroutes the attempts that stay on a path around its failed
            engine.
    """

    def __init__(
        self, instance_state: state.InstanceState, peers: fleet.Fleet
    ) -> None:
        self.state = instance_state
        self.fleet = peers
        self.handled_at: dict[str, float] = {}
        self.abandon: Callable[[str], int] = lambda path: 0
        self.reroute: Callable[[dispatch.Path], None] = lambda path: None

    async def run(self) -> None:
        """Checks for stalled paths until cancelled.

        Load pattern: an engine fails at peak load and all streams through it
        stop at once. They resume on other paths before the pause between two
        events exceeds its objective, or on this one if it goes on first.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            for path in self._paths():
                if self.state.dispatcher.is_stalled(path.name, now):
                    self._handle_stall(path, now)

    def record_failure(
        self, path: dispatch.Path, result: upstream_responses.FailedAttempt
    ) -> None:
        """Records a failed attempt."""
        if isinstance(result.failure, attempts.Withdrawn):
            return  # the path has not failed
        now = time.monotonic()
        if _is_broken_off(result.failure):
            self.fleet.crash_reports.examine(path.hops[0])
        if not path.ranges:
            if isinstance(result.failure, attempts.NotSent):
                self.state.suspect_upstream(
                    path.hops[0], UPSTREAM_AVOID_S, result.failure.reason
                )
            return
        # The pace of a path falls with its failures.
        if self.state.dispatcher.paces is None:
            self.state.dispatcher.avoid(path.name, now + PATH_AVOID_S)
        match result.failure:
            case attempts.Refused():
                self._handle_refusal(path, result.faulty_address)
            case attempts.NotSent() | attempts.NoResponse(timed_out=False):
                self.fleet.suspect(path.hops[0])
            case attempts.NoResponse() | attempts.ErrorResponse():
                pass

    def _paths(self) -> list[dispatch.Path]:
        """Returns the paths that requests of this instance use."""
        if self.state.rules is None:
            return []
        return [
            path
            for service in self.state.rules.services.values()
            if service.model is not None
            for path in self.state.paths(service)
            if path.name in self.state.dispatcher.stream_progress
        ]

    def _handle_stall(self, path: dispatch.Path, now: float) -> None:
        if (
            now - self.handled_at.get(path.name, -STALL_REPEAT_S)
            < STALL_REPEAT_S
        ):
            return
        self.handled_at[path.name] = now
        self.state.dispatcher.avoid(path.name, now + PATH_AVOID_S)
        moved_count = 0
        if self._has_alternative(path, now):
            moved_count = self.abandon(path.name)
        self.reroute(path)
        work = self.state.dispatcher.outstanding_work(path.name, now)
        _log.warning(
            "path_stalled",
            path=path.name,
            moved=moved_count,
            requests=work.requests,
            tokens=round(work.tokens),
            room=round(path.tokens),
        )
        # Any engine of the path may be the one that blocks the others. The
        # leader requests a report from each of them.
        for hop in path.hops:
            self.fleet.suspect(hop)

    def _has_alternative(self, path: dispatch.Path, now: float) -> bool:
        for service in self.state.rules.services.values():
            paths = self.state.paths(service)
            if any(p.name == path.name for p in paths):
                found = self.state.dispatcher.choose_path(
                    [
                        p
                        for p in paths
                        if self.state.dispatcher.avoided_until.get(p.name, 0)
                        <= now
                    ],
                    0.0,
                    frozenset({path.name}),
                    now,
                )
                return isinstance(found, dispatch.Path)
        return False

    def _handle_refusal(self, path: dispatch.Path, faulty_address: str) -> None:
        if self.state.registry.is_paused(path.hops[0]):
            # It has said that it is busy, so it needs no check.
            return
        named_hops = [h for h in path.hops if h.address == faulty_address]
        self.fleet.suspect_refusing(
            named_hops[0] if named_hops else path.hops[0]
        )


def _is_broken_off(failure: attempts.Failure) -> bool:
    """Returns whether the connection broke, as it does if an engine ends."""
    match failure:
        case attempts.NoResponse(timed_out=False):
            return True
        case _:
            return False
