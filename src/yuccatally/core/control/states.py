"""Desired and observed state of placements, and the steps between them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Range:
    """A range of layers of a model version; ``last_layer`` is exclusive."""

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
    """A range that an engine has loaded or is loading.

    Attributes:
        range: The range.
        ready: Whether it is loaded.
        sequences: Number of sequences in progress on it.
    """

    range: Range
    ready: bool
    sequences: int = 0


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State that an engine reported.

    Attributes:
        name: Name of the engine object.
        capacity_layers: Number of layers that fit into its memory.
        holdings: Ranges that it has loaded or is loading.
    """

    name: str
    capacity_layers: int
    holdings: tuple[Holding, ...]

    @property
    def free_layers(self) -> int:
        """Number of additional layers that fit."""
        used = sum(h.range.layer_count for h in self.holdings)
        return self.capacity_layers - used

    def holding(self, wanted: Range) -> Holding | None:
        """Returns the holding with exactly this range."""
        for held in self.holdings:
            if held.range == wanted:
                return held
        return None


@dataclasses.dataclass(frozen=True)
class Stage:
    """Part of a pipeline that runs on one engine."""

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
    """Desired state of a placement.

    Attributes:
        placement: Name of the placement object.
        model: Name of the model.
        version: Version to serve.
        pipelines: Planned pipelines of that version.
    """

    placement: str
    model: str
    version: str
    pipelines: tuple[Pipeline, ...]


@dataclasses.dataclass(frozen=True)
class ObservedState:
    """Observed state of a placement.

    Attributes:
        served_version: Version in the model object.
        declared: Pipelines of the placement that are declared as objects.
        engines: States reported by reachable engines, by name.
    """

    served_version: str
    declared: tuple[Pipeline, ...]
    engines: dict[str, EngineState]


@dataclasses.dataclass(frozen=True)
class Load:
    """Orders an engine to load a range."""

    engine: str
    range: Range


@dataclasses.dataclass(frozen=True)
class Unload:
    """Orders an engine to unload a range."""

    engine: str
    range: Range


@dataclasses.dataclass(frozen=True)
class DeclarePipeline:
    """Writes a pipeline object, which makes the pipeline usable."""

    pipeline: Pipeline


@dataclasses.dataclass(frozen=True)
class RemovePipeline:
    """Deletes a pipeline object."""

    name: str


@dataclasses.dataclass(frozen=True)
class SwitchVersion:
    """Sets the version for new requests in the model object."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True)
class Blocked:
    """A step that is not possible yet, with the reason."""

    subject: str
    reason: str


Step = (
    Load | Unload | DeclarePipeline | RemovePipeline | SwitchVersion | Blocked
)
