"""Content of the leader's state that heartbeats leave out."""

from __future__ import annotations

import msgspec
import pytest

from yuccatally.core.forwarding import instance_settings
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import suspicions
from yuccatally.forwarding import leader_state
from yuccatally.forwarding import state
from yuccatally.peers import heartbeats

NOW = 100.0
PLAN = pipelines.Plan(
    1,
    (pipelines.Pipeline("p", (pipelines.Stage("e1", 5, 0, 4),)),),
    fence=3,
)
ENGINE = suspicions.Incarnation("e2", 7)


def _tracker(name: str) -> leader_state.LeaderStateTracker:
    settings = instance_settings.InstanceSettings(
        name=name,
        data_centre="a",
        region="r",
        regions={},
        listen=instance_settings.ListenAddresses("", "", "", ""),
        seeds=(),
        store="",
        bounds=instance_settings.Bounds(),
    )
    return leader_state.LeaderStateTracker(state.InstanceState(settings))


@pytest.fixture
def leader() -> leader_state.LeaderStateTracker:
    """A leader with a plan that is not stored and a failed engine."""
    created = _tracker("n1")
    created.is_leader, created.fence = True, 3
    created.unsaved_plans["model"] = PLAN
    created.failed_until[ENGINE] = NOW + 1000.0
    return created


def _exchange(
    sender: leader_state.LeaderStateTracker,
    receiver: leader_state.LeaderStateTracker,
    now: float,
) -> heartbeats.LeaderState | None:
    """Sends a heartbeat and its reply; returns what the heartbeat had."""
    names = sender.state.settings.name, receiver.state.settings.name
    for source, target in ((sender, receiver), (receiver, sender)):
        sent = source.current_for(target.state.settings.name, now)
        target.record_known(source.state.settings.name, sent)
        target.apply(sent)
        if source is sender:
            first = sent
    assert len(set(names)) == 2
    return first


def test_content_is_sent_once_and_stays_known(
    leader: leader_state.LeaderStateTracker,
) -> None:
    """Guards against plans in each heartbeat, which occupy small links."""
    follower = _tracker("n2")
    first = _exchange(leader, follower, NOW)
    repeat = _exchange(leader, follower, NOW + 1.0)
    assert first.plans == {"model": PLAN}
    assert repeat.is_repeat
    assert (repeat.plans, repeat.failed) == ({}, ())
    assert follower.state.plans == {"model": PLAN}
    known = follower.current(NOW + 1.0)
    assert (known.plans, known.failed) == ({"model": PLAN}, (ENGINE,))
    assert known.sequence == repeat.sequence
    assert not known.is_repeat


def test_changed_content_is_sent_again(
    leader: leader_state.LeaderStateTracker,
) -> None:
    """Guards against followers that keep plans and failed engines of before."""
    follower = _tracker("n2")
    _exchange(leader, follower, NOW)
    later = msgspec.structs.asdict(_exchange(leader, follower, NOW + 0.2))
    assert later["is_repeat"]
    leader.failed_until.clear()
    changed = _exchange(leader, follower, NOW + 0.4)
    assert (changed.is_repeat, changed.failed) == (False, ())
    assert follower.current(NOW + 0.4).failed == ()


def test_repeat_without_its_content_is_not_applied(
    leader: leader_state.LeaderStateTracker,
) -> None:
    """Guards against a restarted follower that takes a repeat for all."""
    _exchange(leader, _tracker("n2"), NOW)
    restarted = _tracker("n2")
    restarted.apply(leader.current_for("n2", NOW + 0.2))
    assert restarted.current(NOW + 0.2) is None
    leader.record_known("n2", restarted.current(NOW + 0.2))
    assert _exchange(leader, restarted, NOW + 0.4).plans == {"model": PLAN}


def test_new_leader_sends_its_own_content(
    leader: leader_state.LeaderStateTracker,
) -> None:
    """Guards against a new leader whose first content is taken for known."""
    follower, successor = _tracker("n2"), _tracker("n3")
    _exchange(leader, follower, NOW)
    successor.is_leader, successor.fence = True, 4
    sent = _exchange(successor, follower, NOW + 0.2)
    assert not sent.is_repeat
    assert follower.current(NOW + 0.2).holder == "n3"


def test_version_without_content_numbers_gets_everything(
    leader: leader_state.LeaderStateTracker,
) -> None:
    """Guards against repeats to instances that do not know of them."""
    _exchange(leader, _tracker("n2"), NOW)
    old = heartbeats.LeaderState("n1", 3, 1, plans={"model": PLAN})
    leader.record_known("n2", old)
    assert not leader.current_for("n2", NOW + 0.2).is_repeat
    follower = _tracker("n2")
    follower.apply(msgspec.structs.replace(old, holder="n9", fence=9))
    assert follower.state.plans == {"model": PLAN}
