"""Batches changes of one bucket so that a call with a key runs at most once.

A claim is never transferred to another request. An instance that was paused
between claim and call is therefore still the only one that may send the call,
and no fencing number is needed.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

from yuccatally.core.claims import bucket

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_MIN_S = 0.1
POLL_MAX_S = 0.5
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0
CONFLICT_BACKOFF_MIN_S = 0.002
CONFLICT_BACKOFF_MAX_S = 0.1
READ_FIRST_RATIO = 0.25
STALENESS_SMOOTHING_RATIO = 0.1


class StalenessEstimate:
    """How often other instances change a bucket between two own writes.

    A write based on a stale copy costs a failed write and a read more, while
    reading first always costs a read. The platform permits several times more
    reads than writes, so the threshold for reading first is low.

    Attributes:
        estimate: Share of copies that were found stale recently.
    """

    def __init__(self) -> None:
        self.estimate = 0.0

    @property
    def read_first(self) -> bool:
        """Whether to read before writing from a cached copy."""
        return self.estimate > READ_FIRST_RATIO

    def observe(self, stale: bool) -> None:
        """Records whether a copy was stale."""
        self.estimate += STALENESS_SMOOTHING_RATIO * (stale - self.estimate)


@dataclasses.dataclass(frozen=True)
class Read:
    """Read the bucket."""


@dataclasses.dataclass(frozen=True)
class Write:
    """Write the bucket if it still has the given version.

    Attributes:
        content: New content.
        version: Expected version; 0 if the object must not exist.
    """

    content: bucket.Bucket
    version: int


@dataclasses.dataclass(frozen=True)
class Wait:
    """Make no call until a change is added or a time is reached.

    Attributes:
        until: Monotonic time in seconds; infinite if nothing is pending.
    """

    until: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """The verdict on a change."""

    change_id: int
    verdict: bucket.Verdict


Call = Read | Write | Wait


class _Phase(enum.Enum):
    IDLE = enum.auto()
    READING = enum.auto()
    WRITING = enum.auto()


@dataclasses.dataclass
class _PendingChange:
    change_id: int
    change: bucket.Change
    due_at: float
    min_read_at: float
    give_up_at: float
    poll_until: float
    poll_delay_s: float = POLL_MIN_S
    held: bucket.Held | None = None
    # A write of the claim was issued and is not known to have taken effect.
    possibly_written: bool = False


class ChangeBatcher:
    """State machine that applies pending changes to one bucket.

    The caller makes the call that ``next_call`` returns, reports its result
    and collects verdicts with ``pop_decisions``. One call is outstanding at a
    time.

    Attributes:
        pending: Undecided changes by id.
        content: Last content read or written; None if it has to be read.
        version: Version of ``content``.
        size_bytes: Encoded length of ``content`` in bytes, estimated.
    """

    def __init__(
        self,
        jitter: Callable[[], float],
        staleness: StalenessEstimate | None = None,
    ) -> None:
        """Creates a batcher without a copy of the bucket.

        Args:
            jitter: Returns a number from 0 to 1 for each backoff.
            staleness: Estimate shared by the batchers of an instance.
        """
        self.jitter = jitter
        self.staleness = staleness or StalenessEstimate()
        self.just_read = False
        self.pending: dict[int, _PendingChange] = {}
        self.content: bucket.Bucket | None = None
        self.version = 0
        self.size_bytes = 0
        self.read_at = -math.inf
        self.retry_at = -math.inf
        self.failures = 0
        self.conflicts = 0
        self.phase = _Phase.IDLE
        self.sent: tuple[bucket.Bucket, dict[int, bucket.Verdict]] | None = None
        self.decisions: list[Decision] = []

    def add(
        self,
        change_id: int,
        change: bucket.Change,
        now: float,
        due_at: float = -math.inf,
        give_up_at: float = math.inf,
        poll_until: float = -math.inf,
    ) -> None:
        """Adds a change.

        Args:
            change_id: Number that identifies the verdict.
            change: The change; a settlement or release is never given up.
            now: Monotonic time in seconds.
            due_at: Monotonic time until which the change may wait to share a
                write with others.
            give_up_at: Monotonic time after which an undecided claim gets the
                verdict ``GaveUp``, or the last ``Held``.
            poll_until: Monotonic time until which a claim that another request
                holds is read again.
        """
        if not isinstance(change, bucket.Acquire):
            give_up_at = math.inf
        self.pending[change_id] = _PendingChange(
            change_id, change, due_at, now, give_up_at, poll_until
        )

    def next_call(self, now: float, unix_now: float) -> Call:
        """Returns the call to make now."""
        if self.phase is not _Phase.IDLE:
            raise RuntimeError("report the result of the last call first")
        self._expire(now)
        if not self.pending:
            self.just_read = False
            return Wait(math.inf)
        due_at = min(e.due_at for e in self.pending.values())
        wake_at = max(due_at, self.retry_at)
        if wake_at > now:
            self.just_read = False
            give_up_at = min(e.give_up_at for e in self.pending.values())
            return Wait(min(wake_at, give_up_at))
        if self.content is None:
            return self._read(now)
        return self._merge(self.content, now, unix_now)

    def record_read(self, content: bucket.Bucket, version: int) -> None:
        """Records the content of the bucket; version 0 means no object."""
        if self.content is not None:
            self.staleness.observe(version != self.version)
        self.phase = _Phase.IDLE
        self.failures = 0
        self.just_read = True
        self._cache(content, version)

    def record_write(self, version: int, now: float) -> None:
        """Records that the last write took effect."""
        assert self.sent is not None
        content, verdicts = self.sent
        if not self.just_read:
            self.staleness.observe(False)
        self.just_read = False
        self.phase, self.sent = _Phase.IDLE, None
        self.failures = self.conflicts = 0
        self._cache(content, version)
        for change_id, verdict in verdicts.items():
            self._apply_verdict(change_id, verdict, now)

    def record_conflict(self, now: float) -> None:
        """Records that the bucket has changed since it was read.

        The write may still have taken effect: if the transport sends it twice,
        the first copy succeeds and the second one conflicts with it.
        """
        if not self.just_read:
            self.staleness.observe(True)
        self.just_read = False
        self.phase, self.sent, self.content = _Phase.IDLE, None, None
        # A first conflict is usually caused by a stale cached copy; only
        # repeated conflicts show that other instances write at the same time.
        if self.conflicts:
            backoff = CONFLICT_BACKOFF_MIN_S * 2 ** min(self.conflicts, 10)
            delay_s = min(CONFLICT_BACKOFF_MAX_S, backoff)
            self.retry_at = now + delay_s * self.jitter()
        self.conflicts += 1

    def record_uncertain_write(self, now: float) -> None:
        """Records that a write may or may not have taken effect."""
        self._back_off(now)

    def record_failure(self, now: float) -> None:
        """Records that a call had no effect."""
        self._back_off(now)

    def pop_decisions(self) -> list[Decision]:
        """Returns the decisions since the previous call."""
        decisions, self.decisions = self.decisions, []
        return decisions

    def _cache(self, content: bucket.Bucket, version: int) -> None:
        self.content, self.version = content, version
        self.size_bytes = content.size_bytes

    def _read(self, now: float) -> Read:
        self.phase = _Phase.READING
        self.read_at = now
        return Read()

    def _merge(
        self, content: bucket.Bucket, now: float, unix_now: float
    ) -> Call:
        pending = list(self.pending.values())
        merged = bucket.merge(
            content, tuple(e.change for e in pending), unix_now
        )
        verdicts = {
            e.change_id: v
            for e, v in zip(pending, merged.verdicts, strict=True)
        }
        if merged.needs_write:
            if self.staleness.read_first and not self.just_read:
                return self._read(now)
            for entry in pending:
                if isinstance(verdicts[entry.change_id], bucket.Won):
                    entry.possibly_written = True
            self.phase = _Phase.WRITING
            self.read_at = now
            self.sent = (merged.bucket, verdicts)
            return Write(merged.bucket, self.version)
        # Every verdict except Held and Full is final, so it is valid even if
        # the cached copy is stale.
        for entry in pending:
            verdict = verdicts[entry.change_id]
            temporary = isinstance(verdict, bucket.Held | bucket.Full)
            if temporary and self.read_at < entry.min_read_at <= now:
                return self._read(now)
        for change_id, verdict in verdicts.items():
            self._apply_verdict(change_id, verdict, now)
        return self.next_call(now, unix_now)

    def _apply_verdict(
        self, change_id: int, verdict: bucket.Verdict, now: float
    ) -> None:
        entry = self.pending[change_id]
        if isinstance(verdict, bucket.Held) and now < entry.poll_until:
            entry.held = verdict
            if entry.due_at <= now:
                entry.due_at = min(now + entry.poll_delay_s, entry.poll_until)
                entry.min_read_at = entry.due_at
                entry.poll_delay_s = min(entry.poll_delay_s * 2, POLL_MAX_S)
            return
        self._finish(entry, verdict, now)

    def _expire(self, now: float) -> None:
        for entry in list(self.pending.values()):
            if entry.give_up_at <= now:
                self._finish(entry, entry.held or bucket.GaveUp(), now)

    def _finish(
        self, entry: _PendingChange, verdict: bucket.Verdict, now: float
    ) -> None:
        del self.pending[entry.change_id]
        self.decisions.append(Decision(entry.change_id, verdict))
        if entry.possibly_written and not isinstance(verdict, bucket.Won):
            change = entry.change
            release = bucket.Release(change.key, change.request)
            # No caller waits for a change with a negative id.
            self.add(-1 - entry.change_id, release, now)

    def _back_off(self, now: float) -> None:
        self.phase, self.sent, self.content = _Phase.IDLE, None, None
        backoff = BACKOFF_MIN_S * 2 ** min(self.failures, 10)
        delay_s = min(BACKOFF_MAX_S, backoff)
        self.retry_at = now + delay_s * (0.5 + self.jitter() / 2)
        self.failures += 1
