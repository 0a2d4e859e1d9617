"""Upstreams that state in their responses that they are leaving."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from yuccatally.platform import engines
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import node


async def _lose_store(site: path_site.Site) -> None:
    """Cuts all instances from the store, which then announces nothing."""
    site.store.faults.status = 503
    await path_site.until(
        lambda: not any(n.state.store_connected for n in site.instances)
    )


def _registered(instance: node.Node, name: str) -> upstreams.Upstream:
    return instance.state.registry.entries[name]


def _received(site: path_site.Site, name: str) -> int:
    return len(site.engines[name].executed_requests)


async def _send_until_reached(
    site: path_site.Site, target: str, name: str
) -> None:
    """Sends requests until one has reached an upstream."""
    for number in range(50):
        if _received(site, name):
            return
        await site.send_request(target, f"until{number}")
    pytest.fail(f"no request reached {name}")


async def _assert_avoided(
    site: path_site.Site,
    target: str,
    name: str,
    at: node.Node | None = None,
) -> None:
    """Asserts that requests are served and do not reach an upstream."""
    before = _received(site, name)
    for number in range(12):
        status, _, _ = await site.send_request(target, f"after{number}", at=at)
        assert status == 200
    assert _received(site, name) == before


@pytest.mark.parametrize(
    ("target", "name"), [("/ask/x", "e1"), ("/stock/x", "d1")]
)
async def test_response_that_announces_leaving_ends_new_requests(
    served: path_site.Site, target: str, name: str
) -> None:
    """Guards against requests to an upstream that has said it leaves.

    The store, which would list it as draining, is not reachable.
    """
    await served.add_engine("d2", card="")
    registry = served.instances[0].state.registry
    await path_site.until(lambda: "d2" in registry.entries)
    await _lose_store(served)
    served.engines[name].behaviour.announces_leaving = True
    await _send_until_reached(served, target, name)
    await _assert_avoided(served, target, name)


@pytest.mark.parametrize("call", ["report", "health", "order"])
async def test_statement_counts_in_any_response(
    served: path_site.Site, call: str
) -> None:
    """Guards against a statement that only responses to requests convey."""
    instance = served.instances[0]
    await _lose_store(served)
    served.engines["e1"].behaviour.announces_leaving = True
    engine = _registered(instance, "e1")
    session = instance.control.session
    match call:
        case "report":
            await engines.fetch_report(session, engine)
        case "health":
            await engines.is_healthy(session, engine, "/healthz")
        case "order":
            path = next(
                p
                for p in instance.state.paths(
                    instance.state.rules.services["model"]
                )
                if p.hops[0] == engine
            )
            await engines.send_reroute_order(session, "unknown", path)
    await _assert_avoided(served, "/ask/x", "e1")


async def test_request_that_waits_for_capacity_avoids_it(
    served: path_site.Site,
) -> None:
    """Guards against a choice that was made before the statement."""
    changed = path_site.configuration(2)
    changed["routes"][0]["sloMs"] = 20_000
    await served.publish_configuration(**changed)
    state = served.instances[0].state
    await path_site.until(lambda: state.rules.version == 2)
    for name in ("dc-e1-1", "dc-e2-1"):
        state.dispatcher.record_start(name, 1e9, time.monotonic())
    task = asyncio.create_task(served.send_request("/ask/x"))
    await path_site.until(lambda: state.in_flight)
    state.announce_leaving("e1", served.engines["e1"].born_ms, "test")
    for name in ("dc-e1-1", "dc-e2-1"):
        state.dispatcher.record_end(name, 1e9)
    status, _, _ = await task
    assert status == 200
    assert (_received(served, "e1"), _received(served, "e2")) == (0, 1)


async def test_later_engine_of_a_path_that_leaves_is_avoided(
    site: path_site.Site,
) -> None:
    """Guards against requests that reach a leaving engine over another one."""
    changed = path_site.configuration(2)
    changed["services"][1]["engine"]["layers"] = 8
    await site.publish_configuration(**changed)
    for data_centre in ("north", "south"):
        for number in (1, 2):
            await site.add_engine(
                f"{data_centre}-{number}", data_centre=data_centre
            )
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: len(instance.state.paths(service)) == 2)
    await _lose_store(site)
    later = next(
        p.hops[1]
        for p in instance.state.paths(service)
        if p.hops[0].data_centre == "north"
    )
    site.engines[later.name].behaviour.announces_leaving = True
    await engines.fetch_report(instance.control.session, later)
    hops = {h.name for p in instance.state.paths(service) for h in p.hops}
    assert later.name not in hops
    assert instance.state.paths(service)


async def test_statement_reaches_instances_that_did_not_receive_it(
    served: path_site.Site,
) -> None:
    """Guards against requests to a leaving engine from other instances."""
    other = await served.start_instance("n2")
    service = other.state.rules.services["model"]
    await path_site.until(lambda: len(other.state.paths(service)) == 2)
    await _lose_store(served)
    served.engines["e1"].behaviour.announces_leaving = True
    await _send_until_reached(served, "/ask/x", "e1")
    await path_site.until(lambda: _registered(other, "e1").draining, 2.0)
    await _assert_avoided(served, "/ask/x", "e1", at=other)


async def test_statement_outlives_an_entry_that_is_still_ready(
    served: path_site.Site,
) -> None:
    """Guards against an entry that returns a leaving upstream to service.

    The upstream wrote its entry before it decided to leave.
    """
    instance = served.instances[0]
    await _lose_store(served)
    served.engines["e1"].behaviour.announces_leaving = True
    await _send_until_reached(served, "/ask/x", "e1")
    served.store.faults.status = 0
    await served.publish_entry(served.engines["e1"])
    await served.add_engine("d2", card="")
    await path_site.until(lambda: "d2" in instance.state.registry.entries, 15.0)
    await _assert_avoided(served, "/ask/x", "e1")


async def test_next_process_under_the_name_is_in_use(
    served: path_site.Site,
) -> None:
    """Guards against a restarted upstream that stays excluded."""
    instance = served.instances[0]
    first = served.engines["d1"]
    first.behaviour.announces_leaving = True
    await served.send_request("/stock/x")
    first.behaviour.announces_leaving = False
    first.born_ms += 1000
    await served.publish_entry(first)
    await path_site.until(
        lambda: _registered(instance, "d1").born_ms == first.born_ms
    )
    status, _, _ = await served.send_request("/stock/x", "again")
    assert status == 200
