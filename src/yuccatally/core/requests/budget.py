"""Budget that bounds retries to a share of the normal load."""

from __future__ import annotations

DEFAULT_RETRY_RATIO = 0.2
DEFAULT_CAPACITY_COUNT = 10.0
# Allows retries for a service whose few calls earn hardly any tokens.
DEFAULT_REFILL_PER_S = 1.0


class RetryBudget:
    """Token bucket that is filled by a share of the first attempts.

    When a whole service fails, retries add at most ``retry_ratio`` of its
    normal load instead of multiplying it.

    Attributes:
        tokens: Retries that can be made now.
        refused: Number of retries refused for lack of tokens.
    """

    def __init__(
        self,
        now: float,
        retry_ratio: float = DEFAULT_RETRY_RATIO,
        capacity: float = DEFAULT_CAPACITY_COUNT,
        refill_per_s: float = DEFAULT_REFILL_PER_S,
    ) -> None:
        """Creates a full budget.

        Args:
            now: Monotonic time in seconds.
            retry_ratio: Tokens earned by each first attempt.
            capacity: Maximum number of tokens.
            refill_per_s: Tokens earned per second without any calls.
        """
        self.retry_ratio = retry_ratio
        self.capacity = capacity
        self.refill_per_s = refill_per_s
        self.tokens = capacity
        self.updated_at = now
        self.refused = 0

    def record_request(self) -> None:
        """Adds the share of a retry that a first attempt earns."""
        self.tokens = min(self.capacity, self.tokens + self.retry_ratio)

    def try_spend(self, now: float) -> bool:
        """Spends a token for a retry and returns whether there was one."""
        earned = max(0.0, now - self.updated_at) * self.refill_per_s
        self.updated_at = now
        self.tokens = min(self.capacity, self.tokens + earned)
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        return True
