"""KV state of the engine stand-in, and a record of what was computed."""

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

KEPT_RECORDS = 50_000
UNCLAIMED_S = 10.0

Key = tuple[str, int]


@dataclasses.dataclass
class State:
    """KV state of one attempt.

    Attributes:
        layers: State of each layer.
        owner: Connection that uses it, None after an import.
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
        held: State by request and attempt.
        ranges: Ranges of positions computed or imported, by request and
            attempt; one range from 0 means that nothing was skipped or
            doubled.
    """

    def __init__(self) -> None:
        self.held: dict[Key, State] = {}
        self.ranges: collections.OrderedDict[Key, list[list[int]]] = (
            collections.OrderedDict()
        )

    def position(self, item: messages.StepItem) -> int:
        """Returns the position that the next item must have."""
        state = self.held.get((item.request, item.attempt))
        return 0 if state is None else state.layers.position

    def apply(self, owner: Any, item: messages.StepItem) -> list[int]:
        """Applies the layers of an item and returns the activations."""
        key = (item.request, item.attempt)
        state = self.held.get(key)
        if state is None:
            layers = reference.LayerState.empty(
                item.first_layer, item.last_layer
            )
            state = self.held[key] = State(
                layers, owner, time.monotonic(), (item.model, item.version)
            )
        state.owner = owner
        seed = reference.seed_of(item.model, item.version)
        self._record(key, item.position, len(item.values))
        return state.layers.apply(seed, item.values)

    def release(self, request: str, attempt: int) -> None:
        """Frees the state of an attempt."""
        self.held.pop((request, attempt), None)

    def release_of(self, owner: Any) -> None:
        """Frees the state of a closed connection and unclaimed imports."""
        oldest = time.monotonic() - UNCLAIMED_S
        self.held = {
            k: s
            for k, s in self.held.items()
            if s.owner is not owner
            and (s.owner is not None or s.since >= oldest)
        }

    def unclaimed(self) -> int:
        """Returns how many imports were not used yet; old ones are freed."""
        self.release_of(self)
        return sum(s.owner is None for s in self.held.values())

    def copy(self, source: Key, target: Key, position: int) -> bool:
        """Continues a state under another attempt at a known position."""
        state = self.held.get(source)
        if state is None or state.layers.position != position:
            return False
        layers = copy.deepcopy(state.layers)
        return self._hold(target, layers, state.weights)

    def exported(self, key: Key) -> bytes | None:
        """Returns the state of an attempt for another engine."""
        state = self.held.get(key)
        if state is None:
            return None
        return msgspec.msgpack.encode((state.layers, state.weights))

    def imported(self, key: Key, raw: bytes, position: int) -> bool:
        """Takes over a state that another engine exported."""
        layers, weights = msgspec.msgpack.decode(
            raw, type=tuple[reference.LayerState, tuple[str, str]]
        )
        if layers.position != position:
            return False
        return self._hold(key, layers, weights)

    def _hold(
        self,
        key: Key,
        layers: reference.LayerState,
        weights: tuple[str, str],
    ) -> bool:
        if key in self.held:
            return False
        self.held[key] = State(layers, None, time.monotonic(), weights)
        self._record(key, 0, layers.position)
        return True

    def _record(self, key: Key, position: int, width: int) -> None:
        ranges = self.ranges.setdefault(key, [])
        if ranges and ranges[-1][1] == position:
            ranges[-1][1] += width
        else:
            ranges.append([position, position + width])
        if len(self.ranges) > KEPT_RECORDS:
            self.ranges.popitem(last=False)
