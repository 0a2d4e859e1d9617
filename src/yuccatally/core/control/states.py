"""What control knows and what it orders."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Range:
    """A range of layers of one model version."""

    model: str
    version: str
    first_layer: int
    last_layer: int

    @property
    def layer_count(self) -> int:
        """Number of layers."""
        return self.last_layer - self.first_layer


@dataclasses.dataclass(frozen=True)
class Holding:
    """A range that an engine holds or loads.

    Attributes:
        range: The range.
        ready: Whether it can be used.
        sequences: Sequences in progress on it.
    """

    range: Range
    ready: bool
    sequences: int = 0


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine reported.

    Attributes:
        name: Name of the engine object.
        capacity_layers: Layers that fit into its memory.
        holdings: Ranges it holds or loads.
    """

    name: str
    capacity_layers: int
    holdings: tuple[Holding, ...]

    @property
    def free_layers(self) -> int:
        """Layers that still fit."""
        used = sum(h.range.layer_count for h in self.holdings)
        return self.capacity_layers - used

    def holding(self, wanted: Range) -> Holding | None:
        """Returns the holding of exactly this range."""
        for held in self.holdings:
            if held.range == wanted:
                return held
        return None


@dataclasses.dataclass(frozen=True)
class Stage:
    """One engine's part of a pipeline."""

    engine: str
    range: Range


@dataclasses.dataclass(frozen=True)
class Pipeline:
    """A pipeline with a fixed engine for each stage."""

    name: str
    model: str
    version: str
    stages: tuple[Stage, ...]


@dataclasses.dataclass(frozen=True)
class DesiredState:
    """What a placement asks for.

    Attributes:
        placement: Name of the placement object.
        model: Name of the model.
        version: Version that should be served.
        pipelines: Planned pipelines of that version.
    """

    placement: str
    model: str
    version: str
    pipelines: tuple[Pipeline, ...]


@dataclasses.dataclass(frozen=True)
class ObservedState:
    """What is the case.

    Attributes:
        served_version: Version that the model object names.
        declared: Pipelines of the placement that are declared as objects.
        engines: Reports of reachable engines by name.
    """

    served_version: str
    declared: tuple[Pipeline, ...]
    engines: dict[str, EngineState]


@dataclasses.dataclass(frozen=True)
class Load:
    """Order an engine to load a range."""

    engine: str
    range: Range


@dataclasses.dataclass(frozen=True)
class Unload:
    """Order an engine to drop a range."""

    engine: str
    range: Range


@dataclasses.dataclass(frozen=True)
class DeclarePipeline:
    """Write a pipeline object, so that requests can use it."""

    pipeline: Pipeline


@dataclasses.dataclass(frozen=True)
class RemovePipeline:
    """Delete a pipeline object."""

    name: str


@dataclasses.dataclass(frozen=True)
class SwitchVersion:
    """Write the version that new requests use into the model object."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True)
class Blocked:
    """Something that cannot be done yet, and why."""

    subject: str
    reason: str


Step = (
    Load | Unload | DeclarePipeline | RemovePipeline | SwitchVersion | Blocked
)
