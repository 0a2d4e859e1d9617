"""What each engine probably has in its prefix cache."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccatally.core.stages import messages

BLOCK_TOKENS = 16
MAX_BLOCKS_HASHED = 64
MAX_PREFIXES = 65_536


def hashes(prompt: Sequence[int]) -> tuple[int, ...]:
    """Returns one hash for each whole block of a prompt.

    Each hash covers the prompt from its start to the end of the block.

    >>> len(hashes(range(40)))
    2
    >>> hashes([*range(16), 1])[0] == hashes([*range(16), 2])[0]
    True
    """
    digest = xxhash.xxh64()
    found = []
    last = len(prompt) - BLOCK_TOKENS + 1
    for start in range(0, last, BLOCK_TOKENS)[:MAX_BLOCKS_HASHED]:
        block = prompt[start : start + BLOCK_TOKENS]
        digest.update(b"".join(t.to_bytes(4, "little") for t in block))
        found.append(digest.intdigest())
    return tuple(found)


@dataclasses.dataclass(frozen=True)
class Resync:
    """The cache of an engine must be read anew, since events were lost."""

    engine: str


class PrefixIndex:
    """Prefixes in the cache of one engine, as far as its events tell.

    Events carry consecutive numbers. After a gap, what is known may be evicted
    already, so hits count less until a snapshot was read.

    Attributes:
        engine: Name of the engine.
        stale: Whether events were lost since the last snapshot.
        gaps: Gaps seen.
    """

    def __init__(self, engine: str) -> None:
        self.engine = engine
        self.known: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.next_event: int | None = None
        self.stale = False
        self.gaps = 0

    def apply_events(self, events: messages.CacheEvents) -> Resync | None:
        """Applies events.

        Returns:
            A request for a snapshot, repeated until one was applied.
        """
        count = len(events.stored) + len(events.evicted)
        expected = self.next_event
        if expected is not None and events.sequence < expected:
            return Resync(self.engine) if self.stale else None
        self.next_event = events.sequence + count
        for prefix in events.stored:
            self.known[prefix] = None
            self.known.move_to_end(prefix)
        for prefix in events.evicted:
            self.known.pop(prefix, None)
        while len(self.known) > MAX_PREFIXES:
            self.known.popitem(last=False)
        if expected is not None and events.sequence > expected:
            self.gaps += 1
            self.stale = True
        return Resync(self.engine) if self.stale else None

    def apply_snapshot(self, next_event: int, stored: Sequence[int]) -> None:
        """Replaces what is known, unless later events were applied."""
        if self.next_event is not None and next_event < self.next_event:
            return
        self.known = collections.OrderedDict.fromkeys(stored)
        self.next_event = next_event
        self.stale = False

    def hit_tokens(self, prefix_hashes: Sequence[int]) -> float:
        """Returns how many tokens of a prompt are probably cached."""
        found = 0
        for prefix in prefix_hashes:
            if prefix not in self.known:
                break
            found += 1
        tokens = float(found * BLOCK_TOKENS)
        return tokens * STALE_WEIGHT if self.stale else tokens


# A prefix reported before a gap is taken to be there every other time.
STALE_WEIGHT = 0.5
