"""Decisions about requests at an instance that leaves."""

from __future__ import annotations

import collections
import dataclasses
import math

from yuccatally.core.forwarding import attempts

# Callers hold an address for up to 3 s after it has left the directory, and
# operators excuse the end of a process only for requests that were sent within
# these 3 s. The rest is for a signal that is handled late.
ACCEPT_PERIOD_S = 2.6
# The last answers are written this long before the process would be killed.
# Its end takes 0.2 s, and 0.5 s with three runnable processes a core.
END_MARGIN_S = 0.8
# The least margin, for a grace of less than three seconds.
MIN_END_MARGIN_S = 0.5
# Operators excuse requests that are ended in this last part of the grace.
EXCUSED_GRACE_RATIO = 1 / 6
# A caller that was refused connects to another address at once.
RETRY_AFTER_S = 0.0
# Enough for a stable quantile, few enough to follow a change of load within
# seconds.
PACE_COUNT = 50
# Of the requests that are accepted by their expected duration, at most one in
# ten lasts longer.
PACE_QUANTILE = 0.9
# More routes than a configuration has; the oldest are forgotten.
MAX_ROUTE_COUNT = 2000


class PaceHistory:
    """Recent durations of the requests of each route.

    Durations are divided by the size of the answer, so that a stream of a few
    tokens can be told from one of thousands.

    Attributes:
        paces: Latest durations in seconds for each unit of size, by route.
    """

    def __init__(self) -> None:
        self.paces: dict[str, collections.deque[float]] = {}

    def record(self, route: str, size: int, duration_s: float) -> None:
        """Records a request that was answered completely.

        Args:
            route: Name of the route.
            size: Maximum number of answer tokens; 0 if the answer has none.
            duration_s: Time from its arrival to the end of the answer.
        """
        if route not in self.paces:
            if len(self.paces) >= MAX_ROUTE_COUNT:
                del self.paces[next(iter(self.paces))]
            self.paces[route] = collections.deque(maxlen=PACE_COUNT)
        self.paces[route].append(duration_s / max(1, size))

    def expected_s(self, route: str, size: int) -> float:
        """Returns the time that a request is expected to need at most.

        Returns:
            Seconds; infinity if no request of the route has been answered.
        """
        paces = sorted(self.paces.get(route, ()))
        if not paces:
            return math.inf
        index = math.ceil(PACE_QUANTILE * len(paces)) - 1
        return paces[index] * max(1, size)


@dataclasses.dataclass(frozen=True)
class Drain:
    """Graceful shutdown of an instance with a forced end.

    Load pattern: an instance is stopped under normal load. Callers that hold
    its address go on sending for three seconds, and their deadlines and the
    timeouts of their routes may lie beyond the forced end. A request that may
    run once only is lost for its caller if it is cut, while a refused one is
    sent to another instance within milliseconds.

    Attributes:
        started_at: Monotonic time of the stop signal, in seconds.
        ends_at: Monotonic time at which requests in flight get their final
            answer, in seconds.
    """

    started_at: float
    ends_at: float

    @classmethod
    def from_config(cls, started_at: float, grace_s: float) -> Drain:
        """Returns the drain of a process that is killed after ``grace_s``."""
        margin_s = max(
            min(END_MARGIN_S, EXCUSED_GRACE_RATIO * grace_s),
            min(MIN_END_MARGIN_S, grace_s / 2),
        )
        return cls(started_at, started_at + grace_s - margin_s)

    @property
    def refuses_at(self) -> float:
        """Monotonic time from which all requests are refused, in seconds."""
        return min(self.started_at + ACCEPT_PERIOD_S, self.ends_at)

    def accepts(
        self,
        now: float,
        deadline: float,
        may_run_again: bool,
        expected_s: float,
    ) -> bool:
        """Returns whether a request that no upstream has received is accepted.

        A request that may run once only is accepted if its own time limit ends
        before the process does. An estimate is not enough: durations grow when
        upstreams fail or are overloaded, and its caller could neither repeat it
        nor know whether it ran. One that may be repeated is also accepted by
        its expected duration, since a refusal costs its caller one of few
        retries, as an early end does.

        Args:
            now: Monotonic time in seconds.
            deadline: Monotonic time at which its caller or route times out.
            may_run_again: Whether it may be repeated or resumed.
            expected_s: Time that it is expected to need at most, in seconds.
        """
        if now >= self.refuses_at:
            return False
        if deadline <= self.ends_at:
            return True
        return may_run_again and now + expected_s <= self.ends_at


def final_action(attempt_count: int) -> attempts.Refuse | attempts.GiveUp:
    """Returns the final answer to a request that a drain ends.

    Load pattern: engines still work on requests when the process must end.
    Without an answer their callers wait for a connection that is closed, and
    cannot tell whether they may send the request again.

    Args:
        attempt_count: Number of attempts to send it to an upstream.
    """
    if attempt_count:
        return attempts.GiveUp(504)
    return attempts.Refuse(503, RETRY_AFTER_S)
