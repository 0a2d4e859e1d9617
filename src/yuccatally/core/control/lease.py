"""A lease with a fencing number, stored as an object.

Clocks of different instances are never compared. A standby measures with its
own clock for how long the record has not changed. The holder measures from the
start of its last successful write.
"""

from __future__ import annotations

import dataclasses

TERM_S = 6.0
USABLE_RATIO = 2 / 3
RENEW_RATIO = 1 / 3
POLL_RATIO = 1 / 3
# Fencing numbers of one epoch of the store, more than it can have holders.
FENCES_PER_EPOCH = 1_000_000


@dataclasses.dataclass(frozen=True)
class Record:
    """Content of the lease object.

    Attributes:
        holder: Unique id of the holder; empty if the lease was released.
        fence: Fencing number, which increases with each new holder.
        renewal: Number of the write, by which a holder recognises its own
            write.
    """

    holder: str
    fence: int
    renewal: int


@dataclasses.dataclass(frozen=True)
class Read:
    """Reads the lease object."""


@dataclasses.dataclass(frozen=True)
class Write:
    """Writes the lease object if its version matches (0: does not exist)."""

    record: Record
    version: int


class Lease:
    """Decides when to read and write the lease object.

    Attributes:
        holder: Unique id of this candidate; a restarted process needs a new
            one.
        fence: Fencing number of the lease while it is held.
        observed_at: Time at which the last change of the record was observed.
        usable_until: Time until which orders may be given; None if the lease
            is not held.
        next_call_at: Time of the next read or renewal.
        unsettled_write: Record and start time of a write whose reply was lost.
        paused_until: Time until which no call is made, because the store is
            not reachable.
        epoch: Epoch of the store, see ``apply_epoch``; None until it is known.
        available_at: Time before which the lease is not acquired, since a
            holder that a restored store does not know may still be valid.
        reacquire_until: Time until which this candidate may acquire the lease
            again that it held when the store was restored.
    """

    def __init__(self, holder: str, term_s: float = TERM_S) -> None:
        self.holder = holder
        self.term_s = term_s
        self.fence = 0
        self.version = 0
        self.record: Record | None = None
        self.observed_at: float | None = None
        self.usable_until: float | None = None
        self.next_call_at = 0.0
        self.unsettled_write: tuple[Record, float] | None = None
        self.must_read = True
        self.paused_until = 0.0
        self.epoch: int | None = None
        self.available_at = 0.0
        self.reacquire_until = 0.0

    def is_valid(self, now: float) -> bool:
        """Returns whether orders may be given at a time in seconds."""
        return self.usable_until is not None and now < self.usable_until

    def next_call(self, now: float, candidate: bool) -> Read | Write | None:
        """Returns the call that is due.

        Args:
            now: Time in seconds, of a clock that includes suspension.
            candidate: Whether this instance should hold the lease.

        Returns:
            A read, a write or None. The result of the call must be applied
            before the next call is requested.
        """
        if now < self.paused_until:
            return None
        if self.must_read:
            return Read() if now >= self.next_call_at else None
        if self.is_holder:
            return self._renew_or_release(now, candidate)
        if candidate and self._is_available(now):
            record = Record(self.holder, self._next_fence(), 1)
            return Write(record, self.version)
        return Read() if now >= self.next_call_at else None

    def apply_epoch(self, epoch: int, now: float) -> None:
        """Applies the epoch of the store, which rises when it is restored.

        The restored record is an older one or missing, and the term of a holder
        that it does not name may go on. Only this holder acquires the lease
        before a full term has passed.
        """
        if self.epoch is not None and epoch > self.epoch:
            self.must_read = True
            self.next_call_at = now
            if self.is_valid(now):
                self.reacquire_until = self.usable_until or now
            else:
                self.available_at = now + self.term_s
        self.epoch = max(epoch, self.epoch or 0)

    def apply_read(
        self, record: Record | None, version: int, now: float
    ) -> None:
        """Applies the result of a read; version 0 means no object exists."""
        if self.unsettled_write is not None:
            own_record, started_at = self.unsettled_write
            self.unsettled_write = None
            if record == own_record:
                self.apply_write(own_record, version, started_at)
                return
        if version != self.version or self.observed_at is None:
            self.observed_at = now
        self.version = version
        self.record = record
        self.must_read = False
        self.next_call_at = now + self.term_s * POLL_RATIO
        if not self.is_holder:
            self.usable_until = None

    def apply_write(
        self, record: Record, version: int, started_at: float
    ) -> None:
        """Applies a successful write that was started at a time."""
        self.record = record
        self.version = version
        self.observed_at = started_at
        self.must_read = False
        self.next_call_at = started_at + self.term_s * RENEW_RATIO
        if not record.holder:
            self.usable_until = None
            return
        self.fence = record.fence
        if self._is_of_epoch(record):
            self.usable_until = started_at + self.term_s * USABLE_RATIO
        else:
            # Written for an earlier epoch; another holder may have the number.
            self.usable_until = None
            self.next_call_at = started_at

    def apply_conflict(self) -> None:
        """Applies a version conflict of a write."""
        self.usable_until = None
        self.must_read = True
        self.next_call_at = 0.0

    def apply_lost_reply(self, record: Record, started_at: float) -> None:
        """Applies a write whose reply was lost."""
        self.unsettled_write = (record, started_at)
        self.must_read = True
        self.next_call_at = started_at

    def apply_unavailable(self, now: float, delay_s: float) -> None:
        """Pauses all calls because the store is not reachable."""
        self.paused_until = now + delay_s

    def _renew_or_release(self, now: float, candidate: bool) -> Write | None:
        assert self.record is not None
        renewal = self.record.renewal + 1
        if not candidate:
            # The write may take effect even if its reply is lost.
            self.usable_until = None
            record = Record("", self.record.fence, renewal)
            return Write(record, self.version)
        if now < self.next_call_at:
            return None
        fence = self.record.fence
        if not self.is_valid(now) or not self._is_of_epoch(self.record):
            # Orders with the old number may still be in transit.
            fence = self._next_fence()
        return Write(Record(self.holder, fence, renewal), self.version)

    @property
    def is_holder(self) -> bool:
        """Whether the latest record names this candidate as the holder."""
        return self.record is not None and self.record.holder == self.holder

    def _next_fence(self) -> int:
        """Returns a number that no holder has had, in any epoch."""
        latest = max(self.record.fence if self.record else 0, self.fence)
        return max(latest, (self.epoch or 0) * FENCES_PER_EPOCH) + 1

    def _is_of_epoch(self, record: Record) -> bool:
        """Returns whether a record was written in the current epoch."""
        return record.fence > (self.epoch or 0) * FENCES_PER_EPOCH

    def _is_available(self, now: float) -> bool:
        is_copy = self.record is None or not self._is_of_epoch(self.record)
        if is_copy and now < self.reacquire_until:
            return True
        if now < self.available_at:
            return False
        if self.record is None or not self.record.holder:
            return True
        return (
            self.observed_at is not None
            and now - self.observed_at >= self.term_s
        )
