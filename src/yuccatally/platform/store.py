"""Client of the platform's metadata store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

import msgspec
import structlog

from yuccatally.store import calls
from yuccatally.store import client

if TYPE_CHECKING:
    from collections.abc import Mapping

# Number of times that the store was restored from a copy; in all responses.
EPOCH = "store-era"
MAX_EPOCH_DIGITS = 5
# Statuses with which the store guarantees that a call had no effect.
_REFUSAL_STATUSES = frozenset({429, 503})

_log = structlog.get_logger()


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    # Any value: objects of other writers may be malformed.
    spec: Any = None


class _Page(msgspec.Struct, rename="camel"):
    items: tuple[Any, ...]
    # Revision of the whole store, not of an object.
    at: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: Any
    deleted: bool = False


class _Events(msgspec.Struct):
    events: tuple[_Event, ...]
    at: int


class PlatformStore:
    """Client of the platform's store; implements ``client.StoreClient``.

    The store keeps no labels. The version of an object is the revision of its
    last change.

    Attributes:
        epoch: Latest epoch of the store; it rises when the store is restored
            from a copy and loses changes. 0 until it is known.
    """

    def __init__(self, address: str) -> None:
        self.http = calls.ObjectApiSession(
            f"http://{address}", _REFUSAL_STATUSES, self._read_epoch
        )
        self.epoch = 0

    @property
    def call_count(self) -> int:
        """Number of calls, counted as the platform counts them."""
        return self.http.call_count

    async def list_objects(self, kind: str = "") -> client.Listing:
        """See ``client.StoreClient.list_objects``; the kind is required."""
        items: list[client.StoredObject] = []
        after, first_revision = "", 0
        while True:
            query = f"?{urllib.parse.urlencode({'after': after})}"
            page = _decode_page(
                await self.http.call(
                    "GET", f"/objects/{kind}{query if after else ''}"
                )
            )
            # The watch starts at the revision of the first page, so it repeats
            # changes that happen while later pages are read.
            first_revision = first_revision or page.at
            objects = [_decode_object(kind, raw) for raw in page.items]
            items.extend(o for o in objects if o is not None)
            if not page.has_more:
                return client.Listing(first_revision, tuple(items))
            readable = [o.name for o in objects if o is not None]
            if not readable:
                # The next page starts after a name on this one.
                raise client.StoreError(f"{kind}: no readable object in a page")
            after = readable[-1]

    async def get(self, kind: str, name: str) -> client.StoredObject:
        """See ``client.StoreClient.get``."""
        raw = await self.http.call("GET", f"/objects/{kind}/{_quote(name)}")
        return _decode_required_object(kind, raw)

    async def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        labels: dict[str, str],
        version: int,
    ) -> client.StoredObject:
        """See ``client.StoreClient.put``."""
        if version == 0:
            body = {"metadata": {"name": name}, "spec": spec}
            raw = await self.http.call("POST", f"/objects/{kind}", body=body)
            return _decode_required_object(kind, raw)
        metadata = {"name": name, "revision": version}
        raw = await self.http.call(
            "PUT",
            f"/objects/{kind}/{_quote(name)}",
            body={"metadata": metadata, "spec": spec},
        )
        return _decode_required_object(kind, raw)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """See ``client.StoreClient.delete``."""
        await self.http.call(
            "DELETE", f"/objects/{kind}/{_quote(name)}?revision={version}"
        )
        return version

    async def watch(
        self, since: int, wait_s: float, kind: str = ""
    ) -> client.Listing:
        """See ``client.StoreClient.watch``; the kind is required."""
        wait_ms = max(1, int(wait_s * 1e3))
        raw = await self.http.call(
            "GET",
            f"/objects/{kind}?watch={since}&waitMs={wait_ms}",
            timeout_s=wait_s + calls.WATCH_MARGIN_S,
        )
        try:
            changes = msgspec.convert(raw, _Events)
        except msgspec.MsgspecError as error:
            raise client.StoreError(f"watch of {kind}: {error}") from error
        items = (
            _decode_object(kind, e.object, e.deleted) for e in changes.events
        )
        return client.Listing(changes.at, tuple(i for i in items if i))

    async def members(self) -> tuple[client.Member, ...]:
        """See ``client.StoreClient.members``; this store keeps no such list."""
        return ()

    async def close(self) -> None:
        """See ``client.StoreClient.close``."""
        await self.http.close()

    def _read_epoch(self, headers: Mapping[str, str]) -> None:
        """Reads the epoch of a response."""
        epoch = _decode_epoch(headers)
        if epoch > self.epoch:
            if self.epoch:
                _log.warning("store_restored", epoch=epoch, before=self.epoch)
            self.epoch = epoch


def _decode_epoch(headers: Mapping[str, str]) -> int:
    """Returns the epoch of a response; 0 if it names no valid one.

    >>> _decode_epoch({EPOCH: "3"}), _decode_epoch({})
    (3, 0)
    """
    text = headers.get(EPOCH, "0").strip()
    if text.isascii() and text.isdigit() and len(text) <= MAX_EPOCH_DIGITS:
        return int(text)
    _log.warning("store_epoch_ignored", value=text[: 2 * MAX_EPOCH_DIGITS])
    return 0


def _decode_page(raw: Any) -> _Page:
    try:
        return msgspec.convert(raw, _Page)
    except msgspec.MsgspecError as error:
        raise client.StoreError(f"invalid list of objects: {error}") from error


def _decode_object(
    kind: str, raw: Any, deleted: bool = False
) -> client.StoredObject | None:
    try:
        decoded = msgspec.convert(raw, _Object)
    except msgspec.MsgspecError as error:
        _log.warning("object_ignored", kind=kind, reason=str(error))
        return None
    revision = decoded.metadata.revision
    return client.StoredObject(
        kind,
        decoded.metadata.name,
        decoded.spec,
        {},
        revision,
        revision,
        deleted,
    )


def _decode_required_object(kind: str, raw: Any) -> client.StoredObject:
    stored = _decode_object(kind, raw)
    if stored is None:
        raise client.StoreError(f"{kind}: the response holds no valid object")
    return stored


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")
