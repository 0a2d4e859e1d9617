"""Calls of services, with retries on their other addresses."""

from __future__ import annotations

import dataclasses
import random
import time
from typing import TYPE_CHECKING

from yuccatally.core.requests import budget
from yuccatally.core.services import addresses
from yuccatally.upstreams import services

if TYPE_CHECKING:
    import aiohttp
    from opentelemetry import trace

    from yuccatally.core.objects import kinds
    from yuccatally.telemetry import metrics

MAX_ATTEMPTS = 3
# An attempt before the last one leaves time for a retry.
ATTEMPT_TIMEOUT_RATIO = 0.5
MAX_SERVICE_COUNT = 1024


@dataclasses.dataclass(frozen=True)
class Answered:
    """The service answered."""

    answer: services.ServiceResponse


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The call was not sent to any address."""

    message: str


@dataclasses.dataclass(frozen=True)
class Uncertain:
    """The call may have run, but no answer was received."""

    message: str


@dataclasses.dataclass(frozen=True)
class TooLong:
    """The call ran; its answer exceeds the limit."""

    status: int
    message: str


Result = Answered | NotSent | Uncertain | TooLong


@dataclasses.dataclass
class _ServiceState:
    addresses: addresses.AddressBalancer
    budget: budget.RetryBudget


class ServiceCaller:
    """Calls services and tracks address health and retry budgets."""

    def __init__(
        self, tracer: trace.Tracer, instance_metrics: metrics.Metrics
    ) -> None:
        self.tracer = tracer
        self.metrics = instance_metrics
        self.random = random.Random()
        self.service_states: dict[str, _ServiceState] = {}
        self.session: aiohttp.ClientSession | None = None

    async def execute(
        self,
        request: str,
        service: kinds.Object,
        call: services.ServiceRequest,
        timeout_s: float,
        idempotent: bool,
    ) -> Result:
        """Calls a service and retries on other addresses where permitted.

        A call that was certainly not sent may always be retried. A call that
        may have run is retried only if it is idempotent.

        Args:
            request: Request id.
            service: The service.
            call: The call.
            timeout_s: Longest time over all attempts, in seconds.
            idempotent: Whether the call may run more than once.

        Returns:
            The first answer. Without an answer, the result of the last attempt
            that may have run, or of the last attempt if none may have run.
        """
        state = self._service_state(service.name)
        state.budget.record_request()
        deadline = time.monotonic() + timeout_s
        tried: frozenset[str] = frozenset()
        uncertain: Result | None = None
        result: Result = NotSent(f"service {service.name!r} has no address")
        for attempt in range(1, MAX_ATTEMPTS + 1):
            now = time.monotonic()
            address = self._choose_address(
                state, service, tried, now, idempotent
            )
            if address is None or now >= deadline:
                break
            if attempt > 1 and not state.budget.try_spend(now):
                self.metrics.count("retries_refused", service.name)
                break
            remaining_s = deadline - now
            is_last = not idempotent or attempt == MAX_ATTEMPTS
            attempt_timeout_s = (
                remaining_s if is_last else remaining_s * ATTEMPT_TIMEOUT_RATIO
            )
            result = await self._attempt(
                state, address, request, attempt, call, attempt_timeout_s
            )
            if isinstance(result, Answered | TooLong):
                return result
            if isinstance(result, Uncertain):
                uncertain = result
                if not idempotent:
                    break
            tried |= {address}
        return uncertain or result

    async def close(self) -> None:
        """Closes connections."""
        if self.session is not None:
            await self.session.close()

    async def _attempt(
        self,
        state: _ServiceState,
        address: str,
        request: str,
        attempt: int,
        call: services.ServiceRequest,
        timeout_s: float,
    ) -> Result:
        if self.session is None:
            self.session = services.create_session()
        attributes = {
            "request": request,
            "attempt": attempt,
            "address": address,
        }
        health = state.addresses
        health.record_start(address)
        with self.tracer.start_as_current_span(
            "call", attributes=attributes
        ) as span:
            try:
                answer = await services.call(
                    self.session, address, call, timeout_s
                )
                health.record_answer(address, time.monotonic())
                result: Result = Answered(answer)
                span.set_attribute("status", answer.status)
            except services.TooLongError as error:
                health.record_answer(address, time.monotonic())
                result = TooLong(error.status, str(error))
            except services.NotSentError as error:
                health.record_refused(address, time.monotonic())
                result = NotSent(str(error))
            except services.UncertainError as error:
                health.record_unanswered(address, time.monotonic())
                result = Uncertain(str(error))
            except BaseException:
                health.record_abandoned(address)
                raise
            span.set_attribute("result", type(result).__name__)
        self.metrics.count("service_calls", type(result).__name__)
        return result

    def _choose_address(
        self,
        state: _ServiceState,
        service: kinds.Object,
        tried: frozenset[str],
        now: float,
        idempotent: bool,
    ) -> str | None:
        declared = service.spec.addresses
        address = state.addresses.choose(declared, tried, now)
        if address is None and idempotent:
            # A service with a single address is retried there.
            address = state.addresses.choose(declared, frozenset(), now)
        return address

    def _service_state(self, name: str) -> _ServiceState:
        state = self.service_states.get(name)
        if state is None:
            if len(self.service_states) >= MAX_SERVICE_COUNT:
                self.service_states.pop(next(iter(self.service_states)))
            state = _ServiceState(
                addresses.AddressBalancer(self.random),
                budget.RetryBudget(time.monotonic()),
            )
            self.service_states[name] = state
        return state
