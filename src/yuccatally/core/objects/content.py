"""Decoding of the content of stored objects."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

import msgspec

T = TypeVar("T")

# msgspec raises RecursionError for deeply nested documents and
# UnicodeDecodeError for keys and texts that are not UTF-8.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeError)


def decode(content: Any, target: type[T]) -> T:
    """Decodes content to a type.

    Content of another writer can have a megabyte. Encoded content is skipped
    but for the fields of the type, and no values are created for the rest.

    Args:
        content: Encoded as ``msgspec.Raw``, or built-in values.
        target: The type.

    Raises:
        msgspec.MsgspecError, RecursionError, UnicodeError: The content does not
            fit the type; see ``DECODE_ERRORS``.

    >>> decode(msgspec.Raw(b'{"a": 1}'), dict), decode({"a": 1}, dict)
    ({'a': 1}, {'a': 1})
    """
    if isinstance(content, msgspec.Raw):
        return msgspec.json.decode(content, type=target)
    return msgspec.convert(content, target)
