"""Finding stalled paths and the engines at fault."""

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

# New requests pass over a path for this long after it failed one; control
# needs about as long to find out which engine is lost.
PATH_AVOID_S = 1.0
# A plain upstream that could not be reached is left alone for this long: a
# restart takes about as long, and the others carry its requests.
UPSTREAM_AVOID_S = 1.0
# The same stall is acted on this often.
STALL_REPEAT_S = 0.4
# Well below the shortest time that counts as a stall.
CHECK_INTERVAL_S = 0.03

_log = structlog.get_logger()


class FaultDetector:
    """Turns failed attempts and stalls into doubts about engines."""

    def __init__(
        self, instance_state: state.InstanceState, peers: fleet.Fleet
    ) -> None:
        self.state = instance_state
        self.fleet = peers
        self.handled_at: dict[str, float] = {}
        # Ends the attempts on a path; returns how many there were.
        self.abandon: Callable[[str], int] = lambda path: 0
        # Sends the attempts that stay on a path around its lost engine.
        self.reroute: Callable[[dispatch.Path], None] = lambda path: None

    async def run(self) -> None:
        """Looks for stalled paths until cancelled.

        Load pattern: an engine dies at the peak and all streams over it stop
        at once. They go on over other paths before their pause is too long.
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
        """Takes in a failed attempt."""
        now = time.monotonic()
        if not path.ranges:
            if isinstance(result.failure, attempts.NotSent):
                self.state.suspect_upstream(
                    path.hops[0], UPSTREAM_AVOID_S, result.failure.reason
                )
            return
        self.state.dispatcher.avoid(path.name, now + PATH_AVOID_S)
        match result.failure:
            case attempts.Refused():
                self._handle_refusal(path, result.faulty_address)
            case attempts.NotSent() | attempts.NoResponse(timed_out=False):
                self.fleet.suspect(path.hops[0])
            case attempts.NoResponse() | attempts.ErrorResponse():
                pass

    def _paths(self) -> list[dispatch.Path]:
        """Returns the paths that requests of this instance are on."""
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
        moved = 0
        if self._has_alternative(path, now):
            moved = self.abandon(path.name)
        self.reroute(path)
        load = self.state.dispatcher.outstanding_work(path.name, now)
        _log.warning(
            "path_stalled",
            path=path.name,
            moved=moved,
            requests=load.requests,
            tokens=round(load.tokens),
            room=round(path.tokens),
        )
        # Any of its engines may be the one that the others wait for; control
        # asks each of them for a report.
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
        named = [h for h in path.hops if h.address == faulty_address]
        self.fleet.suspect_refusing(named[0] if named else path.hops[0])
