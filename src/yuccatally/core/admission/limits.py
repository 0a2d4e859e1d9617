"""Limits of client accounts over all instances, without a central counter."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# An account may use this much of its limit at once after a pause.
BURST_S = 1.0
# A loan ends by the borrower's clock no later than by the lender's, because
# the borrower counts from when it asked.
LOAN_TERM_S = 2.0
# An instance that joins waits until the others count it, before it takes its
# share; until then their shares add up to the whole limit.
JOIN_WAIT_S = 2.0
# A lender keeps this part of its share, so that its own next requests are not
# refused while all of it is lent.
KEPT_PART = 0.25
DEMAND_HALF_LIFE_S = 1.0
UNITS = ("requests", "tokens")


@dataclasses.dataclass(frozen=True)
class LoanRequest:
    """Use of one limit that an instance tells a peer.

    Attributes:
        account: Client account.
        demand: Units per second that were asked for.
    """

    account: str
    demand: float


@dataclasses.dataclass(frozen=True)
class Loan:
    """A part of a limit that a peer gives away for ``LOAN_TERM_S``."""

    account: str
    rate: float


class Bucket:
    """Token bucket whose rate may change.

    Attributes:
        level: Units that may be taken now; below zero after a request that
            costs more than the bucket holds.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.level = rate * BURST_S
        self.changed = now

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate from now on."""
        self._fill(now)
        self.rate = rate
        self.level = min(self.level, rate * BURST_S)

    def wait_s(self, cost: float, now: float) -> float:
        """Returns after how many seconds a cost can be taken; 0 is now.

        A cost above what the bucket holds is let through when it is full, and
        the following requests wait until it is paid.
        """
        self._fill(now)
        missing = min(cost, self.rate * BURST_S) - self.level
        if missing <= 1e-9:
            return 0.0
        return missing / self.rate if self.rate > 0 else math.inf

    def take(self, cost: float) -> None:
        """Takes a cost."""
        self.level -= cost

    def give_back(self, cost: float) -> None:
        """Returns units that were taken and not used."""
        self.level = min(self.level + cost, self.rate * BURST_S)

    def _fill(self, now: float) -> None:
        added = max(0.0, now - self.changed) * self.rate
        self.level = min(self.level + added, self.rate * BURST_S)
        self.changed = max(self.changed, now)


class SharedLimit:
    """One instance's part of one limit of one account.

    Each of N instances owns an equal part. An instance that needs less lends
    a piece of its part for a fixed term. It stops using the piece before the
    borrower learns of the loan and resumes after the borrower has stopped, so
    the parts never add up to more than the limit, whatever messages are lost.

    Attributes:
        limit: Units per second over all instances.
        members: Instances that serve the account.
        starts_at: When the other instances count this one as a member.
    """

    def __init__(
        self, limit: float, members: int, now: float, active_from: float = 0.0
    ) -> None:
        self.limit = limit
        self.members = max(1, members)
        self.active_from = active_from
        self.lent: list[tuple[float, float]] = []
        self.borrowed: list[tuple[float, float]] = []
        self.asked = 0.0
        self.asked_at = now
        self.bucket = Bucket(0.0, now)
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

    def offer(self, cost: float, now: float) -> float:
        """Counts a cost as wanted; returns after which time it can be taken."""
        self._decay(now)
        self.asked += cost
        self._update(now)
        return self.bucket.wait_s(cost, now)

    def demand(self, now: float) -> float:
        """Returns the units per second that were asked for recently."""
        self._decay(now)
        return self.asked * math.log(2) / DEMAND_HALF_LIFE_S

    def wanted_rate(self, now: float) -> float:
        """Returns the demand above what may be used, to tell peers."""
        self._update(now)
        return max(0.0, self.demand(now) - self._rate(now))

    def lend(self, wanted: float, now: float) -> float:
        """Gives a piece of the own part to a peer that wants more.

        Returns:
            Units per second that the peer may use for ``LOAN_TERM_S``, counted
            from when it asked.
        """
        own = self._own(now)
        spare = own * (1 - KEPT_PART) - self.demand(now)
        given = max(0.0, min(wanted, spare))
        if given > 0:
            self.lent.append((now + LOAN_TERM_S, given))
            self._update(now)
        return given

    def borrow(self, rate: float, asked_at: float, now: float) -> None:
        """Records a loan, dated from when it was asked for."""
        self._update(now)
        self.borrowed.append((asked_at + LOAN_TERM_S, rate))
        self._update(now)

    def _own(self, now: float) -> float:
        if now < self.active_from:
            return 0.0
        lent = sum(rate for until, rate in self.lent if now < until)
        return max(0.0, self.limit / self.members - lent)

    def _rate(self, now: float) -> float:
        borrowed = sum(rate for until, rate in self.borrowed if now < until)
        return self._own(now) + borrowed

    def _update(self, now: float) -> None:
        # The bucket fills at each rate for as long as it was in force, even if
        # nothing asked in between.
        changes = {until for until, _ in (*self.lent, *self.borrowed)}
        for at in sorted(c for c in (*changes, self.active_from) if c <= now):
            if at > self.bucket.changed:
                self.bucket.set_rate(self._rate(at), at)
        self.lent = [loan for loan in self.lent if now < loan[0]]
        self.borrowed = [loan for loan in self.borrowed if now < loan[0]]
        self.bucket.set_rate(self._rate(now), now)

    def _decay(self, now: float) -> None:
        age_s = max(0.0, now - self.asked_at)
        self.asked *= 0.5 ** (age_s / DEMAND_HALF_LIFE_S)
        self.asked_at = max(self.asked_at, now)


@dataclasses.dataclass(frozen=True)
class AccountLimits:
    """Limits of an account; zero is no limit."""

    requests_per_s: float
    tokens_per_s: float


class Limits:
    """Limits of all accounts on one instance.

    Attributes:
        members: Instances that share the limits.
        starts_at: When the other instances count this one as a member.
        shared: Limits by account and unit, ``requests`` or ``tokens``.
        limit_of: Limit of an account by unit in the configuration.
    """

    def __init__(self, members: int = 1, active_from: float = 0.0) -> None:
        self.members = members
        self.active_from = active_from
        self.shared: dict[tuple[str, str], SharedLimit] = {}
        self.configured_limit: Callable[[str, str], float] = self._known_limit

    def set_members(self, members: int, now: float) -> None:
        """Changes the number of instances that share all limits."""
        if members != self.members:
            self.members = members
            for shared in self.shared.values():
                shared.set_members(members, now)

    def wait_s(
        self, account: str, limits: AccountLimits, tokens: float, now: float
    ) -> float:
        """Returns when a request is within the limits and takes it if now.

        Args:
            account: Client account.
            limits: Its limits.
            tokens: Tokens that the request may generate.
            now: Monotonic time in seconds.

        Returns:
            Seconds to wait; 0 if the request was counted.
        """
        costs = [
            (self._of(account, unit, limit, now), cost)
            for unit, limit, cost in (
                ("requests", limits.requests_per_s, 1.0),
                ("tokens", limits.tokens_per_s, tokens),
            )
            if limit > 0
        ]
        wait_s = max((s.offer(cost, now) for s, cost in costs), default=0.0)
        if wait_s == 0:
            for shared, cost in costs:
                shared.bucket.take(cost)
        return wait_s

    def give_back(self, account: str, tokens: float) -> None:
        """Returns tokens that were counted and not generated."""
        shared = self.shared.get((account, "tokens"))
        if shared is not None and tokens > 0:
            shared.bucket.give_back(tokens)

    def loan_requests(self, now: float) -> dict[str, tuple[LoanRequest, ...]]:
        """Returns what this instance would borrow, by unit."""
        found: dict[str, list[LoanRequest]] = {"requests": [], "tokens": []}
        for (account, unit), shared in self.shared.items():
            wanted = shared.wanted_rate(now)
            if wanted > 0:
                found[unit].append(LoanRequest(account, wanted))
        return {unit: tuple(listed) for unit, listed in found.items()}

    def lend(
        self, unit: str, loan_requests: Iterable[LoanRequest], now: float
    ) -> tuple[Loan, ...]:
        """Answers a peer's requests, also for accounts not seen yet."""
        loans = []
        for loan_request in loan_requests:
            limit = self.configured_limit(loan_request.account, unit)
            if limit > 0:
                shared = self._of(loan_request.account, unit, limit, now)
                given = shared.lend(loan_request.demand, now)
                if given > 0:
                    loans.append(Loan(loan_request.account, given))
        return tuple(loans)

    def borrow(
        self, unit: str, loans: Iterable[Loan], asked_at: float, now: float
    ) -> None:
        """Records the answer to loan_requests that were sent at a time."""
        for loan in loans:
            shared = self.shared.get((loan.account, unit))
            if shared is not None:
                shared.borrow(loan.rate, asked_at, now)

    def _known_limit(self, account: str, unit: str) -> float:
        shared = self.shared.get((account, unit))
        return shared.limit if shared else 0.0

    def _of(
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
