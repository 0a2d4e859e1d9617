"""Paths around an engine that failed during a stream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from yuccatally.core.forwarding import dispatch
    from yuccatally.core.forwarding import upstreams

# Engines reject paths with more hops.
MAX_HOP_COUNT = 32


@dataclasses.dataclass(frozen=True)
class Holding:
    """Layers that an engine has loaded."""

    engine: upstreams.Upstream
    layers: upstreams.LayerRange


def path_around(
    path: dispatch.Path, failed: str, holdings: Sequence[Holding]
) -> dispatch.Path | None:
    """Returns a path that replaces a failed engine and keeps the other hops.

    Load pattern: an engine after the first one of a full pipeline fails while
    no other pipeline has capacity, so its streams cannot move to another one.
    Engines of other pipelines hold the same layers; they recompute the stream
    so far for these layers only.

    Args:
        path: Path of the stream.
        failed: Address of the failed engine.
        holdings: Usable engines with the layers that they hold.

    Returns:
        The new path. None if the failed engine is the first one, which alone
        has the client's request, if it is not on the path, or if no other
        engines hold its layers.
    """
    addresses = [h.address for h in path.hops]
    if failed not in addresses[1:]:
        return None
    index = addresses.index(failed)
    first, last = path.ranges[index]
    replacements = _find_replacements(
        first,
        last,
        [h for h in holdings if h.engine.address not in addresses],
        path.hops[index].data_centre,
    )
    if (
        replacements is None
        or len(path.hops) - 1 + len(replacements) > MAX_HOP_COUNT
    ):
        return None
    hops = [*path.hops]
    ranges = [*path.ranges]
    hops[index : index + 1] = [engine for engine, _, _ in replacements]
    ranges[index : index + 1] = [(start, end) for _, start, end in replacements]
    return dataclasses.replace(path, hops=tuple(hops), ranges=tuple(ranges))


def _find_replacements(
    first: int, last: int, holdings: Iterable[Holding], data_centre: str
) -> list[tuple[upstreams.Upstream, int, int]] | None:
    """Returns engines for a range, those of a data centre before others.

    Each engine serves as many layers as it can, so that the path has few hops.
    """
    available = list(holdings)
    chosen: list[tuple[upstreams.Upstream, int, int]] = []
    while first < last:
        candidates = [
            h for h in available if h.layers.first <= first < h.layers.last
        ]
        if not candidates:
            return None
        best = max(
            candidates,
            key=lambda h: (h.engine.data_centre == data_centre, h.layers.last),
        )
        end = min(last, best.layers.last)
        chosen.append((best.engine, first, end))
        available = [h for h in available if h.engine != best.engine]
        first = end
    return chosen
