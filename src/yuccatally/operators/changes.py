"""Checks operators' changes and writes them to the platform."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import msgspec
import structlog

from yuccatally.core.config import changes
from yuccatally.core.config import merge
from yuccatally.core.objects import kinds
from yuccatally.operators import messages
from yuccatally.store import client

if TYPE_CHECKING:
    from collections.abc import Iterable

MERGE_ROUND_COUNT = 64  # at least one concurrent writer succeeds in each round
READ_BACK_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.1

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class _Snapshot:
    """All objects on the platform at one revision.

    Attributes:
        revision: Revision of the platform.
        objects: Objects that pass the checks.
        rejected: Problems of the objects that do not pass.
    """

    revision: int
    objects: tuple[kinds.Object, ...]
    rejected: tuple[str, ...]

    def get(self, kind: str, name: str) -> kinds.Object | None:
        for declared in self.objects:
            if (declared.kind, declared.name) == (kind, name):
                return declared
        return None


class ChangeWriter:
    """Checks changes against the objects on the platform and writes them.

    Attributes:
        store: Client of the platform.
        read_back_timeout_s: Longest time in seconds to determine the result of
            a write whose reply was lost.
    """

    def __init__(
        self,
        store: client.StoreClient,
        read_back_timeout_s: float = READ_BACK_TIMEOUT_S,
    ) -> None:
        self.store = store
        self.read_back_timeout_s = read_back_timeout_s

    async def apply(
        self, change: changes.Change, dry_run: bool = False
    ) -> messages.ChangeReport:
        """Checks a change as a whole and then writes its objects in order."""
        try:
            snapshot = await self._read_snapshot()
        except client.StoreError as error:
            return _unavailable_report(error)
        checked_change = changes.check_change(snapshot.objects, change)
        if checked_change.conflicts:
            return messages.ChangeReport(
                messages.Outcome.CONFLICT,
                snapshot.revision,
                problems=(*checked_change.conflicts, *checked_change.problems),
            )
        if checked_change.problems:
            return messages.ChangeReport(
                messages.Outcome.REFUSED,
                snapshot.revision,
                problems=checked_change.problems,
            )
        if dry_run:
            return _dry_run_report(snapshot, checked_change)
        return await self._write_all(snapshot, checked_change)

    async def edit_labels(
        self,
        kind: str,
        name: str,
        edit: merge.LabelEdit,
        base: dict[str, str] | None,
        force: bool,
    ) -> messages.ChangeReport:
        """Merges a label edit into the labels of one object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            edit: Labels to set and to remove.
            base: Labels that the operator's edit is based on; None for the
                stored ones.
            force: Whether models may be left without a whole pipeline.

        Returns:
            The report. After a concurrent write by another operator, the edit
            is merged again; it is refused if both changed the same label.
        """
        for _ in range(MERGE_ROUND_COUNT):
            try:
                snapshot = await self._read_snapshot()
            except client.StoreError as error:
                return _unavailable_report(error)
            current_object = snapshot.get(kind, name)
            if current_object is None:
                message = f"{kind}/{name} does not exist"
                return messages.ChangeReport(
                    messages.Outcome.REFUSED,
                    snapshot.revision,
                    problems=(message,),
                )
            base = current_object.labels if base is None else base
            merged = merge.merge_labels(base, edit, current_object.labels)
            if merged.is_error():
                return messages.ChangeReport(
                    messages.Outcome.CONFLICT,
                    snapshot.revision,
                    problems=tuple(map(str, merged.error)),
                )
            edited = dataclasses.replace(current_object, labels=merged.ok)
            label_problems = kinds.check_labels(merged.ok)
            change = changes.Change((edited,), force=force)
            checked_change = changes.check_change(snapshot.objects, change)
            problems = (*map(str, label_problems), *checked_change.problems)
            if problems:
                return messages.ChangeReport(
                    messages.Outcome.REFUSED,
                    snapshot.revision,
                    problems=problems,
                )
            report = await self._write_all(snapshot, checked_change)
            if report.outcome is not messages.Outcome.CONFLICT:
                return report
        message = f"{kind}/{name} changes too often; repeat the command"
        return messages.ChangeReport(
            messages.Outcome.CONFLICT, problems=(message,)
        )

    async def _write_all(
        self, snapshot: _Snapshot, checked_change: changes.CheckedChange
    ) -> messages.ChangeReport:
        results = [
            messages.WriteResult(name, messages.Outcome.UNCHANGED)
            for name in checked_change.unchanged
        ]
        revision = snapshot.revision
        outcome = messages.Outcome.UNCHANGED
        for index, write in enumerate(checked_change.writes):
            result = await self._write_one(write, snapshot.revision)
            results.append(result)
            _log.info(
                "operator_write",
                object=result.object,
                outcome=str(result.outcome),
                version=result.version,
                revision=result.revision,
            )
            revision = max(revision, result.revision)
            outcome = _combine_outcomes(outcome, result.outcome)
            if outcome not in _CONTINUE_OUTCOMES:
                # The remaining writes were checked on the condition that this
                # one succeeds.
                results += _not_written_results(
                    checked_change.writes[index + 1 :]
                )
                break
        problems = tuple(
            f"{w.object}: {w.detail}"
            for w in results
            if w.detail and w.outcome not in _CONTINUE_OUTCOMES
        )
        warnings = checked_change.warnings
        if checked_change.writes and outcome in _CONTINUE_OUTCOMES:
            warnings += await self._concurrently_unserved(
                snapshot, checked_change
            )
        return messages.ChangeReport(
            outcome, revision, tuple(results), problems, tuple(warnings)
        )

    async def _concurrently_unserved(
        self, snapshot: _Snapshot, checked_change: changes.CheckedChange
    ) -> tuple[str, ...]:
        """Returns a warning for each model that concurrent changes broke.

        The platform has no transactions over several objects, so two changes
        that are each allowed can break a pipeline together.
        """
        if not any(
            _can_break_pipeline(write) for write in checked_change.writes
        ):
            return ()
        try:
            current = await self._read_snapshot()
        except client.StoreError:
            return (
                "the platform became unavailable before the result was checked",
            )
        reported = " ".join(checked_change.warnings)
        before = changes.unserved_models(snapshot.objects)
        return tuple(
            f"model {model!r} has no whole pipeline now, because another "
            f"change was made at the same time: {reason}"
            for model, reason in changes.unserved_models(
                current.objects
            ).items()
            if model not in before and f"model {model!r}" not in reported
        )

    async def _write_one(
        self, write: merge.Write, since: int
    ) -> messages.WriteResult:
        """Makes one conditional write and determines its result.

        A write without a reply is read back. While it has not taken effect, it
        is sent again, which is safe because it is conditional.
        """
        deadline = time.monotonic() + self.read_back_timeout_s
        uncertain = False
        while True:
            try:
                version, revision = await self._send(write)
                return _applied_result(write, "applied", version, revision)
            except client.UncertainError:
                uncertain = True
            except (client.ConflictError, client.NotFoundError):
                if not uncertain:
                    return _conflict_result(write)
            except client.StoreError as error:
                if not uncertain:
                    return messages.WriteResult(
                        str(write),
                        messages.Outcome.UNAVAILABLE,
                        detail=f"not written: {error}",
                    )
            result = await self._read_back(write, since)
            if result is not None:
                return result
            if time.monotonic() > deadline:
                return messages.WriteResult(
                    str(write),
                    messages.Outcome.UNKNOWN,
                    detail="the write may have taken effect: the platform "
                    "did not answer and could not be read; run 'yuccatally "
                    f"get {write}' when it is available again",
                )
            await asyncio.sleep(RETRY_DELAY_S)

    async def _send(self, write: merge.Write) -> tuple[int, int]:
        if write.declared is None:
            revision = await self.store.delete(
                write.kind, write.name, write.version
            )
            return 0, revision
        stored = await self.store.put(
            write.kind,
            write.name,
            msgspec.to_builtins(write.declared.spec),
            write.declared.labels,
            write.version,
        )
        return stored.version, stored.revision

    async def _read_back(
        self, write: merge.Write, since: int
    ) -> messages.WriteResult | None:
        """Returns the result of a write; None while it is undetermined."""
        try:
            current, history = await self._history(write, since)
        except client.StoreError:
            return None
        past_states = (
            None if history is None else tuple(map(_decode_stored, history))
        )
        current_object = None if current is None else _decode_stored(current)
        version = 0 if current is None else current.version
        latest = history[-1].revision if history else 0
        revision = latest if current is None else current.revision
        match merge.classify_write(write, current_object, past_states):
            case merge.WriteState.APPLIED:
                return _applied_result(write, "applied", version, revision)
            case merge.WriteState.SUPERSEDED:
                return messages.WriteResult(
                    str(write),
                    messages.Outcome.SUPERSEDED,
                    version,
                    revision,
                    "written, and then changed by another operator",
                )
            case merge.WriteState.FAILED:
                return _conflict_result(write)
            case merge.WriteState.PENDING:
                return None
            case merge.WriteState.UNDECIDED:
                return messages.WriteResult(
                    str(write),
                    messages.Outcome.UNKNOWN,
                    version,
                    revision,
                    "the write may have taken effect and been changed since; "
                    f"compare with 'yuccatally get {write}'",
                )

    async def _history(
        self, write: merge.Write, since: int
    ) -> tuple[
        client.StoredObject | None, tuple[client.StoredObject, ...] | None
    ]:
        try:
            current = await self.store.get(write.kind, write.name)
        except client.NotFoundError:
            current = None
        try:
            listing = await self.store.watch(since, 0.0)
        except client.CompactedError:
            return current, None
        key = (write.kind, write.name)
        own_events = [i for i in listing.items if (i.kind, i.name) == key]
        return current, tuple(own_events)

    async def _read_snapshot(self) -> _Snapshot:
        listing = await self.store.list_objects()
        objects = []
        rejected = []
        for stored in listing.items:
            decoded = kinds.decode(client.to_raw(stored))
            if decoded.is_ok():
                objects.append(decoded.ok)
            else:
                rejected.append(str(decoded.error))
        return _Snapshot(listing.revision, tuple(objects), tuple(rejected))


_CONTINUE_OUTCOMES = frozenset(
    {
        messages.Outcome.APPLIED,
        messages.Outcome.SUPERSEDED,
        messages.Outcome.UNCHANGED,
    }
)


def _combine_outcomes(
    so_far: messages.Outcome, new: messages.Outcome
) -> messages.Outcome:
    if new is messages.Outcome.UNCHANGED:
        return so_far
    if so_far is messages.Outcome.SUPERSEDED and new in _CONTINUE_OUTCOMES:
        return so_far
    return new


def _not_written_results(
    writes: Iterable[merge.Write],
) -> list[messages.WriteResult]:
    detail = "not written, because an earlier object of the change was not"
    return [
        messages.WriteResult(
            str(w), messages.Outcome.NOT_WRITTEN, detail=detail
        )
        for w in writes
    ]


def _can_break_pipeline(write: merge.Write) -> bool:
    return write.version > 0 and write.kind in ("engine", "pipeline", "model")


def _dry_run_report(
    snapshot: _Snapshot, checked_change: changes.CheckedChange
) -> messages.ChangeReport:
    return messages.ChangeReport(
        messages.Outcome.CHECKED,
        snapshot.revision,
        tuple(
            messages.WriteResult(str(w), messages.Outcome.CHECKED, w.version)
            for w in checked_change.writes
        ),
        warnings=checked_change.warnings,
    )


def _unavailable_report(error: client.StoreError) -> messages.ChangeReport:
    message = (
        f"the platform is unavailable, nothing was written ({error}); repeat "
        "the command when it is available again"
    )
    return messages.ChangeReport(
        messages.Outcome.UNAVAILABLE, problems=(message,)
    )


def _applied_result(
    write: merge.Write, detail: str, version: int, revision: int
) -> messages.WriteResult:
    shown_detail = "deleted" if write.declared is None else detail
    return messages.WriteResult(
        str(write), messages.Outcome.APPLIED, version, revision, shown_detail
    )


def _conflict_result(write: merge.Write) -> messages.WriteResult:
    return messages.WriteResult(
        str(write),
        messages.Outcome.CONFLICT,
        detail="another operator changed it at the same time, so it was not "
        "written; review it and repeat the command",
    )


def _decode_stored(stored: client.StoredObject) -> kinds.Object | None:
    if stored.deleted:
        return None
    decoded = kinds.decode(client.to_raw(stored))
    if decoded.is_ok():
        return decoded.ok
    # Content that cannot be decoded was written by another operator. The
    # version still shows which write it was.
    return kinds.Object(
        stored.kind, stored.name, stored.spec, stored.labels, stored.version
    )
