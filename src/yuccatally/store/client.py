"""Interface to the platform's object API."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import Protocol


class StoreError(Exception):
    """A call to the platform did not succeed; nothing was changed by it."""


class ConflictError(StoreError):
    """The object has another version than the call expected."""


class NotFoundError(StoreError):
    """The object does not exist."""


class CompactedError(StoreError):
    """The revision to watch from is not kept any more."""


class ReadTimeoutError(StoreError):
    """No answer to a read came in time, although a connection was up."""


class UncertainError(StoreError):
    """A write may have taken effect although its reply was lost."""


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object as the platform returns it.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        spec: Content; at most 1 MB encoded.
        labels: Labels.
        version: Version of this object, counted from 1.
        revision: Revision of the store at the object's last change.
        deleted: Whether this is the record of a deletion.
    """

    kind: str
    name: str
    spec: dict[str, Any]
    labels: dict[str, str]
    version: int
    revision: int
    deleted: bool = False


def to_raw(stored: StoredObject) -> dict[str, Any]:
    """Returns a stored object in the form that ``kinds.decode`` takes."""
    return {k: v for k, v in vars(stored).items() if k != "deleted"}


@dataclasses.dataclass(frozen=True)
class Listing:
    """Objects or changes, with the revision they lead to."""

    revision: int
    items: tuple[StoredObject, ...]


@dataclasses.dataclass(frozen=True)
class Member:
    """An entry of the platform's lagging list of instances."""

    name: str
    data_centre: str
    callers_address: str
    operators_address: str
    peers_address: str
    leaving: bool = False


class StoreClient(Protocol):
    """What yuccatally needs of the platform's object API.

    Every method raises ``StoreError`` if the platform cannot be reached.

    Attributes:
        call_count: Calls made, counted as the platform counts them.
    """

    call_count: int

    async def list_objects(self, kind: str = "") -> Listing:
        """Returns all objects of one kind, or of every watched kind."""

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns one object.

        Raises:
            NotFoundError: There is none.
        """

    async def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        labels: dict[str, str],
        version: int,
    ) -> StoredObject:
        """Writes an object if it still has the given version.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: New content.
            labels: New labels.
            version: Expected version; 0 if the object must not exist.

        Returns:
            The object as stored.

        Raises:
            ConflictError: The object has another version.
            UncertainError: The reply was lost; read back.
        """

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Deletes an object of a given version.

        Returns:
            The revision of the deletion.

        Raises:
            ConflictError: The object has another version.
            NotFoundError: There is none.
            UncertainError: The reply was lost; read back.
        """

    async def watch(self, since: int, wait_s: float, kind: str = "") -> Listing:
        """Waits for changes after a revision, of one kind or of all.

        Returns:
            Changes in order; empty if none came within ``wait_s`` seconds.

        Raises:
            CompactedError: The revision is not kept any more.
        """

    async def members(self) -> tuple[Member, ...]:
        """Returns the platform's list of instances."""

    async def close(self) -> None:
        """Closes connections."""
