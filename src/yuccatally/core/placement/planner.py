"""Plans the pipelines of one model over engines of different speeds."""

from __future__ import annotations

import dataclasses
import functools
import itertools
from typing import TYPE_CHECKING

from yuccatally.core.placement import groups

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from yuccatally.core.placement import rates

# Subsets are enumerated up to this number of engines: 3**10 steps take 0.1 s.
EXACT_ENGINES_COUNT = 10
# Candidate pipelines have up to this number of engines more than the smallest
# one that holds the model.
EXTRA_ENGINES_COUNT = 3
# Moving layers requires loading weights, so a plan changes only for this gain.
MIN_GAIN_RATIO = 0.1


@dataclasses.dataclass(frozen=True)
class Stage:
    """A range of layers on one engine."""

    engine: str
    first_layer: int
    last_layer: int


@dataclasses.dataclass(frozen=True)
class Pipeline:
    """A planned pipeline.

    Attributes:
        number: Number that is stable while the engines are the same.
        stages: Stages in order; they cover the layers of the model.
        requests_per_s: Rate of its slowest stage or link.
        reasons: Explanation of each stage, one line each.
    """

    number: int
    stages: tuple[Stage, ...]
    requests_per_s: float
    reasons: tuple[str, ...]

    @property
    def engines(self) -> frozenset[str]:
        """Names of its engines."""
        return frozenset(s.engine for s in self.stages)


@dataclasses.dataclass(frozen=True)
class Plan:
    """A computed assignment of the layers of one model to engines.

    Attributes:
        pipelines: Pipelines in the order of their numbers.
        unused: Engines that no pipeline uses.
        reason: Why this plan was chosen.
    """

    pipelines: tuple[Pipeline, ...]
    unused: tuple[str, ...]
    reason: str

    @property
    def requests_per_s(self) -> float:
        """Total rate of all pipelines."""
        return sum(p.requests_per_s for p in self.pipelines)


def plan(
    workload: groups.ModelWorkload,
    engines: Iterable[rates.EngineRates],
    links: rates.Links,
    count: int = 0,
    previous: Plan | None = None,
) -> Plan:
    """Plans pipelines for the highest total rate.

    Up to ``EXACT_ENGINES_COUNT`` engines the partition into pipelines is
    exact; beyond, engines of one data centre and similar speed are grouped
    greedily. Both keep the pipelines of the previous plan unless a new plan
    is better by ``MIN_GAIN_RATIO``.

    Args:
        workload: Number of layers of the model and mean request.
        engines: Engines that may be used.
        links: Links between data centres.
        count: Maximum number of pipelines; 0 means as many as are useful.
        previous: Plan in force.

    Returns:
        The plan; it has no pipeline if the engines cannot hold the model.
    """
    available = {e.name: e for e in engines}
    partitioner = _Partitioner(workload, links)
    limit = count or len(available)
    replacement = partitioner.partition(list(available.values()), limit)
    if previous is None or not previous.pipelines:
        return _plan(
            replacement, available, {}, workload, "no plan was in force"
        )
    kept = dict(_unchanged(previous, available, partitioner, limit))
    taken = {s.engine.name for g in kept.values() for s in g.shares}
    free = [e for e in available.values() if e.name not in taken]
    added = partitioner.partition(free, limit - len(kept))
    repaired = sum(g.requests_per_s for g in (*kept.values(), *added))
    gain = (
        sum(g.requests_per_s for g in replacement) / repaired - 1
        if repaired
        else 1
    )
    if gain < MIN_GAIN_RATIO:
        reason = f"kept {len(kept)} pipelines; a new plan gains {gain:.1%}"
        return _plan(added, available, kept, workload, reason)
    reason = f"planned anew; gains {gain:.1%} over keeping pipelines"
    return _plan(replacement, available, {}, workload, reason)


class _Partitioner:
    """Partitions engines into groups and caches the result of equal groups."""

    def __init__(
        self, workload: groups.ModelWorkload, links: rates.Links
    ) -> None:
        self.workload = workload
        self.links = links
        self.cache: dict[
            tuple[rates.EngineRates, ...], groups.PipelineGroup | None
        ]
        self.cache = {}

    def group(
        self, members: Iterable[rates.EngineRates]
    ) -> groups.PipelineGroup | None:
        """Returns the fastest pipeline over the engines."""
        ordered = sorted(members, key=_sort_key)
        # Engines with the same rates and data centre are interchangeable, so
        # the result is cached under placeholder names and then renamed.
        placeholders = tuple(
            dataclasses.replace(e, name=f"{i:04}")
            for i, e in enumerate(ordered)
        )
        if placeholders not in self.cache:
            self.cache[placeholders] = groups.fastest_pipeline(
                placeholders, self.workload, self.links
            )
        result = self.cache[placeholders]
        if result is None:
            return None
        shares = tuple(
            groups.LayerShare(ordered[int(s.engine.name)], s.layers)
            for s in result.shares
        )
        return dataclasses.replace(result, shares=shares)

    def partition(
        self, available: list[rates.EngineRates], limit: int
    ) -> list[groups.PipelineGroup]:
        """Returns disjoint groups with a high total rate."""
        if limit <= 0:
            return []
        if len(available) <= EXACT_ENGINES_COUNT:
            return self._exact(available, limit)
        return self._greedy(available, limit)

    def _exact(
        self, available: list[rates.EngineRates], limit: int
    ) -> list[groups.PipelineGroup]:
        ordered = sorted(available, key=_sort_key)

        @functools.cache
        def group_of(members: int) -> groups.PipelineGroup | None:
            subset = (e for i, e in enumerate(ordered) if members >> i & 1)
            return self.group(subset)

        @functools.cache
        def best_partition(
            remaining: int, count: int
        ) -> tuple[float, tuple[int, ...]]:
            if not remaining or not count:
                return 0.0, ()
            lowest = remaining & -remaining
            rest = remaining ^ lowest
            result = best_partition(rest, count)
            subset = rest
            while True:
                formed = group_of(subset | lowest)
                if formed is not None:
                    more, others = best_partition(rest ^ subset, count - 1)
                    total = formed.requests_per_s + more
                    if total > result[0]:
                        result = total, (subset | lowest, *others)
                if not subset:
                    return result
                subset = (subset - 1) & rest

        _, subsets = best_partition(
            (1 << len(ordered)) - 1, min(limit, len(ordered))
        )
        formed = [group_of(subset) for subset in subsets]
        return [g for g in formed if g is not None]

    def _greedy(
        self, available: list[rates.EngineRates], limit: int
    ) -> list[groups.PipelineGroup]:
        formed_groups: list[groups.PipelineGroup] = []
        ungrouped: list[rates.EngineRates] = []
        by_data_centre = itertools.groupby(
            sorted(available, key=lambda e: (e.data_centre, *_speed_key(e))),
            key=lambda e: e.data_centre,
        )
        for _, members in by_data_centre:
            formed, rest = self._consecutive_groups(list(members))
            formed_groups += formed
            ungrouped += rest
        cross_data_centre, _ = self._consecutive_groups(ungrouped)
        formed_groups += cross_data_centre
        formed_groups.sort(key=lambda g: -g.requests_per_s)
        return formed_groups[:limit]

    def _consecutive_groups(
        self, ordered: list[rates.EngineRates]
    ) -> tuple[list[groups.PipelineGroup], list[rates.EngineRates]]:
        """Splits a sequence of engines into consecutive groups."""
        formed_groups = []
        while (result := self._first_group(ordered)) is not None:
            formed, size = result
            formed_groups.append(formed)
            used = {s.engine.name for s in formed.shares}
            spare = [e for e in ordered[:size] if e.name not in used]
            ordered = spare + ordered[size:]
        return formed_groups, ordered

    def _first_group(
        self, ordered: list[rates.EngineRates]
    ) -> tuple[groups.PipelineGroup, int] | None:
        smallest = _smallest_size(ordered, self.workload.layers)
        candidates = []
        for size in range(smallest, smallest + EXTRA_ENGINES_COUNT + 1):
            if size > len(ordered):
                break
            formed = self.group(ordered[:size])
            if formed is not None:
                speed = sum(e.engine.token_layers_per_s for e in formed.shares)
                efficiency = formed.requests_per_s / speed
                candidates.append((efficiency, -size, formed))
        if not candidates:
            return None
        _, size, formed = max(candidates, key=lambda c: c[:2])
        return formed, -size


def _smallest_size(ordered: list[rates.EngineRates], layers: int) -> int:
    total = 0
    for size, engine in enumerate(ordered, 1):
        total += engine.max_layers
        if total >= layers:
            return size
    return len(ordered) + 1


def _sort_key(engine: rates.EngineRates) -> tuple[object, ...]:
    return (engine.data_centre, *_speed_key(engine))


def _speed_key(engine: rates.EngineRates) -> tuple[object, ...]:
    return (
        -engine.token_layers_per_s,
        engine.step_base_s,
        engine.batch,
        engine.name,
    )


def _unchanged(
    previous: Plan,
    available: dict[str, rates.EngineRates],
    partitioner: _Partitioner,
    limit: int,
) -> Iterator[tuple[int, groups.PipelineGroup]]:
    complete = [p for p in previous.pipelines if p.engines <= available.keys()]
    for pipeline in complete[:limit]:
        shares = tuple(
            groups.LayerShare(available[s.engine], s.last_layer - s.first_layer)
            for s in pipeline.stages
        )
        covered = sum(s.layers for s in shares) == partitioner.workload.layers
        if covered and all(s.layers <= s.engine.max_layers for s in shares):
            yield (
                pipeline.number,
                groups.build_group(
                    shares, partitioner.workload, partitioner.links
                ),
            )


def _plan(
    added: list[groups.PipelineGroup],
    available: dict[str, rates.EngineRates],
    kept: dict[int, groups.PipelineGroup],
    workload: groups.ModelWorkload,
    reason: str,
) -> Plan:
    numbers = (n for n in itertools.count(1) if n not in kept)
    numbered = {**kept, **dict(zip(numbers, added, strict=False))}
    pipelines = tuple(
        Pipeline(
            number,
            tuple(_stages(group)),
            group.requests_per_s,
            tuple(_reasons(group, workload)),
        )
        for number, group in sorted(numbered.items())
    )
    used = {e for p in pipelines for e in p.engines}
    return Plan(pipelines, tuple(sorted(available.keys() - used)), reason)


def _stages(group: groups.PipelineGroup) -> Iterator[Stage]:
    first = 0
    for share in group.shares:
        yield Stage(share.engine.name, first, first + share.layers)
        first += share.layers


def _reasons(
    group: groups.PipelineGroup, workload: groups.ModelWorkload
) -> Iterator[str]:
    slowest = max(
        s.engine.request_s(s.layers, workload.shape) for s in group.shares
    )
    for share, stage in zip(group.shares, _stages(group), strict=True):
        busy_s = share.engine.request_s(share.layers, workload.shape)
        text = (
            f"layers {stage.first_layer} to {stage.last_layer} on "
            f"{stage.engine}: {busy_s * 1e3:.1f} ms for each request"
        )
        if share.layers == share.engine.max_layers:
            text += ", memory is full"
        if busy_s == slowest and not group.link_bound:
            text += f", slowest stage at {1 / busy_s:.1f} requests/s"
        yield text
    if group.link_bound:
        yield f"a link limits it to {group.requests_per_s:.1f} requests/s"
