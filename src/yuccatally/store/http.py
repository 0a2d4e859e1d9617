"""HTTP client of the platform's object API."""

from __future__ import annotations

from typing import Any

import msgspec
import structlog

from yuccatally.core.objects import content
from yuccatally.store import calls
from yuccatally.store import client

_log = structlog.get_logger()


class _Object(msgspec.Struct):
    kind: str
    name: str
    spec: msgspec.Raw
    labels: dict[str, str]
    version: int
    revision: int
    deleted: bool = False


class _Page(msgspec.Struct):
    revision: int
    items: tuple[_Object, ...]


class _Deletion(msgspec.Struct):
    revision: int


class _Members(msgspec.Struct):
    items: tuple[client.Member, ...]


class HttpStore:
    """Client of the object API; implements ``client.StoreClient``.

    Attributes:
        epoch: Always 0; this store is never restored.
    """

    def __init__(self, base_url: str) -> None:
        self.http = calls.ObjectApiSession(
            base_url, refusal_statuses=frozenset()
        )
        self.epoch = 0

    @property
    def base_url(self) -> str:
        """``http://IP:PORT`` of the platform."""
        return self.http.base_url

    @property
    def call_count(self) -> int:
        """Number of calls, counted as the platform counts them."""
        return self.http.call_count

    async def list_objects(self, kind: str = "") -> client.Listing:
        """See ``client.StoreClient.list_objects``."""
        query = f"?kind={kind}" if kind else ""
        return await self._list(f"/objects{query}")

    async def get(self, kind: str, name: str) -> client.StoredObject:
        """See ``client.StoreClient.get``."""
        path = f"/objects/{kind}/{name}"
        return _decode_object(await self.http.call("GET", path, _Object))

    async def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        labels: dict[str, str],
        version: int,
    ) -> client.StoredObject:
        """See ``client.StoreClient.put``."""
        condition = _precondition_headers(version)
        body = {"spec": spec, "labels": labels}
        path = f"/objects/{kind}/{name}"
        return _decode_object(
            await self.http.call("PUT", path, _Object, condition, body)
        )

    async def delete(self, kind: str, name: str, version: int) -> int:
        """See ``client.StoreClient.delete``."""
        path = f"/objects/{kind}/{name}"
        response = await self.http.call(
            "DELETE", path, _Deletion, _precondition_headers(version)
        )
        return response.revision

    async def watch(
        self, since: int, wait_s: float, kind: str = ""
    ) -> client.Listing:
        """See ``client.StoreClient.watch``."""
        path = f"/watch?since={since}&wait={wait_s}"
        timeout_s = wait_s + calls.WATCH_MARGIN_S
        return await self._list(path, timeout_s)

    async def members(self) -> tuple[client.Member, ...]:
        """See ``client.StoreClient.members``."""
        response = await self.http.call("GET", "/instances", _Members)
        return response.items

    async def close(self) -> None:
        """See ``client.StoreClient.close``."""
        await self.http.close()

    async def _list(
        self, path: str, timeout_s: float = calls.CALL_TIMEOUT_S
    ) -> client.Listing:
        """Makes a call that returns objects or changes."""
        page = await self.http.call(
            "GET",
            path,
            _Page,
            timeout_s=timeout_s,
            member_nesting=calls.LIST_NESTING,
        )
        items = tuple(_decode_object(o) for o in page.items)
        return client.Listing(page.revision, items)


def _precondition_headers(version: int) -> dict[str, str]:
    if version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": str(version)}


def _decode_object(raw: _Object) -> client.StoredObject:
    """Returns an object; a specification that is invalid remains encoded."""
    try:
        spec = content.decode(raw.spec, dict[str, Any])
    except content.DECODE_ERRORS as error:
        _log.warning("spec_invalid", name=raw.name, reason=str(error))
        spec = raw.spec
    return client.StoredObject(
        raw.kind,
        raw.name,
        spec,
        raw.labels,
        raw.version,
        raw.revision,
        raw.deleted,
    )
