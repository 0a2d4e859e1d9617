"""A store that is restored from a copy and loses its latest changes."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import pytest

from yuccatally.core.forwarding import plans
from yuccatally.forwarding import watches
from yuccatally.store import client
from yuccatally.store import leases
from yuccatally_standins import object_store
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from yuccatally.forwarding import node

# The operators allow two seconds from the confirmation of a change.
APPLY_S = 2.0


@pytest.fixture
async def site_of_two(served: path_site.Site) -> path_site.Site:
    """Adds an instance, and waits until both exchange heartbeats."""
    await served.start_instance("n2")
    await path_site.until(
        lambda: all(len(i.fleet.live_peers()) == 1 for i in served.instances)
    )
    return served


def _version(instance: node.Node) -> int:
    assert instance.state.rules is not None
    return instance.state.rules.version


async def _add_changes(site: path_site.Site, count: int) -> None:
    """Writes objects that nobody reads, so that the revision rises."""
    for number in range(count):
        await site.store.set("others", f"o{number}", {})


async def test_change_after_a_restore_is_in_force_in_time(
    site_of_two: path_site.Site,
) -> None:
    """Guards against changes that are ignored until revisions catch up."""
    store = site_of_two.store
    await site_of_two.publish_configuration(2)
    saved = store.copy()
    await _add_changes(site_of_two, 30)
    await site_of_two.publish_configuration(3)
    await path_site.until(
        lambda: all(_version(i) == 3 for i in site_of_two.instances)
    )
    await store.restore(saved)
    await site_of_two.publish_configuration(4)
    assert store.revision < 30 + saved.revision
    await path_site.until(
        lambda: all(_version(i) == 4 for i in site_of_two.instances),
        timeout_s=APPLY_S,
    )


async def test_change_with_a_revision_of_the_lost_history_is_in_force(
    site_of_two: path_site.Site,
) -> None:
    """Guards against a watch that goes on behind changes of a new history."""
    store = site_of_two.store
    saved = store.copy()
    await site_of_two.publish_configuration(2)
    await path_site.until(
        lambda: all(_version(i) == 2 for i in site_of_two.instances)
    )
    await store.restore(saved)
    # Has the revision up to which the watches have received changes, so that
    # they get no 410 and wait for the next change.
    await site_of_two.publish_configuration(3)
    await _add_changes(site_of_two, 5)
    await path_site.until(
        lambda: all(_version(i) == 3 for i in site_of_two.instances),
        timeout_s=APPLY_S,
    )


async def test_configuration_does_not_go_back_with_the_store(
    site_of_two: path_site.Site,
) -> None:
    """Guards against routes and keys that return from a copy."""
    store = site_of_two.store
    saved = store.copy()
    await site_of_two.publish_configuration(5, tenants=[])
    await path_site.until(
        lambda: all(_version(i) == 5 for i in site_of_two.instances)
    )
    await store.restore(saved)
    later = await site_of_two.start_instance("n3")
    await path_site.until(lambda: _version(later) == 5, timeout_s=APPLY_S)
    for instance in site_of_two.instances:
        assert _version(instance) == 5
        status, _, _ = await site_of_two.send_request("/ask/x", at=instance)
        assert status == 401


async def test_upstreams_are_followed_after_a_restore(
    site_of_two: path_site.Site,
) -> None:
    """Guards against instances that do not see engines come and go.

    The second instance has its list from the first, its relay.
    """
    store = site_of_two.store
    saved = store.copy()
    await _add_changes(site_of_two, 30)
    await site_of_two.add_engine("d2", card="")
    registries = [i.state.registry for i in site_of_two.instances]
    await path_site.until(lambda: all("d2" in r.entries for r in registries))
    await store.restore(saved)
    await site_of_two.publish_entry(site_of_two.engines["d2"])
    await site_of_two.add_engine("d3", card="")
    await path_site.until(
        lambda: all("d3" in r.entries for r in registries), timeout_s=APPLY_S
    )
    await site_of_two.publish_entry(site_of_two.engines["d2"], "draining")
    await path_site.until(
        lambda: all(r.entries["d2"].draining for r in registries),
        timeout_s=APPLY_S,
    )


async def _add_service(site: path_site.Site, name: str) -> None:
    """Adds a second upstream of the plain service that all instances use."""
    await site.add_engine(name, card="")
    await path_site.until(lambda: all(_uses(i, name) for i in site.instances))


def _uses(instance: node.Node, name: str) -> bool:
    usable = instance.state.registry.usable_of("desk")
    return name in {u.name for u in usable}


async def _wait_for_epoch(site: path_site.Site) -> None:
    """Waits until all instances have a list of the restored store."""
    epoch = site.store.epoch

    def has_list(instance: node.Node) -> bool:
        sync = instance.fleet.peer_sync
        revision = sync._known_revision(instance.fleet.upstream_watch)
        return client.epoch_of(revision) == epoch

    await path_site.until(
        lambda: all(has_list(i) for i in site.instances), timeout_s=5.0
    )


@pytest.mark.parametrize("departure", ["draining", "removed"])
async def test_engine_that_left_does_not_return_with_a_copy(
    site_of_two: path_site.Site, departure: str
) -> None:
    """Guards against requests to an engine that left before a restore."""
    store = site_of_two.store
    await _add_service(site_of_two, "d2")
    saved = store.copy()
    if departure == "draining":
        await site_of_two.publish_entry(site_of_two.engines["d2"], "draining")
    else:
        await store.remove("servers", "d2")
    await path_site.until(
        lambda: not any(_uses(i, "d2") for i in site_of_two.instances)
    )
    await store.restore(saved)
    await _wait_for_epoch(site_of_two)
    before = len(site_of_two.engines["d2"].arrivals)
    for number in range(20):
        status, _, _ = await site_of_two.send_request(
            "/stock/x", f"a{number}", at=site_of_two.instances[number % 2]
        )
        assert status == 200
    assert len(site_of_two.engines["d2"].arrivals) == before


async def test_engine_that_writes_its_entry_again_returns(
    site_of_two: path_site.Site,
) -> None:
    """Guards against an engine that is lost for good by a missing entry."""
    store = site_of_two.store
    await _add_service(site_of_two, "d2")
    saved = store.copy()
    await store.remove("servers", "d2")
    await path_site.until(
        lambda: not any(_uses(i, "d2") for i in site_of_two.instances)
    )
    await store.restore(saved)
    await _wait_for_epoch(site_of_two)
    await site_of_two.publish_entry(site_of_two.engines["d2"])
    await path_site.until(
        lambda: all(_uses(i, "d2") for i in site_of_two.instances),
        timeout_s=APPLY_S,
    )


async def test_engine_that_a_copy_lacks_stays_in_use(
    site_of_two: path_site.Site,
) -> None:
    """Guards against engines that are dropped before they write again."""
    store = site_of_two.store
    saved = store.copy()
    await _add_service(site_of_two, "d2")
    # A missing entry counts as removed if the store was there all the time.
    for instance in site_of_two.instances:
        fleet = instance.fleet
        await path_site.until(fleet.peers_kept_store, timeout_s=5.0)
    await store.restore(saved)
    await _wait_for_epoch(site_of_two)
    assert all(_uses(i, "d2") for i in site_of_two.instances)
    await site_of_two.publish_entry(site_of_two.engines["d2"])
    await asyncio.sleep(watches.REJOIN_PERIOD_S + 0.5)
    assert all(_uses(i, "d2") for i in site_of_two.instances)


async def test_engine_that_ended_with_the_lost_history_is_dropped(
    site_of_two: path_site.Site,
) -> None:
    """Guards against engines that stay in use although they never return."""
    store = site_of_two.store
    saved = store.copy()
    await _add_service(site_of_two, "d2")
    await store.restore(saved)
    await _wait_for_epoch(site_of_two)
    await path_site.until(
        lambda: not any(_uses(i, "d2") for i in site_of_two.instances),
        timeout_s=watches.REJOIN_PERIOD_S + 1.0,
    )


async def test_peers_tell_of_a_restore(site_of_two: path_site.Site) -> None:
    """Guards against a watch that waits for changes of a lost history.

    The third instance, no candidate for the lease, makes no other call.
    """
    store = site_of_two.store
    instance = await site_of_two.start_instance("n3")
    await path_site.until(lambda: instance.fleet.relay == "n1")
    saved = store.copy()
    await site_of_two.publish_configuration(2)
    watch = instance.watches[0]
    await path_site.until(lambda: _version(instance) == 2)
    # The watch is called again at the revision of the change.
    await path_site.until(lambda: watch.pending_call is not None)
    await asyncio.sleep(0.3)
    await store.restore(saved, cut_watches=False)
    await _add_changes(site_of_two, 5)
    await path_site.until(lambda: instance.store.epoch == 1, timeout_s=APPLY_S)
    await path_site.until(
        lambda: client.epoch_of(watch.cursor) == 1, timeout_s=APPLY_S
    )


def _leaders(site: path_site.Site) -> list[node.Node]:
    return [i for i in site.instances if i.control.is_leader]


async def test_control_goes_on_with_a_new_fencing_number(
    site_of_two: path_site.Site,
) -> None:
    """Guards against numbers that are given out twice, and lost control."""
    store = site_of_two.store
    before_lease = _without(store, "lease")
    first = _leaders(site_of_two)[0]
    used = first.control.lease.fence
    await store.restore(before_lease)
    await path_site.until(
        lambda: first.control.lease.fence > used and first.control.is_leader,
        timeout_s=2.0,
    )
    for _ in range(40):
        assert len(_leaders(site_of_two)) <= 1
        await asyncio.sleep(0.1)
    stored = store.objects["lease", "control"]["spec"]
    assert stored["fence"] == first.control.lease.fence


async def test_instance_that_starts_after_a_restore_does_not_take_control(
    served: path_site.Site,
) -> None:
    """Guards against two holders when a store has lost its lease object."""
    first = served.instances[0]
    await path_site.until(lambda: first.control.is_leader)
    # An instance whose calls to the store fail cannot acquire it again.
    first.store.http.base_url = "http://127.0.0.1:1"
    del served.store.objects["lease", "control"]
    later = await served.start_instance("n0")
    while first.control.lease.is_valid(leases.boot_time_s()):
        assert not later.control.lease.is_valid(leases.boot_time_s())
        await asyncio.sleep(0.02)
    await path_site.until(lambda: later.control.is_leader, timeout_s=8.0)


def _without(store: object_store.ObjectStore, kind: str) -> object_store.Copy:
    """Returns a copy of a store from before any object of a kind."""
    objects = {k: o for k, o in store.objects.items() if k[0] != kind}
    return object_store.Copy(store.revision, objects)


@pytest.mark.parametrize("copy", ["older", "missing"])
async def test_plan_is_written_again(
    site_of_two: path_site.Site, copy: str
) -> None:
    """Guards against a plan that instances started later do not find."""
    store = site_of_two.store
    await path_site.until(lambda: ("placement", "model") in store.objects)
    saved = store.copy() if copy == "older" else _without(store, "placement")
    await site_of_two.add_engine("e3", data_centre="dc-e1")
    instance = site_of_two.instances[0]
    await path_site.until(lambda: "e3" in instance.state.plans["model"].stages)
    await path_site.until(lambda: _stored_rank(store) == _rank(instance))
    await store.restore(saved)
    await site_of_two.publish_entry(site_of_two.engines["e3"])
    await path_site.until(
        lambda: _stored_rank(store) >= _rank(instance), timeout_s=5.0
    )


def _rank(instance: node.Node) -> tuple[int, int]:
    return instance.state.plans["model"].rank


def _stored_rank(store: object_store.ObjectStore) -> tuple[int, int]:
    stored = store.objects.get(("placement", "model"))
    if stored is None:
        return (0, 0)
    return plans.from_spec(stored["spec"]).rank


async def test_entries_of_instances_are_written_again(
    site_of_two: path_site.Site,
) -> None:
    """Guards against instances that those started later do not find."""
    store = site_of_two.store
    names = {k for k in store.objects if k[0] == "instances"}
    assert len(names) == 2
    await store.restore(_without(store, "instances"))
    await path_site.until(lambda: names <= store.objects.keys(), timeout_s=5.0)


async def test_lost_store_is_not_called_all_the_time(
    site_of_two: path_site.Site,
) -> None:
    """Guards against a holder of the lease that calls an absent store.

    It has a plan that is not stored yet.
    """
    store = site_of_two.store
    instance = _leaders(site_of_two)[0]
    store.faults.status = 500
    await path_site.until(lambda: not instance.state.store_connected)
    plan = instance.state.plans["model"]
    instance.fleet.leader_state.unsaved_plans["model"] = dataclasses.replace(
        plan, generation=plan.generation + 1
    )
    before = sum("placement/" in c for c in store.calls)
    await asyncio.sleep(1.5)
    assert sum("placement/" in c for c in store.calls) - before <= 1
