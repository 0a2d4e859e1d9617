"""State that instances receive from the store and from each other."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import msgspec
import pytest
import structlog

from yuccatally.core.forwarding import draining
from yuccatally.forwarding import control
from yuccatally.platform import documents
from yuccatally_standins import path_engine
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from yuccatally.forwarding import node


def _version(instance: node.Node) -> int:
    return instance.state.rules.version if instance.state.rules else 0


async def test_new_configuration_is_in_force_and_an_old_one_is_not(
    served: path_site.Site,
) -> None:
    """Guards against an older configuration that replaces a newer one."""
    instance = served.instances[0]
    await served.publish_configuration(5)
    await path_site.until(lambda: _version(instance) == 5)
    await served.publish_configuration(4)
    await served.publish_configuration(6, routes=[])
    await path_site.until(lambda: _version(instance) == 6)
    status, _, _ = await served.send_request("/ask/x")
    assert status == 404


async def test_bad_configuration_leaves_the_last_in_force(
    served: path_site.Site,
) -> None:
    """Guards against an invalid object that ends the watch."""
    instance = served.instances[0]
    await served.publish_configuration(5, routes="none")
    await served.store.set("config", "main", None)
    await served.store.set("servers", "odd", {"state": 7})
    await served.publish_configuration(6)
    await path_site.until(lambda: _version(instance) == 6)


async def test_configuration_comes_after_compaction(
    served: path_site.Site,
) -> None:
    """Guards against a watch that ends when the history is compacted."""
    instance = served.instances[0]
    served.store.faults.status = 503
    await asyncio.sleep(0.2)
    served.store.faults.status = 0
    await served.publish_configuration(5)
    await served.store.compact()
    await path_site.until(lambda: _version(instance) == 5)


async def test_requests_are_served_while_the_store_is_away(
    served: path_site.Site,
) -> None:
    """Guards against an outage of the store that fails requests."""
    served.store.faults.status = 503
    await asyncio.sleep(0.3)
    for target in ("/ask/x", "/book/x", "/stock/x"):
        status, _, _ = await served.send_request(target, f"o{target}")
        assert status == 200, target


async def test_instance_turned_away_learns_from_another(
    served: path_site.Site,
) -> None:
    """Guards against an instance with an outdated configuration.

    It cannot reach the store and has to get the configuration from a peer.
    """
    other = await served.start_instance("n2")
    served.instances[0].store.http.base_url = "http://127.0.0.1:1"
    for watch in served.instances[0].watches:
        watch.restart("test")
    await served.publish_configuration(9)
    await path_site.until(lambda: _version(other) == 9)
    await path_site.until(lambda: _version(served.instances[0]) == 9)


async def test_instance_starts_from_another_without_the_store(
    served: path_site.Site,
) -> None:
    """Guards against a start that fails without the store."""
    served.store.faults.status = 503
    late = await served.start_instance("n2")
    assert _version(late) == 1


async def test_unknown_route_is_not_denied_while_it_may_exist(
    served: path_site.Site,
) -> None:
    """Guards against 404 and 401 from an instance with outdated rules."""
    served.store.faults.status = 503
    instance = served.instances[0]
    for watch in instance.watches:
        watch.restart("test")
    await path_site.until(lambda: not instance.state.has_current_rules())
    for headers in ({"Api-Key": "new"}, {"Host": "new.example"}):
        status, _, _ = await served.send_request("/ask/x", headers=headers)
        assert status == 503


async def test_directory_names_live_instances_only(
    served: path_site.Site,
) -> None:
    """Guards against addresses of instances that leave or have failed."""
    second = await served.start_instance("n2")
    first = served.instances[0]
    both = {n.settings.listen.callers for n in served.instances}
    await path_site.until(
        lambda: set(first.fleet.caller_addresses("north", "r")) == both
    )
    second.start_drain()
    await path_site.until(
        lambda: (
            first.fleet.caller_addresses("north", "r")
            == [first.settings.listen.callers]
        )
    )


async def test_instance_returns_although_its_clock_stepped_back(
    served: path_site.Site,
) -> None:
    """Guards against an instance that never returns to the directory.

    Its clock stepped back while it was restarted, so that its start time was
    before that of the process that had left.
    """
    first = served.instances[0]
    second = await served.start_instance("n2")
    left = msgspec.structs.replace(
        second.fleet.own_contact,
        born_ms=second.fleet.born_ms + 5000,
        leaving=True,
    )
    first.fleet.apply_contact(left)
    both = {n.settings.listen.callers for n in served.instances}
    await path_site.until(
        lambda: set(first.fleet.caller_addresses("north", "r")) == both
    )


async def _get(site: path_site.Site, address: str, path: str) -> Any:
    async with site.session.get(f"http://{address}{path}") as response:
        return response.status, await response.read()


async def test_listeners_answer(served: path_site.Site) -> None:
    """Guards against an instance that cannot be discovered."""
    listen = served.instances[0].settings.listen
    status, body = await _get(
        served, listen.directory, "/resolve?name=x&region=r&zone=north"
    )
    assert status == 200
    assert listen.callers.encode() in body
    assert (await _get(served, listen.readiness, "/readyz"))[0] == 200
    served.instances[0].start_drain()
    assert (await _get(served, listen.readiness, "/readyz"))[0] == 503


async def test_drain_finishes_what_is_under_way(
    served: path_site.Site,
) -> None:
    """Guards against a graceful shutdown that aborts a stream."""
    for engine in served.engines.values():
        engine.events = 60
    instance = served.instances[0]
    task = asyncio.create_task(served.send_request("/ask/x", "long"))
    await path_site.until(lambda: instance.state.in_flight == 1)
    instance.start_drain()
    late, headers, _ = await served.send_request("/book/x", "late")
    assert late == 200
    assert headers["connection"] == "close"
    status, _, body = await task
    assert status == 200
    assert body.count(b"\n\n") == 60


async def test_lost_engine_is_replaced_by_a_spare(
    site: path_site.Site,
) -> None:
    """Guards against a pipeline that stays broken beside a spare engine."""
    first = await site.add_engine("e1")
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    spare = await site.add_engine("e2")
    await site.store.remove("servers", "e1")
    await path_site.until(
        lambda: (
            [p.hops[0].name for p in instance.state.paths(service)] == ["e2"]
        )
    )
    assert spare.held_layers == (0, 4)
    assert first.loaded_ranges == [(0, 4)]


async def test_engine_that_answers_no_report_is_replaced(
    site: path_site.Site,
) -> None:
    """Guards against waiting until the entry of a failed engine expires."""
    first = await site.add_engine("e1")
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    await site.add_engine("e2")
    await first.stop()
    await path_site.until(lambda: len(instance.state.registry.entries) == 2)
    # One of them reaches the failed engine, the others the spare one.
    for number in range(4):
        await site.send_request("/ask/x", f"d{number}")
    await path_site.until(
        lambda: (
            [p.hops[0].name for p in instance.state.paths(service)] == ["e2"]
        )
    )


async def test_order_that_was_overtaken_is_refused(
    site: path_site.Site,
) -> None:
    """Guards against a delayed order that reverts a later one."""
    engine = await site.add_engine("e1")
    engine.accepted_order_count = 3
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    assert engine.accepted_order_count == 4


async def test_order_is_not_repeated_because_of_an_old_report(
    site: path_site.Site,
) -> None:
    """Guards against orders that engines refuse because they hold the layers.

    The report after an order was older than the order, so that it was sent
    again with the old count.
    """
    engine = await site.add_engine("e1")
    engine.behaviour = path_engine.Behaviour(report_lag_s=0.6)
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    assert engine.accepted_order_count == 1
    assert engine.refused_order_count == 0


async def test_second_instance_does_not_give_orders(
    served: path_site.Site,
) -> None:
    """Guards against two instances that control placement at once."""
    await served.start_instance("n2")
    await asyncio.sleep(0.5)
    assert sum(n.control.is_leader for n in served.instances) == 1
    fences = {e.fence for e in served.engines.values() if e.card}
    assert fences == {served.instances[0].control.lease.fence}


async def test_lost_reply_to_a_plan_is_read_back(
    site: path_site.Site,
) -> None:
    """Guards against a stored plan that is not in force.

    The response to the write is lost, so the plan has to be read back.
    """
    site.store.faults.lose_replies = 3
    await site.add_engine("e1")
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    status, _, _ = await site.send_request("/ask/x")
    assert status == 200


@pytest.mark.parametrize("kind", ["reset", "mute"])
async def test_kept_connection_is_not_used_after_a_failure(
    served: path_site.Site, kind: str
) -> None:
    """Guards against the response to an earlier request on a connection."""
    plain_service = served.engines["d1"]
    if kind == "reset":
        plain_service.behaviour = path_engine.Behaviour(unframed="reset")
    else:
        plain_service.behaviour = path_engine.Behaviour(drops_answer=True)
    await served.send_request("/stock/x", "first", deadline_ms=300)
    plain_service.behaviour = path_engine.Behaviour()
    status, headers, body = await served.send_request("/stock/x", "second")
    assert (status, body) == (200, b"done second")
    assert headers["yuccatally-attempt-id"] == "second"


async def test_metrics_are_served(served: path_site.Site) -> None:
    """Guards against counters that are not exported."""
    await served.send_request("/ask/x")
    instance = served.instances[0]
    line = 'yuccatally_forwarded_total{label="200 complete"} 1'
    await path_site.until(lambda: line in instance.metrics_text())


async def test_lost_engine_is_replaced_while_the_store_is_away(
    site: path_site.Site,
) -> None:
    """Guards against a repair that waits for the store.

    In an outage of eight seconds the lease expired and no instance sent orders,
    so every pipeline with a failed engine stayed incomplete.
    """
    first = await site.add_engine("e1")
    instance = await site.start_instance()
    other = await site.start_instance("n2")
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    spare = await site.add_engine("e2", data_centre="south")
    await path_site.until(lambda: spare.held_layers)
    site.store.faults.status = 503
    await path_site.until(
        lambda: not any(n.state.store_connected for n in site.instances)
    )
    await asyncio.sleep(control.LEASE_TERM_S)
    await first.stop()
    third = path_engine.PathEngine(
        site.engines_by_address, "e3", "model", "big"
    )
    third.data_centre = "north"
    await third.start()
    site.engines["e3"] = third
    entry = documents.decode_upstream("e3", third.entry())
    for member in site.instances:
        member.state.registry.apply_entry(entry)
    for number in range(4):
        await site.send_request("/ask/x", f"l{number}")
    await path_site.until(
        lambda: (
            {p.hops[0].name for p in other.state.paths(service)} == {"e2", "e3"}
        )
    )
    assert {third.fence} == {spare.fence}
    site.store.faults.status = 0
    # Either instance may hold the lease on a busy machine.
    await path_site.until(
        lambda: (
            not any(n.fleet.leader_state.unsaved_plans for n in site.instances)
        )
    )
    stored = site.store.objects[("placement", "model")]["spec"]
    assert "e3" in str(stored)


async def test_next_holder_of_the_lease_saves_the_plan(
    site: path_site.Site,
) -> None:
    """Guards against a stored plan that stays older than the one in force.

    A plan is made in an outage, and another instance leads after it. An
    instance that starts later would apply the older, stored plan.
    """
    first = await site.add_engine("e1")
    instance = await site.start_instance()
    other = await site.start_instance("n2")
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: other.state.paths(service))
    site.store.faults.status = 503
    await path_site.until(
        lambda: not any(n.state.store_connected for n in site.instances)
    )
    await asyncio.sleep(control.LEASE_TERM_S)
    await first.stop()
    await site.add_engine("e2")
    entry = documents.decode_upstream("e2", site.engines["e2"].entry())
    for member in site.instances:
        member.state.registry.apply_entry(entry)
    for number in range(4):
        await site.send_request("/ask/x", f"s{number}")
    await path_site.until(
        lambda: [p.hops[0].name for p in other.state.paths(service)] == ["e2"]
    )
    instance.store.http.base_url = "http://127.0.0.1:1"
    site.store.faults.status = 0
    await path_site.until(
        lambda: "e2" in str(site.store.objects[("placement", "model")]["spec"])
    )
    assert other.control.is_leader


async def test_deleted_plan_is_written_again(served: path_site.Site) -> None:
    """Guards against a plan that is deleted and not written again."""
    key = ("placement", "model")
    await path_site.until(lambda: key in served.store.objects)
    await served.store.remove(*key)
    await path_site.until(lambda: key in served.store.objects)


async def test_engine_that_leaves_without_an_entry_is_replaced(
    site: path_site.Site,
) -> None:
    """Guards against a leaving engine that stays in use during an outage.

    Engines that left during an outage could not update their entries, and their
    pipelines refused every request until the store was reachable again.
    """
    first = await site.add_engine("e1")
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    await site.add_engine("e2", data_centre="south")
    await path_site.until(lambda: len(instance.state.paths(service)) == 2)
    first.behaviour.leaving = True
    for number in range(6):
        await site.send_request("/ask/x", f"v{number}")
    await path_site.until(
        lambda: (
            [p.hops[0].name for p in instance.state.paths(service)] == ["e2"]
        )
    )


async def test_leader_gives_no_orders_while_another_reaches_the_store(
    served: path_site.Site,
) -> None:
    """Guards against two instances that lead in a partial outage."""
    other = await served.start_instance("n2")
    first = served.instances[0]
    await path_site.until(lambda: other.state.store_connected)
    first.store.http.base_url = "http://127.0.0.1:1"
    for watch in first.watches:
        watch.restart("test")
    await path_site.until(lambda: other.control.is_leader)
    assert not first.control.is_leader
    assert other.control.lease.fence > first.control.lease.fence


async def test_findings_end_when_requests_no_longer_make_them(
    served: path_site.Site,
) -> None:
    """Guards against suspicions that instances renew for each other forever.

    Each instance forwarded the suspicions that it had received, so every engine
    that was suspected once was asked for reports indefinitely.
    """
    for name in ("n2", "n3"):
        await served.start_instance(name)
    first = served.instances[0]
    engine = next(iter(first.state.registry.entries.values()))
    first.fleet.suspect(engine)
    await path_site.until(lambda: served.instances[2].fleet.suspected_silent)
    await path_site.until(
        lambda: not any(n.fleet.suspected_silent for n in served.instances)
    )


async def test_late_request_of_a_drain_is_refused(
    served: path_site.Site,
) -> None:
    """Guards against a request that is aborted when the process is killed."""
    instance = served.instances[0]
    started_at = time.monotonic() - draining.ACCEPT_PERIOD_S
    instance.application.start_drain(
        draining.Drain.from_config(started_at, instance.settings.bounds.grace_s)
    )
    for target in ("/ask/x", "/book/x"):
        status, headers, _ = await served.send_request(target)
        assert (status, headers["retry-after"]) == (503, "0")
    assert not any(e.executed_requests for e in served.engines.values())


async def test_plan_stays_while_the_engines_are_not_known_yet(
    served: path_site.Site,
) -> None:
    """Guards against a restarted leader that plans without its engines.

    It would remove every pipeline and order other layers from engines in use.
    """
    first = served.instances[0]
    before = first.state.plans["model"]
    names = ("e1", "e2")
    for name in names:
        del served.store.objects[("servers", name)]
    first.start_drain()
    late = await served.start_instance("n2")
    await path_site.until(lambda: late.control.is_leader)
    await asyncio.sleep(3 * control.TICK_INTERVAL_S)
    assert late.state.plans["model"] == before
    for name in names:
        await served.publish_entry(served.engines[name])
    service = late.state.rules.services["model"]
    await path_site.until(lambda: len(late.state.paths(service)) == 2)
    assert late.state.plans["model"].pipelines == before.pipelines


async def test_reload_does_not_renew_the_retry_budget(
    served: path_site.Site,
) -> None:
    """Guards against retries beyond the limit after a change of settings.

    The budgets and their counts were discarded by a reload.
    """
    instance = served.instances[0]
    budget = instance.state.retry_budget("model")
    now = time.monotonic()
    while budget.try_spend(now, instance.state.instance_count):
        pass
    bounds = dataclasses.replace(instance.settings.bounds, grace_s=2.0)
    instance.reload(dataclasses.replace(instance.settings, bounds=bounds))
    after = instance.state.retry_budget("model")
    assert not after.try_spend(now, instance.state.instance_count)


async def test_failed_background_work_is_logged(
    served: path_site.Site,
) -> None:
    """Guards against errors in the check of an engine that are not logged."""

    async def fail() -> None:
        raise RuntimeError("broken")

    with structlog.testing.capture_logs() as logs:
        served.instances[0].fleet.spawn(fail())
        await path_site.until(
            lambda: any(e["event"] == "background_failed" for e in logs)
        )


async def test_lost_and_regained_instances_are_logged(
    served: path_site.Site,
) -> None:
    """Guards against a network partition that is not logged."""
    other = await served.start_instance("n2")
    first = served.instances[0]
    await path_site.until(lambda: first.fleet.live_peers())
    with structlog.testing.capture_logs() as logs:
        await other.fleet.transport.close()
        await path_site.until(
            lambda: any(e["event"] == "instance_lost" for e in logs)
        )


async def test_request_at_the_end_of_a_drain_is_answered(
    served: path_site.Site,
) -> None:
    """Guards against a request that is read but not answered.

    Listeners were cancelled as soon as no request was in flight.
    """
    instance = served.instances[0]
    bounds = dataclasses.replace(instance.settings.bounds, grace_s=5.0)
    instance.reload(dataclasses.replace(instance.settings, bounds=bounds))
    plain_service = served.engines["d1"]
    plain_service.delay_s = 0.1
    instance.start_drain()
    statuses: list[int] = []
    async with asyncio.timeout(instance.settings.bounds.grace_s + 2.0):
        with contextlib.suppress(aiohttp.ClientConnectorError):
            while True:
                request_id = f"x{len(statuses)}"
                status, _, _ = await served.send_request("/book/x", request_id)
                statuses.append(status)
    # A connection that is closed without a response raises another error.
    assert statuses.count(200) > 10
    assert set(statuses) <= {200, 503}


async def test_former_replica_unloads_what_its_stage_excludes(
    site: path_site.Site,
) -> None:
    """Guards against a stage without memory for requests.

    A replica holds as many layers as fit. Kept in memory, they leave a stage
    of a pipeline with a fraction of its capacity.
    """
    changed = path_site.configuration(2)
    changed["services"][1]["engine"]["layers"] = 6
    await site.publish_configuration(**changed)
    for name in ("north-1", "north-2"):
        await site.add_engine(name)
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    spare = await site.add_engine("north-3", held_layers=(2, 6))
    await path_site.until(lambda: instance.state.plans["model"].replicas)
    assert spare.held_layers == (2, 6)
    (lost,) = (
        s.engine
        for s in instance.state.plans["model"].pipelines[0].stages
        if (s.first, s.last) == (4, 6)
    )
    await site.engines[lost].stop()
    await site.store.remove("servers", lost)
    await path_site.until(lambda: spare.held_layers == (4, 6), 5.0)
    await path_site.until(lambda: instance.state.paths(service))
    assert spare.loaded_ranges == [(4, 6)]
