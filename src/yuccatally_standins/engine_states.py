"""KV state of the simulated engine, and a record of computed positions."""

from __future__ import annotations

import collections
import copy
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from yuccatally_standins import reference

if TYPE_CHECKING:
    from yuccatally.core.stages import messages

MAX_RECORD_COUNT = 50_000
UNCLAIMED_TIMEOUT_S = 10.0

Key = tuple[str, int]


@dataclasses.dataclass
class State:
    """KV state of one attempt.

    Attributes:
        layers: State of each layer.
        owner: Connection that uses the state, None after an import.
        since: Monotonic time of creation or import, in seconds.
        weights: Model and version.
    """

    layers: reference.LayerState
    owner: Any
    since: float
    weights: tuple[str, str]


class States:
    """All KV state on one engine.

    Attributes:
        by_attempt: State by request and attempt.
        ranges: Ranges of positions computed or imported, by request and
            attempt; a single range from 0 means that no position was skipped
            or computed twice.
    """

    def __init__(self) -> None:
        self.by_attempt: dict[Key, State] = {}
        self.ranges: collections.OrderedDict[Key, list[list[int]]] = (
            collections.OrderedDict()
        )

    def next_position(self, item: messages.StepItem) -> int:
        """Returns the position that the next item of an attempt must have."""
        state = self.by_attempt.get((item.request, item.attempt))
        return 0 if state is None else state.layers.position

    def apply(self, owner: Any, item: messages.StepItem) -> list[int]:
        """Applies the layers of an item and returns the activations."""
        key = (item.request, item.attempt)
        state = self.by_attempt.get(key)
        if state is None:
            layers = reference.LayerState.empty(
                item.first_layer, item.last_layer
            )
            state = self.by_attempt[key] = State(
                layers, owner, time.monotonic(), (item.model, item.version)
            )
        state.owner = owner
        seed = reference.seed_of(item.model, item.version)
        self._record(key, item.position, len(item.values))
        return state.layers.apply(seed, item.values)

    def release(self, request: str, attempt: int) -> None:
        """Frees the state of an attempt."""
        self.by_attempt.pop((request, attempt), None)

    def release_owned(self, owner: Any) -> None:
        """Frees the state of a closed connection and expired imports."""
        claimable_since = time.monotonic() - UNCLAIMED_TIMEOUT_S
        self.by_attempt = {
            k: s
            for k, s in self.by_attempt.items()
            if s.owner is not owner
            and (s.owner is not None or s.since >= claimable_since)
        }

    def count_unclaimed(self) -> int:
        """Frees expired imports and returns the number of unused ones."""
        self.release_owned(self)
        return sum(s.owner is None for s in self.by_attempt.values())

    def copy(self, source: Key, target: Key, position: int) -> bool:
        """Copies a state to another attempt if it has the expected position."""
        state = self.by_attempt.get(source)
        if state is None or state.layers.position != position:
            return False
        layers = copy.deepcopy(state.layers)
        return self._add(target, layers, state.weights)

    def export_state(self, key: Key) -> bytes | None:
        """Returns the encoded state of an attempt, or None if there is none."""
        state = self.by_attempt.get(key)
        if state is None:
            return None
        return msgspec.msgpack.encode((state.layers, state.weights))

    def import_state(self, key: Key, raw: bytes, position: int) -> bool:
        """Stores a state that another engine exported.

        Returns:
            Whether the position is the expected one and the attempt is new.
        """
        layers, weights = msgspec.msgpack.decode(
            raw, type=tuple[reference.LayerState, tuple[str, str]]
        )
        if layers.position != position:
            return False
        return self._add(key, layers, weights)

    def _add(
        self,
        key: Key,
        layers: reference.LayerState,
        weights: tuple[str, str],
    ) -> bool:
        if key in self.by_attempt:
            return False
        self.by_attempt[key] = State(layers, None, time.monotonic(), weights)
        self._record(key, 0, layers.position)
        return True

    def _record(self, key: Key, position: int, count: int) -> None:
        ranges = self.ranges.setdefault(key, [])
        if ranges and ranges[-1][1] == position:
            ranges[-1][1] += count
        else:
            ranges.append([position, position + count])
        if len(self.ranges) > MAX_RECORD_COUNT:
            self.ranges.popitem(last=False)
