"""Event streams to callers that read slowly or disconnect."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from starlette import responses as starlette_responses
import structlog

from yuccatally.callers import messages
from yuccatally.callers import responses
from yuccatally.core.requests import outcomes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from starlette import types

    from yuccatally.instance import instance as instance_module

# A caller that reads no data for this long occupies KV state without using it.
SEND_TIMEOUT_S = 30.0

_log = structlog.get_logger()


class CallerGoneError(Exception):
    """The caller closed the connection before the response was complete."""


class EventStream(starlette_responses.Response):
    """Response of server-sent events that ends its request exactly once.

    The outcome is recorded when the last event has been sent, when the caller
    has disconnected or reads no data, or when the source of the events fails.
    It is also recorded if the caller disconnects before the first event is
    requested from the source.

    Attributes:
        instance: Instance that serves the request.
        request: Request id.
        outcome: Outcome of the request; set by the source of the events.
        tokens: Number of tokens emitted; set by the source of the events.
        events: Encoded events; set before the response is sent.
    """

    media_type = "text/event-stream"

    def __init__(
        self, instance: instance_module.Instance, request: str
    ) -> None:
        super().__init__(
            headers={
                responses.OUTCOME_HEADER: responses.outcome_header(
                    request, outcomes.Outcome.IN_FLIGHT
                ),
                "Cache-Control": "no-store",
            }
        )
        del self.headers["content-length"]
        self.instance = instance
        self.request = request
        self.outcome = outcomes.Outcome.NOT_RUN
        self.tokens = 0
        self.events: AsyncIterator[bytes]

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Sends the events; see the ASGI specification."""
        try:
            await cancel_on_disconnect(receive, self._send_events(send))
        except (CallerGoneError, TimeoutError, OSError) as error:
            self.instance.metrics.count("streams_cut", type(error).__name__)
            _log.info(
                "caller_gone", request=self.request, error=type(error).__name__
            )
        finally:
            self.instance.finish(self.request, self.outcome)

    async def _send_events(self, send: types.Send) -> None:
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": self.raw_headers,
            }
        )
        events: Any = self.events
        try:
            async for event in events:
                await _send_with_timeout(send, event)
        except (TimeoutError, OSError):
            raise
        except Exception:
            _log.exception("stream_failed", request=self.request)
            self.outcome = outcomes.Outcome.UNKNOWN
            await _send_with_timeout(send, self._internal_error_event())
        finally:
            await events.aclose()
        await send({"type": "http.response.body", "body": b""})

    def _internal_error_event(self) -> bytes:
        refusal = outcomes.Refusal(
            self.outcome,
            outcomes.Reason.INTERNAL,
            "an internal error occurred; the instance logged it",
        )
        return error_event(self.request, refusal, self.tokens)


def error_event(request: str, refusal: outcomes.Refusal, tokens: int) -> bytes:
    """Returns the final event of a stream that ends with an error."""
    body = responses.error_body(request, refusal)
    ending = messages.StreamOutcome(request, str(refusal.outcome), tokens)
    return responses.sse_event({**body, "yuccatally": ending})


async def cancel_on_disconnect(
    receive: Callable[[], Awaitable[Any]], work: Coroutine[Any, Any, Any]
) -> Any:
    """Runs a coroutine and cancels it if the caller disconnects.

    Args:
        receive: ASGI channel of the request, whose body has been read.
        work: The coroutine.

    Returns:
        The result of the coroutine.

    Raises:
        CallerGoneError: The caller closed the connection. The coroutine has
            been cancelled and has ended.
    """
    work_task = asyncio.create_task(work)
    disconnect_task = asyncio.create_task(_wait_for_disconnect(receive))
    try:
        await asyncio.wait(
            {work_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if work_task.done():
            return work_task.result()
        raise CallerGoneError
    finally:
        for task in (work_task, disconnect_task):
            task.cancel()
        await asyncio.gather(work_task, disconnect_task, return_exceptions=True)


async def _wait_for_disconnect(receive: Callable[[], Awaitable[Any]]) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _send_with_timeout(send: types.Send, body: bytes) -> None:
    async with asyncio.timeout(SEND_TIMEOUT_S):
        await send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )
