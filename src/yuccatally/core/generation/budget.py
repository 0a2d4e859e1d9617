"""Limit on the concurrent prefill that recovery causes."""

from __future__ import annotations

import sortedcontainers

# Engines prefill about 10,000 tokens/s, so recovery delays new work by less
# than half a second.
IN_FLIGHT_TOKENS = 4096


class RetryBudget:
    """Admits attempts after a failure by the tokens they prefill.

    The limit is closed-loop: the next attempt is admitted when an earlier one
    has finished its prefill, so recovery adapts to the speed of the engines.
    Urgent requests are admitted first, then those that wait longest.

    Attributes:
        admitted_tokens: Tokens of each admitted attempt that is still in its
            prefill.
        waiting: Requests with their tokens, by priority and order of arrival.
        queue_keys: Key in ``waiting`` of each waiting request.
    """

    def __init__(self, limit_tokens: int = IN_FLIGHT_TOKENS) -> None:
        self.limit_tokens = limit_tokens
        self.admitted_tokens: dict[str, int] = {}
        self.waiting: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self.queue_keys: dict[str, tuple[int, int]] = {}
        self.last_order = 0

    def try_admit(self, request: str, priority: int, tokens: int) -> bool:
        """Admits an attempt now, or queues it for ``admit_waiting``.

        Args:
            request: Request id.
            priority: Class of urgency; a lower value is served first.
            tokens: Number of tokens that the attempt prefills.

        Returns:
            Whether the attempt is admitted.
        """
        if request in self.admitted_tokens:
            return True
        self.remove(request)
        if not self.waiting and self._fits(tokens):
            self.admitted_tokens[request] = tokens
            return True
        self.last_order += 1
        self.queue_keys[request] = (priority, self.last_order)
        self.waiting[self.queue_keys[request]] = (request, tokens)
        return False

    def remove(self, request: str) -> None:
        """Removes a request that has finished its prefill or has ended."""
        self.admitted_tokens.pop(request, None)
        key = self.queue_keys.pop(request, None)
        if key is not None:
            del self.waiting[key]

    def admit_waiting(self) -> tuple[str, ...]:
        """Admits waiting requests up to the limit and returns them."""
        admitted = []
        while self.waiting:
            request, tokens = self.waiting.peekitem(0)[1]
            if not self._fits(tokens):
                break
            self.waiting.popitem(0)
            del self.queue_keys[request]
            self.admitted_tokens[request] = tokens
            admitted.append(request)
        return tuple(admitted)

    def _fits(self, tokens: int) -> bool:
        # A single prefill above the limit must not wait forever.
        used_tokens = sum(self.admitted_tokens.values())
        return (
            not self.admitted_tokens
            or used_tokens + tokens <= self.limit_tokens
        )
