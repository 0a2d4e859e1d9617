"""Relieves stages with too little memory by spare engines."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import pipelines

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams

# A stage with less limits its pipeline to half of its usual requests.
MIN_STAGE_TOKENS = 45e3
# A relief that gains less is not worth a load.
MIN_GAIN_RATIO = 1.3
# Memory up to which a larger part of a stage is worth taking.
ENOUGH_TOKENS = 75e3
# Results that differ by less count as equal, so that small engines are used.
RESULT_STEP_TOKENS = 10e3


@dataclasses.dataclass(frozen=True)
class Relief:
    """Changes that relieve stages.

    Attributes:
        stages: New stages of pipelines whose relieving engines hold theirs.
        replicas: Ranges that engines have to load first, by engine.
    """

    stages: dict[str, tuple[pipelines.Stage, ...]]
    replicas: dict[str, pipelines.Stage]


@dataclasses.dataclass(frozen=True)
class _Option:
    """A way to relieve a stage.

    Attributes:
        taken: Part that the spare engine takes.
        remaining: Part that the engine keeps; None if it is replaced.
        tokens: Tokens of the weaker of both.
        is_held: Whether the spare engine holds its part.
        is_planned: Whether it loads its part.
    """

    taken: pipelines.Stage
    remaining: pipelines.Stage | None
    tokens: float
    is_held: bool
    is_planned: bool

    @property
    def preference(self) -> tuple[bool, bool, float, int, str]:
        """Key by which options are compared; moves under way come first."""
        return (
            self.is_held,
            self.is_planned,
            min(self.tokens, ENOUGH_TOKENS) // RESULT_STEP_TOKENS,
            self.taken.first - self.taken.last,
            self.taken.engine,
        )


def relieve(
    model: rules.Model,
    usable: Mapping[str, upstreams.Upstream],
    spares: Iterable[str],
    stages: Mapping[str, tuple[pipelines.Stage, ...]],
    replicas: Mapping[str, pipelines.Stage],
) -> Relief:
    """Returns changes that give weak stages more memory.

    Load pattern: a pipeline is repaired with a stage that has memory for a
    handful of requests. Engines that return or are added take a part of that
    stage, or all of it. The stage serves until the new engine holds its part,
    so that nothing is taken away.

    Args:
        model: Properties of the model.
        usable: Usable engines by name, with the layers that they hold.
        spares: Engines that no pipeline uses.
        stages: Stages by pipeline.
        replicas: Ranges that spare engines hold or load.
    """
    free = {n: usable[n] for n in spares}
    changed: dict[str, tuple[pipelines.Stage, ...]] = {}
    loading: dict[str, pipelines.Stage] = {}
    weak = sorted(
        (
            (_tokens(model, usable, s), name, s)
            for name, of_pipeline in stages.items()
            for s in of_pipeline
        ),
        key=lambda w: (w[0], w[1], w[2].first),
    )
    for tokens, name, stage in weak:
        if tokens >= MIN_STAGE_TOKENS:
            break
        current = changed.get(name, stages[name])
        weak_count = sum(
            _tokens(model, usable, s) < MIN_STAGE_TOKENS for s in current
        )
        data_centre = usable[stage.engine].data_centre
        options = [
            option
            for engine in free.values()
            if engine.data_centre == data_centre
            for option in _options(
                model, usable, stage, engine, replicas.get(engine.name)
            )
            if option.tokens >= MIN_GAIN_RATIO * tokens
            and (
                option.remaining is None
                or len(current) < composition.MAX_HOP_COUNT
            )
        ]
        # Relief of some of the weak stages would gain nothing.
        if len({o.taken.engine for o in options}) < weak_count:
            continue
        best = max(options, key=lambda o: o.preference)
        del free[best.taken.engine]
        if not best.is_held:
            loading[best.taken.engine] = best.taken
            continue
        parts = [p for p in (best.taken, best.remaining) if p is not None]
        changed[name] = tuple(
            sorted(
                (*(s for s in current if s != stage), *parts),
                key=lambda s: s.first,
            )
        )
    return Relief(changed, loading)


def _options(
    model: rules.Model,
    usable: Mapping[str, upstreams.Upstream],
    stage: pipelines.Stage,
    engine: upstreams.Upstream,
    planned: pipelines.Stage | None,
) -> Iterator[_Option]:
    """Yields the ways in which an engine can relieve a stage."""
    card = model.cards[engine.card]
    for first, last in (
        (stage.first, stage.last),
        *((cut, stage.last) for cut in range(stage.first + 1, stage.last)),
        *((stage.first, cut) for cut in range(stage.first + 1, stage.last)),
    ):
        if last - first > model.max_layers(card):
            continue
        taken = pipelines.Stage(engine.name, engine.born_ms, first, last)
        remaining = _remaining(stage, taken)
        tokens = model.tokens(card, last - first)
        if remaining is not None:
            tokens = min(tokens, _tokens(model, usable, remaining))
        yield _Option(
            taken,
            remaining,
            tokens,
            engine.layers is not None and engine.layers.covers(first, last),
            planned == taken,
        )


def _remaining(
    stage: pipelines.Stage, taken: pipelines.Stage
) -> pipelines.Stage | None:
    """Returns what remains of a stage, or None."""
    if taken.first > stage.first:
        return dataclasses.replace(stage, last=taken.first)
    if taken.last < stage.last:
        return dataclasses.replace(stage, first=taken.last)
    return None


def _tokens(
    model: rules.Model,
    usable: Mapping[str, upstreams.Upstream],
    stage: pipelines.Stage,
) -> float:
    card = model.cards[usable[stage.engine].card]
    return model.tokens(card, stage.last - stage.first)
