"""Crowds at the listeners of the product's own interface."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pytest

from yuccatally_standins import crowds
from yuccatally_standins import node_process
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.crowd

CONNECTION_COUNT = 12
BLOCK_COUNT = 8
REQUEST = b"GET /none HTTP/1.1\r\n\r\n"
BLOCK = REQUEST * (65_536 // len(REQUEST))
MAX_GROWTH_BYTES = 32 * 1024 * 1024


@pytest.mark.parametrize("listener", ["callers", "operators"])
async def test_requests_sent_ahead_stay_bounded(
    start_site: Callable[..., site.Site], listener: str
) -> None:
    """Guards against listeners of one command that lack the limits."""
    started = start_site(dataclasses.replace(site.DEFAULT_SPEC, instances=1))
    instance = started.processes["i1"]
    process = node_process.ObservedProcess(instance.popen)
    before = process.memory_bytes()
    port = int(instance.addresses[listener].rpartition(":")[2])
    crowd = crowds.Crowd(port)
    await crowd.open(CONNECTION_COUNT)
    await crowd.send([BLOCK] * BLOCK_COUNT)
    assert started.status(instance)["engines"]
    crowd.close()
    assert process.is_running
    assert process.memory_bytes("VmHWM") - before <= MAX_GROWTH_BYTES
