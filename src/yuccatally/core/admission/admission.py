"""Decides at admission which requests run, wait or are refused."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.admission import fairqueue
from yuccatally.core.admission import limits
from yuccatally.core.requests import outcomes

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_QUEUED_COUNT = 512
# Work let in and times of service are averaged over about this many requests.
SMOOTHING = 0.05
SERVICE_WEIGHT = 0.1
# Half of all requests take longer than the mean.
SERVICE_MARGIN = 1.15
SERVICE_HALF_LIFE_S = 5.0
# Below the highest class, requests wait for at most this part of their time.
# Engines are busy with a short queue as well, and after an overload a long one
# delays the work that comes then.
WAIT_PART = 0.3
RATE_WINDOW_S = 0.5
RATE_WEIGHT = 0.3
LEAST_RETRY_S = 1.0
MOST_RETRY_S = 30.0


@dataclasses.dataclass(frozen=True)
class Queued:
    """The request waits; ``next`` may return it at once."""

    shed: tuple[ShedRequest, ...] = ()


@dataclasses.dataclass(frozen=True)
class ShedRequest:
    """A request that is refused although it was waiting."""

    request: str
    refusal: outcomes.Refusal


@dataclasses.dataclass
class _Granted:
    item: fairqueue.QueuedRequest
    at: float


class AdmissionController:
    """Admission of model requests on one instance.

    Attributes:
        limits: Limits of accounts.
        queues: Waiting requests by model and version.
        length: Greatest number of waiting requests.
        refused: Refusals by reason.
    """

    def __init__(
        self,
        length: int = MAX_QUEUED_COUNT,
        members: int = 1,
        active_from: float = 0.0,
    ) -> None:
        self.limits = limits.Limits(members, active_from)
        self.length = length
        self.queues: dict[tuple[str, str], fairqueue.ClassQueue] = {}
        self.places: dict[str, fairqueue.QueuedRequest] = {}
        self.granted: dict[str, _Granted] = {}
        self.rates: dict[tuple[str, str], _Rate] = {}
        self.refused: collections.Counter[str] = collections.Counter()

    def offer(
        self,
        item: fairqueue.QueuedRequest,
        account_limits: limits.AccountLimits,
        max_tokens: int,
        now: float,
    ) -> Queued | outcomes.Refusal:
        """Takes a request into the queue, or refuses it before any cost.

        Args:
            item: The request.
            account_limits: Limits of its account.
            max_tokens: Tokens that it may generate, for the token limit.
            now: Monotonic time in seconds.

        Returns:
            Whether it waits, with requests given up for it, or the refusal.
        """
        late = self._late(item, now)
        if late is not None:
            return self._count(late)
        victim = None
        if len(self.places) >= self.length:
            victim = self._victim(item)
            if victim is None:
                refusal = self._overloaded(item, "the queue is full", now)
                return self._count(refusal)
        wait_s = self.limits.wait_s(
            item.account, account_limits, max_tokens, now
        )
        if wait_s > 0:
            return self._count(_limited(item, wait_s))
        shed = ()
        if victim is not None:
            shed = (self._shed(victim, "work of a higher rank came", now),)
        self._queue(item).push(item)
        self.places[item.request] = item
        return Queued(shed)

    def waiting_models(self) -> Iterator[tuple[str, str]]:
        """Yields models and versions with waiting requests."""
        for key, queue in self.queues.items():
            if len(queue):
                yield key

    def next_urgency(
        self, key: tuple[str, str], highest: bool = False
    ) -> int | None:
        """Returns the class of the next request for a model and version.

        Args:
            key: Model and version.
            highest: Whether the guaranteed part of lower classes is passed
                over, because engines have room for the highest class only.
        """
        queue = self.queues.get(key)
        if queue is None:
            return None
        return queue.highest_class() if highest else queue.next_class()

    def admit(
        self, key: tuple[str, str], urgency: int, now: float
    ) -> fairqueue.QueuedRequest:
        """Lets the next request of a class run; there must be one."""
        item = self.queues[key].pop(urgency)
        del self.places[item.request]
        self.granted[item.request] = _Granted(item, now)
        waiting = len(self.queues[key]) > 0
        self._rate(key).on_grant(item.work, now, waiting)
        return item

    def refuse_admitted(
        self, request: str, max_tokens: int, now: float
    ) -> ShedRequest:
        """Refuses a request that was let in and for which nothing was run."""
        item = self.granted.pop(request).item
        self.limits.give_back(item.account, max_tokens)
        cause = "no free engine is fast enough for its deadline"
        refusal = self._count(self._overloaded(item, cause, now))
        return ShedRequest(request, refusal)

    def shed_expired(self, now: float) -> tuple[ShedRequest, ...]:
        """Refuses waiting requests that cannot meet their deadline any more."""
        shed = []
        for key, queue in self.queues.items():
            rate = self._rate(key)
            for urgency, turns in queue.classes.items():
                late = [
                    i
                    for i in turns.expired(now + rate.longest_s(urgency, now))
                    if i.deadline < now + rate.service_s(urgency, i.work, now)
                ]
                shed += [
                    self._shed(i, "its deadline is too close", now)
                    for i in late
                ]
        return tuple(shed)

    def remove(self, request: str) -> bool:
        """Removes a request whose caller went away; whether it waited."""
        item = self.places.pop(request, None)
        if item is None:
            return False
        turns = self._queue(item).classes[item.urgency]
        turns.remove(item.account, request)
        return True

    def record_finished(
        self, request: str, max_tokens: int, tokens: int, now: float
    ) -> None:
        """Records the end of a request that ran.

        Args:
            request: Request id.
            max_tokens: Tokens that were counted for it.
            tokens: Tokens that were generated.
            now: Monotonic time in seconds.
        """
        granted = self.granted.pop(request, None)
        if granted is None:
            return
        item = granted.item
        self.limits.give_back(item.account, max_tokens - tokens)
        if tokens:
            rate = self._rate((item.model, item.version))
            rate.on_service(item.urgency, item.work, now - granted.at, now)

    def wait_s(self, item: fairqueue.QueuedRequest, now: float) -> float:
        """Returns how long a new request will probably wait."""
        key = (item.model, item.version)
        queue = self.queues.get(key)
        if queue is None or not len(queue):
            return 0.0
        return self._rate(key).drain_s(queue.work_before(item), now)

    def _late(
        self, item: fairqueue.QueuedRequest, now: float
    ) -> outcomes.Refusal | None:
        key = (item.model, item.version)
        needed_s = self._rate(key).service_s(item.urgency, item.work, now)
        wait_s = self.wait_s(item, now)
        left_s = item.deadline - now
        if item.urgency and wait_s > WAIT_PART * left_s:
            message = f"the queue takes about {wait_s:.1f} s"
            return self._overloaded(item, message, now)
        needed_s += wait_s
        if now + needed_s <= item.deadline:
            return None
        message = (
            f"the answer would take about {needed_s:.1f} s, the deadline is in "
            f"{max(0.0, item.deadline - now):.1f} s"
        )
        return self._overloaded(item, message, now)

    def _victim(
        self, item: fairqueue.QueuedRequest
    ) -> fairqueue.QueuedRequest | None:
        found = [
            victim
            for queue in self.queues.values()
            if len(queue) and (victim := queue.victim_for(item)) is not None
        ]
        return max(found, key=lambda v: (v.urgency, v.offered_at), default=None)

    def _shed(
        self, item: fairqueue.QueuedRequest, cause: str, now: float
    ) -> ShedRequest:
        self.remove(item.request)
        refusal = self._overloaded(item, cause, now)
        self._count(refusal)
        return ShedRequest(item.request, refusal)

    def _overloaded(
        self, item: fairqueue.QueuedRequest, cause: str, now: float
    ) -> outcomes.Refusal:
        wait_s = self.wait_s(item, now)
        return outcomes.Refusal(
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.OVERLOADED,
            f"not enough capacity: {cause}; send it again later",
            min(MOST_RETRY_S, max(LEAST_RETRY_S, wait_s)),
        )

    def _count(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        self.refused[str(refusal.reason)] += 1
        return refusal

    def _queue(self, item: fairqueue.QueuedRequest) -> fairqueue.ClassQueue:
        key = (item.model, item.version)
        return self.queues.setdefault(key, fairqueue.ClassQueue())

    def _rate(self, key: tuple[str, str]) -> _Rate:
        return self.rates.setdefault(key, _Rate())


class _Rate:
    """Work let in per second, and time of service, of one model."""

    def __init__(self) -> None:
        self.work_per_s = 0.0
        self.window_work = 0.0
        self.window_started: float | None = None
        self.window_waited = False
        self.services: dict[int, _Service] = {}
        self.most_work = 0.0

    def on_grant(self, work: float, now: float, waiting: bool) -> None:
        self._advance(now, waiting)
        self.window_work += work
        self.most_work = max(work, self.most_work * (1 - SMOOTHING))

    def on_service(
        self, urgency: int, work: float, seconds: float, now: float
    ) -> None:
        service = self.services.setdefault(urgency, _Service())
        known_s = service.each(now)
        weight = SERVICE_WEIGHT if known_s else 1.0
        service.each_s = known_s + weight * (seconds / work - known_s)
        service.measured_at = now

    def service_s(self, urgency: int, work: float, now: float) -> float:
        service = self.services.get(urgency)
        return SERVICE_MARGIN * work * service.each(now) if service else 0.0

    def longest_s(self, urgency: int, now: float) -> float:
        return self.service_s(urgency, self.most_work, now)

    def drain_s(self, work: float, now: float) -> float:
        self._advance(now, waiting=True)
        return work / self.work_per_s if self.work_per_s else 0.0

    def _advance(self, now: float, waiting: bool) -> None:
        if self.window_started is None:
            self.window_started = now
            self.window_waited = waiting
        seconds = now - self.window_started
        if seconds < RATE_WINDOW_S:
            return
        found = self.window_work / seconds
        # A rate without a queue is the callers' rate, which is a lower bound
        # of what the engines allow.
        if found > self.work_per_s or (
            self.window_waited and waiting and seconds < 4 * RATE_WINDOW_S
        ):
            weight = RATE_WEIGHT if self.work_per_s else 1.0
            self.work_per_s += weight * (found - self.work_per_s)
        self.window_work = 0.0
        self.window_started = now
        self.window_waited = waiting


@dataclasses.dataclass
class _Service:
    """Time of service for each unit of work, of one class.

    It fades without new samples, or a slow phase in which every request was
    refused as too late would never be seen to have ended.
    """

    each_s: float = 0.0
    measured_at: float = 0.0

    def each(self, now: float) -> float:
        age_s = max(0.0, now - self.measured_at)
        return self.each_s * 0.5 ** (age_s / SERVICE_HALF_LIFE_S)


def _limited(item: fairqueue.QueuedRequest, wait_s: float) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Outcome.NOT_RUN,
        outcomes.Reason.LIMITED,
        f"client account {item.account!r} is at its limit",
        min(MOST_RETRY_S, max(LEAST_RETRY_S, wait_s)),
    )
