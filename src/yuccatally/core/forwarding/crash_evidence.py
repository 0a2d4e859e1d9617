"""Evidence on requests that crash engines, which instances exchange."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from yuccatally.core.forwarding import suspicions  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Iterable

# A crash loses a few requests that have no event yet.
MAX_LOSS_COUNT = 512
# Engines that are remembered for each quarantined mark. A loss names one
# engine, so a mark explains all engines that were lost under it.
MAX_EXPLAINED_COUNT = MAX_LOSS_COUNT


@dataclasses.dataclass
class Loss:
    """A request that was lost before its first event.

    Attributes:
        at: Monotonic time of the loss, in seconds.
        ended: Whether its engine is known to have ended.
    """

    at: float
    ended: bool


@dataclasses.dataclass
class Quarantine:
    """Present or past quarantine of a mark.

    Attributes:
        until: Monotonic time of its end, in seconds.
        count: Number of quarantines of the mark so far.
        engines: Engines that have ended under the mark, the latest last.
        is_released: Whether a request was served with the mark since, so that
            new evidence is needed.
    """

    until: float
    count: int
    engines: dict[suspicions.Incarnation, None] = dataclasses.field(
        default_factory=dict
    )
    is_released: bool = False

    def add_engines(self, engines: Iterable[suspicions.Incarnation]) -> None:
        """Adds engines that have ended under the mark, the latest last."""
        for engine in engines:
            # Reinserted, so that engines of older losses are forgotten first.
            self.engines.pop(engine, None)
            self.engines[engine] = None
        while len(self.engines) > MAX_EXPLAINED_COUNT:
            del self.engines[next(iter(self.engines))]

    def latest_engines(self, count: int) -> tuple[suspicions.Incarnation, ...]:
        """Returns the latest engines, up to a number."""
        return tuple(self.engines)[-count:]


def explained(
    quarantines: Iterable[Quarantine],
) -> set[suspicions.Incarnation]:
    """Returns the engines that have ended under quarantined marks."""
    return {engine for q in quarantines for engine in q.engines}


class LostRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request that was lost before its first event.

    Attributes:
        engine: First engine of its path.
        marks: Shared parts of its prompt, in order, and its fingerprint; see
            ``marks``.
        age_s: Time since the loss, in seconds.
        ended: Whether the engine is known to have ended.
    """

    engine: suspicions.Incarnation
    marks: tuple[str, ...]
    age_s: float
    ended: bool


class QuarantinedMark(msgspec.Struct, array_like=True, frozen=True):
    """A mark in quarantine.

    Attributes:
        mark: The mark.
        left_s: Time until the quarantine ends, in seconds.
        count: Number of quarantines of this mark so far.
        engines: Engines that have ended under it, which need no other
            explanation.
    """

    mark: str
    left_s: float
    count: int
    engines: tuple[suspicions.Incarnation, ...] = ()


class Evidence(msgspec.Struct, array_like=True, frozen=True):
    """What an instance tells others.

    Attributes:
        losses: Recent losses.
        served_ages_s: Time since a request was last served, in seconds, by mark
            of these losses.
        quarantined: Marks in quarantine.
    """

    losses: tuple[LostRequest, ...] = ()
    served_ages_s: dict[str, float] = {}
    quarantined: tuple[QuarantinedMark, ...] = ()
