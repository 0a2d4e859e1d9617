"""Ports of the processes of a site."""

from __future__ import annotations

import pathlib

from yuccatally_standins import site

EPHEMERAL = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_port_stays_free_until_its_process_listens() -> None:
    """Guards against a listener whose port a connection took meanwhile."""
    low, high = map(int, EPHEMERAL.read_text().split())
    ports = [site.free_port() for _ in range(100)]
    assert len(set(ports)) == len(ports)
    assert not [p for p in ports if low <= p <= high]
