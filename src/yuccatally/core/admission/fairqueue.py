"""Queue of waiting requests: classes by priority, accounts by weight."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

# Share of the admitted work that a lower class gets at least while higher
# classes have requests waiting.
GUARANTEED_RATIOS = {0: 0.0, 1: 0.1, 2: 0.05}


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request that waits for an engine.

    Attributes:
        request: Request id.
        account: Client account.
        weight: Weight of the account within its class.
        urgency: Class; a lower value is served first.
        model: Name of the model.
        version: Version of the weights.
        work: Expected positions (tokens to prefill and to generate).
        deadline: Monotonic time in seconds.
        offered_at: Monotonic time in seconds.
    """

    request: str
    account: str
    weight: int
    urgency: int
    model: str
    version: str
    work: float
    deadline: float
    offered_at: float


class AccountQueues:
    """Deficit round robin over the accounts of one class.

    Attributes:
        queues: Waiting requests by account and request id.
        deficits: Work that each account may still be granted in this round.
        weighted_work: Waiting work of each account, divided by its weight.
        weights: Weights of the accounts that have requests waiting.
        work: Waiting work of all accounts.
        count: Number of waiting requests.
    """

    def __init__(self) -> None:
        self.queues: collections.OrderedDict[
            str, collections.OrderedDict[str, QueuedRequest]
        ] = collections.OrderedDict()
        self.deficits: dict[str, float] = {}
        self.weighted_work: dict[str, float] = {}
        self.weights: dict[str, int] = {}
        self.work = 0.0
        self.count = 0

    def push(self, item: QueuedRequest) -> None:
        """Adds a request to the queue of its account, oldest first."""
        queue = self.queues.get(item.account)
        if queue is None:
            queue = self.queues[item.account] = collections.OrderedDict()
            self.deficits[item.account] = 0.0
        newer = list(
            itertools.takewhile(
                lambda i: i.offered_at > item.offered_at,
                reversed(queue.values()),
            )
        )
        queue[item.request] = item
        for other in reversed(newer):
            queue.move_to_end(other.request)
        weighted = self.weighted_work.get(item.account, 0.0)
        self.weighted_work[item.account] = weighted + item.work / item.weight
        self.weights[item.account] = item.weight
        self.work += item.work
        self.count += 1

    def peek(self) -> QueuedRequest | None:
        """Returns the next request in round-robin order."""
        if not self.queues:
            return None
        # Each round adds to every account its weight times a quantum that is
        # large enough for at least one request, so the number of rounds is
        # bounded.
        heads = {a: next(iter(q.values())) for a, q in self.queues.items()}
        account = next(iter(self.queues))
        if self.deficits[account] >= heads[account].work:
            return heads[account]
        rounds = min(
            max(0.0, item.work - self.deficits[a]) / item.weight
            for a, item in heads.items()
        )
        for name, item in heads.items():
            self.deficits[name] += rounds * item.weight
        ready = next(
            a for a, i in heads.items() if self.deficits[a] >= i.work - 1e-6
        )
        self.queues.move_to_end(ready, last=False)
        return heads[ready]

    def pop(self) -> QueuedRequest:
        """Removes and returns the request of ``peek``, which must exist."""
        item = self.peek()
        assert item is not None
        self.take(item)
        return item

    def take(self, item: QueuedRequest) -> None:
        """Removes a request that is admitted, at any position."""
        self.deficits[item.account] -= item.work
        self.queues.move_to_end(item.account)
        self.remove(item.account, item.request)

    def remove(self, account: str, request: str) -> QueuedRequest | None:
        """Removes a request at any position and returns it."""
        queue = self.queues.get(account)
        item = queue.pop(request, None) if queue else None
        if item is None:
            return None
        self.work -= item.work
        self.count -= 1
        self.weighted_work[account] -= item.work / item.weight
        if not queue:
            del self.queues[account]
            del self.weighted_work[account]
            del self.weights[account]
            # An account without waiting requests accumulates no deficit.
            del self.deficits[account]
        return item

    def largest_account(self) -> tuple[str, float]:
        """Returns the account with the most weighted work, and that work."""
        return max(
            self.weighted_work.items(), key=lambda pair: (pair[1], pair[0])
        )

    def newest_of(self, account: str) -> QueuedRequest:
        """Returns the request of an account that was queued last."""
        return next(reversed(self.queues[account].values()))

    def weighted_work_of(self, account: str) -> float:
        """Returns the waiting work of an account, divided by its weight."""
        return max(0.0, self.weighted_work.get(account, 0.0))

    def work_before(self, account: str, weight: int, added: float) -> float:
        """Returns the work admitted up to and including added work.

        In the meantime the other accounts get their share by weight, or less
        if they have less work waiting.
        """
        weighted = self.weighted_work_of(account) + added / weight
        return (
            sum(
                min(other, weighted) * self.weights[name]
                for name, other in self.weighted_work.items()
                if name != account
            )
            + weighted * weight
        )

    def due_before(self, latest: float) -> list[QueuedRequest]:
        """Returns the requests whose deadline is before a time."""
        return [
            i
            for queue in self.queues.values()
            for i in queue.values()
            if i.deadline < latest
        ]


class UrgencyQueue:
    """Priority queue with a guaranteed share for the lower classes.

    Attributes:
        ratios: Guaranteed share of the admitted work by class.
        classes: Queues of each class, highest class first.
        credit: Work that each class may be granted ahead of higher classes.
    """

    def __init__(self, ratios: Mapping[int, float] = GUARANTEED_RATIOS) -> None:
        self.ratios = ratios
        self.classes = {u: AccountQueues() for u in sorted(ratios)}
        self.credit = dict.fromkeys(self.classes, 0.0)

    def __len__(self) -> int:
        return sum(c.count for c in self.classes.values())

    def push(self, item: QueuedRequest) -> None:
        """Adds a request to its class."""
        self.classes[item.urgency].push(item)

    def next_class(self) -> int | None:
        """Returns the class to serve next, None if the queue is empty."""
        waiting = [u for u, c in self.classes.items() if c.count]
        if not waiting:
            return None
        for urgency in reversed(waiting[1:]):
            head = self.classes[urgency].peek()
            if head is not None and self.credit[urgency] >= head.work:
                return urgency
        return waiting[0]

    def highest_class(self) -> int | None:
        """Returns the highest class with a waiting request, if any."""
        return next((u for u, c in self.classes.items() if c.count), None)

    def pop(self, urgency: int) -> QueuedRequest:
        """Removes and returns the next request of a non-empty class."""
        item = self.classes[urgency].pop()
        self._grant(item)
        return item

    def take(self, item: QueuedRequest) -> None:
        """Removes a request that is admitted, at any position."""
        self.classes[item.urgency].take(item)
        self._grant(item)

    def heads(self) -> Iterator[QueuedRequest]:
        """Yields the first request of each account, highest class first."""
        for accounts in self.classes.values():
            for queue in accounts.queues.values():
                yield next(iter(queue.values()))

    def _grant(self, item: QueuedRequest) -> None:
        for lower, accounts in self.classes.items():
            if lower == item.urgency:
                self.credit[lower] = max(0.0, self.credit[lower] - item.work)
            elif lower > item.urgency and accounts.count:
                self.credit[lower] += item.work * self.ratios[lower]
            elif not accounts.count:
                self.credit[lower] = 0.0

    def work_before(self, item: QueuedRequest) -> float:
        """Returns the work admitted up to and including a new request."""
        higher = sum(
            c.work for u, c in self.classes.items() if u < item.urgency
        )
        same_class = self.classes[item.urgency]
        return higher + same_class.work_before(
            item.account, item.weight, item.work
        )

    def work_ahead(self, urgency: int, account: str, weight: int) -> float:
        """Returns the work admitted up to the last request of an account.

        For an account without waiting requests this is the work of higher
        classes.
        """
        higher = sum(c.work for u, c in self.classes.items() if u < urgency)
        return higher + self.classes[urgency].work_before(account, weight, 0.0)

    def victim_for(self, item: QueuedRequest) -> QueuedRequest | None:
        """Returns the request to shed for a new one when the queue is full.

        The victim is the newest request of the account with the most weighted
        work in the lowest class that has requests waiting. There is none if
        that class is higher than the class of the new request, or if it is
        the same class and no account has more weighted work than the account
        of the new request would have with it.
        """
        lowest = max(u for u, c in self.classes.items() if c.count)
        if lowest < item.urgency:
            return None
        accounts = self.classes[lowest]
        account, largest = accounts.largest_account()
        if lowest == item.urgency:
            after = (
                accounts.weighted_work_of(item.account)
                + item.work / item.weight
            )
            if account == item.account or after >= largest:
                return None
        return accounts.newest_of(account)
