"""Placement control with real processes, and faults during a rollout."""

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

TIMEOUT_S = 30.0
ENGINES = ("e1", "e2", "e3", "e4")
CAPACITY = 12  # one pipeline of two engines holds both versions of 12 layers
PROMPT = "Compare jar 3 with its neighbours."
MAX_TOKENS = 12
RATES = {"step_base_ms": 1.0, "token_layer_us": 20.0, "batch": 64}


class ControlledDeployment:
    """Processes whose engines hold no layers until control loads them."""

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
            site.EngineSpec(
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
        self.site = start_site(site.SiteSpec(3, engines, {}))
        self.site.start_standin("weights", "weights", [], weights)
        self.declare_version(site.VERSION)

    def declare_version(self, version: str) -> None:
        """Declares the version to serve."""
        spec = {
            "model": site.MODEL,
            "version": version,
            "selector": "pool=mixed",
            "pipelines": 2,
        }
        self.site.declare("placement", "main", spec)

    def served_version(self) -> str:
        """Returns the version in the model object."""
        platform = self.site.processes["platform"].url
        url = f"{platform}/objects/model/{site.MODEL}"
        return site.fetch("GET", url).json()["spec"]["version"]

    def held_versions(self) -> list[set[str]]:
        """Returns the versions that each engine holds ready for use."""
        return [
            {h["version"] for h in self.describe(n)["holdings"] if h["ready"]}
            for n in ENGINES
        ]

    def describe(self, name: str) -> dict[str, Any]:
        """Returns the report of an engine."""
        url = f"{self.site.processes[name].url}/v1/engine"
        return site.fetch("GET", url).json()

    def orders(self) -> list[dict[str, Any]]:
        """Returns the orders that all engines executed."""
        return [
            order
            for name in ENGINES
            for order in site.fetch(
                "GET", f"{self.site.processes[name].url}/orders"
            ).json()
        ]

    def lease_holder(self) -> site.Process:
        """Returns the instance that holds the lease."""
        platform = self.site.processes["platform"].url
        record = site.fetch("GET", f"{platform}/objects/lease/main").json()
        name = record["spec"]["holder"].rsplit("-", 1)[0]
        return self.site.processes[name]

    def request_completion(self, instance: site.Process) -> str:
        """Returns the outcome; asserts that an answer is correct."""
        body = {"model": site.MODEL, "prompt": PROMPT, "max_tokens": MAX_TOKENS}
        url = f"{instance.url}/v1/completions"
        answer = site.fetch("POST", url, body, site.ACCOUNT_KEY)
        if answer.outcome == "answered":
            text = answer.json()["choices"][0]["text"]
            expected_texts = {
                reference.expected_text(
                    site.MODEL, version, site.LAYER_COUNT, PROMPT, MAX_TOKENS
                )
                for version in (site.VERSION, "v2")
            }
            assert text in expected_texts
        return answer.outcome


def wait_until(condition: Callable[[], bool], description: str) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError(f"condition not reached in time: {description}")


@pytest.fixture(params=[True, False], ids=["checks-fencing", "ignores-fencing"])
def deployment(
    start_site: Callable[..., site.Site], request: pytest.FixtureRequest
) -> ControlledDeployment:
    """Processes under control that serve the first version."""
    deployment = ControlledDeployment(start_site, request.param)
    instance = deployment.site.of_role("instance")[0]
    wait_until(
        lambda: deployment.held_versions() == [{site.VERSION}] * len(ENGINES),
        "all engines hold the first version",
    )
    wait_until(
        lambda: deployment.request_completion(instance) == "answered",
        "first answer",
    )
    return deployment


@pytest.mark.parametrize("fault", ["kill", "pause"])
def test_roll_goes_on_under_load_when_the_holder_fails(
    deployment: ControlledDeployment, fault: str
) -> None:
    """Guards against a rollout that stops, cuts answers or is reverted.

    Right after the declaration of the new version, the lease holder is killed,
    or paused for longer than its term and then resumed.
    """
    lease_holder = deployment.lease_holder()
    others = [
        p
        for p in deployment.site.of_role("instance")
        if p.name != lease_holder.name
    ]
    failed_outcomes: list[str] = []
    stop = threading.Event()

    def send_requests(instance: site.Process) -> None:
        while not stop.is_set():
            outcome = deployment.request_completion(instance)
            if outcome != "answered":
                failed_outcomes.append(outcome)

    threads = [
        threading.Thread(target=send_requests, args=(p,)) for p in others
    ]
    for thread in threads:
        thread.start()
    try:
        deployment.declare_version("v2")
        if fault == "kill":
            lease_holder.kill()
        else:
            lease_holder.send_signal(signal.SIGSTOP)
        wait_until(lambda: deployment.served_version() == "v2", "the switch")
        if fault == "pause":
            lease_holder.send_signal(signal.SIGCONT)
        wait_until(
            lambda: deployment.held_versions() == [{"v2"}] * len(ENGINES),
            "the old version is unloaded",
        )
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    assert failed_outcomes == []
    fences = [o["fence"] for o in deployment.orders()]
    assert len(set(fences)) > 1
    assert deployment.held_versions() == [{"v2"}] * len(ENGINES)


def test_old_version_serves_while_the_weights_are_away(
    start_site: Callable[..., site.Site],
) -> None:
    """Guards against unloading a version before the new one is loaded."""
    deployment = ControlledDeployment(start_site, checks_fencing=True)
    instance = deployment.site.of_role("instance")[0]
    wait_until(
        lambda: deployment.request_completion(instance) == "answered",
        "an answer",
    )
    deployment.site.set_faults("weights", down=True)
    deployment.declare_version("v2")
    wait_until(
        lambda: any(
            not h["ready"]
            for n in ENGINES
            for h in deployment.describe(n)["holdings"]
        ),
        "a load is under way",
    )
    assert deployment.request_completion(instance) == "answered"
    assert deployment.served_version() == site.VERSION
    deployment.site.set_faults("weights", down=False)
    wait_until(lambda: deployment.served_version() == "v2", "the switch")
    assert deployment.request_completion(instance) == "answered"
