"""Suspicions about engines, which instances exchange."""

from __future__ import annotations

import enum

import msgspec

# Lifetime of a suspicion that no request renews. The leader probes a suspected
# engine within this time.
SUSPICION_TTL_S = 1.5


class Incarnation(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an engine."""

    name: str
    born_ms: int


class Kind(enum.IntEnum):
    """Kind of failure that a request observed."""

    # No response, or a response that ended early.
    SILENT = 1
    # A refusal that named this engine as the cause.
    REFUSING = 2


class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """A suspicion with its age.

    Attributes:
        engine: Incarnation of the suspected engine.
        kind: Kind of failure.
        age_s: Time since a request observed it, in seconds.
    """

    engine: Incarnation
    kind: Kind
    age_s: float


class SuspicionTable:
    """Latest suspicions of this instance and of others.

    Suspicions are exchanged with their age, so that instances which forward
    them to each other do not renew them.

    Attributes:
        observed_at: Monotonic time in seconds at which a request last observed
            each failure.
    """

    def __init__(self) -> None:
        self.observed_at: dict[tuple[Kind, Incarnation], float] = {}

    def record(self, kind: Kind, engine: Incarnation, at: float) -> None:
        """Records a failure that a request observed at a time."""
        key = (kind, engine)
        self.observed_at[key] = max(at, self.observed_at.get(key, at))

    def merge(self, suspicions: tuple[Suspicion, ...], now: float) -> None:
        """Merges the suspicions of another instance."""
        for suspicion in suspicions:
            self.record(suspicion.kind, suspicion.engine, now - suspicion.age_s)

    def current(self, now: float) -> tuple[Suspicion, ...]:
        """Returns the suspicions that have not expired."""
        return tuple(
            Suspicion(engine, kind, round(now - at, 3))
            for (kind, engine), at in self.observed_at.items()
            if now - at < SUSPICION_TTL_S
        )

    def suspected(self, kind: Kind, now: float) -> set[Incarnation]:
        """Returns the engines with an unexpired suspicion of one kind."""
        return {
            engine
            for (other_kind, engine), at in self.observed_at.items()
            if other_kind is kind and now - at < SUSPICION_TTL_S
        }

    def expire(self, now: float) -> None:
        """Removes expired suspicions."""
        self.observed_at = {
            k: at
            for k, at in self.observed_at.items()
            if now - at < SUSPICION_TTL_S
        }
