"""Memory and descriptors that the clients of all listeners may use."""

from __future__ import annotations

import dataclasses
import enum
import resource
from typing import TYPE_CHECKING
from typing import Protocol

from yuccatally.core import held_bytes

if TYPE_CHECKING:
    from collections.abc import Collection

# A held byte takes up to three while a body is put together; upstreams and the
# program need the rest of the memory.
MEMORY_SHARE = 1 / 8
MIN_HELD_BYTES = 8 * 1024 * 1024
# Two bodies of any permitted length fit beside each other.
BODY_COUNT = 3
# Small requests are received while long bodies wait for upstreams.
RESERVED_SHARE = 1 / 4
# Shares of the descriptors by use of a listener. The rest is for upstreams,
# other instances and the store.
CALLERS_SHARE = 0.62
DIRECTORY_SHARE = 0.08
INTERNAL_SHARE = 0.01
MIN_CONNECTION_COUNT = 4
# Higher than any limit of a system.
UNLIMITED_DESCRIPTOR_COUNT = 1_000_000_000
# Clients that connect send their first request within a second.
MIN_WAIT_S = 1.0
# A search closes this part of the limit, and as many connections beyond the
# limit may be open for their clients to read a refusal.
ROOM_DIVISOR = 16
# A search for connections to close takes a millisecond for thousands.
SEARCH_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True)
class MachineLimits:
    """Limits of the machine.

    Attributes:
        memory_bytes: Memory for the process, in bytes.
        descriptor_count: Number of descriptors that the process may open, if
            the limit of the system is not lower.
    """

    memory_bytes: int = 200 * 1024 * 1024
    descriptor_count: int = UNLIMITED_DESCRIPTOR_COUNT

    def connections(self, share: float, at_most: int) -> int:
        """Returns the number of connections of a listener.

        Args:
            share: Share of the descriptors that the listener may use.
            at_most: Limit of the settings.
        """
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        available = self.descriptor_count
        if soft_limit != resource.RLIM_INFINITY:
            available = min(available, soft_limit)
        # Refused connections are open beyond the limit for a moment.
        count = int(available * share / (1 + 1 / ROOM_DIVISOR))
        return min(at_most, max(MIN_CONNECTION_COUNT, count))


class Clients:
    """What clients make a process hold.

    Attributes:
        machine: Limits of the machine.
        holdings: Bytes of requests and of unread answers.
    """

    def __init__(self, machine: MachineLimits) -> None:
        self.machine = machine
        self.holdings = held_bytes.Holdings(
            max(int(machine.memory_bytes * MEMORY_SHARE), MIN_HELD_BYTES)
        )
        self.raise_body_limit(0)

    def raise_body_limit(self, body_bytes: int) -> None:
        """Raises the limit of all bytes so that bodies of a length fit."""
        holdings = self.holdings
        holdings.limit_bytes = max(
            holdings.limit_bytes, BODY_COUNT * body_bytes
        )
        holdings.reserved_bytes = int(holdings.limit_bytes * RESERVED_SHARE)


class WaitKind(enum.IntEnum):
    """What a connection waits for; the lowest is closed first."""

    IDLE = 0
    HEADERS = 1
    BODY = 2
    READING = 3


@dataclasses.dataclass(frozen=True, order=True)
class Wait:
    """A wait of a connection for its client.

    Attributes:
        kind: What the connection waits for.
        since: Start of the wait, in seconds.
        min_s: Time after which the connection may be closed, in seconds.
    """

    kind: WaitKind
    since: float
    min_s: float = MIN_WAIT_S


class Connection(Protocol):
    """A connection that can be closed for another one."""

    def wait(self, now: float) -> Wait | None:
        """Returns the wait for the client; None if it need not act.

        Args:
            now: Current time, in seconds.
        """

    def evict(self) -> None:
        """Closes the connection."""


class Admission(enum.Enum):
    """Whether a new connection is accepted."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    DROPPED = "dropped"


class Gate:
    """Limits the connections of one listener.

    Load pattern: clients open connections and leave them, up to the limit, so
    that others get none. Connections that wait for their client are closed in
    favour of new ones: first those that are idle, then those that receive a
    request, last those with unread answers, each by the length of the wait.

    Attributes:
        searched_at: Time of the latest search for connections to close.
        has_room: Whether that search found any.
    """

    def __init__(self) -> None:
        self.searched_at = float("-inf")
        self.has_room = False

    def admit(
        self, connections: Collection[Connection], limit: int, now: float
    ) -> Admission:
        """Decides on a connection and closes others if there are too many.

        Args:
            connections: Connections including the new one.
            limit: Maximum number of connections.
            now: Current time, in seconds.
        """
        if len(connections) <= limit:
            return Admission.ACCEPTED
        room = max(1, limit // ROOM_DIVISOR)
        if now - self.searched_at >= SEARCH_INTERVAL_S:
            self.searched_at = now
            self.has_room = _evict(connections, room, now)
        if len(connections) > limit + room:
            return Admission.DROPPED
        return Admission.ACCEPTED if self.has_room else Admission.REFUSED


def _evict(connections: Collection[Connection], count: int, now: float) -> bool:
    """Closes the first by kind and length of wait; False if none waits."""
    waiting = [
        (wait, index, connection)
        for index, connection in enumerate(connections)
        if (wait := connection.wait(now)) is not None
        and now - wait.since >= wait.min_s
    ]
    for _, _, connection in sorted(waiting)[:count]:
        connection.evict()
    return bool(waiting)
