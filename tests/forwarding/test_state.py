"""What instances learn from the store and from each other."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import pytest
import structlog

from yuccatally.forwarding import control
from yuccatally.platform import documents
from yuccatally_standins import path_engine
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from yuccatally.forwarding import node


def _version(found: node.Node) -> int:
    return found.state.rules.version if found.state.rules else 0


async def test_new_configuration_is_in_force_and_an_old_one_is_not(
    served: path_site.Site,
) -> None:
    """Guards against a configuration that goes back."""
    found = served.nodes[0]
    await served.configure(5)
    await path_site.until(lambda: _version(found) == 5)
    await served.configure(4)
    await served.configure(6, routes=[])
    await path_site.until(lambda: _version(found) == 6)
    status, _, _ = await served.request("/ask/x")
    assert status == 404


async def test_bad_configuration_leaves_the_last_in_force(
    served: path_site.Site,
) -> None:
    """Guards against an object that ends the watch."""
    found = served.nodes[0]
    await served.configure(5, routes="none")
    await served.store.set("config", "main", None)
    await served.store.set("servers", "odd", {"state": 7})
    await served.configure(6)
    await path_site.until(lambda: _version(found) == 6)


async def test_configuration_comes_after_compaction(
    served: path_site.Site,
) -> None:
    """Guards against a watch that ends when the history is gone."""
    found = served.nodes[0]
    served.store.faults.status = 503
    await asyncio.sleep(0.2)
    served.store.faults.status = 0
    await served.configure(5)
    await served.store.compact()
    await path_site.until(lambda: _version(found) == 5)


async def test_requests_are_served_while_the_store_is_away(
    served: path_site.Site,
) -> None:
    """Guards against an outage of the store that reaches the callers."""
    served.store.faults.status = 503
    await asyncio.sleep(0.3)
    for target in ("/ask/x", "/book/x", "/stock/x"):
        status, _, _ = await served.request(target, f"o{target}")
        assert status == 200, target


async def test_instance_turned_away_learns_from_another(
    served: path_site.Site,
) -> None:
    """Guards against an instance that stays behind the others."""
    other = await served.start_node("n2")
    served.nodes[0].store.http.base_url = "http://127.0.0.1:1"
    for watch in served.nodes[0].watches:
        watch.restart("test")
    await served.configure(9)
    await path_site.until(lambda: _version(other) == 9)
    await path_site.until(lambda: _version(served.nodes[0]) == 9)


async def test_instance_starts_from_another_without_the_store(
    served: path_site.Site,
) -> None:
    """Guards against a start that needs the store."""
    served.store.faults.status = 503
    late = await served.start_node("n2")
    assert _version(late) == 1


async def test_unknown_route_is_not_denied_while_it_may_exist(
    served: path_site.Site,
) -> None:
    """Guards against 404 and 401 from an instance that is out of date."""
    served.store.faults.status = 503
    found = served.nodes[0]
    for watch in found.watches:
        watch.restart("test")
    await path_site.until(lambda: not found.state.has_current_rules())
    for headers in ({"Api-Key": "new"}, {"Host": "new.example"}):
        status, _, _ = await served.request("/ask/x", headers=headers)
        assert status == 503


async def test_directory_names_live_instances_only(
    served: path_site.Site,
) -> None:
    """Guards against addresses that are leaving or gone."""
    second = await served.start_node("n2")
    first = served.nodes[0]
    both = {n.settings.listen.callers for n in served.nodes}
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


async def _get(site: path_site.Site, address: str, path: str) -> Any:
    async with site.session.get(f"http://{address}{path}") as response:
        return response.status, await response.read()


async def test_listeners_answer(served: path_site.Site) -> None:
    """Guards against an instance that nobody can find."""
    listen = served.nodes[0].settings.listen
    status, body = await _get(
        served, listen.directory, "/resolve?name=x&region=r&zone=north"
    )
    assert status == 200
    assert listen.callers.encode() in body
    assert (await _get(served, listen.readiness, "/readyz"))[0] == 200
    served.nodes[0].start_drain()
    assert (await _get(served, listen.readiness, "/readyz"))[0] == 503


async def test_drain_finishes_what_is_under_way(
    served: path_site.Site,
) -> None:
    """Guards against a planned stop that cuts a stream off."""
    for engine in served.engines.values():
        engine.events = 60
    found = served.nodes[0]
    task = asyncio.create_task(served.request("/ask/x", "long"))
    await path_site.until(lambda: found.state.in_flight == 1)
    found.start_drain()
    late, headers, _ = await served.request("/book/x", "late")
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
    started = await site.start_node()
    service = started.state.rules.services["model"]
    await path_site.until(lambda: started.state.paths(service))
    spare = await site.add_engine("e2")
    await site.store.remove("servers", "e1")
    await path_site.until(
        lambda: [p.hops[0].name for p in started.state.paths(service)] == ["e2"]
    )
    assert spare.held == (0, 4)
    assert first.loads == [(0, 4)]


async def test_engine_that_answers_no_report_is_replaced(
    site: path_site.Site,
) -> None:
    """Guards against waiting for the entry of a dead engine to lapse."""
    first = await site.add_engine("e1")
    started = await site.start_node()
    service = started.state.rules.services["model"]
    await path_site.until(lambda: started.state.paths(service))
    await site.add_engine("e2")
    await first.stop()
    await path_site.until(lambda: len(started.state.registry.entries) == 2)
    # One of them finds the dead engine, the others go to the spare one.
    for number in range(4):
        await site.request("/ask/x", f"d{number}")
    await path_site.until(
        lambda: [p.hops[0].name for p in started.state.paths(service)] == ["e2"]
    )


async def test_order_that_was_overtaken_is_refused(
    site: path_site.Site,
) -> None:
    """Guards against a delayed order that undoes a later one."""
    engine = await site.add_engine("e1")
    engine.orders = 3
    started = await site.start_node()
    service = started.state.rules.services["model"]
    await path_site.until(lambda: started.state.paths(service))
    assert engine.orders == 4


async def test_second_instance_does_not_give_orders(
    served: path_site.Site,
) -> None:
    """Guards against two instances that place engines at once."""
    await served.start_node("n2")
    await asyncio.sleep(0.5)
    assert sum(n.control.is_leader for n in served.nodes) == 1
    fences = {e.fence for e in served.engines.values() if e.card}
    assert fences == {served.nodes[0].control.lease.fence}


async def test_lost_reply_to_a_plan_is_read_back(
    site: path_site.Site,
) -> None:
    """Guards against a plan that is in the store and not in force."""
    site.store.faults.lose_replies = 3
    await site.add_engine("e1")
    started = await site.start_node()
    service = started.state.rules.services["model"]
    await path_site.until(lambda: started.state.paths(service))
    status, _, _ = await site.request("/ask/x")
    assert status == 200


@pytest.mark.parametrize("kind", ["reset", "mute"])
async def test_kept_connection_is_not_used_after_a_failure(
    served: path_site.Site, kind: str
) -> None:
    """Guards against the answer of a former request on a connection."""
    desk = served.engines["d1"]
    if kind == "reset":
        desk.behaviour = path_engine.Behaviour(unframed="reset")
    else:
        desk.behaviour = path_engine.Behaviour(mute=True)
    await served.request("/stock/x", "first", deadline_ms=300)
    desk.behaviour = path_engine.Behaviour()
    status, headers, body = await served.request("/stock/x", "second")
    assert (status, body) == (200, b"done second")
    assert headers["yuccatally-attempt-id"] == "second"


async def test_metrics_are_served(served: path_site.Site) -> None:
    """Guards against counters that nobody can read."""
    await served.request("/ask/x")
    found = served.nodes[0]
    line = 'yuccatally_forwarded_total{label="200 complete"} 1'
    await path_site.until(lambda: line in found.metrics_text())


async def test_lost_engine_is_replaced_while_the_store_is_away(
    site: path_site.Site,
) -> None:
    """Guards against waiting for the store with a repair.

    In an outage of eight seconds the lease ran out, nobody gave orders, and
    every pipeline that had lost an engine stayed broken.
    """
    first = await site.add_engine("e1")
    started = await site.start_node()
    other = await site.start_node("n2")
    service = started.state.rules.services["model"]
    await path_site.until(lambda: started.state.paths(service))
    spare = await site.add_engine("e2", data_centre="south")
    await path_site.until(lambda: spare.held)
    site.store.faults.status = 503
    await path_site.until(
        lambda: not any(n.state.store_connected for n in site.nodes)
    )
    await asyncio.sleep(control.LEASE_TERM_S)
    await first.stop()
    third = path_engine.PathEngine(site.fleet, "e3", "model", "big")
    third.data_centre = "north"
    await third.start()
    site.engines["e3"] = third
    entry = documents.decode_upstream("e3", third.entry())
    for found in site.nodes:
        found.state.registry.apply_entry(entry)
    for number in range(4):
        await site.request("/ask/x", f"l{number}")
    await path_site.until(
        lambda: (
            {p.hops[0].name for p in other.state.paths(service)} == {"e2", "e3"}
        )
    )
    assert {third.fence} == {spare.fence}
    site.store.faults.status = 0
    await path_site.until(lambda: not started.fleet.leader_state.unsaved_plans)
    stored = site.store.objects[("placement", "model")]["spec"]
    assert "e3" in str(stored)


async def test_next_holder_of_the_lease_saves_the_plan(
    site: path_site.Site,
) -> None:
    """Guards against a store whose plan stays older than the one in force.

    A plan was made in an outage, and another instance took the lease after it.
    An instance that started later took the stored plan.
    """
    first = await site.add_engine("e1")
    started = await site.start_node()
    other = await site.start_node("n2")
    service = started.state.rules.services["model"]
    await path_site.until(lambda: other.state.paths(service))
    site.store.faults.status = 503
    await path_site.until(
        lambda: not any(n.state.store_connected for n in site.nodes)
    )
    await asyncio.sleep(control.LEASE_TERM_S)
    await first.stop()
    await site.add_engine("e2")
    entry = documents.decode_upstream("e2", site.engines["e2"].entry())
    for found in site.nodes:
        found.state.registry.apply_entry(entry)
    for number in range(4):
        await site.request("/ask/x", f"s{number}")
    await path_site.until(
        lambda: [p.hops[0].name for p in other.state.paths(service)] == ["e2"]
    )
    started.store.http.base_url = "http://127.0.0.1:1"
    site.store.faults.status = 0
    await path_site.until(
        lambda: "e2" in str(site.store.objects[("placement", "model")]["spec"])
    )
    assert other.control.is_leader


async def test_deleted_plan_is_written_again(served: path_site.Site) -> None:
    """Guards against a plan that another writer deletes and nobody restores."""
    key = ("placement", "model")
    await path_site.until(lambda: key in served.store.objects)
    await served.store.remove(*key)
    await path_site.until(lambda: key in served.store.objects)


async def test_engine_that_leaves_without_an_entry_is_replaced(
    site: path_site.Site,
) -> None:
    """Guards against a refusing engine that stays while the store is away.

    Engines left in an outage and could not say so: their pipelines refused
    every request until the store was back.
    """
    first = await site.add_engine("e1")
    started = await site.start_node()
    service = started.state.rules.services["model"]
    await path_site.until(lambda: started.state.paths(service))
    await site.add_engine("e2", data_centre="south")
    await path_site.until(lambda: len(started.state.paths(service)) == 2)
    first.behaviour.leaving = True
    for number in range(6):
        await site.request("/ask/x", f"v{number}")
    await path_site.until(
        lambda: [p.hops[0].name for p in started.state.paths(service)] == ["e2"]
    )


async def test_leader_gives_no_orders_while_another_reaches_the_store(
    served: path_site.Site,
) -> None:
    """Guards against two instances that lead in a partial outage."""
    other = await served.start_node("n2")
    first = served.nodes[0]
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
    """Guards against findings that instances hand to and fro for ever.

    Each instance passed on what it had heard, so that every engine once in
    doubt was asked for reports until the end of the day.
    """
    for name in ("n2", "n3"):
        await served.start_node(name)
    first = served.nodes[0]
    engine = next(iter(first.state.registry.entries.values()))
    first.fleet.suspect(engine)
    await path_site.until(lambda: served.nodes[2].fleet.suspected_silent)
    await path_site.until(
        lambda: not any(n.fleet.suspected_silent for n in served.nodes)
    )


async def test_late_request_of_a_drain_is_refused(
    served: path_site.Site,
) -> None:
    """Guards against a request that the forced end would cut off."""
    found = served.nodes[0]
    found.application.refusing = True
    for target in ("/ask/x", "/book/x"):
        status, headers, _ = await served.request(target)
        assert (status, headers["retry-after"]) == (503, "0")
    assert not any(e.runs for e in served.engines.values())


async def test_plan_stays_while_the_engines_are_not_known_yet(
    served: path_site.Site,
) -> None:
    """Guards against a restarted leader that plans without its engines.

    It would drop every pipeline and order layers anew on engines that serve.
    """
    first = served.nodes[0]
    before = first.state.plans["model"]
    names = ("e1", "e2")
    for name in names:
        del served.store.objects[("servers", name)]
    first.start_drain()
    late = await served.start_node("n2")
    await path_site.until(lambda: late.control.is_leader)
    await asyncio.sleep(3 * control.TICK_INTERVAL_S)
    assert late.state.plans["model"] == before
    for name in names:
        await served.announce(served.engines[name])
    service = late.state.rules.services["model"]
    await path_site.until(lambda: len(late.state.paths(service)) == 2)
    assert late.state.plans["model"].pipelines == before.pipelines


async def test_reload_does_not_renew_the_retry_budget(
    served: path_site.Site,
) -> None:
    """Guards against repeats beyond the bound after settings have changed.

    The budgets were dropped with what they had counted.
    """
    found = served.nodes[0]
    budget = found.state.retry_budget("model")
    now = time.monotonic()
    while budget.try_spend(now, found.state.instance_count):
        pass
    bounds = dataclasses.replace(found.settings.bounds, grace_s=2.0)
    found.reload(dataclasses.replace(found.settings, bounds=bounds))
    after = found.state.retry_budget("model")
    assert not after.try_spend(now, found.state.instance_count)


async def test_failed_background_work_is_logged(
    served: path_site.Site,
) -> None:
    """Guards against an error in a check of an engine that nobody sees."""

    async def fail() -> None:
        raise RuntimeError("broken")

    with structlog.testing.capture_logs() as logs:
        served.nodes[0].fleet.spawn(fail())
        await path_site.until(
            lambda: any(e["event"] == "background_failed" for e in logs)
        )


async def test_lost_and_regained_instances_are_logged(
    served: path_site.Site,
) -> None:
    """Guards against a cut between instances that no log shows."""
    other = await served.start_node("n2")
    first = served.nodes[0]
    await path_site.until(lambda: first.fleet.live_peers())
    with structlog.testing.capture_logs() as logs:
        await other.fleet.transport.close()
        await path_site.until(
            lambda: any(e["event"] == "instance_lost" for e in logs)
        )


async def test_request_at_the_end_of_a_drain_is_answered(
    served: path_site.Site,
) -> None:
    """Guards against a request that is read and ends without an answer.

    Listeners were cancelled as soon as nothing was under way.
    """
    found = served.nodes[0]
    desk = served.engines["d1"]
    desk.delay_s = 0.1
    found.start_drain()
    statuses: list[int] = []
    async with asyncio.timeout(found.settings.bounds.grace_s + 2.0):
        with contextlib.suppress(aiohttp.ClientConnectorError):
            while True:
                request_id = f"x{len(statuses)}"
                status, _, _ = await served.request("/book/x", request_id)
                statuses.append(status)
    # A connection that ends without an answer raises another error.
    assert statuses.count(200) > 10
    assert set(statuses) <= {200, 503}
