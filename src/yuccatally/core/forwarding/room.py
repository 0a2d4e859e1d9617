"""Room of a path that all instances share, granted by one of them."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccatally.core.forwarding import remote_work

# Part of a path's room above which requests start without a grant: more than
# all instances start on one path before they have each other's work.
AMPLE_RATIO = 0.3
# Requests that instances may start on one path before they have each other's
# work; fewer if there are fewer instances.
MAX_UNHEARD_COUNT = 16
# Time for which a grant that no request has used is kept. A request may wait
# this long for the fate of an engine before it is sent.
GRANT_TTL_S = 0.25
# Limits of the time without requests for room on a path after a denial, about
# the interval of heartbeats.
MIN_DENIED_S = 0.1
MAX_DENIED_S = 0.2
# Time after which all instances have reported to a new keeper.
TAKEOVER_S = 1.0


@dataclasses.dataclass(frozen=True)
class Amount:
    """Requests and tokens on a path."""

    requests: int = 0
    tokens: float = 0.0

    @property
    def is_valid(self) -> bool:
        """Whether both are finite and not negative."""
        return self.requests >= 0 and 0 <= self.tokens < math.inf

    def plus(self, other: Amount) -> Amount:
        """Returns the sum."""
        return Amount(
            self.requests + other.requests, self.tokens + other.tokens
        )

    def minus(self, other: Amount) -> Amount:
        """Returns the difference, at least nothing."""
        return Amount(
            max(0, self.requests - other.requests),
            max(0.0, self.tokens - other.tokens),
        )

    def fits(self, room: Amount) -> bool:
        """Returns whether neither exceeds the room."""
        return self.requests <= room.requests and self.tokens <= room.tokens

    def scaled(self, ratio: float) -> Amount:
        """Returns a part, in whole requests."""
        return Amount(int(self.requests * ratio), self.tokens * ratio)


@dataclasses.dataclass(frozen=True)
class Report:
    """What an instance has on a path, by its own statement.

    Attributes:
        born_ms: Start time of its process, milliseconds since 1970.
        sequence: Number of the statement; it increases.
        held: Its outstanding requests and those that it has asked for.
    """

    born_ms: int
    sequence: int
    held: Amount


class RoomLedger:
    """Grants room on the paths that this instance keeps.

    Load pattern: little room is free on a path, and 35 to 88 instances see it
    0.15 to 0.5 s late. If each used it, the engines would refuse or preempt
    what exceeds their memory. One instance keeps the account of a path. Others
    ask it for room and tell it of what ends, so its account is a millisecond
    old. Work that started without a grant, while there was ample room, is known
    from heartbeats.

    Attributes:
        reports: Latest statement by path and instance.
        complete_at: Time at which all instances have reported on a path that
            this instance has taken over, by path.
    """

    def __init__(self) -> None:
        self.reports: dict[str, dict[str, Report]] = {}
        self.complete_at: dict[str, float] = {}

    def open(self, path: str, complete_at: float) -> None:
        """Opens the account of a path, unless it is open.

        Args:
            path: Name of the path.
            complete_at: Time at which instances that had another keeper have
                reported, in seconds.
        """
        if path not in self.reports:
            self.reports[path] = {}
            self.complete_at[path] = complete_at

    def record(self, path: str, instance: str, report: Report) -> bool:
        """Records a statement; returns whether it is the latest."""
        reports = self.reports[path]
        known = reports.get(instance)
        if known is not None and (known.born_ms, known.sequence) >= (
            report.born_ms,
            report.sequence,
        ):
            return False
        reports[instance] = report
        return True

    def reserve(
        self,
        path: str,
        instance: str,
        asked: Amount,
        room: Amount,
        elsewhere: Amount,
        is_stated: bool = False,
    ) -> bool:
        """Grants room to an instance whose statement was recorded.

        Args:
            path: Name of the path.
            instance: Instance that asks.
            asked: Room that it asks for.
            room: Room of the path for all instances.
            elsewhere: Work that no statement contains.
            is_stated: Whether a later statement contains it already.
        """
        added = Amount() if is_stated else asked
        if not self.total(path).plus(elsewhere).plus(added).fits(room):
            return False
        known = self.reports[path][instance]
        self.reports[path][instance] = dataclasses.replace(
            known, held=known.held.plus(added)
        )
        return True

    def total(self, path: str) -> Amount:
        """Returns the sum of all statements on a path."""
        held = [r.held for r in self.reports.get(path, {}).values()]
        return Amount(
            sum(a.requests for a in held), sum(a.tokens for a in held)
        )

    def is_complete(self, path: str, now: float) -> bool:
        """Returns whether all instances have reported to this keeper."""
        return self.complete_at.get(path, now) <= now

    def retain(self, born_ms: Mapping[str, int]) -> None:
        """Removes the statements of instances that have ended.

        Args:
            born_ms: Start time of the process of each live instance.
        """
        for path, reports in list(self.reports.items()):
            kept = {
                name: report
                for name, report in reports.items()
                if report.born_ms == born_ms.get(name)
            }
            if any(r.held.requests for r in kept.values()):
                self.reports[path] = kept
            else:
                self.forget(path)

    def forget(self, path: str) -> None:
        """Removes the account of a path, which another instance keeps."""
        self.reports.pop(path, None)
        self.complete_at.pop(path, None)


class HeldRoom:
    """Room that this instance has on paths whose keeper it reports to.

    Attributes:
        grants: Amount and end of each grant that no request has used, by path.
        asked: Amounts that were asked for and not answered yet, by path.
        reported: Amount that the keeper was last told, by path.
        denied_until: Time until which a path has no room.
    """

    def __init__(self) -> None:
        self.grants: dict[str, list[tuple[float, Amount]]] = {}
        self.asked: dict[str, list[Amount]] = {}
        self.reported: dict[str, Amount | None] = {}
        self.denied_until: dict[str, float] = {}

    def is_denied(self, path: str, now: float) -> bool:
        """Returns whether the keeper has just denied room on a path."""
        return self.denied_until.get(path, now) > now

    def held(self, path: str, own: Amount, now: float) -> Amount:
        """Returns own work, unused grants and what was asked for."""
        grants = [g for g in self.grants.get(path, ()) if g[0] > now]
        if grants:
            self.grants[path] = grants
        else:
            self.grants.pop(path, None)
        total = own
        for _, amount in grants:
            total = total.plus(amount)
        for amount in self.asked.get(path, ()):
            total = total.plus(amount)
        return total

    def record_grant(self, path: str, amount: Amount, now: float) -> None:
        """Records a grant that the next request on the path uses."""
        self.grants.setdefault(path, []).append((now + GRANT_TTL_S, amount))

    def use_grant(self, path: str) -> None:
        """Removes the oldest grant as its request starts."""
        grants = self.grants.get(path)
        if grants:
            grants.pop(0)

    def unreported(
        self, own: Mapping[str, Amount], now: float
    ) -> dict[str, Amount]:
        """Returns what keepers must be told, by path.

        Args:
            own: Own work by path.
            now: Monotonic time in seconds.
        """
        changed = {}
        for path, reported in list(self.reported.items()):
            held = self.held(path, own.get(path, Amount()), now)
            if held != reported:
                changed[path] = held
            elif not held.requests:
                del self.reported[path]
        return changed

    def report_again(self, paths: Iterable[str]) -> None:
        """Marks paths whose keeper has changed or was not reached."""
        for path in paths:
            if path in self.reported:
                self.reported[path] = None


def needs_grant(
    room: Amount, work: Amount, asked: Amount, instance_count: int
) -> bool:
    """Returns whether so little room is free that a start needs a grant.

    >>> needs_grant(Amount(192, 1e5), Amount(20, 2e4), Amount(1, 1e3), 88)
    False
    >>> needs_grant(Amount(192, 1e5), Amount(80, 8e4), Amount(1, 1e3), 88)
    True
    """
    if instance_count <= 1:
        return False
    unheard_count = min(instance_count, MAX_UNHEARD_COUNT)
    free_requests = room.requests - work.requests
    free_tokens = room.tokens - work.tokens
    return free_requests < max(
        AMPLE_RATIO * room.requests, unheard_count
    ) or free_tokens < max(
        AMPLE_RATIO * room.tokens, unheard_count * asked.tokens
    )


def is_safe(
    room: Amount, own: Amount, asked: Amount, instance_count: int
) -> bool:
    """Returns whether a start lies in the part of an instance by itself.

    >>> is_safe(Amount(8, 800.0), Amount(1, 90.0), Amount(1, 90.0), 4)
    True
    >>> is_safe(Amount(8, 800.0), Amount(2, 180.0), Amount(1, 90.0), 4)
    False
    """
    part = room.scaled(1 / max(1, instance_count))
    return own.plus(asked).fits(part)


def work_elsewhere(
    reported: remote_work.Total | None, covered: remote_work.Total | None
) -> Amount:
    """Returns the work of other instances that they tell no keeper of.

    Args:
        reported: Their outstanding work on a path, from heartbeats.
        covered: The part of it of which they tell the keeper as well.
    """
    if reported is None:
        return Amount()
    requests, tokens = reported.requests, reported.tokens
    if covered is not None:
        requests -= covered.requests
        tokens -= covered.tokens
    return Amount(max(0, requests), max(0.0, tokens))
