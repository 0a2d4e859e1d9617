"""Health tracking and load balancing over the addresses of one service."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 30.0
# A missing answer is weaker evidence of a fault than a refused connection,
# which ejects an address at once.
UNANSWERED_BEFORE_EJECTION_COUNT = 3
SLOW_START_S = 10.0
SLOW_START_RATIO = 0.1


@dataclasses.dataclass
class AddressHealth:
    """Health of one address.

    Attributes:
        outstanding: Number of calls in progress.
        ejections: Number of consecutive ejections.
        unanswered: Number of consecutive calls without an answer.
        ejected_until: Monotonic time in seconds until which the address is
            avoided.
        recovered_at: Monotonic time in seconds of the first success after an
            ejection; None if the slow start has ended or was not needed.
    """

    outstanding: int = 0
    ejections: int = 0
    unanswered: int = 0
    ejected_until: float = 0.0
    recovered_at: float | None = None

    def weight(self, now: float) -> float:
        """Returns the share of its normal load to send to the address."""
        if self.ejections:
            return SLOW_START_RATIO
        if self.recovered_at is None:
            return 1.0
        progress = (now - self.recovered_at) / SLOW_START_S
        if progress >= 1.0:
            self.recovered_at = None
            return 1.0
        return SLOW_START_RATIO + (1.0 - SLOW_START_RATIO) * progress


class AddressBalancer:
    """Load balancer over the addresses of one service.

    Attributes:
        health: Health by address.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.random = random_source
        self.health: dict[str, AddressHealth] = {}

    def choose(
        self, declared: tuple[str, ...], tried: frozenset[str], now: float
    ) -> str | None:
        """Returns the address for the next attempt.

        Picks the less loaded of two random candidates, relative to their
        weights. If all are ejected, picks the one whose ejection ends first.

        Args:
            declared: Addresses in the service's specification.
            tried: Addresses that this request has already failed on.
            now: Monotonic time in seconds.

        Returns:
            The address; None if all were tried.
        """
        self._remove_undeclared(declared)
        untried = [a for a in declared if a not in tried]
        if not untried:
            return None
        available = [a for a in untried if self._health(a).ejected_until <= now]
        if not available:
            return min(untried, key=lambda a: self._health(a).ejected_until)
        candidates = self.random.sample(available, min(2, len(available)))
        return min(candidates, key=lambda a: self._relative_load(a, now))

    def record_start(self, address: str) -> None:
        """Records the start of a call."""
        self._health(address).outstanding += 1

    def record_answer(self, address: str, now: float) -> None:
        """Records an answer with any status."""
        health = self._health(address)
        health.outstanding = max(0, health.outstanding - 1)
        if health.ejections:
            health.recovered_at = now
        health.ejections = health.unanswered = 0

    def record_refused(self, address: str, now: float) -> None:
        """Records a connection that could not be established."""
        health = self._health(address)
        health.outstanding = max(0, health.outstanding - 1)
        self._eject(health, now)

    def record_unanswered(self, address: str, now: float) -> None:
        """Records a call that was sent and got no answer."""
        health = self._health(address)
        health.outstanding = max(0, health.outstanding - 1)
        health.unanswered += 1
        if health.unanswered >= UNANSWERED_BEFORE_EJECTION_COUNT:
            self._eject(health, now)

    def record_abandoned(self, address: str) -> None:
        """Records a call that was cancelled because of the caller."""
        health = self._health(address)
        health.outstanding = max(0, health.outstanding - 1)

    def _eject(self, health: AddressHealth, now: float) -> None:
        delay_s = EJECTION_MIN_S * 2 ** min(health.ejections, 10)
        health.ejected_until = now + min(EJECTION_MAX_S, delay_s)
        health.ejections += 1
        health.unanswered = 0

    def _relative_load(self, address: str, now: float) -> float:
        health = self._health(address)
        return (health.outstanding + 1) / health.weight(now)

    def _health(self, address: str) -> AddressHealth:
        return self.health.setdefault(address, AddressHealth())

    def _remove_undeclared(self, declared: tuple[str, ...]) -> None:
        for address in list(self.health):
            removed = address not in declared
            if removed and not self.health[address].outstanding:
                del self.health[address]
