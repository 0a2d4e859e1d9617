"""Messages of failure detection and the actions that send them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any
from typing import ClassVar

import msgspec
import xxhash


class State(enum.IntEnum):
    """What is believed of a member; a higher value wins within a life."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(msgspec.Struct, array_like=True, frozen=True):
    """Identity and addresses of one life of an instance.

    Attributes:
        name: Name of the instance.
        boot: Random text, new at each start of the process.
        data_centre: Where it runs.
        peers_address: ``IP:PORT`` for other instances.
        callers_address: ``IP:PORT`` for callers.
        operators_address: ``IP:PORT`` for operators.
    """

    name: str
    boot_id: str
    data_centre: str
    peers_address: str
    callers_address: str
    operators_address: str = ""


class Update(msgspec.Struct, array_like=True, frozen=True):
    """What one instance believes of a member.

    Attributes:
        member: The member.
        incarnation: Number that only the member itself raises.
        state: Belief.
        leaving: Whether the member has announced its shutdown.
    """

    member: Member
    incarnation: int
    state: State = State.ALIVE
    leaving: bool = False

    @property
    def digest(self) -> int:
        """64-bit hash of what all instances must agree on."""
        m = self.member
        text = f"{m.name} {m.boot_id} {self.incarnation} {self.leaving}"
        return xxhash.xxh3_64_intdigest(text.encode())


class CompactUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An ``Update`` on a life that others know; a third of its length."""

    name: str
    boot_id: str
    incarnation: int
    state: State = State.ALIVE
    leaving: bool = False


class PeerState(msgspec.Struct, array_like=True, frozen=True):
    """What the sender of a message reports of itself.

    Attributes:
        update: Its own record.
        digest: Hash of its view of all members.
        revision: Revision of its configuration.
        content: Hash of the objects of its configuration.
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
    """News that must not wait for the next probe."""

    reply: ClassVar[type] = Ack
    peer_state: PeerState
    updates: tuple[Update, ...] = ()


class RepairReply(msgspec.Struct, array_like=True, frozen=True):
    """The records that were asked for."""

    peer_state: PeerState
    updates: tuple[Update, ...] = ()


class Repair(msgspec.Struct, array_like=True, frozen=True):
    """Records that the other side lacks, and hashes of those to return."""

    reply: ClassVar[type] = RepairReply
    peer_state: PeerState
    updates: tuple[Update, ...] = ()
    wanted: tuple[int, ...] = ()


class IndirectAck(msgspec.Struct, array_like=True, frozen=True):
    """Reply to ``ProbeFor``; the target's ``Ack`` if it answered."""

    ack: Ack | None = None


class ProbeFor(msgspec.Struct, array_like=True, frozen=True):
    """Asks a third member to probe a target."""

    reply: ClassVar[type] = IndirectAck
    target: str
    address: str
    peer_state: PeerState


class SyncReply(msgspec.Struct, array_like=True, frozen=True):
    """Hashes of all buckets, and of the records in those that differ."""

    peer_state: PeerState
    buckets: tuple[int, ...]
    digests: tuple[int, ...] = ()


class Sync(msgspec.Struct, array_like=True, frozen=True):
    """Compares two views by bucket; a bucket holds the names of one hash."""

    reply: ClassVar[type] = SyncReply
    peer_state: PeerState
    buckets: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Send:
    """Exchange a message and report how that ended.

    Attributes:
        name: Expected recipient; empty if only its address is known.
        address: Where to send it.
        message: Message with a class variable ``reply``.
        timeout_s: Deadline of the exchange, in seconds.
    """

    name: str
    address: str
    message: Any
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class MemberChanged:
    """The belief about a member changed.

    Attributes:
        update: The new belief.
        reason: One word for the log.
    """

    update: Update
    reason: str


Action = Send | MemberChanged
