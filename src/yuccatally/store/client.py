"""Interface to the platform's object API."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import Protocol

# A store that is restored from a copy gives revisions out again, so they are
# qualified by the epoch of its history: epoch times this number, plus the
# store's own number. Their order is that of the history.
REVISIONS_PER_EPOCH = 10**13
# Later epochs do not fit the 64 bits of a number in a message.
MAX_EPOCH = 900_000


class StoreError(Exception):
    """A call failed and, unless ``UncertainError``, changed nothing."""


class ConflictError(StoreError):
    """The version of the object is not the expected one."""


class NotFoundError(StoreError):
    """The object does not exist."""


class CompactedError(StoreError):
    """The platform no longer keeps the changes since the given revision."""


class ReadTimeoutError(StoreError):
    """A read timed out after the connection was established."""


class UncertainError(StoreError):
    """The response to a write was lost; the write may have taken effect."""


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object as the platform stores it.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        spec: Content, encoded as ``msgspec.Raw`` or decoded; at most 1 MB
            encoded. See ``content.decode``.
        labels: Labels of the object.
        version: Version of the object; the first is 1.
        revision: Revision of the store at the last change of the object,
            qualified by the epoch; see ``qualify``.
        deleted: Whether this entry records a deletion.
    """

    kind: str
    name: str
    spec: Any
    labels: dict[str, str]
    version: int
    revision: int
    deleted: bool = False


def qualify(epoch: int, number: int) -> int:
    """Returns the revision for a store's own number in an epoch.

    >>> qualify(0, 117) < qualify(1, 112)
    True
    >>> epoch_of(qualify(1, 112)), number_of(qualify(1, 112))
    (1, 112)
    """
    return epoch * REVISIONS_PER_EPOCH + number


def epoch_of(revision: int) -> int:
    """Returns the epoch of a revision."""
    return revision // REVISIONS_PER_EPOCH


def is_later_epoch(revision: int, other: int) -> bool:
    """Returns whether a revision is of a later epoch than another."""
    return epoch_of(revision) > epoch_of(other)


def number_of(revision: int) -> int:
    """Returns the store's own number of a revision."""
    return revision % REVISIONS_PER_EPOCH


def to_raw(stored: StoredObject) -> dict[str, Any]:
    """Converts a stored object to the input of ``kinds.decode``."""
    return {k: v for k, v in vars(stored).items() if k != "deleted"}


@dataclasses.dataclass(frozen=True)
class Listing:
    """Objects or changes, with the store revision that they reflect."""

    revision: int
    items: tuple[StoredObject, ...]


@dataclasses.dataclass(frozen=True)
class Member:
    """An entry of the platform's list of instances, which may be outdated."""

    name: str
    data_centre: str
    callers_address: str
    operators_address: str
    peers_address: str
    leaving: bool = False


class StoreClient(Protocol):
    """Interface of the clients of the platform's object API.

    Every method raises ``StoreError`` if the platform is unreachable.

    Attributes:
        call_count: Number of calls, counted as the platform counts them.
        epoch: Latest epoch of the store; it rises when the store is restored
            from a copy. None until it is known.
    """

    call_count: int
    epoch: int | None

    async def list_objects(self, kind: str = "") -> Listing:
        """Returns all objects of one kind, or of all watched kinds."""

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns one object.

        Raises:
            NotFoundError: The object does not exist.
        """

    async def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        labels: dict[str, str],
        version: int,
    ) -> StoredObject:
        """Writes an object if its version is the expected one.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: New content.
            labels: New labels.
            version: Expected version; 0 if the object must not exist.

        Returns:
            The stored object.

        Raises:
            ConflictError: The object has another version.
            UncertainError: The response was lost; read the object to see
                whether the call took effect.
        """

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Deletes an object if its version is the expected one.

        Returns:
            The revision of the deletion.

        Raises:
            ConflictError: The object has another version.
            NotFoundError: The object does not exist.
            UncertainError: The response was lost; read the object to see
                whether the call took effect.
        """

    async def watch(self, since: int, wait_s: float, kind: str = "") -> Listing:
        """Waits for changes after a revision, of one kind or of all kinds.

        Returns:
            Changes in order; empty if ``wait_s`` seconds pass without one.

        Raises:
            CompactedError: The platform no longer keeps the changes since
                ``since``.
        """

    async def members(self) -> tuple[Member, ...]:
        """Returns the platform's list of instances."""

    async def close(self) -> None:
        """Closes connections."""
