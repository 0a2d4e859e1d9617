"""Strict conversion of decoded data to frozen data classes."""

from __future__ import annotations

import dataclasses
import difflib
import tomllib
import types
import typing
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import expression
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

CHECK = "check"


@dataclasses.dataclass(frozen=True)
class Problem:
    """One reason why data was rejected.

    Attributes:
        key: Dotted path of the invalid key, for example ``callers.port``.
        message: The error and the expected value.
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
        target: Frozen data class to build. Problems are reported for a
            ``ValueError`` raised in its ``__post_init__``, for messages that
            the checks of ``checked`` return, and for each key and message
            that its optional method ``problems`` yields.

    Returns:
        The value, or a problem for every unknown key, missing key, wrong type
        and value out of range.

    >>> @dataclasses.dataclass(frozen=True)
    ... class Listener:
    ...     port: int
    >>> convert({"port": 1}, Listener).ok
    Listener(port=1)
    >>> [str(p) for p in convert({"prot": 1}, Listener).error]
    ["prot: unknown key, did you mean 'port'?", 'port: required key is missing']
    """
    builder = _Builder()
    value = builder.build(raw, target, "")
    if builder.problems:
        return expression.Error(tuple(builder.problems))
    return expression.Ok(value)


def checked(
    check: Callable[[Any], str],
    default: Any = dataclasses.MISSING,
    secret: bool = False,
) -> Any:
    """Returns a data class field whose value ``convert`` checks.

    Args:
        check: Returns the error in a value of the right type, "" if none.
        default: Default of the field, which is not checked.
        secret: Whether to omit the value from the representation.
    """
    return dataclasses.field(
        default=default, repr=not secret, metadata={CHECK: check}
    )


def decode_toml(content: bytes) -> expression.Result[dict[str, Any], Problem]:
    """Decodes TOML; returns a problem for any invalid input, never raises."""
    try:
        return expression.Ok(tomllib.loads(content.decode()))
    except UnicodeDecodeError as error:
        message = f"is not UTF-8 at byte {error.start}"
    except RecursionError:
        message = "is not valid TOML: nested too deeply"
    except ValueError as error:  # includes integers with too many digits
        message = f"is not valid TOML: {error}"
    return expression.Error(Problem("", message))


def decode_json(content: bytes) -> expression.Result[Any, Problem]:
    """Decodes JSON; returns a problem for any invalid input, never raises."""
    try:
        return expression.Ok(msgspec.json.decode(content))
    except RecursionError:
        message = "is not valid JSON: nested too deeply"
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        message = f"is not valid JSON: {error}"
    return expression.Error(Problem("", message))


class _Builder:
    """Builds values and collects problems."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def build(self, raw: Any, target: Any, path: str) -> Any:
        data_class = _data_class(target)
        if data_class is not None and not (raw is None and _optional(target)):
            return self._object(raw, data_class, path)
        element = _element_type(target)
        if element is not None and isinstance(raw, list):
            return tuple(
                self.build(value, element, f"{path}[{index}]")
                for index, value in enumerate(raw)
            )
        try:
            return msgspec.convert(raw, target)
        except msgspec.ValidationError as error:
            self.problems.append(_problem_from(path, str(error)))
        return None

    def _object(self, raw: Any, target: Any, path: str) -> Any:
        if not isinstance(raw, dict):
            type_name = type(raw).__name__
            message = f"expected a table of keys, found {type_name}"
            self.problems.append(Problem(path, message))
            return None
        problem_count = len(self.problems)
        hints = typing.get_type_hints(target)
        self.problems += _unknown_keys(raw, hints, path)
        values = {}
        for field in dataclasses.fields(target):
            field_path = _join(path, field.name)
            if field.name in raw:
                values[field.name] = self._field(
                    raw[field.name], field, hints[field.name], field_path
                )
            elif _required(field):
                self.problems.append(
                    Problem(field_path, "required key is missing")
                )
        if len(self.problems) > problem_count:
            return None
        return self._checked(target, values, path)

    def _field(
        self, raw: Any, field: dataclasses.Field[Any], hint: Any, path: str
    ) -> Any:
        problem_count = len(self.problems)
        value = self.build(raw, hint, path)
        check = field.metadata.get(CHECK)
        message = (
            check(value)
            if check and len(self.problems) == problem_count
            else ""
        )
        if message:
            self.problems.append(Problem(path, message))
        return value

    def _checked(self, target: Any, values: dict[str, Any], path: str) -> Any:
        try:
            value = target(**values)
        except ValueError as error:
            key, colon, message = str(error).partition(": ")
            if colon and key in values:
                self.problems.append(Problem(_join(path, key), message))
            else:
                self.problems.append(Problem(path, str(error)))
            return None
        checks = getattr(value, "problems", tuple)
        self.problems += (
            Problem(_join(path, key), message) for key, message in checks()
        )
        return value


def _unknown_keys(
    raw: dict[Any, Any], hints: dict[str, Any], path: str
) -> typing.Iterator[Problem]:
    for key in raw:
        if key not in hints:
            close = difflib.get_close_matches(str(key), hints, n=1)
            hint = f", did you mean {close[0]!r}?" if close else ""
            yield Problem(_join(path, str(key)), f"unknown key{hint}")


def _required(field: dataclasses.Field[Any]) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _data_class(target: Any) -> Any:
    if dataclasses.is_dataclass(target):
        return target
    if isinstance(target, types.UnionType):
        return next(filter(_data_class, typing.get_args(target)), None)
    return None


def _optional(target: Any) -> bool:
    return types.NoneType in typing.get_args(target)


def _element_type(target: Any) -> Any:
    if typing.get_origin(target) in (tuple, list):
        return typing.get_args(target)[0]
    return None


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _problem_from(path: str, text: str) -> Problem:
    """Splits ``Expected `int` - at `$[0]``` into key and message."""
    message, _, subpath = text.partition(" - at `$")
    subpath = subpath.rstrip("`")
    if subpath and not subpath.startswith(("[", ".")):
        subpath = ""
    return Problem(path + subpath, message[:1].lower() + message[1:])
