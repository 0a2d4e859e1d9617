"""Client of the platform's metadata store."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any
import urllib.parse

import msgspec
import structlog

from yuccatally.core.objects import content
from yuccatally.store import calls
from yuccatally.store import client

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

# Number of times that the store was restored from a copy; in all responses.
EPOCH = "store-era"
MAX_EPOCH_DIGITS = len(str(client.MAX_EPOCH))
# Names are sent to other instances, whose messages are limited in length.
MAX_NAME_CHARS = 256
# Statuses with which the store guarantees that a call had no effect.
_REFUSAL_STATUSES = frozenset({429, 503})

_log = structlog.get_logger()


_Number = Annotated[int, msgspec.Meta(ge=0, lt=client.REVISIONS_PER_EPOCH)]


class _Metadata(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
    revision: _Number


class _Named(msgspec.Struct):
    name: str = ""


class _AnyObject(msgspec.Struct):
    metadata: _Named


class _Object(msgspec.Struct):
    metadata: _Metadata
    # Any value: objects of other writers may be malformed.
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="camel"):
    items: tuple[msgspec.Raw, ...]
    # Revision of the whole store, not of an object.
    at: _Number
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct):
    events: tuple[msgspec.Raw, ...]
    at: _Number


@dataclasses.dataclass(frozen=True)
class _Answer:
    """Body of a response in JSON and the epoch that it belongs to."""

    epoch: int
    payload: bytes


class PlatformStore:
    """Client of the platform's store; implements ``client.StoreClient``.

    The store keeps no labels. The version of an object is the revision of its
    last change.

    Attributes:
        epoch: Latest epoch of the store; it rises when the store is restored
            from a copy and loses changes. None until it is known.
        on_epoch: Called with the epoch when it becomes known or rises.
    """

    def __init__(self, address: str) -> None:
        self.http = calls.ObjectApiSession(
            f"http://{address}", _REFUSAL_STATUSES, self._read_epoch
        )
        self.epoch: int | None = None
        self.on_epoch: Callable[[int], None] = lambda epoch: None

    @property
    def call_count(self) -> int:
        """Number of calls, counted as the platform counts them."""
        return self.http.call_count

    async def list_objects(self, kind: str = "") -> client.Listing:
        """See ``client.StoreClient.list_objects``; the kind is required."""
        items: list[client.StoredObject] = []
        after, first_revision = "", None
        while True:
            query = f"?{urllib.parse.urlencode({'after': after})}"
            answer = await self._call(
                "GET",
                f"/objects/{kind}{query if after else ''}",
                member_nesting=calls.LIST_NESTING,
            )
            page = _decode_page(answer.payload)
            # The watch starts at the revision of the first page, so it repeats
            # changes that happen while later pages are read.
            if first_revision is None:
                first_revision = client.qualify(answer.epoch, page.at)
            elif client.epoch_of(first_revision) != answer.epoch:
                raise client.StoreError(f"{kind}: restored within a list")
            objects = [
                _decode_object(kind, r, answer.epoch) for r in page.items
            ]
            items.extend(o for o in objects if o is not None)
            if not page.has_more:
                return client.Listing(first_revision, tuple(items))
            # The next page starts after a name on this one.
            names = filter(None, map(_decode_name, reversed(page.items)))
            after = next(names, "")
            if not after:
                raise client.StoreError(f"{kind}: no name in a page")

    async def get(self, kind: str, name: str) -> client.StoredObject:
        """See ``client.StoreClient.get``."""
        answer = await self._call("GET", f"/objects/{kind}/{_quote(name)}")
        return _decode_required_object(kind, answer)

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
            answer = await self._call("POST", f"/objects/{kind}", body=body)
            return _decode_required_object(kind, answer)
        metadata = {"name": name, "revision": self._condition(version)}
        answer = await self._call(
            "PUT",
            f"/objects/{kind}/{_quote(name)}",
            body={"metadata": metadata, "spec": spec},
        )
        _check_epoch(answer, version)
        return _decode_required_object(kind, answer)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """See ``client.StoreClient.delete``."""
        number = self._condition(version)
        answer = await self._call(
            "DELETE", f"/objects/{kind}/{_quote(name)}?revision={number}"
        )
        _check_epoch(answer, version)
        return version

    async def watch(
        self, since: int, wait_s: float, kind: str = ""
    ) -> client.Listing:
        """See ``client.StoreClient.watch``; the kind is required.

        A restored store can answer from its new history, as the revision may
        name another change there. The changes before it would be missed.
        """
        epoch = client.epoch_of(since)
        if self.epoch is not None and epoch != self.epoch:
            raise client.CompactedError(f"{kind}: the store was restored")
        wait_ms = max(1, int(wait_s * 1e3))
        answer = await self._call(
            "GET",
            f"/objects/{kind}?watch={client.number_of(since)}&waitMs={wait_ms}",
            timeout_s=wait_s + calls.WATCH_MARGIN_S,
            member_nesting=calls.CHANGES_NESTING,
        )
        if answer.epoch != epoch:
            raise client.CompactedError(f"{kind}: the store was restored")
        try:
            changes = msgspec.json.decode(answer.payload, type=_Events)
        except content.DECODE_ERRORS as error:
            raise client.StoreError(f"watch of {kind}: {error}") from error
        items = (_decode_event(kind, e, epoch) for e in changes.events)
        return client.Listing(
            client.qualify(epoch, changes.at), tuple(i for i in items if i)
        )

    async def members(self) -> tuple[client.Member, ...]:
        """See ``client.StoreClient.members``; this store keeps no such list."""
        return ()

    async def close(self) -> None:
        """See ``client.StoreClient.close``."""
        await self.http.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = calls.CALL_TIMEOUT_S,
        member_nesting: int = calls.OBJECT_NESTING,
    ) -> _Answer:
        """Makes one call and returns the response with its epoch.

        Raises:
            client.StoreError: The call failed, or the store was restored before
                the response was read; see the subclasses.
        """
        answer = await self.http.exchange(
            method,
            path,
            body=body,
            timeout_s=timeout_s,
            member_nesting=member_nesting,
        )
        epoch = _decode_epoch(answer.headers)
        if self.epoch is not None and epoch < self.epoch:
            message = f"{method} {path}: the response is of a lost history"
            if method == "GET":
                raise client.StoreError(message)
            raise client.UncertainError(message)
        return _Answer(epoch, answer.payload)

    def _condition(self, version: int) -> int:
        """Returns the number on which a write of an object depends.

        Raises:
            client.ConflictError: The version is of a lost history, where the
                same number may name another change.
        """
        if client.epoch_of(version) != self.epoch:
            raise client.ConflictError("the version is of a lost history")
        return client.number_of(version)

    def _read_epoch(self, headers: Mapping[str, str]) -> None:
        """Reads the epoch of a response."""
        epoch, known = _decode_epoch(headers), self.epoch
        if known is not None and epoch <= known:
            return
        self.epoch = epoch
        if known is not None:
            _log.warning("store_restored", epoch=epoch, before=known)
        self.on_epoch(epoch)


def _check_epoch(answer: _Answer, version: int) -> None:
    """Checks that a conditional write met the history of its condition.

    Raises:
        client.UncertainError: The store was restored before the write, whose
            condition may hold for another change.
    """
    if answer.epoch != client.epoch_of(version):
        raise client.UncertainError("written after the store was restored")


def _decode_epoch(headers: Mapping[str, str]) -> int:
    """Returns the epoch of a response; 0 if it names no valid one.

    >>> _decode_epoch({EPOCH: "3"}), _decode_epoch({})
    (3, 0)
    """
    text = headers.get(EPOCH, "0").strip()
    if text.isascii() and text.isdigit() and len(text) <= MAX_EPOCH_DIGITS:
        return min(int(text), client.MAX_EPOCH)
    _log.warning("store_epoch_ignored", value=text[: 2 * MAX_EPOCH_DIGITS])
    return 0


def _decode_page(payload: bytes) -> _Page:
    try:
        return msgspec.json.decode(payload, type=_Page)
    except content.DECODE_ERRORS as error:
        raise client.StoreError(f"invalid list of objects: {error}") from error


def _decode_object(
    kind: str, raw: bytes | msgspec.Raw, epoch: int, deleted: bool = False
) -> client.StoredObject | None:
    try:
        decoded = msgspec.json.decode(raw, type=_Object)
    except content.DECODE_ERRORS as error:
        _log.warning("object_ignored", kind=kind, reason=str(error))
        return None
    revision = client.qualify(epoch, decoded.metadata.revision)
    return client.StoredObject(
        kind,
        decoded.metadata.name,
        # A part of the response would keep all of it in memory.
        decoded.spec.copy(),
        {},
        revision,
        revision,
        deleted,
    )


def _decode_name(raw: msgspec.Raw) -> str:
    """Returns the name of an object, valid or not; empty if there is none."""
    try:
        return msgspec.json.decode(raw, type=_AnyObject).metadata.name
    except content.DECODE_ERRORS as error:
        _log.warning("name_ignored", reason=str(error))
        return ""


def _decode_event(
    kind: str, raw: msgspec.Raw, epoch: int
) -> client.StoredObject | None:
    try:
        event = msgspec.json.decode(raw, type=_Event)
    except content.DECODE_ERRORS as error:
        _log.warning("event_ignored", kind=kind, reason=str(error))
        return None
    return _decode_object(kind, event.object, epoch, event.deleted)


def _decode_required_object(kind: str, answer: _Answer) -> client.StoredObject:
    stored = _decode_object(kind, answer.payload, answer.epoch)
    if stored is None:
        raise client.StoreError(f"{kind}: the response holds no valid object")
    return stored


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")
