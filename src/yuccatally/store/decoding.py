"""Decoding of JSON documents of which single parts may be unreadable."""

from __future__ import annotations

import dataclasses
import re
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

# Nesting below the top at which a part is given up: the list of a page, its
# objects, their parts.
MAX_SPLIT_DEPTH = 4
# msgspec raises RecursionError for deeply nested documents, and rejects a
# document as a whole for one number that is out of range.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeError)

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},:]', re.DOTALL)


@dataclasses.dataclass(frozen=True)
class Unreadable:
    """Takes the place of a part that cannot be decoded.

    It is no valid value of any field, so that a missing value is not taken for
    an optional one.

    Attributes:
        reason: Why it cannot be decoded.
    """

    reason: str


def decode(document: bytes, depth: int = MAX_SPLIT_DEPTH) -> Any:
    """Decodes a JSON document; unreadable parts become ``Unreadable``.

    Another writer can store an object that is nested too deeply, or that holds
    a number that is out of range. The objects beside it are still returned, as
    are its own readable parts.

    Args:
        document: The document.
        depth: Number of levels at which parts are decoded separately.

    Raises:
        msgspec.DecodeError: The document is cut off or not JSON.

    >>> decode(b'[{"n": 1e999}, {"n": 2}]')
    [{'n': Unreadable(reason='ValidationError: Number out of range')}, {'n': 2}]
    """
    try:
        return msgspec.json.decode(document)
    except DECODE_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
    stripped = document.strip()
    if not depth or stripped[:1] not in (b"{", b"["):
        if depth == MAX_SPLIT_DEPTH:
            raise msgspec.DecodeError(reason)
        return Unreadable(reason)
    parts = list(_split(stripped))
    if stripped[:1] == b"[":
        return [decode(part, depth - 1) for _, part in parts]
    return {
        str(decode(key, 0)): decode(part, depth - 1)
        for key, part in parts
        if key
    }


def _split(document: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yields the members of an object or array, with their keys.

    Brackets are counted without recursion, and their kinds are not compared:
    each part is decoded later.

    Raises:
        msgspec.DecodeError: The document is cut off.
    """
    nesting = 0
    key, start = b"", 1
    for token in _TOKEN.finditer(document):
        mark = token[0]
        if mark in b"[{":
            nesting += 1
        elif mark in b"]}":
            nesting -= 1
        if nesting == 1 and mark == b":":
            key, start = document[start : token.start()], token.end()
        elif (nesting == 1 and mark == b",") or nesting == 0:
            part = document[start : token.start()]
            if part.strip():
                yield key, part
            key, start = b"", token.end()
            if nesting == 0:
                break
    if nesting or document[start:].strip():
        raise msgspec.DecodeError("the document is cut off")
