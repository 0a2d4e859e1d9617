"""HTTP server protocol with size and time limits for each connection."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from yuccatally.instance import clients as clients_module
from yuccatally.instance import refusals
from yuccatally.instance import sequential

if TYPE_CHECKING:
    import asyncio

# A body in chunks of one byte needs six bytes for each. Chunk extensions and
# trailers, which the parser does not limit, must fit into the rest.
WIRE_BYTES_FACTOR = 8

# Time for a refused sender to read the refusal. An immediate close would reset
# the connection while the sender still sends, and the refusal would be lost.
LINGER_TIMEOUT_S = 2.0

# Bytes in the system's buffer count as memory of the process on some machines.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Most requests are shorter, and counting all of them would take time.
UNCOUNTED_BYTES = 2 * 1024
# A header takes two objects and their pair beside its bytes.
HEADER_OVERHEAD_BYTES = 150
# Bytes of answers that wait for the client beside those in the system's buffer.
UNSENT_BYTES = 16 * 1024
# Part of the time for reading after which an unread answer makes room.
READ_WAIT_SHARE = 1 / 4


@dataclasses.dataclass(frozen=True)
class ConnectionLimits:
    """Limits of the connections of one listener.

    Attributes:
        header_bytes: Longest request line and headers together, in bytes.
        header_timeout_s: Longest time from the connection or the first byte
            of a later request to the end of its headers, in seconds.
        body_bytes: Longest body that the application accepts, in bytes.
        body_timeout_s: Longest time from the end of the headers to the end
            of the body, in seconds.
        write_timeout_s: Longest time in which a caller reads nothing of a
            response that is ready to be sent, in seconds.
        max_connections: Largest number of open connections.
    """

    header_bytes: int
    header_timeout_s: float
    body_bytes: int
    body_timeout_s: float
    write_timeout_s: float
    max_connections: int

    @property
    def wire_bytes(self) -> int:
        """Largest number of bytes of one request on the wire."""
        return self.header_bytes + WIRE_BYTES_FACTOR * self.body_bytes


class LimitedProtocol(sequential.SequentialProtocol):
    """Refuses requests that are too long or arrive too slowly.

    The bytes of all connections of the process count in one account.

    The subclass that ``limited_protocol`` returns sets ``limits``, ``clients``,
    ``gate`` and ``refusal_log``.

    Attributes:
        limits: Limits of the connection.
        clients: Limits of all connections of the process.
        gate: Limit of the number of connections of the listener.
        refusal_log: Counts and logs refusals.
        wire_bytes: Bytes received for the current request.
        header_bytes: Parsed length of the request line and headers.
        idle_since: Time of the event loop at which the latest answer ended.
        waits_since: Time of the event loop at which the connection, the
            current request or the wait for the client to read began.
        held_header_bytes: Bytes that the target and the headers of the current
            request take until its response ends.
        body_bytes: Bytes of the body of the current request.
        unread_bytes: Bytes that the client has not read; 0 if they are few.
        unsent_bytes: Length of the write buffer at the latest look.
    """

    limits: ConnectionLimits
    clients: clients_module.Clients
    gate: clients_module.Gate
    refusal_log: refusals.RefusalLog

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.wire_bytes = self.header_bytes = 0
        self.idle_since = self.waits_since = 0.0
        self.held_header_bytes = self.body_bytes = 0
        self.unread_bytes = self.unsent_bytes = 0
        self.read_timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Starts the time limit for the first headers."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(UNSENT_BYTES)
        address = self.client[0] if self.client else ""
        self.waits_since = self.loop.time()
        holdings = self.clients.holdings
        self.request_holding = holdings.add(None, address)
        self.buffer_holding = holdings.add(self._drop_buffers, address)
        admission = self.gate.admit(
            self.connections, self.limits.max_connections, self.loop.time()
        )
        match admission:
            case clients_module.Admission.ACCEPTED:
                self._start_header_timer()
            case clients_module.Admission.REFUSED:
                self._refuse_connection()
            case clients_module.Admission.DROPPED:
                self._abort("too-many-connections")

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the time limits."""
        self._stop_read_timer()
        self.resume_writing()
        for holding in (self.request_holding, self.buffer_holding):
            self.clients.holdings.drop(holding)
        super().connection_lost(exc)

    def parse_part(self, part: bytes) -> None:
        """Enforces the length limits."""
        if self.in_headers and self.read_timer is None:
            self._start_header_timer()
        self.wire_bytes += len(part)
        super().parse_part(part)
        if self.wire_bytes > self.limits.header_bytes and not self.is_ending:
            self._check_lengths()

    def input_changed(self) -> None:
        """Counts what is held of the request and around it."""
        super().input_changed()
        self._count_request()
        buffered = len(self.ahead.data) + self.unread_bytes
        if self.flow.is_held:
            buffered += RECEIVE_BUFFER_BYTES
        if buffered != self.buffer_holding.size:
            self.clients.holdings.resize(self.buffer_holding, buffered)

    def on_url(self, url: bytes) -> None:
        """Adds the request target to the header length."""
        self.header_bytes += len(url)
        self.held_header_bytes += len(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header to the header length; drops trailers (unused)."""
        if not self.in_headers:
            return
        length = len(name) + len(value) + len(": \r\n")
        self.header_bytes += length
        self.held_header_bytes += length + HEADER_OVERHEAD_BYTES
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts the time limit for the body."""
        self._stop_read_timer()
        self.in_headers = False
        if self.closing:
            return
        if self.header_bytes > self.limits.header_bytes:
            self._refuse_headers()
            return
        self._count_request()
        if self.closing:
            return
        self.read_timer = self.loop.call_later(
            self.limits.body_timeout_s, self._on_body_timeout
        )
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Records the start of an idle period."""
        self.idle_since = self.waits_since = self.loop.time()
        self.held_header_bytes = self.body_bytes = 0
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """Closes the connection, unless its idle limit was raised meanwhile."""
        idle_until = self.idle_since + self.timeout_keep_alive
        if self.loop.time() < idle_until:
            self.timeout_keep_alive_task = self.loop.call_at(
                idle_until, self.timeout_keep_alive_handler
            )
        else:
            super().timeout_keep_alive_handler()

    def on_body(self, body: bytes) -> None:
        """Passes the body on, unless the request was refused."""
        if self.closing:
            return
        if not self.cycle.response_complete:
            self.body_bytes += len(body)
            self.body_bytes = min(self.body_bytes, self.limits.body_bytes)
            # Before the application may see the end of the body.
            self._count_request()
            if self.closing:
                return
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Resets the state for the next request of the connection."""
        self._stop_read_timer()
        self.wire_bytes = self.header_bytes = 0
        self.request_holding.on_discard = None
        super().on_message_complete()

    def pause_writing(self) -> None:
        """Starts the time limit for reading the response."""
        super().pause_writing()
        self.waits_since = self.loop.time()
        self.unread_bytes = self.transport.get_write_buffer_size()
        self.unsent_bytes = self.unread_bytes
        self.input_changed()
        self.write_timer = self.loop.call_later(
            self.limits.write_timeout_s, self._on_write_timeout
        )

    def resume_writing(self) -> None:
        """Stops the time limit for reading the response."""
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None
        super().resume_writing()
        if self.unread_bytes:
            self.unread_bytes = 0
            self.input_changed()

    def send_400_response(self, msg: str) -> None:
        """Refuses a request that the parser rejected."""
        self._refuse(400, "malformed", msg)

    def _count_request(self) -> None:
        """Counts what is held of the request, which may refuse it."""
        size = self.held_header_bytes + self.body_bytes
        if size <= UNCOUNTED_BYTES:
            size = 0
        holding = self.request_holding
        holding.on_discard = None if self.has_request else self._refuse_request
        if size != holding.size:
            self.clients.holdings.resize(holding, size)

    def _check_lengths(self) -> None:
        if self.in_headers:
            self._refuse_headers()
        elif self.in_body and self.wire_bytes > self.limits.wire_bytes:
            text = f"the request is longer than {self.limits.wire_bytes} bytes"
            self._refuse(413, "body-too-long", text)

    def _start_header_timer(self) -> None:
        self.waits_since = self.loop.time()
        self.read_timer = self.loop.call_later(
            self.limits.header_timeout_s, self._on_header_timeout
        )

    def _stop_read_timer(self) -> None:
        if self.read_timer is not None:
            self.read_timer.cancel()
            self.read_timer = None

    def _on_header_timeout(self) -> None:
        self.read_timer = None
        if not self.request_started:
            self._abort("idle")  # there is no request to respond to
            return
        limit_s = self.limits.header_timeout_s
        text = f"the headers were not complete within {limit_s:g} s"
        self._refuse(408, "headers-too-slow", text)

    def _on_body_timeout(self) -> None:
        self.read_timer = None
        limit_s = self.limits.body_timeout_s
        text = f"the body was not complete within {limit_s:g} s"
        self._refuse(408, "body-too-slow", text)

    def _on_write_timeout(self) -> None:
        self._abort("reader-too-slow")

    def _refuse_headers(self) -> None:
        limit = self.limits.header_bytes
        text = f"request line and headers are longer than {limit} bytes"
        self._refuse(431, "headers-too-long", text)

    def _refuse(self, status: int, reason: str, text: str) -> None:
        """Sends an error response once, then discards further input.

        To the application, the caller has closed the connection.
        """
        if self.closing:
            return
        if not self._can_respond():
            self._abort(reason)
            return
        self._record_refusal(reason)
        self._stop_read_timer()
        if self.in_body:
            self.cycle.disconnected = True
            self.cycle.body.clear()
            self.cycle.message_event.set()
        self.transport.write(refusals.error_response(status, reason, text))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_TIMEOUT_S, self.transport.abort)

    def _can_respond(self) -> bool:
        """Returns whether the caller would match a response to this request.

        While an earlier request of the connection is in progress, the caller
        would read the refusal as the response to that request.
        """
        cycle = self.cycle
        if self.in_body:
            return not cycle.response_started and not self.pipeline
        return cycle is None or cycle.response_complete

    def _abort(self, reason: str) -> None:
        self._record_refusal(reason)
        self.transport.abort()

    def _record_refusal(self, reason: str) -> None:
        self.closing = True
        self.ahead.clear()
        self.refusal_log.record(reason, self.client[0] if self.client else "")

    def wait(self, now: float) -> clients_module.Wait | None:
        """Returns since when the client has to send or read, if it has to."""
        if self.is_ending or (self.has_request and not self.unread_bytes):
            return None
        unsent_bytes = self.transport.get_write_buffer_size()
        if not unsent_bytes:
            return clients_module.Wait(self._wait_kind(), self.waits_since)
        if unsent_bytes != self.unsent_bytes:  # the client reads
            self.unsent_bytes, self.waits_since = unsent_bytes, now
        min_s = READ_WAIT_SHARE * self.limits.write_timeout_s
        min_s = max(clients_module.MIN_WAIT_S, min_s)
        kind = clients_module.WaitKind.READING
        return clients_module.Wait(kind, self.waits_since, min_s)

    def _wait_kind(self) -> clients_module.WaitKind:
        if self.in_body:
            return clients_module.WaitKind.BODY
        if self.request_started:
            return clients_module.WaitKind.HEADERS
        return clients_module.WaitKind.IDLE

    def evict(self) -> None:
        """Closes the connection in favour of a new one."""
        if self.in_body or (self.request_started and self._can_respond()):
            self._refuse_connection()
            self.transport.close()
        else:
            self._abort("too-many-connections")

    def _refuse_connection(self) -> None:
        self._refuse(503, "too-many-connections", "try another instance")

    def _refuse_request(self) -> None:
        self._refuse(503, "too-many-bytes", "too many requests are received")
        self.held_header_bytes = self.body_bytes = 0

    def _drop_buffers(self) -> None:
        """Drops requests that were sent ahead, or an answer left unread."""
        if self.unread_bytes or not self.has_request:
            self._abort("too-many-bytes")
            return
        self._record_refusal("too-many-bytes")
        # The answer in progress is still sent.
        self.cycle.keep_alive = False


def limited_protocol(
    limits: ConnectionLimits,
    clients: clients_module.Clients,
    refusal_log: refusals.RefusalLog,
) -> type[LimitedProtocol]:
    """Returns a protocol class with the given limits.

    Args:
        limits: The limits of each connection.
        clients: The limits of all connections of the process.
        refusal_log: Counts and logs refusals.
    """
    class_attributes = {
        "limits": limits,
        "clients": clients,
        "gate": clients_module.Gate(),
        "refusal_log": refusal_log,
    }
    return type("LimitedProtocol", (LimitedProtocol,), class_attributes)
