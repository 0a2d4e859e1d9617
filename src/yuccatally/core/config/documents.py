"""Objects in the form in which instances pass them on."""

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
    """An object as stored in the platform, or the record of its deletion."""

    kind: str
    name: str
    revision: int
    version: int = 0
    deleted: bool = False
    spec: dict[str, Any] = {}
    labels: dict[str, str] = {}


@dataclasses.dataclass(frozen=True)
class Blocked:
    """A stored object that this instance cannot put into force.

    Attributes:
        document: The object as stored.
        problem: What is wrong with it.
    """

    document: Document
    problem: str


def event_from(document: Document) -> configuration.Event:
    """Returns the change that a document stands for."""
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
    """Returns the document that ``event_from`` turns into the same change."""
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
    """Returns the complete set that a listing of documents stands for."""
    events = [event_from(d) for d in documents]
    return configuration.Snapshot(
        revision,
        tuple(e.declared for e in events if e.declared is not None),
        tuple(e.blocked for e in events if e.blocked is not None),
    )
