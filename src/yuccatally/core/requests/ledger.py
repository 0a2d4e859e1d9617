"""Accounting of requests by outcome."""

from __future__ import annotations

import dataclasses

from yuccatally.core.requests import lifecycle
from yuccatally.core.requests import outcomes


class LedgerError(Exception):
    """A request was accepted twice, or finished without being in flight."""


@dataclasses.dataclass(frozen=True)
class Totals:
    """Numbers of requests since the instance started."""

    accepted: int
    answered: int
    not_run: int
    unknown: int
    in_flight: int

    @property
    def balanced(self) -> bool:
        """Whether accepted = answered + not-run + unknown + in flight."""
        ended = self.answered + self.not_run + self.unknown
        return self.accepted == ended + self.in_flight


class Ledger:
    """Tracks every accepted request until it ends in exactly one outcome.

    Attributes:
        accepted: Number of accepted requests.
        ended: Number of ended requests by outcome.
        in_flight: Requests that have not ended, by id.
    """

    def __init__(self) -> None:
        self.accepted = 0
        self.ended = dict.fromkeys(
            (
                outcomes.Outcome.ANSWERED,
                outcomes.Outcome.NOT_RUN,
                outcomes.Outcome.UNKNOWN,
            ),
            0,
        )
        self.in_flight: dict[str, lifecycle.RequestLifecycle] = {}

    def accept(self, request: str, now: float) -> None:
        """Records that a request was accepted at a time in seconds.

        Raises:
            LedgerError: The id is in flight already.
        """
        if request in self.in_flight:
            raise LedgerError(f"request {request} was accepted twice")
        self.accepted += 1
        self.in_flight[request] = lifecycle.RequestLifecycle(request, now)

    def lifecycle_of(self, request: str) -> lifecycle.RequestLifecycle:
        """Returns the lifecycle of a request in flight.

        Raises:
            LedgerError: The request is not in flight.
        """
        current = self.in_flight.get(request)
        if current is None:
            raise LedgerError(f"request {request} is not in flight")
        return current

    def finish(
        self, request: str, outcome: outcomes.Outcome
    ) -> lifecycle.RequestLifecycle:
        """Records the outcome of a request and returns its lifecycle.

        Raises:
            LedgerError: The request is not in flight.
            lifecycle.LifecycleError: The outcome contradicts the state of
                the request.
        """
        ending = self.lifecycle_of(request)
        ending.end(outcome)
        del self.in_flight[request]
        self.ended[outcome] += 1
        return ending

    def totals(self) -> Totals:
        """Returns the current numbers."""
        return Totals(
            accepted=self.accepted,
            answered=self.ended[outcomes.Outcome.ANSWERED],
            not_run=self.ended[outcomes.Outcome.NOT_RUN],
            unknown=self.ended[outcomes.Outcome.UNKNOWN],
            in_flight=len(self.in_flight),
        )
