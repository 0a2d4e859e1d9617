"""Rate limits of client accounts over all instances without central counter."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# After a pause, an account may use the units of this many seconds at once.
BURST_S = 1.0
# A loan ends on the borrower's clock no later than on the lender's, because
# the borrower counts the term from when it sent the request.
LOAN_TERM_S = 2.0
# An instance that joins uses no share until the others count it as a member;
# until then their shares alone add up to the whole limit.
JOIN_WAIT_S = 2.0
# Part of its share that a lender keeps, so that its own next requests are not
# refused while the rest is lent.
RETAINED_RATIO = 0.25
DEMAND_HALF_LIFE_S = 1.0
UNITS = ("requests", "tokens")


@dataclasses.dataclass(frozen=True)
class LoanRequest:
    """A request of an instance to borrow a part of a peer's share.

    Attributes:
        account: Client account.
        demand: Units per second that the instance needs beyond its own rate.
    """

    account: str
    demand: float


@dataclasses.dataclass(frozen=True)
class Loan:
    """A rate that a peer lends for ``LOAN_TERM_S``."""

    account: str
    rate: float


class TokenBucket:
    """Token bucket whose rate may change.

    Attributes:
        rate: Units added per second.
        level: Units available now; negative after a request that costs more
            than the bucket holds.
        updated_at: Monotonic time in seconds of the last refill.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.level = rate * BURST_S
        self.updated_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate from now on."""
        self._refill(now)
        self.rate = rate
        self.level = min(self.level, rate * BURST_S)

    def wait_s(self, cost: float, now: float) -> float:
        """Returns the seconds until a cost can be consumed; 0 means now.

        A cost above the capacity of the bucket is allowed when the bucket is
        full; the following requests wait until the deficit is refilled.
        """
        self._refill(now)
        missing = min(cost, self.rate * BURST_S) - self.level
        if missing <= 1e-9:
            return 0.0
        return missing / self.rate if self.rate > 0 else math.inf

    def consume(self, cost: float) -> None:
        """Subtracts a cost."""
        self.level -= cost

    def refund(self, cost: float) -> None:
        """Adds units that were consumed and not used."""
        self.level = min(self.level + cost, self.rate * BURST_S)

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self.updated_at) * self.rate
        self.level = min(self.level + added, self.rate * BURST_S)
        self.updated_at = max(self.updated_at, now)


class SharedLimit:
    """One instance's share of one limit of one account.

    Each of N instances owns an equal share. An instance that needs less lends
    a part of its share for a fixed term. It stops using that part before the
    borrower receives the loan and resumes after the borrower has stopped, so
    the shares never add up to more than the limit, whatever messages are lost.

    Attributes:
        limit: Units per second over all instances.
        members: Number of instances that serve the account.
        active_from: Monotonic time in seconds from which the other instances
            count this one as a member.
        lent: End and rate of each loan to a peer.
        borrowed: End and rate of each loan from a peer.
        recent_demand: Units requested, decayed with ``DEMAND_HALF_LIFE_S``.
        decayed_at: Monotonic time in seconds of the last decay.
    """

    def __init__(
        self, limit: float, members: int, now: float, active_from: float = 0.0
    ) -> None:
        self.limit = limit
        self.members = max(1, members)
        self.active_from = active_from
        self.lent: list[tuple[float, float]] = []
        self.borrowed: list[tuple[float, float]] = []
        self.recent_demand = 0.0
        self.decayed_at = now
        self.bucket = TokenBucket(0.0, now)
        self._update(now)
        self.bucket.level = self.bucket.rate * BURST_S

    def set_members(self, members: int, now: float) -> None:
        """Changes the number of instances that share the limit."""
        self.members = max(1, members)
        self._update(now)

    def set_limit(self, limit: float, now: float) -> None:
        """Changes the limit."""
        self.limit = limit
        self._update(now)

    def record_demand(self, cost: float, now: float) -> float:
        """Counts a cost as demand and returns the seconds until it fits."""
        self._decay(now)
        self.recent_demand += cost
        self._update(now)
        return self.bucket.wait_s(cost, now)

    def demand(self, now: float) -> float:
        """Returns the units per second that were requested recently."""
        self._decay(now)
        return self.recent_demand * math.log(2) / DEMAND_HALF_LIFE_S

    def missing_rate(self, now: float) -> float:
        """Returns the demand above the usable rate, to request from peers."""
        self._update(now)
        return max(0.0, self.demand(now) - self._rate(now))

    def lend(self, requested: float, now: float) -> float:
        """Lends a part of the own share to a peer.

        Returns:
            Units per second that the peer may use for ``LOAN_TERM_S``, counted
            from when it sent the request.
        """
        share = self._share(now)
        spare = share * (1 - RETAINED_RATIO) - self.demand(now)
        rate = max(0.0, min(requested, spare))
        if rate > 0:
            self.lent.append((now + LOAN_TERM_S, rate))
            self._update(now)
        return rate

    def borrow(self, rate: float, requested_at: float, now: float) -> None:
        """Records a loan, whose term starts when it was requested."""
        self._update(now)
        self.borrowed.append((requested_at + LOAN_TERM_S, rate))
        self._update(now)

    def _share(self, now: float) -> float:
        if now < self.active_from:
            return 0.0
        lent = sum(rate for until, rate in self.lent if now < until)
        return max(0.0, self.limit / self.members - lent)

    def _rate(self, now: float) -> float:
        borrowed = sum(rate for until, rate in self.borrowed if now < until)
        return self._share(now) + borrowed

    def _update(self, now: float) -> None:
        # Replays the rate changes since the last call, so that the bucket is
        # filled at each rate for as long as that rate was in force.
        changes = {until for until, _ in (*self.lent, *self.borrowed)}
        for at in sorted(c for c in (*changes, self.active_from) if c <= now):
            if at > self.bucket.updated_at:
                self.bucket.set_rate(self._rate(at), at)
        self.lent = [loan for loan in self.lent if now < loan[0]]
        self.borrowed = [loan for loan in self.borrowed if now < loan[0]]
        self.bucket.set_rate(self._rate(now), now)

    def _decay(self, now: float) -> None:
        age_s = max(0.0, now - self.decayed_at)
        self.recent_demand *= 0.5 ** (age_s / DEMAND_HALF_LIFE_S)
        self.decayed_at = max(self.decayed_at, now)


@dataclasses.dataclass(frozen=True)
class AccountLimits:
    """Limits of a client account; 0 means no limit."""

    requests_per_s: float
    tokens_per_s: float


class Limits:
    """Limits of all client accounts on one instance.

    Attributes:
        members: Number of instances that share the limits.
        active_from: Monotonic time in seconds from which the other instances
            count this one as a member.
        shared: Limits by account and unit, ``requests`` or ``tokens``.
        configured_limit: Returns the configured limit of an account and unit.
    """

    def __init__(self, members: int = 1, active_from: float = 0.0) -> None:
        self.members = members
        self.active_from = active_from
        self.shared: dict[tuple[str, str], SharedLimit] = {}
        self.configured_limit: Callable[[str, str], float] = self._last_limit

    def set_members(self, members: int, now: float) -> None:
        """Changes the number of instances that share all limits."""
        if members != self.members:
            self.members = members
            for shared in self.shared.values():
                shared.set_members(members, now)

    def try_consume(
        self, account: str, limits: AccountLimits, tokens: float, now: float
    ) -> float:
        """Consumes the cost of a request if it is within the limits.

        Args:
            account: Client account.
            limits: Its limits.
            tokens: Tokens that the request may generate.
            now: Monotonic time in seconds.

        Returns:
            Seconds to wait; 0 if the cost was consumed.
        """
        costs = [
            (self._shared_limit(account, unit, limit, now), cost)
            for unit, limit, cost in (
                ("requests", limits.requests_per_s, 1.0),
                ("tokens", limits.tokens_per_s, tokens),
            )
            if limit > 0
        ]
        wait_s = max(
            (s.record_demand(cost, now) for s, cost in costs), default=0.0
        )
        if wait_s == 0:
            for shared, cost in costs:
                shared.bucket.consume(cost)
        return wait_s

    def refund(self, account: str, tokens: float) -> None:
        """Refunds tokens that were charged and not generated."""
        shared = self.shared.get((account, "tokens"))
        if shared is not None and tokens > 0:
            shared.bucket.refund(tokens)

    def loan_requests(self, now: float) -> dict[str, tuple[LoanRequest, ...]]:
        """Returns the loan requests of this instance by unit."""
        by_unit: dict[str, list[LoanRequest]] = {"requests": [], "tokens": []}
        for (account, unit), shared in self.shared.items():
            missing = shared.missing_rate(now)
            if missing > 0:
                by_unit[unit].append(LoanRequest(account, missing))
        return {unit: tuple(listed) for unit, listed in by_unit.items()}

    def lend(
        self, unit: str, loan_requests: Iterable[LoanRequest], now: float
    ) -> tuple[Loan, ...]:
        """Handles a peer's loan requests, also for accounts not used here."""
        loans = []
        for loan_request in loan_requests:
            limit = self.configured_limit(loan_request.account, unit)
            if limit > 0:
                shared = self._shared_limit(
                    loan_request.account, unit, limit, now
                )
                rate = shared.lend(loan_request.demand, now)
                if rate > 0:
                    loans.append(Loan(loan_request.account, rate))
        return tuple(loans)

    def borrow(
        self, unit: str, loans: Iterable[Loan], requested_at: float, now: float
    ) -> None:
        """Records the loans granted for requests that were sent at a time."""
        for loan in loans:
            shared = self.shared.get((loan.account, unit))
            if shared is not None:
                shared.borrow(loan.rate, requested_at, now)

    def _last_limit(self, account: str, unit: str) -> float:
        shared = self.shared.get((account, unit))
        return shared.limit if shared else 0.0

    def _shared_limit(
        self, account: str, unit: str, limit: float, now: float
    ) -> SharedLimit:
        key = (account, unit)
        shared = self.shared.get(key)
        if shared is None:
            shared = SharedLimit(limit, self.members, now, self.active_from)
            self.shared[key] = shared
        elif shared.limit != limit:
            shared.set_limit(limit, now)
        return shared
