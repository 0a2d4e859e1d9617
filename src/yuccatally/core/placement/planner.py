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

# Subsets are enumerated up to this many engines: 3**10 steps take 0.1 s.
EXACT_ENGINES = 10
# A pipeline larger than the smallest that holds the model is tried with up to
# this many more engines.
EXTRA_ENGINES = 3
# Moving layers means loading weights, so a plan changes only for a gain.
STABILITY_GAIN = 0.1


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
        number: Number that stays the same while the engines do.
        stages: Stages in order; they cover the layers of the model.
        requests_per_s: Rate of its slowest stage or link.
        reasons: Why each stage is as it is, one line each.
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
    """All pipelines of one model.

    Attributes:
        pipelines: Pipelines in the order of their numbers.
        unused: Engines that no pipeline uses.
        reason: How this plan came about.
    """

    pipelines: tuple[Pipeline, ...]
    unused: tuple[str, ...]
    reason: str

    @property
    def requests_per_s(self) -> float:
        """Rate of all pipelines together."""
        return sum(p.requests_per_s for p in self.pipelines)


def plan(
    workload: groups.ModelWorkload,
    engines: Iterable[rates.EngineRates],
    links: rates.Links,
    count: int = 0,
    previous: Plan | None = None,
) -> Plan:
    """Plans pipelines so that their total rate is as high as possible.

    Up to ``EXACT_ENGINES`` engines the partition into pipelines is exact;
    beyond, engines of one site and similar speed are grouped greedily. Both
    repeat the decisions of the previous plan unless a new plan is better by
    ``STABILITY_GAIN``.

    Args:
        workload: Layers of the model and mean request.
        engines: Engines that may be used.
        links: Links between sites.
        count: Greatest number of pipelines; 0 is as many as are useful.
        previous: Plan in force.

    Returns:
        The plan; it has no pipeline if the engines cannot hold the model.
    """
    available = {e.name: e for e in engines}
    planning = _Planning(workload, links)
    limit = count or len(available)
    fresh = planning.partition(list(available.values()), limit)
    if previous is None or not previous.pipelines:
        return _plan(fresh, available, {}, workload, "no plan was in force")
    kept = dict(_kept(previous, available, planning, limit))
    taken = {s.engine.name for g in kept.values() for s in g.shares}
    free = [e for e in available.values() if e.name not in taken]
    added = planning.partition(free, limit - len(kept))
    repaired = sum(g.requests_per_s for g in (*kept.values(), *added))
    gain = (
        sum(g.requests_per_s for g in fresh) / repaired - 1 if repaired else 1
    )
    if gain < STABILITY_GAIN:
        reason = f"kept {len(kept)} pipelines; a new plan gains {gain:.1%}"
        return _plan(added, available, kept, workload, reason)
    reason = f"planned anew; gains {gain:.1%} over keeping pipelines"
    return _plan(fresh, available, {}, workload, reason)


class _Planning:
    """Partition of engines into groups; equal groups are computed once."""

    def __init__(
        self, workload: groups.ModelWorkload, links: rates.Links
    ) -> None:
        self.workload = workload
        self.links = links
        self.known: dict[
            tuple[rates.EngineRates, ...], groups.PipelineGroup | None
        ]
        self.known = {}

    def group(
        self, members: Iterable[rates.EngineRates]
    ) -> groups.PipelineGroup | None:
        """Returns the fastest pipeline over the engines."""
        ordered = sorted(members, key=_kind)
        # Engines with the same rates and site are interchangeable, so the
        # result is kept under stand-in names and renamed.
        alike = tuple(
            dataclasses.replace(e, name=f"{i:04}")
            for i, e in enumerate(ordered)
        )
        if alike not in self.known:
            self.known[alike] = groups.fastest_pipeline(
                alike, self.workload, self.links
            )
        found = self.known[alike]
        if found is None:
            return None
        shares = tuple(
            groups.LayerShare(ordered[int(s.engine.name)], s.layers)
            for s in found.shares
        )
        return dataclasses.replace(found, shares=shares)

    def partition(
        self, available: list[rates.EngineRates], limit: int
    ) -> list[groups.PipelineGroup]:
        """Returns disjoint groups with a high total rate."""
        if limit <= 0:
            return []
        if len(available) <= EXACT_ENGINES:
            return self._exact(available, limit)
        return self._greedy(available, limit)

    def _exact(
        self, available: list[rates.EngineRates], limit: int
    ) -> list[groups.PipelineGroup]:
        ordered = sorted(available, key=_kind)

        @functools.cache
        def of(members: int) -> groups.PipelineGroup | None:
            chosen = (e for i, e in enumerate(ordered) if members >> i & 1)
            return self.group(chosen)

        @functools.cache
        def best(left: int, count: int) -> tuple[float, tuple[int, ...]]:
            if not left or not count:
                return 0.0, ()
            lowest = left & -left
            rest = left ^ lowest
            found = best(rest, count)
            chosen = rest
            while True:
                formed = of(chosen | lowest)
                if formed is not None:
                    more, others = best(rest ^ chosen, count - 1)
                    total = formed.requests_per_s + more
                    if total > found[0]:
                        found = total, (chosen | lowest, *others)
                if not chosen:
                    return found
                chosen = (chosen - 1) & rest

        _, subsets = best((1 << len(ordered)) - 1, min(limit, len(ordered)))
        formed = [of(subset) for subset in subsets]
        return [g for g in formed if g is not None]

    def _greedy(
        self, available: list[rates.EngineRates], limit: int
    ) -> list[groups.PipelineGroup]:
        made: list[groups.PipelineGroup] = []
        left: list[rates.EngineRates] = []
        by_site = itertools.groupby(
            sorted(available, key=lambda e: (e.data_centre, *_speed_first(e))),
            key=lambda e: e.data_centre,
        )
        for _, members in by_site:
            formed, rest = self._runs(list(members))
            made += formed
            left += rest
        across, _ = self._runs(left)
        made += across
        made.sort(key=lambda g: -g.requests_per_s)
        return made[:limit]

    def _runs(
        self, ordered: list[rates.EngineRates]
    ) -> tuple[list[groups.PipelineGroup], list[rates.EngineRates]]:
        """Cuts a sequence of engines into consecutive groups."""
        made = []
        while (found := self._first_run(ordered)) is not None:
            formed, size = found
            made.append(formed)
            used = {s.engine.name for s in formed.shares}
            spare = [e for e in ordered[:size] if e.name not in used]
            ordered = spare + ordered[size:]
        return made, ordered

    def _first_run(
        self, ordered: list[rates.EngineRates]
    ) -> tuple[groups.PipelineGroup, int] | None:
        smallest = _smallest(ordered, self.workload.layers)
        candidates = []
        for size in range(smallest, smallest + EXTRA_ENGINES + 1):
            if size > len(ordered):
                break
            formed = self.group(ordered[:size])
            if formed is not None:
                speed = sum(e.engine.token_layers_per_s for e in formed.shares)
                share = formed.requests_per_s / speed
                candidates.append((share, -size, formed))
        if not candidates:
            return None
        _, size, formed = max(candidates, key=lambda c: c[:2])
        return formed, -size


def _smallest(ordered: list[rates.EngineRates], layers: int) -> int:
    total = 0
    for size, engine in enumerate(ordered, 1):
        total += engine.max_layers
        if total >= layers:
            return size
    return len(ordered) + 1


def _kind(engine: rates.EngineRates) -> tuple[object, ...]:
    return (engine.data_centre, *_speed_first(engine))


def _speed_first(engine: rates.EngineRates) -> tuple[object, ...]:
    return (
        -engine.token_layers_per_s,
        engine.step_base_s,
        engine.batch,
        engine.name,
    )


def _kept(
    previous: Plan,
    available: dict[str, rates.EngineRates],
    planning: _Planning,
    limit: int,
) -> Iterator[tuple[int, groups.PipelineGroup]]:
    whole = [p for p in previous.pipelines if p.engines <= available.keys()]
    for pipeline in whole[:limit]:
        shares = tuple(
            groups.LayerShare(available[s.engine], s.last_layer - s.first_layer)
            for s in pipeline.stages
        )
        covered = sum(s.layers for s in shares) == planning.workload.layers
        if covered and all(s.layers <= s.engine.max_layers for s in shares):
            yield (
                pipeline.number,
                groups.build_group(shares, planning.workload, planning.links),
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
    made = tuple(
        Pipeline(
            number,
            tuple(_stages(group)),
            group.requests_per_s,
            tuple(_reasons(group, workload)),
        )
        for number, group in sorted(numbered.items())
    )
    used = {e for p in made for e in p.engines}
    return Plan(made, tuple(sorted(available.keys() - used)), reason)


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
