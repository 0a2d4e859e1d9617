"""The platform's object API over HTTP."""

from __future__ import annotations

from typing import Any

import aiohttp
import msgspec

from yuccatally.store import client
from yuccatally.store import once

CALL_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 1.0


class HttpStore:
    """Client of the object API; implements ``client.StoreClient``.

    Attributes:
        base: ``http://IP:PORT`` of the platform.
        calls: Calls made, counted as the platform counts them.
    """

    def __init__(self, base: str) -> None:
        self.base = base
        self.calls = 0
        self.session: aiohttp.ClientSession | None = None

    async def list_objects(self, kind: str = "") -> client.Listing:
        """See ``client.StoreClient.list_objects``."""
        query = f"?kind={kind}" if kind else ""
        return _listing(await self._call("GET", f"/objects{query}"))

    async def get(self, kind: str, name: str) -> client.Stored:
        """See ``client.StoreClient.get``."""
        return _stored(await self._call("GET", f"/objects/{kind}/{name}"))

    async def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        labels: dict[str, str],
        version: int,
    ) -> client.Stored:
        """See ``client.StoreClient.put``."""
        condition = _condition(version)
        body = {"spec": spec, "labels": labels}
        path = f"/objects/{kind}/{name}"
        return _stored(await self._call("PUT", path, condition, body))

    async def delete(self, kind: str, name: str, version: int) -> int:
        """See ``client.StoreClient.delete``."""
        path = f"/objects/{kind}/{name}"
        answer = await self._call("DELETE", path, _condition(version))
        return int(answer["revision"])

    async def watch(self, since: int, wait_s: float) -> client.Listing:
        """See ``client.StoreClient.watch``."""
        path = f"/watch?since={since}&wait={wait_s}"
        timeout_s = wait_s + WATCH_MARGIN_S
        return _listing(await self._call("GET", path, timeout_s=timeout_s))

    async def members(self) -> tuple[client.Member, ...]:
        """See ``client.StoreClient.members``."""
        answer = await self._call("GET", "/instances")
        return msgspec.convert(answer["items"], tuple[client.Member, ...])

    async def close(self) -> None:
        """See ``client.StoreClient.close``."""
        if self.session is not None:
            await self.session.close()

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> dict[str, Any]:
        self.calls += 1
        if self.session is None:
            self.session = aiohttp.ClientSession(middlewares=(once.send_once,))
        try:
            async with self.session.request(
                method,
                self.base + path,
                headers=headers,
                data=None if body is None else msgspec.json.encode(body),
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                payload = await response.read()
                _raise_for(response.status, method, path)
                return msgspec.json.decode(payload)
        except aiohttp.ClientConnectorError as error:
            raise client.StoreError(f"{method} {path}: {error}") from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _lost(method, path, error) from error
        except msgspec.DecodeError as error:
            raise _lost(method, path, error) from error


def _lost(method: str, path: str, error: Exception) -> client.StoreError:
    message = f"{method} {path}: no answer ({type(error).__name__})"
    if method == "GET" and isinstance(error, TimeoutError):
        return client.SilentError(message)
    if method == "GET":
        return client.StoreError(message)
    return client.UncertainError(message)


def _raise_for(status: int, method: str, path: str) -> None:
    message = f"{method} {path}: status {status}"
    match status:
        case 404:
            raise client.NotFoundError(message)
        case 409 | 412:
            raise client.ConflictError(message)
        case 410:
            raise client.CompactedError(message)
        case _ if status >= 500:
            raise _lost(method, path, RuntimeError(message))
        case _ if status >= 400:
            raise client.StoreError(message)


def _condition(version: int) -> dict[str, str]:
    if version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": str(version)}


def _stored(raw: dict[str, Any]) -> client.Stored:
    return msgspec.convert(raw, client.Stored)


def _listing(raw: dict[str, Any]) -> client.Listing:
    return msgspec.convert(raw, client.Listing)
