"""Tests of the client of the platform's store against a stand-in."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from yuccatally.core.objects import content
from yuccatally.platform import store as platform_store
from yuccatally.store import client
from yuccatally.store import decoding
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
    assert _decoded(await store_client.get("k", "n")) == {"a": 3}


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
    assert _decoded(await store_client.get("k", "n")) == {"a": 1}


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


async def test_list_of_a_restored_store_is_later(pair: Pair) -> None:
    """Guards against a restored store that counts as behind what is known."""
    store, store_client = pair
    saved = store.copy()
    for number in range(5):
        await store.set("k", f"n{number}", 1)
    before = await store_client.list_objects("k")
    await store.restore(saved)
    await store.set("k", "n9", 2)
    after = await store_client.list_objects("k")
    assert store.revision < before.revision < after.revision
    assert after.items[0].revision > before.items[-1].revision
    assert client.number_of(after.items[0].revision) == store.revision


@pytest.mark.parametrize("known", [True, False])
async def test_watch_of_a_restored_store_lists_again(
    pair: Pair, known: bool
) -> None:
    """Guards against changes that a watch skips after a restore.

    The new history has the revision of the watch already.
    """
    store, store_client = pair
    saved = store.copy()
    await store.set("k", "lost", 1)
    since = (await store_client.list_objects("k")).revision
    await store.restore(saved)
    await store.set("k", "first", 1)
    await store.set("k", "second", 1)
    if known:
        await store_client.get("k", "first")
    calls_before = len(store.calls)
    with pytest.raises(client.CompactedError):
        await store_client.watch(since, 1.0, "k")
    assert len(store.calls) - calls_before == (0 if known else 1)


async def test_write_on_a_lost_version_is_refused(pair: Pair) -> None:
    """Guards against a write whose condition holds for another change."""
    store, store_client = pair
    await store.set("k", "n", 0)
    saved = store.copy()
    stored = await store_client.get("k", "n")
    lost = await store_client.put("k", "n", {"a": 1}, {}, stored.version)
    await store.restore(saved)
    await store.set("k", "n", {"a": 2})
    assert client.number_of(lost.version) == store.revision
    # Nothing has told this client of the restore.
    with pytest.raises(client.UncertainError):
        await store_client.put("k", "n", {"a": 3}, {}, lost.version)
    with pytest.raises(client.ConflictError):
        await store_client.put("k", "n", {"a": 4}, {}, lost.version)
    with pytest.raises(client.ConflictError):
        await store_client.delete("k", "n", lost.version)
    assert store.objects["k", "n"]["spec"] == {"a": 3}


async def test_response_of_a_lost_history_is_ignored(pair: Pair) -> None:
    """Guards against a late response that brings lost changes back."""
    store, store_client = pair
    store.epoch = 3
    await store_client.list_objects("k")
    store.epoch = 2
    with pytest.raises(client.StoreError):
        await store_client.list_objects("k")
    with pytest.raises(client.UncertainError):
        await store_client.put("k", "n", {}, {}, 0)
    store.epoch = 3
    assert client.epoch_of((await store_client.get("k", "n")).version) == 3


async def test_restore_within_a_list_starts_it_again(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a list of which each part is of another history."""
    store, store_client = pair
    for number in range(object_store.PAGE_ITEM_COUNT + 1):
        await store.set("k", f"n{number:04}", {})
    exchange = store_client.http.exchange

    async def exchange_and_restore(*args: Any, **options: Any) -> Any:
        answer = await exchange(*args, **options)
        if store.epoch == 0:
            await store.restore(store.copy())
        return answer

    monkeypatch.setattr(store_client.http, "exchange", exchange_and_restore)
    with pytest.raises(client.StoreError):
        await store_client.list_objects("k")
    assert len((await store_client.list_objects("k")).items) == 501


def _decoded(stored: client.StoredObject) -> Any:
    return content.decode(stored.spec, object)


DEEP = b'{"a":' * 3000 + b"1" + b"}" * 3000


@pytest.mark.parametrize(
    "odd",
    [
        DEEP,
        b"[" * 3000 + b"]" * 3000,
        b"1e999",
        b"9" * 5000,
        b'"\xff\xfe"',
        b'"\\ud800"',
        b'"\\x"',
        b'"\n"',
        b"NaN",
        b"[}",
        b"[1,,2]",
        b"",
    ],
    ids=[
        "deep object",
        "deep list",
        "large float",
        "large int",
        "no text",
        "half of a pair",
        "invalid escape",
        "control character",
        "no number",
        "wrong bracket",
        "missing value",
        "nothing",
    ],
)
async def test_unreadable_object_does_not_hide_the_others(
    pair: Pair, odd: bytes
) -> None:
    """Guards against one odd object that ends lists and watches."""
    store, store_client = pair
    await store.set("k", "a", {"n": 1})
    since = store.revision
    await store.set_raw("k", "b", odd)
    await store.set("k", "c", {"n": 2})
    listing = await store_client.list_objects("k")
    changes = await store_client.watch(since, 1.0, "k")
    for items, names in ((listing.items, "abc"), (changes.items, "bc")):
        assert "".join(i.name for i in items) == names
        assert _decoded(items[-1]) == {"n": 2}
        unreadable = next(i for i in items if i.name == "b")
        with pytest.raises(content.DECODE_ERRORS):
            _decoded(unreadable)


@pytest.mark.parametrize("revision", [10**31, -1, "5", None])
async def test_object_with_an_invalid_revision_is_ignored(
    pair: Pair, revision: object
) -> None:
    """Guards against a revision that is later than all others for ever."""
    store, store_client = pair
    await store.set("k", "a", 1)
    await store.set("k", "b", 2)
    store.objects["k", "a"]["metadata"]["revision"] = revision
    listing = await store_client.list_objects("k")
    assert [i.name for i in listing.items] == ["b"]


@pytest.mark.parametrize(
    "document",
    [b"", b"[1", b'{"a":1', b'{"a":[1,2}', b'{"a":1}}', b"1e999", b"]", b"1,2"],
)
@pytest.mark.parametrize("nesting", [1, 3, 4])
async def test_incomplete_document_is_rejected(
    document: bytes, nesting: int
) -> None:
    """Guards against a list that looks complete although it is cut off."""
    with pytest.raises(msgspec.DecodeError):
        content.decode(
            msgspec.Raw(await decoding.repair(document, nesting)), object
        )


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@given(st.lists(VALUES, max_size=6), st.integers(0, 6), st.booleans())
def test_readable_parts_are_those_that_were_written(
    values: list[Any], position: int, indented: bool
) -> None:
    """Guards against parts that are kept apart at the wrong place."""
    encoded = [
        json.dumps(v, indent=2 if indented else None).encode() for v in values
    ]
    encoded.insert(position, DEEP)
    document = b'{ "items" : [' + b" , ".join(encoded) + b"]}"
    repaired = asyncio.run(decoding.repair(document, 2))
    page = msgspec.json.decode(repaired, type=dict[str, list[msgspec.Raw]])
    items = page["items"]
    del items[min(position, len(values))]
    expected = json.loads(json.dumps(values))
    assert [msgspec.json.decode(i) for i in items] == [
        msgspec.json.decode(json.dumps(v)) for v in expected
    ]


# Length of the longest object that the store accepts.
MAX_OBJECT_BYTES = 1_048_576
# A request waits half a second for its answer beyond its timeout. Other tasks
# run within a fifth of that, as a response can hold several objects.
MAX_HOLD_S = 0.1


def _filled(start: bytes, part: bytes, end: bytes) -> bytes:
    count = (MAX_OBJECT_BYTES - len(start) - len(end)) // len(part)
    return start + part * count + end


LONG_SPECS = {
    "empty lists and no text": _filled(b'{"a":[', b"[],", b'"\xff"]}'),
    "empty lists and no number": _filled(b'{"a":[', b"[],", b"NaN]}"),
    "nested lists": _filled(b"[", b"[[[]],[]],", b"NaN]"),
    "texts": _filled(b"[", b'"",', b"NaN]"),
    "escapes": _filled(b'["', b"\\u0041", b'\\ud800"]'),
    "objects": _filled(b"[", b'{"a":{}},', b"NaN]"),
    "deep": b"[" * (MAX_OBJECT_BYTES // 2) + b"]" * (MAX_OBJECT_BYTES // 2),
    "deep with values": b"[0," * (MAX_OBJECT_BYTES // 4)
    + b"0"
    + b"]" * (MAX_OBJECT_BYTES // 4),
    "numbers": _filled(b"[", b"1e999,", b"NaN]"),
    "well-formed": _filled(b'{"a":[', b"[],", b"[]]}"),
}


@pytest.mark.parametrize("name", LONG_SPECS)
async def test_long_foreign_object_does_not_hold_up_other_tasks(
    pair: Pair, name: str
) -> None:
    """Guards against work on one object that stops the process for seconds.

    Every object was read token by token at four levels, on the event loop, and
    one of a megabyte stopped every instance for five seconds.
    """
    store, store_client = pair
    await store.set("k", "a", {"n": 1})
    await store.set_raw("k", "b", LONG_SPECS[name])
    await store.set("k", "c", {"n": 2})
    longest_s = 0.0

    async def measure() -> None:
        nonlocal longest_s
        while True:
            # Processor time, so that other load on the machine does not count.
            started_at = time.thread_time()
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.thread_time() - started_at)

    meter = asyncio.create_task(measure())
    await asyncio.sleep(0)
    listing = await store_client.list_objects("k")
    await asyncio.sleep(0)
    meter.cancel()
    assert [i.name for i in listing.items] == ["a", "b", "c"]
    assert longest_s < MAX_HOLD_S


@pytest.mark.parametrize("spec", [DEEP, b'"\\ud800"', b"NaN"])
async def test_unreadable_object_is_read_by_itself(
    pair: Pair, spec: bytes
) -> None:
    """Guards against an object that can neither be replaced nor deleted.

    Its revision is needed for both.
    """
    store, store_client = pair
    await store.set_raw("k", "b", spec)
    stored = await store_client.get("k", "b")
    assert stored.name == "b"
    await store_client.delete("k", "b", stored.version)
    assert not store.objects


async def test_page_of_objects_with_long_names_does_not_end_the_list(
    pair: Pair,
) -> None:
    """Guards against a list that fails at names which cannot be passed on.

    The next page starts after a name on the page before, and that page held
    none that counted as valid.
    """
    store, store_client = pair
    for number in range(object_store.PAGE_ITEM_COUNT):
        await store.set("k", f"a{'n' * 300}{number:04}", {})
    await store.set("k", "b", {})
    listing = await store_client.list_objects("k")
    assert [i.name for i in listing.items] == ["b"]


async def test_unreadable_status_does_not_hide_the_content(pair: Pair) -> None:
    """Guards against an object that is ignored for a part nobody reads."""
    store, store_client = pair
    await store.set("k", "a", {"n": 1})
    store.raw_specs["status"] = DEEP
    store.objects["k", "a"]["status"] = "raw:status"
    listing = await store_client.list_objects("k")
    assert _decoded(listing.items[0]) == {"n": 1}
    assert _decoded(await store_client.get("k", "a")) == {"n": 1}
