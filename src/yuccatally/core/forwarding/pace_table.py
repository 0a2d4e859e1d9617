"""Paces servers that have started or recovered by their answers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import error_ratios
from yuccatally.core.forwarding import pace
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
# Time for which the limit of a full server does not yield to need. Requests end
# about ten times a second.
FULL_PERIOD_S = 0.5
# Shares of less than one request pass to other instances after this time. The
# outstanding work of others is known within it.
ROTATION_S = 0.5
# A server that has been proven for this long starts at the full initial limit
# when it returns again.
FORGET_S = 30.0


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
        self.servers: dict[str, pace.Server] = {}
        self.observed: dict[str, dict[str, pace.Server]] = {}
        self.paces: dict[str, pace.Pace] = {}
        self.past: dict[str, pace.Pace] = {}
        self.errors = error_ratios.ErrorRatios()
        self.instance_index = 0
        self.instance_count = 1
        self.on_change: Callable[[pace.Change], None] = lambda change: None
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
        self, service: str, servers: Iterable[pace.Server], now: float
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
        entry = self.paces.get(name)
        if entry is None:
            return True
        if entry.earlier_count is None:
            entry.earlier_count = outstanding_count
        entry.earlier_count = min(entry.earlier_count, outstanding_count)
        return (
            entry.own_count < self._share(entry, entry.limit, now)
            and outstanding_count < entry.limit + entry.earlier_count
        )

    def admits_in_need(
        self, name: str, outstanding_count: int, slots: int, now: float
    ) -> bool:
        """Returns the same for a request that no other server has room for.

        The sum over all instances is the number of slots, or half of it and
        what they send before they know of each other's requests. A server that
        has just refused a request as full gets no more than its limit.
        """
        entry = self.paces.get(name)
        if entry is None:
            return True
        if now < entry.full_until:
            return False
        if 2 * outstanding_count < slots:
            return True
        return entry.own_count < self._share(entry, slots, now)

    def record_start(self, name: str) -> pace.Ticket | None:
        """Records an attempt; returns None if the server is unknown."""
        server = self.servers.get(name)
        if server is None:
            return None
        entry = self.paces.get(name)
        if entry is not None:
            entry.own_count += 1
        state = entry or self.past.get(name)
        return pace.Ticket(
            name,
            self.service_of[name],
            server.incarnation,
            state.falls if state else 0,
            state.growths if state else 0,
            entry is not None,
        )

    def record_end(self, ticket: pace.Ticket | None) -> None:
        """Records the end of an attempt."""
        if ticket is None or not ticket.is_paced:
            return
        entry = self.paces.get(ticket.server)
        if entry is not None and entry.incarnation == ticket.incarnation:
            entry.own_count = max(0, entry.own_count - 1)

    def record(
        self,
        ticket: pace.Ticket | None,
        outcome: pace.Outcome,
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
        entry = self.paces.get(server.name)
        match outcome:
            case pace.InTime():
                self.errors.record(ticket.service, server.name, is_error=False)
                if entry is not None and _is_current(ticket, entry):
                    self._grow(server, entry, now)
            case pace.Late():
                self.errors.record(ticket.service, server.name, is_error=False)
                if entry is not None:
                    self._fall(ticket, server, LATE_FACTOR, entry.limit, now)
            case pace.RefusedFull():
                self._fall(
                    ticket, server, REFUSED_FACTOR, outstanding_count, now
                )
                if (full := self.paces.get(server.name)) is not None:
                    full.full_until = now + FULL_PERIOD_S
            case pace.Failed():
                self._fall(ticket, server, LATE_FACTOR, outstanding_count, now)
            case pace.ErrorStatus():
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
            state = pace.Pace(
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

    def _share(self, entry: pace.Pace, limit: int, now: float) -> int:
        """Returns the part of a limit that this instance may use.

        The parts of all instances add up to the limit. What is left of an equal
        division goes to instances in turn.
        """
        equal, rest = divmod(limit, self.instance_count)
        turn = int((now - entry.changed_at) / ROTATION_S)
        first = entry.incarnation + entry.falls + entry.growths + turn * rest
        position = (self.instance_index - first) % self.instance_count
        return equal + (position < rest)

    def _begin(self, server: pace.Server, now: float) -> None:
        past = self.past.pop(server.name, None)
        falls = past.falls + 1 if past else 0
        limit = max(1, INITIAL_LIMIT_COUNT >> falls)
        if limit >= server.slots:
            limit = max(1, server.slots // 2)
        self.paces[server.name] = pace.Pace(
            server.incarnation, limit, falls, 0, now
        )
        self.on_change(pace.Began(server.name, limit))

    def _grow(self, server: pace.Server, entry: pace.Pace, now: float) -> None:
        entry.limit *= 2
        entry.growths += 1
        entry.changed_at = now
        entry.full_until = 0.0
        if entry.limit >= min(server.slots, MAX_LIMIT_COUNT):
            entry.limit = 0
            self._apply(server.name, entry)
            self.on_change(pace.Released(server.name))

    def _fall(
        self,
        ticket: pace.Ticket,
        server: pace.Server,
        factor: float,
        outstanding_count: int,
        now: float,
    ) -> None:
        """Lowers the limit, or paces a server that was proven."""
        entry = self.paces.get(server.name)
        state = entry or self.past.get(server.name)
        if state is not None and ticket.falls < state.falls:
            return
        falls = state.falls + 1 if state else 1
        used_count = (
            min(entry.limit, max(1, outstanding_count))
            if entry
            else max(INITIAL_LIMIT_COUNT, outstanding_count)
        )
        limit = min(MAX_LIMIT_COUNT, max(1, int(used_count * factor)))
        own_count = entry.own_count if entry else 0
        earlier_count = entry.earlier_count if entry else 0
        self.paces[server.name] = pace.Pace(
            server.incarnation, limit, falls, 0, now, own_count, earlier_count
        )
        self.past.pop(server.name, None)
        if entry is None:
            self.on_change(pace.Began(server.name, limit))
        elif limit < entry.limit:
            self.on_change(pace.Fell(server.name, limit))

    def _apply(self, name: str, state: pace.Pace) -> None:
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
        entry = self.paces.pop(name, None)
        if entry is not None:
            self.past[name] = dataclasses.replace(entry, changed_at=now)

    def _forget(self, now: float) -> None:
        self.past = {
            n: p for n, p in self.past.items() if now - p.changed_at < FORGET_S
        }


def _is_current(ticket: pace.Ticket, entry: pace.Pace) -> bool:
    return (ticket.falls, ticket.growths) == (entry.falls, entry.growths)
