"""Fleet of real processes under faults of instances and the platform."""

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

INSTANCE_COUNT = 7
TIMEOUT_S = 30.0
PROMPT = "List the lots of the dryer yard."
MAX_TOKENS = 140

PLAN = site.SiteSpec(
    instances=INSTANCE_COUNT,
    engines=(
        site.EngineSpec("front", 0, 6, 20.0, {"part": "front"}),
        site.EngineSpec("back", 6, 12, 20.0, {"part": "back"}),
    ),
    pipelines={"whole": (("part=front", 0, 6), ("part=back", 6, 12))},
    # Appended to the platform section of the settings, after the address.
    settings="watch_wait_s = 1.0\n",
)


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[site.Site]:
    """Seven instances in three data centres; tests undo their faults."""
    started = site.Site(PLAN, tmp_path_factory.mktemp("fleet"))
    try:
        started.start()
        wait_until(lambda: all_list(started, running_instances(started)))
        yield started
    finally:
        started.stop()


def wait_until(condition: Callable[[], bool]) -> None:
    """Waits for a condition; the timeout only bounds a failing test."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition not reached in time"
        time.sleep(0.05)


def running_instances(started: site.Site) -> list[site.Process]:
    """Returns the instances whose process is running."""
    return [p for p in started.of_role("instance") if p.popen.poll() is None]


def fleet_status(started: site.Site, process: site.Process) -> dict[str, Any]:
    """Returns the fleet status of an instance; empty if it is unreachable."""
    try:
        return started.status(process)["fleet"]
    except OSError:
        return {}


def listed_instances(process: site.Process) -> set[str]:
    """Returns the instances that a process lists; none if it is unreachable."""
    url = f"{process.url}/v1/instances"
    try:
        answer = site.fetch("GET", url, key=site.ACCOUNT_KEY)
    except OSError:
        return set()
    return {i["name"] for i in answer.json().get("instances", ())}


def all_list(started: site.Site, expected: list[site.Process]) -> bool:
    """Returns whether each process lists exactly these instances."""
    names = {p.name for p in expected}
    return all(listed_instances(p) == names for p in expected)


def reported_revisions(
    started: site.Site, processes: list[site.Process]
) -> set[Any]:
    """Returns the revision and content hash in force on each process."""
    statuses = [fleet_status(started, p) for p in processes]
    return {(s.get("revision"), s.get("content")) for s in statuses}


def declare_change(started: site.Site, name: str = "changed") -> int:
    """Declares a change and returns its revision."""
    spec = {"layers": site.LAYER_COUNT, "version": site.VERSION}
    return int(started.declare("model", name, spec)["revision"])


def wait_until_in_force(
    started: site.Site, revision: int, processes: list[site.Process]
) -> None:
    """Waits until all processes agree on this revision or a newer one."""

    def reached() -> bool:
        reported = reported_revisions(started, processes)
        return len(reported) == 1 and (reported.pop()[0] or 0) >= revision

    wait_until(reached)


def restart_instance(started: site.Site, process: site.Process) -> None:
    """Restarts an instance under its name, with other addresses."""
    process.popen.wait()
    started.start_instance(process.name)


def test_few_instances_watch_the_platform(fleet: site.Site) -> None:
    """Guards against calls to the platform that grow with the fleet."""
    wait_until_in_force(fleet, declare_change(fleet), running_instances(fleet))
    watching = [
        p
        for p in running_instances(fleet)
        if fleet_status(fleet, p)["watching"]
    ]
    assert 0 < len(watching) <= 2 * len(site.DATA_CENTRES) < INSTANCE_COUNT
    before = {
        p.name: fleet_status(fleet, p)["platform_calls"] for p in watching
    }
    for number in range(5):
        revision = declare_change(fleet, f"change-{number}")
    wait_until_in_force(fleet, revision, running_instances(fleet))
    for process in watching:
        call_count = (
            fleet_status(fleet, process)["platform_calls"]
            - before[process.name]
        )
        assert call_count <= 5 + 4, "more than one call for each change"


def test_every_instance_says_what_is_in_force(fleet: site.Site) -> None:
    """Guards against an object that is blocked on an instance unnoticed."""
    accepted = fleet.declare("model", "half", {"layers": 3, "version": "v1"})
    rejected = fleet.declare("model", "half", {"layers": 0, "version": "v2"})
    wait_until_in_force(fleet, rejected["revision"], running_instances(fleet))

    async def query_all() -> list[propagation.InForce]:
        sender = transport.PeerTransport("127.0.0.1:1")
        try:
            return [
                await sender.exchange(
                    p.addresses["peers"], propagation.InForceQuery(), TIMEOUT_S
                )
                for p in running_instances(fleet)
            ]
        finally:
            await sender.close()

    for answer in asyncio.run(query_all()):
        assert answer.revision >= rejected["revision"] > accepted["revision"]
        [blocked] = answer.blocked
        assert (blocked.kind, blocked.name) == ("model", "half")
        assert "layers" in blocked.problem
    fleet.declare("model", "half", {"layers": 3, "version": "v3"})


def test_killed_instances_are_replaced(fleet: site.Site) -> None:
    """Guards against addresses of failed instances and old configurations.

    Half of the instances are killed at the same time, right before a change.
    """
    killed = running_instances(fleet)[::2]
    for process in killed:
        process.kill()
    remaining = running_instances(fleet)
    wait_until_in_force(fleet, declare_change(fleet), remaining)
    wait_until(lambda: all_list(fleet, remaining))
    for process in killed:
        restart_instance(fleet, process)
    wait_until_in_force(fleet, declare_change(fleet), running_instances(fleet))
    wait_until(lambda: all_list(fleet, running_instances(fleet)))


def test_paused_instance_comes_back(fleet: site.Site) -> None:
    """Guards against a resumed instance that stays failed or out of date."""
    paused = running_instances(fleet)[1]
    remaining = [p for p in running_instances(fleet) if p is not paused]
    paused.send_signal(signal.SIGSTOP)
    try:
        wait_until(lambda: all_list(fleet, remaining))
        revision = declare_change(fleet)
        wait_until_in_force(fleet, revision, remaining)
    finally:
        paused.send_signal(signal.SIGCONT)
    wait_until_in_force(fleet, revision, running_instances(fleet))
    wait_until(lambda: all_list(fleet, running_instances(fleet)))


def test_configuration_comes_from_peers(fleet: site.Site) -> None:
    """Guards against an instance that cannot start without the platform."""
    replaced = running_instances(fleet)[0]
    revision = declare_change(fleet)
    fleet.set_faults("platform", down=True)
    try:
        replaced.kill()
        restart_instance(fleet, replaced)
        wait_until_in_force(fleet, revision, running_instances(fleet))
        wait_until(lambda: all_list(fleet, running_instances(fleet)))
    finally:
        fleet.set_faults("platform", down=False)
    wait_until_in_force(fleet, declare_change(fleet), running_instances(fleet))


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
    """Guards against a change that is missed, or reverted by old data."""
    fleet.set_faults("platform", **faults)
    revision = declare_change(fleet, "faulty")
    wait_until_in_force(fleet, revision, running_instances(fleet))
    replaced = running_instances(fleet)[2]
    before = {
        p.name: fleet_status(fleet, p)["revision"]
        for p in running_instances(fleet)
    }
    replaced.kill()
    restart_instance(fleet, replaced)
    wait_until(
        lambda: bool(fleet_status(fleet, fleet.processes[replaced.name]))
    )
    for process in running_instances(fleet):
        if process.name != replaced.name:
            # An older listing or watch must not have been applied.
            revision_now = fleet_status(fleet, process)["revision"]
            assert revision_now >= before[process.name]
    wait_until_in_force(fleet, revision, running_instances(fleet))
    wait_until(lambda: all_list(fleet, running_instances(fleet)))
    cleared_faults = {k: type(v)(0) for k, v in faults.items()}
    fleet.set_faults("platform", **cleared_faults)
    wait_until_in_force(fleet, declare_change(fleet), running_instances(fleet))


def test_stale_member_list_neither_adds_nor_removes(fleet: site.Site) -> None:
    """Guards against a member list that overrides the failure detection."""
    failed_member = {
        "name": "i99",
        "data_centre": "north",
        "callers_address": "127.0.0.1:9",
        "operators_address": "127.0.0.1:9",
        "peers_address": "127.0.0.1:9",
    }
    url = f"{fleet.processes['platform'].url}/admin/instances"
    site.fetch("PUT", url, [failed_member])
    replaced = running_instances(fleet)[3]
    replaced.kill()
    restart_instance(fleet, replaced)

    def all_except_failed() -> bool:
        lists = [listed_instances(p) for p in running_instances(fleet)]
        assert not any("i99" in names for names in lists)
        return all_list(fleet, running_instances(fleet))

    wait_until(all_except_failed)
    fleet.publish_instances()


def stream_texts(process: site.Process) -> Iterator[str]:
    """Yields the texts of a streamed completion."""
    host, _, port = process.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    body = {
        "model": site.MODEL,
        "prompt": PROMPT,
        "max_tokens": MAX_TOKENS,
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
    """Guards against a graceful shutdown that cuts or misleads callers.

    A stream stays open, a second signal has no effect, the other instances
    remove the address from their lists before it refuses requests, and idle
    connections are closed.
    """
    leaving = running_instances(fleet)[4]
    remaining = [p for p in running_instances(fleet) if p is not leaving]
    streamed: list[str] = []
    reader = threading.Thread(
        target=lambda: streamed.extend(stream_texts(leaving))
    )
    host, _, port = leaving.address.rpartition(":")
    idle = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    key = {"Authorization": f"Bearer {site.ACCOUNT_KEY}"}
    idle.request("GET", "/v1/models", headers=key)
    idle.getresponse().read()
    reader.start()
    wait_until(lambda: fleet.status(leaving)["requests"]["in_flight"] == 1)
    fleet.set_faults("platform", down=platform_down)
    revision = 0 if platform_down else declare_change(fleet)
    try:
        leaving.send_signal(signal.SIGTERM)
        wait_until(lambda: fleet.status(leaving)["leaving"])
        url = f"{leaving.url}/v1/models"
        announced = site.fetch("GET", url, key=site.ACCOUNT_KEY)
        assert announced.outcome == "answered"
        assert announced.headers["connection"] == "close"
        others = announced.headers["yuccatally-instances"].split(",")
        assert set(others) == {p.address for p in remaining}
        leaving.send_signal(signal.SIGTERM)
        refused = announced
        while refused.outcome == "answered":
            refused = site.fetch("GET", url, key=site.ACCOUNT_KEY)
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert refused.json()["error"]["code"] == "leaving"
        assert all_list(fleet, remaining)
        assert listed_instances(leaving) == {p.name for p in remaining}
        assert idle.sock.recv(1) == b""
        assert reader.is_alive(), (
            "the idle connection was open longer than the stream"
        )
        wait_until_in_force(fleet, revision, remaining)
        reader.join(TIMEOUT_S)
        assert "".join(streamed) == reference.expected_text(
            site.MODEL, site.VERSION, site.LAYER_COUNT, PROMPT, MAX_TOKENS
        )
        assert leaving.popen.wait(TIMEOUT_S) == 0
        restart_instance(fleet, leaving)
        wait_until(lambda: all_list(fleet, running_instances(fleet)))
    finally:
        fleet.set_faults("platform", down=False)
