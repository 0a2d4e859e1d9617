"""Runs of one request at several engines, each read by its own task."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import TypeVar

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import pace
from yuccatally.core.forwarding import runs
from yuccatally.forwarding import upstream_responses

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Coroutine

    from yuccatally.core.forwarding import dispatch

T = TypeVar("T")


class RunError(Exception):
    """An unexpected error has ended the reading of a run."""


@dataclasses.dataclass(frozen=True)
class Events:
    """Complete events of a stream.

    Attributes:
        data: Their bytes.
        count: Their number.
        last_id: Id of the last one.
        status: Status of the response.
        headers: End-to-end headers of the response.
    """

    data: bytes
    count: int
    last_id: str
    status: int
    headers: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """The end of a whole stream.

    Attributes:
        rest: Bytes after the last event; empty in an event stream.
        status: Status of the response.
        headers: End-to-end headers of the response.
    """

    rest: bytes
    status: int
    headers: tuple[tuple[str, str], ...]


Outcome = (
    Events
    | StreamEnd
    | upstream_responses.CompleteResponse
    | upstream_responses.FailedAttempt
)


@dataclasses.dataclass(frozen=True)
class FailedRun:
    """A run that failed, or that is silent and stays open.

    Attributes:
        path: Its path.
        result: How it failed.
        event_count: Number of events that it gave.
    """

    path: dispatch.Path
    result: upstream_responses.FailedAttempt
    event_count: int = 0


class RunReader:
    """Reads the open runs of one request.

    Attributes:
        open: The open runs.
        tasks: Task that reads each run.
        outcomes: Outcomes not yet taken, at most one, so that no run is read
            ahead of the client.
        fetched: Outcome that was taken from the queue but not yet returned.
        timeout: Ends the wait for the next outcome.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        tokens: float,
        expected_s: float = float("inf"),
    ) -> None:
        """Creates a reader.

        Args:
            dispatcher: Records the work on each path.
            tokens: Expected memory use of a run, in tokens.
            expected_s: Time within which a run is expected to give its first
                event or its whole response, in seconds.
        """
        self.dispatcher = dispatcher
        self.tokens = tokens
        self.expected_s = expected_s
        self.open = runs.OpenRuns()
        self.tasks: dict[runs.Run, asyncio.Task[None]] = {}
        self.outcomes: asyncio.Queue[tuple[runs.Run, Outcome | Exception]] = (
            asyncio.Queue(maxsize=1)
        )
        self.fetched: collections.deque[
            tuple[runs.Run, Outcome | Exception]
        ] = collections.deque()
        self.timeout: asyncio.Timeout | None = None

    def start(
        self, run: runs.Run, outcomes: AsyncGenerator[Outcome, None]
    ) -> None:
        """Starts to read a run."""
        path = run.path
        now = time.monotonic()
        run.ticket = self.dispatcher.record_start(
            path.name, self.tokens, now, path.patience_s
        )
        run.expected_at = now + self.expected_s + path.patience_s
        self.open.add(run)
        self.tasks[run] = asyncio.create_task(self._read(run, outcomes))

    def close(self, run: runs.Run) -> None:
        """Ends a run; an exchange that is not complete is broken off."""
        self.open.remove(run)
        self.tasks.pop(run).cancel()
        now = time.monotonic()
        if now > run.expected_at:
            self._judge(run, pace.Late(), now)
        self.dispatcher.record_end(
            run.path.name, self.tokens, run.event_count > 0, run.ticket
        )

    def close_all(self) -> None:
        """Ends all runs."""
        for run in list(self.open.runs):
            self.close(run)

    async def next(self, until: float) -> tuple[runs.Run, Outcome]:
        """Returns the next outcome of any open run.

        Args:
            until: Monotonic time at which the wait ends, in seconds.

        Raises:
            TimeoutError: A run is silent for too long, or the time is over.
        """
        silence = self.open.next_silence()
        limit = until if silence is None else min(until, silence)
        try:
            async with asyncio.timeout(
                max(0.0, limit - time.monotonic())
            ) as self.timeout:
                while True:
                    if not self.fetched:
                        await self._fetch()
                    run, outcome = self.fetched.popleft()
                    if run in self.tasks:
                        break
        finally:
            self.timeout = None
        if isinstance(outcome, Exception):
            # A TimeoutError of the run would count as its silence.
            raise RunError(type(outcome).__name__) from outcome
        now = time.monotonic()
        answer = _answer_of(outcome, is_late=now > run.expected_at)
        if answer is not None:
            self._judge(run, answer, now)
        return run, outcome

    def move(self, run: runs.Run) -> None:
        """Tries another path beside a run."""
        run.is_moving = True
        self._wake()

    def withdraw(self, run: runs.Run, reason: str) -> None:
        """Lets a run fail at once.

        Args:
            run: An open run without an event.
            reason: Reason for the client and the log.
        """
        failure = upstream_responses.FailedAttempt(attempts.Withdrawn(reason))
        self.fetched.append((run, failure))
        self._wake()

    async def first_of(self, search: Coroutine[None, None, T]) -> T | None:
        """Awaits a search; returns None if an open run goes on before."""
        if not self.open.any_open:
            return await search
        tasks = asyncio.create_task(search), asyncio.create_task(self._peek())
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return None if tasks[1].done() else tasks[0].result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)

    def _judge(self, run: runs.Run, answer: pace.Outcome, now: float) -> None:
        """Records the answer of a run once, and a failure after it."""
        if run.is_judged and not isinstance(answer, pace.Failed):
            return
        run.is_judged = True
        self.dispatcher.record_answer(run.ticket, answer, now)

    def _wake(self) -> None:
        """Ends the wait for the next outcome."""
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())

    async def _peek(self) -> None:
        """Waits until an open run has an outcome."""
        while not any(run in self.tasks for run, _ in self.fetched):
            await self._fetch()

    async def _fetch(self) -> None:
        self.fetched.append(await self.outcomes.get())

    async def _read(
        self, run: runs.Run, outcomes: AsyncGenerator[Outcome, None]
    ) -> None:
        try:
            async with contextlib.aclosing(outcomes):
                async for outcome in outcomes:
                    await self.outcomes.put((run, outcome))
        except Exception as error:
            # Raised again, and logged, where the request is forwarded.
            await self.outcomes.put((run, error))


def _answer_of(outcome: Outcome, is_late: bool) -> pace.Outcome | None:
    """Returns what an outcome shows about the pace of its server."""
    match outcome:
        case upstream_responses.FailedAttempt(failure=failure):
            match failure:
                case attempts.Refused(status=429 | 503):
                    return pace.RefusedFull()
                case attempts.ErrorResponse():
                    return pace.ErrorStatus()
                case attempts.Withdrawn():
                    return None
                case _:
                    return pace.Failed()
        case _:
            return pace.Late() if is_late else pace.InTime()


def silent_run(run: runs.Run, reason: str) -> FailedRun:
    """Returns the failure of a run that has been silent for too long."""
    return FailedRun(
        run.path,
        upstream_responses.FailedAttempt(
            attempts.NoResponse(reason, timed_out=True)
        ),
        run.event_count,
    )
