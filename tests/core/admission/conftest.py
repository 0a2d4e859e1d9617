"""Load on a service with 200 slots, on a test clock."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random

import pytest

from yuccatally.core.admission import arrivals
from yuccatally.core.admission import service_queue

SLOT_COUNT = 200
SERVICE_S = 2.0
# Requests that the slots serve in a second.
ROOM_PER_S = SLOT_COUNT / SERVICE_S
OBJECTIVE_S = 0.5
PATIENCE_S = 2.0
DEADLINE_S = 20.0
TICK_S = 0.1


@dataclasses.dataclass
class Caller:
    """A caller, and what has become of its request.

    Attributes:
        account: Client account.
        first_at: Time of its first attempt.
        priority: Priority of its request.
        returns: Number of times that it returns after a refusal.
        obeys: Whether it waits as long as it was told.
        leaves_after_s: Time after which it leaves, if it still waits.
        tokens: Size of its request.
        started_at: Time at which its request started; None if it did not.
        attempts: Number of its attempts.
        attempted_at: Time of its latest attempt.
        refusals: Reasons of its refusals.
    """

    account: str
    first_at: float
    priority: int = 1
    returns: int = 1
    obeys: bool = True
    leaves_after_s: float = float("inf")
    tokens: float = 1.0
    started_at: float | None = None
    attempts: int = 0
    attempted_at: float = 0.0
    refusals: list[str] = dataclasses.field(default_factory=list)

    @property
    def in_time(self) -> bool:
        """Whether its request started within the objective."""
        return (
            self.started_at is not None
            and self.started_at - self.first_at <= OBJECTIVE_S
        )


class Load:
    """Callers of a service whose slots are all that its queue knows of.

    Attributes:
        queue: The queue under test.
        callers: All callers.
        free: Number of free slots.
        held_s: Time that each refused attempt had waited, in seconds.
    """

    def __init__(self, slots: int = SLOT_COUNT, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.queue = service_queue.ServiceQueue("model", self.rng)
        self.callers: list[Caller] = []
        self.free = slots
        self.now = 0.0
        self.events: list[tuple[float, int, str, object]] = []
        self.numbers = itertools.count()
        self.waiting: dict[str, Caller] = {}
        self.held_s: list[float] = []

    def add(
        self, per_s: float, start: float, end: float, **kind: object
    ) -> None:
        """Adds callers that arrive at random from one time to another."""
        at = start
        while (at := at + self.rng.expovariate(per_s)) < end:
            options = {"account": f"a{self.rng.randrange(8)}", **kind}
            caller = Caller(first_at=at, **options)
            self.callers.append(caller)
            self._plan(at, "arrive", caller)

    def run(self, end: float) -> None:
        """Runs until a time."""
        self._plan(0.0, "tick", None)
        while self.events and self.events[0][0] <= end:
            self.now, _, kind, subject = heapq.heappop(self.events)
            getattr(self, f"_{kind}")(subject)
            self._serve()

    def goodput(self, start: float, end: float) -> float:
        """Returns the part of the callers that were served in time."""
        found = [c for c in self.callers if start <= c.first_at < end]
        return sum(c.in_time for c in found) / len(found)

    def started(self, start: float, end: float) -> collections.Counter[str]:
        """Returns the number of started requests by account."""
        return collections.Counter(
            c.account
            for c in self.callers
            if c.started_at is not None and start <= c.started_at < end
        )

    def _plan(self, at: float, kind: str, subject: object) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), kind, subject))

    def _tick(self, _: object) -> None:
        for shed in self.queue.shed_late(self.now):
            caller = self.waiting.pop(shed.request)
            self._refuse(caller, shed.refusal)
        self._plan(self.now + TICK_S, "tick", None)

    def _arrive(self, caller: Caller) -> None:
        caller.attempts += 1
        caller.attempted_at = self.now
        number = self.callers.index(caller)
        arrival = arrivals.Arrival(
            request=f"{number}/{caller.attempts}",
            account=caller.account,
            priority=caller.priority,
            tokens=caller.tokens,
            received_at=self.now,
            objective_s=OBJECTIVE_S,
            patience_s=PATIENCE_S,
            deadline=caller.first_at + DEADLINE_S,
            fingerprint=str(number),
        )
        if self.free and not len(self.queue):
            self.queue.start_at_once(arrival, self.now)
            self._start(caller)
            return
        match self.queue.offer(arrival, self.now):
            case arrivals.Refused() as refusal:
                self._refuse(caller, refusal)
            case arrivals.Queued(request=request, until=until, shed=shed):
                self.waiting[request] = caller
                self._plan(until, "expire", request)
                self._plan(self.now + caller.leaves_after_s, "leave", request)
                if shed is not None:
                    self._refuse(self.waiting.pop(shed.request), shed.refusal)

    def _leave(self, request: str) -> None:
        if self.waiting.pop(request, None) is not None:
            self.queue.remove(request)

    def _expire(self, request: str) -> None:
        caller = self.waiting.pop(request, None)
        if caller is not None:
            self._refuse(caller, self.queue.expire(request, self.now))

    def _end(self, _: object) -> None:
        self.free += 1

    def _refuse(self, caller: Caller, refusal: arrivals.Refused) -> None:
        caller.refusals.append(refusal.reason)
        self.held_s.append(self.now - caller.attempted_at)
        if caller.attempts <= caller.returns:
            delay_s = refusal.retry_after_s if caller.obeys else 0.05
            self._plan(self.now + delay_s, "arrive", caller)

    def _start(self, caller: Caller) -> None:
        self.free -= 1
        caller.started_at = self.now
        service_s = SERVICE_S * self.rng.uniform(0.5, 1.5)
        self._plan(self.now + service_s, "end", None)

    def _serve(self) -> None:
        while self.free and len(self.queue):
            item = self.queue.candidates(self.now)[0]
            self.queue.start(item, None, self.now)
            self._start(self.waiting.pop(item.request))


@pytest.fixture
def load() -> Load:
    """A service whose slots serve a hundred requests a second."""
    return Load()
