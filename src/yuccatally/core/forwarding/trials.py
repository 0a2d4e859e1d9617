"""Chooses where a request is tried once more that may have ended an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from yuccatally.core import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable


class Named(Protocol):
    """A path or an upstream."""

    @property
    def name(self) -> str:
        """Its name, which is the same on all instances."""


Candidate = TypeVar("Candidate", bound=Named)


def candidates(
    suspect: str, usable: Iterable[Candidate], tried: frozenset[str]
) -> list[Candidate]:
    """Returns the paths or upstreams to which a request may be sent.

    Load pattern: a request has ended an engine, and its client repeats it many
    times at once, at any instance; or callers that were refused during a
    quarantine return together at its end. All instances send requests with the
    mark to the same engine, so that one more engine ends before the mark is in
    quarantine, and not one for each request.

    Args:
        suspect: Mark of a request that may have ended an engine; empty for any
            other request.
        usable: Paths or upstreams that can be used.
        tried: Names of those that failed for this request.
    """
    found = list(usable)
    if not suspect:
        return found
    names = [c.name for c in found if c.name not in tried]
    chosen = rendezvous.ranked(suspect, names, 1)
    return [c for c in found if c.name in chosen]
