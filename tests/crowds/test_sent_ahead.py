"""Requests that are sent ahead while their answers stay unread."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.crowd

CONNECTION_COUNT = 12
BLOCK_BYTES = 65_536
BLOCK_COUNT = 8
MAX_GROWTH_BYTES = 32 * 1024 * 1024

_HOST = path_site.HOST.encode()
_BOOKING = (
    b"POST /book/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 200\r\n\r\n%s"
    % (_HOST, b"x" * 200)
)


@pytest.mark.parametrize(
    ("listener", "request_bytes"),
    [
        pytest.param(
            "callers",
            b"GET /book/x HTTP/1.1\r\nHost: %s\r\n\r\n" % _HOST,
            id="without-usual-headers",
        ),
        pytest.param("callers", _BOOKING, id="bookings-without-usual-headers"),
        pytest.param(
            "readiness", b"GET /readyz HTTP/1.1\r\n\r\n", id="readiness"
        ),
        pytest.param(
            "callers", b"GET /none/x HTTP/1.1\r\n\r\n", id="without-a-route"
        ),
        pytest.param(
            "directory", b"GET /resolve HTTP/1.1\r\n\r\n", id="directory"
        ),
        pytest.param("metrics", b"GET /metrics HTTP/1.1\r\n\r\n", id="metrics"),
        pytest.param("metrics", b"GET /none HTTP/1.1\r\n\r\n", id="operators"),
        pytest.param(
            "callers",
            b"POST /none/x HTTP/1.1\r\nExpect: 100-continue\r\n"
            b"Content-Length: 1\r\n\r\nx",
            id="expecting-100",
        ),
        pytest.param(
            "callers",
            b"GET /none/x HTTP/1.1\r\nConnection: upgrade\r\n"
            b"Upgrade: websocket\r\n\r\n",
            id="upgrade",
        ),
        pytest.param(
            "callers",
            b"POST /none/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\n\r\n",
            id="chunked",
        ),
    ],
)
async def test_requests_sent_ahead_stay_bounded(
    start_target: Callable, listener: str, request_bytes: bytes
) -> None:
    """Guards against parsing all that was sent before it is answered."""
    target = await start_target()
    crowd = await target.crowd(listener, CONNECTION_COUNT)
    block = request_bytes * (BLOCK_BYTES // len(request_bytes))
    await crowd.send([block] * BLOCK_COUNT)
    assert await target.book() == 200
    assert target.process.is_running
    assert target.growth_bytes() <= MAX_GROWTH_BYTES
