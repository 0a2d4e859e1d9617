"""Health of the addresses of one service, and choice among them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

EJECT_FIRST_S = 1.0
EJECT_LAST_S = 30.0
# An answer that does not come is weaker evidence than a refused connection.
UNCERTAIN_BEFORE_EJECTION = 3
SLOW_START_S = 10.0
SLOW_START_WEIGHT = 0.1


@dataclasses.dataclass
class AddressHealth:
    """What is known of one address.

    Attributes:
        outstanding: Calls without an answer.
        failures: Ejections in a row.
        uncertain: Calls in a row that got no answer.
        ejected_until: Monotonic time in seconds until which it is avoided.
        returned_at: Time of the first success after an ejection; None if the
            slow start has ended or was never needed.
    """

    outstanding: int = 0
    failures: int = 0
    uncertain: int = 0
    ejected_until: float = 0.0
    returned_at: float | None = None

    def weight(self, now: float) -> float:
        """Returns the share of normal load that the address should get."""
        if self.failures:
            return SLOW_START_WEIGHT
        if self.returned_at is None:
            return 1.0
        age = (now - self.returned_at) / SLOW_START_S
        if age >= 1.0:
            self.returned_at = None
            return 1.0
        return SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * age


class AddressBalancer:
    """The addresses of one service."""

    def __init__(self, random_source: random.Random) -> None:
        self.random = random_source
        self.health: dict[str, AddressHealth] = {}

    def choose(
        self, declared: tuple[str, ...], tried: frozenset[str], now: float
    ) -> str | None:
        """Returns the address for the next attempt.

        Of two random candidates, the one with less load for its weight is
        taken. When all are ejected, the one that returns first is tried.

        Args:
            declared: Addresses in the service's specification.
            tried: Addresses that failed for this request.
            now: Monotonic time in seconds.

        Returns:
            The address, None if all were tried.
        """
        self._forget(declared)
        left = [a for a in declared if a not in tried]
        if not left:
            return None
        usable = [a for a in left if self._of(a).ejected_until <= now]
        if not usable:
            return min(left, key=lambda a: self._of(a).ejected_until)
        pair = self.random.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda a: self._load(a, now))

    def record_start(self, address: str) -> None:
        """Counts a call."""
        self._of(address).outstanding += 1

    def record_answer(self, address: str, now: float) -> None:
        """Counts an answer, whatever its status."""
        found = self._of(address)
        found.outstanding = max(0, found.outstanding - 1)
        if found.failures:
            found.returned_at = now
        found.failures = found.uncertain = 0

    def record_refused(self, address: str, now: float) -> None:
        """Counts a connection that could not be made."""
        found = self._of(address)
        found.outstanding = max(0, found.outstanding - 1)
        self._eject(found, now)

    def record_unanswered(self, address: str, now: float) -> None:
        """Counts a call that was sent and got no answer."""
        found = self._of(address)
        found.outstanding = max(0, found.outstanding - 1)
        found.uncertain += 1
        if found.uncertain >= UNCERTAIN_BEFORE_EJECTION:
            self._eject(found, now)

    def record_abandoned(self, address: str) -> None:
        """Counts a call that was given up for the caller's sake."""
        found = self._of(address)
        found.outstanding = max(0, found.outstanding - 1)

    def _eject(self, found: AddressHealth, now: float) -> None:
        delay_s = EJECT_FIRST_S * 2 ** min(found.failures, 10)
        found.ejected_until = now + min(EJECT_LAST_S, delay_s)
        found.failures += 1
        found.uncertain = 0

    def _load(self, address: str, now: float) -> float:
        found = self._of(address)
        return (found.outstanding + 1) / found.weight(now)

    def _of(self, address: str) -> AddressHealth:
        return self.health.setdefault(address, AddressHealth())

    def _forget(self, declared: tuple[str, ...]) -> None:
        for address in list(self.health):
            gone = address not in declared
            if gone and not self.health[address].outstanding:
                del self.health[address]
