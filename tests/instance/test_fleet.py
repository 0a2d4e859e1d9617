"""Real processes under faults of instances, links and the platform."""

from __future__ import annotations

import asyncio
import http.client
import json
import signal
import threading
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest

from yuccatally.core.config import propagation
from yuccatally.peers import transport
from yuccatally_standins import reference
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

INSTANCES = 7
WAIT_S = 30.0
PROMPT = "List the lots of the dryer yard."
TOKENS = 140

PLAN = site.Plan(
    instances=INSTANCES,
    engines=(
        site.EnginePlan("front", 0, 6, 20.0, {"part": "front"}),
        site.EnginePlan("back", 6, 12, 20.0, {"part": "back"}),
    ),
    pipelines={"whole": (("part=front", 0, 6), ("part=back", 6, 12))},
    # Follows the address in the table of the platform.
    settings="watch_wait_s = 1.0\n",
)


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[site.Site]:
    """Seven instances in three data centres; tests put back what they break."""
    started = site.Site(PLAN, tmp_path_factory.mktemp("fleet"))
    try:
        started.start()
        await_true(lambda: all_see(started, running(started)))
        yield started
    finally:
        started.stop()


def await_true(condition: Callable[[], bool]) -> None:
    """Waits for a condition; the bound only keeps a failure from hanging."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition was not reached"
        time.sleep(0.05)


def running(started: site.Site) -> list[site.Process]:
    """Returns the instances whose process runs."""
    return [p for p in started.of_role("instance") if p.popen.poll() is None]


def state(started: site.Site, process: site.Process) -> dict[str, Any]:
    """Returns what an instance reports; empty if it does not answer."""
    try:
        return started.status(process)["fleet"]
    except OSError:
        return {}


def addresses(process: site.Process) -> set[str]:
    """Returns the instances that a process names, none if it is away."""
    url = f"{process.url}/v1/instances"
    try:
        answer = site.fetch("GET", url, key=site.ACCOUNT_KEY)
    except OSError:
        return set()
    return {i["name"] for i in answer.json().get("instances", ())}


def all_see(started: site.Site, wanted: list[site.Process]) -> bool:
    """Tells whether each process names exactly these instances."""
    names = {p.name for p in wanted}
    return all(addresses(p) == names for p in wanted)


def in_force(started: site.Site, processes: list[site.Process]) -> set[Any]:
    """Returns revision and content of each process."""
    states = [state(started, p) for p in processes]
    return {(s.get("revision"), s.get("content")) for s in states}


def change(started: site.Site, name: str = "changed") -> int:
    """Accepts a change and returns its revision."""
    spec = {"layers": site.LAYERS, "version": site.VERSION}
    return int(started.declare("model", name, spec)["revision"])


def await_in_force(
    started: site.Site, revision: int, processes: list[site.Process]
) -> None:
    """Waits until the processes agree on a revision that is new enough."""

    def reached() -> bool:
        found = in_force(started, processes)
        return len(found) == 1 and (found.pop()[0] or 0) >= revision

    await_true(reached)


def replace(started: site.Site, process: site.Process) -> None:
    """Starts an instance again under its name, with other addresses."""
    process.popen.wait()
    started.start_instance(process.name)


def test_few_instances_watch_the_platform(fleet: site.Site) -> None:
    """Guards against calls to the platform that grow with the fleet."""
    await_in_force(fleet, change(fleet), running(fleet))
    watching = [p for p in running(fleet) if state(fleet, p)["watching"]]
    assert 0 < len(watching) <= 2 * len(site.DATA_CENTRES) < INSTANCES
    before = {p.name: state(fleet, p)["platform_calls"] for p in watching}
    for number in range(5):
        revision = change(fleet, f"change-{number}")
    await_in_force(fleet, revision, running(fleet))
    for process in watching:
        made = state(fleet, process)["platform_calls"] - before[process.name]
        assert made <= 5 + 4, "more than one call for each change"


def test_every_instance_says_what_is_in_force(fleet: site.Site) -> None:
    """Guards against an object that is blocked somewhere without notice."""
    good = fleet.declare("model", "half", {"layers": 3, "version": "v1"})
    bad = fleet.declare("model", "half", {"layers": 0, "version": "v2"})
    await_in_force(fleet, bad["revision"], running(fleet))

    async def ask() -> list[propagation.InForce]:
        asking = transport.PeerTransport("127.0.0.1:1")
        try:
            return [
                await asking.exchange(
                    p.extra["peers"], propagation.InForceQuery(), WAIT_S
                )
                for p in running(fleet)
            ]
        finally:
            await asking.close()

    for answer in asyncio.run(ask()):
        assert answer.revision >= bad["revision"] > good["revision"]
        [blocked] = answer.blocked
        assert (blocked.kind, blocked.name) == ("model", "half")
        assert "layers" in blocked.problem
    fleet.declare("model", "half", {"layers": 3, "version": "v3"})


def test_killed_instances_are_replaced(fleet: site.Site) -> None:
    """Guards against dead addresses and configurations that lag behind.

    Half of the instances end at once, and a change falls into that time.
    """
    gone = running(fleet)[::2]
    for process in gone:
        process.kill()
    rest = running(fleet)
    await_in_force(fleet, change(fleet), rest)
    await_true(lambda: all_see(fleet, rest))
    for process in gone:
        replace(fleet, process)
    await_in_force(fleet, change(fleet), running(fleet))
    await_true(lambda: all_see(fleet, running(fleet)))


def test_paused_instance_comes_back(fleet: site.Site) -> None:
    """Guards against a false death, and against a revision that it missed."""
    paused = running(fleet)[1]
    rest = [p for p in running(fleet) if p is not paused]
    paused.send(signal.SIGSTOP)
    try:
        await_true(lambda: all_see(fleet, rest))
        revision = change(fleet)
        await_in_force(fleet, revision, rest)
    finally:
        paused.send(signal.SIGCONT)
    await_in_force(fleet, revision, running(fleet))
    await_true(lambda: all_see(fleet, running(fleet)))


def test_configuration_comes_from_peers(fleet: site.Site) -> None:
    """Guards against an instance that cannot start without the platform."""
    replaced = running(fleet)[0]
    revision = change(fleet)
    fleet.set_faults("platform", down=True)
    try:
        replaced.kill()
        replace(fleet, replaced)
        await_in_force(fleet, revision, running(fleet))
        await_true(lambda: all_see(fleet, running(fleet)))
    finally:
        fleet.set_faults("platform", down=False)
    await_in_force(fleet, change(fleet), running(fleet))


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param({"silent_watch": True}, id="silent-watch"),
        pytest.param({"watch_gaps": 1}, id="watch-gap"),
        pytest.param({"stale_list": 3}, id="stale-list"),
        pytest.param({"delay_s": 0.5}, id="slow"),
    ],
)
def test_faulty_platform_delays_but_never_reverts(
    fleet: site.Site, faults: dict[str, Any]
) -> None:
    """Guards against a change that is missed, or taken back by old data."""
    fleet.set_faults("platform", **faults)
    revision = change(fleet, "faulty")
    await_in_force(fleet, revision, running(fleet))
    replaced = running(fleet)[2]
    before = {p.name: state(fleet, p)["revision"] for p in running(fleet)}
    replaced.kill()
    replace(fleet, replaced)
    await_true(lambda: bool(state(fleet, fleet.processes[replaced.name])))
    for process in running(fleet):
        if process.name != replaced.name:
            # An older listing or watch must not have taken effect.
            found = state(fleet, process)["revision"]
            assert found >= before[process.name]
    await_in_force(fleet, revision, running(fleet))
    await_true(lambda: all_see(fleet, running(fleet)))
    healed = {k: type(v)(0) for k, v in faults.items()}
    fleet.set_faults("platform", **healed)
    await_in_force(fleet, change(fleet), running(fleet))


def test_stale_member_list_neither_adds_nor_removes(fleet: site.Site) -> None:
    """Guards against a list that overrules what instances know directly."""
    dead = {
        "name": "i99",
        "data_centre": "north",
        "callers_address": "127.0.0.1:9",
        "operators_address": "127.0.0.1:9",
        "peers_address": "127.0.0.1:9",
    }
    url = f"{fleet.processes['platform'].url}/admin/instances"
    site.fetch("PUT", url, [dead])
    replaced = running(fleet)[3]
    replaced.kill()
    replace(fleet, replaced)

    def all_but_the_dead() -> bool:
        named = [addresses(p) for p in running(fleet)]
        assert not any("i99" in names for names in named)
        return all_see(fleet, running(fleet))

    await_true(all_but_the_dead)
    fleet.publish_instances()


def stream_of(process: site.Process) -> Iterator[str]:
    """Yields the texts of a streamed completion."""
    host, _, port = process.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    body = {
        "model": site.MODEL,
        "prompt": PROMPT,
        "max_tokens": TOKENS,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {site.ACCOUNT_KEY}"}
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    for line in connection.getresponse():
        data = line.decode().removeprefix("data: ").strip()
        if data and data != "[DONE]":
            yield from (c["text"] for c in json.loads(data)["choices"])


@pytest.mark.parametrize("platform_down", [False, True])
def test_drain_loses_nothing(fleet: site.Site, platform_down: bool) -> None:
    """Guards against a planned stop that cuts or misleads callers.

    A stream stays open, a second signal changes nothing, other instances stop
    naming the address before it refuses work, and idle connections end.
    """
    leaving = running(fleet)[4]
    rest = [p for p in running(fleet) if p is not leaving]
    streamed: list[str] = []
    reader = threading.Thread(
        target=lambda: streamed.extend(stream_of(leaving))
    )
    host, _, port = leaving.address.rpartition(":")
    idle = http.client.HTTPConnection(host, int(port), timeout=WAIT_S)
    key = {"Authorization": f"Bearer {site.ACCOUNT_KEY}"}
    idle.request("GET", "/v1/models", headers=key)
    idle.getresponse().read()
    reader.start()
    await_true(lambda: fleet.status(leaving)["requests"]["in_flight"] == 1)
    fleet.set_faults("platform", down=platform_down)
    revision = 0 if platform_down else change(fleet)
    try:
        leaving.send(signal.SIGTERM)
        await_true(lambda: fleet.status(leaving)["leaving"])
        url = f"{leaving.url}/v1/models"
        marked = site.fetch("GET", url, key=site.ACCOUNT_KEY)
        assert marked.outcome == "answered"
        assert marked.headers["connection"] == "close"
        others = marked.headers["yuccatally-instances"].split(",")
        assert set(others) == {p.address for p in rest}
        leaving.send(signal.SIGTERM)
        refused = marked
        while refused.outcome == "answered":
            refused = site.fetch("GET", url, key=site.ACCOUNT_KEY)
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert refused.json()["error"]["code"] == "leaving"
        assert all_see(fleet, rest)
        assert addresses(leaving) == {p.name for p in rest}
        assert idle.sock.recv(1) == b""
        assert reader.is_alive(), "the idle connection outlived the stream"
        await_in_force(fleet, revision, rest)
        reader.join(WAIT_S)
        assert "".join(streamed) == reference.answer_text(
            site.MODEL, site.VERSION, site.LAYERS, PROMPT, TOKENS
        )
        assert leaving.popen.wait(WAIT_S) == 0
        replace(fleet, leaving)
        await_true(lambda: all_see(fleet, running(fleet)))
    finally:
        fleet.set_faults("platform", down=False)
