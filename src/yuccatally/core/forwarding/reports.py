"""Load reports of engines and orders to them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccatally.core.forwarding import upstreams


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """State of an engine, a few hundred milliseconds old.

    Attributes:
        accepted_order_count: Number of orders accepted since its start.
        busy: Whether it is executing an order.
        born_ms: Start time, milliseconds since 1970.
        waiting: Number of queued requests.
        running: Number of running requests.
        used_token_layers: Memory used by requests, in tokens x layers.
        total_token_layers: Memory available to requests, in tokens x layers.
        slowdown_factor: Measured time divided by the declared time.
        layers: Layers that it has loaded; None for none.
        stalled_on: Address of the engine that each request waits for.
    """

    accepted_order_count: int
    busy: bool
    born_ms: int
    waiting: int
    running: int
    used_token_layers: float
    total_token_layers: float
    slowdown_factor: float
    layers: upstreams.LayerRange | None
    stalled_on: dict[str, str]


@dataclasses.dataclass(frozen=True)
class LayersOrder:
    """Orders an engine to hold exactly one range of layers.

    Attributes:
        layers: The range.
        fence: Fencing number of the control lease.
        expected_orders: Number of orders that the engine must have accepted
            before, so that a delayed order cannot undo a later one.
    """

    layers: upstreams.LayerRange
    fence: int
    expected_orders: int


@dataclasses.dataclass(frozen=True)
class Rerouted:
    """A request continues on another path."""


@dataclasses.dataclass(frozen=True)
class NotRerouted:
    """An order to reroute a request was not executed.

    Attributes:
        reason: Reason given by the engine, for logs.
        faulty_address: Address of the engine of the path that cannot serve its
            stage; empty if none was named.
    """

    reason: str
    faulty_address: str = ""


class Outcome(enum.Enum):
    """Result of an order to an engine."""

    BEGUN = enum.auto()
    HOLDS_ALREADY = enum.auto()
    STATE_DIFFERS = enum.auto()
    STALE_FENCE = enum.auto()
    REFUSED = enum.auto()
    # Not sent, because no connection to the engine exists.
    UNREACHABLE = enum.auto()
    # The engine may still execute the order at any later time.
    UNKNOWN = enum.auto()
