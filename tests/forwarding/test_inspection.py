"""Engines that do not answer, and plans without them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import suspicions
from yuccatally.forwarding import inspection
from yuccatally_standins import path_site

if TYPE_CHECKING:
    import pytest

    from yuccatally.forwarding import node


def _hops(found: node.Node) -> set[str]:
    service = found.state.rules.services["model"]
    return {h.name for p in found.state.paths(service) for h in p.hops}


def _key(site: path_site.Site, name: str) -> suspicions.Incarnation:
    return suspicions.Incarnation(name, site.engines[name].born)


async def test_spare_that_does_not_answer_orders_is_replaced(
    site: path_site.Site,
) -> None:
    """Guards against a pipeline that waits for a dead spare engine.

    An engine had crashed while the store was away, and its entry stayed. It
    was chosen for a repair and ordered for five seconds, until the entry was
    removed, while other spare engines were idle.
    """
    changed = path_site.configuration(2)
    changed["services"][1]["engine"]["layers"] = 8
    await site.configure(**changed)
    for name in ("north-1", "north-2"):
        await site.add_engine(name)
    found = await site.start_node()
    await path_site.until(lambda: len(_hops(found)) == 2)
    # Neither spare holds a whole model; the near one is chosen first.
    await site.add_engine("north-3")
    await site.add_engine("west-1", data_centre="west")
    await path_site.until(lambda: "west-1" in found.state.registry.entries)
    await site.engines["north-3"].stop()
    await site.store.remove("servers", "north-2")
    await path_site.until(lambda: _hops(found) == {"north-1", "west-1"}, 5.0)
    assert _key(site, "north-3") in found.fleet.leader_state.failed_until


async def test_lost_engine_that_stays_silent_stays_lost(
    served: path_site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against dead engines that are planned with again after a time."""
    monkeypatch.setattr(inspection, "FAILED_TTL_S", 1.0)
    monkeypatch.setattr(inspection, "RECHECK_MARGIN_S", 0.8)
    found = served.nodes[0]
    for name in ("e3", "e4"):
        await served.add_engine(name, data_centre="dc-e1")
    await path_site.until(lambda: "e4" in found.state.registry.entries)
    await served.engines["e3"].stop()
    for name in ("e3", "e4"):
        known = found.state.registry.entries[name]
        found.control.inspection.mark_failed(known, "test")
    await asyncio.sleep(2.5)
    assert set(found.fleet.leader_state.failed_until) == {_key(served, "e3")}


async def test_next_holder_of_the_lease_knows_lost_engines(
    served: path_site.Site,
) -> None:
    """Guards against a new holder that plans with engines known to be lost."""
    first = served.nodes[0]
    second = await served.start_node("n2")
    await served.add_engine("e3", data_centre="dc-e1")
    for found in (first, second):
        await path_site.until(lambda n=found: "e3" in n.state.registry.entries)
    known = first.state.registry.entries["e3"]
    first.control.inspection.mark_failed(known, "test")
    await path_site.until(
        lambda: _key(served, "e3") in second.fleet.leader_state.failed_until
    )
