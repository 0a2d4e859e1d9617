"""Merge of concurrent label edits, and outcome of writes without a reply."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import expression

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccatally.core.objects import kinds


@dataclasses.dataclass(frozen=True)
class LabelEdit:
    """Labels to set and to remove on one object."""

    set: dict[str, str] = dataclasses.field(default_factory=dict)
    removed: tuple[str, ...] = ()

    def desired_values(self) -> dict[str, str | None]:
        """Returns the new value of each edited label; None if removed."""
        return {**self.set, **dict.fromkeys(self.removed)}


@dataclasses.dataclass(frozen=True)
class LabelConflict:
    """A label that another operator changed to a different value.

    Attributes:
        key: Key of the label.
        base: Value on which this operator's edit is based; None if absent.
        yours: Value that this operator requests; None to remove it.
        theirs: Stored value; None if absent.
    """

    key: str
    base: str | None
    yours: str | None
    theirs: str | None

    def __str__(self) -> str:
        """Returns a description with the operator's next step."""
        shown = [
            "absent" if value is None else repr(value)
            for value in (self.base, self.theirs, self.yours)
        ]
        return (
            f"label {self.key!r}: another operator changed it from {shown[0]} "
            f"to {shown[1]}, so {shown[2]} was not written; look at the object "
            "and repeat the command if that is still wanted"
        )


def merge_labels(
    base: Mapping[str, str], edit: LabelEdit, theirs: Mapping[str, str]
) -> expression.Result[dict[str, str], tuple[LabelConflict, ...]]:
    """Applies an edit to labels that may have changed concurrently.

    Args:
        base: Labels on which the edit is based.
        edit: Labels to set and to remove.
        theirs: Labels as currently stored.

    Returns:
        The merged labels, or the edited labels that another operator changed
        to a different value.

    >>> edit = LabelEdit({"zone": "b"})
    >>> merge_labels({"zone": "a"}, edit, {"zone": "a", "new": "x"}).ok
    {'zone': 'b', 'new': 'x'}
    >>> [c.theirs for c in merge_labels(
    ...     {"zone": "a"}, edit, {"zone": "c"}).error]
    ['c']
    """
    merged = dict(theirs)
    conflicts = []
    for key, yours in edit.desired_values().items():
        before, now = base.get(key), theirs.get(key)
        if now not in (before, yours):
            conflicts.append(LabelConflict(key, before, yours, now))
        elif yours is None:
            merged.pop(key, None)
        else:
            merged[key] = yours
    if conflicts:
        return expression.Error(tuple(conflicts))
    return expression.Ok(merged)


@dataclasses.dataclass(frozen=True)
class Write:
    """A conditional write of one object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        declared: New object; None to delete the object.
        version: Stored version required by the write; 0 if the object must not
            exist.
    """

    kind: str
    name: str
    declared: kinds.Object | None
    version: int

    def __str__(self) -> str:
        """Returns ``KIND/NAME``."""
        return f"{self.kind}/{self.name}"

    def produces(self, declared: kinds.Object | None) -> bool:
        """Returns whether a state of the object results from this write."""
        if declared is None or self.declared is None:
            return declared is self.declared
        return (
            declared.version == self.version + 1
            and declared.spec == self.declared.spec
            and declared.labels == self.declared.labels
        )


class WriteState(enum.StrEnum):
    """Outcome of a write whose reply was lost.

    ``PENDING``: the write has not taken effect but still can.
    """

    APPLIED = "applied"
    SUPERSEDED = "superseded"
    PENDING = "pending"
    FAILED = "failed"
    UNDECIDED = "undecided"


def classify_write(
    write: Write,
    current: kinds.Object | None,
    history: Iterable[kinds.Object | None] | None,
) -> WriteState:
    """Determines whether a write whose reply was lost took effect.

    Versions are consecutive, so the state with the version after the required
    one results either from this write or from the one that made it fail.

    Args:
        write: Write whose reply was lost.
        current: Object as read back; None if it does not exist.
        history: States of the object after the version that the write
            requires, in order, None for a deletion; None instead of the
            history if the log has a gap.

    Returns:
        The outcome. A write of the same content by another operator counts as
        this write, because the effect is the same.
    """
    if write.produces(current):
        return WriteState.APPLIED
    if history is not None and any(map(write.produces, history)):
        return WriteState.SUPERSEDED
    version = 0 if current is None else current.version
    if version == write.version:
        # Deleting and recreating the object restarts its versions, so an equal
        # version is conclusive only together with the complete history.
        return WriteState.PENDING if history == () else WriteState.UNDECIDED
    return WriteState.UNDECIDED if history is None else WriteState.FAILED
