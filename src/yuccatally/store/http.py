"""HTTP client of the platform's object API."""

from __future__ import annotations

from typing import Any

import msgspec

from yuccatally.store import calls
from yuccatally.store import client


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
        return _decode_listing(await self.http.call("GET", f"/objects{query}"))

    async def get(self, kind: str, name: str) -> client.StoredObject:
        """See ``client.StoreClient.get``."""
        return _decode_object(
            await self.http.call("GET", f"/objects/{kind}/{name}")
        )

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
            await self.http.call("PUT", path, condition, body)
        )

    async def delete(self, kind: str, name: str, version: int) -> int:
        """See ``client.StoreClient.delete``."""
        path = f"/objects/{kind}/{name}"
        response = await self.http.call(
            "DELETE", path, _precondition_headers(version)
        )
        return int(response["revision"])

    async def watch(
        self, since: int, wait_s: float, kind: str = ""
    ) -> client.Listing:
        """See ``client.StoreClient.watch``."""
        path = f"/watch?since={since}&wait={wait_s}"
        timeout_s = wait_s + calls.WATCH_MARGIN_S
        return _decode_listing(
            await self.http.call("GET", path, timeout_s=timeout_s)
        )

    async def members(self) -> tuple[client.Member, ...]:
        """See ``client.StoreClient.members``."""
        response = await self.http.call("GET", "/instances")
        return msgspec.convert(response["items"], tuple[client.Member, ...])

    async def close(self) -> None:
        """See ``client.StoreClient.close``."""
        await self.http.close()


def _precondition_headers(version: int) -> dict[str, str]:
    if version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": str(version)}


def _decode_object(raw: dict[str, Any]) -> client.StoredObject:
    return msgspec.convert(raw, client.StoredObject)


def _decode_listing(raw: dict[str, Any]) -> client.Listing:
    return msgspec.convert(raw, client.Listing)
