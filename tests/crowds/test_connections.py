"""Connections that are opened and left, up to the limit of descriptors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from yuccatally_standins import node_process
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.crowd

MACHINE = node_process.Machine(descriptor_count=256)
CONNECTION_COUNT = 400
# The rest is for the store, other instances and upstreams.
MAX_DESCRIPTOR_COUNT = 240
# Connections to the store and to services that opened meanwhile.
MAX_LEFT_COUNT = 16
MAX_GROWTH_BYTES = 32 * 1024 * 1024

_ANSWERED = b"GET /none/x HTTP/1.1\r\nHost: x\r\n\r\n"
_BYTES = (b"G", b"E", b"T", b" ", b"/", b"x")
_BODY = b"POST /book/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 9\r\n\r\nx" % (
    path_site.HOST.encode()
)


@pytest.mark.parametrize(
    ("listener", "blocks", "half_closes"),
    [
        pytest.param("callers", [], False, id="silent"),
        pytest.param("callers", [b"G"], False, id="first-byte"),
        pytest.param("callers", list(_BYTES), False, id="head-in-bytes"),
        pytest.param("callers", [_BODY], False, id="body-begun"),
        pytest.param("callers", [_ANSWERED], False, id="idle-after-answer"),
        pytest.param("callers", [_ANSWERED * 9], True, id="half-closed"),
        pytest.param("directory", [], False, id="silent-at-directory"),
        pytest.param("readiness", [], False, id="silent-at-readiness"),
        pytest.param("metrics", [], False, id="silent-at-metrics"),
    ],
)
async def test_connections_leave_descriptors_for_others(
    start_target: Callable,
    listener: str,
    blocks: list[bytes],
    half_closes: bool,
) -> None:
    """Guards against using all descriptors for clients that do nothing."""
    target = await start_target(MACHINE)
    crowd = await target.crowd(listener, CONNECTION_COUNT)
    await crowd.send(blocks)
    if half_closes:
        crowd.half_close()
    assert target.process.descriptor_count() <= MAX_DESCRIPTOR_COUNT
    assert await target.book() == 200
    assert target.process.is_running
    assert target.growth_bytes() <= MAX_GROWTH_BYTES


async def test_connections_that_are_reset_leave_nothing(
    start_target: Callable,
) -> None:
    """Guards against requests that stay after their clients have left."""
    target = await start_target(MACHINE)
    count = target.process.descriptor_count()
    for _ in range(20):
        crowd = await target.crowd("callers", 20)
        await crowd.send([_ANSWERED * 200])
        crowd.reset()
    assert await target.book() == 200
    await target.until_descriptors(count + MAX_LEFT_COUNT)
    assert target.process.is_running
    assert target.growth_bytes() <= MAX_GROWTH_BYTES
