"""Composes paths from the layers that engines hold."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccatally.core.forwarding import pipelines

# Engines reject paths with more hops.
MAX_HOP_COUNT = 32
# Largest part of the layers of a path that may be on engines of other paths.
# With more, the path would only divide the memory of these paths.
MAX_SHARED_RATIO = 0.5
# Engines that complete a path, in order of preference: whether they are in its
# data centres, and whether other paths use them. Engines that are both remote
# and shared are left out: they would put prompts on the link and halve the
# memory of a path that is in use.
SOURCES = ((True, False), (True, True), (False, False))


@dataclasses.dataclass(frozen=True)
class Holding:
    """Layers of an engine that paths may use.

    Attributes:
        engine: The engine.
        layers: Range that paths may use.
        loaded: Number of layers that occupy its memory.
    """

    engine: upstreams.Upstream
    layers: upstreams.LayerRange
    loaded: int


@dataclasses.dataclass(frozen=True)
class Hop:
    """A part of a path on one engine.

    Attributes:
        engine: The engine.
        first: First layer.
        last: Last layer, exclusive.
        loaded: Number of layers that occupy the memory of the engine; 0 for
            those of the hop.
        sharers: Number of paths that use the engine.
        shared_layers: Layers that all paths use on the engine, each counted for
            every path, if its memory is divided by layers; 0 if each path has
            an equal part.
    """

    engine: upstreams.Upstream
    first: int
    last: int
    loaded: int = 0
    sharers: int = 1
    shared_layers: int = 0


def compose(
    layers: int,
    planned: Iterable[pipelines.Pipeline],
    holdings: Mapping[str, Holding],
) -> list[tuple[str, tuple[Hop, ...]]]:
    """Returns a path for each planned pipeline that can be completed.

    Load pattern: a sixth of the engines fails at peak load. Almost every
    pipeline loses a stage, while each range is still held by other engines:
    replicas, and stages of pipelines that are broken as well. Engines of
    complete pipelines are shared if there is no other in the data centre, and
    unused engines of other data centres are the last choice, because prompts
    queue on the link between them. All instances compose the same paths from
    the same holdings.

    Args:
        layers: Number of layers of the model.
        planned: Pipelines of the plan.
        holdings: Usable engines of the plan, by name.

    Returns:
        Names of pipelines and their hops, ordered by name.
    """
    by_data_centre: dict[str, list[Holding]] = {}
    for holding in holdings.values():
        by_data_centre.setdefault(holding.engine.data_centre, []).append(
            holding
        )
    complete: dict[str, list[Hop]] = {}
    uses: collections.Counter[str] = collections.Counter()
    broken: list[tuple[pipelines.Pipeline, list[Hop]]] = []
    for pipeline in planned:
        own = own_hops(pipeline, holdings)
        if find_gaps([(h.first, h.last) for h in own], layers):
            broken.append((pipeline, own))
        else:
            complete[pipeline.name] = own
            uses.update(h.engine.name for h in own)
    broken.sort(key=lambda b: (layers - _size(b[1]), b[0].name))
    for local, sharing in SOURCES:
        for pipeline, own in broken:
            if pipeline.name in complete:
                continue
            free = [h for h in own if not uses[h.engine.name]]
            data_centres = {h.engine.data_centre for h in free}
            available = [
                h
                for d in (sorted(data_centres) if local else by_data_centre)
                for h in by_data_centre[d]
                if sharing or not uses[h.engine.name]
            ]
            hops = _fill_gaps(free, layers, available, uses)
            if hops is not None:
                complete[pipeline.name] = hops
                uses.update(h.engine.name for h in hops)
    return [
        (
            name,
            tuple(
                dataclasses.replace(h, sharers=uses[h.engine.name])
                for h in hops
            ),
        )
        for name, hops in sorted(complete.items())
    ]


def cover_range(
    layers: upstreams.LayerRange,
    holdings: Iterable[Holding],
    preference: Callable[[Holding], tuple[float, ...]],
) -> list[Hop] | None:
    """Returns hops that cover a range, or None if no engines hold a part.

    Each engine serves as many layers as it can, so that the path has few hops.

    Args:
        layers: Range to cover.
        holdings: Available engines.
        preference: Preference among the engines that hold the next layer.
    """
    available = list(holdings)
    hops: list[Hop] = []
    first = layers.first
    while first < layers.last:
        candidates = [
            h for h in available if h.layers.first <= first < h.layers.last
        ]
        if not candidates:
            return None
        best = max(candidates, key=lambda h: (*preference(h), h.layers.last))
        end = min(layers.last, best.layers.last)
        hops.append(Hop(best.engine, first, end, best.loaded))
        available = [h for h in available if h.engine != best.engine]
        first = end
    return hops


def find_gaps(
    ranges: Iterable[tuple[int, int]], layers: int
) -> list[upstreams.LayerRange]:
    """Returns the ranges of layers that no range contains.

    >>> find_gaps([(0, 4), (6, 8)], 9)
    [LayerRange(first=4, last=6), LayerRange(first=8, last=9)]
    """
    gaps = []
    next_layer = 0
    for first, last in sorted(ranges):
        if first > next_layer:
            gaps.append(upstreams.LayerRange(next_layer, first))
        next_layer = max(next_layer, last)
    if next_layer < layers:
        gaps.append(upstreams.LayerRange(next_layer, layers))
    return gaps


def own_hops(
    pipeline: pipelines.Pipeline, holdings: Mapping[str, Holding]
) -> list[Hop]:
    """Returns the parts of the stages of a pipeline that engines hold."""
    hops = []
    for stage in pipeline.stages:
        held = holdings.get(stage.engine)
        if held is None:
            continue
        first = max(stage.first, held.layers.first)
        last = min(stage.last, held.layers.last)
        if first < last:
            hops.append(Hop(held.engine, first, last, held.loaded))
    return hops


def _fill_gaps(
    own: Sequence[Hop],
    layers: int,
    available: Sequence[Holding],
    uses: Mapping[str, int],
) -> list[Hop] | None:
    """Returns the hops of a path with its gaps filled, or None.

    Args:
        own: Hops of the path that are usable.
        layers: Number of layers of the model.
        available: Engines that may fill gaps.
        uses: Number of paths that use each engine.
    """
    if not own:
        return None
    taken = {h.engine.name for h in own}
    filled: list[Hop] = []
    for gap in find_gaps([(h.first, h.last) for h in own], layers):
        nearest = _data_centre_beside(gap, own)
        hops = cover_range(
            gap,
            [h for h in available if h.engine.name not in taken],
            lambda h, nearest=nearest: (
                h.engine.data_centre == nearest,
                -uses[h.engine.name],
            ),
        )
        if hops is None:
            return None
        taken.update(h.engine.name for h in hops)
        filled.extend(hops)
    shared = _size([h for h in filled if uses[h.engine.name]])
    if (
        shared > MAX_SHARED_RATIO * layers
        or len(own) + len(filled) > MAX_HOP_COUNT
    ):
        return None
    return sorted((*own, *filled), key=lambda h: h.first)


def _data_centre_beside(gap: upstreams.LayerRange, own: Sequence[Hop]) -> str:
    """Returns the data centre of the hop before a gap, else of the next."""
    before = [h for h in own if h.last <= gap.first]
    return (before[-1] if before else own[0]).engine.data_centre


def _size(hops: Iterable[Hop]) -> int:
    return sum(h.last - h.first for h in hops)
