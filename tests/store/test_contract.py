"""Contract tests that every client of the platform's object API passes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import test_utils
import pytest
import pytest_asyncio

from yuccatally.store import client
from yuccatally.store import http
from yuccatally_standins import platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

WAIT_S = 0.2


@pytest_asyncio.fixture(params=["http"])
async def store(
    request: pytest.FixtureRequest,
) -> AsyncIterator[client.StoreClient]:
    """Starts an empty platform and a client of it.

    To test another implementation, add it to ``params``.
    """
    assert request.param == "http"
    server = test_utils.TestServer(platform.Platform().application())
    await server.start_server()
    client_under_test = http.HttpStore(f"http://127.0.0.1:{server.port}")
    yield client_under_test
    await client_under_test.close()
    await server.close()


async def test_version_guards_each_write(store: client.StoreClient) -> None:
    """Guards against overwriting a change that the writer has not read."""
    first = await store.put("model", "a", {"x": 1}, {"l": "1"}, 0)
    second = await store.put("model", "a", {"x": 2}, {}, first.version)
    assert second.version == first.version + 1
    assert second.revision > first.revision
    for stale in (0, first.version):
        with pytest.raises(client.ConflictError):
            await store.put("model", "a", {"x": 3}, {}, stale)
        with pytest.raises(client.ConflictError):
            await store.delete("model", "a", stale or first.version)
    assert (await store.get("model", "a")).spec == {"x": 2}


async def test_missing_objects_are_told_apart(
    store: client.StoreClient,
) -> None:
    """Guards against reporting a missing object as an outage."""
    with pytest.raises(client.NotFoundError):
        await store.get("model", "a")
    with pytest.raises(client.NotFoundError):
        await store.delete("model", "a", 1)


async def test_watch_reports_changes_in_order(
    store: client.StoreClient,
) -> None:
    """Guards against changes and deletions that a watch does not return."""
    start = (await store.list_objects()).revision
    created = await store.put("model", "a", {"x": 1}, {}, 0)
    await store.put("model", "b", {"x": 1}, {}, 0)
    deletion_revision = await store.delete("model", "a", created.version)
    changes = await store.watch(start, WAIT_S)
    assert [(s.name, s.deleted) for s in changes.items] == [
        ("a", False),
        ("b", False),
        ("a", True),
    ]
    assert changes.revision >= deletion_revision
    idle = await store.watch(changes.revision, WAIT_S)
    assert idle.items == ()


@pytest.mark.parametrize("kind", ["claims", "lease"])
async def test_internal_kinds_are_not_watched(
    store: client.StoreClient, kind: str
) -> None:
    """Guards against claims and leases that end the wait of every watch."""
    start = (await store.list_objects()).revision
    await store.put(kind, "a", {}, {}, 0)
    assert (await store.watch(start, WAIT_S)).items == ()
    assert (await store.list_objects()).items == ()
    assert len((await store.list_objects(kind)).items) == 1


async def test_unreachable_platform_is_an_error_of_the_layer() -> None:
    """Guards against exceptions of the HTTP library that reach callers."""
    store = http.HttpStore("http://127.0.0.1:1")
    with pytest.raises(client.StoreError):
        await store.get("model", "a")
    with pytest.raises(client.StoreError):
        await store.put("model", "a", {}, {}, 0)
    await store.close()
