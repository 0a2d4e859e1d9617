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
    """Comparison of a label with the values of a requirement."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True)
class Requirement:
    """A condition on one label."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Returns whether the labels satisfy this condition."""
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
    """A syntax error in a selector.

    Attributes:
        text: The selector.
        offset: Position of the first character that cannot be parsed.
    """

    text: str
    offset: int

    def __str__(self) -> str:
        """Returns the position of the error and the expected syntax."""
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
        """Returns whether the labels satisfy every requirement."""
        return all(r.matches(labels) for r in self.requirements)


def parse(text: str) -> expression.Result[Selector, SelectorError]:
    """Parses a selector.

    Args:
        text: Requirements separated by commas.

    Returns:
        The selector, or the position of the syntax error.

    >>> parse("kind=fast, zone in (a,b), !spare").ok.matches(
    ...     {"kind": "fast", "zone": "b"})
    True
    >>> str(parse("kind=,").error)[:40]
    "selector 'kind=,' is not understood at c"
    """
    requirements = []
    offset = 0
    while offset < len(text.rstrip()):
        matched = _REQUIREMENT.match(text, offset)
        if matched is None or (
            matched["set"] and not _values(matched["values"])
        ):
            return expression.Error(SelectorError(text, offset))
        requirements.append(_requirement(matched))
        offset = matched.end()
    return expression.Ok(Selector(tuple(requirements)))


def _requirement(matched: re.Match[str]) -> Requirement:
    if matched["absent"]:
        return Requirement(matched["missing"], Operator.ABSENT)
    if matched["op"]:
        negated = matched["op"] == "!="
        operator = Operator.NOT_IN if negated else Operator.IN
        return Requirement(
            matched["key"], operator, frozenset([matched["value"]])
        )
    if matched["set"]:
        operator = Operator(matched["set"])
        return Requirement(matched["key"], operator, _values(matched["values"]))
    return Requirement(matched["key"], Operator.EXISTS)


def _values(text: str) -> frozenset[str]:
    return frozenset(v.strip() for v in text.split(",") if v.strip())
