"""Where each request went, hop by hop, with a copy on one peer.

Every instance keeps the records of its own requests in a bounded ring and
sends them in batches to the peer that rendezvous hashing of the request id
names. The trail of a request thus outlives the instance that took it.
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

OWN_BYTES = 16 * 1024 * 1024
COPIES_BYTES = 16 * 1024 * 1024
PENDING_BYTES = 1024 * 1024
RECORDS_PER_REQUEST = 128
DETAIL_LENGTH = 160
# Frames between instances are bounded to 64 KiB; the rest is for headers.
BATCH_BYTES = 48 * 1024
RECORD_OVERHEAD_BYTES = 24
REQUEST_OVERHEAD_BYTES = 64
# A peer that joined or left since the copy was made shifts the choice.
QUERIED_PEERS = 3


class Step(enum.StrEnum):
    """What happened to a request."""

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
    """One step of one request.

    Attributes:
        step: What happened.
        at: Unix time in seconds.
        detail: Key=value pairs such as address and attempt.
    """

    step: Step
    at: float
    detail: str = ""

    @property
    def length(self) -> int:
        """Encoded length in bytes, rounded up."""
        return RECORD_OVERHEAD_BYTES + len(self.detail.encode())


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Records of one request, in order."""

    request: str
    records: tuple[Record, ...]

    @property
    def length(self) -> int:
        """Encoded length in bytes, rounded up."""
        own = REQUEST_OVERHEAD_BYTES + len(self.request)
        return own + sum(r.length for r in self.records)


class TrailKept(msgspec.Struct, frozen=True, tag="trail-kept"):
    """Confirmation that records were kept."""


class TrailCopy(msgspec.Struct, frozen=True, tag="trail-copy"):
    """Records for a peer to keep.

    Attributes:
        sender: Instance that took the requests.
        entries: New records by request.
    """

    sender: str
    entries: tuple[Entry, ...]

    reply: ClassVar[type] = TrailKept


class TrailReply(msgspec.Struct, frozen=True, tag="trail-reply"):
    """What an instance knows of a request; no records if nothing.

    Attributes:
        request: Request id.
        sender: Instance that answers.
        records: Records in order.
    """

    request: str
    sender: str
    records: tuple[Record, ...] = ()


class TrailQuery(msgspec.Struct, frozen=True, tag="trail-query"):
    """Question for the records of a request."""

    request: str

    reply: ClassVar[type] = TrailReply


@dataclasses.dataclass(frozen=True)
class Batch:
    """A message for one peer."""

    peer: str
    message: TrailCopy


class RecordBuffer:
    """Records of the most recent requests, bounded in bytes.

    Attributes:
        length: Bytes in use, estimated.
        evicted: Requests dropped to make room, counted.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.length = 0
        self.evicted = 0
        self.requests: collections.OrderedDict[str, list[Record]] = (
            collections.OrderedDict()
        )

    def add(self, request: str, records: Iterable[Record]) -> None:
        """Adds records; the least recently changed requests make room."""
        kept = self.requests.get(request)
        if kept is None:
            kept = self.requests[request] = []
            self.length += REQUEST_OVERHEAD_BYTES + len(request)
        self.requests.move_to_end(request)
        for record in records:
            if len(kept) >= RECORDS_PER_REQUEST:
                # The last record, which may be the outcome, replaces another.
                self.length -= kept.pop().length
            kept.append(record)
            self.length += record.length
        while self.length > self.limit_bytes and self.requests:
            gone, dropped = self.requests.popitem(last=False)
            self.length -= Entry(gone, tuple(dropped)).length
            self.evicted += 1

    def get(self, request: str) -> tuple[Record, ...]:
        """Returns the records of a request in order."""
        return tuple(self.requests.get(request, ()))


class Trail:
    """The trail of the requests of one instance, and copies of others'.

    Attributes:
        own: Records of requests that this instance took.
        copies: Records that peers sent.
        pending: Records that were not copied yet.
        not_copied: Records dropped without a copy, counted.
    """

    def __init__(
        self,
        name: str,
        own_bytes: int = OWN_BYTES,
        copies_bytes: int = COPIES_BYTES,
        pending_bytes: int = PENDING_BYTES,
    ) -> None:
        self.name = name
        self.own = RecordBuffer(own_bytes)
        self.copies = RecordBuffer(copies_bytes)
        self.pending = RecordBuffer(pending_bytes)

    @property
    def not_copied(self) -> int:
        """Requests with records that were dropped without a copy."""
        return self.pending.evicted

    def add(
        self, request: str, step: Step, unix_now: float, detail: str = ""
    ) -> None:
        """Records a step of an own request.

        Args:
            request: Request id.
            step: What happened.
            unix_now: Unix time in seconds.
            detail: Key=value pairs; cut to ``DETAIL_LENGTH`` characters.
        """
        record = Record(step, round(unix_now, 4), detail[:DETAIL_LENGTH])
        self.own.add(request, (record,))
        self.pending.add(request, (record,))

    def pop_batches(self, peers: tuple[str, ...]) -> tuple[Batch, ...]:
        """Returns the records to copy now and forgets them as pending.

        Without peers, nothing is taken; records stay until there is one or
        until newer ones need the room.
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
            for part in _parts(entries)
        )

    def restore_batch(self, batch: Batch) -> None:
        """Makes records pending again after a copy that failed."""
        later, self.pending = (
            self.pending,
            RecordBuffer(self.pending.limit_bytes),
        )
        self.pending.evicted = later.evicted
        for entry in batch.message.entries:
            self.pending.add(entry.request, entry.records)
        for request, records in later.requests.items():
            self.pending.add(request, records)

    def record_copy(self, message: TrailCopy) -> TrailKept:
        """Keeps the records of another instance."""
        for entry in message.entries:
            self.copies.add(entry.request, entry.records)
        return TrailKept()

    def answer_query(self, query: TrailQuery) -> TrailReply:
        """Returns what is known here of a request."""
        own = self.own.get(query.request)
        records = own or self.copies.get(query.request)
        return TrailReply(query.request, self.name, records)

    def peers_to_query(
        self, request: str, peers: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Returns which peers to ask for a request, best first.

        The instance that took the request knows most. It is named in the id,
        and is asked first if it is still a peer. It was not a candidate for
        the copy, so the others are ranked without it.
        """
        origin = origin_instance(request)
        first = tuple(p for p in peers if p == origin)
        others = tuple(p for p in peers if p != origin)
        return (*first, *rank(request, others)[:QUERIED_PEERS])


def rank(request: str, peers: Iterable[str]) -> tuple[str, ...]:
    """Returns peers by rendezvous hash of the request, best first.

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
    """Returns the instance that took a request.

    >>> origin_instance("north-1-5f3a9c20-1b")
    'north-1'
    """
    return request.rsplit("-", 2)[0]


def merge(replies: Iterable[TrailReply]) -> tuple[Record, ...]:
    """Returns all records of a request once, in order of time."""
    found = {r: None for reply in replies for r in reply.records}
    return tuple(sorted(found, key=lambda r: r.at))


def _parts(entries: list[Entry]) -> Iterable[tuple[Entry, ...]]:
    part: list[Entry] = []
    length = 0
    for entry in entries:
        if part and length + entry.length > BATCH_BYTES:
            yield tuple(part)
            part, length = [], 0
        part.append(entry)
        length += entry.length
    if part:
        yield tuple(part)
