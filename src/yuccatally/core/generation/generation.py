"""State machine that produces one answer over one or more attempts."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from yuccatally.core.generation import actions
from yuccatally.core.requests import outcomes
from yuccatally.core.stages import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_ATTEMPTS = 8


class State(enum.Enum):
    """Where a generation stands."""

    WAITING = "waiting for a route"
    RUNNING = "running"
    DONE = "done"


class Generation:
    """One answer; every layer is applied once for each token, in order.

    A step is never repeated within an attempt. When the fate of a step is
    uncertain, the attempt is abandoned and a new one starts with the prompt
    and the tokens that the caller already has.

    Attributes:
        job: What was asked.
        tokens: Token ids generated so far.
        attempt: Number of the current attempt, 0 before the first.
        handed_over: Whether any item was sent to an engine.
    """

    def __init__(self, job: actions.Job) -> None:
        self.job = job
        self.tokens: list[int] = []
        self.attempt = 0
        self.handed_over = False
        self.state = State.WAITING
        self.route: actions.Route | None = None
        self.stage = 0
        self.position = 0
        self.width = 0

    def start(self, route: actions.Route) -> tuple[actions.Action, ...]:
        """Starts an attempt with a prefill of the prompt and known tokens.

        Args:
            route: One engine for each stage; covers the model's layers.

        Returns:
            The first step.
        """
        self.attempt += 1
        self.route = route
        self.state = State.RUNNING
        self.position = 0
        values = [*self.job.prompt, *self.tokens]
        return (self._submit(0, values),)

    def on_sent(self, attempt: int) -> None:
        """Records that an item of an attempt left for an engine."""
        if attempt == self.attempt:
            self.handed_over = True

    def on_output(
        self, item: messages.StepItem, output: messages.StepOutput
    ) -> tuple[actions.Action, ...]:
        """Continues with the next stage or the next token.

        Args:
            item: The item that the engine was given.
            output: What the engine returned for it.

        Returns:
            Next step, a token for the caller, or the end of the answer.
        """
        if not self._is_current(item):
            return (actions.Dropped(self.job.request, "not the current step"),)
        if self.route is None:
            return ()
        if self.stage + 1 < len(self.route.hops):
            if len(output.values) != self.width:
                return self.on_failure(self.route.hops[self.stage].engine)
            return (self._submit(self.stage + 1, list(output.values)),)
        if len(output.values) != 1:
            return self.on_failure(self.route.hops[self.stage].engine)
        return self._on_token(output.values[0])

    def on_refusal(
        self, item: messages.StepItem, refusal: messages.StepRefusal
    ) -> tuple[actions.Action, ...]:
        """Abandons the attempt because an engine did not apply a step."""
        if not self._is_current(item) or self.route is None:
            return (actions.Dropped(self.job.request, refusal.reason),)
        return self.on_failure(self.route.hops[self.stage].engine)

    def on_failure(self, engine: str) -> tuple[actions.Action, ...]:
        """Abandons the attempt if it uses an engine that failed.

        Returns:
            Release of the other engines and a request for a new route, or the
            end of the request when the attempts are used up.
        """
        if self.state is not State.RUNNING or self.route is None:
            return ()
        if engine not in {h.engine for h in self.route.hops}:
            return ()
        released = tuple(self._releases(excluded=engine))
        self.state = State.WAITING
        self.route = None
        if self.attempt >= MAX_ATTEMPTS:
            refusal = self.refusal(
                outcomes.Reason.UPSTREAM_FAILED,
                f"gave up after {self.attempt} attempts",
            )
            return (*released, *self.abandon(refusal))
        excluded = frozenset([engine])
        return (*released, actions.NeedRoute(self.job.request, excluded))

    def abandon(self, refusal: outcomes.Refusal) -> tuple[actions.Action, ...]:
        """Ends the request without a whole answer."""
        if self.state is State.DONE:
            return ()
        released = tuple(self._releases(excluded=None))
        self.state = State.DONE
        self.route = None
        return (*released, actions.Failed(self.job.request, refusal))

    def refusal(
        self, reason: outcomes.Reason, message: str
    ) -> outcomes.Refusal:
        """Returns a refusal whose outcome is true at this point."""
        outcome = (
            outcomes.Outcome.UNKNOWN
            if self.handed_over
            else outcomes.Outcome.NOT_RUN
        )
        return outcomes.Refusal(outcome, reason, message, retry_after_s=1.0)

    def _on_token(self, token: int) -> tuple[actions.Action, ...]:
        self.position += self.width
        stopped = token == self.job.end_token
        emitted: tuple[actions.Action, ...] = ()
        if not stopped:
            self.tokens.append(token)
            emitted = (actions.EmitToken(self.job.request, token),)
        if stopped or len(self.tokens) >= self.job.max_tokens:
            return (*emitted, *self._finish(stopped))
        return (*emitted, self._submit(0, [token]))

    def _finish(self, stopped: bool) -> tuple[actions.Action, ...]:
        released = tuple(self._releases(excluded=None))
        self.state = State.DONE
        count = len(self.tokens)
        return (
            *released,
            actions.Finished(self.job.request, count, stopped),
        )

    def _submit(self, stage: int, values: list[int]) -> actions.SubmitStep:
        assert self.route is not None
        hop = self.route.hops[stage]
        self.stage = stage
        self.width = len(values)
        item = messages.StepItem(
            request=self.job.request,
            attempt=self.attempt,
            position=self.position,
            first_layer=hop.first_layer,
            last_layer=hop.last_layer,
            model=self.route.model,
            version=self.route.version,
            values=values,
            priority=self.job.priority,
            final=stage + 1 == len(self.route.hops),
        )
        return actions.SubmitStep(hop.engine, item)

    def _is_current(self, item: messages.StepItem) -> bool:
        if self.state is not State.RUNNING or self.route is None:
            return False
        hop = self.route.hops[self.stage]
        return (
            item.attempt == self.attempt
            and item.position == self.position
            and item.first_layer == hop.first_layer
            and item.last_layer == hop.last_layer
        )

    def _releases(
        self, excluded: str | None
    ) -> Iterator[actions.ReleaseAttempt]:
        if self.route is None:
            return
        for hop in self.route.hops:
            if hop.engine != excluded:
                yield actions.ReleaseAttempt(
                    hop.engine, self.job.request, self.attempt
                )
