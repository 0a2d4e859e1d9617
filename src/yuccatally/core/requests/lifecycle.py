"""The life of one request, from acceptance to exactly one outcome."""

from __future__ import annotations

import enum

from yuccatally.core.requests import outcomes


class LifecycleError(Exception):
    """A step that the state of the request does not allow."""


class Phase(enum.StrEnum):
    """How far a request has come.

    ``DELEGATED`` requests are run by a part that decides itself whether a
    refusal was not run, such as a generation over several engines.
    """

    ACCEPTED = "accepted"
    DELEGATED = "delegated"
    POSSIBLY_SENT = "handed-over"
    ENDED = "ended"


class RequestLifecycle:
    """State of one request.

    Attributes:
        request: Request id.
        accepted_at: Monotonic time of acceptance, in seconds.
        phase: How far the request has come.
        outcome: Outcome once ended.
    """

    def __init__(self, request: str, accepted_at: float) -> None:
        self.request = request
        self.accepted_at = accepted_at
        self.phase = Phase.ACCEPTED
        self.outcome: outcomes.Outcome | None = None
        self.open_attempts = 0

    def delegate(self) -> None:
        """Leaves it to another part to know whether the request ran."""
        self._require(Phase.ACCEPTED)
        self.phase = Phase.DELEGATED

    def begin_attempt(self) -> None:
        """Notes that an attempt may send bytes to an upstream from now on."""
        self._require(Phase.ACCEPTED, Phase.POSSIBLY_SENT)
        self.phase = Phase.POSSIBLY_SENT
        self.open_attempts += 1

    def cancel_attempt(self) -> None:
        """Notes that one attempt certainly sent no byte."""
        self._require(Phase.POSSIBLY_SENT)
        self.open_attempts -= 1
        if not self.open_attempts:
            self.phase = Phase.ACCEPTED

    def end(self, outcome: outcomes.Outcome) -> None:
        """Ends the request.

        Raises:
            LifeError: It has ended, or the outcome would not be true.
        """
        if self.phase is Phase.ENDED:
            raise LifecycleError(
                f"request {self.request} ended as {self.outcome} before"
            )
        if outcome is outcomes.Outcome.IN_FLIGHT:
            raise LifecycleError(f"request {self.request}: in-flight is no end")
        handed_over = self.phase is Phase.POSSIBLY_SENT
        if outcome is outcomes.Outcome.NOT_RUN and handed_over:
            raise LifecycleError(
                f"request {self.request} may have reached an upstream, so it "
                "cannot end as not-run"
            )
        self.phase, self.outcome = Phase.ENDED, outcome

    def unfinished_outcome(self) -> outcomes.Outcome:
        """Returns the outcome of a request that a fault ended."""
        if self.phase is Phase.ACCEPTED:
            return outcomes.Outcome.NOT_RUN
        return outcomes.Outcome.UNKNOWN

    def _require(self, *phases: Phase) -> None:
        if self.phase not in phases:
            raise LifecycleError(
                f"request {self.request} is {self.phase}, expected "
                + " or ".join(phases)
            )
