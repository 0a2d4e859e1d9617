"""Admission control: decides which model requests run, wait or are refused."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.admission import fairqueue
from yuccatally.core.admission import limits
from yuccatally.core.admission import throughput
from yuccatally.core.requests import outcomes

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_QUEUED_COUNT = 512
# Requests below the highest class may spend at most this part of the time to
# their deadline in the queue. A short queue is enough to keep engines busy,
# and a long one delays the requests that arrive after an overload.
MAX_WAIT_RATIO = 0.3
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@dataclasses.dataclass(frozen=True)
class Queued:
    """The request was queued; it may already be the next one to admit.

    Attributes:
        shed: Waiting requests that were refused to make room for it.
    """

    shed: tuple[ShedRequest, ...] = ()


@dataclasses.dataclass(frozen=True)
class ShedRequest:
    """A request that was refused after it had been queued."""

    request: str
    refusal: outcomes.Refusal


@dataclasses.dataclass
class _AdmittedRequest:
    item: fairqueue.QueuedRequest
    admitted_at: float


class AdmissionController:
    """Admission of model requests on one instance.

    Attributes:
        limits: Limits of the client accounts.
        capacity: Maximum number of waiting requests.
        queues: Waiting requests by model and version.
        waiting: Waiting requests by id.
        admitted: Requests that were admitted and have not finished, by id.
        refusal_counts: Number of refusals by reason.
    """

    def __init__(
        self,
        capacity: int = MAX_QUEUED_COUNT,
        members: int = 1,
        active_from: float = 0.0,
    ) -> None:
        self.limits = limits.Limits(members, active_from)
        self.capacity = capacity
        self.queues: dict[tuple[str, str], fairqueue.UrgencyQueue] = {}
        self.waiting: dict[str, fairqueue.QueuedRequest] = {}
        self.admitted: dict[str, _AdmittedRequest] = {}
        self.throughputs: dict[tuple[str, str], throughput.Throughput] = {}
        self.refusal_counts: collections.Counter[str] = collections.Counter()

    def offer(
        self,
        item: fairqueue.QueuedRequest,
        account_limits: limits.AccountLimits,
        max_tokens: int,
        now: float,
    ) -> Queued | outcomes.Refusal:
        """Queues a request, or refuses it before it uses any resources.

        Args:
            item: The request.
            account_limits: Limits of its client account.
            max_tokens: Tokens that it may generate, for the token limit.
            now: Monotonic time in seconds.

        Returns:
            That it was queued, with the requests shed for it, or the refusal.
        """
        late = self._refuse_late(item, now)
        if late is not None:
            return self._count(late)
        victim = None
        if len(self.waiting) >= self.capacity:
            victim = self._victim(item)
            if victim is None:
                refusal = self._overloaded(item, "the queue is full", now)
                return self._count(refusal)
        wait_s = self.limits.try_consume(
            item.account, account_limits, max_tokens, now
        )
        if wait_s > 0:
            return self._count(_limited(item, wait_s))
        shed = ()
        if victim is not None:
            shed = (
                self._shed(
                    victim, "a request of higher priority displaced it", now
                ),
            )
        self._queue(item).push(item)
        self.waiting[item.request] = item
        return Queued(shed)

    def waiting_models(self) -> Iterator[tuple[str, str]]:
        """Yields the models and versions that requests wait for."""
        for key, queue in self.queues.items():
            if len(queue):
                yield key

    def next_urgency(
        self, key: tuple[str, str], highest_only: bool = False
    ) -> int | None:
        """Returns the class of the next request for a model and version.

        Args:
            key: Model and version.
            highest_only: Whether to ignore the guaranteed share of the lower
                classes, because the engines only have capacity left for the
                highest class.
        """
        queue = self.queues.get(key)
        if queue is None:
            return None
        return queue.highest_class() if highest_only else queue.next_class()

    def admit(
        self, key: tuple[str, str], urgency: int, now: float
    ) -> fairqueue.QueuedRequest:
        """Admits the next request of a class, which must not be empty."""
        item = self.queues[key].pop(urgency)
        del self.waiting[item.request]
        self.admitted[item.request] = _AdmittedRequest(item, now)
        still_waiting = len(self.queues[key]) > 0
        self._throughput(key).record_admission(item.work, now, still_waiting)
        return item

    def refuse_admitted(
        self, request: str, max_tokens: int, now: float
    ) -> ShedRequest:
        """Refuses a request that was admitted but not started."""
        item = self.admitted.pop(request).item
        self.limits.refund(item.account, max_tokens)
        cause = "no free engine is fast enough for its deadline"
        refusal = self._count(self._overloaded(item, cause, now))
        return ShedRequest(request, refusal)

    def shed_expired(self, now: float) -> tuple[ShedRequest, ...]:
        """Refuses waiting requests that can no longer meet their deadline."""
        shed = []
        for key, queue in self.queues.items():
            estimate = self._throughput(key)
            for urgency, accounts in queue.classes.items():
                late = [
                    i
                    for i in accounts.due_before(
                        now + estimate.longest_s(urgency, now)
                    )
                    if i.deadline
                    < now + estimate.service_s(urgency, i.work, now)
                ]
                shed += [
                    self._shed(i, "its deadline is too close", now)
                    for i in late
                ]
        return tuple(shed)

    def remove(self, request: str) -> bool:
        """Removes a request whose caller disconnected.

        Returns:
            Whether the request was waiting.
        """
        item = self.waiting.pop(request, None)
        if item is None:
            return False
        accounts = self._queue(item).classes[item.urgency]
        accounts.remove(item.account, request)
        return True

    def record_finished(
        self, request: str, max_tokens: int, tokens: int, now: float
    ) -> None:
        """Records the end of an admitted request.

        Args:
            request: Request id.
            max_tokens: Tokens that were charged for it at admission.
            tokens: Tokens that were generated.
            now: Monotonic time in seconds.
        """
        admitted = self.admitted.pop(request, None)
        if admitted is None:
            return
        item = admitted.item
        self.limits.refund(item.account, max_tokens - tokens)
        if tokens:
            estimate = self._throughput((item.model, item.version))
            estimate.record_service(
                item.urgency, item.work, now - admitted.admitted_at, now
            )

    def estimate_wait_s(
        self, item: fairqueue.QueuedRequest, now: float
    ) -> float:
        """Returns the expected queueing time of a new request in seconds."""
        key = (item.model, item.version)
        queue = self.queues.get(key)
        if queue is None or not len(queue):
            return 0.0
        return self._throughput(key).drain_s(queue.work_before(item), now)

    def _refuse_late(
        self, item: fairqueue.QueuedRequest, now: float
    ) -> outcomes.Refusal | None:
        key = (item.model, item.version)
        needed_s = self._throughput(key).service_s(item.urgency, item.work, now)
        wait_s = self.estimate_wait_s(item, now)
        left_s = item.deadline - now
        if item.urgency and wait_s > MAX_WAIT_RATIO * left_s:
            message = f"the expected queueing time is {wait_s:.1f} s"
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
        candidates = [
            victim
            for queue in self.queues.values()
            if len(queue) and (victim := queue.victim_for(item)) is not None
        ]
        return max(
            candidates, key=lambda v: (v.urgency, v.offered_at), default=None
        )

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
        wait_s = self.estimate_wait_s(item, now)
        return outcomes.Refusal(
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.OVERLOADED,
            f"not enough capacity: {cause}; retry later",
            min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
        )

    def _count(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        self.refusal_counts[str(refusal.reason)] += 1
        return refusal

    def _queue(self, item: fairqueue.QueuedRequest) -> fairqueue.UrgencyQueue:
        key = (item.model, item.version)
        return self.queues.setdefault(key, fairqueue.UrgencyQueue())

    def _throughput(self, key: tuple[str, str]) -> throughput.Throughput:
        return self.throughputs.setdefault(key, throughput.Throughput())


def _limited(item: fairqueue.QueuedRequest, wait_s: float) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Outcome.NOT_RUN,
        outcomes.Reason.LIMITED,
        f"client account {item.account!r} is at its limit",
        min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
    )
