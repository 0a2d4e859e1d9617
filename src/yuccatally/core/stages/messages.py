"""Frames exchanged with engines.

The frames are msgspec structures, which resemble frozen data classes and are
decoded without an intermediate mapping. With array encoding, field names are
not sent.
"""

from __future__ import annotations

import msgspec


class StepItem(msgspec.Struct, frozen=True, array_like=True):
    """The part of a step that belongs to one sequence.

    Attributes:
        request: Request id.
        attempt: Attempt number, counted from 1.
        position: Position of the first value in the sequence.
        first_layer: First layer to apply.
        last_layer: Layer after the last one to apply.
        model: Name of the model.
        version: Version of the weights.
        values: Token ids for the first stage, activations for later ones.
        priority: Class of urgency; a lower value is served first.
        final: Whether this is the last stage, which returns one token id.
    """

    request: str
    attempt: int
    position: int
    first_layer: int
    last_layer: int
    model: str
    version: str
    values: list[int]
    priority: int = 1
    final: bool = False


class StepOutput(msgspec.Struct, frozen=True, array_like=True):
    """Result of one item: activations, or one token id of the last stage."""

    request: str
    attempt: int
    position: int
    values: list[int]


class StepRefusal(msgspec.Struct, frozen=True, array_like=True):
    """An item that the engine did not apply, and why."""

    request: str
    attempt: int
    position: int
    reason: str


class Step(msgspec.Struct, frozen=True, array_like=True, tag="step"):
    """A batch of items for one engine."""

    frame: int
    items: list[StepItem]


class StepResult(msgspec.Struct, frozen=True, array_like=True, tag="result"):
    """Results of some or all items of one frame."""

    frame: int
    outputs: list[StepOutput]
    refusals: list[StepRefusal] = []


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Releases the KV state of one attempt."""

    request: str
    attempt: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Application-level heartbeat."""

    nonce: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load that an engine reports, with some delay.

    Attributes:
        queued: Number of items that wait for a step or are in the current one.
        sequences: Number of sequences with KV state.
        age_s: Age of the report when it was sent, in seconds.
        steps: Number of steps completed since the engine started, -1 if not
            reported.
    """

    queued: int
    sequences: int
    age_s: float = 0.0
    steps: int = -1


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Heartbeat reply."""

    nonce: int
    report: LoadReport


class CacheEvents(msgspec.Struct, frozen=True, array_like=True, tag="cache"):
    """Changes of the prefix cache; a gap in the sequence means lost events.

    Attributes:
        sequence: Number of the first event.
        stored: Hashes of prefixes that are now cached.
        evicted: Hashes of prefixes that are no longer cached.
    """

    sequence: int
    stored: list[int]
    evicted: list[int]


ToEngine = Step | Cancel | Ping
FromEngine = StepResult | Pong | CacheEvents
