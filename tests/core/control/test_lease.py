"""Tests the lease with pauses, lost replies and outages of the store."""

from __future__ import annotations

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from yuccatally.core.control import lease

TERM_S = 6.0
VERSIONS_PER_EPOCH = 10_000


@dataclasses.dataclass
class Call:
    """A write in progress, which may have taken effect already."""

    write: lease.Write
    started_at: float


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Candidates that compete for one object with conditional updates.

    The store may be restored from a copy of the object, whose version is then
    one of a later epoch. All candidates have called it before.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.record: lease.Record | None = None
        self.version = 0
        self.fences: list[int] = []
        names = "abc"
        self.epoch = 0
        self.saved: tuple[lease.Record | None, int] = (None, 0)
        self.candidates = {n: lease.Lease(n, TERM_S) for n in names}
        for member in self.candidates.values():
            member.apply_epoch(0, 0.0)
        self.calls: dict[str, Call] = {}

    @stateful.rule(seconds=st.floats(0.1, 10.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule()
    def save(self) -> None:
        """Copies the store."""
        self.saved = (self.record, self.version % VERSIONS_PER_EPOCH)

    @stateful.rule()
    def restore(self) -> None:
        """Restores the latest copy; versions are given out again."""
        self.epoch += 1
        self.record, version = self.saved
        self.version = 0
        if self.record is not None:
            self.version = self.epoch * VERSIONS_PER_EPOCH + version

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
                member.apply_epoch(self.epoch, self.now)
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

    @stateful.invariant()
    def only_written_fences_are_used(self) -> None:
        for member in self.candidates.values():
            assert not member.is_valid(self.now) or member.fence in self.fences

    def _answer(self, name: str) -> None:
        call = self.calls.pop(name, None)
        if call is not None:
            self._write(name, call, lost=False)

    def _write(self, name: str, call: Call, lost: bool) -> None:
        member = self.candidates[name]
        record = call.write.record
        member.apply_epoch(self.epoch, self.now)
        if call.write.version != self.version:
            member.apply_conflict()
            return
        previous = self.record
        self.record = record
        if not self.version:
            self.version = self.epoch * VERSIONS_PER_EPOCH
        self.version += 1
        # A number of an earlier epoch is raised before it is used.
        is_usable = record.fence > self.epoch * lease.FENCES_PER_EPOCH
        if (
            record.holder
            and is_usable
            and (previous is None or previous.fence != record.fence)
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


def _holder(name: str = "a") -> lease.Lease:
    """Returns a candidate that has acquired the lease at time 0."""
    member = lease.Lease(name, TERM_S)
    member.apply_epoch(0, 0.0)
    member.apply_read(None, 0, 0.0)
    write = member.next_call(0.0, candidate=True)
    assert isinstance(write, lease.Write)
    member.apply_write(write.record, 1, 0.0)
    return member


@pytest.mark.parametrize(
    "copy", [None, lease.Record("other", 1, 5), lease.Record("", 1, 5)]
)
def test_holder_goes_on_after_a_restore(copy: lease.Record | None) -> None:
    """Guards against orders that stop, or whose number is given out twice."""
    member = _holder()
    used = member.fence
    member.apply_epoch(1, 2.0)
    assert isinstance(member.next_call(2.0, candidate=True), lease.Read)
    member.apply_read(copy, VERSIONS_PER_EPOCH + 1 if copy else 0, 2.1)
    write = member.next_call(2.1, candidate=True)
    assert isinstance(write, lease.Write)
    assert write.record.fence > max(used, copy.fence if copy else 0)
    member.apply_write(write.record, VERSIONS_PER_EPOCH + 2, 2.1)
    assert member.is_valid(2.2)


def test_other_candidates_wait_for_a_term_after_a_restore() -> None:
    """Guards against two holders when a store has lost its lease object."""
    member = lease.Lease("b", TERM_S)
    member.apply_epoch(0, 0.0)
    member.apply_epoch(1, 2.0)
    member.apply_read(None, 0, 2.0)
    assert not isinstance(member.next_call(7.9, candidate=True), lease.Write)
    member.apply_read(None, 0, 8.0)
    assert isinstance(member.next_call(8.0, candidate=True), lease.Write)


def test_holder_of_the_copy_is_given_a_term() -> None:
    """Guards against a candidate that takes over from the copy's holder."""
    member = _holder()
    member.apply_epoch(1, 5.0)
    # Its own term has ended before the restore.
    member.apply_read(lease.Record("other", 1, 5), VERSIONS_PER_EPOCH, 5.0)
    assert not isinstance(member.next_call(10.9, candidate=True), lease.Write)


def test_former_holder_leaves_a_lease_of_the_new_epoch() -> None:
    """Guards against a former holder that takes over from its successor."""
    member = _holder()
    member.apply_epoch(1, 2.0)
    taken = lease.Record("other", lease.FENCES_PER_EPOCH + 1, 1)
    member.apply_read(taken, VERSIONS_PER_EPOCH + 1, 2.1)
    assert not isinstance(member.next_call(2.1, candidate=True), lease.Write)
