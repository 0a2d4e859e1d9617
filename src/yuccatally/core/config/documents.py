"""Objects as exchanged between instances."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from yuccatally.core.config import configuration
from yuccatally.core.objects import kinds

if TYPE_CHECKING:
    from collections.abc import Iterable


class Document(msgspec.Struct, array_like=True, frozen=True):
    """An object as stored on the platform, or a tombstone of it."""

    kind: str
    name: str
    revision: int
    version: int = 0
    deleted: bool = False
    spec: dict[str, Any] = {}
    labels: dict[str, str] = {}


@dataclasses.dataclass(frozen=True)
class Blocked:
    """A stored object that this instance cannot apply.

    Attributes:
        document: Object as stored.
        problem: Errors found in the object.
    """

    document: Document
    problem: str


def event_from(document: Document) -> configuration.Event:
    """Returns the event for a document; invalid objects are blocked."""
    declared = blocked = None
    if not document.deleted:
        decoded = kinds.decode(
            {
                "kind": document.kind,
                "name": document.name,
                "spec": document.spec,
                "labels": document.labels,
                "version": document.version,
                "revision": document.revision,
            }
        )
        if decoded.is_error():
            blocked = Blocked(document, str(decoded.error))
        else:
            declared = decoded.ok
    return configuration.Event(
        document.revision, document.kind, document.name, declared, blocked
    )


def document_from(event: configuration.Event) -> Document:
    """Returns the document for an event; the inverse of ``event_from``."""
    if event.blocked is not None:
        return event.blocked.document
    if event.declared is None:
        return Document(event.kind, event.name, event.revision, deleted=True)
    declared = event.declared
    return Document(
        declared.kind,
        declared.name,
        event.revision,
        declared.version,
        False,
        msgspec.to_builtins(declared.spec),
        declared.labels,
    )


def snapshot_from(
    documents: Iterable[Document], revision: int
) -> configuration.Snapshot:
    """Returns the snapshot for a complete listing of documents."""
    events = [event_from(d) for d in documents]
    return configuration.Snapshot(
        revision,
        tuple(e.declared for e in events if e.declared is not None),
        tuple(e.blocked for e in events if e.blocked is not None),
    )
