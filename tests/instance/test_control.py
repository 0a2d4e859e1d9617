"""Control of engines by real processes, with faults during a roll."""

from __future__ import annotations

import signal
import threading
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest

from yuccatally_standins import reference
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable

WAIT_S = 30.0
ENGINES = ("e1", "e2", "e3", "e4")
CAPACITY = 12  # one pipeline of two engines holds both versions of 12 layers
PROMPT = "Compare jar 3 with its neighbours."
LIMIT = 12
RATES = {"step_base_ms": 1.0, "token_layer_us": 20.0, "batch": 64}


class ControlledSite:
    """A site whose engines hold nothing until control loads them."""

    def __init__(
        self, start_site: Callable[..., site.Site], checks_fencing: bool
    ) -> None:
        weights = site.free_port()
        flags = (
            "--capacity-layers",
            str(CAPACITY),
            "--weights",
            f"127.0.0.1:{weights}",
        )
        if checks_fencing:
            flags = (*flags, "--checks-fencing")
        engines = tuple(
            site.EnginePlan(
                name,
                0,
                0,
                1.0,
                {"pool": "mixed"},
                arguments=flags,
                rates={**RATES, "max_layers": 6},
            )
            for name in ENGINES
        )
        self.site = start_site(site.Plan(3, engines, {}))
        self.site.start_standin("weights", "weights", [], weights)
        self.place(site.VERSION)

    def place(self, version: str) -> None:
        """Declares which version should be served."""
        spec = {
            "model": site.MODEL,
            "version": version,
            "selector": "pool=mixed",
            "pipelines": 2,
        }
        self.site.declare("placement", "main", spec)

    def served_version(self) -> str:
        """Returns the version that the model object names."""
        platform = self.site.processes["platform"].url
        url = f"{platform}/objects/model/{site.MODEL}"
        return site.fetch("GET", url).json()["spec"]["version"]

    def held_versions(self) -> list[set[str]]:
        """Returns the versions that each engine holds ready."""
        return [
            {h["version"] for h in self.describe(n)["holdings"] if h["ready"]}
            for n in ENGINES
        ]

    def describe(self, name: str) -> dict[str, Any]:
        """Returns what an engine reports."""
        url = f"{self.site.processes[name].url}/v1/engine"
        return site.fetch("GET", url).json()

    def orders(self) -> list[dict[str, Any]]:
        """Returns the orders that all engines carried out."""
        return [
            order
            for name in ENGINES
            for order in site.fetch(
                "GET", f"{self.site.processes[name].url}/orders"
            ).json()
        ]

    def holder(self) -> site.Process:
        """Returns the instance that holds the lease."""
        platform = self.site.processes["platform"].url
        record = site.fetch("GET", f"{platform}/objects/lease/main").json()
        name = record["spec"]["holder"].rsplit("-", 1)[0]
        return self.site.processes[name]

    def ask(self, instance: site.Process) -> str:
        """Returns the outcome; asserts that an answer is right."""
        body = {"model": site.MODEL, "prompt": PROMPT, "max_tokens": LIMIT}
        url = f"{instance.url}/v1/completions"
        answer = site.fetch("POST", url, body, site.ACCOUNT_KEY)
        if answer.outcome == "answered":
            text = answer.json()["choices"][0]["text"]
            right = {
                reference.answer_text(
                    site.MODEL, version, site.LAYERS, PROMPT, LIMIT
                )
                for version in (site.VERSION, "v2")
            }
            assert text in right
        return answer.outcome


def await_until(condition: Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError(f"did not happen: {what}")


@pytest.fixture(params=[True, False], ids=["checks-fencing", "ignores-fencing"])
def controlled(
    start_site: Callable[..., site.Site], request: pytest.FixtureRequest
) -> ControlledSite:
    """A controlled site that serves the first version."""
    started = ControlledSite(start_site, request.param)
    instance = started.site.of_role("instance")[0]
    await_until(
        lambda: started.held_versions() == [{site.VERSION}] * len(ENGINES),
        "all engines hold the first version",
    )
    await_until(lambda: started.ask(instance) == "answered", "first answer")
    return started


@pytest.mark.parametrize("fault", ["kill", "pause"])
def test_roll_goes_on_under_load_when_the_holder_fails(
    controlled: ControlledSite, fault: str
) -> None:
    """Guards against a roll that stops, cuts answers or goes back.

    The holder of the lease is killed, or paused for longer than its term and
    woken, right after the roll was declared.
    """
    holder = controlled.holder()
    others = [
        p for p in controlled.site.of_role("instance") if p.name != holder.name
    ]
    failed: list[str] = []
    stop = threading.Event()

    def load(instance: site.Process) -> None:
        while not stop.is_set():
            outcome = controlled.ask(instance)
            if outcome != "answered":
                failed.append(outcome)

    threads = [threading.Thread(target=load, args=(p,)) for p in others]
    for thread in threads:
        thread.start()
    try:
        controlled.place("v2")
        if fault == "kill":
            holder.kill()
        else:
            holder.send(signal.SIGSTOP)
        await_until(lambda: controlled.served_version() == "v2", "the switch")
        if fault == "pause":
            holder.send(signal.SIGCONT)
        await_until(
            lambda: controlled.held_versions() == [{"v2"}] * len(ENGINES),
            "the old version is unloaded",
        )
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    assert failed == []
    fences = [o["fence"] for o in controlled.orders()]
    assert len(set(fences)) > 1
    assert controlled.held_versions() == [{"v2"}] * len(ENGINES)


def test_old_version_serves_while_the_weights_are_away(
    start_site: Callable[..., site.Site],
) -> None:
    """Guards against giving up a version before the new one is loaded."""
    controlled = ControlledSite(start_site, checks_fencing=True)
    instance = controlled.site.of_role("instance")[0]
    await_until(lambda: controlled.ask(instance) == "answered", "an answer")
    controlled.site.set_faults("weights", down=True)
    controlled.place("v2")
    await_until(
        lambda: any(
            not h["ready"]
            for n in ENGINES
            for h in controlled.describe(n)["holdings"]
        ),
        "a load is under way",
    )
    assert controlled.ask(instance) == "answered"
    assert controlled.served_version() == site.VERSION
    controlled.site.set_faults("weights", down=False)
    await_until(lambda: controlled.served_version() == "v2", "the switch")
    assert controlled.ask(instance) == "answered"
