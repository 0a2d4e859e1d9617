"""Throughput of engines and links, from their declared rates."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class RequestShape:
    """Mean size of a request.

    Attributes:
        prefill: Tokens of the prompt.
        decode: Tokens generated.
    """

    prefill: float
    decode: float

    @property
    def positions(self) -> float:
        """Positions that each layer is applied to.

        The last token is not fed back.
        """
        return self.prefill + self.decode - 1


@dataclasses.dataclass(frozen=True)
class EngineRates:
    """Declared rates of one engine.

    Attributes:
        name: Name of the engine object.
        step_base_s: Fixed time of a step, in seconds.
        token_layer_s: Time for one layer and token, in seconds.
        batch: Greatest number of items in a step.
        max_layers: Layers that fit into its memory.
        site: Data centre; links are declared between sites.
    """

    name: str
    step_base_s: float
    token_layer_s: float
    batch: int
    max_layers: int
    data_centre: str = ""

    def request_s(self, layers: int, shape: RequestShape) -> float:
        """Returns the engine time one request costs at full batches."""
        base = shape.decode * self.step_base_s / self.batch
        return base + shape.positions * layers * self.token_layer_s

    def layers_at(self, requests_per_s: float, shape: RequestShape) -> int:
        """Returns how many layers it can apply at a rate of requests."""
        left = 1 / requests_per_s
        left -= shape.decode * self.step_base_s / self.batch
        layers = math.floor(left / (shape.positions * self.token_layer_s))
        return max(0, min(self.max_layers, layers))

    @property
    def token_layers_per_s(self) -> float:
        """Work per second at full batches over all layers it can hold."""
        work = self.batch * self.max_layers
        return work / (self.step_base_s + work * self.token_layer_s)


@dataclasses.dataclass(frozen=True)
class LinkRates:
    """Declared rates of a link between two sites.

    Attributes:
        delay_s: Time one way, in seconds; transfers overlap.
        token_s: Time the activations of one token occupy the link.
    """

    delay_s: float = 0.0
    token_s: float = 0.0

    def request_s(self, shape: RequestShape) -> float:
        """Returns the link time one request costs."""
        return shape.positions * self.token_s


LOCAL_LINK = LinkRates()


@dataclasses.dataclass(frozen=True)
class Links:
    """Links between sites; a pair that is not declared costs nothing.

    Attributes:
        between: Rates by ordered pair of sites.
    """

    between: dict[tuple[str, str], LinkRates] = dataclasses.field(
        default_factory=dict
    )

    def get(self, source: str, target: str) -> LinkRates:
        """Returns the link from one site to another."""
        return self.between.get((source, target), LOCAL_LINK)
