"""Tests of the client of the platform's store against a stand-in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from yuccatally.platform import store as platform_store
from yuccatally.store import client
from yuccatally_standins import object_store
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

Pair = tuple[object_store.ObjectStore, platform_store.PlatformStore]


@pytest.fixture
async def pair() -> AsyncIterator[Pair]:
    """Starts a store and a client of it."""
    async with path_site.run_store() as (store, address):
        store_client = platform_store.PlatformStore(address)
        yield store, store_client
        await store_client.close()


async def test_list_takes_all_pages(pair: Pair) -> None:
    """Guards against a list that ends after its first page.

    The objects of later pages would count as deleted.
    """
    store, store_client = pair
    names = [
        f"n{number:04}"
        for number in range(2 * object_store.PAGE_ITEM_COUNT + 1)
    ]
    for name in names:
        await store.set("k", name, {})
    listing = await store_client.list_objects("k")
    assert [i.name for i in listing.items] == names
    assert listing.revision == store.revision


async def test_write_is_conditional(pair: Pair) -> None:
    """Guards against overwriting a change of another instance."""
    _, store_client = pair
    created = await store_client.put("k", "n", {"a": 1}, {}, 0)
    with pytest.raises(client.ConflictError):
        await store_client.put("k", "n", {"a": 2}, {}, 0)
    await store_client.put("k", "n", {"a": 3}, {}, created.version)
    with pytest.raises(client.ConflictError):
        await store_client.put("k", "n", {"a": 4}, {}, created.version)
    assert (await store_client.get("k", "n")).spec == {"a": 3}


async def test_watch_reports_changes_and_deletions(pair: Pair) -> None:
    """Guards against missing changes between two watch calls."""
    store, store_client = pair
    await store.set("k", "n", 1)
    since = store.revision - 1
    first = await store_client.watch(since, 1.0, "k")
    await store.remove("k", "n")
    second = await store_client.watch(first.revision, 1.0, "k")
    assert [i.deleted for i in (*first.items, *second.items)] == [False, True]


async def test_forgotten_history_is_told(pair: Pair) -> None:
    """Guards against a watch that continues after changes were discarded."""
    store, store_client = pair
    await store.set("k", "n", 1)
    await store.compact()
    with pytest.raises(client.CompactedError):
        await store_client.watch(0, 1.0, "k")


@pytest.mark.parametrize("status", [429, 503])
async def test_refusal_did_nothing(pair: Pair, status: int) -> None:
    """Guards against treating the outcome of a refused write as unknown."""
    store, store_client = pair
    store.faults.status = status
    with pytest.raises(client.StoreError) as caught:
        await store_client.put("k", "n", {}, {}, 0)
    assert not isinstance(caught.value, client.UncertainError)


async def test_lost_reply_is_uncertain(pair: Pair) -> None:
    """Guards against counting a write as failed if only its reply was lost."""
    store, store_client = pair
    store.faults.lose_replies = 1
    with pytest.raises(client.UncertainError):
        await store_client.put("k", "n", {"a": 1}, {}, 0)
    assert (await store_client.get("k", "n")).spec == {"a": 1}


async def test_silent_watch_ends_with_an_error(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a watch that waits forever on a silent connection."""
    store, store_client = pair
    monkeypatch.setattr("yuccatally.store.calls.WATCH_MARGIN_S", 0.1)
    store.faults.silent = True
    with pytest.raises(client.ReadTimeoutError):
        async with asyncio.timeout(5):
            await store_client.watch(0, 0.1, "k")


async def test_foreign_objects_do_not_end_a_list(pair: Pair) -> None:
    """Guards against a malformed object that ends a list."""
    store, store_client = pair
    await store.set("k", "a", None)
    store.objects[("k", "b")] = {"spec": {}}
    await store.set("k", "c", [1])
    listing = await store_client.list_objects("k")
    assert [i.name for i in listing.items] == ["a", "c"]


async def test_unreadable_end_of_a_page_does_not_end_the_list(
    pair: Pair,
) -> None:
    """Guards against skipping all pages after a malformed object.

    A list ended at a page whose last object was malformed but was reported as
    complete, so the objects of later pages counted as deleted.
    """
    store, store_client = pair
    names = [
        f"n{number:04}" for number in range(object_store.PAGE_ITEM_COUNT + 3)
    ]
    for name in names:
        await store.set("k", name, {})
    malformed = names[object_store.PAGE_ITEM_COUNT - 1]
    store.objects[("k", malformed)] = {"spec": {}}
    listing = await store_client.list_objects("k")
    assert [i.name for i in listing.items] == [
        n for n in names if n != malformed
    ]
