"""Client of the operators' interface."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import ssl
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import msgspec

from yuccatally.cli import exits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CALL_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 3.0
SEND_ROUND_COUNT = 3
RESEND_DELAY_S = 0.5


class UnreachableError(Exception):
    """No instance could be reached; nothing was sent."""


class LostReplyError(Exception):
    """A request was sent but no response arrived."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """Response of an instance."""

    address: str
    status: int
    content: Any


@dataclasses.dataclass(frozen=True)
class ConnectionOptions:
    """Addresses and credentials of the operators' interface.

    Attributes:
        addresses: ``IP:PORT`` or ``https://IP:PORT``; the first that can be
            reached is used.
        key: The operators' key; empty for none.
        authority_file: PEM certificates to verify instances against.
    """

    addresses: tuple[str, ...]
    key: str = dataclasses.field(default="", repr=False)
    authority_file: str = ""

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[Client]:
        """Opens a client for the duration of a context."""
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            yield Client(self, session)


class Client:
    """Client of the operators' interface of one of several instances."""

    def __init__(
        self, connection: ConnectionOptions, session: aiohttp.ClientSession
    ) -> None:
        self.connection = connection
        self.session = session
        self.ssl_context = None
        if any(a.startswith("https:") for a in connection.addresses):
            self.ssl_context = ssl.create_default_context(
                cafile=connection.authority_file or None
            )

    async def get(self, path: str, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Returns the content of a response; exits the command on an error."""
        failure: Exception | None = None
        for address in self.connection.addresses:
            try:
                reply = await self.send(address, "GET", path, None, timeout_s)
            except (UnreachableError, LostReplyError) as error:
                failure = error
                continue
            return _checked_content(reply)
        raise exits.failure(exits.ExitStatus.UNAVAILABLE, str(failure))

    async def send_change(
        self, method: str, path: str, body: Any = None
    ) -> Reply:
        """Sends a change and repeats it if the reply was lost.

        A change specifies the desired content, so repeating it has no further
        effect, and the reply to the repetition shows the content in force.

        Returns:
            The reply; the command exits if there is none.
        """
        lost_reply_message = ""
        for _ in range(SEND_ROUND_COUNT):
            for address in self.connection.addresses:
                try:
                    reply = await self.send(address, method, path, body)
                except UnreachableError as error:
                    failure = str(error)
                    continue
                except LostReplyError as error:
                    lost_reply_message = failure = str(error)
                    continue
                if (
                    lost_reply_message
                    and method == "DELETE"
                    and _reports_absent(reply)
                ):
                    content = {"outcome": "applied", "revision": 0}
                    return Reply(reply.address, 200, content)
                _check_access(reply)
                return reply
            if not lost_reply_message:
                raise exits.failure(
                    exits.ExitStatus.UNAVAILABLE,
                    f"{failure}; nothing was changed",
                )
            await asyncio.sleep(RESEND_DELAY_S)
        raise exits.failure(
            exits.ExitStatus.UNKNOWN,
            f"{lost_reply_message}; the change may have been made. Repeat the "
            "command when an instance can be reached: the change is not made "
            "twice",
        )

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Reply:
        """Sends one request to one instance.

        Raises:
            UnreachableError: Nothing was sent.
            LostReplyError: The request was sent but not answered.
        """
        base_url = address if "//" in address else f"http://{address}"
        headers = {"Content-Type": "application/json"}
        if self.connection.key:
            headers["Authorization"] = f"Bearer {self.connection.key}"
        try:
            async with self.session.request(
                method,
                base_url + path,
                headers=headers,
                data=None if body is None else msgspec.json.encode(body),
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
                ssl=self.ssl_context or True,
            ) as response:
                payload = await response.read()
                content = _decode(payload, response.content_type)
                return Reply(address, response.status, content)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            reason = str(error) or type(error).__name__
            message = f"{address}: cannot be reached ({reason})"
            raise UnreachableError(message) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            message = f"{address}: did not answer ({type(error).__name__})"
            raise LostReplyError(message) from error


def _decode(payload: bytes, content_type: str) -> Any:
    if content_type != "application/json":
        return payload.decode(errors="replace")
    try:
        return msgspec.json.decode(payload)
    except msgspec.DecodeError:
        return payload.decode(errors="replace")


def _checked_content(reply: Reply) -> Any:
    _check_access(reply)
    if reply.status == 200:
        return reply.content
    if reply.status == 503:
        raise exits.failure(exits.ExitStatus.UNAVAILABLE, error_text(reply))
    raise exits.failure(exits.ExitStatus.REFUSED, error_text(reply))


def error_text(reply: Reply) -> str:
    """Returns the message of an error response."""
    if isinstance(reply.content, dict) and "error" in reply.content:
        return str(reply.content["error"])
    return f"{reply.address}: answered with status {reply.status}"


def _check_access(reply: Reply) -> None:
    if reply.status == 401:
        raise exits.failure(
            exits.ExitStatus.NO_ACCESS,
            f"{reply.address}: the operators' key is missing or wrong; give "
            "it with --key-file FILE or in YUCCATALLY_KEY",
        )


def _reports_absent(reply: Reply) -> bool:
    problems = (
        reply.content.get("problems", [])
        if isinstance(reply.content, dict)
        else []
    )
    return any(p.endswith("does not exist") for p in problems)
