"""Client-facing ASGI application that admits and forwards requests."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import draining
from yuccatally.core.forwarding import rules
from yuccatally.forwarding import calls
from yuccatally.forwarding import request_context
from yuccatally.forwarding import streams
from yuccatally.forwarding import upstream_responses
from yuccatally.platform import headers as platform_headers
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import MutableMapping
    from typing import Any

    from yuccatally.core.forwarding import requests
    from yuccatally.forwarding import state
    from yuccatally.telemetry import metrics

    Scope = MutableMapping[str, Any]
    Message = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]

_log = structlog.get_logger()


class ClientDisconnectedError(Exception):
    """The client closed its connection before the request ended."""


@dataclasses.dataclass(frozen=True)
class Rejection:
    """Why a request is not forwarded.

    Attributes:
        status: HTTP status of the response.
        reason: Short reason for the client and the log.
        retry_after_s: Delay after which the client should retry; None if a
            retry cannot succeed.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(eq=False)
class InFlight:
    """A request that is in flight.

    Attributes:
        writer: Sends its response.
        time_limit: Ends the request when it is rescheduled.
        context: The admitted request; None before.
    """

    writer: request_context.ResponseWriter
    time_limit: asyncio.Timeout
    context: request_context.RequestContext | None = None


class Application:
    """Matches requests to a route and a client account and forwards them.

    Attributes:
        drain: The graceful shutdown; None before it starts.
        paces: Recent durations of requests.
        in_flight: Requests in flight.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        stream_forwarder: streams.StreamForwarder,
        call_forwarder: calls.CallForwarder,
        counters: metrics.Metrics,
    ) -> None:
        self.state = instance_state
        self.streams = stream_forwarder
        self.calls = call_forwarder
        self.metrics = counters
        self.drain: draining.Drain | None = None
        self.paces = draining.PaceHistory()
        self.in_flight: set[InFlight] = set()

    def start_drain(self, drain: draining.Drain) -> None:
        """Limits all requests to the time that is left.

        Requests that wait here and would not be accepted now are refused.
        """
        self.drain = drain
        now = time.monotonic()
        for entry in self.in_flight:
            context = entry.context
            is_refused = (
                context is not None
                and not entry.writer.attempt_count
                and not self._accepts(drain, context, now)
            )
            end = now if is_refused else drain.ends_at
            entry.time_limit.reschedule(_loop_time(end))

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        started_at = time.monotonic()
        writer = request_context.ResponseWriter(
            send, lambda: self.state.leaving
        )
        headers = services.end_to_end_headers(scope["headers"])
        request = platform_headers.decode_request(
            {n.lower(): v for n, v in headers}
        )
        self.state.in_flight += 1
        drain = self.drain
        time_limit = asyncio.timeout_at(drain and _loop_time(drain.ends_at))
        entry = InFlight(writer, time_limit)
        try:
            async with time_limit:
                await self._serve(entry, scope, headers, request, receive)
        except ClientDisconnectedError:
            writer.reason = "client-gone"
        except asyncio.CancelledError:
            writer.reason = "stopped"
            raise
        except TimeoutError:
            if time_limit.expired():
                action = draining.final_action(writer.attempt_count)
                await upstream_responses.end_request(writer, action, "leaving")
            else:
                await self._end_failed(request, writer)
        except Exception:
            await self._end_failed(request, writer)
        finally:
            self.state.in_flight -= 1
            context = entry.context
            route = context.route.name if context else ""
            self._record(request, route, writer, started_at)

    async def _serve(
        self,
        entry: InFlight,
        scope: Scope,
        headers: services.Headers,
        request: requests.Request,
        receive: Receive,
    ) -> None:
        """Reads a request, and forwards or rejects it."""
        started_at = time.monotonic()
        writer = entry.writer
        # The limit of an entry cannot be changed after this method.
        self.in_flight.add(entry)
        try:
            body = await self._read_body(receive)
            admitted = self._admit(scope, headers, request, body, started_at)
            if isinstance(admitted, Rejection):
                await writer.send_error(
                    admitted.status, admitted.reason, admitted.retry_after_s
                )
            else:
                entry.context = admitted
                await self._forward(admitted, receive, writer)
        finally:
            self.in_flight.discard(entry)

    async def _end_failed(
        self,
        request: requests.Request,
        writer: request_context.ResponseWriter,
    ) -> None:
        """Ends a request after an unexpected exception, which it logs.

        Returning aborts a response that has started. The upstream may have
        processed the request, so the error does not state that it was not
        executed.
        """
        _log.exception("request_failed", request=request.id)
        writer.reason = "internal-error"
        if not writer.started:
            await writer.send_error(500, writer.reason)

    async def _forward(
        self,
        context: request_context.RequestContext,
        receive: Receive,
        writer: request_context.ResponseWriter,
    ) -> None:
        """Forwards a request until it ends or its client disconnects."""
        is_stream = context.route.repeat.is_stream
        forwarder = self.streams if is_stream else self.calls
        work = asyncio.create_task(forwarder.run(context, writer))
        disconnected = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (work, disconnected), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise ClientDisconnectedError
            work.result()
        finally:
            for task in (work, disconnected):
                if not task.done():
                    task.cancel()
            await asyncio.wait((work, disconnected))

    async def _read_body(self, receive: Receive) -> bytes | None:
        """Reads the body of a request; returns None if it is too long."""
        current_rules = self.state.rules
        limits = current_rules.limits if current_rules else rules.Limits()
        parts: list[bytes] = []
        length = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnectedError
            part = message.get("body", b"")
            length += len(part)
            if length <= limits.body_bytes:
                parts.append(part)
            if not message.get("more_body", False):
                is_complete = length <= limits.body_bytes
                return b"".join(parts) if is_complete else None

    def _admit(
        self,
        scope: Scope,
        headers: services.Headers,
        request: requests.Request,
        body: bytes | None,
        started_at: float,
    ) -> request_context.RequestContext | Rejection:
        current_rules = self.state.rules
        if current_rules is None:
            return Rejection(503, "no-configuration", attempts.RETRY_AFTER_S)
        if body is None:
            return Rejection(413, "body-too-long")
        host = _host(scope)
        path = scope["raw_path"].decode("latin-1")
        route = current_rules.match_route(host, path)
        if route is None:
            return self._reject_unknown(404, "no-route")
        account = current_rules.by_key.get(request.key)
        needs_key = current_rules.accounts is not None and not route.anonymous
        if account is None and needs_key:
            return self._reject_unknown(401, "unknown-key")
        service = current_rules.services.get(
            route.choose_service(self.state.rng)
        )
        if service is None:
            return Rejection(503, "no-service", attempts.RETRY_AFTER_S)
        query = scope["query_string"].decode("latin-1")
        wait_s = route.timeout_s
        if request.wait_s is not None:
            wait_s = min(wait_s, request.wait_s)
        context = request_context.RequestContext(
            request=request,
            method=scope["method"],
            target=f"{path}?{query}" if query else path,
            headers=(("Host", host), *headers),
            body=body,
            route=route,
            service=service,
            account=account.name if account else "",
            priority=rules.request_priority(route, account),
            received_at=started_at,
            deadline=started_at + wait_s,
        )
        if self.drain and not self._accepts(
            self.drain, context, time.monotonic()
        ):
            return Rejection(503, "leaving", draining.RETRY_AFTER_S)
        return context

    def _accepts(
        self,
        drain: draining.Drain,
        context: request_context.RequestContext,
        now: float,
    ) -> bool:
        """Returns whether a request ends before the instance does."""
        return drain.accepts(
            now,
            context.deadline,
            context.route.repeat.may_run_again,
            self.paces.expected_s(
                context.route.name, context.request.max_answer_tokens
            ),
        )

    def _reject_unknown(self, status: int, reason: str) -> Rejection:
        """Rejects a request whose route or key is not configured.

        If this instance may have an outdated configuration, the response is a
        503, because a newer configuration may contain the route or key.
        """
        if self.state.has_current_rules():
            return Rejection(status, reason)
        return Rejection(503, "configuration-old", attempts.RETRY_AFTER_S)

    def _record(
        self,
        request: requests.Request,
        route: str,
        writer: request_context.ResponseWriter,
        started_at: float,
    ) -> None:
        now = time.monotonic()
        outcome = "complete" if writer.is_complete else "broken-off"
        self.metrics.count("forwarded", f"{writer.status} {outcome}")
        self.metrics.observe("request", now - started_at)
        if writer.is_complete and 200 <= writer.status < 300:
            self.paces.record(
                route, request.max_answer_tokens, now - started_at
            )
        if writer.first_byte_at:
            self.metrics.observe(
                "first_byte", writer.first_byte_at - started_at
            )
        if writer.waited_s:
            self.metrics.observe("waited", writer.waited_s)
        self.state.spans.record_ended(
            "request",
            request.id,
            started_at,
            route=route,
            status=writer.status,
            outcome=outcome,
            reason=writer.reason,
        )
        _log.info(
            "request",
            request=request.id,
            route=route,
            status=writer.status,
            outcome=outcome,
            reason=writer.reason,
            retry_after_s=""
            if writer.retry_after_s is None
            else writer.retry_after_s,
            waited_ms=_ms(writer.waited_s),
            attempts=writer.attempt_count,
            upstream=writer.last_upstream,
            events=writer.event_count,
            parts=",".join(request.shared_parts),
            first_ms=_ms(writer.first_byte_at - started_at)
            if writer.first_byte_at
            else "",
            gap_ms=_ms(writer.max_gap_s),
            total_ms=_ms(now - started_at),
        )


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _loop_time(monotonic_time: float) -> float:
    """Returns a monotonic time on the clock of the event loop."""
    loop = asyncio.get_running_loop()
    return loop.time() + monotonic_time - time.monotonic()


def _host(scope: Scope) -> str:
    for name, value in scope["headers"]:
        if name == b"host":
            return value.decode("latin-1")
    return ""


def _ms(seconds: float) -> int:
    return round(seconds * 1e3)
