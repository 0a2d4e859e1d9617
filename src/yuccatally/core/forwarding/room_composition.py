"""Composes paths by the room that they have together."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import path_room

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccatally.core.forwarding import pipelines
    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams

# Memory of the engines that complete a path in tokens, from the preferred to
# the least useful.
TOKEN_TARGETS = (75e3, 50e3, 30e3, 20e3, 12e3, 8e3, 4e3)
# A path that adds less than a few requests is left out: each path is one more
# that a request may choose.
MIN_GAIN_TOKENS = 4e3

Paths = dict[str, tuple[composition.Hop, ...]]


def compose(
    model: rules.Model,
    planned: Iterable[pipelines.Pipeline],
    holdings: Mapping[str, composition.Holding],
) -> list[tuple[str, tuple[composition.Hop, ...]]]:
    """Returns the paths that have the most room together.

    Load pattern: at peak load three engines fail at once, one in each pipeline
    of a data centre. Completed one by one with engines of the others, the paths
    would divide the memory of a few engines, and each would have room for a
    handful of requests. Instead, the pipeline that misses the fewest layers
    takes engines of the other broken ones. A path is added only if the room of
    all paths together grows, counting what it takes from the others, and what
    the link carries if it crosses data centres. All instances compose the same
    paths from the same holdings.

    Args:
        model: Properties of the model.
        planned: Pipelines of the plan.
        holdings: Usable engines of the plan, by name.

    Returns:
        Names of pipelines and their hops, ordered by name.
    """
    complete: Paths = {}
    broken: list[tuple[str, tuple[composition.Hop, ...]]] = []
    for pipeline in planned:
        own = composition.own_hops(pipeline, holdings)
        if composition.find_gaps(
            [(h.first, h.last) for h in own], model.layers
        ):
            broken.append((pipeline.name, tuple(own)))
        else:
            complete[pipeline.name] = tuple(own)
    broken.sort(key=lambda b: (-sum(h.last - h.first for h in b[1]), b[0]))
    owners = {h.engine.name for _, own in broken for h in own}
    for name, own in broken:
        complete = _add_path(model, complete, name, own, holdings, owners)
    return sorted(_with_shared_layers(complete).items())


def _add_path(
    model: rules.Model,
    complete: Paths,
    name: str,
    own: Sequence[composition.Hop],
    holdings: Mapping[str, composition.Holding],
    owners: set[str],
) -> Paths:
    """Returns the paths with a broken one added where that gives most room."""
    used = {h.engine.name for hops in complete.values() for h in hops}
    free = [h for h in own if h.engine.name not in used]
    if not free:
        return complete
    data_centres = {h.engine.data_centre for h in free}
    gaps = composition.find_gaps(
        [(h.first, h.last) for h in free], model.layers
    )
    taken = {h.engine.name for h in free}
    others = [h for n, h in holdings.items() if n not in taken]
    # Replicas come before engines that other broken paths could use.
    others.sort(key=lambda h: (h.engine.name in owners, h.engine.name))
    local = [h for h in others if h.engine.data_centre in data_centres]
    best, best_room = complete, _total_room(model, complete) + MIN_GAIN_TOKENS
    for available in (
        [h for h in local if h.engine.name not in used],
        local,
        [h for h in others if h.engine.name not in used],
    ):
        filled = _fill(model, gaps, available, used)
        if filled is None:
            continue
        hops = tuple(sorted((*free, *filled), key=lambda h: h.first))
        if len(hops) > composition.MAX_HOP_COUNT:
            continue
        candidate = {**complete, name: hops}
        candidate_room = _total_room(model, candidate)
        if candidate_room > best_room:
            best, best_room = candidate, candidate_room
    return best


def _fill(
    model: rules.Model,
    gaps: Sequence[upstreams.LayerRange],
    available: Sequence[composition.Holding],
    used: set[str],
) -> list[composition.Hop] | None:
    """Returns hops with as much memory as possible that fill gaps, or None."""
    for tokens in TOKEN_TARGETS:
        limited = [
            # The other path keeps its layers on an engine that it shares.
            (
                h,
                path_room.most_layers(
                    model, h, tokens * (2 if h.engine.name in used else 1)
                ),
            )
            for h in available
        ]
        hops = path_room.cover_gaps(gaps, limited)
        if hops is not None:
            return hops
    return None


def _total_room(model: rules.Model, paths: Paths) -> float:
    """Returns the tokens of all paths that requests can use."""
    divided = _with_shared_layers(paths)
    crossing = sum(path_room.crosses(hops) for hops in divided.values())
    return sum(
        path_room.hops_room(model, hops, max(1, crossing))
        for hops in divided.values()
    )


def _with_shared_layers(paths: Paths) -> Paths:
    """Returns the paths with the layers that all paths use on each engine."""
    layers: collections.Counter[str] = collections.Counter()
    for hops in paths.values():
        for hop in hops:
            layers[hop.engine.name] += hop.last - hop.first
    return {
        name: tuple(
            dataclasses.replace(h, shared_layers=layers[h.engine.name])
            for h in hops
        )
        for name, hops in paths.items()
    }
