"""Validation of a change to several objects, and the order of its writes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.config import configuration
from yuccatally.core.config import merge
from yuccatally.core.objects import kinds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core import strict

Key = tuple[str, str]

# Referenced kinds are written before and deleted after those that refer to
# them.
KIND_ORDER = (
    "client_account",
    "service",
    "engine",
    "model",
    "pipeline",
    "placement",
    "routing_rule",
)


@dataclasses.dataclass(frozen=True)
class Change:
    """A change requested by an operator.

    Attributes:
        objects: New objects. A version above 0 is the version that the
            operator edited; the change is refused if the stored version
            differs.
        keep_labels: Objects that keep their stored labels, by kind and name.
        deleted: Objects to delete, by kind and name.
        force: Whether models may be left without a whole pipeline.
    """

    objects: tuple[kinds.Object, ...] = ()
    keep_labels: frozenset[Key] = frozenset()
    deleted: tuple[Key, ...] = ()
    force: bool = False


@dataclasses.dataclass(frozen=True)
class CheckedChange:
    """Result of checking a change.

    Attributes:
        writes: Writes in order; empty if there are problems or conflicts.
        unchanged: Names of objects that already have the requested content.
        problems: Reasons for refusing the change.
        conflicts: Objects that another operator has changed.
        warnings: Effects of an accepted change that the operator should know.
    """

    writes: tuple[merge.Write, ...] = ()
    unchanged: tuple[str, ...] = ()
    problems: tuple[str, ...] = ()
    conflicts: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


def check_change(
    current: Iterable[kinds.Object], change: Change
) -> CheckedChange:
    """Checks a change against all objects and orders its writes.

    Args:
        current: All objects that the platform currently stores.
        change: Change requested by the operator.

    Returns:
        Writes, ordered so that no model loses its last whole pipeline between
        two writes where this can be avoided, or the reasons for refusing the
        change. Problems that existed before the change are not reasons.
    """
    before = {(o.kind, o.name): o for o in current}
    wanted: dict[Key, kinds.Object | None] = {}
    problems = [*_request_problems(change, before)]
    conflicts = []
    for declared in change.objects:
        key = (declared.kind, declared.name)
        existing = before.get(key)
        if key in change.keep_labels and existing is not None:
            declared = dataclasses.replace(declared, labels=existing.labels)
        is_stale = declared.version and declared.version != _version(existing)
        # Equal content is no conflict, whoever wrote it: a change may be
        # sent again after its reply was lost.
        if is_stale and not _same_content(existing, declared):
            conflicts.append(
                f"{'/'.join(key)}: your change is based on version "
                f"{declared.version}, but the object is at version "
                f"{_version(existing)} now; get it and repeat the change"
            )
        wanted[key] = declared
    wanted.update(dict.fromkeys(change.deleted))
    differing = {
        key: declared
        for key, declared in wanted.items()
        if not _same_content(before.get(key), declared)
    }
    after = _apply_edits(before, differing)
    problems += _new_problems(before.values(), after.values())
    unserved, awaiting_placement = _unserved_after(before, after)
    warnings = [*awaiting_placement, *(unserved if change.force else ())]
    if not change.force:
        problems += [
            f"{text}; --force writes it all the same" for text in unserved
        ]
    if problems or conflicts:
        return CheckedChange(
            problems=tuple(problems), conflicts=tuple(conflicts)
        )
    writes, interruptions = _order_writes(before, after, differing)
    unchanged = tuple("/".join(k) for k in wanted if k not in differing)
    return CheckedChange(
        writes, unchanged, warnings=(*warnings, *interruptions)
    )


def unserved_models(objects: Iterable[kinds.Object]) -> dict[str, str]:
    """Returns the models without a whole pipeline, with the reasons.

    A pipeline is whole if it has the model's version and at least one declared
    engine matches the selector of each stage.
    """
    all_objects = tuple(objects)
    engines = [o for o in all_objects if o.kind == "engine"]
    pipelines = [o for o in all_objects if o.kind == "pipeline"]
    unserved = {}
    for model in (o for o in all_objects if o.kind == "model"):
        reasons = [
            _pipeline_problem(p, model, engines)
            for p in pipelines
            if p.spec.model == model.name
        ]
        if not reasons:
            unserved[model.name] = "no pipeline names it"
        elif all(reasons):
            unserved[model.name] = ", ".join(r for r in reasons if r)
    return unserved


def _pipeline_problem(
    pipeline: kinds.Object, model: kinds.Object, engines: list[kinds.Object]
) -> str:
    spec = pipeline.spec
    if spec.version != model.spec.version:
        return (
            f"pipeline {pipeline.name!r} is for version {spec.version!r}, not "
            f"{model.spec.version!r}"
        )
    for stage in spec.stages:
        if not configuration.select(engines, stage.selector):
            return (
                f"pipeline {pipeline.name!r} has no engine for layers "
                f"{stage.first_layer} to {stage.last_layer} "
                f"({stage.selector!r})"
            )
    return ""


def _request_problems(
    change: Change, before: dict[Key, kinds.Object]
) -> Iterable[str]:
    keys = [(o.kind, o.name) for o in change.objects] + [*change.deleted]
    if not keys:
        yield "the change names no object"
    for key in sorted({k for k in keys if keys.count(k) > 1}):
        yield f"{'/'.join(key)}: is named more than once"
    for key in change.deleted:
        if key not in before:
            yield f"{'/'.join(key)}: does not exist"


def _new_problems(
    before: Iterable[kinds.Object], after: Iterable[kinds.Object]
) -> list[str]:
    previous: tuple[strict.Problem, ...] = kinds.check_references(before)
    return [str(p) for p in kinds.check_references(after) if p not in previous]


def _unserved_after(
    before: dict[Key, kinds.Object], after: dict[Key, kinds.Object]
) -> tuple[list[str], list[str]]:
    """Returns models that become unserved, and new ones awaiting placement."""
    previous = unserved_models(before.values())
    placed = {o.spec.model for o in after.values() if o.kind == "placement"}
    unserved = []
    awaiting_placement = []
    for model, reason in unserved_models(after.values()).items():
        if model in previous:
            continue
        text = f"model {model!r} would have no whole pipeline: {reason}"
        # A new model that awaits its placement interrupts no service.
        is_new = ("model", model) not in before
        (awaiting_placement if is_new and model in placed else unserved).append(
            text
        )
    return unserved, awaiting_placement


def _order_writes(
    before: dict[Key, kinds.Object],
    after: dict[Key, kinds.Object],
    differing: dict[Key, kinds.Object | None],
) -> tuple[tuple[merge.Write, ...], list[str]]:
    """Orders the writes so that models stay served between them.

    A write is deferred while it would leave a model without a whole pipeline
    that has one both before and after the change. If only such writes are
    left, the first of them is made and a warning is added.
    """
    served = {name for kind, name in before if kind == "model"}
    served -= {
        *unserved_models(before.values()),
        *unserved_models(after.values()),
    }
    state = dict(before)
    pending = sorted(differing, key=lambda k: _write_order(k, differing[k]))
    writes = []
    warnings = []
    while pending:
        safe = next(
            (
                k
                for k in pending
                # Creating an object leaves no model unserved.
                if k not in before
                or not _newly_unserved(
                    _apply_edits(state, {k: differing[k]}), served
                )
            ),
            None,
        )
        key = pending[0] if safe is None else safe
        pending.remove(key)
        state = _apply_edits(state, {key: differing[key]})
        if safe is None:
            # The models named in this warning no longer defer writes.
            models = ", ".join(sorted(_newly_unserved(state, served)))
            warnings.append(
                f"while the change is written, {models} has no whole pipeline; "
                "add new engines or pipelines first to avoid this"
            )
            served -= _newly_unserved(state, served)
        version = _version(before.get(key))
        writes.append(merge.Write(*key, differing[key], version))
    return tuple(writes), warnings


def _newly_unserved(
    state: dict[Key, kinds.Object], served: set[str]
) -> set[str]:
    return served & set(unserved_models(state.values()))


def _write_order(
    key: Key, declared: kinds.Object | None
) -> tuple[bool, int, Key]:
    order = KIND_ORDER.index(key[0]) if key[0] in KIND_ORDER else -1
    return (declared is None, -order if declared is None else order, key)


def _apply_edits(
    state: dict[Key, kinds.Object], edits: dict[Key, kinds.Object | None]
) -> dict[Key, kinds.Object]:
    merged = {**state, **edits}
    return {k: o for k, o in merged.items() if o is not None}


def _same_content(
    existing: kinds.Object | None, wanted: kinds.Object | None
) -> bool:
    if existing is None or wanted is None:
        return existing is wanted
    return existing.spec == wanted.spec and existing.labels == wanted.labels


def _version(existing: kinds.Object | None) -> int:
    return 0 if existing is None else existing.version
