"""Pipelines of a model on engines that forward by themselves."""

from __future__ import annotations

import dataclasses

from yuccatally.core.forwarding import upstreams


@dataclasses.dataclass(frozen=True)
class Stage:
    """A range of layers on one incarnation of an engine.

    Attributes:
        engine: Name of the engine.
        born_ms: Start time of the engine, milliseconds since 1970.
        first: First layer.
        last: Last layer, exclusive.
    """

    engine: str
    born_ms: int
    first: int
    last: int

    @property
    def layers(self) -> upstreams.LayerRange:
        """Range of layers."""
        return upstreams.LayerRange(self.first, self.last)


@dataclasses.dataclass(frozen=True)
class Pipeline:
    """Stages that cover every layer exactly once, in order.

    Raises:
        ValueError: A layer is missing, duplicate or out of order.
    """

    name: str
    stages: tuple[Stage, ...]

    def __post_init__(self) -> None:
        next_layer = 0
        for stage in self.stages:
            if stage.first != next_layer or stage.last <= stage.first:
                raise ValueError(
                    f"{self.name}: gap or overlap at layer {next_layer}"
                )
            next_layer = stage.last

    @property
    def layers(self) -> int:
        """Number of layers that the stages cover."""
        return self.stages[-1].last if self.stages else 0


@dataclasses.dataclass(frozen=True)
class Plan:
    """The pipelines of one service.

    Attributes:
        generation: Number of the plan, which increases with each change.
        pipelines: Pipelines, ordered by name.
        fence: Fencing number of the lease under which it was computed.
        replicas: Ranges that further engines hold, ordered by engine. They
            complete pipelines whose engines fail.
    """

    generation: int = 0
    pipelines: tuple[Pipeline, ...] = ()
    fence: int = 0
    replicas: tuple[Stage, ...] = ()

    @property
    def rank(self) -> tuple[int, int]:
        """Precedence of plans; a later leader takes precedence."""
        return (self.fence, self.generation)

    @property
    def stages(self) -> dict[str, Stage]:
        """Stages of pipelines, and replicas, by engine."""
        stages = (
            *self.replicas,
            *(s for p in self.pipelines for s in p.stages),
        )
        return {s.engine: s for s in stages}
