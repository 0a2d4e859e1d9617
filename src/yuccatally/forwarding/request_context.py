"""Context of an admitted request and the response to its client."""

from __future__ import annotations

import dataclasses
import functools
import time
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import marks
from yuccatally.platform import headers as platform_headers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import MutableMapping
    from typing import Any

    from yuccatally.core.forwarding import dispatch
    from yuccatally.core.forwarding import requests
    from yuccatally.core.forwarding import rules

    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """An admitted request and how it is forwarded.

    Attributes:
        request: Values decoded from the headers.
        method: HTTP method.
        target: Path and query, encoded as received.
        headers: End-to-end headers in order, including the host.
        body: Complete body.
        route: Matching route.
        service: Service chosen from the targets of the route.
        account: Name of the client account; empty for none.
        priority: Priority of the request; 0 is the most urgent.
        received_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time at which the client or the route times out, in
            seconds.
    """

    request: requests.Request
    method: str
    target: str
    headers: Headers
    body: bytes
    route: rules.Route
    service: rules.Service
    account: str
    priority: int
    received_at: float
    deadline: float

    def remaining_s(self) -> float:
        """Returns the time until the deadline, in seconds."""
        return self.deadline - time.monotonic()

    @functools.cached_property
    def marks(self) -> tuple[str, ...]:
        """Shared parts of the prompt, and the fingerprint of the request.

        They name the service, as a request crashes engines of one service.
        """
        service = self.service.name
        return (
            *(marks.part_mark(service, p) for p in self.request.shared_parts),
            marks.fingerprint(
                service,
                self.method,
                self.target,
                self.account,
                self.body,
                self.request.shared_parts,
            ),
        )

    def upstream_headers(
        self, last_event_id: str, path: dispatch.Path
    ) -> Headers:
        """Returns the headers that are sent to an upstream."""
        return platform_headers.build_upstream_headers(
            self.headers,
            self.account,
            self.priority,
            self.remaining_s(),
            last_event_id,
            path,
        )


class ResponseWriter:
    """Sends the response to a client and records its progress.

    Attributes:
        send: ASGI callable that sends a message.
        is_closing: Returns whether the connection closes after this response.
        status: Status that was sent; 0 before.
        is_complete: Whether the last part of the body was sent.
        reason: Why the request failed or ended early; empty otherwise.
        first_byte_at: Monotonic time of the first byte of the body; 0 before.
        last_write_at: Monotonic time of the last write; 0 before.
        attempt_count: Number of attempts at upstreams.
        last_upstream: Path or upstream of the last attempt.
        event_count: Number of events of a stream.
        max_gap_s: Longest pause between two writes, in seconds.
        waited_s: Time for which the request waited for room, in seconds.
        retry_after_s: Delay after which the client was told to return; None if
            it was not told.
    """

    def __init__(self, send: Send, is_closing: Callable[[], bool]) -> None:
        self.send = send
        self.is_closing = is_closing
        self.status = 0
        self.is_complete = False
        self.reason = ""
        self.first_byte_at = 0.0
        self.last_write_at = 0.0
        self.attempt_count = 0
        self.last_upstream = ""
        self.event_count = 0
        self.max_gap_s = 0.0
        self.waited_s = 0.0
        self.retry_after_s: float | None = None

    @property
    def started(self) -> bool:
        """Whether status and headers were sent."""
        return self.status != 0

    async def send_headers(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> None:
        """Sends status and headers."""
        self.status = status
        encoded = [
            (n.lower().encode("latin-1"), v.encode("latin-1"))
            for n, v in headers
        ]
        if self.is_closing():
            encoded.append((b"connection", b"close"))
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": encoded,
            }
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the client does not read."""
        now = time.monotonic()
        if self.first_byte_at:
            self.max_gap_s = max(self.max_gap_s, now - self.last_write_at)
        else:
            self.first_byte_at = now
        self.last_write_at = now
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self, data: bytes = b"") -> None:
        """Sends the last part of the body and ends the response."""
        if data and not self.first_byte_at:
            self.first_byte_at = time.monotonic()
        await self.send({"type": "http.response.body", "body": data})
        self.is_complete = True

    async def send_response(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a complete response."""
        sized = [*headers, ("content-length", str(len(body)))]
        if status == 204 or status == 304:
            sized = list(headers)
        await self.send_headers(status, sized)
        await self.end(body)

    async def send_error(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Sends an error response generated by this instance."""
        self.reason = reason
        self.retry_after_s = retry_after_s
        headers = [("content-type", "application/json")]
        if retry_after_s is not None:
            headers.append(("retry-after", f"{retry_after_s:g}"))
        body = b'{"error":"%s"}' % reason.encode()
        await self.send_response(status, headers, body)
