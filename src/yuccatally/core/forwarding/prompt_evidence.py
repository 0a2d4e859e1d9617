"""Evidence on prompts that crash engines, which instances exchange."""

from __future__ import annotations

import msgspec

from yuccatally.core.forwarding import suspicions  # noqa: TC001


class PromptLoss(msgspec.Struct, array_like=True, frozen=True):
    """A request that was lost before its first event.

    Attributes:
        engine: First engine of its path.
        parts: Shared parts of its prompt, in order.
        age_s: Time since the loss, in seconds.
        ended: Whether the engine is known to have ended.
    """

    engine: suspicions.Incarnation
    parts: tuple[str, ...]
    age_s: float
    ended: bool


class QuarantinedPart(msgspec.Struct, array_like=True, frozen=True):
    """A part in quarantine.

    Attributes:
        part: Id of the part.
        left_s: Time until the quarantine ends, in seconds.
        count: Number of quarantines of this part so far.
    """

    part: str
    left_s: float
    count: int


class Evidence(msgspec.Struct, array_like=True, frozen=True):
    """What an instance tells others.

    Attributes:
        losses: Recent losses.
        served_ages_s: Time since a request was last served, in seconds, by part
            of these losses.
        quarantined: Parts in quarantine.
    """

    losses: tuple[PromptLoss, ...] = ()
    served_ages_s: dict[str, float] = {}
    quarantined: tuple[QuarantinedPart, ...] = ()
