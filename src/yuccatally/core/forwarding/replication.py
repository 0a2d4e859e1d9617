"""Chooses the layers that engines hold which no pipeline uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import engine_memory
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccatally.core.forwarding import rules

# Request memory of a replica in tokens: as much as that of stages that replace
# failed ones.
REPLICA_TOKENS = 50e3
# Weight of a copy of a layer in another data centre, whose use costs a transfer
# over the shared link for each prompt.
REMOTE_COPY_WEIGHT = 0.25


def replicate(
    model: rules.Model,
    usable: Mapping[str, upstreams.Upstream],
    spares: Mapping[str, upstreams.Upstream],
    kept: Iterable[pipelines.Stage],
    planned: Iterable[pipelines.Pipeline],
) -> tuple[pipelines.Stage, ...]:
    """Returns replicas on all spare engines; kept ones do not move.

    Load pattern: a sixth of the engines fails at once. Each range is held
    by other engines as well, if possible in the same data centre, so that
    pipelines are completed without loading layers.

    Args:
        model: Properties of the model.
        usable: Usable engines by name.
        spares: Those that no pipeline uses, the fastest first.
        kept: Replicas on spare engines that hold their range or load it.
        planned: Pipelines of the plan.
    """
    replicas = list(kept)
    copies = {e.data_centre: [0.0] * model.layers for e in usable.values()}
    for stage in (*replicas, *(s for p in planned for s in p.stages)):
        _count_copies(copies, usable, stage)
    held = {s.engine for s in replicas}
    for engine in [e for n, e in spares.items() if n not in held]:
        layers = _held_range(model, engine) or _replica_range(
            model, engine, copies
        )
        if layers is None:
            continue
        stage = pipelines.Stage(
            engine.name, engine.born_ms, layers.first, layers.last
        )
        _count_copies(copies, usable, stage)
        replicas.append(stage)
    return tuple(sorted(replicas, key=lambda s: s.engine))


def _held_range(
    model: rules.Model, engine: upstreams.Upstream
) -> upstreams.LayerRange | None:
    """Returns the layers of an engine, if the model has them."""
    held = engine.layers
    return held if held and held.last <= model.layers else None


def _replica_range(
    model: rules.Model,
    engine: upstreams.Upstream,
    copies: dict[str, list[float]],
) -> upstreams.LayerRange | None:
    """Returns the range that a new replica holds; None if none fits."""
    size = engine_memory.layer_capacity(model, engine, REPLICA_TOKENS)
    if not size:
        return None
    first = _rarest_range(copies[engine.data_centre], size)
    return upstreams.LayerRange(first, first + size)


def _count_copies(
    copies: dict[str, list[float]],
    usable: Mapping[str, upstreams.Upstream],
    stage: pipelines.Stage,
) -> None:
    """Adds a stage to the weighted number of copies of each layer."""
    own = usable[stage.engine].data_centre
    for data_centre, counts in copies.items():
        weight = 1.0 if data_centre == own else REMOTE_COPY_WEIGHT
        # A plan may be of a model that had more layers.
        for layer in range(stage.first, min(stage.last, len(counts))):
            counts[layer] += weight


def _rarest_range(copies: Sequence[float], size: int) -> int:
    """Returns the first layer of the range that has the fewest copies.

    A layer counts half as much for each copy that exists, so that a layer
    without a copy outweighs several others.

    >>> _rarest_range([2, 1, 1, 2], 2)
    1
    """
    gains = [2.0**-c for c in copies]
    sums = [
        (sum(gains[first : first + size]), -first)
        for first in range(len(gains) - size + 1)
    ]
    return -max(sums)[1]
