"""Lifecycle of a request, from acceptance to exactly one outcome."""

from __future__ import annotations

import enum

from yuccatally.core.requests import outcomes


class LifecycleError(Exception):
    """A transition that the state of the request does not allow."""


class Phase(enum.StrEnum):
    """Phase of a request.

    ``DELEGATED`` requests are run by another component, such as a generation
    over several engines, which decides itself whether a refused request ran.
    After ``POSSIBLY_SENT``, an attempt may have sent bytes to an upstream.
    """

    ACCEPTED = "accepted"
    DELEGATED = "delegated"
    POSSIBLY_SENT = "handed-over"
    ENDED = "ended"


class RequestLifecycle:
    """Lifecycle of one request.

    Attributes:
        request: Request id.
        accepted_at: Monotonic time of acceptance, in seconds.
        phase: Phase of the request.
        outcome: Outcome once the request has ended.
        open_attempts: Attempts that may have sent bytes to an upstream.
    """

    def __init__(self, request: str, accepted_at: float) -> None:
        self.request = request
        self.accepted_at = accepted_at
        self.phase = Phase.ACCEPTED
        self.outcome: outcomes.Outcome | None = None
        self.open_attempts = 0

    def delegate(self) -> None:
        """Lets another component decide whether the request ran."""
        self._require(Phase.ACCEPTED)
        self.phase = Phase.DELEGATED

    def begin_attempt(self) -> None:
        """Records that an attempt may send bytes to an upstream from now on."""
        self._require(Phase.ACCEPTED, Phase.POSSIBLY_SENT)
        self.phase = Phase.POSSIBLY_SENT
        self.open_attempts += 1

    def cancel_attempt(self) -> None:
        """Records that one attempt certainly sent no bytes."""
        self._require(Phase.POSSIBLY_SENT)
        self.open_attempts -= 1
        if not self.open_attempts:
            self.phase = Phase.ACCEPTED

    def end(self, outcome: outcomes.Outcome) -> None:
        """Ends the request.

        Raises:
            LifecycleError: The request has ended already, or the outcome
                contradicts its phase.
        """
        if self.phase is Phase.ENDED:
            raise LifecycleError(
                f"request {self.request} has ended as {self.outcome} already"
            )
        if outcome is outcomes.Outcome.IN_FLIGHT:
            raise LifecycleError(
                f"request {self.request} cannot end as in-flight"
            )
        possibly_sent = self.phase is Phase.POSSIBLY_SENT
        if outcome is outcomes.Outcome.NOT_RUN and possibly_sent:
            raise LifecycleError(
                f"request {self.request} may have reached an upstream, so it "
                "cannot end as not-run"
            )
        self.phase, self.outcome = Phase.ENDED, outcome

    def unfinished_outcome(self) -> outcomes.Outcome:
        """Returns the outcome of a request that an internal error ends."""
        if self.phase is Phase.ACCEPTED:
            return outcomes.Outcome.NOT_RUN
        return outcomes.Outcome.UNKNOWN

    def _require(self, *phases: Phase) -> None:
        if self.phase not in phases:
            raise LifecycleError(
                f"request {self.request} is {self.phase}, expected "
                + " or ".join(phases)
            )
