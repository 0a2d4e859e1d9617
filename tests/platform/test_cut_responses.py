"""Responses that end at each of their bytes, at each reader of responses."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from typing import TYPE_CHECKING

import aiohttp
import pytest

from yuccatally.core.forwarding import reports
from yuccatally.core.forwarding import upstreams
from yuccatally.platform import engines
from yuccatally.platform import statements
from yuccatally.platform import store as platform_store
from yuccatally.store import calls
from yuccatally.store import client
from yuccatally.store import connectors
from yuccatally.store import middlewares
from yuccatally.upstreams import exchange
from yuccatally.upstreams import services
from yuccatally_standins import cut_responses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

MAX_BODY_BYTES = 1024
TIMEOUT_S = 5.0
# Below the timeouts of all readers, which are set to ``TIMEOUT_S``.
INVALID_CHUNK_TIMEOUT_S = 0.9
# Servers that run at a time.
CONCURRENT_COUNT = 32
BODY = b'{"items":[],"at":1}'
NAMES = (
    b"Yuccatally-Attempt-Id: a1\r\n"
    b"Yuccatally-Server-Signature: s\r\n"
    b"Server-Leaving: 1\r\nServer-Limit: 1\r\nStore-Era: 7\r\n"
)
WHOLE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\n%bContent-Length: 19\r\n\r\n" % NAMES,
    "chunked": (
        b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n" % NAMES
    ),
    "unframed": b"HTTP/1.1 200 OK\r\n%b\r\n" % NAMES,
    "stream": (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%b\r\n" % NAMES
    ),
    "refusal": (
        b"HTTP/1.1 503 Busy\r\nYuccatally-Not-Executed: 1\r\n"
        b"Retry-After: 5\r\n%bContent-Length: 0\r\n\r\n" % NAMES
    ),
    "early": (
        b"HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n"
        b"HTTP/1.1 200 OK\r\n%bContent-Length: 19\r\n\r\n" % NAMES
    ),
    "empty": b"HTTP/1.1 204 No Content\r\n%b\r\n" % NAMES,
}
BODIES = {
    "length": BODY,
    "chunked": (
        b"00a\r\n%b\r\n9;x=1\r\n%b\r\n0\r\nX-Trailer: 1\r\n\r\n"
        % (BODY[:10], BODY[10:])
    ),
    "early": BODY,
}
ENDINGS = (cut_responses.Ending.CLOSE, cut_responses.Ending.RESET)


def _engine(address: str) -> upstreams.Upstream:
    return upstreams.Upstream("e", 1, "s", address, "a", 8, False)


async def _read_upstream(address: str, pooled: bool = False) -> bool:
    """Sends a request; returns whether the response counts as whole."""
    received: list[object] = []
    upstream_client = exchange.UpstreamClient(
        (
            statements.create_middleware(
                lambda name: _engine(address),
                lambda upstream, statement: received.append(statement),
                requests_only=True,
            ),
        )
    )
    request = exchange.UpstreamRequest(
        "POST", address, "/x", (), b"prompt", TIMEOUT_S, not pooled
    )
    try:
        if pooled:
            earlier = await upstream_client.open(request)
            await earlier.body(MAX_BODY_BYTES)
            earlier.close()
            received.clear()
        try:
            response = await upstream_client.open(request)
        except exchange.NoResponseError:
            assert not received
            return False
        try:
            await response.body(MAX_BODY_BYTES)
        finally:
            response.close()
    except exchange.NoResponseError:
        return False
    finally:
        await upstream_client.close()
    return True


async def _read_kept(address: str) -> bool:
    return await _read_upstream(address, pooled=True)


async def _read_service(address: str) -> bool:
    request = services.ServiceRequest("PUT", "/x", (), b"x", MAX_BODY_BYTES)
    async with services.create_session() as session:
        try:
            await services.call(session, address, request, TIMEOUT_S)
        except services.UncertainError:
            return False
    return True


async def _read_list(address: str) -> bool:
    store = platform_store.PlatformStore(address)
    try:
        await store.list_objects("k")
    except client.StoreError:
        return False
    finally:
        await store.close()
    return True


async def _write_object(address: str) -> bool:
    store = platform_store.PlatformStore(address)
    store.epoch = 7
    try:
        await store.delete("k", "n", client.qualify(7, 1))
    except client.UncertainError:
        return False
    except client.StoreError:
        return True  # a refusal: the call had no effect
    finally:
        await store.close()
    return True


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets no reader time out on a busy machine; the tests cut responses."""
    for module, name in (
        (engines, "REPORT_TIMEOUT_S"),
        (engines, "ORDER_TIMEOUT_S"),
        (exchange, "CONNECT_TIMEOUT_S"),
        (services, "CONNECT_TIMEOUT_S"),
        (calls, "CONNECT_TIMEOUT_S"),
    ):
        monkeypatch.setattr(module, name, TIMEOUT_S)


@contextlib.asynccontextmanager
async def _create_session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession(
        connector=connectors.UnusedDataConnector(),
        middlewares=(middlewares.send_at_most_once,),
    ) as session:
        yield session


async def _read_health(address: str) -> bool:
    async with _create_session() as session:
        try:
            await engines.is_healthy(session, _engine(address), "/healthz")
        except engines.ReportError:
            return False
    return True


async def _send_layers_order(address: str) -> bool:
    order = reports.LayersOrder(upstreams.LayerRange(0, 4), 1, 0)
    async with _create_session() as session:
        outcome = await engines.send_layers_order(
            session, _engine(address), order
        )
    return outcome is not reports.Outcome.UNKNOWN


READERS = {
    "upstream": _read_upstream,
    "kept": _read_kept,
    "service": _read_service,
    "list": _read_list,
    "write": _write_object,
    "health": _read_health,
    "order": _send_layers_order,
}
# All heads are cut for requests of clients, this one for other readers, which
# use the same parser.
HEAD_OF_CALLS = "unframed"
HEAD_CASES = [
    (reader, head)
    for reader in READERS
    for head in HEADS
    if reader == "upstream" or head == HEAD_OF_CALLS
]


async def _find_accepted(
    reader: Callable[[str], Awaitable[bool]],
    response: bytes,
    cuts: range,
    ending: cut_responses.Ending,
) -> list[int]:
    """Returns the numbers of bytes after which a response counts as whole."""
    limit = asyncio.Semaphore(CONCURRENT_COUNT)
    earlier = WHOLE_RESPONSE if reader is _read_kept else b""

    async def accepts(cut: int) -> bool:
        async with (
            limit,
            cut_responses.run(
                response[:cut], ending, earlier_response=earlier
            ) as server,
        ):
            accepted = await reader(server.address)
            # An attempt is never repeated by the client library.
            assert server.request_count == 1 + bool(earlier)
            return accepted

    results = await asyncio.gather(*(accepts(cut) for cut in cuts))
    pairs = zip(cuts, results, strict=True)
    return [cut for cut, accepted in pairs if accepted]


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("reader", READERS)
async def test_whole_response_is_accepted(reader: str, body: str) -> None:
    """Guards against tests below that pass as no response is accepted."""
    response = HEADS[body] + BODIES[body]
    cuts = range(len(response), len(response) + 1)
    ending = cut_responses.Ending.CLOSE
    assert await _find_accepted(READERS[reader], response, cuts, ending)


@pytest.mark.parametrize("ending", ENDINGS, ids=lambda e: e.name.lower())
@pytest.mark.parametrize(("reader", "head"), HEAD_CASES)
async def test_cut_head_is_no_response(
    reader: str, head: str, ending: cut_responses.Ending
) -> None:
    """Guards against a response made of the headers before a lost connection.

    Without its Content-Length, or with the first digits of it only, a response
    could look whole, and a refusal could look like one that has been completed.
    """
    response = HEADS[head]
    cuts = range(len(response))
    assert not await _find_accepted(READERS[reader], response, cuts, ending)


@pytest.mark.parametrize("ending", ENDINGS, ids=lambda e: e.name.lower())
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("reader", READERS)
async def test_cut_body_is_not_whole(
    reader: str, body: str, ending: cut_responses.Ending
) -> None:
    """Guards against a body that is cut within data, chunk size or trailer."""
    response = HEADS[body] + BODIES[body]
    cuts = range(len(HEADS[body]), len(response))
    assert not await _find_accepted(READERS[reader], response, cuts, ending)


@pytest.mark.parametrize("reader", READERS)
async def test_reset_body_without_length_is_not_whole(reader: str) -> None:
    """Guards against a short body of a connection that was reset.

    Only bodies that end with their connection looked whole.
    """
    response = HEADS["unframed"] + BODY
    cuts = range(len(HEADS["unframed"]), len(response) + 1)
    ending = cut_responses.Ending.RESET
    assert not await _find_accepted(READERS[reader], response, cuts, ending)


async def test_reset_connections_log_nothing_of_libraries(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a traceback in the log for each reset connection."""
    response = HEADS["unframed"] + BODY
    ending = cut_responses.Ending.RESET
    for cuts in (range(len(response)), range(len(response), len(response) + 1)):
        assert not await _find_accepted(_read_upstream, response, cuts, ending)
    gc.collect()
    await asyncio.sleep(0)
    assert not caplog.records


@pytest.mark.parametrize("reader", READERS)
async def test_invalid_chunk_fails_at_once(reader: str) -> None:
    """Guards against a read until the timeout of a body that cannot go on.

    The client library closed the connection and told the reader nothing.
    """
    earlier = WHOLE_RESPONSE if reader == "kept" else b""
    async with cut_responses.run(
        HEADS["chunked"] + b"2\r\n{}\r\n",
        cut_responses.Ending.NONE,
        later=b"no size\r\n",
        earlier_response=earlier,
    ) as server:
        async with asyncio.timeout(INVALID_CHUNK_TIMEOUT_S):
            assert not await READERS[reader](server.address)


@pytest.mark.parametrize("cut", [1, 20, len(HEADS["refusal"]) - 2])
async def test_connection_with_a_partial_late_response_is_not_used(
    cut: int,
) -> None:
    """Guards against a request on a connection with another response within.

    Part of the headers arrives while the connection is idle, the rest in place
    of the next response.
    """
    upstream_client = exchange.UpstreamClient()
    late = HEADS["refusal"]
    async with cut_responses.run(
        late[cut:] + WHOLE_RESPONSE,
        cut_responses.Ending.CLOSE,
        earlier_response=WHOLE_RESPONSE,
        late=late[:cut],
    ) as server:
        request = exchange.UpstreamRequest(
            "POST", server.address, "/x", (), b"", TIMEOUT_S, False
        )
        for number in (1, 2):
            response = await upstream_client.open(request)
            assert await response.body(MAX_BODY_BYTES) == b"{}"
            # The late bytes arrive meanwhile.
            await asyncio.sleep(0.1)
            assert server.connection_count == number
    await upstream_client.close()


async def test_switch_of_protocols_is_no_response() -> None:
    """Guards against a 101 that is passed on as the response of an upstream."""
    response = b"HTTP/1.1 101 Switching Protocols\r\n%b\r\n" % NAMES
    upstream_client = exchange.UpstreamClient()
    async with cut_responses.run(response, ENDINGS[0]) as server:
        request = exchange.UpstreamRequest(
            "POST", server.address, "/x", (), b"", TIMEOUT_S, True
        )
        with pytest.raises(exchange.NoResponseError):
            await upstream_client.open(request)
    await upstream_client.close()
