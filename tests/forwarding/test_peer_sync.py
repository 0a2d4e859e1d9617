"""Synchronization of an instance that cannot reach the store from peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import structlog

from yuccatally.forwarding import peer_sync
from yuccatally.forwarding import watches
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from yuccatally.forwarding import node


@pytest.fixture
async def cut_off(served: path_site.Site) -> node.Node:
    """An instance without the store, beside one that reaches it."""
    other = await served.start_instance("n2")
    await path_site.until(lambda: set(other.state.registry.entries) == _ALL)
    instance = served.instances[0]
    instance.store.http.base_url = "http://127.0.0.1:1"
    for watch in instance.watches:
        watch.restart("test")
    await path_site.until(lambda: not instance.fleet.upstream_watch.connected)
    return instance


_ALL = {"e1", "e2", "d1"}


async def test_upstreams_that_leave_and_come_are_seen(
    served: path_site.Site, cut_off: node.Node
) -> None:
    """Guards against requests to upstreams that left during the outage."""
    registry = cut_off.state.registry
    await served.publish_entry(served.engines["d1"], "draining")
    await path_site.until(lambda: registry.entries["d1"].draining)
    await served.add_engine("d2", card="")
    await path_site.until(lambda: "d2" in registry.entries)
    await served.store.remove("servers", "d1")
    await path_site.until(lambda: "d1" not in registry.entries)
    for number in range(4):
        status, _, _ = await served.send_request(
            "/book/x", f"c{number}", at=cut_off
        )
        assert status == 200
    assert len(served.engines["d2"].executed_requests) == 4


async def test_store_goes_first_when_it_is_back(
    served: path_site.Site, cut_off: node.Node
) -> None:
    """Guards against changes between two lists that are lost or reverted."""
    registry = cut_off.state.registry
    await served.publish_entry(served.engines["d1"], "draining")
    await path_site.until(lambda: registry.entries["d1"].draining)
    other = served.instances[1]
    other.fleet.transport.handlers.clear()
    await served.publish_entry(served.engines["d1"])
    cut_off.store.http.base_url = f"http://{served.store_address}"
    await path_site.until(lambda: not registry.entries["d1"].draining)
    assert set(registry.entries) == _ALL


async def test_older_list_is_not_taken_over(
    served: path_site.Site, cut_off: node.Node
) -> None:
    """Guards against an older list that replaces a newer one."""
    cut_off.fleet.peer_sync.applied_revision = 1 << 40
    await served.publish_entry(served.engines["d1"], "draining")
    await path_site.until(
        lambda: served.instances[1].state.registry.entries["d1"].draining
    )
    await asyncio.sleep(2 * peer_sync.UPSTREAMS_PULL_INTERVAL_S)
    assert not cut_off.state.registry.entries["d1"].draining


async def test_nothing_is_sent_twice_while_nothing_changes(
    served: path_site.Site, cut_off: node.Node
) -> None:
    """Guards against repeated transfers between instances in an outage."""
    await served.publish_entry(served.engines["d1"], "draining")
    await path_site.until(lambda: cut_off.state.registry.entries["d1"].draining)
    with structlog.testing.capture_logs() as logs:
        await asyncio.sleep(3 * peer_sync.UPSTREAMS_PULL_INTERVAL_S)
    assert not [e for e in logs if e["event"] == "upstreams_from_peer"]


async def test_instance_that_starts_in_an_outage_serves(
    served: path_site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an instance that needs the store to start."""
    monkeypatch.setattr(peer_sync, "PAGE_ENTRY_COUNT", 2)
    served.store.faults.status = 503
    instance = served.instances[0]
    await path_site.until(lambda: not instance.fleet.upstream_watch.connected)
    late = await served.start_instance("n2")
    await path_site.until(lambda: set(late.state.registry.entries) == _ALL)
    service = late.state.rules.services["model"]
    await path_site.until(lambda: len(late.state.paths(service)) == 2)
    for target in ("/ask/x", "/book/x"):
        status, _, _ = await served.send_request(target, f"l{target}", at=late)
        assert status == 200


async def test_entries_that_lapsed_in_an_outage_may_come_back_everywhere(
    served: path_site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against upstreams that are removed when the store is back.

    An instance that reached the store slightly later than another one treated
    the other's connection as proof that there had been no outage.
    """
    # Longer than the delays between the calls of both to the store.
    monkeypatch.setattr(watches, "REJOIN_PERIOD_S", 6.0)
    nodes = [served.instances[0], await served.start_instance("n2")]
    await path_site.until(lambda: set(nodes[1].state.registry.entries) == _ALL)
    for instance in nodes:
        instance.store.http.base_url = "http://127.0.0.1:1"
        for watch in instance.watches:
            watch.restart("test")
    await path_site.until(
        lambda: not any(n.state.store_connected for n in nodes)
    )
    await asyncio.sleep(3.0)
    await served.store.remove("servers", "d1")
    for instance in nodes:
        instance.store.http.base_url = f"http://{served.store_address}"
        # The follower receives the upstreams from the other instance.
        await path_site.until(lambda n=instance: n.state.store_connected)
        await asyncio.sleep(0.6)
    assert all("d1" in n.state.registry.entries for n in nodes)
    await path_site.until(
        lambda: not any("d1" in n.state.registry.entries for n in nodes), 8.0
    )


async def test_list_of_a_peer_does_not_return_a_removed_upstream(
    served: path_site.Site, cut_off: node.Node
) -> None:
    """Guards against requests to an upstream that the store has removed.

    The peer keeps the entry after an outage, because it might return, and lists
    it at a later revision.
    """
    relay = served.instances[1]
    kept = relay.state.registry.entries["d1"]
    await served.store.remove("servers", "d1")
    await path_site.until(lambda: "d1" not in cut_off.state.registry.entries)
    relay.state.registry.entries["d1"] = kept
    cut_off.fleet.peer_sync.synced_versions.clear()
    await served.add_engine("d2", card="")
    await path_site.until(lambda: "d2" in cut_off.state.registry.entries)
    assert "d1" not in cut_off.state.registry.entries
