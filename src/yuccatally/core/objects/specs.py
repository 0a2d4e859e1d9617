"""Specification of each kind of object."""

from __future__ import annotations

import dataclasses
import enum
import math
import re

from yuccatally.core import selectors

ADDRESS_PATTERN = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_WEIGHT = 1000


class Urgency(enum.IntEnum):
    """Urgency class; a lower value is served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """A model engine.

    Attributes:
        address: ``IP:PORT`` of its HTTP interface.
        data_centre: Data centre that the engine runs in.
        kind: Kind of accelerator, free text.
        checks_fencing: Whether the engine refuses orders with an old fencing
            number.
        step_base_ms: Declared fixed time of a step; 0 if unknown.
        token_layer_us: Declared time per token and layer; 0 if unknown.
        batch: Declared maximum number of items in a step; 0 if unknown.
        max_layers: Number of layers that fit into its memory; 0 if unknown.
    """

    address: str
    data_centre: str
    kind: str = "generic"
    checks_fencing: bool = False
    step_base_ms: float = 0.0
    token_layer_us: float = 0.0
    batch: int = 0
    max_layers: int = 0

    def __post_init__(self) -> None:
        _check_address(self.address)
        for key in ("step_base_ms", "token_layer_us", "batch", "max_layers"):
            if not 0 <= getattr(self, key) < math.inf:
                raise ValueError(f"{key}: must be at least 0")


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """The replicas of an HTTP service.

    Attributes:
        addresses: ``IP:PORT`` of each replica.
        data_centre: Data centre that the replicas run in.
    """

    addresses: tuple[str, ...]
    data_centre: str

    def __post_init__(self) -> None:
        if not self.addresses:
            raise ValueError("addresses: name at least one IP:PORT")
        for address in self.addresses:
            _check_address(address)


@dataclasses.dataclass(frozen=True)
class ModelSpec:
    """A language model.

    Attributes:
        layers: Number of layers.
        version: Version of the weights.
        end_token: ID of the token that ends an answer.
        context_tokens: Maximum length of prompt and answer together, in tokens.
    """

    layers: int
    version: str
    end_token: int = 0
    context_tokens: int = 8192

    def __post_init__(self) -> None:
        if self.layers < 1:
            raise ValueError("layers: must be at least 1")


@dataclasses.dataclass(frozen=True)
class StageSpec:
    """A contiguous range of layers and the engines that may hold it.

    Attributes:
        first_layer: First layer, counted from 0.
        last_layer: End of the range, exclusive.
        selector: Label selector over engines.
    """

    first_layer: int
    last_layer: int
    selector: str

    def __post_init__(self) -> None:
        if not 0 <= self.first_layer < self.last_layer:
            raise ValueError("first_layer must be below last_layer")
        _check_selector(self.selector)


@dataclasses.dataclass(frozen=True)
class PipelineSpec:
    """A model split into stages.

    Attributes:
        model: Name of the model object.
        version: Version of the weights that every stage must have loaded.
        stages: Stages in order, covering the layers without gap or overlap.
    """

    model: str
    version: str
    stages: tuple[StageSpec, ...]

    def __post_init__(self) -> None:
        expected = 0
        for stage in self.stages:
            if stage.first_layer != expected:
                raise ValueError(
                    f"stages: expected a stage that starts at layer {expected},"
                    f" found {stage.first_layer}"
                )
            expected = stage.last_layer
        if not self.stages:
            raise ValueError("stages: name at least one stage")


@dataclasses.dataclass(frozen=True)
class RoutingRuleSpec:
    """Handling of calls to one service.

    Attributes:
        service: Name of the service object.
        methods: HTTP methods to which the rule applies.
        path_prefix: Prefix of the path below ``/services/NAME``.
        idempotent: Whether a call may be retried.
        timeout_s: Maximum wait for the service's answer, in seconds.
    """

    service: str
    methods: tuple[str, ...]
    path_prefix: str = "/"
    idempotent: bool = False
    timeout_s: float = 10.0

    def __post_init__(self) -> None:
        if not self.path_prefix.startswith("/"):
            raise ValueError("path_prefix: must start with /")
        if not 0 < self.timeout_s <= 600:
            raise ValueError("timeout_s: must be above 0 and at most 600")


@dataclasses.dataclass(frozen=True)
class ClientAccountSpec:
    """A client account.

    Attributes:
        key_sha256: SHA-256 of the API key, in hexadecimal.
        urgency: Urgency class of its requests: urgent, normal or batch.
        requests_per_s: Admission limit over all instances; 0 is no limit.
        tokens_per_s: Generation limit over all instances; 0 is no limit.
        weight: Relative share within the urgency class.
    """

    key_sha256: str
    urgency: str = "normal"
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    weight: int = 1

    def __post_init__(self) -> None:
        if not SHA256_PATTERN.fullmatch(self.key_sha256):
            raise ValueError("key_sha256: expected 64 hexadecimal digits")
        if self.urgency.upper() not in Urgency.__members__:
            raise ValueError("urgency: expected urgent, normal or batch")
        if not 1 <= self.weight <= MAX_WEIGHT:
            raise ValueError(f"weight: must be from 1 to {MAX_WEIGHT}")
        for key in ("requests_per_s", "tokens_per_s"):
            if not 0 <= getattr(self, key) < math.inf:
                raise ValueError(f"{key}: must be at least 0; 0 is no limit")


@dataclasses.dataclass(frozen=True)
class PlacementSpec:
    """Placement of a model on engines.

    Attributes:
        model: Name of the model object.
        version: Version of the weights.
        selector: Label selector of engines that may be used.
        exclude: Label selector of engines that must not be used; empty
            excludes none.
        pipelines: Maximum number of pipelines; 0 for as many as are useful.
    """

    model: str
    version: str
    selector: str = ""
    exclude: str = ""
    pipelines: int = 0

    def __post_init__(self) -> None:
        _check_selector(self.selector)
        _check_selector(self.exclude)
        if self.pipelines < 0:
            raise ValueError("pipelines: must be at least 0")


def _check_address(address: str) -> None:
    if not ADDRESS_PATTERN.fullmatch(address):
        raise ValueError(f"address: expected IP:PORT, found {address!r}")


def _check_selector(text: str) -> None:
    parsed = selectors.parse(text)
    if parsed.is_error():
        raise ValueError(str(parsed.error))
