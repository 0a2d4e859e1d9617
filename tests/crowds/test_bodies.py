"""Many long bodies at the same time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from yuccatally_standins import node_process
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.crowd

MIB = 1024 * 1024
MACHINE = node_process.Machine(memory_mb=96)
BODY_BYTES = MIB
CONNECTION_COUNT = 64
MAX_GROWTH_BYTES = 40 * MIB
MAX_DESCRIPTOR_COUNT = 200

_HEAD = (
    b"POST /book/x HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n"
    b"Yuccatally-Attempt-Id: a\r\nYuccatally-Deadline-Ms: 60000\r\n"
    b"Content-Length: %d\r\n\r\n"
    % (path_site.HOST.encode(), path_site.API_KEY.encode(), BODY_BYTES)
)


async def test_bodies_that_never_end_stay_bounded(
    start_target: Callable,
) -> None:
    """Guards against a limit of each body without one of their sum."""
    target = await start_target(MACHINE, BODY_BYTES)
    crowd = await target.crowd("callers", CONNECTION_COUNT)
    await crowd.send([_HEAD + b"x" * (BODY_BYTES - 1)])
    assert await target.book() == 200
    assert target.process.is_running
    assert target.growth_bytes() <= MAX_GROWTH_BYTES


async def test_bodies_that_wait_for_a_silent_service_stay_bounded(
    start_target: Callable,
) -> None:
    """Guards against holding bodies without a limit while they are served."""
    target = await start_target(MACHINE, BODY_BYTES)
    target.site.engines["d1"].is_running.clear()
    crowd = await target.crowd("callers", CONNECTION_COUNT)
    await crowd.send([_HEAD + b"x" * BODY_BYTES])
    target.site.engines["d1"].is_running.set()
    assert await target.book() == 200
    assert target.process.is_running
    assert target.growth_bytes() <= MAX_GROWTH_BYTES
    assert target.process.descriptor_count() <= MAX_DESCRIPTOR_COUNT
