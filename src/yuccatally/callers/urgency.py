"""Class and deadline that a caller states in headers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.callers import responses
from yuccatally.core.objects import specs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccatally.core.objects import kinds

URGENCY_HEADER = "yuccatally-urgency"
DEADLINE_HEADER = "yuccatally-deadline-ms"
LONGEST_DEADLINE_MS = 600_000


@dataclasses.dataclass(frozen=True)
class Preferences:
    """What the headers of a request state.

    Attributes:
        urgency: Class, None if not stated.
        deadline_s: Time in which the answer must be whole, None if not stated.
    """

    urgency: specs.Urgency | None = None
    deadline_s: float | None = None

    def priority(self, account: kinds.Object) -> specs.Urgency:
        """Returns the class; a caller may lower that of its account only."""
        granted = specs.Urgency[account.spec.urgency.upper()]
        return granted if self.urgency is None else max(granted, self.urgency)

    def timeout_s(self, longest_s: float) -> float:
        """Returns the time in which the request is served or given up."""
        if self.deadline_s is None:
            return longest_s
        return min(longest_s, self.deadline_s)


def parse_preferences(headers: Mapping[str, str]) -> Preferences:
    """Reads the headers of a request.

    Raises:
        MalformedError: A header has a value that is not understood.

    >>> parse_preferences({"yuccatally-urgency": "batch"}).urgency
    <Urgency.BATCH: 2>
    """
    named = headers.get(URGENCY_HEADER)
    urgency = None
    if named is not None:
        urgency = specs.Urgency.__members__.get(named.strip().upper())
        if urgency is None:
            raise responses.MalformedError(
                f"Yuccatally-Urgency: expected urgent, normal or batch, "
                f"found {named!r}"
            )
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return Preferences(urgency)
    allowed = text.isascii() and text.isdigit() and len(text) < 10
    if not allowed or not 0 < int(text) <= LONGEST_DEADLINE_MS:
        raise responses.MalformedError(
            "Yuccatally-Deadline-Ms: expected milliseconds from 1 to "
            f"{LONGEST_DEADLINE_MS}, found {text!r}"
        )
    return Preferences(urgency, int(text) / 1e3)
