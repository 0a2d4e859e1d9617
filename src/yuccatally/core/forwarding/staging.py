"""Assigns ranges of layers to engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import engine_memory
from yuccatally.core.forwarding import path_room
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccatally.core.forwarding import rules

# Request memory of stages in tokens, from the preferred to the least useful.
TOKEN_TARGETS = (90e3, 75e3, 60e3, 50e3, 40e3, 30e3, 20e3, 12e3, 8e3, 4e3)


def cover(
    model: rules.Model,
    kept: Sequence[pipelines.Stage],
    spares: Sequence[upstreams.Upstream],
) -> list[pipelines.Stage] | None:
    """Fills the gaps with engines that hold the layers already."""
    holdings = [
        composition.Holding(e, e.layers, e.layers.last - e.layers.first)
        for e in spares
        if e.layers is not None
    ]
    gaps = _gaps(kept, model)
    for tokens in TOKEN_TARGETS:
        # An engine unloads the layers outside its stage.
        hops = path_room.cover_gaps(
            gaps,
            [
                (
                    h,
                    engine_memory.layer_capacity(model, h.engine, tokens),
                )
                for h in holdings
            ],
        )
        if hops is not None:
            return [
                *kept,
                *(stage_of(h.engine, h.first, h.last) for h in hops),
            ]
    return None


def fill(
    model: rules.Model,
    kept: Sequence[pipelines.Stage],
    spares: Sequence[upstreams.Upstream],
) -> list[pipelines.Stage] | None:
    """Fills the gaps with few spare engines that load the layers."""
    for tokens in TOKEN_TARGETS:
        stages = list(kept)
        left = list(spares)
        for gap in _gaps(kept, model):
            chosen = _fewest(model, left, gap, tokens)
            found = assign(model, chosen, tokens, gap)
            if found is None:
                break
            stages.extend(found)
            used = {s.engine for s in found}
            left = [e for e in left if e.name not in used]
        else:
            return stages
    return None


def restage(
    model: rules.Model,
    usable: Mapping[str, upstreams.Upstream],
    kept: Sequence[pipelines.Stage],
    spares: Sequence[upstreams.Upstream],
) -> list[pipelines.Stage] | None:
    """Divides all layers anew among the engines of a broken pipeline.

    Each stage moves by a few layers, as the engines keep their order.
    Nothing is taken away, since a broken pipeline serves nothing.
    """
    own = [usable[s.engine] for s in kept]
    gaps = _gaps(kept, model)
    position = sum(s.last <= gaps[0].first for s in kept)
    for tokens in TOKEN_TARGETS:
        size = _capacity(model, own, tokens)
        added = []
        for engine in sorted(
            spares,
            key=lambda e: -engine_memory.layer_capacity(model, e, tokens),
        ):
            if size >= model.layers:
                break
            added.append(engine)
            size += _capacity(model, [engine], tokens)
        engines = [*own[:position], *added, *own[position:]]
        stages = assign(model, engines, tokens)
        if stages is not None:
            return stages
    return None


def _gaps(
    kept: Sequence[pipelines.Stage], model: rules.Model
) -> list[upstreams.LayerRange]:
    return composition.find_gaps(
        [(s.first, s.last) for s in kept], model.layers
    )


def _capacity(
    model: rules.Model, engines: Iterable[upstreams.Upstream], tokens: float
) -> int:
    return sum(engine_memory.layer_capacity(model, e, tokens) for e in engines)


def fastest(
    model: rules.Model, engines: Sequence[upstreams.Upstream], tokens: float
) -> list[upstreams.Upstream] | None:
    """Returns the fastest engines that hold all layers, or None."""
    chosen: list[upstreams.Upstream] = []
    size = 0
    for engine in engines:
        if size >= model.layers:
            break
        capacity = engine_memory.layer_capacity(model, engine, tokens)
        if capacity:
            chosen.append(engine)
            size += capacity
    return chosen if size >= model.layers else None


def _fewest(
    model: rules.Model,
    engines: Sequence[upstreams.Upstream],
    layers: upstreams.LayerRange,
    tokens: float,
) -> list[upstreams.Upstream]:
    """Returns as few and as small engines for a range as possible."""
    size = layers.last - layers.first
    available = sorted(
        engines,
        key=lambda e: engine_memory.layer_capacity(model, e, tokens),
    )
    chosen: list[upstreams.Upstream] = []
    while size > 0 and available:
        capacities = [
            engine_memory.layer_capacity(model, e, tokens) for e in available
        ]
        index = next(
            (i for i, c in enumerate(capacities) if c >= size),
            len(available) - 1,
        )
        chosen.append(available.pop(index))
        size -= capacities[index]
    return chosen


def assign(
    model: rules.Model,
    engines: Iterable[upstreams.Upstream],
    tokens: float,
    layers: upstreams.LayerRange | None = None,
) -> list[pipelines.Stage] | None:
    """Assigns a range to engines in order, or returns None if it is too large.

    Args:
        model: Properties of the model.
        engines: Engines in the order of their stages.
        tokens: Tokens for which each stage has memory.
        layers: Range to assign; all layers by default.
    """
    layers = layers or upstreams.LayerRange(0, model.layers)
    stages: list[pipelines.Stage] = []
    first = layers.first
    for engine in engines:
        size = min(
            engine_memory.layer_capacity(model, engine, tokens),
            layers.last - first,
        )
        if size > 0:
            stages.append(stage_of(engine, first, first + size))
            first += size
    if first < layers.last or len(stages) > composition.MAX_HOP_COUNT:
        return None
    return stages


def stage_of(
    engine: upstreams.Upstream, first: int, last: int
) -> pipelines.Stage:
    """Returns the stage that an engine has with a range of layers."""
    return pipelines.Stage(engine.name, engine.born_ms, first, last)
