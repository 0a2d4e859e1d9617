"""Queues model requests until engines have capacity."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.admission import admission
from yuccatally.core.admission import fairqueue
from yuccatally.core.admission import limits
from yuccatally.core.objects import specs
from yuccatally.core.requests import outcomes

if TYPE_CHECKING:
    from yuccatally.core.generation import actions
    from yuccatally.core.objects import kinds
    from yuccatally.instance import paths
    from yuccatally.telemetry import metrics

# Interval for expiring queued requests and for using raised limits.
TICK_INTERVAL_S = 0.05

_log = structlog.get_logger()

# None admits the request.
Decision = outcomes.Refusal | None


@dataclasses.dataclass(frozen=True)
class _WaitingRequest:
    job: actions.Job
    decision: asyncio.Future[Decision]


class AdmissionQueue:
    """Admits model requests; each caller awaits a future for its decision.

    Attributes:
        admission: Admission decisions.
        waiting: Requests without a decision, by request id.
        admitted: Admitted requests whose generation has not ended, by id.
    """

    def __init__(
        self,
        path_selector: paths.PathSelector,
        instance_metrics: metrics.Metrics,
        capacity: int = admission.MAX_QUEUED_COUNT,
    ) -> None:
        self.paths = path_selector
        self.metrics = instance_metrics
        active_from = time.monotonic() + limits.JOIN_WAIT_S
        self.admission = admission.AdmissionController(
            capacity, active_from=active_from
        )
        self.admission.limits.configured_limit = self._configured_limit
        self.waiting: dict[str, _WaitingRequest] = {}
        self.admitted: dict[str, actions.Job] = {}
        self.tick_scheduled = False
        path_selector.on_generation_end = self.record_finished
        path_selector.on_capacity = self.admit_waiting

    async def wait_for_admission(
        self, job: actions.Job, account: kinds.Object
    ) -> Decision:
        """Queues a request and waits for the decision.

        Args:
            job: The request.
            account: Its client account.

        Returns:
            None if the request was admitted, the refusal otherwise.
        """
        if not self.paths.router.options.limits:
            return None
        now = time.monotonic()
        spec = account.spec
        expected_tokens = self.paths.router.demand.expected(
            job.account, job.model, job.max_tokens
        )
        offer_result = self.admission.offer(
            fairqueue.QueuedRequest(
                request=job.request,
                account=account.name,
                weight=spec.weight,
                urgency=int(job.priority),
                model=job.model,
                version=job.version,
                work=len(job.prompt) + expected_tokens,
                deadline=job.deadline,
                offered_at=now,
            ),
            limits.AccountLimits(spec.requests_per_s, spec.tokens_per_s),
            job.max_tokens,
            now,
        )
        if isinstance(offer_result, outcomes.Refusal):
            return offer_result
        decision = asyncio.get_running_loop().create_future()
        self.waiting[job.request] = _WaitingRequest(job, decision)
        self._refuse_shed(offer_result.shed)
        self.admit_waiting()
        self._schedule_tick()
        try:
            refusal = await decision
        except asyncio.CancelledError:
            self.remove(job.request)
            raise
        self.metrics.observe("admission_wait", time.monotonic() - now)
        return refusal

    def remove(self, request: str) -> None:
        """Removes a request, whether it is waiting or admitted."""
        self.waiting.pop(request, None)
        self.admission.remove(request)
        self.record_finished(request, 0)
        self.paths.cancel(request)

    def record_finished(self, request: str, tokens: int) -> None:
        """Records the end of an admitted request."""
        job = self.admitted.pop(request, None)
        if job is not None:
            now = time.monotonic()
            self.admission.record_finished(request, job.max_tokens, tokens, now)
            self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admits waiting requests while engines have capacity."""
        if not self.waiting:
            return
        now = time.monotonic()
        self.paths.router.apply_configuration(self.paths.config)
        for key in list(self.admission.waiting_models()):
            while (urgency := self._next_urgency(key, now)) is not None:
                self._admit(self.admission.admit(key, urgency, now))

    def _configured_limit(self, account: str, unit: str) -> float:
        declared = self.paths.config.get("client_account", account)
        if declared is None:
            return 0.0
        if unit == "requests":
            return float(declared.spec.requests_per_s)
        return float(declared.spec.tokens_per_s)

    def _next_urgency(self, key: tuple[str, str], now: float) -> int | None:
        for urgent_only in (False, True):
            urgency = self.admission.next_urgency(key, urgent_only)
            urgent = urgency == specs.Urgency.URGENT
            if urgency is not None and self.paths.router.has_capacity(
                *key, urgent, now
            ):
                return urgency
        return None

    def _admit(self, item: fairqueue.QueuedRequest) -> None:
        entry = self.waiting[item.request]
        if not self.paths.reserve(entry.job):
            shed = self.admission.refuse_admitted(
                item.request, entry.job.max_tokens, time.monotonic()
            )
            self._refuse_shed((shed,))
            return
        del self.waiting[item.request]
        self.admitted[item.request] = entry.job
        if not entry.decision.done():
            entry.decision.set_result(None)

    def _refuse_shed(self, shed: tuple[admission.ShedRequest, ...]) -> None:
        for shed_request in shed:
            entry = self.waiting.pop(shed_request.request, None)
            if entry is not None and not entry.decision.done():
                entry.decision.set_result(shed_request.refusal)

    def _schedule_tick(self) -> None:
        if not self.tick_scheduled and self.waiting:
            self.tick_scheduled = True
            asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self.tick_scheduled = False
        self._refuse_shed(self.admission.shed_expired(time.monotonic()))
        self.admit_waiting()
        self._schedule_tick()
