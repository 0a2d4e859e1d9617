"""Agents that exchange messages over a simulated faulty network."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from yuccatally.core.membership import directory
from yuccatally.core.membership import messages
from yuccatally_standins import simulated_network

NAMES = [f"i{n}" for n in range(7)]
LEAVING_TIMEOUT_S = 3.0
CONVERGENCE_TIMEOUT_S = 5.0
FAILURE_TIMEOUT_S = 15.0


def listed_names(
    instance: simulated_network.SimulatedInstance, now: float
) -> set[str]:
    """Returns the names of the instances that an instance lists to callers."""
    result = instance.agent.directory("desk", now)
    return {entry.name for entry in result.instances}


def active_names(instance: simulated_network.SimulatedInstance) -> set[str]:
    return {
        r.update.member.name for r in instance.agent.membership.table.active()
    }


class Agents(stateful.RuleBasedStateMachine):
    """Seven instances under faults, checked after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.network = simulated_network.SimulatedNetwork(NAMES, seed=1)
        self.network.run(3)
        self.highest_revisions: dict[tuple[str, str], int] = {}
        self.left_at: dict[str, float] = {}
        self.faults_changed_at = 0.0

    @stateful.rule(name=st.sampled_from("abc"), deleted=st.booleans())
    def change(self, name: str, deleted: bool) -> None:
        self.network.publish_change(name, deleted)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 6.0, 12.0]))
    def wait(self, seconds: float) -> None:
        self.network.run(seconds)

    @stateful.rule(up=st.booleans())
    def set_platform(self, up: bool) -> None:
        self.network.platform_reachable = up

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.3]),
        doubled=st.sampled_from([0.0, 0.3]),
        late=st.sampled_from([0.0, 0.3]),
    )
    def set_links(self, loss: float, doubled: float, late: float) -> None:
        self.network.loss_ratio = loss
        self.network.duplication_ratio = doubled
        self.network.late_ratio = late
        self.faults_changed_at = self.network.now

    @stateful.rule(side=st.sets(st.sampled_from(NAMES)), both=st.booleans())
    def cut(self, side: set[str], both: bool) -> None:
        rest = set(NAMES) - side
        self.network.blocked_links = {(a, b) for a in side for b in rest}
        if both:
            self.network.blocked_links |= {
                (b, a) for a, b in self.network.blocked_links
            }
        self.faults_changed_at = self.network.now

    @stateful.rule(name=st.sampled_from(NAMES[1:]))
    def replace(self, name: str) -> None:
        self.network.kill(name)
        self.network.start(name)
        self.left_at.pop(name, None)
        for key in [k for k in self.highest_revisions if k[0] == name]:
            del self.highest_revisions[key]

    @stateful.rule(name=st.sampled_from(NAMES[1:]))
    def kill(self, name: str) -> None:
        self.network.kill(name)

    @stateful.rule(name=st.sampled_from(NAMES[1:]), stopped=st.booleans())
    def pause_or_resume(self, name: str, stopped: bool) -> None:
        if stopped:
            self.network.pause(name)
        else:
            self.network.resume(name)
        self.faults_changed_at = self.network.now

    @stateful.rule(name=st.sampled_from(NAMES[1:]))
    def leave(self, name: str) -> None:
        instance = self.network.instances[name]
        if instance.running and not instance.paused:
            self.network.leave(name)
            self.left_at.setdefault(name, self.network.now)

    @stateful.invariant()
    def revisions_never_decrease(self) -> None:
        for name, instance in self.network.instances.items():
            revisions = {"revision": instance.config.revision}
            for (_, key), revision in instance.config.revisions.items():
                revisions[key] = revision
            for key, revision in revisions.items():
                assert revision >= self.highest_revisions.get((name, key), 0)
                self.highest_revisions[(name, key)] = revision

    @stateful.invariant()
    def leaving_instances_are_not_listed(self) -> None:
        network = self.network
        if network.blocked_links or network.loss_ratio or network.late_ratio:
            return
        for name, left_at in self.left_at.items():
            if not network.instances[name].running:
                continue
            stable_s = network.now - max(left_at, self.faults_changed_at)
            if stable_s < LEAVING_TIMEOUT_S + CONVERGENCE_TIMEOUT_S * (
                self.faults_changed_at > left_at
            ):
                continue
            for instance in network.running_instances().values():
                if not instance.paused:
                    assert name not in listed_names(instance, network.now)

    def teardown(self) -> None:
        network = self.network
        network.blocked_links = set()
        network.loss_ratio = network.duplication_ratio = network.late_ratio = (
            0.0
        )
        network.platform_reachable = True
        for name in NAMES:
            network.resume(name)
        network.run(CONVERGENCE_TIMEOUT_S)
        running = network.running_instances()
        newest = network.changes[-1].revision if network.changes else 0
        for name, instance in running.items():
            assert active_names(instance) >= set(running), name
            assert instance.config.revision == newest, name
            assert (
                instance.config.content_hash
                == running["i0"].config.content_hash
            )
        network.run(FAILURE_TIMEOUT_S)
        for name, instance in running.items():
            assert active_names(instance) == set(running), name
            states = {r.state for r in instance.agent.membership.table.active()}
            assert states == {messages.State.ALIVE}, name
            eligible_records = directory.eligible(
                instance.agent.membership.table.active()
            )
            assert {r.update.member.name for r in eligible_records} == (
                set(running) - set(self.left_at)
            )
        digests = {n.agent.membership.table.digest for n in running.values()}
        assert len(digests) == 1


TestAgents = Agents.TestCase
TestAgents.settings = settings(
    max_examples=25, stateful_step_count=20, deadline=None, derandomize=True
)


def test_resumed_instance_notices_a_death() -> None:
    """Guards against a pause that extends suspicions or revives a member.

    Messages sent during the pause of an instance arrive before its first tick
    after the pause.
    """
    network = simulated_network.SimulatedNetwork(NAMES, seed=1)
    network.run(3)
    network.kill("i1")
    network.pause("i2")
    network.run(18)
    network.resume("i2")
    network.run(CONVERGENCE_TIMEOUT_S)
    for instance in network.running_instances().values():
        assert active_names(instance) == set(NAMES) - {"i1"}
