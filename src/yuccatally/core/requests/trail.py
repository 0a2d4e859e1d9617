"""Audit trail of each request, replicated to one peer.

Every instance keeps the records of the requests that it accepted in a bounded
buffer and sends them in batches to the peer selected by rendezvous hashing of
the request id, so that they survive a failure of the accepting instance.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

LOCAL_BYTES = 16 * 1024 * 1024
COPIES_BYTES = 16 * 1024 * 1024
PENDING_BYTES = 1024 * 1024
MAX_RECORDS_PER_REQUEST_COUNT = 128
MAX_DETAIL_CHARS = 160
# Frames between instances are limited to 64 KiB, including their headers.
BATCH_BYTES = 48 * 1024
RECORD_OVERHEAD_BYTES = 24
REQUEST_OVERHEAD_BYTES = 64
# More than one, because the ranking changes when a peer joins or leaves after
# the copy was sent.
QUERIED_PEER_COUNT = 3


class Step(enum.StrEnum):
    """Step in the processing of a request."""

    ACCEPTED = "accepted"
    CLAIM = "claim"
    CLAIMED = "claimed"
    SENT = "sent"
    RESULT = "result"
    ATTEMPT = "attempt"
    ATTEMPT_ENDED = "attempt-ended"
    NOTE = "note"
    OUTCOME = "outcome"


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Record of one step of one request.

    Attributes:
        step: The step.
        at: Unix time in seconds.
        detail: Key=value pairs such as address and attempt.
    """

    step: Step
    at: float
    detail: str = ""

    @property
    def size_bytes(self) -> int:
        """Encoded length in bytes, rounded up."""
        return RECORD_OVERHEAD_BYTES + len(self.detail.encode())


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """The records of one request, in order."""

    request: str
    records: tuple[Record, ...]

    @property
    def size_bytes(self) -> int:
        """Encoded length in bytes, rounded up."""
        overhead = REQUEST_OVERHEAD_BYTES + len(self.request)
        return overhead + sum(r.size_bytes for r in self.records)


class TrailCopyAck(msgspec.Struct, frozen=True, tag="trail-kept"):
    """Acknowledgement that records were stored."""


class TrailCopy(msgspec.Struct, frozen=True, tag="trail-copy"):
    """Records for a peer to store.

    Attributes:
        sender: Instance that accepted the requests.
        entries: New records by request.
    """

    sender: str
    entries: tuple[Entry, ...]

    reply: ClassVar[type] = TrailCopyAck


class TrailReply(msgspec.Struct, frozen=True, tag="trail-reply"):
    """The records that an instance has of a request, if any.

    Attributes:
        request: Request id.
        sender: Instance that replies.
        records: Records in order.
    """

    request: str
    sender: str
    records: tuple[Record, ...] = ()


class TrailQuery(msgspec.Struct, frozen=True, tag="trail-query"):
    """Query for the records of a request."""

    request: str

    reply: ClassVar[type] = TrailReply


@dataclasses.dataclass(frozen=True)
class Batch:
    """Records to send to one peer."""

    peer: str
    message: TrailCopy


class RecordBuffer:
    """Records of the most recently updated requests, bounded in bytes.

    Attributes:
        size_bytes: Bytes in use, estimated.
        evicted: Number of requests that were evicted.
        requests: Records by request, least recently updated first.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.size_bytes = 0
        self.evicted = 0
        self.requests: collections.OrderedDict[str, list[Record]] = (
            collections.OrderedDict()
        )

    def add(self, request: str, records: Iterable[Record]) -> None:
        """Adds records and evicts the least recently updated requests."""
        records_kept = self.requests.get(request)
        if records_kept is None:
            records_kept = self.requests[request] = []
            self.size_bytes += REQUEST_OVERHEAD_BYTES + len(request)
        self.requests.move_to_end(request)
        for record in records:
            if len(records_kept) >= MAX_RECORDS_PER_REQUEST_COUNT:
                # Overwrite the last record, so that the newest one, which may
                # be the outcome, is always kept.
                self.size_bytes -= records_kept.pop().size_bytes
            records_kept.append(record)
            self.size_bytes += record.size_bytes
        while self.size_bytes > self.limit_bytes and self.requests:
            evicted, dropped = self.requests.popitem(last=False)
            self.size_bytes -= Entry(evicted, tuple(dropped)).size_bytes
            self.evicted += 1

    def get(self, request: str) -> tuple[Record, ...]:
        """Returns the records of a request in order."""
        return tuple(self.requests.get(request, ()))


class Trail:
    """Audit trail of one instance, with copies from its peers.

    Attributes:
        name: Name of the instance.
        local: Records of requests that this instance accepted.
        copies: Records received from peers.
        pending: Local records that have not been sent to a peer yet.
    """

    def __init__(
        self,
        name: str,
        local_bytes: int = LOCAL_BYTES,
        copies_bytes: int = COPIES_BYTES,
        pending_bytes: int = PENDING_BYTES,
    ) -> None:
        self.name = name
        self.local = RecordBuffer(local_bytes)
        self.copies = RecordBuffer(copies_bytes)
        self.pending = RecordBuffer(pending_bytes)

    @property
    def not_copied(self) -> int:
        """Number of requests whose records were evicted before being sent."""
        return self.pending.evicted

    def add(
        self, request: str, step: Step, unix_now: float, detail: str = ""
    ) -> None:
        """Records a step of a request that this instance accepted.

        Args:
            request: Request id.
            step: The step.
            unix_now: Unix time in seconds.
            detail: Key=value pairs; truncated to ``MAX_DETAIL_CHARS``.
        """
        record = Record(step, round(unix_now, 4), detail[:MAX_DETAIL_CHARS])
        self.local.add(request, (record,))
        self.pending.add(request, (record,))

    def pop_batches(self, peers: tuple[str, ...]) -> tuple[Batch, ...]:
        """Removes the pending records and returns them in batches by peer.

        Without peers, records stay pending until there is one or until they
        are evicted by newer records.
        """
        if not peers:
            return ()
        by_peer: dict[str, list[Entry]] = collections.defaultdict(list)
        for request, records in self.pending.requests.items():
            peer = rank(request, peers)[0]
            by_peer[peer].append(Entry(request, tuple(records)))
        evicted = self.pending.evicted
        self.pending = RecordBuffer(self.pending.limit_bytes)
        self.pending.evicted = evicted
        return tuple(
            Batch(peer, TrailCopy(self.name, part))
            for peer, entries in by_peer.items()
            for part in _split(entries)
        )

    def restore_batch(self, batch: Batch) -> None:
        """Makes the records of a batch that was not delivered pending again."""
        newer, self.pending = (
            self.pending,
            RecordBuffer(self.pending.limit_bytes),
        )
        self.pending.evicted = newer.evicted
        for entry in batch.message.entries:
            self.pending.add(entry.request, entry.records)
        for request, records in newer.requests.items():
            self.pending.add(request, records)

    def record_copy(self, message: TrailCopy) -> TrailCopyAck:
        """Stores the records of another instance."""
        for entry in message.entries:
            self.copies.add(entry.request, entry.records)
        return TrailCopyAck()

    def answer_query(self, query: TrailQuery) -> TrailReply:
        """Returns the records of a request that this instance has."""
        local = self.local.get(query.request)
        records = local or self.copies.get(query.request)
        return TrailReply(query.request, self.name, records)

    def peers_to_query(
        self, request: str, peers: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Returns the peers to query for a request, in order.

        The instance that accepted the request has the most records. Its name
        is part of the id, and it comes first if it is still a peer. It was not
        a candidate for the copy, so the others are ranked without it.
        """
        origin = origin_instance(request)
        first = tuple(p for p in peers if p == origin)
        others = tuple(p for p in peers if p != origin)
        return (*first, *rank(request, others)[:QUERIED_PEER_COUNT])


def rank(request: str, peers: Iterable[str]) -> tuple[str, ...]:
    """Ranks peers by rendezvous hash of the request, highest first.

    >>> rank("i1-0-1", ("a", "b", "c"))[0] in ("a", "b", "c")
    True
    """
    return tuple(
        sorted(
            peers,
            key=lambda p: (
                xxhash.xxh64_intdigest(f"{request}\0{p}".encode()),
                p,
            ),
            reverse=True,
        )
    )


def origin_instance(request: str) -> str:
    """Returns the name of the instance that accepted a request.

    >>> origin_instance("north-1-5f3a9c20-1b")
    'north-1'
    """
    return request.rsplit("-", 2)[0]


def merge(replies: Iterable[TrailReply]) -> tuple[Record, ...]:
    """Merges the records of replies, ordered by time without duplicates."""
    unique = {r: None for reply in replies for r in reply.records}
    return tuple(sorted(unique, key=lambda r: r.at))


def _split(entries: list[Entry]) -> Iterable[tuple[Entry, ...]]:
    part: list[Entry] = []
    size_bytes = 0
    for entry in entries:
        if part and size_bytes + entry.size_bytes > BATCH_BYTES:
            yield tuple(part)
            part, size_bytes = [], 0
        part.append(entry)
        size_bytes += entry.size_bytes
    if part:
        yield tuple(part)
