"""Limits of the bytes that a process holds for its peers."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# An instance has 200 MB on the smallest machines, half of it for itself, and a
# held byte takes up to four. Sound responses have some kilobytes.
MAX_HELD_BYTES = 16 * 1024 * 1024
# Requests and answers of usual length are smaller.
SMALL_BYTES = 64 * 1024


class DiscardedError(Exception):
    """A response was discarded so that others can be held."""


class Holding:
    """Bytes that are held of one request or response.

    Attributes:
        size: Number of bytes.
        on_discard: Ends the exchange; None if it must not be discarded.
        owner: Address of the peer, whose small holdings are compared as a
            whole; None if this holding is compared by itself.
        is_discarded: Whether the bytes were discarded.
    """

    def __init__(
        self,
        holdings: Holdings,
        on_discard: Callable[[], None] | None,
        owner: str | None = None,
    ) -> None:
        self.holdings = holdings
        self.on_discard = on_discard
        self.owner = owner
        self.size = 0
        self.is_discarded = False

    def resize(self, size: int) -> None:
        """Records that more or fewer bytes are held.

        Raises:
            DiscardedError: These bytes are or were discarded.
        """
        self.holdings.resize(self, size)
        if self.is_discarded:
            raise DiscardedError("too many bytes of incomplete responses")


class Holdings:
    """All exchanges of one kind of which a process holds bytes.

    Load pattern: some engines send bytes without end, or clients send bodies
    without end and read no answers. Each exchange stays below its own limit
    for seconds, and together they take all memory, so that the process ends
    with the requests of all clients. Beyond a limit for all of them the
    largest is discarded; among small ones, that of the peer that holds most.

    Attributes:
        limit_bytes: Limit of all bytes together.
        reserved_bytes: Part of the limit that holdings of more than
            ``SMALL_BYTES`` leave to others.
        total_bytes: Bytes held now.
        peak_bytes: Largest total so far.
        discarded_count: Number of holdings that were discarded.
        open: Holdings in use.
    """

    def __init__(
        self, limit_bytes: int = MAX_HELD_BYTES, reserved_bytes: int = 0
    ) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = reserved_bytes
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
        holding = self.add(on_discard)
        try:
            yield holding
        finally:
            self.drop(holding)

    def add(
        self,
        on_discard: Callable[[], None] | None,
        owner: str | None = None,
    ) -> Holding:
        """Returns a new holding, which counts until ``drop``.

        Args:
            on_discard: Ends the exchange; None if it must not be discarded.
            owner: Address of the peer; None to compare it by itself.
        """
        holding = Holding(self, on_discard, owner)
        self.open.add(holding)
        return holding

    def resize(self, holding: Holding, size: int) -> None:
        """Sets the size of a holding, and discards the largest if needed."""
        if holding not in self.open:
            return
        self.total_bytes += size - holding.size
        has_grown, holding.size = size > holding.size, size
        if has_grown and self.total_bytes > self.limit_bytes - (
            self.reserved_bytes if size > SMALL_BYTES else 0
        ):
            self._discard_largest(size)
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)

    def drop(self, holding: Holding) -> None:
        """Ends a holding; its bytes are released."""
        if holding in self.open:
            self.open.remove(holding)
            self.total_bytes -= holding.size
            holding.size = 0

    def _discard_largest(self, size: int) -> None:
        """Discards holdings until one of ``size`` bytes has room."""
        reserved = self.reserved_bytes if size > SMALL_BYTES else 0
        while self.total_bytes > self.limit_bytes - reserved:
            held_by_owner: collections.Counter[str] = collections.Counter()
            discardable = []
            for holding in self.open:
                if holding.owner is not None:
                    held_by_owner[holding.owner] += holding.size
                if holding.on_discard is not None and holding.size:
                    discardable.append(holding)
            if not discardable:
                break
            self._discard(
                max(
                    discardable,
                    key=lambda h: _rank(
                        h, h.size if h.owner is None else held_by_owner[h.owner]
                    ),
                )
            )

    def _discard(self, holding: Holding) -> None:
        holding.is_discarded = True
        self.discarded_count += 1
        self.drop(holding)
        if holding.on_discard is not None:
            holding.on_discard()


def _rank(holding: Holding, owner_bytes: int) -> tuple[int, int, int]:
    """Returns the order in which holdings are discarded, the highest first.

    An address may stand for many clients, so it only counts among small items.
    """
    is_small = holding.size <= SMALL_BYTES
    return (0 if is_small else holding.size, owner_bytes, holding.size)


# The limit is that of the process, whatever reads the responses.
PROCESS = Holdings()
