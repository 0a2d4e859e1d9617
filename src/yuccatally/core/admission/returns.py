"""Schedule of the times at which refused callers were told to return."""

from __future__ import annotations

import collections
import dataclasses

from yuccatally.core.forwarding import attempts

# A caller that returns earlier was not refused long enough for the room that it
# was promised.
MIN_RETURN_S = 0.5
# Callers open a new connection and may be slowed by the load that refused them.
RETURN_GRACE_S = 2.0
# Callers and instances do not measure time exactly alike.
EARLY_TOLERANCE_S = 0.1
# Spreads callers that were refused at the same time.
JITTER_RATIO = 0.25
# Part of the longest delay that a caller accepts, if the room that it would
# get is freed only after it.
MIN_SPREAD_RATIO = 0.5
MAX_PROMISE_COUNT = 4096


@dataclasses.dataclass(frozen=True)
class Promise:
    """A caller that was told to return.

    Attributes:
        due_at: Monotonic time at which it was told to return, in seconds.
        offered_at: Monotonic time at which it came first, in seconds.
    """

    due_at: float
    offered_at: float


class ReturnSchedule:
    """Spreads the returns of refused callers over the room that is freed.

    Load pattern: load above room for some seconds refuses hundreds of callers.
    With the same delay for all of them, they return as a wave that is refused
    once more. Each caller is therefore told a time of its own, after those that
    were promised to others.

    Attributes:
        promises: Promises by fingerprint of the request, oldest first.
        booked_until: Monotonic time up to which freed room is promised.
    """

    def __init__(self) -> None:
        self.promises: collections.OrderedDict[str, Promise] = (
            collections.OrderedDict()
        )
        self.booked_until = 0.0

    def promise(
        self,
        fingerprint: str,
        offered_at: float,
        wait_s: float,
        starts_per_s: float,
        remaining_s: float,
        uniform: float,
        now: float,
    ) -> float:
        """Promises a caller room at a later time.

        Args:
            fingerprint: Fingerprint of the request, which its repeats share.
            offered_at: Monotonic time at which the caller came first.
            wait_s: Time until those that wait have started.
            starts_per_s: Rate at which late requests start; 0 if unknown.
            remaining_s: Time until the caller stops waiting.
            uniform: Random number from 0 to 1.
            now: Monotonic time in seconds.

        Returns:
            Delay in seconds after which the caller should return.
        """
        self.forget(fingerprint)
        max_s = max(0.0, attempts.MAX_REMAINING_RATIO * remaining_s)
        if starts_per_s:
            starts_at = max(self.booked_until, now + wait_s)
            due_at = starts_at + 1 / starts_per_s
            delay_s = max(due_at - now, MIN_RETURN_S)
            delay_s *= 1 + JITTER_RATIO * uniform
            if delay_s <= max_s:
                self.booked_until = due_at
            else:
                spread = MIN_SPREAD_RATIO + (1 - MIN_SPREAD_RATIO) * uniform
                delay_s = max_s * spread
        else:
            delay_s = attempts.retry_delay_s(True, remaining_s, uniform)
        delay_s = round(delay_s, 3)
        self.promises[fingerprint] = Promise(now + delay_s, offered_at)
        if len(self.promises) > MAX_PROMISE_COUNT:
            self.promises.popitem(last=False)
        return delay_s

    def claim(self, fingerprint: str, now: float) -> Promise | None:
        """Ends and returns the promise of a caller that returns in time.

        A caller that returns early keeps its promise and is like a new one.
        """
        promise = self.promises.get(fingerprint)
        if promise is None or now < promise.due_at - EARLY_TOLERANCE_S:
            return None
        del self.promises[fingerprint]
        return promise if now < promise.due_at + RETURN_GRACE_S else None

    def forget(self, fingerprint: str) -> None:
        """Ends the promise of a caller, if there is one."""
        self.promises.pop(fingerprint, None)

    def count_due(self, now: float, until: float) -> int:
        """Returns the number of callers told to return between two times."""
        self._expire(now)
        return sum(now <= p.due_at <= until for p in self.promises.values())

    def _expire(self, now: float) -> None:
        """Removes the oldest promises whose callers did not return."""
        while self.promises:
            fingerprint, oldest = next(iter(self.promises.items()))
            if now < oldest.due_at + RETURN_GRACE_S:
                return
            del self.promises[fingerprint]
