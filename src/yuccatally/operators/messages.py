"""Bodies of the operators' interface."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

import msgspec


class Outcome(enum.StrEnum):
    """What became of a change or of the write of one object.

    ``UNKNOWN`` means that a write may have taken effect; ``SUPERSEDED`` that
    it did and another one followed.
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
    """What became of one object of a change.

    Attributes:
        object: ``KIND/NAME``.
        outcome: What became of it.
        version: Version after the write; 0 if it does not exist.
        revision: Revision of the store after the write; 0 if not written.
        detail: What happened and what the operator can do.
    """

    object: str
    outcome: Outcome
    version: int = 0
    revision: int = 0
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class ChangeReport:
    """Answer to a change.

    Attributes:
        outcome: What became of the change as a whole.
        revision: Revision at which all of it is in force.
        objects: What became of each object.
        problems: Why it was refused, or not completed.
        warnings: What the operator should know although it was accepted.
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
        dry_run: Whether to check only.
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
        base: Labels that the operator saw; None for those found at the start.
        force: Whether models may be left without a whole pipeline.
    """

    object: str
    set: dict[str, str] = {}
    remove: list[str] = []
    base: dict[str, str] | None = None
    force: bool = False
