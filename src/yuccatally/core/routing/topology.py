"""Pipelines and their engines, derived once per configuration revision."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.routing import load

if TYPE_CHECKING:
    from yuccatally.core.config import configuration
    from yuccatally.core.objects import kinds


@dataclasses.dataclass(frozen=True)
class Stage:
    """A range of layers and the engines that hold it."""

    first_layer: int
    last_layer: int
    engines: tuple[str, ...]

    @property
    def layers(self) -> int:
        """Number of layers."""
        return self.last_layer - self.first_layer


@dataclasses.dataclass(frozen=True)
class Pipeline:
    """A pipeline with the engines of each stage."""

    name: str
    stages: tuple[Stage, ...]


@dataclasses.dataclass(frozen=True)
class Topology:
    """All pipelines by model and version, and declared rates by engine."""

    pipelines: dict[tuple[str, str], tuple[Pipeline, ...]]
    declared: dict[str, load.DeclaredRates]


def derive(config: configuration.Configuration) -> Topology:
    """Returns the topology of the configuration in force."""
    pipelines: dict[tuple[str, str], list[Pipeline]] = {}
    for pipeline in config.of_kind("pipeline"):
        spec = pipeline.spec
        stages = tuple(
            Stage(
                s.first_layer,
                s.last_layer,
                tuple(e.name for e in config.select("engine", s.selector)),
            )
            for s in spec.stages
        )
        key = (spec.model, spec.version)
        pipelines.setdefault(key, []).append(Pipeline(pipeline.name, stages))
    return Topology(
        {
            key: tuple(sorted(group, key=lambda p: p.name))
            for key, group in pipelines.items()
        },
        {e.name: _declared(e) for e in config.of_kind("engine")},
    )


def _declared(engine: kinds.Object) -> load.DeclaredRates:
    return load.DeclaredRates(
        engine.spec.step_base_ms / 1e3,
        engine.spec.token_layer_us / 1e6,
        engine.spec.batch,
    )
