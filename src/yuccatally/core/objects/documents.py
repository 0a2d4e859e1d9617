"""Parsing of files that declare objects."""

from __future__ import annotations

import dataclasses
from typing import Any

import expression

from yuccatally.core import strict
from yuccatally.core.objects import kinds

LIST_KEYS = ("object", "objects")
# Per change; the platform permits a few hundred writes per second.
MAX_OBJECT_COUNT = 512

# Keys that the platform adds to a stored object.
_STORED_KEYS = frozenset({"revision"})


@dataclasses.dataclass(frozen=True)
class DeclaredObjects:
    """Objects of one file, each of them valid.

    Attributes:
        objects: Objects in order.
        raw: The same objects as decoded from the file, without keys that the
            platform adds.
    """

    objects: tuple[kinds.Object, ...]
    raw: tuple[dict[str, Any], ...]


def parse(
    content: bytes, toml: bool
) -> expression.Result[DeclaredObjects, tuple[strict.Problem, ...]]:
    """Parses the content of a file.

    Args:
        content: TOML with tables ``[[object]]``, or JSON: an object, a list
            of objects, or the output of ``yuccatally get --output json``.
        toml: Whether the content is TOML.

    Returns:
        The objects, or all problems of all objects.
    """
    decode = strict.decode_toml if toml else strict.decode_json
    decoded = decode(content)
    if decoded.is_error():
        return expression.Error((decoded.error,))
    items = _items(decoded.ok)
    if items is None:
        expected = (
            "tables [[object]]" if toml else "an object or a list of them"
        )
        message = f"expected {expected} with kind, name and spec"
        return expression.Error((strict.Problem("", message),))
    return decode_all(items)


def decode_all(
    items: list[Any],
) -> expression.Result[DeclaredObjects, tuple[strict.Problem, ...]]:
    """Decodes objects, or returns the problems of all of them."""
    if len(items) > MAX_OBJECT_COUNT:
        message = (
            f"declares more than {MAX_OBJECT_COUNT} objects; split the change"
        )
        return expression.Error((strict.Problem("", message),))
    objects = []
    raw = []
    problems = []
    for index, item in enumerate(items):
        decoded = kinds.decode(item)
        if decoded.is_error():
            location = f"object[{index}] {decoded.error.label()}"
            problems += [
                strict.Problem(f"{location} {p.key}".rstrip(), p.message)
                for p in decoded.error.problems
            ]
        else:
            objects.append(decoded.ok)
            raw.append({k: v for k, v in item.items() if k not in _STORED_KEYS})
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(DeclaredObjects(tuple(objects), tuple(raw)))


def parse_key(text: str) -> expression.Result[tuple[str, str], strict.Problem]:
    """Parses ``KIND/NAME``.

    >>> parse_key("engine/fast-a").ok
    ('engine', 'fast-a')
    """
    kind, _, name = text.partition("/")
    if kind not in kinds.SPEC_TYPES or not kinds.NAME_PATTERN.fullmatch(name):
        known = ", ".join(sorted(kinds.SPEC_TYPES))
        message = f"{text!r}: expected KIND/NAME with a kind of {known}"
        return expression.Error(strict.Problem("", message))
    return expression.Ok((kind, name))


def _items(decoded: Any) -> list[Any] | None:
    if isinstance(decoded, list):
        return decoded
    if not isinstance(decoded, dict):
        return None
    for key in LIST_KEYS:
        if key in decoded:
            declared = decoded[key]
            return declared if isinstance(declared, list) else None
    return [decoded] if "kind" in decoded else None
