"""Ports that processes of a site listen on."""

from __future__ import annotations

import pathlib

from yuccatally_standins import site

EPHEMERAL_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_port_stays_free_until_its_process_listens() -> None:
    """Guards against a port that a connection uses before its listener does.

    The system takes local ports of connections from the ephemeral range.
    """
    low, high = map(int, EPHEMERAL_RANGE_FILE.read_text().split())
    ports = [site.free_port() for _ in range(100)]
    assert len(set(ports)) == len(ports)
    assert not [p for p in ports if low <= p <= high]
