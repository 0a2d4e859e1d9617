"""Request and response bodies of the operators' interface."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

import msgspec


class Outcome(enum.StrEnum):
    """Outcome of a change or of the write of one object.

    ``UNKNOWN`` means that a write may have taken effect. ``SUPERSEDED`` means
    that it took effect and that another write followed.
    """

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CHECKED = "checked"
    REFUSED = "refused"
    CONFLICT = "conflict"
    SUPERSEDED = "superseded"
    NOT_WRITTEN = "not-written"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class WriteResult:
    """Result of a change for one object.

    Attributes:
        object: ``KIND/NAME``.
        outcome: Outcome for this object.
        version: Version after the write; 0 if the object does not exist.
        revision: Revision of the store after the write; 0 if not written.
        detail: Explanation and what the operator can do.
    """

    object: str
    outcome: Outcome
    version: int = 0
    revision: int = 0
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class ChangeReport:
    """Result of a change.

    Attributes:
        outcome: Outcome of the change as a whole.
        revision: Revision at which the whole change is in force.
        objects: Result for each object.
        problems: Reasons why the change was refused or not completed.
        warnings: Effects of an accepted change that the operator should know.
    """

    outcome: Outcome
    revision: int = 0
    objects: tuple[WriteResult, ...] = ()
    problems: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /operator/apply``.

    Attributes:
        objects: Objects as mappings; one without ``labels`` keeps its labels.
        delete: Objects to delete as ``KIND/NAME``.
        force: Whether models may be left without a whole pipeline.
        dry_run: Whether to check the change without writing it.
    """

    objects: list[dict[str, Any]] = []
    delete: list[str] = []
    force: bool = False
    dry_run: bool = False


class LabelRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /operator/labels``.

    Attributes:
        object: ``KIND/NAME``.
        set: Labels to set.
        remove: Labels to remove.
        base: Labels that the edit is based on; None for the stored ones.
        force: Whether models may be left without a whole pipeline.
    """

    object: str
    set: dict[str, str] = {}
    remove: list[str] = []
    base: dict[str, str] | None = None
    force: bool = False
