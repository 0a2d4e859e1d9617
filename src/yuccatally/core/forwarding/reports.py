"""What engines report and what they are ordered to do."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccatally.core.forwarding import upstreams


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """State of an engine some hundred milliseconds ago.

    Attributes:
        accepted_order_count: Orders accepted since its start.
        busy: Whether an order is being carried out.
        born_ms: Time of its start, milliseconds since 1970.
        waiting: Requests that wait.
        running: Requests that run.
        used_token_layers: Memory taken by requests, in tokens x layers.
        total_token_layers: Memory for requests, in tokens x layers.
        slowdown_factor: Measured time divided by the declared time.
        layers: Layers that it holds; None for none.
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
    """Order to hold exactly a range of layers.

    Attributes:
        layers: The range.
        fence: Fencing number of the lease under which it is given.
        expected_orders: Orders that the engine must have accepted before, so
            that a delayed order cannot undo a later one.
    """

    layers: upstreams.LayerRange
    fence: int
    expected_orders: int


@dataclasses.dataclass(frozen=True)
class Rerouted:
    """A request goes on over another path."""


@dataclasses.dataclass(frozen=True)
class NotRerouted:
    """An order to reroute a request was not carried out.

    Attributes:
        reason: What the engine said, for logs.
        faulty_address: Engine of the path that cannot take its part; empty
            if none was named.
    """

    reason: str
    faulty_address: str = ""


class Outcome(enum.Enum):
    """What became of an order."""

    BEGUN = enum.auto()
    HOLDS_ALREADY = enum.auto()
    STATE_DIFFERS = enum.auto()
    STALE_FENCE = enum.auto()
    REFUSED = enum.auto()
    # Nothing was sent: there is no connection to the engine.
    UNREACHABLE = enum.auto()
    # It may be carried out at any later time.
    UNKNOWN = enum.auto()
