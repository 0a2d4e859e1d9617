"""Outcomes, changes and state of the pace of servers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


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
        full_until: Time until which the limit does not yield to need, as the
            server has refused a request as full.
    """

    incarnation: int
    limit: int
    falls: int
    growths: int
    changed_at: float
    own_count: int = 0
    earlier_count: int | None = None
    full_until: float = 0.0

    @property
    def order_key(self) -> tuple[int, int, int]:
        """Sort key of the state; of concurrent ones the lower limit is last."""
        return (self.falls, self.growths, -self.limit)
