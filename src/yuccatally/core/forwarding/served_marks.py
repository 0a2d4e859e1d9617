"""Remembers which marks of requests were served, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import marks as marks_module

if TYPE_CHECKING:
    from collections.abc import Iterable

# A mark that requests were served with in this time is sound unless engines
# end under it afterwards.
HISTORY_S = 600.0
# Parts and fingerprints that are remembered, about 2 MB each. Nearly every
# request has a fingerprint of its own, so that fingerprints are limited
# separately and do not displace the parts.
MAX_SERVED_COUNT = 10_000
NEVER = float("-inf")


class ServedMarks:
    """Times at which requests with a mark were last served.

    Attributes:
        parts: Times by part, in the order of the times.
        fingerprints: Times by fingerprint, in the order of the times.
    """

    def __init__(self) -> None:
        self.parts: dict[str, float] = {}
        self.fingerprints: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self.parts) + len(self.fingerprints)

    def __contains__(self, mark: str) -> bool:
        return mark in self._table(mark)

    def at(self, mark: str) -> float:
        """Returns the time at which a mark was served; ``NEVER`` if unknown."""
        return self._table(mark).get(mark, NEVER)

    def record(self, marks: Iterable[str], at: float) -> None:
        """Records that a request with some marks was served."""
        for mark in marks:
            table = self._table(mark)
            # Reinserted, so that the dict is in the order of the times.
            table.pop(mark, None)
            table[mark] = at
            if len(table) > MAX_SERVED_COUNT:
                del table[next(iter(table))]

    def expire(self, now: float) -> None:
        """Removes marks that were not served for ``HISTORY_S``."""
        for table in (self.parts, self.fingerprints):
            while table:
                mark = next(iter(table))
                if now - table[mark] < HISTORY_S:
                    break
                del table[mark]

    def _table(self, mark: str) -> dict[str, float]:
        is_fingerprint = marks_module.is_fingerprint(mark)
        return self.fingerprints if is_fingerprint else self.parts
