"""Engines that requests found at fault, as instances tell each other."""

from __future__ import annotations

import enum

import msgspec

# A finding counts for this long unless requests make it again; control asks an
# engine in doubt within this time.
FINDING_S = 1.5


class Engine(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an engine."""

    name: str
    born_ms: int


class Kind(enum.IntEnum):
    """What a request met."""

    # No answer, or an answer that broke off.
    SILENT = 1
    # A refusal that named this engine.
    REFUSING = 2


class Finding(msgspec.Struct, array_like=True, frozen=True):
    """A finding with its age.

    Attributes:
        engine: The engine.
        kind: What was found.
        age_s: Time since a request met it, in seconds.
    """

    engine: Engine
    kind: Kind
    age_s: float


class Findings:
    """Latest findings of this instance and of others.

    Findings are passed on with their age, so that instances which pass them to
    each other do not renew them.

    Attributes:
        noted_at: Monotonic time at which a request met each, in seconds.
    """

    def __init__(self) -> None:
        self.noted_at: dict[tuple[Kind, Engine], float] = {}

    def note(self, kind: Kind, engine: Engine, at: float) -> None:
        """Takes in a finding that was made at a time."""
        key = (kind, engine)
        self.noted_at[key] = max(at, self.noted_at.get(key, at))

    def take(self, found: tuple[Finding, ...], now: float) -> None:
        """Takes in findings of another instance."""
        for finding in found:
            self.note(finding.kind, finding.engine, now - finding.age_s)

    def told(self, now: float) -> tuple[Finding, ...]:
        """Returns the findings that still count."""
        return tuple(
            Finding(engine, kind, round(now - at, 3))
            for (kind, engine), at in self.noted_at.items()
            if now - at < FINDING_S
        )

    def engines(self, kind: Kind, now: float) -> set[Engine]:
        """Returns the engines with a finding of one kind that still counts."""
        return {
            engine
            for (found, engine), at in self.noted_at.items()
            if found is kind and now - at < FINDING_S
        }

    def expire(self, now: float) -> None:
        """Drops findings that count no more."""
        self.noted_at = {
            k: at for k, at in self.noted_at.items() if now - at < FINDING_S
        }
