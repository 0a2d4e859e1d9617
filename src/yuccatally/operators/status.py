"""Status of the whole deployment: every object and every instance."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from yuccatally.core.config import changes
from yuccatally.core.config import configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccatally.core.objects import kinds
    from yuccatally.operators import fanout

MAX_NAME_COUNT = 5  # names listed in one line


class EngineReport(msgspec.Struct, frozen=True):
    """Fields of an engine's status on one instance that are evaluated."""

    connected: bool


class InstanceReport(msgspec.Struct, frozen=True):
    """Fields of an instance's status that are evaluated."""

    revision: int
    leaving: bool
    balanced: bool
    requests: dict[str, int]
    engines: dict[str, EngineReport]


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """Status of one instance.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre.
        state: ``serving``, ``leaving`` or ``unreachable``.
        revision: Revision in force on it; 0 if unreachable.
        accepted: Requests accepted since the instance started.
        answered: Requests answered.
        not_run: Requests refused and not run.
        unknown: Requests that may have run.
        in_flight: Requests in flight.
        balanced: Whether every accepted request is counted exactly once.
        engines: Number of connected engines and of all, as ``N/ALL``.
        detail: Problem of the instance; empty if there is none.
    """

    instance: str
    data_centre: str
    state: str
    revision: int = 0
    accepted: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    in_flight: int = 0
    balanced: bool = True
    engines: str = "0/0"
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class ObjectStatus:
    """Status of one object.

    Attributes:
        object: ``KIND/NAME``.
        version: Declared version.
        revision: Revision of its last change.
        in_force: Number of instances on which that version is in force.
        instances: Number of instances.
        blocked: Reasons why it is not in force on all instances or cannot be
            used; empty if there are none.
    """

    object: str
    version: int
    revision: int
    in_force: int
    instances: int
    blocked: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class DeploymentStatus:
    """Status of the whole deployment.

    Attributes:
        revision: Highest declared revision.
        platform: Whether the platform answered.
        instances: Status of every instance, sorted by name.
        objects: Status of every object, sorted by kind and name.
        warnings: Reasons why this status is incomplete.
    """

    revision: int
    platform: bool
    instances: tuple[InstanceStatus, ...]
    objects: tuple[ObjectStatus, ...]
    warnings: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class DeclaredState:
    """Objects stored on the platform or, without it, in force here.

    Attributes:
        revision: Revision of the set.
        objects: Objects that pass the checks.
        rejected: Objects that do not pass, each with ``KIND/NAME``, version,
            revision and reason.
        platform: Whether the objects were read from the platform.
    """

    revision: int
    objects: tuple[kinds.Object, ...]
    rejected: tuple[tuple[str, int, int, str], ...] = ()
    platform: bool = True


def build_status(
    declared: DeclaredState, replies: tuple[fanout.InstanceReply, ...]
) -> DeploymentStatus:
    """Combines the declared objects with the reports of the instances."""
    reports = {r.instance: _decode_report(r) for r in replies}
    instances = tuple(_instance_status(r, reports[r.instance]) for r in replies)
    valid_reports = [r for r in reports.values() if r is not None]
    unanswered = [r.instance for r in replies if reports[r.instance] is None]
    blocking_reasons = _BlockingReasons(
        declared.objects, reports, valid_reports, unanswered
    )
    objects = [
        ObjectStatus(
            f"{o.kind}/{o.name}",
            o.version,
            o.revision,
            sum(r.revision >= o.revision for r in valid_reports),
            len(replies),
            tuple(blocking_reasons.of_object(o)),
        )
        for o in declared.objects
    ]
    objects += [
        ObjectStatus(
            name, version, revision, 0, len(replies), (f"rejected: {reason}",)
        )
        for name, version, revision, reason in declared.rejected
    ]
    warnings = []
    if not declared.platform:
        warnings.append(
            "the platform does not answer; versions are those in force on the "
            "instance that was queried"
        )
    max_revision = max(
        [declared.revision, *(r.revision for r in valid_reports)]
    )
    return DeploymentStatus(
        max_revision,
        declared.platform,
        instances,
        tuple(sorted(objects, key=lambda o: o.object)),
        tuple(warnings),
    )


class _BlockingReasons:
    """Reasons why objects are blocked, from data shared by all objects."""

    def __init__(
        self,
        objects: tuple[kinds.Object, ...],
        reports: dict[str, InstanceReport | None],
        valid_reports: list[InstanceReport],
        unanswered: list[str],
    ) -> None:
        self.reports = reports
        self.unanswered = unanswered
        self.valid_reports = valid_reports
        self.engines = [o for o in objects if o.kind == "engine"]
        self.unserved = changes.unserved_models(objects)
        self.connected_counts = {
            e.name: sum(
                e.name in r.engines and r.engines[e.name].connected
                for r in valid_reports
            )
            for e in self.engines
        }

    def of_object(self, declared: kinds.Object) -> Iterator[str]:
        """Yields the reasons why an object is not in force or not in use."""
        behind = [
            f"{name} at revision {report.revision}"
            for name, report in self.reports.items()
            if report is not None and report.revision < declared.revision
        ]
        if behind:
            yield f"not in force on {_join_names(behind)}"
        if self.unanswered:
            yield f"no answer from {_join_names(self.unanswered)}"
        match declared.kind:
            case "engine":
                count = self.connected_counts[declared.name]
                if count < len(self.valid_reports):
                    total = len(self.valid_reports)
                    yield f"connected to {count} of {total} instances"
            case "model" if declared.name in self.unserved:
                yield f"no whole pipeline: {self.unserved[declared.name]}"
            case "pipeline":
                yield from self._stage_reasons(declared)
            case _:
                pass

    def _stage_reasons(self, pipeline: kinds.Object) -> Iterator[str]:
        for stage in pipeline.spec.stages:
            layers = f"layers {stage.first_layer} to {stage.last_layer}"
            matching = configuration.select(self.engines, stage.selector)
            if not matching:
                yield f"{layers}: no engine matches {stage.selector!r}"
            elif not any(self.connected_counts[e.name] for e in matching):
                names = _join_names([e.name for e in matching])
                yield f"{layers}: no instance is connected to {names}"


def _decode_report(reply: fanout.InstanceReply) -> InstanceReport | None:
    try:
        return msgspec.convert(reply.content, InstanceReport)
    except msgspec.ValidationError:
        return None


def _instance_status(
    reply: fanout.InstanceReply, report: InstanceReport | None
) -> InstanceStatus:
    if report is None:
        detail = reply.error or "its response is not valid"
        return InstanceStatus(
            reply.instance, reply.data_centre, "unreachable", detail=detail
        )
    connected = sum(e.connected for e in report.engines.values())
    counts = {
        key: report.requests.get(key, 0)
        for key in ("accepted", "answered", "not_run", "unknown", "in_flight")
    }
    return InstanceStatus(
        reply.instance,
        reply.data_centre,
        "leaving" if report.leaving else "serving",
        report.revision,
        **counts,
        balanced=report.balanced,
        engines=f"{connected}/{len(report.engines)}",
        detail="" if report.balanced else "the counts do not add up",
    )


def _join_names(names: list[str]) -> str:
    shown = ", ".join(names[:MAX_NAME_COUNT])
    omitted_count = len(names) - MAX_NAME_COUNT
    return f"{shown} and {omitted_count} more" if omitted_count > 0 else shown


def summarize_requests(
    replies: tuple[fanout.InstanceReply, ...],
) -> dict[str, Any]:
    """Returns the request counts of each instance and their totals."""
    totals: dict[str, int] = {}
    refusals: dict[str, int] = {}
    for reply in replies:
        content = reply.content or {}
        for key, value in content.get("requests", {}).items():
            totals[key] = totals.get(key, 0) + value
        for key, value in content.get("refusals", {}).items():
            refusals[key] = refusals.get(key, 0) + value
    return {
        "requests": totals,
        "refusals": refusals,
        "instances": [
            {"instance": r.instance, "error": r.error, **(r.content or {})}
            for r in replies
        ],
    }
