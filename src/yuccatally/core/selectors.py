"""Label selectors."""

from __future__ import annotations

import dataclasses
import enum
import re
from typing import TYPE_CHECKING

import expression

if TYPE_CHECKING:
    from collections.abc import Mapping

LABEL_PATTERN = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?")
_NAME = r"[A-Za-z0-9][A-Za-z0-9._/-]*"
_REQUIREMENT = re.compile(
    rf"\s*(?:(?P<absent>!)\s*(?P<missing>{_NAME})"
    rf"|(?P<key>{_NAME})\s*(?:(?P<op>!=|==|=)\s*(?P<value>{_NAME})"
    rf"|\s(?P<set>in|notin)\s*\((?P<values>[^)]*)\))?)\s*(?:,|$)"
)


class Operator(enum.StrEnum):
    """How a requirement compares a label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True)
class Requirement:
    """One condition on one label."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Returns whether the labels fulfil this condition."""
        match self.operator:
            case Operator.IN:
                return labels.get(self.key) in self.values
            case Operator.NOT_IN:
                return labels.get(self.key) not in self.values
            case Operator.EXISTS:
                return self.key in labels
            case Operator.ABSENT:
                return self.key not in labels


@dataclasses.dataclass(frozen=True)
class SelectorError:
    """A selector that cannot be parsed."""

    text: str
    offset: int

    def __str__(self) -> str:
        """Returns what is wrong and what is expected."""
        return (
            f"selector {self.text!r} is not understood at character "
            f"{self.offset}; write a=b, a!=b, a in (b,c), a notin (b,c), "
            "a or !a, separated by commas"
        )


@dataclasses.dataclass(frozen=True)
class Selector:
    """A conjunction of requirements; the empty selector matches everything."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Returns whether the labels fulfil every requirement."""
        return all(r.matches(labels) for r in self.requirements)


def parse(text: str) -> expression.Result[Selector, SelectorError]:
    """Parses a selector.

    Args:
        text: Requirements separated by commas.

    Returns:
        The selector, or where parsing stopped.

    >>> parse("kind=fast, zone in (a,b), !spare").ok.matches(
    ...     {"kind": "fast", "zone": "b"})
    True
    >>> str(parse("kind=,").error)[:40]
    "selector 'kind=,' is not understood at c"
    """
    requirements = []
    offset = 0
    while offset < len(text.rstrip()):
        found = _REQUIREMENT.match(text, offset)
        if found is None or (found["set"] and not _values(found["values"])):
            return expression.Error(SelectorError(text, offset))
        requirements.append(_requirement(found))
        offset = found.end()
    return expression.Ok(Selector(tuple(requirements)))


def _requirement(found: re.Match[str]) -> Requirement:
    if found["absent"]:
        return Requirement(found["missing"], Operator.ABSENT)
    if found["op"]:
        negated = found["op"] == "!="
        operator = Operator.NOT_IN if negated else Operator.IN
        return Requirement(found["key"], operator, frozenset([found["value"]]))
    if found["set"]:
        operator = Operator(found["set"])
        return Requirement(found["key"], operator, _values(found["values"]))
    return Requirement(found["key"], Operator.EXISTS)


def _values(text: str) -> frozenset[str]:
    return frozenset(v.strip() for v in text.split(",") if v.strip())
