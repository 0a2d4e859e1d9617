"""Limits of all clients of a process."""

from __future__ import annotations

import dataclasses

import pytest
import structlog

from yuccatally.instance import clients
from yuccatally.instance import refusals

LIMIT = 32


@dataclasses.dataclass(eq=False)
class Connection:
    """A connection that may wait for its client."""

    waiting_since: float | None
    kind: clients.WaitKind = clients.WaitKind.IDLE
    min_s: float = clients.MIN_WAIT_S
    is_evicted: bool = False

    def wait(self, now: float) -> clients.Wait | None:
        """Returns the wait for the client."""
        del now
        if self.waiting_since is None:
            return None
        return clients.Wait(self.kind, self.waiting_since, self.min_s)

    def evict(self) -> None:
        """Closes the connection."""
        self.is_evicted = True


def test_longest_wait_makes_room() -> None:
    """Guards against closing connections whose requests are in progress."""
    gate = clients.Gate()
    busy = [Connection(None) for _ in range(20)]
    recent = [Connection(9.5) for _ in range(6)]
    waiting = [Connection(float(n)) for n in range(7)]
    connections = [*busy, *recent, *waiting]
    admission = gate.admit(connections, LIMIT, 10.0)
    assert admission is clients.Admission.ACCEPTED
    evicted = [c for c in connections if c.is_evicted]
    assert evicted == waiting[:2]


def test_unread_answers_make_room_last() -> None:
    """Guards against cutting answers while connections are idle."""
    gate = clients.Gate()
    kinds = clients.WaitKind
    unread = [Connection(0.0, kinds.READING) for _ in range(29)]
    patient = Connection(0.0, kinds.READING, min_s=11.0)
    others = [
        Connection(2.0, kinds.BODY),
        Connection(3.0, kinds.HEADERS),
        Connection(4.0, kinds.IDLE),
    ]
    gate.admit([*unread, patient, *others], LIMIT, 10.0)
    assert [c.is_evicted for c in others] == [False, True, True]
    assert not any(c.is_evicted for c in unread)
    for other in others:
        other.waiting_since = None
    gate.admit([patient, *unread, *others], LIMIT, 10.2)
    assert not patient.is_evicted
    assert sum(c.is_evicted for c in unread) == 2


@pytest.mark.parametrize(
    ("count", "admission"),
    [
        (LIMIT, clients.Admission.ACCEPTED),
        (LIMIT + 1, clients.Admission.REFUSED),
        (LIMIT + 2, clients.Admission.REFUSED),
        (LIMIT + 3, clients.Admission.DROPPED),
    ],
)
def test_refusals_take_a_limited_number_of_descriptors(
    count: int, admission: clients.Admission
) -> None:
    """Guards against refused connections that use all descriptors."""
    connections = [Connection(None) for _ in range(count)]
    assert clients.Gate().admit(connections, LIMIT, 10.0) is admission


def test_search_for_connections_is_not_repeated_for_each() -> None:
    """Guards against a search among thousands for each new connection."""
    gate = clients.Gate()
    connections = [Connection(0.0) for _ in range(LIMIT + 1)]
    for _ in range(3):
        gate.admit(connections, LIMIT, 10.0)
    assert sum(c.is_evicted for c in connections) == 2


def test_limits_permit_bodies_of_any_configured_length() -> None:
    """Guards against refusing a body that the configuration permits."""
    limited = clients.Clients(clients.MachineLimits(memory_bytes=1))
    assert limited.holdings.limit_bytes == clients.MIN_HELD_BYTES
    limited.raise_body_limit(64 * 1024 * 1024)
    holdings = limited.holdings
    usable = holdings.limit_bytes - holdings.reserved_bytes
    assert usable >= 2 * 64 * 1024 * 1024
    limited.raise_body_limit(1)
    assert holdings.limit_bytes - holdings.reserved_bytes == usable


def test_descriptors_are_shared_among_listeners() -> None:
    """Guards against listeners that together use all descriptors."""
    machine = clients.MachineLimits(descriptor_count=100)
    shares = (
        clients.CALLERS_SHARE,
        clients.DIRECTORY_SHARE,
        clients.INTERNAL_SHARE,
        clients.INTERNAL_SHARE,
    )
    assert sum(machine.connections(s, 10_000) for s in shares) < 90
    count = machine.connections(clients.CALLERS_SHARE, 10_000)
    room = count // clients.ROOM_DIVISOR
    assert count + room <= 100 * clients.CALLERS_SHARE
    assert machine.connections(clients.CALLERS_SHARE, 16) == 16


def test_log_of_refusals_is_limited() -> None:
    """Guards against a log line for each of any number of refusals."""
    now = 0.0
    counted: list[str] = []
    log = refusals.RefusalLog(counted.append, lambda: now)
    with structlog.testing.capture_logs() as lines:
        for _ in range(50):
            log.record("malformed", "192.0.2.1")
        log.record("idle", "192.0.2.1")
        now = refusals.LOG_PERIOD_S
        log.record("malformed", "192.0.2.2")
    assert len(counted) == 52
    assert [line["reason"] for line in lines].count("malformed") == 21
    assert lines[-1]["unlogged"] == 30
    assert lines[-1]["address"] == "192.0.2.2"
