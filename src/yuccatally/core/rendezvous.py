"""Rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def ranked(subject: str, names: Iterable[str], count: int) -> tuple[str, ...]:
    """Returns the names with the highest weights for a subject, in order.

    Adding or removing a name only changes the result for subjects that the
    name is assigned to.

    >>> ranked("north", ["a", "b"], 2) == ranked("north", ["b", "a"], 2)
    True
    """
    ordered = sorted(names, key=lambda n: _weight(subject, n), reverse=True)
    return tuple(ordered[:count])


def _weight(subject: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{name}".encode())
