"""Waiting requests: classes in order, accounts in turn."""

from __future__ import annotations

import collections
import dataclasses

# While higher classes always have work, a lower class gets at least this part
# of the work that is let in.
GUARANTEED_PART = {0: 0.0, 1: 0.1, 2: 0.05}


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


class AccountTurns:
    """Deficit round robin over the accounts of one class."""

    def __init__(self) -> None:
        self.queues: collections.OrderedDict[
            str, collections.OrderedDict[str, QueuedRequest]
        ] = collections.OrderedDict()
        self.deficits: dict[str, float] = {}
        self.loads: dict[str, float] = {}
        self.weights: dict[str, int] = {}
        self.work = 0.0
        self.count = 0

    def push(self, item: QueuedRequest) -> None:
        """Adds a request behind the others of its account."""
        queue = self.queues.get(item.account)
        if queue is None:
            queue = self.queues[item.account] = collections.OrderedDict()
            self.deficits[item.account] = 0.0
        queue[item.request] = item
        load = self.loads.get(item.account, 0.0)
        self.loads[item.account] = load + item.work / item.weight
        self.weights[item.account] = item.weight
        self.work += item.work
        self.count += 1

    def peek(self) -> QueuedRequest | None:
        """Returns the request whose turn it is."""
        if not self.queues:
            return None
        # Each round gives every account its weight times a quantum that lets
        # at least one request through, so the number of rounds is bounded.
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
        """Removes the request that ``peek`` returns; it must not be None."""
        item = self.peek()
        assert item is not None
        self.deficits[item.account] -= item.work
        self.queues.move_to_end(item.account)
        self.remove(item.account, item.request)
        return item

    def remove(self, account: str, request: str) -> QueuedRequest | None:
        """Removes a request wherever it is."""
        queue = self.queues.get(account)
        item = queue.pop(request, None) if queue else None
        if item is None:
            return None
        self.work -= item.work
        self.count -= 1
        self.loads[account] -= item.work / item.weight
        if not queue:
            del self.queues[account]
            del self.loads[account]
            del self.weights[account]
            # An account that has nothing waiting saves up no turns.
            del self.deficits[account]
        return item

    def longest(self) -> tuple[str, float]:
        """Returns the account with the most work for its weight."""
        return max(self.loads.items(), key=lambda pair: (pair[1], pair[0]))

    def newest_of(self, account: str) -> QueuedRequest:
        """Returns the request of an account that came last."""
        return next(reversed(self.queues[account].values()))

    def load_of(self, account: str) -> float:
        """Returns the waiting work of an account for its weight."""
        return max(0.0, self.loads.get(account, 0.0))

    def work_before(self, account: str, weight: int, added: float) -> float:
        """Returns the work done until an account has had some more.

        Other accounts get their weight's part in the meantime, or less if
        they have less waiting.
        """
        turns = self.load_of(account) + added / weight
        return (
            sum(
                min(load, turns) * self.weights[name]
                for name, load in self.loads.items()
                if name != account
            )
            + turns * weight
        )

    def expired(self, latest: float) -> list[QueuedRequest]:
        """Returns requests whose deadline is before a time."""
        return [
            i
            for queue in self.queues.values()
            for i in queue.values()
            if i.deadline < latest
        ]


class ClassQueue:
    """Classes in strict order, but for a bounded part of the lower ones."""

    def __init__(self) -> None:
        self.classes = {u: AccountTurns() for u in sorted(GUARANTEED_PART)}
        self.credit = dict.fromkeys(self.classes, 0.0)

    def __len__(self) -> int:
        return sum(c.count for c in self.classes.values())

    def push(self, item: QueuedRequest) -> None:
        """Adds a request."""
        self.classes[item.urgency].push(item)

    def next_class(self) -> int | None:
        """Returns the class whose turn it is, None if nothing waits."""
        waiting = [u for u, c in self.classes.items() if c.count]
        if not waiting:
            return None
        for urgency in reversed(waiting[1:]):
            head = self.classes[urgency].peek()
            if head is not None and self.credit[urgency] >= head.work:
                return urgency
        return waiting[0]

    def highest_class(self) -> int | None:
        """Returns the highest class in which a request waits."""
        return next((u for u, c in self.classes.items() if c.count), None)

    def pop(self, urgency: int) -> QueuedRequest:
        """Removes the next request of a class that is not empty."""
        item = self.classes[urgency].pop()
        for lower, turns in self.classes.items():
            if lower == urgency:
                self.credit[lower] = max(0.0, self.credit[lower] - item.work)
            elif lower > urgency and turns.count:
                self.credit[lower] += item.work * GUARANTEED_PART[lower]
            elif not turns.count:
                self.credit[lower] = 0.0
        return item

    def work_before(self, item: QueuedRequest) -> float:
        """Returns the work that is let in until a new request is, with it."""
        higher = sum(
            c.work for u, c in self.classes.items() if u < item.urgency
        )
        own = self.classes[item.urgency]
        return higher + own.work_before(item.account, item.weight, item.work)

    def victim_for(self, item: QueuedRequest) -> QueuedRequest | None:
        """Returns what to give up for a new request when the queue is full.

        The lowest class goes first; within the same class the account with
        the most waiting work for its weight, if that is not the new one's.
        """
        lowest = max(u for u, c in self.classes.items() if c.count)
        if lowest < item.urgency:
            return None
        turns = self.classes[lowest]
        account, most = turns.longest()
        if lowest == item.urgency:
            after = turns.load_of(item.account) + item.work / item.weight
            if account == item.account or after >= most:
                return None
        return turns.newest_of(account)
