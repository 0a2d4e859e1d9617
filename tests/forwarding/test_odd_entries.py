"""Entries that another writer left among those of the upstreams."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest

from yuccatally.core.forwarding import planning
from yuccatally.platform import documents
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from yuccatally.forwarding import node

ENTRY = {
    "service": "model",
    "address": "127.0.0.1:9",
    "zone": "north",
    "state": "ready",
    "slots": 8,
    "born": 5,
    "routeKind": "big",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": {"from": 0, "target": 4, "version": 1},
}
DEEP = b'{"a":' * 3000 + b"1" + b"}" * 3000


def _with(**changes: Any) -> bytes:
    return json.dumps({**ENTRY, **changes}).encode()


ODD_ENTRIES = {
    "deep": DEEP,
    "deep field": _with(zone="@").replace(b'"@"', DEEP),
    "large float": _with(slots="@").replace(b'"@"', b"1e999"),
    "large born": _with(born=10**400),
    "negative born": _with(born=-1),
    "large slots": _with(slots=10**30),
    "port": _with(address="127.0.0.1:70000"),
    "port without end": _with(address="127.0.0.1:" + "9" * 5000),
    "port zero": _with(address="127.0.0.1:0"),
    "host": _with(address="there:80"),
    "layers": _with(layers={"from": 0, "target": 10**12}),
    "layers of no model": _with(layers={"from": 2, "target": 200}),
    "negative layers": _with(layers={"from": -5, "target": 3}),
    "long text": _with(zone="z" * 100_000),
    "long card": _with(routeKind="c" * 100_000),
    "text": b'"ready"',
    "nothing": b"null",
}
# The fields are valid, and the engine may exist.
USABLE = {"layers of no model"}


@pytest.mark.parametrize("name", sorted(set(ODD_ENTRIES) - USABLE))
def test_odd_entry_names_no_upstream(name: str) -> None:
    """Guards against values that other parts do not expect."""
    try:
        spec = json.loads(ODD_ENTRIES[name])
    except RecursionError:
        return
    with pytest.raises(documents.FormatError):
        documents.decode_upstream("odd", spec)


def _knows(instance: node.Node, name: str) -> bool:
    return name in instance.state.registry.entries


@pytest.mark.parametrize("name", ODD_ENTRIES)
async def test_instances_go_on_beside_an_odd_entry(
    served: path_site.Site, name: str
) -> None:
    """Guards against instances that end, or stop following the entries.

    The second instance has its list from the first.
    """
    await served.store.set_raw("servers", "odd", ODD_ENTRIES[name])
    await served.add_engine("d2", card="")
    first = served.instances[0]
    await path_site.until(lambda: _knows(first, "d2"), timeout_s=3.0)
    second = await served.start_instance("n2")
    await served.add_engine("d3", card="")
    await served.add_engine("e3", data_centre="dc-e1")
    for instance in (first, second):
        for other in ("d2", "d3", "e3"):
            await path_site.until(
                lambda i=instance, o=other: _knows(i, o), timeout_s=3.0
            )
    await path_site.until(
        lambda: "e3" in first.state.plans["model"].stages, timeout_s=3.0
    )
    for instance in (first, second):
        await path_site.until(lambda i=instance: _is_serving(i), timeout_s=3.0)
        assert instance.failure is None
        status, _, _ = await served.send_request("/ask/x", at=instance)
        assert status == 200


async def test_error_in_planning_does_not_end_an_instance(
    served: path_site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an unexpected entry that ends leader after leader."""

    def fail(*args: object) -> None:
        raise IndexError

    instance = served.instances[0]
    with monkeypatch.context() as patch:
        patch.setattr(planning, "plan", fail)
        await path_site.until(lambda: bool(instance.control.failed_services))
        status, _, _ = await served.send_request("/ask/x")
        assert status == 200
    await path_site.until(lambda: not instance.control.failed_services)
    assert instance.failure is None
    assert not instance.state.leaving


def _is_serving(instance: node.Node) -> bool:
    service = instance.state.rules.services["model"]
    return bool(instance.state.paths(service))


@pytest.mark.parametrize("card", ["", "unknown"])
async def test_planned_engine_without_a_known_card_costs_its_path_only(
    served: path_site.Site, card: str
) -> None:
    """Guards against an entry that ends all instances that plan with it.

    Another writer replaced the entry of an engine that holds its layers. Each
    instance looked the card up and ended, with the requests that it served.
    """
    instance = served.instances[0]
    service = instance.state.rules.services["model"]
    entry = {**served.engines["e1"].entry("ready"), "routeKind": card}
    await served.store.set("servers", "e1", entry)
    registry = instance.state.registry
    await path_site.until(lambda: registry.entries["e1"].card == card)
    # The plan in force still has the engine.
    assert [p.hops[0].name for p in instance.state.paths(service)] == ["e2"]
    held = instance.state.holdings("model", frozenset())
    assert [h.engine.name for h in held] == ["e2"]
    for number in range(4):
        status, _, _ = await served.send_request("/ask/x", f"a{number}")
        assert status == 200
    assert instance.failure is None
    await served.publish_entry(served.engines["e1"])
    await path_site.until(lambda: len(instance.state.paths(service)) == 2)
