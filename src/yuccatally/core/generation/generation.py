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

# Attempts in a row that give no token; a token starts the count anew, so a
# long answer survives any number of separate faults.
MAX_ATTEMPTS_WITHOUT_TOKEN = 12
FRUITLESS_FIRST_DELAY_S = 0.02
FRUITLESS_LAST_DELAY_S = 1.0
# Tokens that a caller has not taken yet before its generation pauses.
WINDOW_TOKENS = 32


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
        last_route: Route of the latest attempt.
        unread: Tokens emitted that the caller has not taken.
        paused: Whether the next step waits until the caller reads on.
    """

    def __init__(self, job: actions.Job, window: int = WINDOW_TOKENS) -> None:
        self.job = job
        self.window = window
        self.tokens: list[int] = []
        self.attempt = 0
        self.handed_over = False
        self.state = State.WAITING
        self.current: attempt_module.Attempt | None = None
        self.last_path: actions.Path | None = None
        self.kept: resume.ReusableState | None = None
        self.attempts_without_token = 0
        self.unread = 0
        self.paused = False

    @property
    def known_tokens(self) -> list[int]:
        """Prompt and tokens so far: what a new attempt has to prefill."""
        return [*self.job.prompt, *self.tokens]

    def prefer_previous_engines(
        self, path: actions.Path, usable: Collection[str]
    ) -> actions.Path:
        """Returns the route with the engines of the attempt before it."""
        return resume.prefer_previous_engines(path, self.last_path, usable)

    def start(self, path: actions.Path) -> tuple[actions.Action, ...]:
        """Starts an attempt with a prefill of the prompt and known tokens.

        Args:
            path: One engine for each stage; covers the model's layers.

        Returns:
            Imports of kept KV state, releases of what is not used, and the
            first step.
        """
        self.attempt += 1
        self.attempts_without_token += 1
        self.state = State.RUNNING
        imports = resume.plan_imports(
            self.kept, self.job.request, self.attempt, path
        )
        sources = {i.source for i in imports}
        released = tuple(self._release_kept(excluded=sources))
        at = {i.target: i.position for i in imports}
        starts = [at.get(h.engine, 0) for h in path.hops]
        self.last_path = path
        self.current = attempt_module.Attempt(
            self.job, self.attempt, path, self.known_tokens, starts
        )
        return (*released, *imports, *self.current.begin())

    def on_sent(self, attempt: int) -> None:
        """Records that an item of an attempt left for an engine."""
        if attempt <= self.attempt:
            self.handed_over = True

    def on_output(
        self, item: messages.StepItem, output: messages.StepOutput
    ) -> tuple[actions.Action, ...]:
        """Continues with the next stage, chunk or token.

        Args:
            item: The item that the engine was given.
            output: What the engine returned for it.

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
        return self.on_failure(self.current.lanes[stage].hop.engine)

    def on_imported(
        self, wanted: actions.ImportState, succeeded: bool
    ) -> tuple[actions.Action, ...]:
        """Goes on after an import of KV state, or without it.

        Returns:
            Release of the source, and the steps that waited. A failed import
            ends the attempt; the next one prefills every stage.
        """
        release = actions.ReleaseAttempt(
            wanted.source, wanted.request, wanted.source_attempt
        )
        if self.current is None or wanted.attempt != self.attempt:
            # The import may have taken effect after the attempt's release.
            stray = actions.ReleaseAttempt(
                wanted.target, wanted.request, wanted.attempt
            )
            return (release, stray)
        if succeeded:
            return (release, *self.current.on_imported(wanted.target))
        return (release, *self._abandon_attempt(frozenset(), None))

    def on_failure(self, engine: str) -> tuple[actions.Action, ...]:
        """Abandons the attempt if it uses an engine that failed.

        Returns:
            Releases, a request for a new route, or the end of the request
            when the attempts are used up. The failed engine gets a release as
            well, since it may be up and hold state.
        """
        if self.state is State.WAITING:
            return tuple(self._drop_kept_on(engine))
        if self.state is not State.RUNNING or self.current is None:
            return ()
        if engine not in {h.engine for h in self.current.path.hops}:
            return ()
        kept = resume.find_reusable(self.current, engine)
        return self._abandon_attempt(frozenset([engine]), kept)

    def on_consumed(self, count: int = 1) -> tuple[actions.Action, ...]:
        """Records that the caller took tokens; a paused one may go on."""
        self.unread -= count
        if not self.paused or self.unread > self.window // 2:
            return ()
        self.paused = False
        if self.state is State.DONE:
            return ()
        if self.current is None:
            return (actions.NeedPath(self.job.request, frozenset()),)
        return self.current.feed(self.tokens[-1])

    def stage_of(self, item: messages.StepItem) -> int | None:
        """Returns the stage that waits for an item's result, if one does."""
        if self.state is not State.RUNNING or self.current is None:
            return None
        return self.current.stage_of(item)

    def abandon(self, refusal: outcomes.Refusal) -> tuple[actions.Action, ...]:
        """Ends the request without a whole answer."""
        if self.state is State.DONE:
            return ()
        return (
            *self._end(),
            actions.Failed(self.job.request, refusal),
        )

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
        assert self.current is not None
        self.attempts_without_token = 0
        if token == self.job.end_token:
            return self._finish(stopped=True)
        self.tokens.append(token)
        self.unread += 1
        emitted = actions.EmitToken(self.job.request, token)
        if len(self.tokens) >= self.job.max_tokens:
            return (emitted, *self._finish(stopped=False))
        if self.unread >= self.window:
            self.paused = True
            return (emitted,)
        return (emitted, *self.current.feed(token))

    def _finish(self, stopped: bool) -> tuple[actions.Action, ...]:
        finished = actions.Finished(self.job.request, len(self.tokens), stopped)
        return (*self._end(), finished)

    def _end(self) -> tuple[actions.Action, ...]:
        released = (*self._releases(frozenset()), *self._release_kept(set()))
        self.state = State.DONE
        self.current = None
        return released

    def _abandon_attempt(
        self, failed: frozenset[str], kept: resume.ReusableState | None
    ) -> tuple[actions.Action, ...]:
        spared = {h.engine for h in kept.hops} if kept else set()
        released = (
            *self._releases(spared),
            *self._release_kept(set()),
        )
        self.kept = kept
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
            # Nobody waits for the next token; recovery can wait as well.
            return released
        delay_s = _delay_s(self.attempts_without_token)
        need = actions.NeedPath(self.job.request, failed, delay_s)
        return (*released, need)

    def _drop_kept_on(self, engine: str) -> Iterator[actions.ReleaseAttempt]:
        """Keeps only the stages behind a lost one and releases the others."""
        kept = self.kept
        engines = [h.engine for h in kept.hops] if kept else []
        if kept is None or engine not in engines:
            return
        lost = engines.index(engine)
        rest = kept.hops[lost + 1 :]
        self.kept = dataclasses.replace(kept, hops=rest) if rest else None
        for hop in kept.hops[: lost + 1]:
            yield actions.ReleaseAttempt(
                hop.engine, self.job.request, kept.attempt
            )

    def _releases(
        self, excluded: frozenset[str] | set[str]
    ) -> Iterator[actions.ReleaseAttempt]:
        if self.current is None:
            return
        for hop in self.current.path.hops:
            if hop.engine not in excluded:
                yield actions.ReleaseAttempt(
                    hop.engine, self.job.request, self.current.number
                )

    def _release_kept(
        self, excluded: set[str]
    ) -> Iterator[actions.ReleaseAttempt]:
        kept, self.kept = self.kept, None
        for hop in kept.hops if kept else ():
            if hop.engine not in excluded:
                yield actions.ReleaseAttempt(
                    hop.engine, self.job.request, kept.attempt
                )


def _delay_s(attempts_without_token: int) -> float:
    """Returns no delay after the first failure, then a growing one."""
    if attempts_without_token <= 1:
        return 0.0
    grown = FRUITLESS_FIRST_DELAY_S * 2.0 ** (attempts_without_token - 2)
    return min(grown, FRUITLESS_LAST_DELAY_S)
