"""Rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def ranked(subject: str, names: Iterable[str], count: int) -> tuple[str, ...]:
    """Returns the names responsible for a subject, first choice first.

    A name that comes or goes changes the choice only for the subjects that it
    takes over or gives up.

    >>> ranked("north", ["a", "b"], 2) == ranked("north", ["b", "a"], 2)
    True
    """
    ordered = sorted(names, key=lambda n: _weight(subject, n), reverse=True)
    return tuple(ordered[:count])


def _weight(subject: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{name}".encode())
