"""Tests the lease with pauses, lost replies and outages of the store."""

from __future__ import annotations

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from yuccatally.core.control import lease

TERM_S = 6.0


@dataclasses.dataclass
class Call:
    """A write in progress, which may have taken effect already."""

    write: lease.Write
    started_at: float


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Candidates that compete for one object with conditional updates."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.record: lease.Record | None = None
        self.version = 0
        self.fences: list[int] = []
        names = "abc"
        self.candidates = {n: lease.Lease(n, TERM_S) for n in names}
        self.calls: dict[str, Call] = {}

    @stateful.rule(seconds=st.floats(0.1, 10.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(
        name=st.sampled_from("abc"),
        candidate=st.booleans(),
        fate=st.sampled_from(["ok", "ok", "lost", "unwritten", "late"]),
    )
    def step(self, name: str, candidate: bool, fate: str) -> None:
        """Makes a call; a write may be lost before or after it takes effect."""
        self._answer(name)
        member = self.candidates[name]
        match member.next_call(self.now, candidate):
            case lease.Read():
                member.apply_read(self.record, self.version, self.now)
            case lease.Write() as write:
                call = Call(write, self.now)
                if fate == "late":
                    self.calls[name] = call
                elif fate == "unwritten":
                    member.apply_lost_reply(write.record, self.now)
                else:
                    self._write(name, call, lost=fate == "lost")

    @stateful.rule(name=st.sampled_from("abc"))
    def answer_late(self, name: str) -> None:
        """Completes a pending write whose sender was paused."""
        self._answer(name)

    @stateful.invariant()
    def at_most_one_holder(self) -> None:
        valid = [n for n, m in self.candidates.items() if m.is_valid(self.now)]
        assert len(valid) <= 1, valid

    @stateful.invariant()
    def fences_grow_with_each_holder(self) -> None:
        assert self.fences == sorted(set(self.fences))

    def _answer(self, name: str) -> None:
        call = self.calls.pop(name, None)
        if call is not None:
            self._write(name, call, lost=False)

    def _write(self, name: str, call: Call, lost: bool) -> None:
        member = self.candidates[name]
        record = call.write.record
        if call.write.version != self.version:
            member.apply_conflict()
            return
        previous = self.record
        self.record = record
        self.version += 1
        if record.holder and (
            previous is None or previous.fence != record.fence
        ):
            self.fences.append(record.fence)
        if lost:
            member.apply_lost_reply(record, call.started_at)
        else:
            member.apply_write(record, self.version, call.started_at)


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)


def test_paused_holder_stops_before_another_can_start() -> None:
    """Guards against orders of a holder that was paused beyond its term."""
    first, second = lease.Lease("a", TERM_S), lease.Lease("b", TERM_S)
    first.apply_read(None, 0, 0.0)
    write = first.next_call(0.0, candidate=True)
    assert isinstance(write, lease.Write)
    first.apply_write(write.record, 1, 0.0)
    second.apply_read(write.record, 1, 0.1)
    assert first.is_valid(3.9)
    assert not first.is_valid(TERM_S * lease.USABLE_RATIO)
    assert isinstance(second.next_call(6.0, candidate=True), lease.Read)
    second.apply_read(write.record, 1, 6.0)
    taken = second.next_call(6.2, candidate=True)
    assert isinstance(taken, lease.Write)
    assert taken.record.fence == write.record.fence + 1


def test_own_write_is_recognised_after_a_lost_reply() -> None:
    """Guards against a holder that waits a full term for its own lease."""
    member = lease.Lease("a", TERM_S)
    member.apply_read(None, 0, 0.0)
    write = member.next_call(0.0, candidate=True)
    assert isinstance(write, lease.Write)
    member.apply_lost_reply(write.record, 0.0)
    assert not member.is_valid(0.1)
    assert isinstance(member.next_call(0.1, candidate=True), lease.Read)
    member.apply_read(write.record, 1, 0.2)
    assert member.is_valid(0.3)


def test_unavailable_platform_is_not_called_at_once() -> None:
    """Guards against a candidate that calls ten times a second.

    An available lease was written again at every tick during an outage.
    """
    candidate = lease.Lease("a")
    candidate.apply_read(None, 0, 0.0)
    assert isinstance(candidate.next_call(0.0, True), lease.Write)
    candidate.apply_unavailable(0.0, 1.0)
    assert candidate.next_call(0.5, True) is None
    assert isinstance(candidate.next_call(1.0, True), lease.Write)
