"""Agents that hand each other messages over a faulty carrier."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from yuccatally.core.membership import directory
from yuccatally.core.membership import messages
from yuccatally_standins import carrier

NAMES = [f"i{n}" for n in range(7)]
LEAVING_BOUND_S = 3.0
CONVERGENCE_S = 5.0
DEATH_S = 15.0


def handed_out(node: carrier.Node, now: float) -> set[str]:
    """Names of the instances that a node gives to callers."""
    found = node.agent.directory("desk", now)
    return {entry.name for entry in found.instances}


def believed_alive(node: carrier.Node) -> set[str]:
    return {r.update.member.name for r in node.agent.membership.table.active()}


class Agents(stateful.RuleBasedStateMachine):
    """Seven instances under faults, checked after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.carrier = carrier.Carrier(NAMES, seed=1)
        self.carrier.run(3)
        self.highest: dict[tuple[str, str], int] = {}
        self.left_at: dict[str, float] = {}
        self.calm_since = 0.0

    @stateful.rule(name=st.sampled_from("abc"), deleted=st.booleans())
    def change(self, name: str, deleted: bool) -> None:
        self.carrier.change(name, deleted)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 6.0, 12.0]))
    def wait(self, seconds: float) -> None:
        self.carrier.run(seconds)

    @stateful.rule(up=st.booleans())
    def set_platform(self, up: bool) -> None:
        self.carrier.platform_up = up

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.3]),
        doubled=st.sampled_from([0.0, 0.3]),
        late=st.sampled_from([0.0, 0.3]),
    )
    def set_links(self, loss: float, doubled: float, late: float) -> None:
        self.carrier.loss = loss
        self.carrier.doubled = doubled
        self.carrier.late = late
        self.calm_since = self.carrier.now

    @stateful.rule(side=st.sets(st.sampled_from(NAMES)), both=st.booleans())
    def cut(self, side: set[str], both: bool) -> None:
        rest = set(NAMES) - side
        self.carrier.cut = {(a, b) for a in side for b in rest}
        if both:
            self.carrier.cut |= {(b, a) for a, b in self.carrier.cut}
        self.calm_since = self.carrier.now

    @stateful.rule(name=st.sampled_from(NAMES[1:]))
    def replace(self, name: str) -> None:
        self.carrier.kill(name)
        self.carrier.start(name)
        self.left_at.pop(name, None)
        for key in [k for k in self.highest if k[0] == name]:
            del self.highest[key]

    @stateful.rule(name=st.sampled_from(NAMES[1:]))
    def kill(self, name: str) -> None:
        self.carrier.kill(name)

    @stateful.rule(name=st.sampled_from(NAMES[1:]), stopped=st.booleans())
    def pause_or_resume(self, name: str, stopped: bool) -> None:
        if stopped:
            self.carrier.pause(name)
        else:
            self.carrier.resume(name)
        self.calm_since = self.carrier.now

    @stateful.rule(name=st.sampled_from(NAMES[1:]))
    def leave(self, name: str) -> None:
        node = self.carrier.nodes[name]
        if node.running and not node.paused:
            self.carrier.leave(name)
            self.left_at.setdefault(name, self.carrier.now)

    @stateful.invariant()
    def nothing_goes_back(self) -> None:
        for name, node in self.carrier.nodes.items():
            seen = {"revision": node.config.revision}
            for (_, key), revision in node.config.revisions.items():
                seen[key] = revision
            for key, revision in seen.items():
                assert revision >= self.highest.get((name, key), 0)
                self.highest[(name, key)] = revision

    @stateful.invariant()
    def leaving_instances_are_not_handed_out(self) -> None:
        links = self.carrier
        if links.cut or links.loss or links.late:
            return
        for name, left_at in self.left_at.items():
            if not links.nodes[name].running:
                continue
            calm_s = links.now - max(left_at, self.calm_since)
            if calm_s < LEAVING_BOUND_S + CONVERGENCE_S * (
                self.calm_since > left_at
            ):
                continue
            for node in links.running().values():
                if not node.paused:
                    assert name not in handed_out(node, links.now)

    def teardown(self) -> None:
        links = self.carrier
        links.cut = set()
        links.loss = links.doubled = links.late = 0.0
        links.platform_up = True
        for name in NAMES:
            links.resume(name)
        links.run(CONVERGENCE_S)
        running = links.running()
        newest = links.changes[-1].revision if links.changes else 0
        for name, node in running.items():
            assert believed_alive(node) >= set(running), name
            assert node.config.revision == newest, name
            assert node.config.content_hash == running["i0"].config.content_hash
        links.run(DEATH_S)
        for name, node in running.items():
            assert believed_alive(node) == set(running), name
            states = {r.state for r in node.agent.membership.table.active()}
            assert states == {messages.State.ALIVE}, name
            usable = directory.eligible(node.agent.membership.table.active())
            assert {r.update.member.name for r in usable} == (
                set(running) - set(self.left_at)
            )
        digests = {n.agent.membership.table.digest for n in running.values()}
        assert len(digests) == 1


TestAgents = Agents.TestCase
TestAgents.settings = settings(
    max_examples=25, stateful_step_count=20, deadline=None, derandomize=True
)


def test_resumed_instance_notices_a_death() -> None:
    """Guards against suspicions that a pause prolongs, or a death undone.

    Found by the state machine: news from the time of the pause arrives before
    the first tick after it.
    """
    links = carrier.Carrier(NAMES, seed=1)
    links.run(3)
    links.kill("i1")
    links.pause("i2")
    links.run(18)
    links.resume("i2")
    links.run(CONVERGENCE_S)
    for node in links.running().values():
        assert believed_alive(node) == set(NAMES) - {"i1"}
