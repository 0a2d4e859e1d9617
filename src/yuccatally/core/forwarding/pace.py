"""Limits on the requests to servers that have started or recovered."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

from yuccatally.core.forwarding import error_ratios
from yuccatally.core.forwarding import pace_messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# Outstanding requests that a server gets before its first answer. One could be
# lost or long; a first return after a fall starts with half of it.
INITIAL_LIMIT_COUNT = 2
# A limit from which a server is proven, whatever its slots: at this size
# another doubling changes less than the waves of the demand do.
MAX_LIMIT_COUNT = 64
# Part of the limit that remains after an answer that was late or failed, and
# after a refusal, which shows how much the server can bear.
LATE_FACTOR = 0.5
REFUSED_FACTOR = 0.75
# Shares of less than one request pass to other instances after this time. The
# outstanding work of others is known within it.
ROTATION_S = 0.5
# A server that has been proven for this long starts at the full initial limit
# when it returns again.
FORGET_S = 30.0


@dataclasses.dataclass(frozen=True)
class InTime:
    """The first event, or the whole response, came within the expected time."""


@dataclasses.dataclass(frozen=True)
class Late:
    """It came later, or had not come when the attempt ended."""


@dataclasses.dataclass(frozen=True)
class RefusedFull:
    """The server refused the request as it has no capacity."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """The server was not reached, or its response broke off."""


@dataclasses.dataclass(frozen=True)
class ErrorStatus:
    """The server ran the request and answered with an error status."""


Outcome = InTime | Late | RefusedFull | Failed | ErrorStatus


@dataclasses.dataclass(frozen=True)
class Began:
    """A server is paced from now on."""

    server: str
    limit: int


@dataclasses.dataclass(frozen=True)
class Fell:
    """The limit of a server was lowered."""

    server: str
    limit: int


@dataclasses.dataclass(frozen=True)
class Released:
    """A server is proven and has no limit."""

    server: str


Change = Began | Fell | Released


@dataclasses.dataclass(frozen=True)
class Server:
    """A plain upstream or a path.

    Attributes:
        name: Its name.
        incarnation: Number that identifies its processes. It is the same on
            all instances, and another one once a process was replaced or
            restarted.
        slots: Number of concurrent requests that it declares.
    """

    name: str
    incarnation: int
    slots: int

    @classmethod
    def from_hops(
        cls, name: str, hops: Iterable[tuple[str, int]], slots: int
    ) -> Server:
        """Returns a server.

        Args:
            name: Name of the upstream or path.
            hops: Name and start time of its upstreams, in milliseconds since
                1970.
            slots: Number of concurrent requests that it declares.
        """
        text = "\0".join(f"{hop}\0{born_ms}" for hop, born_ms in hops)
        return cls(name, xxhash.xxh3_64_intdigest(text.encode()) >> 1, slots)


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Identifies an attempt and the state of the pace at its start.

    Attributes:
        server: Name of the server.
        service: Service of the server.
        incarnation: Its incarnation.
        falls: Number of falls of its limit.
        growths: Number of growths since the last fall.
        is_paced: Whether it counts in ``Pace.own_count``.
    """

    server: str
    service: str
    incarnation: int
    falls: int
    growths: int
    is_paced: bool


@dataclasses.dataclass
class Pace:
    """Limit of one server that is paced, or the last limit of a proven one.

    Attributes:
        incarnation: Identifies its processes.
        limit: Outstanding requests of all instances; 0 if proven.
        falls: Number of falls of the limit.
        growths: Number of growths since the last fall.
        changed_at: Time of the last change, on whichever instance.
        own_count: Outstanding attempts of this instance since it is paced.
        earlier_count: Outstanding requests from before it was paced; None
            until they are known.
    """

    incarnation: int
    limit: int
    falls: int
    growths: int
    changed_at: float
    own_count: int = 0
    earlier_count: int | None = None

    @property
    def order_key(self) -> tuple[int, int, int]:
        """Sort key of the state; of concurrent ones the lower limit is last."""
        return (self.falls, self.growths, -self.limit)


class PaceTable:
    """Paces servers by their answers, together with the other instances.

    Load patterns:

    - A server returns at peak load with the least outstanding work of all, and
      88 instances send it their next requests before one of them sees an
      answer. It gets as many requests as its limit from all of them together,
      and the limit doubles with the first answer in time after each change.
    - A server returns and fails or refuses what it gets. Its limit stays low,
      while the other servers have capacity.

    Only servers that have a limit cost time in a decision.

    Attributes:
        service_of: Service of each usable server.
        servers: Usable servers by name.
        paces: State of the servers that have a limit.
        past: Last state of servers that were released or have left.
        errors: Usual and present ratio of error responses.
        instance_index: Position of this instance among all, by name.
        instance_count: Number of instances that share the limits.
        on_change: Called with each change that this instance decides.
    """

    def __init__(self) -> None:
        self.service_of: dict[str, str] = {}
        self.servers: dict[str, Server] = {}
        self.observed: dict[str, dict[str, Server]] = {}
        self.paces: dict[str, Pace] = {}
        self.past: dict[str, Pace] = {}
        self.errors = error_ratios.ErrorRatios()
        self.instance_index = 0
        self.instance_count = 1
        self.on_change: Callable[[Change], None] = lambda change: None
        self.encoder = pace_messages.Encoder()

    @property
    def limit_sum(self) -> int:
        """Sum of the limits of all paced servers."""
        return sum(p.limit for p in self.paces.values())

    @property
    def own_sum(self) -> int:
        """Outstanding attempts of this instance at paced servers."""
        return sum(p.own_count for p in self.paces.values())

    def set_instances(self, own: str, names: Iterable[str]) -> None:
        """Sets the names of all instances, including this one."""
        ordered = sorted({own, *names})
        self.instance_index = ordered.index(own)
        self.instance_count = len(ordered)

    def is_paced(self, name: str) -> bool:
        """Returns whether a server has a limit."""
        return name in self.paces

    def observe(
        self, service: str, servers: Iterable[Server], now: float
    ) -> None:
        """Records the usable servers of a service.

        Those of the first list are proven, unless other instances pace them:
        an instance that has just started can't tell which servers are new.
        """
        current = {s.name: s for s in servers}
        before = self.observed.get(service)
        if current == before or (before is None and not current):
            return
        self.observed[service] = current
        self._forget(now)
        for name in (before or {}).keys() - current.keys():
            del self.servers[name], self.service_of[name]
            self._keep_past(name, now)
            self.errors.remove(name)
        for name, server in current.items():
            known = (before or {}).get(name)
            self.servers[name] = server
            self.service_of[name] = service
            if before is not None and (
                known is None or known.incarnation != server.incarnation
            ):
                self._keep_past(name, now)
                self._begin(server, now)

    def admits(self, name: str, outstanding_count: int, now: float) -> bool:
        """Returns whether this instance may send a request to a server.

        Args:
            name: Name of the server.
            outstanding_count: Known outstanding requests of all instances.
            now: Monotonic time in seconds.
        """
        pace = self.paces.get(name)
        if pace is None:
            return True
        if pace.earlier_count is None:
            pace.earlier_count = outstanding_count
        pace.earlier_count = min(pace.earlier_count, outstanding_count)
        return (
            pace.own_count < self._share(pace, pace.limit, now)
            and outstanding_count < pace.limit + pace.earlier_count
        )

    def admits_in_need(
        self, name: str, outstanding_count: int, slots: int, now: float
    ) -> bool:
        """Returns the same for a request that no other server has room for.

        The sum over all instances is the number of slots, or half of it and
        what they send before they know of each other's requests.
        """
        pace = self.paces.get(name)
        if pace is None or 2 * outstanding_count < slots:
            return True
        return pace.own_count < self._share(pace, slots, now)

    def record_start(self, name: str) -> Ticket | None:
        """Records an attempt; returns None if the server is unknown."""
        server = self.servers.get(name)
        if server is None:
            return None
        pace = self.paces.get(name)
        if pace is not None:
            pace.own_count += 1
        state = pace or self.past.get(name)
        return Ticket(
            name,
            self.service_of[name],
            server.incarnation,
            state.falls if state else 0,
            state.growths if state else 0,
            pace is not None,
        )

    def record_end(self, ticket: Ticket | None) -> None:
        """Records the end of an attempt."""
        if ticket is None or not ticket.is_paced:
            return
        pace = self.paces.get(ticket.server)
        if pace is not None and pace.incarnation == ticket.incarnation:
            pace.own_count = max(0, pace.own_count - 1)

    def record(
        self,
        ticket: Ticket | None,
        outcome: Outcome,
        outstanding_count: int,
        now: float,
    ) -> None:
        """Records how a server has answered an attempt.

        Answers to attempts that started before the last change say nothing
        about the present limit, and don't change it a second time.

        Args:
            ticket: The attempt.
            outcome: How it was answered.
            outstanding_count: Known outstanding requests of all instances at
                the server, this one included.
            now: Monotonic time in seconds.
        """
        if ticket is None:
            return
        server = self.servers.get(ticket.server)
        if server is None or server.incarnation != ticket.incarnation:
            return
        pace = self.paces.get(server.name)
        match outcome:
            case InTime():
                self.errors.record(ticket.service, server.name, is_error=False)
                if pace is not None and _is_current(ticket, pace):
                    self._grow(server, pace, now)
            case Late():
                self.errors.record(ticket.service, server.name, is_error=False)
                if pace is not None:
                    self._fall(ticket, server, LATE_FACTOR, pace.limit, now)
            case RefusedFull():
                self._fall(
                    ticket, server, REFUSED_FACTOR, outstanding_count, now
                )
            case Failed():
                self._fall(ticket, server, LATE_FACTOR, outstanding_count, now)
            case ErrorStatus():
                self.errors.record(ticket.service, server.name, is_error=True)
                if self.errors.is_unusual(ticket.service, server.name):
                    self._fall(
                        ticket, server, LATE_FACTOR, outstanding_count, now
                    )

    def merge(
        self, shared: Iterable[pace_messages.SharedPace], now: float
    ) -> None:
        """Applies what another instance knows, as far as it is newer."""
        for received in shared:
            server = self.servers.get(received.server)
            if (
                server is None
                or server.incarnation != received.incarnation
                or not pace_messages.is_valid(received, FORGET_S)
            ):
                continue
            state = Pace(
                received.incarnation,
                received.limit,
                received.falls,
                received.growths,
                now - received.age_s,
            )
            own = self.paces.get(server.name) or self.past.get(server.name)
            if own is not None and (
                own.incarnation == state.incarnation
                and own.order_key >= state.order_key
            ):
                continue
            self._apply(server.name, state)

    def share(self, now: float) -> tuple[pace_messages.SharedPace, ...]:
        """Returns what the other instances need to know."""
        return self.encoder.encode(self.paces, self.past, now)

    def _share(self, pace: Pace, limit: int, now: float) -> int:
        """Returns the part of a limit that this instance may use.

        The parts of all instances add up to the limit. What is left of an equal
        division goes to instances in turn.
        """
        equal, rest = divmod(limit, self.instance_count)
        turn = int((now - pace.changed_at) / ROTATION_S)
        first = pace.incarnation + pace.falls + pace.growths + turn * rest
        position = (self.instance_index - first) % self.instance_count
        return equal + (position < rest)

    def _begin(self, server: Server, now: float) -> None:
        past = self.past.pop(server.name, None)
        falls = past.falls + 1 if past else 0
        limit = max(1, INITIAL_LIMIT_COUNT >> falls)
        if limit >= server.slots:
            limit = max(1, server.slots // 2)
        self.paces[server.name] = Pace(server.incarnation, limit, falls, 0, now)
        self.on_change(Began(server.name, limit))

    def _grow(self, server: Server, pace: Pace, now: float) -> None:
        pace.limit *= 2
        pace.growths += 1
        pace.changed_at = now
        if pace.limit >= min(server.slots, MAX_LIMIT_COUNT):
            pace.limit = 0
            self._apply(server.name, pace)
            self.on_change(Released(server.name))

    def _fall(
        self,
        ticket: Ticket,
        server: Server,
        factor: float,
        outstanding_count: int,
        now: float,
    ) -> None:
        """Lowers the limit, or paces a server that was proven."""
        pace = self.paces.get(server.name)
        state = pace or self.past.get(server.name)
        if state is not None and ticket.falls < state.falls:
            return
        falls = state.falls + 1 if state else 1
        used_count = (
            min(pace.limit, max(1, outstanding_count))
            if pace
            else max(INITIAL_LIMIT_COUNT, outstanding_count)
        )
        limit = min(MAX_LIMIT_COUNT, max(1, int(used_count * factor)))
        own_count = pace.own_count if pace else 0
        earlier_count = pace.earlier_count if pace else 0
        self.paces[server.name] = Pace(
            server.incarnation, limit, falls, 0, now, own_count, earlier_count
        )
        self.past.pop(server.name, None)
        if pace is None:
            self.on_change(Began(server.name, limit))
        elif limit < pace.limit:
            self.on_change(Fell(server.name, limit))

    def _apply(self, name: str, state: Pace) -> None:
        own = self.paces.pop(name, None)
        self.past.pop(name, None)
        if not state.limit:
            self.past[name] = state
            return
        if own is not None and own.incarnation == state.incarnation:
            state.own_count = own.own_count
            state.earlier_count = own.earlier_count
        elif state.falls:
            # What is under way has made the limit fall.
            state.earlier_count = 0
        self.paces[name] = state

    def _keep_past(self, name: str, now: float) -> None:
        pace = self.paces.pop(name, None)
        if pace is not None:
            self.past[name] = dataclasses.replace(pace, changed_at=now)

    def _forget(self, now: float) -> None:
        self.past = {
            n: p for n, p in self.past.items() if now - p.changed_at < FORGET_S
        }


def _is_current(ticket: Ticket, pace: Pace) -> bool:
    return (ticket.falls, ticket.growths) == (pace.falls, pace.growths)
