"""State of the whole site: each object and each instance."""

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

MAX_NAMES = 5  # of the instances listed in one line


class EngineReport(msgspec.Struct, frozen=True):
    """The part of an instance's view of an engine that status shows."""

    connected: bool


class InstanceReport(msgspec.Struct, frozen=True):
    """The parts of an instance's own status that are used here."""

    revision: int
    leaving: bool
    balanced: bool
    requests: dict[str, int]
    engines: dict[str, EngineReport]


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """One instance.

    Attributes:
        instance: Name.
        data_centre: Data centre.
        state: ``serving``, ``leaving`` or ``unreachable``.
        revision: Revision in force on it; 0 if unreachable.
        accepted: Requests accepted since it started.
        answered: Requests answered.
        not_run: Requests refused and not run.
        unknown: Requests that may have run.
        in_flight: Requests in flight.
        balanced: Whether the counts add up.
        engines: Engines it is connected to, and all it knows.
        detail: What blocks it.
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
    """One object.

    Attributes:
        object: ``KIND/NAME``.
        version: Declared version.
        revision: Revision of its last change.
        in_force: Number of instances on which that version is in force.
        instances: Number of instances.
        blocked: What keeps it from being in force everywhere or from being
            used; empty if nothing does.
    """

    object: str
    version: int
    revision: int
    in_force: int
    instances: int
    blocked: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class DeploymentStatus:
    """The whole site.

    Attributes:
        revision: Highest revision that is declared.
        platform: Whether the platform answered.
        instances: Every instance in order of the names.
        objects: Every object in order of kind and name.
        warnings: What makes this status incomplete.
    """

    revision: int
    platform: bool
    instances: tuple[InstanceStatus, ...]
    objects: tuple[ObjectStatus, ...]
    warnings: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class DeclaredState:
    """Objects as the platform, or else this instance, holds them.

    Attributes:
        revision: Revision of the set.
        objects: Objects that pass the checks.
        rejected: Why others do not, by ``KIND/NAME``, with their versions.
        platform: Whether this came from the platform.
    """

    revision: int
    objects: tuple[kinds.Object, ...]
    rejected: tuple[tuple[str, int, int, str], ...] = ()
    platform: bool = True


def build_status(
    declared: DeclaredState, answers: tuple[fanout.InstanceReply, ...]
) -> DeploymentStatus:
    """Puts together what is declared and what the instances report."""
    reports = {a.instance: _report(a) for a in answers}
    instances = tuple(_instance(a, reports[a.instance]) for a in answers)
    known = [r for r in reports.values() if r is not None]
    missing = [a.instance for a in answers if reports[a.instance] is None]
    site = _Site(declared.objects, reports, known, missing)
    objects = [
        ObjectStatus(
            f"{o.kind}/{o.name}",
            o.version,
            o.revision,
            sum(r.revision >= o.revision for r in known),
            len(answers),
            tuple(site.blocked(o)),
        )
        for o in declared.objects
    ]
    objects += [
        ObjectStatus(
            name, version, revision, 0, len(answers), (f"rejected: {why}",)
        )
        for name, version, revision, why in declared.rejected
    ]
    warnings = []
    if not declared.platform:
        warnings.append(
            "the platform does not answer; versions are those in force on the "
            "instance that was asked"
        )
    highest = max([declared.revision, *(r.revision for r in known)])
    return DeploymentStatus(
        highest,
        declared.platform,
        instances,
        tuple(sorted(objects, key=lambda o: o.object)),
        tuple(warnings),
    )


class _Site:
    """What can block an object, computed once for all objects."""

    def __init__(
        self,
        objects: tuple[kinds.Object, ...],
        reports: dict[str, InstanceReport | None],
        known: list[InstanceReport],
        missing: list[str],
    ) -> None:
        self.reports = reports
        self.missing = missing
        self.known = known
        self.engines = [o for o in objects if o.kind == "engine"]
        self.gaps = changes.unserved_models(objects)
        self.connected = {
            e.name: sum(
                e.name in r.engines and r.engines[e.name].connected
                for r in known
            )
            for e in self.engines
        }

    def blocked(self, declared: kinds.Object) -> Iterator[str]:
        """Yields what keeps an object from being in force or in use."""
        behind = [
            f"{name} at revision {report.revision}"
            for name, report in self.reports.items()
            if report is not None and report.revision < declared.revision
        ]
        if behind:
            yield f"not in force on {_shortened(behind)}"
        if self.missing:
            yield f"no answer from {_shortened(self.missing)}"
        match declared.kind:
            case "engine":
                count = self.connected[declared.name]
                if count < len(self.known):
                    total = len(self.known)
                    yield f"connected to {count} of {total} instances"
            case "model" if declared.name in self.gaps:
                yield f"no whole pipeline: {self.gaps[declared.name]}"
            case "pipeline":
                yield from self._stages(declared)
            case _:
                pass

    def _stages(self, pipeline: kinds.Object) -> Iterator[str]:
        for stage in pipeline.spec.stages:
            layers = f"layers {stage.first_layer} to {stage.last_layer}"
            matching = configuration.select(self.engines, stage.selector)
            if not matching:
                yield f"{layers}: no engine matches {stage.selector!r}"
            elif not any(self.connected[e.name] for e in matching):
                names = _shortened([e.name for e in matching])
                yield f"{layers}: no instance is connected to {names}"


def _report(answer: fanout.InstanceReply) -> InstanceReport | None:
    try:
        return msgspec.convert(answer.content, InstanceReport)
    except msgspec.ValidationError:
        return None


def _instance(
    answer: fanout.InstanceReply, report: InstanceReport | None
) -> InstanceStatus:
    if report is None:
        detail = answer.error or "its answer is not valid"
        return InstanceStatus(
            answer.instance, answer.data_centre, "unreachable", detail=detail
        )
    connected = sum(e.connected for e in report.engines.values())
    counts = {
        key: report.requests.get(key, 0)
        for key in ("accepted", "answered", "not_run", "unknown", "in_flight")
    }
    return InstanceStatus(
        answer.instance,
        answer.data_centre,
        "leaving" if report.leaving else "serving",
        report.revision,
        **counts,
        balanced=report.balanced,
        engines=f"{connected}/{len(report.engines)}",
        detail="" if report.balanced else "the counts do not add up",
    )


def _shortened(names: list[str]) -> str:
    shown = ", ".join(names[:MAX_NAMES])
    more = len(names) - MAX_NAMES
    return f"{shown} and {more} more" if more > 0 else shown


def summarize_requests(
    answers: tuple[fanout.InstanceReply, ...],
) -> dict[str, Any]:
    """Returns the figures of each instance and the sums over all."""
    totals: dict[str, int] = {}
    refusals: dict[str, int] = {}
    for answer in answers:
        content = answer.content or {}
        for key, value in content.get("requests", {}).items():
            totals[key] = totals.get(key, 0) + value
        for key, value in content.get("refusals", {}).items():
            refusals[key] = refusals.get(key, 0) + value
    return {
        "requests": totals,
        "refusals": refusals,
        "instances": [
            {"instance": a.instance, "error": a.error, **(a.content or {})}
            for a in answers
        ],
    }
