"""Failed engines and their exclusion from plans."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import pytest

from yuccatally.core.forwarding import suspicions
from yuccatally.forwarding import inspection
from yuccatally.platform import engines
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from typing import Any

    from yuccatally.forwarding import node


def _hops(instance: node.Node) -> set[str]:
    service = instance.state.rules.services["model"]
    return {h.name for p in instance.state.paths(service) for h in p.hops}


def _key(site: path_site.Site, name: str) -> suspicions.Incarnation:
    return suspicions.Incarnation(name, site.engines[name].born_ms)


async def test_spare_that_does_not_answer_orders_is_replaced(
    site: path_site.Site,
) -> None:
    """Guards against a pipeline that waits for a failed spare engine.

    An engine crashed while the store was not reachable, so its entry stayed. It
    was chosen for a repair and received orders for five seconds, until the
    entry was removed, while other spare engines were idle.
    """
    changed = path_site.configuration(2)
    changed["services"][1]["engine"]["layers"] = 8
    await site.publish_configuration(**changed)
    for name in ("north-1", "north-2"):
        await site.add_engine(name)
    instance = await site.start_instance()
    await path_site.until(lambda: len(_hops(instance)) == 2)
    # Neither spare holds the whole model; the nearest one is chosen first.
    await site.add_engine("north-3")
    await site.add_engine("west-1", data_centre="west")
    await path_site.until(lambda: "west-1" in instance.state.registry.entries)
    await site.engines["north-3"].stop()
    await site.store.remove("servers", "north-2")
    failed = instance.fleet.leader_state
    # A path may be complete with the replica on west-1 before the orders to
    # north-3 have failed.
    await path_site.until(
        lambda: (
            _hops(instance) == {"north-1", "west-1"}
            and _key(site, "north-3") in failed.failed_until
        ),
        5.0,
    )


async def test_lost_engine_that_stays_silent_stays_lost(
    served: path_site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against failed engines that return to plans after some time."""
    monkeypatch.setattr(inspection, "FAILED_TTL_S", 1.0)
    monkeypatch.setattr(inspection, "RECHECK_MARGIN_S", 0.8)
    instance = served.instances[0]
    for name in ("e3", "e4"):
        await served.add_engine(name, data_centre="dc-e1")
    await path_site.until(lambda: "e4" in instance.state.registry.entries)
    await served.engines["e3"].stop()
    for name in ("e3", "e4"):
        entry = instance.state.registry.entries[name]
        instance.control.inspection.mark_failed(entry, "test")
    await asyncio.sleep(2.5)
    assert set(instance.fleet.leader_state.failed_until) == {_key(served, "e3")}


async def test_next_holder_of_the_lease_knows_lost_engines(
    served: path_site.Site,
) -> None:
    """Guards against a new leader that plans with failed engines."""
    first = served.instances[0]
    second = await served.start_instance("n2")
    await served.add_engine("e3", data_centre="dc-e1")
    for instance in (first, second):
        await path_site.until(
            lambda n=instance: "e3" in n.state.registry.entries
        )
    entry = first.state.registry.entries["e3"]
    first.control.inspection.mark_failed(entry, "test")
    await path_site.until(
        lambda: _key(served, "e3") in second.fleet.leader_state.failed_until
    )


@pytest.mark.parametrize("own_link_is_slow", [True, False])
async def test_checks_that_all_time_out_do_not_mark_all_engines(
    served: path_site.Site,
    monkeypatch: pytest.MonkeyPatch,
    own_link_is_slow: bool,
) -> None:
    """Guards against a leader with a slow link that plans without engines.

    On a fleet of 88 instances, the checks of 62 engines timed out within half a
    second, and ten of eleven pipelines were given up. If other engines answer,
    those that do not have failed.
    """
    for name in ("e3", "e4", "e5", "e6", "e7"):
        await served.add_engine(name, data_centre="dc-e1")
    instance = served.instances[0]
    registry = instance.state.registry
    await path_site.until(lambda: "e7" in registry.entries)
    instance.state.settings = dataclasses.replace(
        instance.state.settings, shares_load=True
    )
    answering = set() if own_link_is_slow else {"e7"}
    fetch_report = engines.fetch_report

    async def fetch(session: Any, engine: Any) -> Any:
        if engine.name not in answering:
            raise engines.ReportTimeoutError("no response")
        return await fetch_report(session, engine)

    monkeypatch.setattr(engines, "fetch_report", fetch)
    silent = [_key(served, f"e{n}") for n in range(1, 7)]
    inspector = instance.control.inspection
    await asyncio.gather(*(inspector._check_silent(key) for key in silent))
    marked = set(instance.fleet.leader_state.failed_until) & set(silent)
    assert marked == (set() if own_link_is_slow else set(silent))
