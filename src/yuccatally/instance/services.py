"""Calls of services over their addresses."""

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
# An attempt that is not the last one leaves time for another.
ATTEMPT_SHARE = 0.5
SERVICES_KEPT = 1024


@dataclasses.dataclass(frozen=True)
class Answered:
    """The service answered."""

    answer: services.ServiceResponse


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte was handed to any address."""

    message: str


@dataclasses.dataclass(frozen=True)
class Uncertain:
    """The call may have run; no answer came."""

    message: str


@dataclasses.dataclass(frozen=True)
class TooLong:
    """The call ran; its answer exceeds the limit."""

    status: int
    message: str


Result = Answered | NotSent | Uncertain | TooLong


@dataclasses.dataclass
class _Service:
    addresses: addresses.AddressBalancer
    budget: budget.RetryBudget


class ServiceCaller:
    """Makes calls and keeps the health of addresses and retry budgets."""

    def __init__(self, tracer: trace.Tracer, figures: metrics.Metrics) -> None:
        self.tracer = tracer
        self.metrics = figures
        self.random = random.Random()
        self.known: dict[str, _Service] = {}
        self.session: aiohttp.ClientSession | None = None

    async def execute(
        self,
        request: str,
        service: kinds.Object,
        call: services.ServiceRequest,
        timeout_s: float,
        idempotent: bool,
    ) -> Result:
        """Makes a call, again on other addresses as far as that is allowed.

        A call that was certainly not sent may always be tried elsewhere; one
        that may have run only if it is idempotent.

        Args:
            request: Request id.
            service: The service.
            call: What to call.
            timeout_s: Longest time over all attempts, in seconds.
            idempotent: Whether the call may run more than once.

        Returns:
            The first answer, or how the last attempt ended.
        """
        state = self._state(service.name)
        state.budget.record_request()
        deadline = time.monotonic() + timeout_s
        tried: frozenset[str] = frozenset()
        sent: Result | None = None
        result: Result = NotSent(f"service {service.name!r} has no address")
        for attempt in range(1, MAX_ATTEMPTS + 1):
            now = time.monotonic()
            address = self._address(state, service, tried, now, idempotent)
            if address is None or now >= deadline:
                break
            if attempt > 1 and not state.budget.try_spend(now):
                self.metrics.count("retries_refused", service.name)
                break
            left_s = deadline - now
            last = not idempotent or attempt == MAX_ATTEMPTS
            wait_s = left_s if last else left_s * ATTEMPT_SHARE
            result = await self._attempt(
                state, address, request, attempt, call, wait_s
            )
            if isinstance(result, Answered | TooLong):
                return result
            if isinstance(result, Uncertain):
                sent = result
                if not idempotent:
                    break
            tried |= {address}
        return sent or result

    async def close(self) -> None:
        """Closes connections."""
        if self.session is not None:
            await self.session.close()

    async def _attempt(
        self,
        state: _Service,
        address: str,
        request: str,
        attempt: int,
        call: services.ServiceRequest,
        timeout_s: float,
    ) -> Result:
        if self.session is None:
            self.session = services.session()
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

    def _address(
        self,
        state: _Service,
        service: kinds.Object,
        tried: frozenset[str],
        now: float,
        idempotent: bool,
    ) -> str | None:
        declared = service.spec.addresses
        found = state.addresses.choose(declared, tried, now)
        if found is None and idempotent:
            # With a single address, the same one is tried again.
            found = state.addresses.choose(declared, frozenset(), now)
        return found

    def _state(self, name: str) -> _Service:
        found = self.known.get(name)
        if found is None:
            if len(self.known) >= SERVICES_KEPT:
                self.known.pop(next(iter(self.known)))
            found = _Service(
                addresses.AddressBalancer(self.random),
                budget.RetryBudget(time.monotonic()),
            )
            self.known[name] = found
        return found
