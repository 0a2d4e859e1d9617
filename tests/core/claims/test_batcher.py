"""Claims over several instances and a store with faults, against a model."""

from __future__ import annotations

import collections
import dataclasses
import uuid

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from yuccatally.core.claims import batcher
from yuccatally.core.claims import bucket
from yuccatally.core.claims import layout

UNIX = 1_790_000_000.0
KEYS = ("k0", "k0", "k0", "k1")
INSTANCES = 2
FAULTS = ("", "", "lost", "late", "failed", "stale", "twice")


@dataclasses.dataclass
class _Held:
    """A claim that a request won."""

    instance: int
    request: str
    key: str


class _Store:
    """Conditional updates with stale reads and writes that arrive late."""

    def __init__(self) -> None:
        self.history = [bucket.Bucket()]
        self.late: list[batcher.Write] = []

    def write(self, call: batcher.Write) -> int:
        if call.version != len(self.history) - 1:
            return 0
        self.history.append(call.content)
        return len(self.history) - 1


class _Machine(stateful.RuleBasedStateMachine):
    """Each request is decided once and each key's call runs at most once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = _Store()
        self.books = [
            batcher.ChangeBatcher(lambda: 0.5) for _ in range(INSTANCES)
        ]
        self.calls: list[batcher.Call | None] = [None] * INSTANCES
        self.tickets: dict[int, tuple[int, bucket.Acquire]] = {}
        self.verdicts: dict[int, bucket.Verdict] = {}
        self.won: list[_Held] = []
        self.executed: collections.Counter[str] = collections.Counter()
        self.ran: dict[str, str] = {}
        self.abandoned: set[str] = set()
        self.next = 0

    @stateful.rule(
        instance=st.integers(0, INSTANCES - 1),
        key=st.sampled_from(KEYS),
        patience=st.sampled_from([0.0, 0.3]),
    )
    def take(self, instance: int, key: str, patience: float) -> None:
        self.next += 1
        change = bucket.Acquire(key, f"r{self.next}", "same")
        self.tickets[self.next] = (instance, change)
        self.books[instance].add(
            self.next,
            change,
            self.now,
            give_up_at=self.now + 1.0,
            poll_until=self.now + patience,
        )

    @stateful.rule(instance=st.integers(0, INSTANCES - 1))
    def start_call(self, instance: int) -> None:
        if self.calls[instance] is None:
            call = self.books[instance].next_call(self.now, UNIX + self.now)
            self.collect(instance)
            if not isinstance(call, batcher.Wait):
                self.calls[instance] = call

    @stateful.rule(
        instance=st.integers(0, INSTANCES - 1),
        faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=4),
        age=st.integers(1, 3),
    )
    def make_calls(self, instance: int, faults: list[str], age: int) -> None:
        for fault in faults:
            self.start_call(instance)
            self.end_call(instance, fault, age)

    def end_call(self, instance: int, fault: str, age: int) -> None:
        call, machine = self.calls[instance], self.books[instance]
        self.calls[instance] = None
        match call:
            case batcher.Read() if fault == "failed":
                machine.record_failure(self.now)
            case batcher.Read():
                newest = len(self.store.history) - 1
                version = max(0, newest - age) if fault == "stale" else newest
                machine.record_read(self.store.history[version], version)
            case batcher.Write():
                self.end_write(instance, call, fault)
        self.collect(instance)

    def end_write(self, instance: int, call: batcher.Write, fault: str) -> None:
        machine = self.books[instance]
        if fault == "failed":
            machine.record_failure(self.now)
        elif fault == "late":
            self.store.late.append(call)
            machine.record_uncertain_write(self.now)
        else:
            version = self.store.write(call)
            if fault == "lost":
                machine.record_uncertain_write(self.now)
            elif fault == "twice" or not version:
                machine.record_conflict(self.now)
            else:
                machine.record_write(version, self.now)

    @stateful.precondition(lambda self: self.store.late)
    @stateful.rule()
    def late_write_arrives(self) -> None:
        self.store.write(self.store.late.pop(0))

    @stateful.rule(seconds=st.sampled_from([0.01, 0.2, 1.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.precondition(lambda self: self.won)
    @stateful.rule(
        pick=st.integers(0, 9), end=st.sampled_from(["done", "lost", "unsent"])
    )
    def use_claim(self, pick: int, end: str) -> None:
        """Runs at any time after the claim, like an instance that paused."""
        held = self.won.pop(pick % len(self.won))
        machine = self.books[held.instance]
        if end == "unsent":
            change: bucket.Change = bucket.Release(held.key, held.request)
        else:
            self.executed[held.key] += 1
            self.ran[held.key] = held.request
            reply = bucket.Reply(200, (), held.request.encode())
            change = bucket.Settle(held.key, held.request, "same", reply)
        if end == "lost":
            self.abandoned.add(held.request)
            return
        self.next += 1
        machine.add(self.next, change, self.now, due_at=self.now + 0.05)

    @stateful.rule(instance=st.integers(0, INSTANCES - 1))
    def crash(self, instance: int) -> None:
        machine = self.books[instance]
        gone = {e.change.request for e in machine.pending.values()}
        gone |= {h.request for h in self.won if h.instance == instance}
        self.abandoned |= gone
        call = self.calls[instance]
        if isinstance(call, batcher.Write):
            self.store.late.append(call)
        self.won = [h for h in self.won if h.instance != instance]
        self.books[instance] = batcher.ChangeBatcher(lambda: 0.5)
        self.calls[instance] = None

    @stateful.invariant()
    def no_call_ran_twice(self) -> None:
        assert all(count <= 1 for count in self.executed.values())

    def collect(self, instance: int) -> None:
        for answer in self.books[instance].pop_decisions():
            if answer.change_id not in self.tickets:
                continue
            assert answer.change_id not in self.verdicts
            self.verdicts[answer.change_id] = answer.verdict
            where, change = self.tickets[answer.change_id]
            assert where == instance
            match answer.verdict:
                case bucket.Won():
                    assert change.key not in self.ran
                    self.won.append(_Held(instance, change.request, change.key))
                case bucket.Replay(claim=claim):
                    assert claim.request == self.ran[change.key]
                    assert claim.reply is not None
                    assert claim.reply.body == claim.request.encode()
                case bucket.Held(claim=claim):
                    assert claim.request != change.request

    def teardown(self) -> None:
        """With a healthy store, nothing stays undecided or falsely claimed."""
        for _ in range(200):
            for instance in range(INSTANCES):
                self.start_call(instance)
                self.end_call(instance, "", 1)
            self.now += 0.1
        assert not any(b.pending for b in self.books)
        while self.store.late:
            self.late_write_arrives()
        alive = self.abandoned | {h.request for h in self.won}
        for claim in self.store.history[-1].claims.values():
            if claim.state is bucket.ClaimState.CLAIMED:
                assert claim.request in alive
        self.no_call_ran_twice()


TestMachine = _Machine.TestCase
TestMachine.settings = settings(
    max_examples=300, stateful_step_count=50, deadline=None
)


def test_cached_bucket_costs_one_write_and_grouping_shares_it() -> None:
    """Guards against a read or a write of its own for each claim."""
    machine = batcher.ChangeBatcher(lambda: 0.5)
    machine.record_read(bucket.Bucket(), 4)
    for change_id in range(5):
        take = bucket.Acquire(f"k{change_id}", f"r{change_id}", "d")
        machine.add(change_id, take, 0.0)
    call = machine.next_call(0.0, UNIX)
    assert isinstance(call, batcher.Write)
    assert call.version == 4
    machine.record_write(5, 0.0)
    assert [a.verdict for a in machine.pop_decisions()] == [bucket.Won()] * 5
    late = bucket.Settle("k0", "r0", "d", bucket.Reply(200))
    machine.add(9, late, 1.0, due_at=1.05)
    assert machine.next_call(1.0, UNIX) == batcher.Wait(1.05)
    machine.add(10, bucket.Acquire("k9", "r9", "d"), 1.0)
    shared = machine.next_call(1.0, UNIX)
    assert isinstance(shared, batcher.Write)
    assert shared.content.claims["k0"].state is bucket.ClaimState.DONE


def merged(
    claims: dict[str, bucket.Claim], *changes: bucket.Change, at: float = UNIX
) -> bucket.Merged:
    return bucket.merge(bucket.Bucket(claims), changes, at)


def test_full_bucket_drops_answers_then_refuses_but_keeps_claims() -> None:
    """Guards against an object over 1 MB and against dropping a claim."""
    reply = bucket.Reply(200, (), b"x" * 1200)
    count = bucket.MAX_BUCKET_BYTES // (bucket.CLAIM_BYTES + reply.size_bytes)
    done = {
        f"k{i}": bucket.Claim("r", "d", bucket.ClaimState.DONE, UNIX + i, reply)
        for i in range(count)
    }
    bare = bucket.Claim("r", "d", bucket.ClaimState.CLAIMED, UNIX)
    room = bucket.MAX_BUCKET_BYTES - sum(c.size_bytes for c in done.values())
    fill = room // bucket.CLAIM_BYTES
    done |= {f"b{i}": bare for i in range(fill)}
    result = merged(done, bucket.Acquire("new", "r2", "d"))
    assert result.verdicts == (bucket.Won(),)
    assert result.bucket.claims["k0"].reply == bucket.Reply(200)
    assert len(result.bucket.claims) == count + fill + 1
    most = bucket.MAX_BUCKET_BYTES // bucket.CLAIM_BYTES
    claimed = {f"k{i}": bare for i in range(most)}
    result = merged(claimed, bucket.Acquire("new", "r2", "d"))
    assert result.verdicts == (bucket.Full(),)
    assert len(result.bucket.claims) == most


CLAIMED, DONE = bucket.ClaimState.CLAIMED, bucket.ClaimState.DONE
RELEASED = bucket.ClaimState.RELEASED
OK = bucket.Reply(200)


@pytest.mark.parametrize(
    ("change", "found", "state_after"),
    [
        (bucket.Release("k", "r1"), None, None),
        (bucket.Release("k", "r1"), ("r1", CLAIMED), RELEASED),
        (bucket.Release("k", "r1"), ("r2", CLAIMED), CLAIMED),
        (bucket.Settle("k", "r1", "d", OK), None, DONE),
        (bucket.Settle("k", "r1", "d", OK), ("r1", CLAIMED), DONE),
        (bucket.Settle("k", "r1", "d", OK), ("r2", CLAIMED), CLAIMED),
    ],
)
def test_settlement_and_release_are_confirmed_by_a_write(
    change: bucket.Change,
    found: tuple[str, bucket.ClaimState] | None,
    state_after: bucket.ClaimState | None,
) -> None:
    """Guards against a stale read that hides the own claim.

    Without the write, a claim that was released stays claimed, and so does
    one whose write arrives after the release.
    """
    claims = {}
    if found is not None:
        claims["k"] = bucket.Claim(found[0], "d", found[1], UNIX)
    result = merged(claims, change)
    assert result.dirty
    after = result.bucket.claims.get("k")
    assert (after.state if after else None) == state_after
    if state_after in (DONE, RELEASED):
        assert not merged(dict(result.bucket.claims), change).dirty


def test_lost_write_is_read_back_and_released_when_given_up() -> None:
    """Guards against a claim that stays because its write arrived late."""
    machine = batcher.ChangeBatcher(lambda: 0.5)
    machine.record_read(bucket.Bucket(), 3)
    machine.add(1, bucket.Acquire("k", "r1", "d"), 0.0, give_up_at=1.0)
    assert isinstance(machine.next_call(0.0, UNIX), batcher.Write)
    machine.record_uncertain_write(0.1)
    assert isinstance(machine.next_call(0.2, UNIX), batcher.Read)
    machine.record_failure(0.99)
    assert isinstance(machine.next_call(1.0, UNIX), batcher.Wait)
    assert [a.verdict for a in machine.pop_decisions()] == [bucket.GaveUp()]
    assert isinstance(machine.next_call(5.0, UNIX), batcher.Read)
    machine.record_read(bucket.Bucket(), 3)
    fence = machine.next_call(5.1, UNIX)
    assert fence == batcher.Write(bucket.Bucket(), 3)


@pytest.mark.parametrize(
    ("age_s", "kept"),
    [
        (layout.RETENTION_S, True),
        (layout.RETENTION_S + layout.CLOCK_MARGIN_S, True),
        (layout.RETENTION_S + layout.CLOCK_MARGIN_S + 1, False),
    ],
)
def test_claim_outlives_its_key(age_s: float, kept: bool) -> None:
    """Guards against a key that is accepted after its claim has expired."""
    claim = bucket.Claim("r1", "d", bucket.ClaimState.CLAIMED, UNIX)
    result = merged(
        {"k": claim}, bucket.Acquire("k", "r2", "d"), at=UNIX + age_s
    )
    assert isinstance(result.verdicts[0], bucket.Held) is kept


def key_at(unix: float) -> str:
    number = int(unix * 1000) << 80 | 7 << 76 | 2 << 62 | 12345
    return str(uuid.UUID(int=number))


@pytest.mark.parametrize(
    ("key", "bucket_prefix"),
    [
        (key_at(UNIX), "window-"),
        (key_at(UNIX - layout.RETENTION_S + 1), "window-"),
        (key_at(UNIX - layout.RETENTION_S - 1), None),
        (key_at(UNIX + layout.MAX_KEY_AHEAD_S + 1), None),
        (str(uuid.UUID(int=1, version=4)), "opaque-"),
        ("order-17", "opaque-"),
    ],
)
def test_key_with_a_time_outside_retention_is_refused(
    key: str, bucket_prefix: str | None
) -> None:
    """Guards against a second call once the first one's claim has expired."""
    found = layout.locate("reservations", "desk", key, UNIX)
    if bucket_prefix is None:
        assert isinstance(found, layout.RejectedKey)
    else:
        assert isinstance(found, layout.Location)
        assert found.bucket.startswith(bucket_prefix)
        upper = layout.locate("reservations", "other", key, UNIX)
        assert isinstance(upper, layout.Location)
        assert upper.key != found.key
