"""Decoding and validation of declared objects."""

from __future__ import annotations

import dataclasses
import re
from typing import TYPE_CHECKING
from typing import Any

import expression

from yuccatally.core import selectors
from yuccatally.core import strict
from yuccatally.core.objects import specs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")

SPEC_TYPES: dict[str, type] = {
    "engine": specs.EngineSpec,
    "service": specs.ServiceSpec,
    "model": specs.ModelSpec,
    "pipeline": specs.PipelineSpec,
    "routing_rule": specs.RoutingRuleSpec,
    "client_account": specs.ClientAccountSpec,
    "placement": specs.PlacementSpec,
}


@dataclasses.dataclass(frozen=True)
class Object:
    """A declared object.

    Attributes:
        kind: Key of ``SPEC_TYPES``.
        name: Name, unique within the kind.
        spec: Specification, an instance of the kind's data class.
        labels: Labels that selectors match.
        version: Version of this object on the platform; 0 if not stored.
        revision: Revision of the platform's store at the last change of this
            object.
    """

    kind: str
    name: str
    spec: Any
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    version: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class ObjectError:
    """Problems of a rejected object."""

    kind: str
    name: str
    problems: tuple[strict.Problem, ...]

    def __str__(self) -> str:
        """Returns every problem, separated by semicolons."""
        text = "; ".join(str(p) for p in self.problems)
        return f"{self.label()}: {text}"

    def label(self) -> str:
        """Returns ``KIND/NAME``, each cut to 64 characters."""
        return f"{self.kind:.64}/{self.name:.64}"


@dataclasses.dataclass(frozen=True)
class _Envelope:
    kind: str
    name: str
    spec: dict[str, Any]
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    version: int = 0
    revision: int = 0


def decode(raw: Any) -> expression.Result[Object, ObjectError]:
    """Decodes and checks one object.

    Args:
        raw: Mapping with kind, name, spec and optionally labels, version and
            revision.

    Returns:
        The object, or all problems found.
    """
    mapping = raw if isinstance(raw, dict) else {}
    kind, name = str(mapping.get("kind", "?")), str(mapping.get("name", "?"))
    envelope = strict.convert(raw, _Envelope)
    if envelope.is_error():
        return expression.Error(ObjectError(kind, name, envelope.error))
    problems = tuple(_envelope_problems(envelope.ok))
    if problems:
        return expression.Error(ObjectError(kind, name, problems))
    spec = strict.convert(envelope.ok.spec, SPEC_TYPES[kind])
    if spec.is_error():
        return expression.Error(ObjectError(kind, name, _spec_problems(spec)))
    return expression.Ok(
        Object(
            kind=kind,
            name=name,
            spec=spec.ok,
            labels=envelope.ok.labels,
            version=envelope.ok.version,
            revision=envelope.ok.revision,
        )
    )


def check_references(objects: Iterable[Object]) -> tuple[strict.Problem, ...]:
    """Checks references between objects.

    Args:
        objects: Complete set of objects.

    Returns:
        One problem for each broken reference.
    """
    by_key = {(o.kind, o.name): o for o in objects}
    problems: list[strict.Problem] = []
    for declared in by_key.values():
        match declared.spec:
            case specs.PipelineSpec() as spec:
                problems += _pipeline_problems(declared.name, spec, by_key)
            case specs.PlacementSpec(model=model):
                if ("model", model) not in by_key:
                    key = f"placement/{declared.name}.model"
                    message = f"model {model!r} is not declared"
                    problems.append(strict.Problem(key, message))
            case specs.RoutingRuleSpec(service=service):
                if ("service", service) not in by_key:
                    key = f"routing_rule/{declared.name}.service"
                    message = f"service {service!r} is not declared"
                    problems.append(strict.Problem(key, message))
            case _:
                pass
    problems += _duplicate_value_problems(by_key.values(), "engine", "address")
    problems += _duplicate_value_problems(
        by_key.values(), "client_account", "key_sha256"
    )
    return tuple(problems)


def check_labels(labels: Mapping[str, str]) -> Iterator[strict.Problem]:
    """Yields a problem for each label with an invalid key or value."""
    for key, value in labels.items():
        for text in (key, value):
            if not selectors.LABEL_PATTERN.fullmatch(text):
                message = (
                    f"{text!r} is not a label key or value: expected 1 to 63 "
                    "letters, digits, '.', '_', '/' and '-'"
                )
                yield strict.Problem(f"labels.{key}", message)


def _duplicate_value_problems(
    objects: Iterable[Object], kind: str, field: str
) -> Iterable[strict.Problem]:
    """Yields a problem for each object with a duplicate of a unique value.

    With a duplicate engine address a layer would run twice; with a duplicate
    key the account of a caller would be ambiguous.
    """
    first_names: dict[str, str] = {}
    for declared in sorted(objects, key=lambda o: o.name):
        if declared.kind != kind:
            continue
        first = first_names.setdefault(
            getattr(declared.spec, field), declared.name
        )
        if first != declared.name:
            message = f"is also the {field} of {kind}/{first}"
            key = f"{kind}/{declared.name}.{field}"
            yield strict.Problem(key, message)


def _envelope_problems(envelope: _Envelope) -> Iterable[strict.Problem]:
    if envelope.kind not in SPEC_TYPES:
        by_key = ", ".join(sorted(SPEC_TYPES))
        yield strict.Problem("kind", f"expected one of {by_key}")
    if not NAME_PATTERN.fullmatch(envelope.name):
        message = "expected lower-case letters, digits and hyphens, at most 63"
        yield strict.Problem("name", message)
    yield from check_labels(envelope.labels)


def _spec_problems(
    converted: expression.Result[Any, tuple[strict.Problem, ...]],
) -> tuple[strict.Problem, ...]:
    return tuple(
        strict.Problem(f"spec.{p.key}" if p.key else "spec", p.message)
        for p in converted.error
    )


def _pipeline_problems(
    name: str,
    spec: specs.PipelineSpec,
    by_key: dict[tuple[str, str], Object],
) -> Iterable[strict.Problem]:
    key = f"pipeline/{name}"
    model = by_key.get(("model", spec.model))
    if model is None:
        message = f"model {spec.model!r} is not declared"
        yield strict.Problem(f"{key}.model", message)
        return
    end = spec.stages[-1].last_layer
    if end != model.spec.layers:
        message = f"stages end at layer {end}, model has {model.spec.layers}"
        yield strict.Problem(f"{key}.stages", message)
