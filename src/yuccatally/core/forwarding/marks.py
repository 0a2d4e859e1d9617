"""What requests have in common that can crash engines.

A mark is a part of a prompt, which many requests share, or the fingerprint of
one request, which only its repeats share.
"""

from __future__ import annotations

import hashlib

# Probability of a collision among a million requests: about 3e-8.
DIGEST_BYTES = 8
_FINGERPRINT_PREFIX = "#"


def part_mark(service: str, part: str) -> str:
    """Returns the mark of a part of prompts for a service."""
    return f"{service}/{part}"


def fingerprint(
    service: str,
    method: str,
    target: str,
    caller: str,
    body: bytes,
    parts: tuple[str, ...] = (),
) -> str:
    """Returns the mark that only repeats of a request share.

    Args:
        service: Service that executes the request.
        method: HTTP method.
        target: Path and query, encoded as received.
        caller: Client account; empty for none.
        body: Complete body.
        parts: Shared parts of its prompt, in order.

    >>> first = fingerprint("desk", "POST", "/book/1", "lab", b"jar 7")
    >>> first == fingerprint("desk", "POST", "/book/1", "lab", b"jar 7")
    True
    >>> first == fingerprint("desk", "POST", "/book/1", "museum", b"jar 7")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for value in (method, target, caller, *parts):
        # The length keeps apart values that are equal once joined.
        digest.update(f"{len(value)} {value}".encode())
    digest.update(body)
    return f"{_FINGERPRINT_PREFIX}{service}/{digest.hexdigest()}"


def is_fingerprint(mark: str) -> bool:
    """Returns whether a mark is a fingerprint and not a part."""
    return mark.startswith(_FINGERPRINT_PREFIX)


def parts_of(marks: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the parts among the marks of a request."""
    return tuple(m for m in marks if not is_fingerprint(m))


def fingerprint_of(marks: tuple[str, ...]) -> str:
    """Returns the fingerprint among the marks of a request; empty for none."""
    return next((m for m in reversed(marks) if is_fingerprint(m)), "")
