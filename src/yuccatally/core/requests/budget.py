"""Budget that keeps retries a bounded share of the load."""

from __future__ import annotations

DEFAULT_SHARE = 0.2
DEFAULT_RESERVE = 10.0
# Lets a service with few calls retry although it earns little.
DEFAULT_PER_S = 1.0


class RetryBudget:
    """A token bucket filled by a share of the first attempts.

    When a service fails as a whole, retries add at most ``share`` of its
    normal load instead of multiplying it.

    Attributes:
        tokens: Retries that can be made now.
        refused: Retries that were not made for lack of tokens, counted.
    """

    def __init__(
        self,
        now: float,
        share: float = DEFAULT_SHARE,
        reserve: float = DEFAULT_RESERVE,
        per_s: float = DEFAULT_PER_S,
    ) -> None:
        """Creates a full budget.

        Args:
            now: Monotonic time in seconds.
            share: Retries earned by each first attempt.
            reserve: Most tokens that can be saved.
            per_s: Tokens earned in each second without any calls.
        """
        self.share = share
        self.reserve = reserve
        self.per_s = per_s
        self.tokens = reserve
        self.updated_at = now
        self.refused = 0

    def record_request(self) -> None:
        """Earns a share of a retry for a first attempt."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def try_spend(self, now: float) -> bool:
        """Returns whether a retry may be made, and spends a token for it."""
        earned = max(0.0, now - self.updated_at) * self.per_s
        self.updated_at = now
        self.tokens = min(self.reserve, self.tokens + earned)
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        return True
