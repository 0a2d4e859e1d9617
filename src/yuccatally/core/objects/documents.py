"""Files with several objects."""

from __future__ import annotations

import dataclasses
from typing import Any

import expression

from yuccatally.core import strict
from yuccatally.core.objects import kinds

LIST_KEYS = ("object", "objects")
MAX_OBJECT_COUNT = (
    512  # of one change; the platform permits a few hundred writes/s
)

# What the platform adds to an object that was read from it.
_STORED_KEYS = frozenset({"revision"})


@dataclasses.dataclass(frozen=True)
class DeclaredObjects:
    """Objects of one file that passed the checks of each object.

    Attributes:
        objects: The objects in order.
        raw: The same objects as decoded from the file.
    """

    objects: tuple[kinds.Object, ...]
    raw: tuple[dict[str, Any], ...]


def parse(
    content: bytes, toml: bool
) -> expression.Result[DeclaredObjects, tuple[strict.Problem, ...]]:
    """Parses the content of a file.

    Args:
        content: TOML with tables ``[[object]]``, or JSON: an object, a list
            of objects, or what ``yuccatally get --output json`` prints.
        toml: Whether it is TOML.

    Returns:
        The objects, or every problem of every object.
    """
    loaded = strict.decode_toml if toml else strict.decode_json
    decoded = loaded(content)
    if decoded.is_error():
        return expression.Error((decoded.error,))
    items = _items(decoded.ok)
    if items is None:
        wanted = "tables [[object]]" if toml else "an object or a list of them"
        message = f"expected {wanted} with kind, name and spec"
        return expression.Error((strict.Problem("", message),))
    return decode_all(items)


def decode_all(
    items: list[Any],
) -> expression.Result[DeclaredObjects, tuple[strict.Problem, ...]]:
    """Decodes objects; reports the problems of all of them together."""
    if len(items) > MAX_OBJECT_COUNT:
        message = f"names more than {MAX_OBJECT_COUNT} objects; split it"
        return expression.Error((strict.Problem("", message),))
    objects = []
    raw = []
    problems = []
    for index, item in enumerate(items):
        decoded = kinds.decode(item)
        if decoded.is_error():
            where = f"object[{index}] {decoded.error.label()}"
            problems += [
                strict.Problem(f"{where} {p.key}".rstrip(), p.message)
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
            found = decoded[key]
            return found if isinstance(found, list) else None
    return [decoded] if "kind" in decoded else None
