"""Index of the prefix cache of each engine."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccatally.core.stages import messages

BLOCK_TOKENS = 16
MAX_BLOCKS_COUNT = 64
MAX_PREFIXES_COUNT = 65_536


def hashes(prompt: Sequence[int]) -> tuple[int, ...]:
    """Returns one hash for each whole block of a prompt.

    Each hash covers the prompt from its start to the end of the block.

    >>> len(hashes(range(40)))
    2
    >>> hashes([*range(16), 1])[0] == hashes([*range(16), 2])[0]
    True
    """
    digest = xxhash.xxh64()
    prefix_hashes = []
    last = len(prompt) - BLOCK_TOKENS + 1
    for start in range(0, last, BLOCK_TOKENS)[:MAX_BLOCKS_COUNT]:
        block = prompt[start : start + BLOCK_TOKENS]
        digest.update(b"".join(t.to_bytes(4, "little") for t in block))
        prefix_hashes.append(digest.intdigest())
    return tuple(prefix_hashes)


@dataclasses.dataclass(frozen=True)
class ResyncRequest:
    """Requests a snapshot of an engine's cache, since events were lost."""

    engine: str


class PrefixIndex:
    """Prefixes in the cache of one engine, according to its events.

    Events carry consecutive numbers. After a gap, indexed prefixes may already
    be evicted, so hits count less until a snapshot is applied.

    Attributes:
        engine: Name of the engine.
        cached: Hashes of the cached prefixes, least recently stored first.
        next_sequence: Number of the next event, None before the first.
        stale: Whether events were lost since the last snapshot.
        gap_count: Number of gaps in the sequence.
    """

    def __init__(self, engine: str) -> None:
        self.engine = engine
        self.cached: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.next_sequence: int | None = None
        self.stale = False
        self.gap_count = 0

    def apply_events(
        self, events: messages.CacheEvents
    ) -> ResyncRequest | None:
        """Applies events; ignores those numbered below the expected one.

        Returns:
            A resync request, repeated until a snapshot is applied.
        """
        event_count = len(events.stored) + len(events.evicted)
        expected = self.next_sequence
        if expected is not None and events.sequence < expected:
            return ResyncRequest(self.engine) if self.stale else None
        self.next_sequence = events.sequence + event_count
        for prefix in events.stored:
            self.cached[prefix] = None
            self.cached.move_to_end(prefix)
        for prefix in events.evicted:
            self.cached.pop(prefix, None)
        while len(self.cached) > MAX_PREFIXES_COUNT:
            self.cached.popitem(last=False)
        if expected is not None and events.sequence > expected:
            self.gap_count += 1
            self.stale = True
        return ResyncRequest(self.engine) if self.stale else None

    def apply_snapshot(self, next_sequence: int, stored: Sequence[int]) -> None:
        """Replaces the index, unless later events were already applied."""
        if (
            self.next_sequence is not None
            and next_sequence < self.next_sequence
        ):
            return
        self.cached = collections.OrderedDict.fromkeys(stored)
        self.next_sequence = next_sequence
        self.stale = False

    def hit_tokens(self, prefix_hashes: Sequence[int]) -> float:
        """Returns the expected number of cached tokens of a prompt."""
        hits = 0
        for prefix in prefix_hashes:
            if prefix not in self.cached:
                break
            hits += 1
        tokens = float(hits * BLOCK_TOKENS)
        return tokens * STALE_HIT_RATIO if self.stale else tokens


# A prefix reported before a gap is assumed to be cached half of the time.
STALE_HIT_RATIO = 0.5
