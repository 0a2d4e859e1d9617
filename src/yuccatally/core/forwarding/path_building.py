"""Builds the paths that requests may take from the hops of pipelines."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import dispatch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.forwarding import composition
    from yuccatally.core.forwarding import rules

# Part of the link between data centres that prompts may use. Decode steps queue
# behind prompts: with 40 ms a prompt, the mean wait for each crossing is 13 ms
# at this ratio and 80 ms at 0.8 (queue with constant service times).
PROMPT_LINK_RATIO = 0.4
# Requests on a path from which that limit estimates the duration of an answer:
# a little below the 40 that paths have at peak load.
TYPICAL_REQUEST_COUNT = 30


def build_paths(
    model: rules.Model,
    usable: Iterable[tuple[str, tuple[composition.Hop, ...]]],
) -> list[dispatch.Path]:
    """Returns the paths of pipelines whose stages are all usable.

    Load pattern: engines fail one after the other, until the pipelines of
    several data centres are repaired with engines of others. Their prompts
    queue on one link and every decode step queues behind them. With more
    requests than the link can carry, nothing is served in time. Paths that
    cross the link are therefore limited to an equal part of its capacity.
    """
    paths = [_build_path(model, name, hops) for name, hops in usable]
    crossing = sum(1 for p in paths if _crossing_count(p))
    return [
        dataclasses.replace(
            p,
            slots=_link_slots(model, p, crossing),
            link_s=_link_time_s(model, p),
        )
        if _crossing_count(p)
        else p
        for p in paths
    ]


def hop_tokens(model: rules.Model, hop: composition.Hop) -> float:
    """Returns the tokens of a path for which one of its engines has memory."""
    card = model.cards[hop.engine.card]
    if hop.shared_layers:
        return model.divided_tokens(
            card, max(hop.last - hop.first, hop.loaded), hop.shared_layers
        )
    return model.tokens(card, hop.last - hop.first, hop.loaded) / hop.sharers


def _build_path(
    model: rules.Model, name: str, hops: tuple[composition.Hop, ...]
) -> dispatch.Path:
    step_s = sequence_s = 0.0
    tokens = float("inf")
    context = (model.prompt_tokens + model.answer_tokens / 2) / 1e3
    for hop in hops:
        card = model.cards[hop.engine.card]
        share = (hop.last - hop.first) / model.layers
        step_s += share * card.step_factor * model.step_s
        sequence_s += (
            share
            * card.step_factor
            * (model.step_sequence_s + context * model.step_context_s)
        )
        tokens = min(tokens, hop_tokens(model, hop))
    return dispatch.Path(
        name=name,
        hops=tuple(h.engine for h in hops),
        ranges=tuple((h.first, h.last) for h in hops),
        step_s=step_s,
        sequence_s=sequence_s,
        tokens=tokens,
        slots=model.slots,
        data_centre=hops[0].engine.data_centre,
    )


def _crossing_count(path: dispatch.Path) -> int:
    """Returns how often a path crosses between data centres."""
    return sum(
        a.data_centre != b.data_centre for a, b in itertools.pairwise(path.hops)
    )


def _link_slots(
    model: rules.Model, path: dispatch.Path, crossing_path_count: int
) -> int:
    """Returns the request limit of a path that crosses the shared link.

    It is the number of prompts that the link carries during an answer, and at
    least one.

    Args:
        model: Properties of the model.
        path: A path that crosses the link.
        crossing_path_count: Number of paths that cross the link.
    """
    prompt_bytes = model.activation_bytes * model.prompt_tokens
    if not prompt_bytes or not model.pipe_mbps:
        return path.slots
    bytes_per_s = PROMPT_LINK_RATIO * model.pipe_mbps * 1e6 / 8
    per_s = bytes_per_s / (prompt_bytes * _crossing_count(path))
    step_s = path.step_s + path.sequence_s * TYPICAL_REQUEST_COUNT
    concurrent_requests = (
        per_s * model.answer_tokens * step_s / crossing_path_count
    )
    return max(1, min(path.slots, int(concurrent_requests)))


def _link_time_s(model: rules.Model, path: dispatch.Path) -> float:
    """Returns the time of a mean prompt on the links that a path crosses."""
    if not model.pipe_mbps:
        return 0.0
    prompt_bits = 8 * model.activation_bytes * model.prompt_tokens
    return _crossing_count(path) * prompt_bits / (model.pipe_mbps * 1e6)
