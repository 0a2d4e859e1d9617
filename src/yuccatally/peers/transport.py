"""Request-reply messaging between instances over pynng."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import hashlib
import hmac
import inspect
import math
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pynng
import structlog

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Handler = Callable[[Any], Any | Awaitable[Any]]

FRAME_LIMIT_BYTES = 64 * 1024
MAX_SOCKET_COUNT = 32
REPLY_CONTEXT_COUNT = 16
RECEIVE_RETRY_DELAY_S = 0.05
CLOSE_TIMEOUT_S = 1.0
NO_RESEND_MS = -1
MAC_BYTES = 16
# msgspec raises RecursionError for deeply nested arrays.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeDecodeError)

# By default nng starts one thread per core and role, 31 on a machine with 10
# cores. A few kilobytes of frames per second need no parallel work.
NNG_THREADS = {
    pynng.lib.NNG_INIT_NUM_TASK_THREADS: 2,
    pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS: 1,
    pynng.lib.NNG_INIT_NUM_POLLER_THREADS: 1,
    pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS: 1,
}
for _parameter, _count in NNG_THREADS.items():
    pynng.lib.nng_init_set_parameter(_parameter, _count)

_log = structlog.get_logger()


class PeerError(Exception):
    """An exchange with another instance failed.

    The other instance may have handled the message.
    """


class UnreachableError(PeerError):
    """No connection was established before the deadline; nothing was sent."""


class FrameTooLongError(PeerError):
    """The message is longer than ``FRAME_LIMIT_BYTES``; nothing was sent."""


class _Frame(msgspec.Struct, array_like=True, frozen=True):
    """Envelope of a message.

    Attributes:
        kind: Name of the message type.
        body: Encoded message.
        error: Set in a reply if the message was not handled.
        mac: Message authentication code with the key that the instances share.
    """

    kind: str
    body: msgspec.Raw
    error: str = ""
    mac: bytes = b""


@dataclasses.dataclass
class Traffic:
    """Bytes and exchanges since the transport was opened.

    Attributes:
        sent_bytes: Bytes of requests and replies passed to pynng.
        received_bytes: Bytes of requests and replies received.
        exchanges: Exchanges started.
        failed: Exchanges that ended in a ``PeerError``.
        served: Messages replied to.
        opened: Sockets opened.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    exchanges: int = 0
    failed: int = 0
    served: int = 0
    opened: int = 0


class _OutgoingSocket:
    """A socket that sends requests to one address.

    Attributes:
        connected: Set when the first connection is established.
        users: Number of exchanges that use the socket.
        retired: Whether the socket closes when no exchange uses it.
    """

    def __init__(self, address: str) -> None:
        self.connected = asyncio.Event()
        self.users = 0
        self.retired = False
        self.socket = pynng.Req0(
            recv_max_size=FRAME_LIMIT_BYTES, resend_time=NO_RESEND_MS
        )
        loop = asyncio.get_running_loop()

        def on_connect(_pipe: pynng.Pipe) -> None:
            # nng calls this on a thread of its own, possibly after the event
            # loop was closed.
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(self.connected.set)

        self.socket.add_post_pipe_connect_cb(on_connect)
        self.socket.dial(f"tcp://{address}", block=False)

    def retire(self) -> None:
        """Closes the socket as soon as no exchange uses it."""
        self.retired = True
        if self.users == 0:
            self.socket.close()


class PeerTransport:
    """Sends messages to other instances and replies to theirs.

    A message type is a ``msgspec.Struct`` with ``array_like=True`` and a class
    variable ``reply`` that is the type of its reply. New fields are appended
    with a default, so that instances of different versions can exchange
    messages.

    Attributes:
        address: ``IP:PORT`` to listen on.
        traffic: Counts since the transport was opened.
    """

    def __init__(self, address: str, key: str = "") -> None:
        """Initializes a transport without opening it.

        Args:
            address: ``IP:PORT`` to listen on.
            key: Secret that all instances share; empty to disable
                authentication.
        """
        self.address = address
        self.frames = _Frames(key)
        self.traffic = Traffic()
        self.handlers: dict[str, tuple[type, Handler]] = {}
        self.outgoing: collections.OrderedDict[str, _OutgoingSocket] = (
            collections.OrderedDict()
        )
        self.listener: pynng.Rep0 | None = None
        self.workers: list[asyncio.Task[None]] = []
        self.closed = False

    def register(self, message_type: type, handler: Handler) -> None:
        """Sets the handler of a message type.

        Args:
            message_type: Type with a class variable ``reply``.
            handler: Function or coroutine function that returns the reply. An
                exception is logged and reported to the sender.
        """
        self.handlers[message_type.__name__] = (message_type, handler)

    def open(self) -> None:
        """Starts to listen and to reply to messages.

        Raises:
            PeerError: The transport cannot listen on the address.
        """
        listener = pynng.Rep0(recv_max_size=FRAME_LIMIT_BYTES)
        try:
            listener.listen(f"tcp://{self.address}")
        except pynng.NNGException as error:
            listener.close()
            raise PeerError(f"{self.address}: {error}") from error
        self.listener = listener
        self.workers = [
            asyncio.create_task(self._serve(listener))
            for _ in range(REPLY_CONTEXT_COUNT)
        ]

    async def exchange(
        self, address: str, message: Any, timeout_s: float
    ) -> Any:
        """Sends a message and returns its reply.

        Args:
            address: ``IP:PORT`` of the peers listener of an instance.
            message: Instance of a message type.
            timeout_s: Timeout of the whole exchange, in seconds.

        Raises:
            UnreachableError: No connection was established in time.
            FrameTooLongError: The message exceeds ``FRAME_LIMIT_BYTES``.
            PeerError: No reply arrived in time, or the message was not
                handled.
        """
        kind = type(message).__name__
        frame = self.frames.encode(kind, message)
        self.traffic.exchanges += 1
        outgoing = self._get_socket(address)
        outgoing.users += 1
        try:
            reply = await self._send_and_receive(outgoing, frame, timeout_s)
        except (TimeoutError, pynng.NNGException) as error:
            self.traffic.failed += 1
            self._discard(address, outgoing)
            message = f"{kind} to {address}: {type(error).__name__}"
            if not outgoing.connected.is_set():
                raise UnreachableError(message) from error
            raise PeerError(message) from error
        finally:
            outgoing.users -= 1
            if outgoing.retired:
                outgoing.retire()
        return _decode_reply(kind, type(message).reply, reply, self.frames)

    async def close(self) -> None:
        """Closes all sockets."""
        self.closed = True
        if self.listener is not None:
            # Ends the workers, which must not be cancelled; see
            # ``_send_and_receive``.
            self.listener.close()
            await asyncio.wait(self.workers, timeout=CLOSE_TIMEOUT_S)
        for outgoing in self.outgoing.values():
            outgoing.retire()
        self.outgoing.clear()

    async def _send_and_receive(
        self, outgoing: _OutgoingSocket, frame: bytes, timeout_s: float
    ) -> bytes:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        # If an exchange is abandoned while its message waits for a connection,
        # pynng does not free the message, so wait for the connection first.
        async with asyncio.timeout(timeout_s):
            await outgoing.connected.wait()
        # From here nng enforces the deadline. pynng drops a cancellation that
        # arrives while an operation completes, and the next operation would
        # never end.
        remaining_ms = max(1, math.ceil((deadline - loop.time()) * 1000))
        outgoing.socket.send_timeout = remaining_ms
        outgoing.socket.recv_timeout = remaining_ms
        with outgoing.socket.new_context() as context:
            await context.asend(frame)
            self.traffic.sent_bytes += len(frame)
            reply = await context.arecv()
        self.traffic.received_bytes += len(reply)
        return reply

    def _get_socket(self, address: str) -> _OutgoingSocket:
        existing = self.outgoing.get(address)
        if existing is not None:
            self.outgoing.move_to_end(address)
            return existing
        if self.closed:
            raise PeerError("the transport is closed")
        while len(self.outgoing) >= MAX_SOCKET_COUNT:
            _, oldest = self.outgoing.popitem(last=False)
            oldest.retire()
        opened = _OutgoingSocket(address)
        self.traffic.opened += 1
        self.outgoing[address] = opened
        return opened

    def _discard(self, address: str, failed: _OutgoingSocket) -> None:
        """Prevents the next exchange from using a silent connection."""
        if self.outgoing.get(address) is failed:
            del self.outgoing[address]
        failed.retired = True

    async def _serve(self, listener: pynng.Rep0) -> None:
        context = listener.new_context()
        try:
            while not self.closed:
                try:
                    received = await context.arecv()
                    self.traffic.received_bytes += len(received)
                    reply = await self._handle(received)
                    self.traffic.served += 1
                    self.traffic.sent_bytes += len(reply)
                    await context.asend(reply)
                except pynng.Closed:
                    return
                except pynng.NNGException as error:
                    _log.warning("peer_reply_failed", error=str(error))
                    await asyncio.sleep(RECEIVE_RETRY_DELAY_S)
        finally:
            with contextlib.suppress(pynng.NNGException):
                context.close()

    async def _handle(self, received: bytes) -> bytes:
        try:
            frame = self.frames.decode(received)
            if frame.kind not in self.handlers:
                return self.frames.error_reply(
                    frame.kind, "unknown message type"
                )
            message_type, handler = self.handlers[frame.kind]
            message = msgspec.msgpack.decode(frame.body, type=message_type)
        except (PeerError, *DECODE_ERRORS) as error:
            return self.frames.error_reply("", f"not a valid message: {error}")
        try:
            reply = handler(message)
            if inspect.isawaitable(reply):
                reply = await reply
            return self.frames.encode(frame.kind, reply)
        except Exception as error:
            _log.exception("peer_message_failed", kind=frame.kind)
            text = f"not handled: {type(error).__name__}"
            return self.frames.error_reply(frame.kind, text)


class _Frames:
    """Encodes frames and verifies received ones."""

    def __init__(self, key: str) -> None:
        self.key = hashlib.sha256(key.encode()).digest() if key else b""

    def encode(self, kind: str, message: Any) -> bytes:
        """Returns the frame of a message.

        Raises:
            FrameTooLongError: The frame is longer than ``FRAME_LIMIT_BYTES``.
        """
        body = msgspec.Raw(msgspec.msgpack.encode(message))
        frame = msgspec.msgpack.encode(self._sign(kind, body, ""))
        if len(frame) > FRAME_LIMIT_BYTES:
            raise FrameTooLongError(
                f"{kind}: {len(frame)} bytes, the limit is "
                f"{FRAME_LIMIT_BYTES}; send it in parts"
            )
        return frame

    def error_reply(self, kind: str, error: str) -> bytes:
        """Returns the frame of a reply that reports an error."""
        empty = msgspec.Raw(msgspec.msgpack.encode(None))
        return msgspec.msgpack.encode(self._sign(kind, empty, error))

    def decode(self, received: bytes) -> _Frame:
        """Decodes a frame and verifies its authentication code.

        Raises:
            PeerError: The frame is malformed or was signed with another key.
        """
        try:
            frame = msgspec.msgpack.decode(received, type=_Frame)
        except DECODE_ERRORS as error:
            raise PeerError(f"not a valid frame: {error}") from error
        expected = self._sign(frame.kind, frame.body, frame.error)
        if not hmac.compare_digest(expected.mac, frame.mac):
            raise PeerError(
                "the frame was made with another key; set the same peers.key"
            )
        return frame

    def _sign(self, kind: str, body: msgspec.Raw, error: str) -> _Frame:
        if not self.key:
            return _Frame(kind, body, error)
        mac = hashlib.blake2b(key=self.key, digest_size=MAC_BYTES)
        for part in (kind.encode(), error.encode(), bytes(body)):
            mac.update(len(part).to_bytes(4, "big") + part)
        return _Frame(kind, body, error, mac.digest())


def _decode_reply(
    kind: str, reply_type: type, reply: bytes, frames: _Frames | None = None
) -> Any:
    frame = (frames or _Frames("")).decode(reply)
    if frame.error:
        raise PeerError(f"{kind}: {frame.error}")
    try:
        return msgspec.msgpack.decode(frame.body, type=reply_type)
    except DECODE_ERRORS as error:
        raise PeerError(f"{kind}: invalid reply: {error}") from error
