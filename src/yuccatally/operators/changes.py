"""Carries out operators' changes on the platform."""

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

MERGE_ROUNDS = 64  # each round lets at least one concurrent writer through
READ_BACK_S = 5.0
RETRY_S = 0.1

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class _State:
    """All objects that the platform holds at one revision."""

    revision: int
    objects: tuple[kinds.Object, ...]
    rejected: tuple[str, ...]

    def get(self, kind: str, name: str) -> kinds.Object | None:
        for declared in self.objects:
            if (declared.kind, declared.name) == (kind, name):
                return declared
        return None


class ChangeWriter:
    """Checks changes against the platform's objects and writes them.

    Attributes:
        store: The platform.
        read_back_s: Longest time to find out what became of a write whose
            reply was lost, in seconds.
    """

    def __init__(
        self, store: client.StoreClient, read_back_s: float = READ_BACK_S
    ) -> None:
        self.store = store
        self.read_back_s = read_back_s

    async def apply(
        self, change: changes.Change, dry_run: bool = False
    ) -> messages.ChangeReport:
        """Checks a change as a whole and writes its objects one by one."""
        try:
            state = await self._read()
        except client.StoreError as error:
            return _unavailable(error)
        plan = changes.check_change(state.objects, change)
        if plan.conflicts:
            return messages.ChangeReport(
                messages.Outcome.CONFLICT,
                state.revision,
                problems=(*plan.conflicts, *plan.problems),
            )
        if plan.problems:
            return messages.ChangeReport(
                messages.Outcome.REFUSED, state.revision, problems=plan.problems
            )
        if dry_run:
            return _checked(state, plan)
        return await self._carry_out(state, plan)

    async def label(
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
            base: Labels that the operator saw; None for those found now.
            force: Whether models may be left without a whole pipeline.

        Returns:
            The report; on a write by another operator at the same time the
            edit is merged again, and refused if both changed one label.
        """
        for _ in range(MERGE_ROUNDS):
            try:
                state = await self._read()
            except client.StoreError as error:
                return _unavailable(error)
            found = state.get(kind, name)
            if found is None:
                message = f"{kind}/{name} does not exist"
                return messages.ChangeReport(
                    messages.Outcome.REFUSED,
                    state.revision,
                    problems=(message,),
                )
            base = found.labels if base is None else base
            merged = merge.merge_labels(base, edit, found.labels)
            if merged.is_error():
                return messages.ChangeReport(
                    messages.Outcome.CONFLICT,
                    state.revision,
                    problems=tuple(map(str, merged.error)),
                )
            wanted = dataclasses.replace(found, labels=merged.ok)
            checked = kinds.check_labels(merged.ok)
            change = changes.Change((wanted,), force=force)
            plan = changes.check_change(state.objects, change)
            problems = (*map(str, checked), *plan.problems)
            if problems:
                return messages.ChangeReport(
                    messages.Outcome.REFUSED, state.revision, problems=problems
                )
            report = await self._carry_out(state, plan)
            if report.outcome is not messages.Outcome.CONFLICT:
                return report
        message = f"{kind}/{name} changes too often; repeat the command"
        return messages.ChangeReport(
            messages.Outcome.CONFLICT, problems=(message,)
        )

    async def _carry_out(
        self, state: _State, plan: changes.CheckedChange
    ) -> messages.ChangeReport:
        done = [
            messages.WriteResult(name, messages.Outcome.UNCHANGED)
            for name in plan.unchanged
        ]
        revision = state.revision
        outcome = messages.Outcome.UNCHANGED
        for index, write in enumerate(plan.writes):
            written = await self._write(write, state.revision)
            done.append(written)
            _log.info(
                "operator_write",
                object=written.object,
                outcome=str(written.outcome),
                version=written.version,
                revision=written.revision,
            )
            revision = max(revision, written.revision)
            outcome = _combined(outcome, written.outcome)
            if outcome not in _CONTINUE:
                # The later writes were checked together with this one.
                done += _skipped(plan.writes[index + 1 :])
                break
        problems = tuple(
            f"{w.object}: {w.detail}"
            for w in done
            if w.detail and w.outcome not in _CONTINUE
        )
        warnings = plan.warnings
        if plan.writes and outcome in _CONTINUE:
            warnings += await self._found_afterwards(state, plan)
        return messages.ChangeReport(
            outcome, revision, tuple(done), problems, tuple(warnings)
        )

    async def _found_afterwards(
        self, state: _State, plan: changes.CheckedChange
    ) -> tuple[str, ...]:
        """Returns the models that another change at the same time broke.

        The platform has no transaction over several objects, so two changes
        that are each allowed can break a pipeline together.
        """
        if not any(_can_break(write) for write in plan.writes):
            return ()
        try:
            now = await self._read()
        except client.StoreError:
            return ("the platform went away before the result was checked",)
        known = " ".join(plan.warnings)
        before = changes.unserved_models(state.objects)
        return tuple(
            f"model {model!r} has no whole pipeline now, because another "
            f"change was made at the same time: {reason}"
            for model, reason in changes.unserved_models(now.objects).items()
            if model not in before and f"model {model!r}" not in known
        )

    async def _write(
        self, write: merge.Write, since: int
    ) -> messages.WriteResult:
        """Makes one conditional write and finds out what became of it.

        A write without a reply is read back; while it has not taken effect
        it is sent again, which its condition makes safe.
        """
        give_up_at = time.monotonic() + self.read_back_s
        uncertain = False
        while True:
            try:
                version, revision = await self._send(write)
                return _written(write, "applied", version, revision)
            except client.UncertainError:
                uncertain = True
            except (client.ConflictError, client.NotFoundError):
                if not uncertain:
                    return _conflict(write)
            except client.StoreError as error:
                if not uncertain:
                    return messages.WriteResult(
                        str(write),
                        messages.Outcome.UNAVAILABLE,
                        detail=f"not written: {error}",
                    )
            settled = await self._read_back(write, since)
            if settled is not None:
                return settled
            if time.monotonic() > give_up_at:
                return messages.WriteResult(
                    str(write),
                    messages.Outcome.UNKNOWN,
                    detail="the write may have taken effect: the platform "
                    "gave no answer and could not be read; run 'yuccatally "
                    f"get {write}' when it is back",
                )
            await asyncio.sleep(RETRY_S)

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
        """Returns what became of a write, None while that is open."""
        try:
            current, history = await self._history(write, since)
        except client.StoreError:
            return None
        states = None if history is None else tuple(map(_decoded, history))
        found = None if current is None else _decoded(current)
        version = 0 if current is None else current.version
        latest = history[-1].revision if history else 0
        revision = latest if current is None else current.revision
        match merge.classify_write(write, found, states):
            case merge.WriteState.APPLIED:
                return _written(write, "applied", version, revision)
            case merge.WriteState.SUPERSEDED:
                return messages.WriteResult(
                    str(write),
                    messages.Outcome.SUPERSEDED,
                    version,
                    revision,
                    "was written, and another operator changed it since",
                )
            case merge.WriteState.FAILED:
                return _conflict(write)
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
        mine = [i for i in listing.items if (i.kind, i.name) == key]
        return current, tuple(mine)

    async def _read(self) -> _State:
        listing = await self.store.list_objects()
        objects = []
        rejected = []
        for stored in listing.items:
            decoded = kinds.decode(client.to_raw(stored))
            if decoded.is_ok():
                objects.append(decoded.ok)
            else:
                rejected.append(str(decoded.error))
        return _State(listing.revision, tuple(objects), tuple(rejected))


_CONTINUE = frozenset(
    {
        messages.Outcome.APPLIED,
        messages.Outcome.SUPERSEDED,
        messages.Outcome.UNCHANGED,
    }
)


def _combined(
    so_far: messages.Outcome, new: messages.Outcome
) -> messages.Outcome:
    if new is messages.Outcome.UNCHANGED:
        return so_far
    if so_far is messages.Outcome.SUPERSEDED and new in _CONTINUE:
        return so_far
    return new


def _skipped(writes: Iterable[merge.Write]) -> list[messages.WriteResult]:
    detail = "not written, because an earlier object of the change was not"
    return [
        messages.WriteResult(
            str(w), messages.Outcome.NOT_WRITTEN, detail=detail
        )
        for w in writes
    ]


def _can_break(write: merge.Write) -> bool:
    return write.version > 0 and write.kind in ("engine", "pipeline", "model")


def _checked(
    state: _State, plan: changes.CheckedChange
) -> messages.ChangeReport:
    return messages.ChangeReport(
        messages.Outcome.CHECKED,
        state.revision,
        tuple(
            messages.WriteResult(str(w), messages.Outcome.CHECKED, w.version)
            for w in plan.writes
        ),
        warnings=plan.warnings,
    )


def _unavailable(error: client.StoreError) -> messages.ChangeReport:
    message = (
        f"the platform is unavailable, nothing was written ({error}); repeat "
        "the command when it is back"
    )
    return messages.ChangeReport(
        messages.Outcome.UNAVAILABLE, problems=(message,)
    )


def _written(
    write: merge.Write, detail: str, version: int, revision: int
) -> messages.WriteResult:
    shown = "deleted" if write.declared is None else detail
    return messages.WriteResult(
        str(write), messages.Outcome.APPLIED, version, revision, shown
    )


def _conflict(write: merge.Write) -> messages.WriteResult:
    return messages.WriteResult(
        str(write),
        messages.Outcome.CONFLICT,
        detail="another operator changed it at the same time, so it was not "
        "written; look at it and repeat the command",
    )


def _decoded(stored: client.StoredObject) -> kinds.Object | None:
    if stored.deleted:
        return None
    decoded = kinds.decode(client.to_raw(stored))
    if decoded.is_ok():
        return decoded.ok
    # An unreadable content is another operator's write of some version.
    return kinds.Object(
        stored.kind, stored.name, stored.spec, stored.labels, stored.version
    )
