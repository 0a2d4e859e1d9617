"""Budget of repeated sends that all instances share."""

from __future__ import annotations

import collections

# Part of the bound that is used: instances count requests at other moments
# than the bound's own window does.
SAFETY = 0.8


class RetryBudget:
    """Bounds the repeated sends of one instance to one service.

    Load pattern: a service loses engines and every request on them is sent
    once more. Each instance may use the share its own requests earn and an
    equal part of the reserve, so that the sum over all instances stays within
    the bound without any message.

    Attributes:
        refused: Repeated sends that were not made, counted.
    """

    def __init__(self, share: float, reserve: float, window_s: float) -> None:
        self.share = share
        self.reserve = reserve
        self.window_s = window_s
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()
        self.refused_count = 0

    def set_limits(self, share: float, reserve: float, window_s: float) -> None:
        """Changes the bound; what was counted stays counted."""
        self.share = share
        self.reserve = reserve
        self.window_s = window_s

    def record_request(self, now: float) -> None:
        """Counts a request of a client."""
        self.requests.append(now)
        _expire(self.requests, now - self.window_s)

    def remaining(self, now: float, instances: int) -> int:
        """Returns how many requests may be sent once more now.

        Args:
            now: Monotonic time in seconds.
            instances: Instances that share the reserve, this one included.
        """
        _expire(self.requests, now - self.window_s)
        _expire(self.retries, now - self.window_s)
        earned = self.share * len(self.requests)
        allowed = SAFETY * (earned + self.reserve / max(1, instances))
        return max(0, int(allowed) - len(self.retries))

    def try_spend(self, now: float, instances: int) -> bool:
        """Returns whether a request may be sent once more, and counts it."""
        if not self.remaining(now, instances):
            self.refused_count += 1
            return False
        self.retries.append(now)
        return True


def _expire(times: collections.deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
