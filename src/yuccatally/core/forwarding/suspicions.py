"""Engines that requests found at fault, as instances tell each other."""

from __future__ import annotations

import enum

import msgspec

# A finding counts for this long unless requests make it again; control asks an
# engine in doubt within this time.
SUSPICION_TTL_S = 1.5


class Incarnation(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an engine."""

    name: str
    born_ms: int


class Kind(enum.IntEnum):
    """What a request met."""

    # No answer, or an answer that broke off.
    SILENT = 1
    # A refusal that named this engine.
    REFUSING = 2


class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """A finding with its age.

    Attributes:
        engine: The engine.
        kind: What was found.
        age_s: Time since a request met it, in seconds.
    """

    engine: Incarnation
    kind: Kind
    age_s: float


class SuspicionTable:
    """Latest findings of this instance and of others.

    Findings are passed on with their age, so that instances which pass them to
    each other do not renew them.

    Attributes:
        noted_at: Monotonic time at which a request met each, in seconds.
    """

    def __init__(self) -> None:
        self.observed_at: dict[tuple[Kind, Incarnation], float] = {}

    def record(self, kind: Kind, engine: Incarnation, at: float) -> None:
        """Takes in a finding that was made at a time."""
        key = (kind, engine)
        self.observed_at[key] = max(at, self.observed_at.get(key, at))

    def merge(self, found: tuple[Suspicion, ...], now: float) -> None:
        """Takes in findings of another instance."""
        for suspicion in found:
            self.record(suspicion.kind, suspicion.engine, now - suspicion.age_s)

    def current(self, now: float) -> tuple[Suspicion, ...]:
        """Returns the findings that still count."""
        return tuple(
            Suspicion(engine, kind, round(now - at, 3))
            for (kind, engine), at in self.observed_at.items()
            if now - at < SUSPICION_TTL_S
        )

    def suspected(self, kind: Kind, now: float) -> set[Incarnation]:
        """Returns the engines with a finding of one kind that still counts."""
        return {
            engine
            for (found, engine), at in self.observed_at.items()
            if found is kind and now - at < SUSPICION_TTL_S
        }

    def expire(self, now: float) -> None:
        """Drops findings that count no more."""
        self.observed_at = {
            k: at
            for k, at in self.observed_at.items()
            if now - at < SUSPICION_TTL_S
        }
