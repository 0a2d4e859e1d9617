"""Limit of the bytes that a process holds of incomplete responses."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# An instance has 200 MB on the smallest machines, half of it for itself, and a
# held byte takes up to four. Sound responses have some kilobytes.
MAX_HELD_BYTES = 16 * 1024 * 1024


class DiscardedError(Exception):
    """A response was discarded so that others can be held."""


class Holding:
    """Bytes that are held of one response.

    Attributes:
        size: Number of bytes.
        on_discard: Ends the response; None if it must not be discarded.
        is_discarded: Whether the response was discarded.
    """

    def __init__(
        self, holdings: Holdings, on_discard: Callable[[], None] | None
    ) -> None:
        self.holdings = holdings
        self.on_discard = on_discard
        self.size = 0
        self.is_discarded = False

    def resize(self, size: int) -> None:
        """Records that more or fewer bytes are held.

        Raises:
            DiscardedError: This response is or was discarded.
        """
        self.holdings.resize(self, size)
        if self.is_discarded:
            raise DiscardedError("too many bytes of incomplete responses")


class Holdings:
    """All responses of which a process holds bytes.

    Load pattern: some engines send bytes without end. Each response stays below
    its own limit for seconds, and together they take all memory, so that the
    process ends with the requests of all clients. Beyond a limit for all of
    them the largest is discarded, which is one of these.

    Attributes:
        limit_bytes: Limit of all bytes together.
        total_bytes: Bytes held now.
        peak_bytes: Largest total so far.
        discarded_count: Number of responses that were discarded.
        open: Responses that are being received.
    """

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.peak_bytes = 0
        self.discarded_count = 0
        self.open: set[Holding] = set()

    @contextlib.contextmanager
    def hold(
        self, on_discard: Callable[[], None] | None = None
    ) -> Iterator[Holding]:
        """Counts a response until its bytes are passed on or dropped.

        Args:
            on_discard: Ends the response; None if it must not be discarded, as
                its sender is no upstream and its own limit suffices.
        """
        holding = Holding(self, on_discard)
        self.open.add(holding)
        try:
            yield holding
        finally:
            self._drop(holding)

    def resize(self, holding: Holding, size: int) -> None:
        """Sets the size of a response, and discards the largest if needed."""
        if holding.is_discarded:
            return
        self.total_bytes += size - holding.size
        holding.size = size
        while self.total_bytes > self.limit_bytes:
            discardable = [h for h in self.open if h.on_discard is not None]
            if not discardable:
                break
            self._discard(max(discardable, key=lambda h: h.size))
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)

    def _discard(self, holding: Holding) -> None:
        holding.is_discarded = True
        self.discarded_count += 1
        self._drop(holding)
        if holding.on_discard is not None:
            holding.on_discard()

    def _drop(self, holding: Holding) -> None:
        if holding in self.open:
            self.open.remove(holding)
            self.total_bytes -= holding.size


# The limit is that of the process, whatever reads the responses.
PROCESS = Holdings()
