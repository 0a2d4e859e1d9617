"""Decides when a request is also sent elsewhere, and which run answers it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccatally.core.forwarding import attempts
    from yuccatally.core.forwarding import dispatch
    from yuccatally.core.forwarding import pace
    from yuccatally.core.forwarding import rules


# Events that show a request to be sound. An engine that a request ends as it
# begins to answer gives one event at most, or two in one read.
SOUND_EVENT_COUNT = 3


@dataclasses.dataclass(eq=False)
class Run:
    """A request on one path, from its sending to its end.

    Attributes:
        path: The path.
        may_move: Whether the request may be sent again beside this run.
        quiet_until: Monotonic time from which the run counts as silent, in
            seconds.
        is_silent: Whether it has been silent for too long since its last event.
        is_moving: Whether other paths are tried for the request.
        event_count: Number of events received.
        ticket: Its start as the pace of servers counts it; None if it is not
            counted.
        is_judged: Whether its answer was counted.
        expected_at: Monotonic time until which its first event, or its whole
            response, is in time.
    """

    path: dispatch.Path
    may_move: bool
    quiet_until: float
    is_silent: bool = False
    is_moving: bool = False
    event_count: int = 0
    ticket: pace.Ticket | None = None
    is_judged: bool = False
    expected_at: float = float("inf")


class OpenRuns:
    """Runs of one request that may still answer.

    Load pattern: sound engines fall silent for a second and then go on, one of
    them or all at once, while other paths are full. A silent run stays open
    while the request is tried on other paths, and its event ends these tries.
    If nothing else can be tried, the request waits for the runs it has. Of
    several runs, the first to give an event answers the request.

    Attributes:
        runs: Open runs, in the order of their start.
    """

    def __init__(self) -> None:
        self.runs: list[Run] = []

    @property
    def any_open(self) -> bool:
        """Whether a run may still answer."""
        return bool(self.runs)

    @property
    def any_active(self) -> bool:
        """Whether a run is open that has not been silent for too long.

        No further path is tried beside it.
        """
        return any(not r.is_silent for r in self.runs)

    def add(self, run: Run) -> None:
        """Adds a run that starts."""
        self.runs.append(run)

    def remove(self, run: Run) -> None:
        """Removes a run that has ended."""
        self.runs.remove(run)

    def covers(self, path: dispatch.Path) -> bool:
        """Returns whether a run is open on the same engines.

        A second run on them would be as silent as the first. A path that was
        repaired has other engines.
        """
        return any(_engines(r.path) == _engines(path) for r in self.runs)

    def next_silence(self) -> float | None:
        """Returns the time at which an active run becomes silent, if any."""
        active = [r for r in self.runs if not r.is_silent]
        if any(r.is_moving for r in active):
            return 0.0
        return min((r.quiet_until for r in active if r.may_move), default=None)

    def fall_silent(self, now: float) -> Run | None:
        """Marks the run whose time is over, and returns it if there is one."""
        for run in self.runs:
            is_late = run.may_move and run.quiet_until <= now
            if not run.is_silent and (run.is_moving or is_late):
                run.is_silent = run.is_moving = True
                return run
        return None

    def go_on(
        self, run: Run, events: int, may_move: bool, quiet_until: float
    ) -> list[Run]:
        """Records events of a run, which then answers the request alone.

        Returns:
            The other runs, which are to be closed.
        """
        run.is_silent = run.is_moving = False
        run.event_count += events
        run.may_move = may_move
        run.quiet_until = quiet_until
        return [r for r in self.runs if r is not run]

    def stay(self) -> None:
        """Records that no other path is tried until the next event."""
        for run in self.runs:
            run.is_moving = False


def may_try_another(
    route: rules.Route, counter: attempts.AttemptCounter
) -> bool:
    """Returns whether a request may be sent beside a run that is silent."""
    return route.repeat.may_run_again and counter.run_count < route.max_attempts


def _engines(path: dispatch.Path) -> list[tuple[str, int]]:
    return [(h.name, h.born_ms) for h in path.hops]
