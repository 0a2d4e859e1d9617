"""Answers that their clients leave unread."""

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
ANSWER_BYTES = MIB
CONNECTION_COUNT = 96
MAX_GROWTH_BYTES = 48 * MIB

_HEADERS = (
    b"Host: %s\r\nApi-Key: %s\r\nYuccatally-Attempt-Id: a\r\n"
    b"Yuccatally-Deadline-Ms: 60000\r\nContent-Length: 1\r\n\r\nx"
    % (path_site.HOST.encode(), path_site.API_KEY.encode())
)


async def test_long_answers_stay_bounded(start_target: Callable) -> None:
    """Guards against answers of any sum that wait for clients to read."""
    target = await start_target(MACHINE)
    target.site.engines["d1"].behaviour.answer_bytes = ANSWER_BYTES
    # In turn, so that few answers are received from the service at a time.
    for _ in range(CONNECTION_COUNT):
        count = len(target.site.engines["d1"].executed_requests)
        crowd = await target.crowd("callers", 1)
        await crowd.send([b"POST /book/x HTTP/1.1\r\n" + _HEADERS])
        await target.until_executed(count + 1)
    target.site.engines["d1"].behaviour.answer_bytes = 0
    assert await target.book() == 200
    assert target.process.is_running
    assert target.growth_bytes() <= MAX_GROWTH_BYTES


async def test_long_answers_at_once_stay_bounded(
    start_target: Callable,
) -> None:
    """Guards against answers that all arrive before any client reads."""
    target = await start_target(MACHINE)
    target.site.engines["d1"].behaviour.answer_bytes = ANSWER_BYTES
    crowd = await target.crowd("callers", CONNECTION_COUNT)
    await crowd.send([b"POST /book/x HTTP/1.1\r\n" + _HEADERS])
    await target.until_executed(CONNECTION_COUNT)
    target.site.engines["d1"].behaviour.answer_bytes = 0
    assert await target.book() == 200
    assert target.process.is_running
    assert target.growth_bytes() <= MAX_GROWTH_BYTES
