"""Request rates that upstreams accept from all instances together."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

import msgspec

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import suspicions

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccatally.core.forwarding import upstreams

    Choice = dispatch.Path | dispatch.Full | dispatch.Nothing

# Limits that are remembered. An upstream that gets no requests states nothing,
# so a limit has no lifetime of its own.
MAX_LIMIT_COUNT = 4096
# Limits in a message between instances, some 30 bytes each.
MAX_SHARED_COUNT = 32
# A changed limit is in all messages for this long, twice the time after which a
# silent relay is replaced.
NEWS_TTL_S = 3.0
# An upstream gets no more requests at once than its rate allows in this time,
# and one.
BURST_S = 1.0
# Upstreams with a lower limit get this rate, since only the response to a
# request shows that the limit has ended.
MIN_REQUESTS_PER_S = 0.25
# Part of its remaining time that a request may wait for its turn. The rest is
# for the attempt and for a retry of the client.
TURN_WAIT_RATIO = 0.5
# Limit of that wait: callers disconnect from a stream without a first event
# after two seconds.
MAX_TURN_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Limit:
    """The latest statement of an upstream on its rate.

    Attributes:
        requests_per_s: Requests a second that it accepts from all instances
            together; None if it stated no limit.
        stated_at: Monotonic time of the statement, in seconds. A response
            without a limit counts from the time at which its request was sent.
    """

    requests_per_s: float | None
    stated_at: float


class SharedLimit(msgspec.Struct, array_like=True, frozen=True):
    """A limit in a message to another instance.

    Attributes:
        engine: Incarnation of the upstream.
        requests_per_s: Requests a second; None if the limit has ended.
        age_s: Time since its statement, in seconds.
    """

    engine: suspicions.Incarnation
    requests_per_s: float | None
    age_s: float


@dataclasses.dataclass(frozen=True)
class Granted:
    """A request may be sent after some time.

    Attributes:
        wait_s: That time, in seconds.
    """

    wait_s: float


@dataclasses.dataclass(frozen=True)
class Denied:
    """No turn comes in time.

    Attributes:
        wait_s: Time until the next turn that is not given yet, in seconds.
    """

    wait_s: float


Turn = Granted | Denied


class LimitTable:
    """Limits of upstreams that this instance knows.

    Attributes:
        latest: Latest statement by incarnation, in the order in which the
            limits became known.
        in_force: Limits in force, in requests a second.
        changed_at: Time at which this instance learned of the latest change of
            a limit.
        next_turn_at: Time before which no turn is expected, by incarnation.
        shared_count: Number of limits in force in messages so far.
    """

    def __init__(self) -> None:
        self.latest: dict[suspicions.Incarnation, Limit] = {}
        self.in_force: dict[suspicions.Incarnation, float] = {}
        self.changed_at: dict[suspicions.Incarnation, float] = {}
        self.next_turn_at: dict[suspicions.Incarnation, float] = {}
        self.shared_count = 0

    def record(
        self, engine: suspicions.Incarnation, limit: Limit, now: float
    ) -> bool:
        """Records a statement; returns whether the limit in force changed.

        Responses overtake each other. A response without a limit ends one only
        if its request was sent after the latest statement of the limit.
        """
        known = self.latest.get(engine)
        if known is None and limit.requests_per_s is None:
            return False
        if known is not None and limit.stated_at <= known.stated_at:
            return False
        self.latest[engine] = limit
        if len(self.latest) > MAX_LIMIT_COUNT:
            self._forget(next(iter(self.latest)))
        if known is not None and known.requests_per_s == limit.requests_per_s:
            return False
        self.changed_at[engine] = now
        if limit.requests_per_s is None:
            self.in_force.pop(engine, None)
            self.next_turn_at.pop(engine, None)
        else:
            self.in_force[engine] = limit.requests_per_s
        return True

    def merge(self, shared: SharedLimit, now: float) -> bool:
        """Merges the limit of another instance; returns whether it changed.

        An unchanged limit is ignored: the delay of each message would make its
        statement later.
        """
        known = self.latest.get(shared.engine)
        if known is not None and known.requests_per_s == shared.requests_per_s:
            return False
        limit = Limit(shared.requests_per_s, now - shared.age_s)
        return self.record(shared.engine, limit, now)

    def share(self, now: float) -> tuple[SharedLimit, ...]:
        """Returns limits for a message: recent changes, then some in turn.

        An instance that starts later thus learns all limits in force.
        """
        changed = [
            e for e, at in self.changed_at.items() if now - at < NEWS_TTL_S
        ]
        changed.sort(key=lambda e: self.changed_at[e], reverse=True)
        count = min(MAX_SHARED_COUNT, len(self.in_force))
        start = self.shared_count % max(1, len(self.in_force))
        rotated = itertools.islice(
            itertools.cycle(self.in_force), start, start + count
        )
        self.shared_count += count
        chosen = tuple(dict.fromkeys((*changed, *rotated)))
        return tuple(self.shared(e, now) for e in chosen[:MAX_SHARED_COUNT])

    def shared(self, engine: suspicions.Incarnation, now: float) -> SharedLimit:
        """Returns a known limit as it is sent to another instance."""
        limit = self.latest[engine]
        age_s = round(now - limit.stated_at, 3)
        return SharedLimit(engine, limit.requests_per_s, age_s)

    def limited(
        self, hops: Iterable[upstreams.Upstream]
    ) -> list[suspicions.Incarnation]:
        """Returns the upstreams that limit their rate."""
        if not self.in_force:
            return []
        engines = (suspicions.Incarnation(h.name, h.born_ms) for h in hops)
        return [e for e in engines if e in self.in_force]

    def wait_s(self, hops: Iterable[upstreams.Upstream], now: float) -> float:
        """Returns the time until a turn at all upstreams is expected."""
        return max(
            (self.next_turn_at.get(e, now) - now for e in self.limited(hops)),
            default=0.0,
        )

    def _forget(self, engine: suspicions.Incarnation) -> None:
        for records in (
            self.latest,
            self.in_force,
            self.changed_at,
            self.next_turn_at,
        ):
            records.pop(engine, None)


class TurnScheduler:
    """Gives out the turns at rate-limited upstreams for all instances.

    Load pattern: an engine accepts one request a second, and requests for it
    arrive at 8 or 340 instances. A fixed share for each instance would let
    most turns expire; each instance by itself would exceed the limit many
    times. One instance gives out the turns of an engine in the order in which
    they are requested.

    Attributes:
        next_at: Time of the next turn without a burst, by incarnation.
    """

    def __init__(self) -> None:
        self.next_at: dict[suspicions.Incarnation, float] = {}

    def reserve(
        self,
        engine: suspicions.Incarnation,
        requests_per_s: float,
        max_wait_s: float,
        now: float,
    ) -> Turn:
        """Reserves the next turn if it comes in time.

        The first turn comes after a full interval: another instance may have
        given out turns until now, or the engine got too many requests before.

        Args:
            engine: Incarnation of the upstream.
            requests_per_s: Its limit, or the part that this instance gives out.
            max_wait_s: Longest time until the turn, in seconds.
            now: Monotonic time in seconds.
        """
        interval_s = 1 / max(requests_per_s, MIN_REQUESTS_PER_S)
        next_at = self.next_at.setdefault(engine, now + BURST_S + interval_s)
        wait_s = max(0.0, next_at - BURST_S - now)
        if wait_s > max_wait_s:
            return Denied(wait_s)
        self.next_at[engine] = max(next_at, now) + interval_s
        return Granted(wait_s)

    def retain(self, engines: Iterable[suspicions.Incarnation]) -> None:
        """Removes the turns of all other upstreams."""
        self.next_at = {
            e: self.next_at[e] for e in engines if e in self.next_at
        }


def max_turn_wait_s(remaining_s: float) -> float:
    """Returns how long a request may wait for its turn, in seconds.

    >>> max_turn_wait_s(0.75), max_turn_wait_s(20.0)
    (0.375, 1.0)
    """
    return min(MAX_TURN_WAIT_S, TURN_WAIT_RATIO * remaining_s)


def choose_by_turn(
    waits_s: Mapping[str, float],
    tried: frozenset[str],
    choose: Callable[[frozenset[str]], Choice],
) -> Choice:
    """Returns a path that needs no turn, or else that of the earliest turn.

    Load pattern: two of three engines limit their rate. They get as many
    requests as they accept, and the third gets the rest. If all engines limit
    their rate, requests wait where the next turn comes first.

    Args:
        waits_s: Time until a turn is expected, by name of the path.
        tried: Names of the paths that failed for this request.
        choose: Chooses a path, given the names of excluded paths.
    """
    waiting = sorted(
        (n for n, s in waits_s.items() if s > 0 and n not in tried),
        key=lambda n: waits_s[n],
    )
    choice = choose(tried.union(waiting))
    for name in waiting:
        if isinstance(choice, dispatch.Path):
            break
        choice = choose(frozenset(waits_s).difference((name,)))
    return choice
