"""Holds model requests until engines have room."""

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

# Deadlines of waiting requests and limits that grew are looked at this often.
TICK_S = 0.05

_log = structlog.get_logger()

Answer = outcomes.Refusal | None


@dataclasses.dataclass(frozen=True)
class _Place:
    job: actions.Job
    answer: asyncio.Future[Answer]


class AdmissionQueue:
    """Admission of model requests, over futures of the waiting callers."""

    def __init__(
        self,
        chosen: paths.PathSelector,
        figures: metrics.Metrics,
        length: int = admission.MAX_QUEUED_COUNT,
    ) -> None:
        self.paths = chosen
        self.metrics = figures
        starts_at = time.monotonic() + limits.JOIN_WAIT_S
        self.admission = admission.AdmissionController(
            length, active_from=starts_at
        )
        self.admission.limits.configured_limit = self._limit_of
        self.places: dict[str, _Place] = {}
        self.inside: dict[str, actions.Job] = {}
        self.tick_scheduled = False
        chosen.on_generated = self.on_generated
        chosen.on_room = self.pump

    async def wait_for_admission(
        self, job: actions.Job, account: kinds.Object
    ) -> Answer:
        """Waits until a request may run.

        Args:
            job: The request.
            account: Its client account.

        Returns:
            None if it may run, the refusal otherwise.
        """
        if not self.paths.router.options.limits:
            return None
        now = time.monotonic()
        spec = account.spec
        expected = self.paths.router.demand.expected(
            job.account, job.model, job.max_tokens
        )
        offered = self.admission.offer(
            fairqueue.QueuedRequest(
                request=job.request,
                account=account.name,
                weight=spec.weight,
                urgency=int(job.priority),
                model=job.model,
                version=job.version,
                work=len(job.prompt) + expected,
                deadline=job.deadline,
                offered_at=now,
            ),
            limits.AccountLimits(spec.requests_per_s, spec.tokens_per_s),
            job.max_tokens,
            now,
        )
        if isinstance(offered, outcomes.Refusal):
            return offered
        answer = asyncio.get_running_loop().create_future()
        self.places[job.request] = _Place(job, answer)
        self._answer_shed(offered.shed)
        self.pump()
        self._schedule_tick()
        try:
            refusal = await answer
        except asyncio.CancelledError:
            self.remove(job.request)
            raise
        self.metrics.observe("admission_wait", time.monotonic() - now)
        return refusal

    def remove(self, request: str) -> None:
        """Forgets a request, wherever it stands."""
        self.places.pop(request, None)
        self.admission.remove(request)
        self.on_generated(request, 0)
        self.paths.cancel(request)

    def on_generated(self, request: str, tokens: int) -> None:
        """Records that a request that was let in is over."""
        job = self.inside.pop(request, None)
        if job is not None:
            now = time.monotonic()
            self.admission.record_finished(request, job.max_tokens, tokens, now)
            self.pump()

    def pump(self) -> None:
        """Lets requests in while engines have room."""
        if not self.places:
            return
        now = time.monotonic()
        self.paths.router.apply_configuration(self.paths.config)
        for key in list(self.admission.waiting_models()):
            while (urgency := self._next(key, now)) is not None:
                self._let_in(self.admission.admit(key, urgency, now))

    def _limit_of(self, account: str, unit: str) -> float:
        declared = self.paths.config.get("client_account", account)
        if declared is None:
            return 0.0
        if unit == "requests":
            return float(declared.spec.requests_per_s)
        return float(declared.spec.tokens_per_s)

    def _next(self, key: tuple[str, str], now: float) -> int | None:
        for urgent_only in (False, True):
            urgency = self.admission.next_urgency(key, urgent_only)
            urgent = urgency == specs.Urgency.URGENT
            if urgency is not None and self.paths.router.has_capacity(
                *key, urgent, now
            ):
                return urgency
        return None

    def _let_in(self, item: fairqueue.QueuedRequest) -> None:
        place = self.places[item.request]
        if not self.paths.reserve(place.job):
            shed = self.admission.refuse_admitted(
                item.request, place.job.max_tokens, time.monotonic()
            )
            self._answer_shed((shed,))
            return
        del self.places[item.request]
        self.inside[item.request] = place.job
        if not place.answer.done():
            place.answer.set_result(None)

    def _answer_shed(self, shed: tuple[admission.ShedRequest, ...]) -> None:
        for each in shed:
            place = self.places.pop(each.request, None)
            if place is not None and not place.answer.done():
                place.answer.set_result(each.refusal)

    def _schedule_tick(self) -> None:
        if not self.tick_scheduled and self.places:
            self.tick_scheduled = True
            asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self.tick_scheduled = False
        self._answer_shed(self.admission.shed_expired(time.monotonic()))
        self.pump()
        self._schedule_tick()
