"""Claims of several instances in a store with faults, checked by a model."""

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
class _WonClaim:
    """A claim that a request won."""

    instance: int
    request: str
    key: str


class _Store:
    """Store with conditional updates, stale reads and delayed writes."""

    def __init__(self) -> None:
        self.history = [bucket.Bucket()]
        self.delayed_writes: list[batcher.Write] = []

    def write(self, call: batcher.Write) -> int:
        if call.version != len(self.history) - 1:
            return 0
        self.history.append(call.content)
        return len(self.history) - 1


class _Machine(stateful.RuleBasedStateMachine):
    """Checks that each key's call runs at most once.

    Each request must also be decided exactly once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = _Store()
        self.batchers = [
            batcher.ChangeBatcher(lambda: 0.5) for _ in range(INSTANCES)
        ]
        self.calls: list[batcher.Call | None] = [None] * INSTANCES
        self.requested: dict[int, tuple[int, bucket.Acquire]] = {}
        self.verdicts: dict[int, bucket.Verdict] = {}
        self.won: list[_WonClaim] = []
        self.executed: collections.Counter[str] = collections.Counter()
        self.executed_by: dict[str, str] = {}
        self.abandoned: set[str] = set()
        self.last_id = 0

    @stateful.rule(
        instance=st.integers(0, INSTANCES - 1),
        key=st.sampled_from(KEYS),
        poll_s=st.sampled_from([0.0, 0.3]),
    )
    def acquire(self, instance: int, key: str, poll_s: float) -> None:
        self.last_id += 1
        change = bucket.Acquire(key, f"r{self.last_id}", "same")
        self.requested[self.last_id] = (instance, change)
        self.batchers[instance].add(
            self.last_id,
            change,
            self.now,
            give_up_at=self.now + 1.0,
            poll_until=self.now + poll_s,
        )

    @stateful.rule(instance=st.integers(0, INSTANCES - 1))
    def start_call(self, instance: int) -> None:
        if self.calls[instance] is None:
            call = self.batchers[instance].next_call(self.now, UNIX + self.now)
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
        call, changes = self.calls[instance], self.batchers[instance]
        self.calls[instance] = None
        match call:
            case batcher.Read() if fault == "failed":
                changes.record_failure(self.now)
            case batcher.Read():
                newest = len(self.store.history) - 1
                version = max(0, newest - age) if fault == "stale" else newest
                changes.record_read(self.store.history[version], version)
            case batcher.Write():
                self.end_write(instance, call, fault)
        self.collect(instance)

    def end_write(self, instance: int, call: batcher.Write, fault: str) -> None:
        changes = self.batchers[instance]
        if fault == "failed":
            changes.record_failure(self.now)
        elif fault == "late":
            self.store.delayed_writes.append(call)
            changes.record_uncertain_write(self.now)
        else:
            version = self.store.write(call)
            if fault == "lost":
                changes.record_uncertain_write(self.now)
            elif fault == "twice" or not version:
                changes.record_conflict(self.now)
            else:
                changes.record_write(version, self.now)

    @stateful.precondition(lambda self: self.store.delayed_writes)
    @stateful.rule()
    def late_write_arrives(self) -> None:
        self.store.write(self.store.delayed_writes.pop(0))

    @stateful.rule(seconds=st.sampled_from([0.01, 0.2, 1.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.precondition(lambda self: self.won)
    @stateful.rule(
        pick=st.integers(0, 9), end=st.sampled_from(["done", "lost", "unsent"])
    )
    def finish_claim(self, pick: int, end: str) -> None:
        """Ends a claim at any later time, like an instance that was paused."""
        claim = self.won.pop(pick % len(self.won))
        changes = self.batchers[claim.instance]
        if end == "unsent":
            change: bucket.Change = bucket.Release(claim.key, claim.request)
        else:
            self.executed[claim.key] += 1
            self.executed_by[claim.key] = claim.request
            reply = bucket.Reply(200, (), claim.request.encode())
            change = bucket.Settle(claim.key, claim.request, "same", reply)
        if end == "lost":
            self.abandoned.add(claim.request)
            return
        self.last_id += 1
        changes.add(self.last_id, change, self.now, due_at=self.now + 0.05)

    @stateful.rule(instance=st.integers(0, INSTANCES - 1))
    def crash(self, instance: int) -> None:
        changes = self.batchers[instance]
        lost = {e.change.request for e in changes.pending.values()}
        lost |= {h.request for h in self.won if h.instance == instance}
        self.abandoned |= lost
        call = self.calls[instance]
        if isinstance(call, batcher.Write):
            self.store.delayed_writes.append(call)
        self.won = [h for h in self.won if h.instance != instance]
        self.batchers[instance] = batcher.ChangeBatcher(lambda: 0.5)
        self.calls[instance] = None

    @stateful.invariant()
    def no_call_ran_twice(self) -> None:
        assert all(count <= 1 for count in self.executed.values())

    def collect(self, instance: int) -> None:
        for answer in self.batchers[instance].pop_decisions():
            if answer.change_id not in self.requested:
                continue
            assert answer.change_id not in self.verdicts
            self.verdicts[answer.change_id] = answer.verdict
            requester, change = self.requested[answer.change_id]
            assert requester == instance
            match answer.verdict:
                case bucket.Won():
                    assert change.key not in self.executed_by
                    self.won.append(
                        _WonClaim(instance, change.request, change.key)
                    )
                case bucket.Replay(claim=claim):
                    assert claim.request == self.executed_by[change.key]
                    assert claim.reply is not None
                    assert claim.reply.body == claim.request.encode()
                case bucket.Held(claim=claim):
                    assert claim.request != change.request

    def teardown(self) -> None:
        """Checks that a healthy store leaves no pending change or stray claim.

        A stray claim is held by a request that has neither won nor been
        abandoned.
        """
        for _ in range(200):
            for instance in range(INSTANCES):
                self.start_call(instance)
                self.end_call(instance, "", 1)
            self.now += 0.1
        assert not any(b.pending for b in self.batchers)
        while self.store.delayed_writes:
            self.late_write_arrives()
        may_hold = self.abandoned | {h.request for h in self.won}
        for claim in self.store.history[-1].claims.values():
            if claim.state is bucket.ClaimState.CLAIMED:
                assert claim.request in may_hold
        self.no_call_ran_twice()


TestMachine = _Machine.TestCase
TestMachine.settings = settings(
    max_examples=300, stateful_step_count=50, deadline=None
)


def test_cached_bucket_costs_one_write_and_grouping_shares_it() -> None:
    """Guards against a separate read or write for each claim."""
    changes = batcher.ChangeBatcher(lambda: 0.5)
    changes.record_read(bucket.Bucket(), 4)
    for change_id in range(5):
        acquisition = bucket.Acquire(f"k{change_id}", f"r{change_id}", "d")
        changes.add(change_id, acquisition, 0.0)
    call = changes.next_call(0.0, UNIX)
    assert isinstance(call, batcher.Write)
    assert call.version == 4
    changes.record_write(5, 0.0)
    assert [a.verdict for a in changes.pop_decisions()] == [bucket.Won()] * 5
    late = bucket.Settle("k0", "r0", "d", bucket.Reply(200))
    changes.add(9, late, 1.0, due_at=1.05)
    assert changes.next_call(1.0, UNIX) == batcher.Wait(1.05)
    changes.add(10, bucket.Acquire("k9", "r9", "d"), 1.0)
    shared = changes.next_call(1.0, UNIX)
    assert isinstance(shared, batcher.Write)
    assert shared.content.claims["k0"].state is bucket.ClaimState.DONE


def merged(
    claims: dict[str, bucket.Claim], *changes: bucket.Change, at: float = UNIX
) -> bucket.MergeResult:
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
    free_bytes = bucket.MAX_BUCKET_BYTES - sum(
        c.size_bytes for c in done.values()
    )
    fill = free_bytes // bucket.CLAIM_BYTES
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
    ("change", "stored", "state_after"),
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
    stored: tuple[str, bucket.ClaimState] | None,
    state_after: bucket.ClaimState | None,
) -> None:
    """Guards against a stale read that hides the request's own claim.

    Without a write, a released claim would stay claimed in the store, and so
    would a claim whose write arrives after the release.
    """
    claims = {}
    if stored is not None:
        claims["k"] = bucket.Claim(stored[0], "d", stored[1], UNIX)
    result = merged(claims, change)
    assert result.needs_write
    after = result.bucket.claims.get("k")
    assert (after.state if after else None) == state_after
    if state_after in (DONE, RELEASED):
        assert not merged(dict(result.bucket.claims), change).needs_write


def test_lost_write_is_read_back_and_released_when_given_up() -> None:
    """Guards against a stray claim whose write arrived after giving up."""
    changes = batcher.ChangeBatcher(lambda: 0.5)
    changes.record_read(bucket.Bucket(), 3)
    changes.add(1, bucket.Acquire("k", "r1", "d"), 0.0, give_up_at=1.0)
    assert isinstance(changes.next_call(0.0, UNIX), batcher.Write)
    changes.record_uncertain_write(0.1)
    assert isinstance(changes.next_call(0.2, UNIX), batcher.Read)
    changes.record_failure(0.99)
    assert isinstance(changes.next_call(1.0, UNIX), batcher.Wait)
    assert [a.verdict for a in changes.pop_decisions()] == [bucket.GaveUp()]
    assert isinstance(changes.next_call(5.0, UNIX), batcher.Read)
    changes.record_read(bucket.Bucket(), 3)
    invalidating_write = changes.next_call(5.1, UNIX)
    assert invalidating_write == batcher.Write(bucket.Bucket(), 3)


@pytest.mark.parametrize(
    ("age_s", "retained"),
    [
        (layout.RETENTION_S, True),
        (layout.RETENTION_S + layout.CLOCK_MARGIN_S, True),
        (layout.RETENTION_S + layout.CLOCK_MARGIN_S + 1, False),
    ],
)
def test_claim_outlives_its_key(age_s: float, retained: bool) -> None:
    """Guards against accepting a key whose claim has expired."""
    claim = bucket.Claim("r1", "d", bucket.ClaimState.CLAIMED, UNIX)
    result = merged(
        {"k": claim}, bucket.Acquire("k", "r2", "d"), at=UNIX + age_s
    )
    assert isinstance(result.verdicts[0], bucket.Held) is retained


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
    """Guards against a second call after the claim of the first expired."""
    location = layout.locate("reservations", "desk", key, UNIX)
    if bucket_prefix is None:
        assert isinstance(location, layout.RejectedKey)
    else:
        assert isinstance(location, layout.Location)
        assert location.bucket.startswith(bucket_prefix)
        other = layout.locate("reservations", "other", key, UNIX)
        assert isinstance(other, layout.Location)
        assert other.key != location.key
