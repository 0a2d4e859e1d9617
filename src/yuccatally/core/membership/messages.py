"""Messages of failure detection and the actions that send them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any
from typing import ClassVar

import msgspec
import xxhash


class State(enum.IntEnum):
    """State of a member; for one run of a process the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(msgspec.Struct, array_like=True, frozen=True):
    """Identity and addresses of one run of an instance.

    Attributes:
        name: Name of the instance.
        boot_id: Random text, generated at each start of the process.
        data_centre: Data centre that the instance runs in.
        peers_address: ``IP:PORT`` that other instances connect to.
        callers_address: ``IP:PORT`` that callers connect to.
        operators_address: ``IP:PORT`` that operators connect to.
    """

    name: str
    boot_id: str
    data_centre: str
    peers_address: str
    callers_address: str
    operators_address: str = ""


class Update(msgspec.Struct, array_like=True, frozen=True):
    """State of a member as recorded by one instance.

    Attributes:
        member: The member.
        incarnation: Counter that only the member itself increments.
        state: State of the member.
        leaving: Whether the member has announced its shutdown.
    """

    member: Member
    incarnation: int
    state: State = State.ALIVE
    leaving: bool = False

    @property
    def digest(self) -> int:
        """64-bit hash of the fields that must be equal on all instances."""
        m = self.member
        text = f"{m.name} {m.boot_id} {self.incarnation} {self.leaving}"
        return xxhash.xxh3_64_intdigest(text.encode())


class CompactUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An ``Update`` without addresses, a third of its encoded length.

    Recipients complete it from their record of the same ``boot_id``.
    """

    name: str
    boot_id: str
    incarnation: int
    state: State = State.ALIVE
    leaving: bool = False


class PeerState(msgspec.Struct, array_like=True, frozen=True):
    """State that the sender of a message reports about itself.

    Attributes:
        update: Record of the sender.
        digest: Hash of all member records of the sender.
        revision: Revision of the sender's configuration.
        content_hash: Hash of the objects of the sender's configuration.
        load: Requests in flight.
    """

    update: Update
    digest: int = 0
    revision: int = 0
    content_hash: int = 0
    load: int = 0


class Ack(msgspec.Struct, array_like=True, frozen=True):
    """Reply to ``Probe`` and ``Notify``."""

    peer_state: PeerState
    updates: tuple[Update, ...] = ()
    compact_updates: tuple[CompactUpdate, ...] = ()


class Probe(msgspec.Struct, array_like=True, frozen=True):
    """Asks a member whether it is alive."""

    reply: ClassVar[type] = Ack
    target: str
    peer_state: PeerState
    updates: tuple[Update, ...] = ()
    compact_updates: tuple[CompactUpdate, ...] = ()


class Notify(msgspec.Struct, array_like=True, frozen=True):
    """Carries updates that must not wait for the next probe."""

    reply: ClassVar[type] = Ack
    peer_state: PeerState
    updates: tuple[Update, ...] = ()


class RepairReply(msgspec.Struct, array_like=True, frozen=True):
    """Reply to ``Repair`` with the requested records."""

    peer_state: PeerState
    updates: tuple[Update, ...] = ()


class Repair(msgspec.Struct, array_like=True, frozen=True):
    """Sends records missing on the recipient and requests others by hash."""

    reply: ClassVar[type] = RepairReply
    peer_state: PeerState
    updates: tuple[Update, ...] = ()
    requested_digests: tuple[int, ...] = ()


class IndirectAck(msgspec.Struct, array_like=True, frozen=True):
    """Reply to ``ProbeFor``, with the target's ``Ack`` if it answered."""

    ack: Ack | None = None


class ProbeFor(msgspec.Struct, array_like=True, frozen=True):
    """Asks a member to probe a target on behalf of the sender."""

    reply: ClassVar[type] = IndirectAck
    target: str
    address: str
    peer_state: PeerState


class SyncReply(msgspec.Struct, array_like=True, frozen=True):
    """Hashes of all buckets, and of the records in buckets that differ."""

    peer_state: PeerState
    bucket_hashes: tuple[int, ...]
    digests: tuple[int, ...] = ()


class Sync(msgspec.Struct, array_like=True, frozen=True):
    """Compares the records of two instances by the hashes of buckets.

    A bucket holds the members whose names have the same hash modulo the
    number of buckets.
    """

    reply: ClassVar[type] = SyncReply
    peer_state: PeerState
    bucket_hashes: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Send:
    """Instructs the adapter to send a message and report the result.

    Attributes:
        name: Expected recipient; empty if only the address is known.
        address: Address of the recipient.
        message: Message; its class variable ``reply`` is the reply type.
        timeout_s: Deadline of the exchange, in seconds.
    """

    name: str
    address: str
    message: Any
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class MemberChanged:
    """Reports that the record of a member changed.

    Attributes:
        update: The new record.
        reason: Cause of the change, one word for the log.
    """

    update: Update
    reason: str


Action = Send | MemberChanged
