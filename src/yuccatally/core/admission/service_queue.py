"""Decides which requests of a service wait for room, and for how long."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING

from yuccatally.core.admission import arrivals
from yuccatally.core.admission import fairqueue
from yuccatally.core.admission import returns
from yuccatally.core.admission import throughput
from yuccatally.core.forwarding import attempts

if TYPE_CHECKING:
    import random

MAX_WAITING_COUNT = 256
# Share of the started requests that each lower class gets at least while higher
# classes have requests waiting.
GUARANTEED_RATIO = 0.1
# Each priority has two classes: requests that can start within their objective,
# and late ones.
CLASS_RATIOS = {
    0: 0.0,
    **dict.fromkeys(
        range(1, 2 * (arrivals.LOWEST_PRIORITY + 1)), GUARANTEED_RATIO
    ),
}
# Part of the latency objective for which a request waits while the rate at
# which room is freed is unknown.
UNKNOWN_RATE_WAIT_RATIO = 0.1
# Part of the caller's patience after which an answer that has not begun is not
# awaited any longer; the rest is left for the events of the answer.
PATIENCE_RATIO = 0.5
# Number of waiting requests for which a path is sought when room is freed.
MAX_CANDIDATE_COUNT = 3
# Smaller requests that may be admitted ahead of one that is too large for the
# freed room.
MAX_PASSED_COUNT = 4
# Number of accounts whose newest request is examined at a time.
MAX_SHED_CHECK_COUNT = 8


class ServiceQueue:
    """Requests that wait for room on the paths or upstreams of a service.

    Load pattern: more requests arrive than the engines have room for, for some
    seconds. If the oldest always went first, all answers would be late, also
    long after the load has ended. Requests that can start within their
    objective therefore go before late ones of the same priority, which get the
    rest of the room and a small guaranteed share. What cannot start while its
    answer is of use is refused at once.

    Accounts take turns by requests; those of an account go oldest first.

    Attributes:
        name: Name of the service.
        rng: Source of random numbers for the times of return.
        capacity: Maximum number of waiting requests.
        queue: Waiting requests.
        resumed: Waiting requests that have run, which go before all others.
        entries: All waiting requests by name.
        throughput: Rate at which requests started.
        late_throughput: Rate at which late requests started.
        first_events: Time from the start of a request to its first event.
        returns: Callers that were told to return.
        passed_counts: Number of requests admitted ahead of one that was next.
        next_due: Earliest time at which a waiting request may become late.
        refusal_counts: Number of refusals by reason.
    """

    def __init__(
        self, name: str, rng: random.Random, capacity: int = MAX_WAITING_COUNT
    ) -> None:
        self.name = name
        self.rng = rng
        self.capacity = capacity
        self.queue = fairqueue.UrgencyQueue(CLASS_RATIOS)
        self.resumed: collections.OrderedDict[str, fairqueue.QueuedRequest] = (
            collections.OrderedDict()
        )
        self.entries: dict[str, arrivals.Waiting] = {}
        self.throughput = throughput.Throughput()
        self.late_throughput = throughput.Throughput()
        self.first_events = throughput.ServiceTime()
        self.returns = returns.ReturnSchedule()
        self.passed_counts: dict[str, int] = {}
        self.next_due = float("inf")
        self.refusal_counts: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self.entries)

    def offer(
        self, arrival: arrivals.Arrival, now: float
    ) -> arrivals.Queued | arrivals.Refused:
        """Queues a request that has not run, or refuses it.

        Load pattern: a burst fills all paths. A request whose start is expected
        after the end of its use is refused before it has waited.

        Args:
            arrival: The request.
            now: Monotonic time in seconds.

        Returns:
            That it waits, with the request shed for it, or the refusal.
        """
        promise = self.returns.claim(arrival.fingerprint, now)
        offered_at = promise.offered_at if promise else now
        item, until = self._place(arrival, promise is not None, offered_at, now)
        if until <= now:
            return self._refuse(
                arrival, arrivals.Reason.TOO_LATE, offered_at, now
            )
        shed = None
        if len(self.queue) >= self.capacity:
            # The newest of the account with the most work in the lowest class.
            victim = self.queue.victim_for(item)
            if victim is None:
                return self._refuse(
                    arrival, arrivals.Reason.FULL, offered_at, now
                )
            shed = self._shed(victim, now)
        self.queue.push(item)
        self.next_due = min(self.next_due, item.deadline)
        self.entries[item.request] = arrivals.Waiting(arrival, item, until)
        return arrivals.Queued(item.request, until, shed)

    def offer_resumed(
        self, arrival: arrivals.Arrival, until: float, now: float
    ) -> arrivals.Queued:
        """Queues a request that has run and goes on elsewhere."""
        item = self._item(arrival, _class(arrival, late=False), until, now)
        self.resumed[item.request] = item
        self.entries[item.request] = arrivals.Waiting(arrival, item, until)
        return arrivals.Queued(item.request, until)

    def candidates(self, now: float) -> list[fairqueue.QueuedRequest]:
        """Returns the requests for which freed room is sought, in order.

        A request that is too large for the freed room is passed by a few
        smaller ones. Then nothing is admitted before it, so that the room is
        collected for it.
        """
        self._demote_late(now)
        urgency = self.queue.next_class()
        first = None if urgency is None else self.queue.classes[urgency].peek()
        ordered = list(
            itertools.islice(self.resumed.values(), MAX_CANDIDATE_COUNT)
        )
        if first is not None:
            ordered.append(first)
            ordered += [
                i
                for i in itertools.islice(
                    self.queue.heads(), MAX_CANDIDATE_COUNT
                )
                if i is not first
            ]
        del ordered[MAX_CANDIDATE_COUNT:]
        for number, item in enumerate(ordered, 1):
            if self.passed_counts.get(item.request, 0) >= MAX_PASSED_COUNT:
                return ordered[:number]
        return ordered

    def start(
        self,
        item: fairqueue.QueuedRequest,
        passed: fairqueue.QueuedRequest | None,
        now: float,
    ) -> None:
        """Records that a waiting request starts.

        Args:
            item: The request.
            passed: Request that was next but too large for the room.
            now: Monotonic time in seconds.
        """
        entry = self.entries.pop(item.request)
        self.passed_counts.pop(item.request, None)
        if passed is not None and passed is not item:
            count = self.passed_counts.get(passed.request, 0)
            self.passed_counts[passed.request] = count + 1
        if self.resumed.pop(item.request, None) is None:
            self.queue.take(item)
        self._record_start(entry.arrival, item.urgency % 2 == 1, now)

    def start_at_once(self, arrival: arrivals.Arrival, now: float) -> None:
        """Records that a request starts that has not waited."""
        self._record_start(arrival, False, now)

    def record_first_event(self, seconds: float, now: float) -> None:
        """Records the time from the start of a request to its first event."""
        self.first_events.record(seconds, now)

    def remove(self, request: str) -> None:
        """Removes a request whose caller has left."""
        entry = self.entries.pop(request, None)
        self.passed_counts.pop(request, None)
        if entry is None or self.resumed.pop(request, None) is not None:
            return
        item = entry.item
        self.queue.classes[item.urgency].remove(item.account, request)

    def expire(self, request: str, now: float) -> arrivals.Refused:
        """Refuses a waiting request whose useful time is over."""
        entry = self.entries[request]
        self.remove(request)
        return self._refuse(
            entry.arrival, arrivals.Reason.FULL, entry.item.offered_at, now
        )

    def shed_late(self, now: float) -> list[arrivals.ShedRequest]:
        """Refuses waiting requests that can no longer start in time.

        Load pattern: paths fail while requests wait, and room is freed more
        slowly than expected. Those that would wait in vain are refused early.
        """
        self._demote_late(now)
        shed = []
        for urgency, accounts in self.queue.classes.items():
            # A single request of a class gets its guaranteed share.
            if accounts.count <= 1 or not self.throughput.work_per_s:
                continue
            largest = heapq.nlargest(
                MAX_SHED_CHECK_COUNT,
                accounts.weighted_work,
                key=accounts.weighted_work.__getitem__,
            )
            for account in largest:
                while accounts.count > 1 and account in accounts.queues:
                    newest = accounts.newest_of(account)
                    until = self.entries[newest.request].until
                    wait_s = self._wait_s(urgency, account, newest.weight, now)
                    if now + wait_s <= until:
                        break
                    shed.append(self._shed(newest, now))
        return shed

    def work(self) -> arrivals.WaitingWork:
        """Returns the work that waits."""
        return arrivals.WaitingWork(
            len(self.entries),
            sum(e.arrival.tokens for e in self.entries.values()),
        )

    def status(self, now: float) -> list[arrivals.ClassStatus]:
        """Returns the waiting requests by class, highest class first."""
        counts: collections.Counter[int] = collections.Counter()
        longest_s: dict[int, float] = {}
        for entry in self.entries.values():
            urgency = entry.arrival.urgency
            counts[urgency] += 1
            waited_s = now - entry.arrival.received_at
            longest_s[urgency] = max(longest_s.get(urgency, 0.0), waited_s)
        return [
            arrivals.ClassStatus(u, counts[u], longest_s[u])
            for u in sorted(counts)
        ]

    def _place(
        self,
        arrival: arrivals.Arrival,
        returns: bool,
        offered_at: float,
        now: float,
    ) -> tuple[fairqueue.QueuedRequest, float]:
        """Returns a new request in its class, and until when it may wait.

        A class may always have one request, which gets its guaranteed share. A
        caller that returns is late by its first attempt.
        """
        first_s = self.first_events.decayed_s(now)
        last = arrival.deadline - attempts.MIN_ATTEMPT_S
        timely = min(last, arrival.received_at + arrival.objective_s - first_s)
        useful_s = max(arrival.objective_s, PATIENCE_RATIO * arrival.patience_s)
        useful = min(last, arrival.received_at + useful_s - first_s)
        account, weight = arrival.account, arrival.weight
        if not self.throughput.work_per_s:
            unknown_s = UNKNOWN_RATE_WAIT_RATIO * arrival.objective_s
            timely = useful = min(last, now + unknown_s)
        urgency = _class(arrival, late=False)
        wait_s = self._wait_s(urgency, account, weight, now)
        if not returns and now + wait_s <= timely:
            item = self._item(arrival, urgency, timely, offered_at)
            return item, useful
        urgency = _class(arrival, late=True)
        wait_s = self._wait_s(urgency, account, weight, now)
        has_waiting = self.queue.classes[urgency].count > 0
        if has_waiting and now + wait_s > useful:
            useful = now
        return self._item(arrival, urgency, useful, offered_at), useful

    def _wait_s(
        self, urgency: int, account: str, weight: int, now: float
    ) -> float:
        """Returns the expected wait behind the requests of an account.

        Late requests get what the others leave, and what is left was promised
        to callers that return.
        """
        ahead = self.queue.work_ahead(urgency, account, weight)
        wait_s = self.throughput.drain_s(ahead, now)
        if urgency % 2 == 0:
            return wait_s
        late = self.queue.classes[urgency].work_before(account, weight, 0.0)
        late_s = self.late_throughput.drain_s(late, now)
        due = self.returns.count_due(now, now + wait_s)
        return max(wait_s, late_s + self.late_throughput.drain_s(due, now))

    def _demote_late(self, now: float) -> None:
        """Moves waiting requests that have become late to the late class."""
        if now < self.next_due:
            return
        self.next_due = float("inf")
        for urgency, accounts in self.queue.classes.items():
            timely = [] if urgency % 2 else accounts.due_before(float("inf"))
            for item in timely:
                if item.deadline <= now:
                    accounts.remove(item.account, item.request)
                    self._demote(item)
                else:
                    self.next_due = min(self.next_due, item.deadline)

    def _demote(self, item: fairqueue.QueuedRequest) -> None:
        entry = self.entries[item.request]
        late = dataclasses.replace(
            item, urgency=item.urgency + 1, deadline=entry.until
        )
        self.queue.push(late)
        self.entries[item.request] = dataclasses.replace(entry, item=late)

    def _item(
        self,
        arrival: arrivals.Arrival,
        urgency: int,
        until: float,
        offered_at: float,
    ) -> fairqueue.QueuedRequest:
        return fairqueue.QueuedRequest(
            request=arrival.request,
            account=arrival.account,
            weight=arrival.weight,
            urgency=urgency,
            model=self.name,
            version="",
            work=1.0,
            deadline=until,
            offered_at=offered_at,
        )

    def _record_start(
        self, arrival: arrivals.Arrival, is_late: bool, now: float
    ) -> None:
        self.returns.forget(arrival.fingerprint)
        is_waiting = len(self.queue) > 0
        self.throughput.record_admission(1.0, now, is_waiting)
        if is_late:
            late_waiting = any(
                c.count for u, c in self.queue.classes.items() if u % 2
            )
            self.late_throughput.record_admission(1.0, now, late_waiting)

    def _shed(
        self, item: fairqueue.QueuedRequest, now: float
    ) -> arrivals.ShedRequest:
        arrival = self.entries[item.request].arrival
        self.remove(item.request)
        refusal = self._refuse(
            arrival, arrivals.Reason.SHED, item.offered_at, now
        )
        return arrivals.ShedRequest(item.request, refusal)

    def _refuse(
        self,
        arrival: arrivals.Arrival,
        reason: arrivals.Reason,
        offered_at: float,
        now: float,
    ) -> arrivals.Refused:
        self.refusal_counts[str(reason)] += 1
        urgency = _class(arrival, late=True)
        delay_s = self.returns.promise(
            arrival.fingerprint,
            offered_at,
            self._wait_s(urgency, arrival.account, arrival.weight, now),
            self.late_throughput.work_per_s,
            arrival.deadline - now,
            self.rng.random(),
            now,
        )
        return arrivals.Refused(str(reason), delay_s)


def _class(arrival: arrivals.Arrival, late: bool) -> int:
    return 2 * arrival.urgency + late
