"""Throughput of engines and links, computed from their declared rates."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class RequestShape:
    """Mean size of a request.

    Attributes:
        prefill: Mean number of prompt tokens.
        decode: Mean number of generated tokens.
    """

    prefill: float
    decode: float

    @property
    def positions(self) -> float:
        """Number of positions that each layer is applied to.

        The last generated token is not fed back.
        """
        return self.prefill + self.decode - 1


@dataclasses.dataclass(frozen=True)
class EngineRates:
    """Declared rates of one engine.

    Attributes:
        name: Name of the engine object.
        step_base_s: Fixed time of a step, in seconds.
        token_layer_s: Time for one layer and token, in seconds.
        batch: Maximum number of items in a step.
        max_layers: Maximum number of layers that fit into its memory.
        data_centre: Data centre; links are declared between data centres.
    """

    name: str
    step_base_s: float
    token_layer_s: float
    batch: int
    max_layers: int
    data_centre: str = ""

    def request_s(self, layers: int, shape: RequestShape) -> float:
        """Returns the engine time of one request at full batches."""
        base = shape.decode * self.step_base_s / self.batch
        return base + shape.positions * layers * self.token_layer_s

    def layers_at(self, requests_per_s: float, shape: RequestShape) -> int:
        """Returns the number of layers it can apply at a request rate."""
        budget_s = 1 / requests_per_s
        budget_s -= shape.decode * self.step_base_s / self.batch
        layers = math.floor(budget_s / (shape.positions * self.token_layer_s))
        return max(0, min(self.max_layers, layers))

    @property
    def token_layers_per_s(self) -> float:
        """Token-layers per second at full batches and ``max_layers`` layers."""
        work = self.batch * self.max_layers
        return work / (self.step_base_s + work * self.token_layer_s)


@dataclasses.dataclass(frozen=True)
class LinkRates:
    """Declared rates of a link between two data centres.

    Attributes:
        delay_s: One-way delay, in seconds; transfers overlap.
        token_s: Time that the activations of one token occupy the link, in
            seconds.
    """

    delay_s: float = 0.0
    token_s: float = 0.0

    def request_s(self, shape: RequestShape) -> float:
        """Returns the link time of one request."""
        return shape.positions * self.token_s


LOCAL_LINK = LinkRates()


@dataclasses.dataclass(frozen=True)
class Links:
    """Links between data centres; an undeclared link has no cost.

    Attributes:
        between: Rates by source and target data centre.
    """

    between: dict[tuple[str, str], LinkRates] = dataclasses.field(
        default_factory=dict
    )

    def get(self, source: str, target: str) -> LinkRates:
        """Returns the link from one data centre to another."""
        return self.between.get((source, target), LOCAL_LINK)
