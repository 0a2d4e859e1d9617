"""Paths around an engine that was lost in the middle of a stream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from yuccatally.core.forwarding import dispatch
    from yuccatally.core.forwarding import upstreams

# Engines refuse paths with more parts.
MOST_PARTS = 32


@dataclasses.dataclass(frozen=True)
class Holding:
    """Layers that an engine holds."""

    engine: upstreams.Upstream
    layers: upstreams.LayerRange


def path_around(
    path: dispatch.Path, lost: str, holdings: Sequence[Holding]
) -> dispatch.Path | None:
    """Returns a path without a lost engine; the other parts stay.

    Load pattern: a later engine of a full pipeline dies while no other
    pipeline has room, so that its streams cannot go on elsewhere. Engines of
    other pipelines hold the lost layers; they read the stream so far through
    these layers alone.

    Args:
        path: Path of the stream.
        lost: Address of the lost engine.
        holdings: Engines that may be used, with what they hold.

    Returns:
        None if the lost engine is the first, which alone has the client's
        request, or not on the path, or if its layers are not held elsewhere.
    """
    addresses = [h.address for h in path.hops]
    if lost not in addresses[1:]:
        return None
    at = addresses.index(lost)
    first, last = path.ranges[at]
    cover = _cover(
        first,
        last,
        [h for h in holdings if h.engine.address not in addresses],
        path.hops[at].data_centre,
    )
    if cover is None or len(path.hops) - 1 + len(cover) > MOST_PARTS:
        return None
    hops = [*path.hops]
    ranges = [*path.ranges]
    hops[at : at + 1] = [engine for engine, _, _ in cover]
    ranges[at : at + 1] = [(start, end) for _, start, end in cover]
    return dataclasses.replace(path, hops=tuple(hops), ranges=tuple(ranges))


def _cover(
    first: int, last: int, holdings: Iterable[Holding], home: str
) -> list[tuple[upstreams.Upstream, int, int]] | None:
    """Returns engines for a range, those of a data centre before others.

    Each takes as many layers as it can, so that the path has few parts.
    """
    left = list(holdings)
    chosen: list[tuple[upstreams.Upstream, int, int]] = []
    while first < last:
        found = [h for h in left if h.layers.first <= first < h.layers.last]
        if not found:
            return None
        best = max(
            found, key=lambda h: (h.engine.data_centre == home, h.layers.last)
        )
        end = min(last, best.layers.last)
        chosen.append((best.engine, first, end))
        left = [h for h in left if h.engine != best.engine]
        first = end
    return chosen
