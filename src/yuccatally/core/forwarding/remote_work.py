"""Outstanding work that other instances report, with its totals by path."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

# Lifetime of the outstanding work that another instance reports, ten exchanges.
REMOTE_WORK_TTL_S = 1.5


class Work(Protocol):
    """Outstanding requests and tokens on one path or upstream."""

    requests: int
    tokens: float


class Total:
    """Outstanding work of several instances on one path or upstream.

    Attributes:
        senders: Number of instances that reported work on it.
        requests: Their requests.
        tokens: Their tokens.
    """

    __slots__ = ("requests", "senders", "tokens")

    def __init__(self, senders: int, requests: int, tokens: float) -> None:
        self.senders = senders
        self.requests = requests
        self.tokens = tokens


class RemoteWork:
    """Outstanding work of other instances.

    Load pattern: a relay of 340 instances gets 750 reports a second, answers
    each of them with the sum of all others, and chooses a path among dozens for
    each request. The totals change with each report, so that none of these
    adds up the reports of all instances.

    Attributes:
        received_at: Time of the latest report, by sender, oldest first.
        reports: Requests and tokens by path, by sender.
        totals: Total by path of all reports that have not expired.
    """

    def __init__(self) -> None:
        self.received_at: dict[str, float] = {}
        self.reports: dict[str, dict[str, tuple[int, float]]] = {}
        self.totals: dict[str, Total] = {}

    def apply(
        self, sender: str, work_by_path: Mapping[str, Work], now: float
    ) -> list[str]:
        """Replaces the report of a sender.

        Returns:
            Paths whose figures are negative or not finite. They are ignored: a
            total that contains one would stay wrong.
        """
        self.remove(sender)
        report = {
            n: (w.requests, w.tokens)
            for n, w in work_by_path.items()
            if w.requests >= 0 and 0 <= w.tokens < math.inf
        }
        self.received_at[sender] = now
        self.reports[sender] = report
        totals = self.totals
        for name, (requests, tokens) in report.items():
            total = totals.get(name)
            if total is None:
                totals[name] = Total(1, requests, tokens)
            else:
                total.senders += 1
                total.requests += requests
                total.tokens += tokens
        if len(report) == len(work_by_path):
            return []
        return [n for n in work_by_path if n not in report]

    def remove(self, sender: str) -> None:
        """Removes the report of a sender."""
        if self.received_at.pop(sender, None) is None:
            return
        _subtract(self.totals, self.reports.pop(sender))

    def retain(self, senders: Iterable[str]) -> None:
        """Removes the reports of all other senders."""
        for sender in set(self.reports).difference(senders):
            self.remove(sender)

    def expire(self, now: float) -> None:
        """Removes reports that are too old."""
        for sender, received_at in list(self.received_at.items()):
            if now - received_at < REMOTE_WORK_TTL_S:
                break
            self.remove(sender)

    def total(self, name: str, now: float) -> Total | None:
        """Returns the total on a path; None without any report of it."""
        self._expire_oldest(now)
        return self.totals.get(name)

    def totals_of(self, senders: Iterable[str], now: float) -> dict[str, Total]:
        """Returns the totals of some senders by path."""
        self._expire_oldest(now)
        return self._totals_without(set(self.reports).difference(senders))

    def totals_without(self, sender: str, now: float) -> dict[str, Total]:
        """Returns the totals of all senders but one by path."""
        self._expire_oldest(now)
        return self._totals_without((sender,))

    def _totals_without(self, senders: Iterable[str]) -> dict[str, Total]:
        remaining = {
            n: Total(t.senders, t.requests, t.tokens)
            for n, t in self.totals.items()
        }
        for sender in senders:
            _subtract(remaining, self.reports.get(sender, {}))
        return remaining

    def _expire_oldest(self, now: float) -> None:
        oldest = next(iter(self.received_at.values()), now)
        if now - oldest >= REMOTE_WORK_TTL_S:
            self.expire(now)


def _subtract(
    totals: dict[str, Total], report: Mapping[str, tuple[int, float]]
) -> None:
    """Subtracts a report; a path without any sender is removed."""
    for name, (requests, tokens) in report.items():
        total = totals[name]
        if total.senders == 1:
            del totals[name]
        else:
            total.senders -= 1
            total.requests -= requests
            total.tokens -= tokens
