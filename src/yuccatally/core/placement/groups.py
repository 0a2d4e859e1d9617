"""Computes the fastest pipeline over a given set of engines."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.placement import rates

# Up to this number of data centres, all of their orders are compared.
MAX_ORDERED_DATA_CENTRES_COUNT = 4


@dataclasses.dataclass(frozen=True)
class ModelWorkload:
    """The model and the requests that a pipeline is planned for.

    Attributes:
        layers: Number of layers of the model.
        shape: Mean size of a request.
    """

    layers: int
    shape: rates.RequestShape


@dataclasses.dataclass(frozen=True)
class LayerShare:
    """An engine and the number of layers it applies."""

    engine: rates.EngineRates
    layers: int


@dataclasses.dataclass(frozen=True)
class PipelineGroup:
    """Engines of a pipeline in the order of its stages.

    Attributes:
        shares: Engines with their number of layers.
        requests_per_s: Rate of the slowest stage or link.
        link_bound: Whether a link is slower than every stage.
        delay_s: Sum of the link delays along the pipeline, in seconds.
    """

    shares: tuple[LayerShare, ...]
    requests_per_s: float
    link_bound: bool
    delay_s: float


def fastest_pipeline(
    members: Iterable[rates.EngineRates],
    workload: ModelWorkload,
    links: rates.Links,
) -> PipelineGroup | None:
    """Returns the fastest pipeline over some or all of the engines.

    The split of the layers is exact: the candidate rates of a stage are those
    of whole numbers of layers, and a rate is feasible when the layers that
    the engines can apply at this rate cover the model. Engines of one data
    centre are consecutive; the orders of the data centres are compared.

    Args:
        members: Engines that may be used.
        workload: Number of layers and mean request.
        links: Links between data centres.

    Returns:
        The pipeline, None if the engines cannot hold the model.
    """
    usable = sorted(members, key=lambda e: e.name)
    rate = _highest_rate(usable, workload)
    if rate is None:
        return None
    shares = _split(usable, workload, rate)
    return max(
        (build_group(order, workload, links) for order in _orders(shares)),
        key=lambda g: (g.requests_per_s, -g.delay_s),
    )


def build_group(
    order: tuple[LayerShare, ...], workload: ModelWorkload, links: rates.Links
) -> PipelineGroup:
    """Returns the pipeline with the shares in a given order."""
    slowest = min(
        1 / s.engine.request_s(s.layers, workload.shape) for s in order
    )
    crossed_links = [
        links.get(a.engine.data_centre, b.engine.data_centre)
        for a, b in itertools.pairwise(order)
    ]
    busy_s = max(
        (x.request_s(workload.shape) for x in crossed_links), default=0.0
    )
    link_bound = busy_s > 0 and 1 / busy_s < slowest
    return PipelineGroup(
        order,
        1 / busy_s if link_bound else slowest,
        link_bound,
        sum(x.delay_s for x in crossed_links),
    )


def _highest_rate(
    usable: list[rates.EngineRates], workload: ModelWorkload
) -> float | None:
    if sum(e.max_layers for e in usable) < workload.layers:
        return None
    distinct = {(e.step_base_s, e.token_layer_s, e.batch): e for e in usable}
    max_count = min(workload.layers, max(e.max_layers for e in usable))
    periods = sorted(
        {
            engine.request_s(count, workload.shape)
            for engine in distinct.values()
            for count in range(1, max_count + 1)
        }
    )
    index = bisect.bisect_left(
        periods, True, key=lambda p: _covers(usable, workload, p)
    )
    return 1 / periods[index] if index < len(periods) else None


# Keeps a period that equals the time of a whole number of layers feasible
# despite rounding.
_ROUNDING_FACTOR = 1 + 1e-9


def _covers(
    usable: list[rates.EngineRates], workload: ModelWorkload, period_s: float
) -> bool:
    rate = 1 / (period_s * _ROUNDING_FACTOR)
    return (
        sum(e.layers_at(rate, workload.shape) for e in usable)
        >= workload.layers
    )


def _split(
    usable: list[rates.EngineRates], workload: ModelWorkload, rate: float
) -> list[LayerShare]:
    counts = {
        e.name: e.layers_at(rate / _ROUNDING_FACTOR, workload.shape)
        for e in usable
    }
    by_name = {e.name: e for e in usable}
    surplus = sum(counts.values()) - workload.layers
    while surplus > 0:
        used = [n for n, count in counts.items() if count]
        # An engine with few layers spends its fixed step time on little work,
        # so its layers are removed first if the surplus covers them.
        name = min(used, key=lambda n: (counts[n], n))
        removed = min(counts[name], surplus)
        if removed < counts[name]:
            name = max(
                used,
                key=lambda n: by_name[n].request_s(counts[n], workload.shape),
            )
            removed = 1
        counts[name] -= removed
        surplus -= removed
    return [LayerShare(e, counts[e.name]) for e in usable if counts[e.name]]


def _orders(shares: list[LayerShare]) -> Iterable[tuple[LayerShare, ...]]:
    by_data_centre: dict[str, list[LayerShare]] = {}
    for share in shares:
        by_data_centre.setdefault(share.engine.data_centre, []).append(share)
    names = sorted(by_data_centre)
    orders: Iterable[tuple[str, ...]] = [tuple(names)]
    if len(names) <= MAX_ORDERED_DATA_CENTRES_COUNT:
        orders = itertools.permutations(names)
    for order in orders:
        yield tuple(
            s for data_centre in order for s in by_data_centre[data_centre]
        )
