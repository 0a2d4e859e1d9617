"""Forwarding of requests whose response is read completely first."""

from __future__ import annotations

import functools
import time
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import runs
from yuccatally.forwarding import open_runs
from yuccatally.forwarding import retrying
from yuccatally.forwarding import upstream_responses
from yuccatally.forwarding import waiting
from yuccatally.upstreams import exchange
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from yuccatally.forwarding import rate_limiting
    from yuccatally.forwarding import request_context
    from yuccatally.forwarding import state

# Largest response that is buffered until it is complete.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Requests that a plain upstream is sent for each of its slots. A short queue
# keeps it busy while responses are on their way.
QUEUED_SLOTS_RATIO = 1.5


class CallForwarder:
    """Forwards requests and buffers the response of the upstream.

    A response is sent to the client only once it is complete.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        client: exchange.UpstreamClient,
        on_failure: retrying.OnFailure,
        rate_limiter: rate_limiting.RateLimiter,
    ) -> None:
        """Creates a forwarder; see ``streams.StreamForwarder``."""
        self.state = instance_state
        self.client = client
        self.on_failure = on_failure
        self.rate_limiter = rate_limiter

    async def run(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
    ) -> None:
        """Forwards a request until an upstream answers or attempts run out."""
        progress = attempts.AttemptCounter()
        reader = open_runs.RunReader(
            self.state.dispatcher,
            retrying.memory_tokens(context),
            context.route.objective_s,
        )

        room = waiting.Room(self.state.dispatcher, reader.tokens)

        async def choose(tried: frozenset[str]) -> retrying.Choice:
            open_paths = {r.path.name for r in reader.open.runs}
            find = functools.partial(
                retrying.choose, self.state, context, tried | open_paths
            )
            # A repeat is sent beside a run that may still answer.
            if not self.state.settings.shares_load or progress.run_count:
                return find()
            return await waiting.find_room(
                self.state,
                context,
                writer,
                room,
                lambda: self._with_slot(context, find()),
            )

        async def attempt(
            path: dispatch.Path | None,
        ) -> open_runs.FailedRun | None:
            if path is not None:
                self._start(context, path, progress, reader)
                room.release()
            return await self._wait(context, writer, reader)

        try:
            await retrying.forward(
                self.state,
                context,
                writer,
                progress,
                reader,
                choose,
                attempt,
                self.on_failure,
                self.rate_limiter,
            )
        finally:
            room.release()
            reader.close_all()

    def _with_slot(
        self, context: request_context.RequestContext, found: waiting.Found
    ) -> waiting.Found:
        """Returns the found upstream if its queue is short.

        It has the fewest requests for its slots, so that the others have no
        shorter queue.
        """
        if context.service.model is None and isinstance(found, dispatch.Path):
            work = self.state.dispatcher.outstanding_work(
                found.name, time.monotonic()
            )
            if work.requests >= QUEUED_SLOTS_RATIO * found.slots:
                return dispatch.Full()
        return found

    def _start(
        self,
        context: request_context.RequestContext,
        path: dispatch.Path,
        progress: attempts.AttemptCounter,
        reader: open_runs.RunReader,
    ) -> None:
        """Sends a request; ``progress`` already includes this attempt."""
        timeout_s = self._attempt_timeout_s(context, progress)
        run = runs.Run(
            path,
            may_move=runs.may_try_another(context.route, progress),
            quiet_until=time.monotonic() + timeout_s,
        )
        reader.start(run, self._read(context, path, progress.is_retry))

    async def _wait(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
        reader: open_runs.RunReader,
    ) -> open_runs.FailedRun | None:
        """Delivers the first whole response; returns a run that fails."""
        started_at = time.monotonic()
        while True:
            try:
                run, outcome = await reader.next(context.deadline)
            except TimeoutError:
                silent = reader.open.fall_silent(time.monotonic())
                if silent is not None:
                    return open_runs.silent_run(silent, "no response yet")
                if context.remaining_s() > 0:
                    continue
                late = reader.open.runs[-1]
                reader.close_all()
                return open_runs.silent_run(
                    late, "no response before the timeout"
                )
            reader.close(run)
            match outcome:
                case upstream_responses.FailedAttempt():
                    return open_runs.FailedRun(run.path, outcome)
                case upstream_responses.CompleteResponse():
                    reader.close_all()
                    now = time.monotonic()
                    self.state.waiting.queue(
                        context.service.name
                    ).record_first_event(now - started_at, now)
                    self.state.quarantine.record_served(context.marks, now)
                    writer.last_upstream = run.path.name
                    await writer.send_response(
                        outcome.status, outcome.headers, outcome.body
                    )
                    return None

    async def _read(
        self,
        context: request_context.RequestContext,
        path: dispatch.Path,
        is_retry: bool,
    ) -> AsyncGenerator[open_runs.Outcome, None]:
        """Sends a request and yields its only outcome."""
        timeout_s = context.remaining_s()
        if timeout_s <= 0:
            yield upstream_responses.FailedAttempt(attempts.NotSent("deadline"))
            return
        response: exchange.UpstreamResponse | None = None
        try:
            response = await self.client.open(
                exchange.UpstreamRequest(
                    method=context.method,
                    address=path.hops[0].address,
                    target=context.target,
                    headers=context.upstream_headers(
                        context.request.last_event_id, path
                    ),
                    body=context.body,
                    read_timeout_s=timeout_s,
                    new_connection=(
                        is_retry or not context.route.repeat.may_run_again
                    ),
                )
            )
            body = await response.body(MAX_RESPONSE_BYTES)
            yield upstream_responses.check_response(context, response, body)
        except services.NotSentError as error:
            yield upstream_responses.FailedAttempt(attempts.NotSent(str(error)))
        except exchange.NoResponseError as error:
            yield upstream_responses.FailedAttempt(
                attempts.NoResponse(str(error), error.timed_out)
            )
        finally:
            if response is not None:
                response.close()

    def _attempt_timeout_s(
        self,
        context: request_context.RequestContext,
        progress: attempts.AttemptCounter,
    ) -> float:
        """Returns the time after which another upstream is tried as well.

        If the request may be sent to another upstream, half of the remaining
        time is reserved for that. The limit is not shorter than the latency
        objective, since nearly all responses arrive within it.
        """
        left_s = context.remaining_s()
        if runs.may_try_another(context.route, progress):
            return min(left_s, max(context.route.objective_s, left_s / 2))
        return left_s
