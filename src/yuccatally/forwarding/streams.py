"""Streams of events from pipelines whose engines pass the work on."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import events
from yuccatally.forwarding import retrying
from yuccatally.forwarding import upstream_responses
from yuccatally.upstreams import exchange
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from yuccatally.forwarding import request_context
    from yuccatally.forwarding import state


# A stream without an event for this long goes on elsewhere. Clients leave
# after a pause of two seconds, and a new engine first reads the prompt again.
SILENCE_TIMEOUT_S = 0.9
# Longest wait for room on a pipeline, as a share of the objective. A refusal
# that comes later is worth less to a caller than one at once.
CAPACITY_WAIT_RATIO = 0.1
# Room comes with the end of an answer, some ten times a second.
CAPACITY_POLL_S = 0.02
# Pause before a stream goes on over the path that it broke off on; control
# repairs the path or finds it sound meanwhile.
SAME_PATH_DELAY_S = 0.2
# Longest pause in which a stream waits to go on; clients leave after 2 s.
RESUME_TIMEOUT_S = 1.5
# Longest failure of an engine that is passed on.
MAX_ERROR_BYTES = 1024 * 1024


@dataclasses.dataclass(eq=False)
class RunningAttempt:
    """A request that is under way on a path.

    Attributes:
        request: Id of the client's attempt.
        path: The path.
        service: Service of the path.
        may_move: Whether the request may be sent to another path.
        scope: Ends the attempt when it is rescheduled.
        answer: The answer, once its headers are there.
        begun: Whether an event has come.
        abandoned: Whether it was told to end.
    """

    request: str
    path: dispatch.Path
    service: str
    may_move: bool
    timeout: asyncio.Timeout | None = None
    answer: exchange.UpstreamResponse | None = None
    has_event: bool = False
    abandoned: bool = False


class StreamForwarder:
    """Forwards requests to pipelines and resumes streams that break off."""

    def __init__(
        self,
        instance_state: state.InstanceState,
        client: exchange.UpstreamClient,
        on_failure: retrying.OnFailure,
    ) -> None:
        """Creates a forwarder.

        Args:
            instance_state: Shared state.
            client: Client of the engines.
            on_failure: Called when an attempt has failed.
        """
        self.state = instance_state
        self.client = client
        self.on_failure = on_failure
        self.running: set[RunningAttempt] = set()

    async def run(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
    ) -> None:
        """Forwards a request until its stream is whole or must end."""
        progress = attempts.AttemptCounter()
        try:
            async with asyncio.timeout(context.remaining_s()):
                await self._forward(context, writer, progress)
        except TimeoutError:
            step = attempts.refuse_or_give_up(progress)
            if progress.run_count:
                step = attempts.GiveUp(504)
            await upstream_responses.end_request(writer, step, "deadline")

    def abandon(self, path: str) -> int:
        """Ends attempts on a path, so that they go on elsewhere.

        Those that could not go on, because of their route or of the retry
        budget, stay: the path may move again.

        Returns:
            Number of attempts that were ended.
        """
        now = asyncio.get_running_loop().time()
        found = [
            a
            for a in self.running
            if a.path.name == path
            and a.timeout
            and a.may_move
            and not a.abandoned
        ]
        if found:
            budget = self.state.retry_budget(found[0].service)
            left = budget.remaining(time.monotonic(), self.state.instance_count)
            found = found[:left]
        for attempt in found:
            attempt.abandoned = True
            attempt.timeout.reschedule(now)
        return len(found)

    def attempts_on_path(self, path: str) -> dict[str, RunningAttempt]:
        """Returns the attempts that stay on a path, by request."""
        return {
            a.request: a
            for a in self.running
            if a.path.name == path and not a.abandoned
        }

    async def _forward(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
        progress: attempts.AttemptCounter,
    ) -> None:
        splitter = events.EventSplitter(context.request.last_event_id)

        async def attempt(
            path: dispatch.Path,
        ) -> upstream_responses.FailedAttempt | None:
            splitter.restart()
            result = await self._attempt(
                context, writer, path, splitter, progress
            )
            writer.event_count = splitter.events
            return result

        await retrying.forward(
            self.state,
            context,
            writer,
            progress,
            lambda tried: self._wait_for_path(context, writer, progress, tried),
            attempt,
            self.on_failure,
        )

    async def _wait_for_path(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
        progress: attempts.AttemptCounter,
        tried: frozenset[str],
    ) -> dispatch.Path | dispatch.Full | dispatch.Nothing:
        """Chooses a path; waits a while if there is none with room.

        A request that has not run waits a short time and is then better
        refused, so that its client can plan. One that has run waits as long
        as its client does, and may go over a path that it has tried.
        """
        started_at = time.monotonic()
        until = started_at + CAPACITY_WAIT_RATIO * context.route.objective_s
        if progress.run_count:
            until = (
                writer.last_write_at or context.received_at
            ) + RESUME_TIMEOUT_S
        while True:
            now = time.monotonic()
            found = retrying.choose(self.state, context, tried)
            if isinstance(found, dispatch.Path) or now >= until:
                return found
            if progress.run_count and now - started_at >= SAME_PATH_DELAY_S:
                tried = frozenset()
            await asyncio.sleep(CAPACITY_POLL_S)

    async def _attempt(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
        path: dispatch.Path,
        splitter: events.EventSplitter,
        progress: attempts.AttemptCounter,
    ) -> upstream_responses.FailedAttempt | None:
        """Returns None once the stream is whole, else what went wrong.

        The attempt is counted in ``progress`` already.
        """
        tokens = retrying.memory_tokens(context)
        self.state.dispatcher.record_start(path.name, tokens, time.monotonic())
        route = context.route
        attempt = RunningAttempt(
            context.request.id,
            path,
            context.service.name,
            route.repeat.may_run_again
            and progress.run_count < route.max_attempts,
        )
        try:
            async with asyncio.timeout(None) as attempt.timeout:
                self.running.add(attempt)
                return await self._send(context, writer, attempt, splitter)
        except TimeoutError:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse("path stalled", True)
            )
        finally:
            self.running.discard(attempt)
            if attempt.answer is not None:
                attempt.answer.close()
            self.state.dispatcher.record_end(
                path.name, tokens, attempt.has_event
            )

    async def _send(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
        attempt: RunningAttempt,
        splitter: events.EventSplitter,
    ) -> upstream_responses.FailedAttempt | None:
        try:
            answer = await self.client.open(
                self._exchange(context, attempt, splitter)
            )
            attempt.answer = answer
            unusable = upstream_responses.check_headers(context, answer)
            if unusable is not None:
                return unusable
            if answer.status >= 300:
                body = await answer.body(MAX_ERROR_BYTES)
                whole = upstream_responses.CompleteResponse(
                    answer.status, answer.headers, body
                )
                return upstream_responses.FailedAttempt(
                    attempts.ErrorResponse(answer.status), whole
                )
            await self._relay(answer, writer, attempt, splitter)
        except services.NotSentError as error:
            return upstream_responses.FailedAttempt(
                attempts.NotSent(str(error))
            )
        except exchange.NoResponseError as error:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse(str(error), error.timed_out)
            )
        except events.EventTooLongError as error:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse(str(error))
            )
        return None

    async def _relay(
        self,
        answer: exchange.UpstreamResponse,
        writer: request_context.ResponseWriter,
        attempt: RunningAttempt,
        splitter: events.EventSplitter,
    ) -> None:
        name = attempt.path.name
        async for chunk in answer.chunks():
            self.state.dispatcher.record_event(name, time.monotonic())
            if not attempt.has_event:
                attempt.has_event = True
                self.state.dispatcher.record_first_event(name)
            whole = splitter.feed(chunk)
            if not whole:
                continue
            if not writer.started:
                # Until the first event is there, another engine can take over
                # with its own headers.
                await writer.send_headers(answer.status, answer.headers)
            await writer.write(whole)
        if not writer.started:
            await writer.send_headers(answer.status, answer.headers)
        await writer.end(splitter.pending)

    def _exchange(
        self,
        context: request_context.RequestContext,
        attempt: RunningAttempt,
        splitter: events.EventSplitter,
    ) -> exchange.UpstreamRequest:
        return exchange.UpstreamRequest(
            method=context.method,
            address=attempt.path.hops[0].address,
            target=context.target,
            headers=context.upstream_headers(splitter.last_id, attempt.path),
            body=context.body,
            # An answer that cannot go on elsewhere may still move here.
            read_timeout_s=SILENCE_TIMEOUT_S
            if attempt.may_move
            else context.remaining_s(),
            new_connection=not context.route.repeat.may_run_again,
        )
