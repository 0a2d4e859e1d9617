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

    from yuccatally.forwarding import answers
    from yuccatally.forwarding import fleet
    from yuccatally.forwarding import state

# New requests pass over a path for this long after it failed one; control
# needs about as long to find out which engine is lost.
AVOID_S = 1.0
# A plain upstream that could not be reached is left alone for this long: a
# restart takes about as long, and the others carry its requests.
UNREACHABLE_S = 1.0
# The same stall is acted on this often.
AGAIN_S = 0.4
# Well below the shortest time that counts as a stall.
TICK_S = 0.03

_log = structlog.get_logger()


class FaultDetector:
    """Turns failed attempts and stalls into doubts about engines."""

    def __init__(self, node: state.State, others: fleet.Fleet) -> None:
        self.node = node
        self.fleet = others
        self.noted_at: dict[str, float] = {}
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
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for path in self._paths():
                if self.node.dispatcher.is_stalled(path.name, now):
                    self._on_stall(path, now)

    def on_failure(self, path: dispatch.Path, result: answers.Unusable) -> None:
        """Takes in a failed attempt."""
        now = time.monotonic()
        if not path.ranges:
            if isinstance(result.failure, attempts.NotSent):
                self.node.avoid(
                    path.hops[0], UNREACHABLE_S, result.failure.reason
                )
            return
        self.node.dispatcher.avoid(path.name, now + AVOID_S)
        match result.failure:
            case attempts.Refused():
                self._on_refused(path, result.faulty_address)
            case attempts.NotSent() | attempts.NoResponse(timed_out=False):
                self.fleet.doubt(path.hops[0])
            case attempts.NoResponse() | attempts.ErrorResponse():
                pass

    def _paths(self) -> list[dispatch.Path]:
        """Returns the paths that requests of this instance are on."""
        if self.node.rules is None:
            return []
        return [
            path
            for service in self.node.rules.services.values()
            if service.model is not None
            for path in self.node.paths(service)
            if path.name in self.node.dispatcher.stream_progress
        ]

    def _on_stall(self, path: dispatch.Path, now: float) -> None:
        if now - self.noted_at.get(path.name, -AGAIN_S) < AGAIN_S:
            return
        self.noted_at[path.name] = now
        self.node.dispatcher.avoid(path.name, now + AVOID_S)
        moved = 0
        if self._has_alternative(path, now):
            moved = self.abandon(path.name)
        self.reroute(path)
        load = self.node.dispatcher.outstanding_work(path.name, now)
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
            self.fleet.doubt(hop)

    def _has_alternative(self, path: dispatch.Path, now: float) -> bool:
        for service in self.node.rules.services.values():
            paths = self.node.paths(service)
            if any(p.name == path.name for p in paths):
                found = self.node.dispatcher.choose_path(
                    [
                        p
                        for p in paths
                        if self.node.dispatcher.avoided_until.get(p.name, 0)
                        <= now
                    ],
                    0.0,
                    frozenset({path.name}),
                    now,
                )
                return isinstance(found, dispatch.Path)
        return False

    def _on_refused(self, path: dispatch.Path, faulty_address: str) -> None:
        named = [h for h in path.hops if h.address == faulty_address]
        self.fleet.note_refusal(named[0] if named else path.hops[0])
