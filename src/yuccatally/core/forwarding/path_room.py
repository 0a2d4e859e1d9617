"""Room of pipelines and paths: the tokens of their weakest stage."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import path_building

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from yuccatally.core.forwarding import pipelines
    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams

# Period over which the room after a change is weighed against the time without
# the pipeline while its engines load layers.
HORIZON_S = 10.0


def useful_tokens(model: rules.Model, slots: int) -> float:
    """Returns the memory that a number of mean requests needs."""
    request_tokens = model.prompt_tokens + model.answer_tokens
    return slots * request_tokens / dispatch.USABLE_MEMORY_RATIO


def stages_room(
    model: rules.Model,
    usable: Mapping[str, upstreams.Upstream],
    stages: Sequence[pipelines.Stage],
) -> float:
    """Returns the tokens of a pipeline that its requests can use.

    A pipeline that crosses the link between data centres has at most the
    requests that the link carries.
    """
    hops = tuple(
        composition.Hop(usable[s.engine], s.first, s.last)
        for s in sorted(stages, key=lambda s: s.first)
    )
    return hops_room(model, hops)


def hops_room(
    model: rules.Model, hops: tuple[composition.Hop, ...], crossing: int = 1
) -> float:
    """Returns the tokens of a path that its requests can use.

    Args:
        model: Properties of the model.
        hops: Hops of the path.
        crossing: Number of paths that share the link between data centres, if
            this one crosses it.
    """
    tokens = min(path_building.hop_tokens(model, h) for h in hops)
    slots = model.slots
    if crosses(hops):
        (path,) = path_building.build_paths(model, [("", hops)])
        slots = max(1, path.slots // crossing)
    return min(tokens, useful_tokens(model, slots))


def crosses(hops: Sequence[composition.Hop]) -> bool:
    """Returns whether a path crosses the link between data centres."""
    return any(
        a.engine.data_centre != b.engine.data_centre
        for a, b in itertools.pairwise(hops)
    )


def ready_ratio(load_s: float) -> float:
    """Returns the part of the horizon in which loaded layers are usable."""
    return max(0.0, 1.0 - load_s / HORIZON_S)


def cover_gaps(
    gaps: Iterable[upstreams.LayerRange],
    limited: Iterable[tuple[composition.Holding, int]],
) -> list[composition.Hop] | None:
    """Returns hops that fill gaps, or None if no engines hold a part.

    An engine may take a part of what it holds, for which its memory suffices.

    Args:
        gaps: Ranges to cover.
        limited: Available engines, and the most layers that each may take.
    """
    available = list(limited)
    hops: list[composition.Hop] = []
    for gap in gaps:
        first = gap.first
        while first < gap.last:
            best = None
            reach = first
            for holding, most in available:
                if not holding.layers.first <= first < holding.layers.last:
                    continue
                end = min(holding.layers.last, gap.last, first + most)
                if end > reach:
                    best, reach = holding, end
            if best is None:
                return None
            hops.append(composition.Hop(best.engine, first, reach, best.loaded))
            available = [a for a in available if a[0] is not best]
            first = reach
    return hops


def most_layers(
    model: rules.Model, holding: composition.Holding, tokens: float
) -> int:
    """Returns how many held layers of an engine have memory for tokens."""
    free_mb = (
        model.cards[holding.engine.card].memory_mb
        - holding.loaded * model.layer_mb
    )
    return int(
        max(0.0, free_mb) * 1e6 / (model.token_layer_bytes * max(1.0, tokens))
    )
