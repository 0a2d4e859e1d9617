"""Writes on the platform's protocol with lost replies and other writers."""

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
class Served:
    """A platform stand-in and its address."""

    platform: platform.Platform
    url: str
    stores: list[http.HttpStore]

    def store(self) -> http.HttpStore:
        """Returns a client of its own."""
        self.stores.append(http.HttpStore(self.url))
        return self.stores[-1]


@pytest_asyncio.fixture
async def served() -> AsyncIterator[Served]:
    """A platform stand-in on the loop of the test, with engine ``e``."""
    standin = platform.Platform()
    runner = web.AppRunner(standin.application(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    found = Served(standin, f"http://127.0.0.1:{port}", [])
    await found.store().put("engine", "e", SPEC, {"zone": "a"}, 0)
    yield found
    for store in found.stores:
        await store.close()
    await runner.cleanup()


class Losing(http.HttpStore):
    """Loses the reply of the first write, before or after it is made.

    Attributes:
        made: Whether the write takes effect.
        before: Runs before the write.
        after: Runs after it.
    """

    made = True
    before: Callable[[], Any] | None = None
    after: Callable[[], Any] | None = None
    lost = False
    away = False

    async def put(self, *args: Any) -> client.StoredObject:
        """Makes the write or not, and loses the reply."""
        return await self._lose(super().put, *args)

    async def delete(self, *args: Any) -> int:
        """Makes the deletion or not, and loses the reply."""
        return await self._lose(super().delete, *args)

    async def get(self, kind: str, name: str) -> client.StoredObject:
        """Reads unless the platform is away."""
        if self.away and self.lost:
            raise client.StoreError("away")
        return await super().get(kind, name)

    async def _lose(self, call: Callable[..., Any], *args: Any) -> Any:
        if self.lost:
            if self.away:
                raise client.UncertainError("away")
            return await call(*args)
        self.lost = True
        if self.before is not None:
            await self.before()
        if self.made:
            with_conflict = None
            try:
                await call(*args)
            except client.ConflictError as error:
                with_conflict = error
            assert (with_conflict is None) == (self.before is None)
        if self.after is not None:
            await self.after()
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
    served: Served, case: str, outcome: str, zone: str, version: int
) -> None:
    """Guards against a false report after the reply of a write was lost."""
    other = served.store()

    async def interfere() -> None:
        if "deleted" in case:
            current = await other.get("engine", "e")
            await other.delete("engine", "e", current.version)
            return
        for _ in range(1000 if "many" in case else 1):
            current = await other.get("engine", "e")
            labels = {"zone": "c"}
            await other.put("engine", "e", SPEC, labels, current.version)

    store = Losing(served.url)
    served.stores.append(store)
    store.made = not case.startswith("not made")
    store.away = "away" in case
    if "first" in case:
        store.before = interfere
    elif "another" in case or "deleted" in case or "others" in case:
        store.after = interfere
    writer = changes.ChangeWriter(store, read_back_s=0.3)
    edit = merge.LabelEdit({"zone": "b"})
    report = await writer.label("engine", "e", edit, None, False)
    assert report.outcome == outcome
    stored = served.platform.objects.get(("engine", "e"))
    assert (stored and stored["labels"]["zone"]) == zone
    assert (stored and stored["version"]) == version
    if outcome in ("conflict", "unknown"):
        assert report.problems


@pytest.mark.parametrize("made", [True, False])
async def test_deletion_without_reply_is_settled(
    served: Served, made: bool
) -> None:
    """Guards against a deletion whose lost reply is reported as a failure."""
    store = Losing(served.url)
    served.stores.append(store)
    store.made = made
    change = core_changes.Change(deleted=(("engine", "e"),))
    report = await changes.ChangeWriter(store).apply(change)
    assert report.outcome == "applied"
    assert ("engine", "e") not in served.platform.objects


async def test_concurrent_edits_of_different_labels_merge(
    served: Served,
) -> None:
    """Guards against a label that gets lost among concurrent operators."""
    writers = [changes.ChangeWriter(served.store()) for _ in range(8)]
    served.platform.faults.lose_replies = 4
    reports = await asyncio.gather(
        *(
            w.label("engine", "e", merge.LabelEdit({f"k{n}": "v"}), None, False)
            for n, w in enumerate(writers)
        )
    )
    assert {str(r.outcome) for r in reports} <= {"applied", "superseded"}
    labels = served.platform.objects[("engine", "e")]["labels"]
    assert labels == {"zone": "a", **{f"k{n}": "v" for n in range(8)}}


async def test_concurrent_edits_of_one_label_have_one_winner(
    served: Served,
) -> None:
    """Guards against two operators who both believe that their value holds."""
    writers = [changes.ChangeWriter(served.store()) for _ in range(8)]
    reports = await asyncio.gather(
        *(
            w.label(
                "engine",
                "e",
                merge.LabelEdit({"zone": f"z{n}"}),
                {"zone": "a"},
                False,
            )
            for n, w in enumerate(writers)
        )
    )
    told = [str(r.outcome) for r in reports]
    assert sorted(told) == ["applied"] + ["conflict"] * 7
    winner = f"z{told.index('applied')}"
    stored = served.platform.objects[("engine", "e")]
    assert (stored["labels"], stored["version"]) == ({"zone": winner}, 2)
    for report in reports:
        if report.outcome == "conflict":
            assert f"to {winner!r}" in report.problems[0]


async def test_change_stops_at_the_first_conflict(served: Served) -> None:
    """Guards against later writes that were checked with a lost one."""
    other = served.store()

    class Racing(http.HttpStore):
        async def list_objects(self, kind: str = "") -> client.Listing:
            listing = await super().list_objects(kind)
            await other.put("engine", "e", SPEC, {"zone": "c"}, 1)
            return listing

    store = Racing(served.url)
    served.stores.append(store)
    wanted = tuple(
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
        core_changes.Change(wanted)
    )
    assert report.outcome == "conflict"
    told = {w.object: str(w.outcome) for w in report.objects}
    assert told == {
        "engine/d": "applied",
        "engine/e": "conflict",
        "engine/f": "not-written",
    }
    assert ("engine", "f") not in served.platform.objects


async def test_platform_down_changes_nothing(served: Served) -> None:
    """Guards against an outage that is reported as success or conflict."""
    served.platform.faults.down = True
    writer = changes.ChangeWriter(served.store())
    edit = merge.LabelEdit({"zone": "b"})
    report = await writer.label("engine", "e", edit, None, False)
    assert report.outcome == "unavailable"
    assert "nothing was written" in report.problems[0]


async def test_write_is_sent_once_when_the_connection_ends(
    served: Served,
) -> None:
    """Guards against aiohttp sending a PUT or DELETE a second time."""
    store = served.store()
    current = await store.get("engine", "e")
    served.platform.faults.lose_replies = 1
    before = served.platform.calls["PUT objects"]
    with pytest.raises(client.UncertainError):
        await store.put("engine", "e", SPEC, {}, current.version)
    assert served.platform.calls["PUT objects"] == before + 1
