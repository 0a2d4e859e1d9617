"""HTTP calls to the platform's object API, with failures mapped to errors."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import aiohttp
import msgspec

from yuccatally.core.objects import content
from yuccatally.store import bodies
from yuccatally.store import client
from yuccatally.store import connectors
from yuccatally.store import decoding
from yuccatally.store import middlewares

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

T = TypeVar("T")

# Brackets around the members of an object that is a whole response, of one in
# a list of objects, and of one in a list of changes that hold an object each.
OBJECT_NESTING = 1
LIST_NESTING = 3
CHANGES_NESTING = 4
# The store responds within milliseconds, or about 300 ms when it is slow.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Time for the response after the wait of a watch call has ended.
WATCH_MARGIN_S = 1.0
# A page has about 1 MB, and an object with a configuration at most 1 MiB.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Answer:
    """A successful response.

    Attributes:
        headers: Headers, found by their names in any case.
        payload: Body in JSON; see ``decoding.repair``.
    """

    headers: Mapping[str, str]
    payload: bytes


class ObjectApiSession:
    """Makes HTTP calls and raises failures as ``client.StoreError``.

    Attributes:
        base_url: ``http://IP:PORT`` of the platform.
        refusal_statuses: Statuses that guarantee that a call had no effect.
        on_headers: Called with the headers of each response, before its status
            is checked. It may raise ``client.StoreError``.
        call_count: Number of calls, counted as the platform counts them.
    """

    def __init__(
        self,
        base_url: str,
        refusal_statuses: frozenset[int],
        on_headers: Callable[[Mapping[str, str]], None] = lambda headers: None,
    ) -> None:
        self.base_url = base_url
        self.refusal_statuses = refusal_statuses
        self.on_headers = on_headers
        self.call_count = 0
        self.session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        path: str,
        target: type[T],
        headers: dict[str, str] | None = None,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
        member_nesting: int = OBJECT_NESTING,
    ) -> T:
        """Makes one call and returns the body of the response as a type.

        Raises:
            client.StoreError: The call failed; see the subclasses.
        """
        answer = await self.exchange(
            method, path, headers, body, timeout_s, member_nesting
        )
        try:
            return msgspec.json.decode(answer.payload, type=target)
        except content.DECODE_ERRORS as error:
            raise _error_without_answer(method, path, error) from error

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
        member_nesting: int = OBJECT_NESTING,
    ) -> Answer:
        """Makes one call and returns the response.

        Args:
            method: Method of the call.
            path: Path and query.
            headers: Headers of the call.
            body: Body, encoded as JSON; None for none.
            timeout_s: Limit of the whole call, in seconds.
            member_nesting: Nesting of the members of objects in the response;
                see ``decoding.repair``.

        Raises:
            client.StoreError: The call failed; see the subclasses.
        """
        self.call_count += 1
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=connectors.UnusedDataConnector(),
                middlewares=(middlewares.send_at_most_once,),
            )
        try:
            async with self.session.request(
                method,
                self.base_url + path,
                headers=headers,
                data=None if body is None else msgspec.json.encode(body),
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                payload = await bodies.read(response, MAX_RESPONSE_BYTES)
                self.on_headers(response.headers)
                self._raise_for_status(response.status, method, path)
            return Answer(
                response.headers, await decoding.repair(payload, member_nesting)
            )
        except aiohttp.ClientConnectorError as error:
            raise client.StoreError(f"{method} {path}: {error}") from error
        except aiohttp.ConnectionTimeoutError as error:
            raise client.StoreError(f"{method} {path}: {error}") from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _error_without_answer(method, path, error) from error
        except msgspec.DecodeError as error:
            raise _error_without_answer(method, path, error) from error

    async def close(self) -> None:
        """Closes connections."""
        if self.session is not None:
            await self.session.close()

    def _raise_for_status(self, status: int, method: str, path: str) -> None:
        message = f"{method} {path}: status {status}"
        match status:
            case 404:
                raise client.NotFoundError(message)
            case 409 | 412:
                raise client.ConflictError(message)
            case 410:
                raise client.CompactedError(message)
            case _ if status in self.refusal_statuses:
                raise client.StoreError(message)
            case _ if status >= 500:
                raise _error_without_answer(method, path, RuntimeError(message))
            case _ if status >= 400:
                raise client.StoreError(message)


def _error_without_answer(
    method: str, path: str, error: Exception
) -> client.StoreError:
    message = f"{method} {path}: no answer ({type(error).__name__})"
    if method == "GET" and isinstance(error, TimeoutError):
        return client.ReadTimeoutError(message)
    if method == "GET":
        return client.StoreError(message)
    return client.UncertainError(message)
