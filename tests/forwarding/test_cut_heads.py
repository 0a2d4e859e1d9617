"""Responses of upstreams that end within their headers."""

from __future__ import annotations

import pytest

from yuccatally_standins import path_engine
from yuccatally_standins import path_site

IDENTITY = (
    b"Yuccatally-Attempt-Id: %b\r\nYuccatally-Server-Signature: signed\r\n"
)
EVENTS = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 7))
MAX_REQUEST_COUNT = 30
# Heads without their blank line. ``tests/platform/test_cut_responses.py`` cuts
# heads at each byte.
PARTIAL_HEADS = {
    "unframed": b"HTTP/1.1 200 OK\r\n" + IDENTITY,
    "digits": b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"Content-Length: 1",
    "stream": (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + IDENTITY
    ),
    "refusal": (
        b"HTTP/1.1 503 Busy\r\nServer-Leaving: 1\r\nRetry-After: 1\r\n"
        b"Yuccatally-Not-Executed: 1\r\n" + IDENTITY
    ),
}


@pytest.mark.parametrize("head", ["unframed", "digits", "refusal"])
async def test_booking_with_a_cut_head_is_not_promised_nor_repeated(
    served: path_site.Site, head: str
) -> None:
    """Guards against a 200 with a short body, or a 503 for what has run."""
    engine = served.engines["d1"]
    engine.behaviour.partial_head = PARTIAL_HEADS[head]
    status, headers, _ = await served.send_request("/book/x")
    assert status == 502
    assert "yuccatally-not-executed" not in headers
    assert "retry-after" not in headers
    assert len(engine.executed_requests) == 1
    # The statements in the head are not believed either.
    engine.behaviour = path_engine.Behaviour()
    status, _, body = await served.send_request("/stock/x", "a2")
    assert (status, body) == (200, b"done a2")


@pytest.mark.parametrize(
    ("target", "head"),
    [
        ("/stock/x", "digits"),
        ("/stock/x", "refusal"),
        ("/ask/x", "stream"),
        ("/ask/x", "refusal"),
    ],
)
async def test_repeatable_request_with_a_cut_head_goes_on_elsewhere(
    served: path_site.Site, target: str, head: str
) -> None:
    """Guards against a call or stream that ends with its first cut head."""
    await served.add_engine("d2", card="")
    registry = served.instances[0].state.registry
    await path_site.until(lambda: "d2" in registry.entries)
    cut = [served.engines[name] for name in ("d1", "e1")]
    for engine in cut:
        engine.behaviour.partial_head = PARTIAL_HEADS[head]
    # The first upstream is chosen at random.
    for number in range(MAX_REQUEST_COUNT):
        status, _, body = await served.send_request(target, f"a{number}")
        whole = EVENTS if target == "/ask/x" else b"done a%d" % number
        assert (status, body) == (200, whole)
        if any(e.executed_requests for e in cut):
            return
    pytest.fail("no request was sent to an upstream that cuts its head")


async def test_stream_that_ends_after_its_head_goes_on_elsewhere(
    served: path_site.Site,
) -> None:
    """Guards against an empty stream that looks complete.

    The response has neither a length nor chunks, and the engine has ended in
    order before its first event.
    """
    cut = served.engines["e1"]
    cut.behaviour.unframed = "close"
    cut.events = 0
    for number in range(MAX_REQUEST_COUNT):
        status, _, body = await served.send_request("/ask/x", f"a{number}")
        assert (status, body) == (200, EVENTS)
        if cut.executed_requests:
            return
    pytest.fail("no request was sent to the engine that ends")
