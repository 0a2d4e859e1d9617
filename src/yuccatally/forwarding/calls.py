"""Forwarding of requests whose response is read completely first."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import attempts
from yuccatally.forwarding import retrying
from yuccatally.forwarding import upstream_responses
from yuccatally.upstreams import exchange
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from yuccatally.core.forwarding import dispatch
    from yuccatally.forwarding import rate_limiting
    from yuccatally.forwarding import request_context
    from yuccatally.forwarding import state

# Largest response that is buffered until it is complete.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


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

        async def choose(tried: frozenset[str]) -> retrying.Choice:
            return retrying.choose(self.state, context, tried)

        async def attempt(
            path: dispatch.Path,
        ) -> upstream_responses.FailedAttempt | None:
            result = await self._attempt(context, path, progress)
            if isinstance(result, upstream_responses.FailedAttempt):
                return result
            self.state.quarantine.record_served(context.marks, time.monotonic())
            await writer.send_response(
                result.status, result.headers, result.body
            )
            return None

        await retrying.forward(
            self.state,
            context,
            writer,
            progress,
            choose,
            attempt,
            self.on_failure,
            self.rate_limiter,
        )

    async def _attempt(
        self,
        context: request_context.RequestContext,
        path: dispatch.Path,
        progress: attempts.AttemptCounter,
    ) -> upstream_responses.CompleteResponse | upstream_responses.FailedAttempt:
        timeout_s = self._attempt_timeout_s(context, progress)
        if timeout_s <= 0:
            return upstream_responses.FailedAttempt(
                attempts.NotSent("deadline")
            )
        tokens = retrying.memory_tokens(context)
        self.state.dispatcher.record_start(path.name, tokens, time.monotonic())
        response: exchange.UpstreamResponse | None = None
        try:
            async with asyncio.timeout(timeout_s):
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
                            progress.is_retry
                            or not context.route.repeat.may_run_again
                        ),
                    )
                )
                body = await response.body(MAX_RESPONSE_BYTES)
        except services.NotSentError as error:
            return upstream_responses.FailedAttempt(
                attempts.NotSent(str(error))
            )
        except exchange.NoResponseError as error:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse(str(error), error.timed_out)
            )
        except TimeoutError:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse("no response before the timeout", True)
            )
        finally:
            if response is not None:
                response.close()
            self.state.dispatcher.record_end(path.name, tokens)
        return upstream_responses.check_response(context, response, body)

    def _attempt_timeout_s(
        self,
        context: request_context.RequestContext,
        progress: attempts.AttemptCounter,
    ) -> float:
        """Returns the time limit of one attempt.

        If the request may be sent to another upstream, half of the remaining
        time is reserved for that. The limit is not shorter than the latency
        objective, since nearly all responses arrive within it.
        """
        left_s = context.remaining_s()
        route = context.route
        if (
            route.repeat.may_run_again
            and progress.run_count < route.max_attempts
        ):
            return min(left_s, max(route.objective_s, left_s / 2))
        return left_s
