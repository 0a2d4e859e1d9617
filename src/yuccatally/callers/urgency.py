"""Urgency class and deadline in the headers of a request."""

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
MAX_DEADLINE_MS = 600_000


@dataclasses.dataclass(frozen=True)
class Preferences:
    """Urgency class and deadline that a request specifies.

    Attributes:
        urgency: Urgency class; None if not specified.
        deadline_s: Time in seconds until the response must be complete; None
            if not specified.
    """

    urgency: specs.Urgency | None = None
    deadline_s: float | None = None

    def priority(self, account: kinds.Object) -> specs.Urgency:
        """Returns the urgency class; a request can only lower the account's."""
        account_urgency = specs.Urgency[account.spec.urgency.upper()]
        return (
            account_urgency
            if self.urgency is None
            else max(account_urgency, self.urgency)
        )

    def timeout_s(self, max_timeout_s: float) -> float:
        """Returns the timeout of the request in seconds."""
        if self.deadline_s is None:
            return max_timeout_s
        return min(max_timeout_s, self.deadline_s)


def parse_preferences(headers: Mapping[str, str]) -> Preferences:
    """Parses the urgency class and the deadline in the headers of a request.

    Raises:
        MalformedError: A header has an invalid value.

    >>> parse_preferences({"yuccatally-urgency": "batch"}).urgency
    <Urgency.BATCH: 2>
    """
    urgency_value = headers.get(URGENCY_HEADER)
    urgency = None
    if urgency_value is not None:
        urgency = specs.Urgency.__members__.get(urgency_value.strip().upper())
        if urgency is None:
            raise responses.MalformedError(
                f"Yuccatally-Urgency: expected urgent, normal or batch, "
                f"found {urgency_value!r}"
            )
    deadline_value = headers.get(DEADLINE_HEADER)
    if deadline_value is None:
        return Preferences(urgency)
    is_number = (
        deadline_value.isascii()
        and deadline_value.isdigit()
        and len(deadline_value) < 10
    )
    if not is_number or not 0 < int(deadline_value) <= MAX_DEADLINE_MS:
        raise responses.MalformedError(
            "Yuccatally-Deadline-Ms: expected milliseconds from 1 to "
            f"{MAX_DEADLINE_MS}, found {deadline_value!r}"
        )
    return Preferences(urgency, int(deadline_value) / 1e3)
