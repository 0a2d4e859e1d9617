"""Retry budget that all instances share."""

from __future__ import annotations

import collections

# Only this part of the limit is used: the sliding windows of the instances are
# not aligned with the window by which the limit is checked.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Limits the retries of one instance to one service.

    Load pattern: engines of a service fail and every request on them is
    retried. Each instance may use the share that its own requests earn and an
    equal part of the reserve, so that the sum over all instances stays within
    the limit without any message between them.

    Attributes:
        refused_count: Number of retries that the budget did not allow.
    """

    def __init__(self, share: float, reserve: float, window_s: float) -> None:
        self.share = share
        self.reserve = reserve
        self.window_s = window_s
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()
        self.refused_count = 0

    def set_limits(self, share: float, reserve: float, window_s: float) -> None:
        """Changes the limits; requests and retries counted so far are kept."""
        self.share = share
        self.reserve = reserve
        self.window_s = window_s

    def record_request(self, now: float) -> None:
        """Records a request of a client."""
        self.requests.append(now)
        _remove_older(self.requests, now - self.window_s)

    def remaining(self, now: float, instances: int) -> int:
        """Returns how many retries are allowed now.

        Args:
            now: Monotonic time in seconds.
            instances: Number of instances that share the reserve, this one
                included.
        """
        _remove_older(self.requests, now - self.window_s)
        _remove_older(self.retries, now - self.window_s)
        earned = self.share * len(self.requests)
        allowed = SAFETY_FACTOR * (earned + self.reserve / max(1, instances))
        return max(0, int(allowed) - len(self.retries))

    def try_spend(self, now: float, instances: int) -> bool:
        """Records a retry if the budget allows it; returns whether it does."""
        if not self.remaining(now, instances):
            self.refused_count += 1
            return False
        self.retries.append(now)
        return True


def _remove_older(times: collections.deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
