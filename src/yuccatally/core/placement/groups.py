"""The fastest pipeline that a given group of engines can form."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.placement import rates

MAX_SITES_ORDERED = 4


@dataclasses.dataclass(frozen=True)
class ModelWorkload:
    """What a pipeline has to do.

    Attributes:
        layers: Layers of the model.
        shape: Mean size of a request.
    """

    layers: int
    shape: rates.RequestShape


@dataclasses.dataclass(frozen=True)
class LayerShare:
    """An engine and how many layers it applies."""

    engine: rates.EngineRates
    layers: int


@dataclasses.dataclass(frozen=True)
class PipelineGroup:
    """Engines in the order of the stages.

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

    The split of the layers is exact: the possible rates of a stage are those
    of whole numbers of layers, and a rate is possible when the layers that
    the engines can apply at this rate cover the model. Engines of one site
    stay together; the order of the sites is tried out.

    Args:
        members: Engines that may be used.
        workload: Layers and mean request.
        links: Links between sites.

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
    """Returns the pipeline over shares in a given order."""
    slowest = min(
        1 / s.engine.request_s(s.layers, workload.shape) for s in order
    )
    crossed = [
        links.get(a.engine.data_centre, b.engine.data_centre)
        for a, b in itertools.pairwise(order)
    ]
    busy_s = max((x.request_s(workload.shape) for x in crossed), default=0.0)
    bound = busy_s > 0 and 1 / busy_s < slowest
    return PipelineGroup(
        order,
        1 / busy_s if bound else slowest,
        bound,
        sum(x.delay_s for x in crossed),
    )


def _highest_rate(
    usable: list[rates.EngineRates], workload: ModelWorkload
) -> float | None:
    if sum(e.max_layers for e in usable) < workload.layers:
        return None
    kinds = {(e.step_base_s, e.token_layer_s, e.batch): e for e in usable}
    most = min(workload.layers, max(e.max_layers for e in usable))
    periods = sorted(
        {
            engine.request_s(count, workload.shape)
            for engine in kinds.values()
            for count in range(1, most + 1)
        }
    )
    found = bisect.bisect_left(
        periods, True, key=lambda p: _covers(usable, workload, p)
    )
    return 1 / periods[found] if found < len(periods) else None


# Keeps a period that equals the time of a whole number of layers on the
# feasible side of rounding.
_SLACK = 1 + 1e-9


def _covers(
    usable: list[rates.EngineRates], workload: ModelWorkload, period_s: float
) -> bool:
    rate = 1 / (period_s * _SLACK)
    return (
        sum(e.layers_at(rate, workload.shape) for e in usable)
        >= workload.layers
    )


def _split(
    usable: list[rates.EngineRates], workload: ModelWorkload, rate: float
) -> list[LayerShare]:
    counts = {
        e.name: e.layers_at(rate / _SLACK, workload.shape) for e in usable
    }
    by_name = {e.name: e for e in usable}
    surplus = sum(counts.values()) - workload.layers
    while surplus > 0:
        held = [n for n, count in counts.items() if count]
        # An engine with few layers pays its step time for little work, so it
        # is emptied first when the surplus covers it.
        least = min(held, key=lambda n: (counts[n], n))
        taken = min(counts[least], surplus)
        if taken < counts[least]:
            least = max(
                held,
                key=lambda n: by_name[n].request_s(counts[n], workload.shape),
            )
            taken = 1
        counts[least] -= taken
        surplus -= taken
    return [LayerShare(e, counts[e.name]) for e in usable if counts[e.name]]


def _orders(shares: list[LayerShare]) -> Iterable[tuple[LayerShare, ...]]:
    sites: dict[str, list[LayerShare]] = {}
    for share in shares:
        sites.setdefault(share.engine.data_centre, []).append(share)
    names = sorted(sites)
    orders: Iterable[tuple[str, ...]] = [tuple(names)]
    if len(names) <= MAX_SITES_ORDERED:
        orders = itertools.permutations(names)
    for order in orders:
        yield tuple(s for data_centre in order for s in sites[data_centre])
