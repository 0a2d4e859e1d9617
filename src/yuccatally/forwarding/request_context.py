"""An admitted request and the answer to its client."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

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
    """A request that is to be forwarded.

    Attributes:
        request: What its headers say.
        method: HTTP method.
        target: Path and query, encoded as received.
        headers: End-to-end headers in order, with the host.
        body: Whole body.
        route: Route that it matched.
        service: Service that was drawn for it.
        account: Name of the client account; empty for none.
        priority: Rank of the request; 0 is the most urgent.
        started_at: Monotonic time of its arrival, in seconds.
        deadline: Monotonic time at which nobody waits any more.
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
        """Returns the time left, in seconds."""
        return self.deadline - time.monotonic()

    def upstream_headers(
        self, last_event_id: str, path: dispatch.Path
    ) -> Headers:
        """Returns the headers for an upstream; see the adapter."""
        return platform_headers.build_upstream_headers(
            self.headers,
            self.account,
            self.priority,
            self.remaining_s(),
            last_event_id,
            path,
        )


class ResponseWriter:
    """Sends the answer to a client.

    Attributes:
        status: Status that was sent; 0 before.
        complete: Whether the answer is whole.
        reason: Why the request ended as it did.
        first_at: Monotonic time of the first byte of the body.
        closing: Whether the connection ends with this answer.
        attempts: Upstreams that were tried.
        upstream: Path or upstream that answered last.
        events: Events of a stream.
        longest_gap_s: Longest pause between two writes.
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

    @property
    def started(self) -> bool:
        """Whether the status was sent."""
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
        """Sends the last part of the body."""
        if data and not self.first_byte_at:
            self.first_byte_at = time.monotonic()
        await self.send({"type": "http.response.body", "body": data})
        self.is_complete = True

    async def send_response(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a whole answer."""
        sized = [*headers, ("content-length", str(len(body)))]
        if status == 204 or status == 304:
            sized = list(headers)
        await self.send_headers(status, sized)
        await self.end(body)

    async def send_error(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Sends a failure of this instance's own."""
        self.reason = reason
        headers = [("content-type", "application/json")]
        if retry_after_s is not None:
            headers.append(("retry-after", f"{retry_after_s:g}"))
        body = b'{"error":"%s"}' % reason.encode()
        await self.send_response(status, headers, body)
