"""Limit on the prefill that recovery causes at one time."""

from __future__ import annotations

import sortedcontainers

# Engines measured prefill about 10,000 tokens/s, so recovery delays new work
# by less than half a second.
IN_FLIGHT_TOKENS = 4096


class RetryBudget:
    """Admits attempts after a failure by the tokens they prefill.

    The limit is closed-loop: the next attempt is admitted when an earlier one
    has finished its prefill, so recovery adapts to the speed of the engines.
    Urgent requests go first, then those that wait longest.

    Attributes:
        running: Tokens of each admitted attempt that is still in its prefill.
        waiting: Requests with their tokens by priority and order.
    """

    def __init__(self, limit: int = IN_FLIGHT_TOKENS) -> None:
        self.limit = limit
        self.running: dict[str, int] = {}
        self.waiting: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self.keys: dict[str, tuple[int, int]] = {}
        self.order = 0

    def try_admit(self, request: str, priority: int, tokens: int) -> bool:
        """Admits an attempt now, or remembers it for ``admitted``.

        Args:
            request: Request id.
            priority: Class of urgency; a lower value is served first.
            tokens: Tokens that the attempt prefills.
        """
        if request in self.running:
            return True
        self.remove(request)
        if not self.waiting and self._fits(tokens):
            self.running[request] = tokens
            return True
        self.order += 1
        self.keys[request] = (priority, self.order)
        self.waiting[self.keys[request]] = (request, tokens)
        return False

    def remove(self, request: str) -> None:
        """Removes a request that has finished its prefill or has ended."""
        self.running.pop(request, None)
        key = self.keys.pop(request, None)
        if key is not None:
            del self.waiting[key]

    def admit_waiting(self) -> tuple[str, ...]:
        """Returns the waiting requests that may go on now."""
        found = []
        while self.waiting:
            request, tokens = self.waiting.peekitem(0)[1]
            if not self._fits(tokens):
                break
            self.waiting.popitem(0)
            del self.keys[request]
            self.running[request] = tokens
            found.append(request)
        return tuple(found)

    def _fits(self, tokens: int) -> bool:
        # A single prefill above the limit must not wait for ever.
        used = sum(self.running.values())
        return not self.running or used + tokens <= self.limit
