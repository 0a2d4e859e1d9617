"""State machine that produces one answer over one or more attempts."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from yuccatally.core.generation import actions
from yuccatally.core.generation import attempt as attempt_module
from yuccatally.core.generation import resume
from yuccatally.core.requests import outcomes

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from yuccatally.core.stages import messages

# Consecutive attempts without a token. A token resets the count, so a long
# answer survives any number of separate faults.
MAX_ATTEMPTS_WITHOUT_TOKEN = 12
RETRY_FIRST_DELAY_S = 0.02
RETRY_MAX_DELAY_S = 1.0
# Number of unconsumed tokens at which a generation pauses.
WINDOW_TOKENS = 32


class State(enum.Enum):
    """State of a generation."""

    WAITING = "waiting for a route"
    RUNNING = "running"
    DONE = "done"


class Generation:
    """One answer; every layer is applied once for each token, in order.

    A step is never repeated within an attempt. When it is uncertain whether a
    step was applied, the attempt is abandoned and a new one starts with the
    prompt and the tokens that the caller already has.

    Attributes:
        job: Request of the caller.
        tokens: Token ids generated so far.
        attempt: Number of the current attempt, 0 before the first.
        item_sent: Whether any item was sent to an engine.
        last_path: Path of the latest attempt.
        reusable: KV state of the previous attempt that can be reused.
        attempts_without_token: Consecutive attempts that produced no token.
        unconsumed_count: Number of emitted tokens that the caller has not
            consumed.
        paused: Whether the next step waits until the caller consumes tokens.
    """

    def __init__(
        self, job: actions.Job, window_tokens: int = WINDOW_TOKENS
    ) -> None:
        self.job = job
        self.window_tokens = window_tokens
        self.tokens: list[int] = []
        self.attempt = 0
        self.item_sent = False
        self.state = State.WAITING
        self.current: attempt_module.Attempt | None = None
        self.last_path: actions.Path | None = None
        self.reusable: resume.ReusableState | None = None
        self.attempts_without_token = 0
        self.unconsumed_count = 0
        self.paused = False

    @property
    def known_tokens(self) -> list[int]:
        """Prompt and tokens so far, which a new attempt must prefill."""
        return [*self.job.prompt, *self.tokens]

    def prefer_previous_engines(
        self, path: actions.Path, usable: Collection[str]
    ) -> actions.Path:
        """Returns the path with the usable engines of the previous attempt."""
        return resume.prefer_previous_engines(path, self.last_path, usable)

    def start(self, path: actions.Path) -> tuple[actions.Action, ...]:
        """Starts an attempt with a prefill of the prompt and tokens so far.

        Args:
            path: One engine for each stage; covers the layers of the model.

        Returns:
            Releases of KV state that is not reused, imports of the rest, and
            the first step.
        """
        self.attempt += 1
        self.attempts_without_token += 1
        self.state = State.RUNNING
        imports = resume.plan_imports(
            self.reusable, self.job.request, self.attempt, path
        )
        sources = {i.source for i in imports}
        released = tuple(self._release_reusable(excluded=sources))
        position_by_engine = {i.target: i.position for i in imports}
        starts = [position_by_engine.get(hop.engine, 0) for hop in path.hops]
        self.last_path = path
        self.current = attempt_module.Attempt(
            self.job, self.attempt, path, self.known_tokens, starts
        )
        return (*released, *imports, *self.current.start())

    def on_sent(self, attempt: int) -> None:
        """Records that an item of an attempt was sent to an engine."""
        if attempt <= self.attempt:
            self.item_sent = True

    def on_output(
        self, item: messages.StepItem, output: messages.StepOutput
    ) -> tuple[actions.Action, ...]:
        """Continues with the next stage, chunk or token.

        Args:
            item: Item that was sent to the engine.
            output: Output of the engine for it.

        Returns:
            Next steps, a token for the caller, or the end of the answer.
        """
        stage = self.stage_of(item)
        if stage is None or self.current is None:
            return (
                actions.ResultDropped(self.job.request, "not the current step"),
            )
        try:
            steps, token = self.current.on_output(stage, output)
        except attempt_module.MalformedOutputError as error:
            return self.on_failure(str(error))
        return steps if token is None else (*steps, *self._on_token(token))

    def on_refusal(
        self, item: messages.StepItem, refusal: messages.StepRefusal
    ) -> tuple[actions.Action, ...]:
        """Abandons the attempt because an engine did not apply a step."""
        stage = self.stage_of(item)
        if stage is None or self.current is None:
            return (actions.ResultDropped(self.job.request, refusal.reason),)
        return self.on_failure(self.current.stages[stage].hop.engine)

    def on_imported(
        self, action: actions.ImportState, succeeded: bool
    ) -> tuple[actions.Action, ...]:
        """Continues after an import of KV state, or abandons the attempt.

        Returns:
            Release of the source, and the steps that waited for the import. A
            failed import ends the attempt; the next one prefills every stage.
        """
        release = actions.ReleaseAttempt(
            action.source, action.request, action.source_attempt
        )
        if self.current is None or action.attempt != self.attempt:
            # The import may have taken effect after the attempt's release.
            stray = actions.ReleaseAttempt(
                action.target, action.request, action.attempt
            )
            return (release, stray)
        if succeeded:
            return (release, *self.current.resume_after_import(action.target))
        return (release, *self._abandon_attempt(frozenset(), None))

    def on_failure(self, engine: str) -> tuple[actions.Action, ...]:
        """Abandons the attempt if it uses an engine that failed.

        Returns:
            Releases, and a request for a new path or, after too many attempts,
            the end of the request. The failed engine is sent a release too,
            since it may be up and hold state.
        """
        if self.state is State.WAITING:
            return tuple(self._release_up_to(engine))
        if self.state is not State.RUNNING or self.current is None:
            return ()
        if engine not in {hop.engine for hop in self.current.path.hops}:
            return ()
        reusable = resume.find_reusable(self.current, engine)
        return self._abandon_attempt(frozenset([engine]), reusable)

    def on_consumed(self, count: int = 1) -> tuple[actions.Action, ...]:
        """Records consumed tokens and resumes a paused generation if due."""
        self.unconsumed_count -= count
        if not self.paused or self.unconsumed_count > self.window_tokens // 2:
            return ()
        self.paused = False
        if self.state is State.DONE:
            return ()
        if self.current is None:
            return (actions.NeedPath(self.job.request, frozenset()),)
        return self.current.append_token(self.tokens[-1])

    def stage_of(self, item: messages.StepItem) -> int | None:
        """Returns the stage that waits for the result of an item, if any."""
        if self.state is not State.RUNNING or self.current is None:
            return None
        return self.current.stage_of(item)

    def abandon(self, refusal: outcomes.Refusal) -> tuple[actions.Action, ...]:
        """Ends the request without a complete answer."""
        if self.state is State.DONE:
            return ()
        return (
            *self._end(),
            actions.Failed(self.job.request, refusal),
        )

    def refusal(
        self, reason: outcomes.Reason, message: str
    ) -> outcomes.Refusal:
        """Returns a refusal with the outcome that holds at this point."""
        outcome = (
            outcomes.Outcome.UNKNOWN
            if self.item_sent
            else outcomes.Outcome.NOT_RUN
        )
        return outcomes.Refusal(outcome, reason, message, retry_after_s=1.0)

    def _on_token(self, token: int) -> tuple[actions.Action, ...]:
        assert self.current is not None
        self.attempts_without_token = 0
        if token == self.job.end_token:
            return self._finish(stopped=True)
        self.tokens.append(token)
        self.unconsumed_count += 1
        emitted = actions.EmitToken(self.job.request, token)
        if len(self.tokens) >= self.job.max_tokens:
            return (emitted, *self._finish(stopped=False))
        if self.unconsumed_count >= self.window_tokens:
            self.paused = True
            return (emitted,)
        return (emitted, *self.current.append_token(token))

    def _finish(self, stopped: bool) -> tuple[actions.Action, ...]:
        finished = actions.Finished(self.job.request, len(self.tokens), stopped)
        return (*self._end(), finished)

    def _end(self) -> tuple[actions.Action, ...]:
        released = (
            *self._release_current(frozenset()),
            *self._release_reusable(set()),
        )
        self.state = State.DONE
        self.current = None
        return released

    def _abandon_attempt(
        self, failed: frozenset[str], reusable: resume.ReusableState | None
    ) -> tuple[actions.Action, ...]:
        spared_engines = (
            {hop.engine for hop in reusable.hops} if reusable else set()
        )
        released = (
            *self._release_current(spared_engines),
            *self._release_reusable(set()),
        )
        self.reusable = reusable
        self.state = State.WAITING
        self.current = None
        if self.attempts_without_token >= MAX_ATTEMPTS_WITHOUT_TOKEN:
            refusal = self.refusal(
                outcomes.Reason.UPSTREAM_FAILED,
                f"gave up after {self.attempts_without_token} attempts without "
                "a token; ask again later",
            )
            return (*released, *self.abandon(refusal))
        if self.paused:
            # The caller does not consume tokens now, so recovery can wait too.
            return released
        delay_s = _delay_s(self.attempts_without_token)
        need = actions.NeedPath(self.job.request, failed, delay_s)
        return (*released, need)

    def _release_up_to(self, engine: str) -> Iterator[actions.ReleaseAttempt]:
        """Releases the reusable state up to a failed engine, keeps the rest."""
        reusable = self.reusable
        engines = [hop.engine for hop in reusable.hops] if reusable else []
        if reusable is None or engine not in engines:
            return
        failed_index = engines.index(engine)
        remaining = reusable.hops[failed_index + 1 :]
        self.reusable = (
            dataclasses.replace(reusable, hops=remaining) if remaining else None
        )
        for hop in reusable.hops[: failed_index + 1]:
            yield actions.ReleaseAttempt(
                hop.engine, self.job.request, reusable.attempt
            )

    def _release_current(
        self, excluded: frozenset[str] | set[str]
    ) -> Iterator[actions.ReleaseAttempt]:
        if self.current is None:
            return
        for hop in self.current.path.hops:
            if hop.engine not in excluded:
                yield actions.ReleaseAttempt(
                    hop.engine, self.job.request, self.current.number
                )

    def _release_reusable(
        self, excluded: set[str]
    ) -> Iterator[actions.ReleaseAttempt]:
        reusable, self.reusable = self.reusable, None
        for hop in reusable.hops if reusable else ():
            if hop.engine not in excluded:
                yield actions.ReleaseAttempt(
                    hop.engine, self.job.request, reusable.attempt
                )


def _delay_s(attempts_without_token: int) -> float:
    """Returns no delay after the first failure, then a growing one."""
    if attempts_without_token <= 1:
        return 0.0
    delay_s = RETRY_FIRST_DELAY_S * 2.0 ** (attempts_without_token - 2)
    return min(delay_s, RETRY_MAX_DELAY_S)
