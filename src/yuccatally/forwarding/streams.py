"""Forwarding of event streams, which resume on another path after a failure."""

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
    from collections.abc import AsyncIterator

    from yuccatally.forwarding import rate_limiting
    from yuccatally.forwarding import request_context
    from yuccatally.forwarding import state


# A stream without an event for this long is resumed on another path. Clients
# disconnect after a pause of two seconds, and a new engine first prefills the
# prompt again.
SILENCE_TIMEOUT_S = 0.9
# Longest wait for capacity on a pipeline, as a ratio of the latency objective.
# A late refusal is of less use to a caller than an immediate one.
CAPACITY_WAIT_RATIO = 0.1
# Capacity becomes free when a response ends, about ten times a second.
CAPACITY_POLL_S = 0.02
# Delay before a stream resumes on the path on which it failed. The leader
# repairs the path or confirms that it works meanwhile.
SAME_PATH_DELAY_S = 0.2
# Longest pause in which a stream waits to resume; clients disconnect after 2 s.
RESUME_TIMEOUT_S = 1.5
# Largest error response of an engine that is passed on.
MAX_ERROR_BYTES = 1024 * 1024


@dataclasses.dataclass(eq=False)
class RunningAttempt:
    """An attempt that is under way on a path.

    Attributes:
        request: Id of the client's attempt.
        path: The path.
        service: Service of the path.
        may_move: Whether the request may be sent again on another path.
        marks: Its marks, see ``RequestContext``.
        timeout: Ends the attempt when it is rescheduled.
        response: The response, once its headers have arrived.
        has_event: Whether an event has arrived.
        abandoned: Whether the attempt was ended to resume on another path.
    """

    request: str
    path: dispatch.Path
    service: str
    may_move: bool
    marks: tuple[str, ...] = ()
    timeout: asyncio.Timeout | None = None
    response: exchange.UpstreamResponse | None = None
    has_event: bool = False
    abandoned: bool = False


class StreamForwarder:
    """Forwards requests to pipelines and resumes interrupted streams."""

    def __init__(
        self,
        instance_state: state.InstanceState,
        client: exchange.UpstreamClient,
        on_failure: retrying.OnFailure,
        rate_limiter: rate_limiting.RateLimiter,
    ) -> None:
        """Creates a forwarder.

        Args:
            instance_state: Shared state.
            client: HTTP client for the upstreams.
            on_failure: Called when an attempt has failed.
            rate_limiter: Reserves turns at upstreams that limit their rate.
        """
        self.state = instance_state
        self.client = client
        self.on_failure = on_failure
        self.rate_limiter = rate_limiter
        self.running: set[RunningAttempt] = set()

    async def run(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
    ) -> None:
        """Forwards a request until its stream is complete or must end."""
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
        """Ends attempts on a path, so that they resume on another one.

        Attempts that could not resume, because of their route or the retry
        budget, stay on the path, since it may recover.

        Returns:
            Number of attempts that were ended.
        """
        now = asyncio.get_running_loop().time()
        movable = [
            a
            for a in self.running
            if a.path.name == path
            and a.timeout
            and a.may_move
            and not a.abandoned
        ]
        if movable:
            budget = self.state.retry_budget(movable[0].service)
            remaining = budget.remaining(
                time.monotonic(), self.state.instance_count
            )
            movable = movable[:remaining]
        for attempt in movable:
            attempt.abandoned = True
            attempt.timeout.reschedule(now)
        return len(movable)

    def attempts_on_path(self, path: str) -> dict[str, RunningAttempt]:
        """Returns the attempts on a path that are not abandoned, by request."""
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
            self.rate_limiter,
        )

    async def _wait_for_path(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
        progress: attempts.AttemptCounter,
        tried: frozenset[str],
    ) -> dispatch.Path | dispatch.Full | dispatch.Nothing:
        """Chooses a path and waits if no path has capacity.

        A request that has not run waits only briefly, since its client can act
        on an early refusal. A request that has run waits until its client would
        disconnect and may return to a path that it has tried.
        """
        started_at = time.monotonic()
        until = started_at + CAPACITY_WAIT_RATIO * context.route.objective_s
        if progress.run_count:
            until = (
                writer.last_write_at or context.received_at
            ) + RESUME_TIMEOUT_S
        while True:
            now = time.monotonic()
            choice = retrying.choose(self.state, context, tried)
            if isinstance(choice, dispatch.Path) or now >= until:
                return choice
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
        """Sends the request over a path; returns None or the failure.

        ``progress`` already includes this attempt.
        """
        tokens = retrying.memory_tokens(context)
        self.state.dispatcher.record_start(
            path.name, tokens, time.monotonic(), path.patience_s
        )
        route = context.route
        attempt = RunningAttempt(
            context.request.id,
            path,
            context.service.name,
            route.repeat.may_run_again
            and progress.run_count < route.max_attempts,
            context.marks,
        )
        try:
            async with asyncio.timeout(None) as attempt.timeout:
                self.running.add(attempt)
                return await self._send(
                    context, writer, attempt, splitter, progress.is_retry
                )
        except TimeoutError:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse("path stalled", True)
            )
        finally:
            self.running.discard(attempt)
            if attempt.response is not None:
                attempt.response.close()
            self.state.dispatcher.record_end(
                path.name, tokens, attempt.has_event
            )

    async def _send(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
        attempt: RunningAttempt,
        splitter: events.EventSplitter,
        is_retry: bool,
    ) -> upstream_responses.FailedAttempt | None:
        try:
            timeout_s = _event_timeout_s(context, attempt)
            response = await self.client.open(
                self._exchange(context, attempt, splitter, timeout_s, is_retry)
            )
            attempt.response = response
            failed = upstream_responses.check_headers(context, response)
            if failed is not None:
                return failed
            if response.status >= 300:
                body = await response.body(MAX_ERROR_BYTES)
                error_response = upstream_responses.CompleteResponse(
                    response.status, response.headers, body
                )
                return upstream_responses.FailedAttempt(
                    attempts.ErrorResponse(response.status), error_response
                )
            splitter.checked = _is_event_stream(response)
            if writer.started and not splitter.checked:
                return upstream_responses.FailedAttempt(
                    attempts.NoResponse("the response is no event stream")
                )
            await self._relay(
                response,
                writer,
                attempt,
                splitter,
                timeout_s,
            )
        except services.NotSentError as error:
            return upstream_responses.FailedAttempt(
                attempts.NotSent(str(error))
            )
        except exchange.NoResponseError as error:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse(str(error), error.timed_out)
            )
        except events.EventError as error:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse(str(error))
            )
        return None

    async def _relay(
        self,
        response: exchange.UpstreamResponse,
        writer: request_context.ResponseWriter,
        attempt: RunningAttempt,
        splitter: events.EventSplitter,
        event_timeout_s: float,
    ) -> None:
        """Relays events as they become complete.

        Raises:
            exchange.NoResponseError: The stream is not complete, or no event
                became complete in time. The time to write to the client does
                not count.
        """
        name = attempt.path.name
        chunks = response.chunks()
        while True:
            try:
                async with asyncio.timeout(event_timeout_s):
                    complete_events = await _next_events(chunks, splitter)
            except TimeoutError as error:
                raise exchange.NoResponseError(
                    "no complete event before the timeout", timed_out=True
                ) from error
            if not complete_events:
                break
            self.state.dispatcher.record_event(name, time.monotonic())
            if not attempt.has_event:
                attempt.has_event = True
                self.state.dispatcher.record_first_event(name)
                self.state.quarantine.record_served(
                    attempt.marks, time.monotonic()
                )
            if not writer.started:
                # The headers are sent with the first event: until then, another
                # engine can take over with its own headers.
                await writer.send_headers(response.status, response.headers)
            await writer.write(complete_events)
        is_partial_event = bool(splitter.pending.strip())
        if is_partial_event and _is_event_stream(response):
            raise exchange.NoResponseError("stream ended within an event")
        if not writer.started:
            await writer.send_headers(response.status, response.headers)
        await writer.end(splitter.pending)

    def _exchange(
        self,
        context: request_context.RequestContext,
        attempt: RunningAttempt,
        splitter: events.EventSplitter,
        timeout_s: float,
        is_retry: bool,
    ) -> exchange.UpstreamRequest:
        return exchange.UpstreamRequest(
            method=context.method,
            address=attempt.path.hops[0].address,
            target=context.target,
            headers=context.upstream_headers(splitter.last_id, attempt.path),
            body=context.body,
            # A stream that cannot resume on another path may still continue on
            # this one.
            read_timeout_s=timeout_s,
            new_connection=(is_retry or not context.route.repeat.may_run_again),
        )


def _event_timeout_s(
    context: request_context.RequestContext, attempt: RunningAttempt
) -> float:
    """Returns the longest time without a complete event.

    A stream that cannot resume on another path may still continue on its own.
    """
    if not attempt.may_move:
        return context.remaining_s()
    return SILENCE_TIMEOUT_S + attempt.path.patience_s


def _is_event_stream(response: exchange.UpstreamResponse) -> bool:
    media_type = response.header("Content-Type").partition(";")[0]
    return media_type.strip().lower() == "text/event-stream"


async def _next_events(
    chunks: AsyncIterator[bytes], splitter: events.EventSplitter
) -> bytes:
    """Returns the next complete events; empty at the end of the stream."""
    async for chunk in chunks:
        complete_events = splitter.feed(chunk)
        if complete_events:
            return complete_events
    return b""
