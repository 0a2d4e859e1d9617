"""Instances that follow a relay which does not hear from the store."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING
from typing import Any

import pytest

from yuccatally.core.forwarding import plans
from yuccatally.forwarding import watches
from yuccatally.store import client
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from yuccatally.forwarding import node

# Time for which requests may be sent to an upstream that leaves.
DRAIN_S = 2.0
# Longer than a call for changes.
SILENT_S = 30.0
# Longer than a peer may be ahead.
SLOW_S = 1.0


@dataclasses.dataclass
class Link:
    """Link of an instance to the store.

    Attributes:
        delay_s: Delay of each response, in seconds.
    """

    delay_s: float = 0.0

    def attach(self, instance: node.Node) -> None:
        """Delays the responses that an instance receives."""
        exchange = instance.store.http.exchange

        async def delayed(*args: Any, **options: Any) -> Any:
            answer = await exchange(*args, **options)
            limit_s = options["timeout_s"]
            await asyncio.sleep(min(self.delay_s, limit_s))
            if self.delay_s >= limit_s:
                raise client.ReadTimeoutError("no response")
            return answer

        instance.store.http.exchange = delayed


@dataclasses.dataclass(frozen=True)
class Group:
    """A data centre whose instances may not lead, beside one whose may.

    Attributes:
        site: The deployment.
        relay: Instance that follows the store.
        follower: Instance that follows the relay.
        link: Link of the relay to the store.
    """

    site: path_site.Site
    relay: node.Node
    follower: node.Node
    link: Link


@pytest.fixture
async def group(served: path_site.Site) -> Group:
    """Starts the instances and waits until one follows the other."""
    # The first two by name may lead and keep watches of their own.
    await served.start_instance("n2")
    relay = await served.start_instance("s1", "south")
    link = Link()
    link.attach(relay)
    follower = await served.start_instance("s2", "south")
    await path_site.until(
        lambda: (
            follower.fleet.relay == "s1"
            and not follower.fleet.upstream_watch.enabled.is_set()
            and relay.fleet.relay is None
            and relay.fleet.upstream_watch.connected
            and set(follower.state.registry.entries) == {"e1", "e2", "d1"}
            and "model" in follower.state.plans
        )
    )
    # Calls that were made before the link is slowed down have ended.
    await asyncio.sleep(0.5)
    return Group(served, relay, follower, link)


@pytest.mark.parametrize("delay_s", [SLOW_S, SILENT_S], ids=["slow", "silent"])
async def test_followers_learn_what_their_relay_does_not_hear(
    group: Group, delay_s: float
) -> None:
    """Guards against requests to upstreams that left, beside a silent relay.

    Each heartbeat of a follower, which is as old as its relay, took back what
    the relay had learned from an instance with a newer list. Only the end of
    its call for changes showed it that it was cut off.
    """
    group.link.delay_s = delay_s
    await group.site.publish_entry(group.site.engines["d1"], "draining")
    entries = group.follower.state.registry.entries
    await path_site.until(lambda: entries["d1"].draining, DRAIN_S)
    await group.site.add_engine("d2", card="")
    await path_site.until(
        lambda: "d2" in group.follower.state.registry.entries, DRAIN_S
    )
    await group.site.store.remove("servers", "d1")
    await path_site.until(
        lambda: "d1" not in group.follower.state.registry.entries, DRAIN_S
    )


async def test_followers_learn_plans_that_their_relay_does_not_hear(
    group: Group,
) -> None:
    """Guards against paths of an old plan while no upstream changes."""
    current = group.follower.state.plans["model"]
    changed = dataclasses.replace(current, generation=current.generation + 1)
    group.link.delay_s = SILENT_S
    await group.site.store.set("placement", "model", plans.to_spec(changed))
    await path_site.until(
        lambda: group.follower.state.plans["model"].rank == changed.rank,
        DRAIN_S,
    )


async def test_relay_returns_to_the_store(group: Group) -> None:
    """Guards against a relay that goes on with the lists of its peers."""
    group.link.delay_s = SILENT_S
    await group.site.publish_entry(group.site.engines["d1"], "draining")
    watch = group.relay.fleet.upstream_watch
    await path_site.until(lambda: not watch.connected)
    group.link.delay_s = 0.0
    await path_site.until(lambda: watch.connected and watch.listed)
    await group.site.publish_entry(group.site.engines["d1"])
    entries = group.follower.state.registry.entries
    await path_site.until(lambda: not entries["d1"].draining, DRAIN_S)


class _Clock:
    """Monotonic time that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    """Replaces the clock of the watches."""
    replaced = _Clock()
    monkeypatch.setattr(watches, "time", replaced)
    return replaced


@pytest.fixture
def behind() -> list[watches.KindWatch]:
    """Watches that found that they are behind."""
    return []


@pytest.fixture
def watch(behind: list[watches.KindWatch]) -> watches.KindWatch:
    """A connected watch at revision 10."""
    created = watches.KindWatch(
        None, "k", lambda *_: None, lambda *_: None, random.Random(1)
    )
    created.connected, created.cursor = True, 10
    created.on_behind = lambda: behind.append(created)
    return created


def test_peer_that_is_not_newer_does_not_excuse_a_lag(
    clock: _Clock, watch: watches.KindWatch, behind: list[watches.KindWatch]
) -> None:
    """Guards against followers that hide that their relay is cut off."""
    for _ in range(10):
        watch.compare_with_peer(12)
        watch.compare_with_peer(10)
        watch.compare_with_peer(0)
        clock.now += 0.1
    assert behind == [watch]


def test_lag_is_measured_for_each_revision(
    clock: _Clock, watch: watches.KindWatch, behind: list[watches.KindWatch]
) -> None:
    """Guards against taking a connection for lost during a series of changes.

    A peer is always one change ahead.
    """
    for revision in range(11, 60):
        watch.compare_with_peer(revision)
        clock.now += 0.2
        watch.compare_with_peer(revision)
        watch.cursor = revision
    assert not behind


def test_deletion_that_a_list_does_not_show_is_no_lag(
    clock: _Clock, watch: watches.KindWatch, behind: list[watches.KindWatch]
) -> None:
    """Guards against lists again and again after a deletion.

    The newest object of a list is older than the deletion that a peer received.
    """
    watch.cursor, watch.newest_revision = 15, 9
    for _ in range(10):
        watch.compare_with_peer(14)
        clock.now += 0.3
    assert not behind
