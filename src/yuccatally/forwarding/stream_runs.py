"""The run of a stream at one engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import events
from yuccatally.core.forwarding import runs
from yuccatally.forwarding import open_runs
from yuccatally.forwarding import upstream_responses
from yuccatally.upstreams import exchange
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from yuccatally.core.forwarding import dispatch
    from yuccatally.forwarding import request_context

# Largest error response of an engine that is passed on.
MAX_ERROR_BYTES = 1024 * 1024


class StreamRun(runs.Run):
    """A run of a stream, which goes on after the last event of the client.

    Attributes:
        context: The request.
        splitter: Splits the stream of this run into events.
        must_stream: Whether the response must be an event stream, since events
            were sent to the client before.
        is_retry: Whether it is not the first attempt of the request.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        path: dispatch.Path,
        last_id: str,
        may_move: bool,
        quiet_until: float,
        must_stream: bool,
        is_retry: bool,
    ) -> None:
        """Creates a run that goes on after the event ``last_id``."""
        super().__init__(path, may_move, quiet_until)
        self.context = context
        self.splitter = events.EventSplitter(last_id)
        self.must_stream = must_stream
        self.is_retry = is_retry

    async def read(
        self, client: exchange.UpstreamClient
    ) -> AsyncGenerator[open_runs.Outcome, None]:
        """Sends the request and yields complete events, then the end."""
        response: exchange.UpstreamResponse | None = None
        try:
            response = await client.open(self._exchange())
            failed = await self._check(response)
            if failed is not None:
                yield failed
                return
            with response.hold() as partial_event:
                async for chunk in response.chunks():
                    count_before = self.splitter.events
                    complete_events = self.splitter.feed(chunk)
                    partial_event.resize(len(self.splitter.pending))
                    if complete_events:
                        yield open_runs.Events(
                            complete_events,
                            self.splitter.events - count_before,
                            self.splitter.last_id,
                            response.status,
                            response.headers,
                        )
            yield self._end(response)
        except services.NotSentError as error:
            yield upstream_responses.FailedAttempt(attempts.NotSent(str(error)))
        except exchange.NoResponseError as error:
            yield upstream_responses.FailedAttempt(
                attempts.NoResponse(str(error), error.timed_out)
            )
        except events.EventError as error:
            yield upstream_responses.FailedAttempt(
                attempts.NoResponse(str(error))
            )
        finally:
            if response is not None:
                response.close()

    async def _check(
        self, response: exchange.UpstreamResponse
    ) -> upstream_responses.FailedAttempt | None:
        failed = upstream_responses.check_headers(self.context, response)
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
        self.splitter.checked = _is_event_stream(response)
        if self.must_stream and not self.splitter.checked:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse("the response is no event stream")
            )
        return None

    def _end(
        self, response: exchange.UpstreamResponse
    ) -> open_runs.StreamEnd | upstream_responses.FailedAttempt:
        rest = self.splitter.pending
        if rest.strip() and self.splitter.checked:
            return upstream_responses.FailedAttempt(
                attempts.NoResponse("stream ended within an event")
            )
        if self._lacks_first_event(response):
            return upstream_responses.FailedAttempt(
                attempts.NoResponse("stream ended before its first event")
            )
        return open_runs.StreamEnd(rest, response.status, response.headers)

    def _lacks_first_event(self, response: exchange.UpstreamResponse) -> bool:
        """Returns whether the engine may have ended after its headers.

        Its connection then ends in order as well. A stream that goes on after
        the last event of the client may be complete without another one.
        """
        return (
            self.splitter.checked
            and response.ends_with_connection
            and not self.splitter.events
            and not self.splitter.last_id
        )

    def _exchange(self) -> exchange.UpstreamRequest:
        context = self.context
        return exchange.UpstreamRequest(
            method=context.method,
            address=self.path.hops[0].address,
            target=context.target,
            headers=context.upstream_headers(self.splitter.last_id, self.path),
            body=context.body,
            # A sound engine may be silent and then go on.
            read_timeout_s=context.remaining_s(),
            new_connection=(
                self.is_retry or not context.route.repeat.may_run_again
            ),
        )


def _is_event_stream(response: exchange.UpstreamResponse) -> bool:
    media_type = response.header("Content-Type").partition(";")[0]
    return media_type.strip().lower() == "text/event-stream"
