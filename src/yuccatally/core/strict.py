"""Strict conversion of decoded data to frozen data classes."""

from __future__ import annotations

import dataclasses
import difflib
import types
import typing
from typing import Any
from typing import TypeVar

import expression
import msgspec

T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class Problem:
    """One reason why data was rejected.

    Attributes:
        key: Dotted path of the offending key, for example ``callers.port``.
        message: What is wrong and what is expected.
    """

    key: str
    message: str

    def __str__(self) -> str:
        """Returns the problem as one line."""
        return f"{self.key}: {self.message}" if self.key else self.message


def convert(
    raw: Any, target: type[T]
) -> expression.Result[T, tuple[Problem, ...]]:
    """Converts decoded TOML or JSON to a data class.

    Args:
        raw: Data as returned by a TOML or JSON decoder.
        target: Frozen data class to build.

    Returns:
        The value, or every unknown key and the first wrong type.

    >>> @dataclasses.dataclass(frozen=True)
    ... class Listener:
    ...     port: int
    >>> convert({"port": 1}, Listener).ok
    Listener(port=1)
    >>> [str(p) for p in convert({"prot": 1}, Listener).error]
    ["prot: unknown key, did you mean 'port'?", 'port: required key is missing']
    """
    problems = list(_unknown_keys(raw, target, ""))
    try:
        value = msgspec.convert(raw, target)
    except msgspec.ValidationError as error:
        problems.append(_problem_from(str(error)))
    except ValueError as error:
        problems.append(Problem("", str(error)))
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(value)


def _unknown_keys(raw: Any, target: Any, path: str) -> typing.Iterator[Problem]:
    for candidate in _data_classes(target):
        if not isinstance(raw, dict):
            return
        hints = typing.get_type_hints(candidate)
        for key, value in raw.items():
            here = f"{path}.{key}" if path else str(key)
            if key in hints:
                yield from _unknown_keys(value, hints[key], here)
                continue
            close = difflib.get_close_matches(str(key), hints, n=1)
            hint = f", did you mean {close[0]!r}?" if close else ""
            yield Problem(here, f"unknown key{hint}")
        return
    element = _element_type(target)
    if element is not None and isinstance(raw, list):
        for index, value in enumerate(raw):
            yield from _unknown_keys(value, element, f"{path}[{index}]")


def _data_classes(target: Any) -> list[Any]:
    if dataclasses.is_dataclass(target):
        return [target]
    if isinstance(target, types.UnionType):
        return [a for a in typing.get_args(target) if _data_classes(a)]
    return []


def _element_type(target: Any) -> Any:
    if typing.get_origin(target) in (tuple, list):
        return typing.get_args(target)[0]
    return None


def _problem_from(text: str) -> Problem:
    """Turns ``Expected `int` - at `$.port``` into key and message."""
    message, _, path = text.partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    missing = "Object missing required field `"
    if message.startswith(missing):
        name = message.removeprefix(missing).rstrip("`")
        key = f"{key}.{name}" if key else name
        return Problem(key, "required key is missing")
    return Problem(key, message[:1].lower() + message[1:])
