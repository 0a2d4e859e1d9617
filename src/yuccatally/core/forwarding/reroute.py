"""Paths around an engine that failed during a stream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import upstreams

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccatally.core.forwarding import dispatch


def path_around(
    path: dispatch.Path, failed: str, holdings: Sequence[composition.Holding]
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
    data_centre = path.hops[index].data_centre
    replacements = composition.cover_range(
        upstreams.LayerRange(first, last),
        [h for h in holdings if h.engine.address not in addresses],
        lambda h: (h.engine.data_centre == data_centre,),
    )
    if (
        replacements is None
        or len(path.hops) - 1 + len(replacements) > composition.MAX_HOP_COUNT
    ):
        return None
    hops = [*path.hops]
    ranges = [*path.ranges]
    hops[index : index + 1] = [r.engine for r in replacements]
    ranges[index : index + 1] = [(r.first, r.last) for r in replacements]
    return dataclasses.replace(path, hops=tuple(hops), ranges=tuple(ranges))
