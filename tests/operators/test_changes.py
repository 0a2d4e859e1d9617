"""Writes to the platform with lost replies and concurrent writers."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web
import pytest
import pytest_asyncio

from yuccatally.core.config import changes as core_changes
from yuccatally.core.config import merge
from yuccatally.core.objects import kinds
from yuccatally.operators import changes
from yuccatally.store import client
from yuccatally.store import http
from yuccatally_standins import platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

SPEC = {"address": "127.0.0.1:1", "data_centre": "north"}


@dataclasses.dataclass
class PlatformServer:
    """A platform stand-in, its address and the clients to close."""

    platform: platform.Platform
    url: str
    stores: list[http.HttpStore]

    def store(self) -> http.HttpStore:
        """Returns a new client."""
        self.stores.append(http.HttpStore(self.url))
        return self.stores[-1]


@pytest_asyncio.fixture
async def server() -> AsyncIterator[PlatformServer]:
    """A platform stand-in on the event loop of the test, with engine ``e``."""
    standin = platform.Platform()
    runner = web.AppRunner(standin.application(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    server = PlatformServer(standin, f"http://127.0.0.1:{port}", [])
    await server.store().put("engine", "e", SPEC, {"zone": "a"}, 0)
    yield server
    for store in server.stores:
        await store.close()
    await runner.cleanup()


class ReplyLosingStore(http.HttpStore):
    """Store client that loses the reply to its first write.

    Attributes:
        made: Whether the write takes effect.
        before_write: Called before the write.
        after_write: Called after the write.
        reply_lost: Whether the reply has been lost.
        unavailable: Whether the platform is unavailable after the first write.
    """

    made = True
    before_write: Callable[[], Any] | None = None
    after_write: Callable[[], Any] | None = None
    reply_lost = False
    unavailable = False

    async def put(self, *args: Any) -> client.StoredObject:
        """Loses the reply of the first write, which may take effect."""
        return await self._call_and_lose_reply(super().put, *args)

    async def delete(self, *args: Any) -> int:
        """Loses the reply of the first deletion, which may take effect."""
        return await self._call_and_lose_reply(super().delete, *args)

    async def get(self, kind: str, name: str) -> client.StoredObject:
        """Reads an object unless the platform is unavailable."""
        if self.unavailable and self.reply_lost:
            raise client.StoreError("unavailable")
        return await super().get(kind, name)

    async def _call_and_lose_reply(
        self, call: Callable[..., Any], *args: Any
    ) -> Any:
        if self.reply_lost:
            if self.unavailable:
                raise client.UncertainError("unavailable")
            return await call(*args)
        self.reply_lost = True
        if self.before_write is not None:
            await self.before_write()
        if self.made:
            conflict = None
            try:
                await call(*args)
            except client.ConflictError as error:
                conflict = error
            assert (conflict is None) == (self.before_write is None)
        if self.after_write is not None:
            await self.after_write()
        raise client.UncertainError("the reply was lost")


@pytest.mark.parametrize(
    ("case", "outcome", "zone", "version"),
    [
        ("made", "applied", "b", 2),
        ("not made", "applied", "b", 2),
        ("made, then another", "superseded", "c", 3),
        ("another first", "conflict", "c", 2),
        ("made, then deleted", "superseded", None, None),
        ("made, then away", "unknown", "b", 2),
        ("not made, then away", "unknown", "a", 1),
        ("made, then many others", "unknown", "c", 1002),
    ],
)
async def test_operator_is_told_what_became_of_a_write(
    server: PlatformServer, case: str, outcome: str, zone: str, version: int
) -> None:
    """Guards against a false report after the reply of a write was lost."""
    other = server.store()

    async def write_concurrently() -> None:
        if "deleted" in case:
            current = await other.get("engine", "e")
            await other.delete("engine", "e", current.version)
            return
        for _ in range(1000 if "many" in case else 1):
            current = await other.get("engine", "e")
            labels = {"zone": "c"}
            await other.put("engine", "e", SPEC, labels, current.version)

    store = ReplyLosingStore(server.url)
    server.stores.append(store)
    store.made = not case.startswith("not made")
    store.unavailable = "away" in case
    if "first" in case:
        store.before_write = write_concurrently
    elif "another" in case or "deleted" in case or "others" in case:
        store.after_write = write_concurrently
    writer = changes.ChangeWriter(store, read_back_timeout_s=0.3)
    edit = merge.LabelEdit({"zone": "b"})
    report = await writer.edit_labels("engine", "e", edit, None, False)
    assert report.outcome == outcome
    stored = server.platform.objects.get(("engine", "e"))
    assert (stored and stored["labels"]["zone"]) == zone
    assert (stored and stored["version"]) == version
    if outcome in ("conflict", "unknown"):
        assert report.problems


@pytest.mark.parametrize("made", [True, False])
async def test_deletion_without_reply_is_settled(
    server: PlatformServer, made: bool
) -> None:
    """Guards against a deletion whose lost reply is reported as a failure."""
    store = ReplyLosingStore(server.url)
    server.stores.append(store)
    store.made = made
    change = core_changes.Change(deleted=(("engine", "e"),))
    report = await changes.ChangeWriter(store).apply(change)
    assert report.outcome == "applied"
    assert ("engine", "e") not in server.platform.objects


async def test_concurrent_edits_of_different_labels_merge(
    server: PlatformServer,
) -> None:
    """Guards against a label that is lost in concurrent edits."""
    writers = [changes.ChangeWriter(server.store()) for _ in range(8)]
    server.platform.faults.lose_replies = 4
    reports = await asyncio.gather(
        *(
            w.edit_labels(
                "engine", "e", merge.LabelEdit({f"k{n}": "v"}), None, False
            )
            for n, w in enumerate(writers)
        )
    )
    assert {str(r.outcome) for r in reports} <= {"applied", "superseded"}
    labels = server.platform.objects[("engine", "e")]["labels"]
    assert labels == {"zone": "a", **{f"k{n}": "v" for n in range(8)}}


async def test_concurrent_edits_of_one_label_have_one_winner(
    server: PlatformServer,
) -> None:
    """Guards against success reported to two writers of the same label."""
    writers = [changes.ChangeWriter(server.store()) for _ in range(8)]
    reports = await asyncio.gather(
        *(
            w.edit_labels(
                "engine",
                "e",
                merge.LabelEdit({"zone": f"z{n}"}),
                {"zone": "a"},
                False,
            )
            for n, w in enumerate(writers)
        )
    )
    outcomes = [str(r.outcome) for r in reports]
    assert sorted(outcomes) == ["applied"] + ["conflict"] * 7
    winner = f"z{outcomes.index('applied')}"
    stored = server.platform.objects[("engine", "e")]
    assert (stored["labels"], stored["version"]) == ({"zone": winner}, 2)
    for report in reports:
        if report.outcome == "conflict":
            assert f"to {winner!r}" in report.problems[0]


async def test_change_stops_at_the_first_conflict(
    server: PlatformServer,
) -> None:
    """Guards against later writes whose check assumed a write that failed."""
    other = server.store()

    class RacingStore(http.HttpStore):
        async def list_objects(self, kind: str = "") -> client.Listing:
            listing = await super().list_objects(kind)
            await other.put("engine", "e", SPEC, {"zone": "c"}, 1)
            return listing

    store = RacingStore(server.url)
    server.stores.append(store)
    engines = tuple(
        kinds.decode(
            {
                "kind": "engine",
                "name": name,
                "spec": {**SPEC, "address": f"127.0.0.1:{port}"},
            }
        ).ok
        for port, name in enumerate(["d", "e", "f"], start=2)
    )
    report = await changes.ChangeWriter(store).apply(
        core_changes.Change(engines)
    )
    assert report.outcome == "conflict"
    outcomes = {w.object: str(w.outcome) for w in report.objects}
    assert outcomes == {
        "engine/d": "applied",
        "engine/e": "conflict",
        "engine/f": "not-written",
    }
    assert ("engine", "f") not in server.platform.objects


async def test_platform_down_changes_nothing(server: PlatformServer) -> None:
    """Guards against an outage that is reported as success or conflict."""
    server.platform.faults.down = True
    writer = changes.ChangeWriter(server.store())
    edit = merge.LabelEdit({"zone": "b"})
    report = await writer.edit_labels("engine", "e", edit, None, False)
    assert report.outcome == "unavailable"
    assert "nothing was written" in report.problems[0]


async def test_write_is_sent_once_when_the_connection_ends(
    server: PlatformServer,
) -> None:
    """Guards against aiohttp sending a PUT or DELETE a second time."""
    store = server.store()
    current = await store.get("engine", "e")
    server.platform.faults.lose_replies = 1
    previous_count = server.platform.calls["PUT objects"]
    with pytest.raises(client.UncertainError):
        await store.put("engine", "e", SPEC, {}, current.version)
    assert server.platform.calls["PUT objects"] == previous_count + 1
