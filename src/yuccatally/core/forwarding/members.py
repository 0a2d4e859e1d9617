"""What an instance believes of the others, and which one relays for it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
import zlib

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

# An instance that was not heard of for this long is taken for gone: ten times
# the usual time between two exchanges with its relay.
LIVENESS_TIMEOUT_S = 1.5
# A relay that did not answer is passed over for this long; a frozen process is
# usually back by then.
RELAY_SKIP_S = 2.0
# Digest of a list that was never sent.
NO_DIGEST = 0


class Contact(msgspec.Struct, array_like=True, frozen=True):
    """How an instance is reached.

    Attributes:
        name: Name of the instance.
        born_ms: Start of its process, milliseconds since 1970.
        data_centre: Where it stands.
        region: Region of the data centre.
        callers: ``IP:PORT`` for requests.
        peers: ``IP:PORT`` for messages of instances.
        leaving: Whether it is shutting down.
    """

    name: str
    born_ms: int
    data_centre: str
    region: str
    callers: str
    peers: str
    leaving: bool = False


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A live instance.

    Attributes:
        contact: How it is reached.
        store_up: Whether it hears changes of the configuration.
    """

    contact: Contact
    store_connected: bool = False

    @property
    def rank(self) -> tuple[bool, str]:
        """Order in which the instances of a data centre relay."""
        return (not self.store_connected, self.contact.name)


@dataclasses.dataclass(frozen=True)
class ReportedMembers:
    """Instances that another one reported.

    Attributes:
        received_at: Monotonic time of its last confirmation, in seconds.
        digest: Digest by which the sender knows what was received.
        members: The instances.
    """

    received_at: float
    digest: int
    members: tuple[Member, ...]


class MemberTable:
    """Instances that are known, heard of, or reported by others.

    Load pattern: 65 or 340 instances each have to know the load, the findings
    and the state of all others within half a second. One instance of each data
    centre relays: the others of the data centre exchange with it alone, and the
    relays with each other, so that the messages of an instance do not grow with
    the number of instances.

    Attributes:
        contacts: Known instances by name, without this one.
        heard: Instances heard of directly: time in seconds and state.
        lists: Instances that each relay or follower reported, by its name.
        followers: Time at which an instance last used this one as its relay.
        shunned: Time until which an instance is not used as a relay.
        presumed: Time until which one that was never heard of may be a relay,
            so that instances which start together find the same one.
    """

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.contacts: dict[str, Contact] = {}
        self.direct: dict[str, tuple[float, Member]] = {}
        self.reported: dict[str, ReportedMembers] = {}
        self.followers: dict[str, float] = {}
        self.skipped_until: dict[str, float] = {}
        self.presumed_until: dict[str, float] = {}

    def apply_contact(self, contact: Contact, now: float) -> bool:
        """Takes in how an instance is reached; returns whether it is new."""
        if contact.name == self.name:
            return False
        known = self.contacts.get(contact.name)
        if known is not None:
            if known.born_ms > contact.born_ms:
                return False
            # Leaving is never taken back by the same process.
            if known.born_ms == contact.born_ms and known.leaving:
                return False
        self.contacts[contact.name] = contact
        if known is None or known.born_ms < contact.born_ms:
            self.presumed_until[contact.name] = now + LIVENESS_TIMEOUT_S
        return known is None

    def record_message(self, member: Member, follows: bool, now: float) -> None:
        """Takes in a message of another instance.

        Args:
            member: The sender.
            follows: Whether it uses this instance as its relay.
            now: Monotonic time in seconds.
        """
        name = member.contact.name
        self.direct[name] = (now, member)
        self.skipped_until.pop(name, None)
        if follows:
            self.followers[name] = now
        else:
            self.followers.pop(name, None)

    def apply_list(
        self,
        sender: str,
        digest: int,
        members: tuple[Member, ...] | None,
        now: float,
    ) -> None:
        """Takes in a list; without members it confirms the last one."""
        if members is None:
            known = self.reported.get(sender)
            if known is None or known.digest != digest:
                return
            members = known.members
        self.reported[sender] = ReportedMembers(now, digest, members)

    def reported_digest(self, sender: str) -> int:
        """Returns the digest of the list that a sender need not repeat."""
        known = self.reported.get(sender)
        return known.digest if known is not None else NO_DIGEST

    def record_no_answer(self, name: str, now: float) -> None:
        """Notes that an instance did not answer."""
        self.skipped_until[name] = now + RELAY_SKIP_S

    def live_members(self, now: float, without: str = "") -> dict[str, Member]:
        """Returns live instances by name, without this one.

        Args:
            now: Monotonic time in seconds.
            without: Instance whose list is left out.
        """
        found = {
            name: self._current(member)
            for name, (at, member) in self.direct.items()
            if now - at < LIVENESS_TIMEOUT_S
        }
        for sender, known in self.reported.items():
            if (
                sender == without
                or now - known.received_at >= LIVENESS_TIMEOUT_S
            ):
                continue
            for member in known.members:
                if member.contact.name != self.name:
                    found.setdefault(member.contact.name, self._current(member))
        return found

    def relayed_members(self, own: Member, now: float) -> tuple[Member, ...]:
        """Returns this instance and those that follow it, by name."""
        found = {own.contact.name: own}
        for name, at in self.followers.items():
            if now - at >= LIVENESS_TIMEOUT_S:
                continue
            found[name] = self._current(self.direct[name][1])
            known = self.reported.get(name)
            if (
                known is not None
                and now - known.received_at < LIVENESS_TIMEOUT_S
            ):
                for member in known.members:
                    found.setdefault(member.contact.name, member)
        return _sorted(found.values())

    def all_members(
        self, own: Member, now: float, receiver: str
    ) -> tuple[Member, ...]:
        """Returns all live instances, as a follower is told of them.

        What only that follower has reported is left out, so that two
        instances never confirm a third one to each other.
        """
        found = self.live_members(now, without=receiver)
        return _sorted((own, *found.values()))

    def choose_relay(self, own: Member, now: float) -> str | None:
        """Returns the instance to exchange with; None for this one itself.

        It is the first by name of the data centre, among those that reach the
        store if there are any.
        """
        first = self.relay_of(self.data_centre, own, now)
        return None if first == self.name else first

    def relay_of(self, data_centre: str, own: Member, now: float) -> str:
        """Returns the relay of a data centre; empty for none."""
        known = {
            name: Member(self.contacts[name], store_connected=True)
            for name, until in self.presumed_until.items()
            if now < until
        }
        known.update(self.live_members(now))
        candidates = [
            m
            for m in (*known.values(), own)
            if m.contact.data_centre == data_centre
            and not m.contact.leaving
            and self.skipped_until.get(m.contact.name, now) <= now
        ]
        if not candidates:
            return self.name if data_centre == self.data_centre else ""
        return min(candidates, key=lambda m: m.rank).contact.name

    def other_relays(self, own: Member, now: float) -> list[str]:
        """Returns the relays of the other data centres."""
        places = {c.data_centre for c in self.contacts.values()}
        places.discard(self.data_centre)
        found = (self.relay_of(p, own, now) for p in sorted(places))
        return [name for name in found if name]

    def expire(self, now: float) -> None:
        """Drops followers that have chosen another relay or are gone."""
        self.followers = {
            n: at
            for n, at in self.followers.items()
            if now - at < LIVENESS_TIMEOUT_S
        }
        self.presumed_until = {
            n: t for n, t in self.presumed_until.items() if now < t
        }

    def remove(self, name: str) -> None:
        """Drops all that is known of an instance."""
        self.contacts.pop(name, None)
        self.direct.pop(name, None)
        self.reported.pop(name, None)
        self.followers.pop(name, None)
        self.skipped_until.pop(name, None)
        self.presumed_until.pop(name, None)

    def _current(self, member: Member) -> Member:
        """Returns a member with the latest contact that is known."""
        known = self.contacts.get(member.contact.name)
        if known is None or known == member.contact:
            return member
        return Member(known, member.store_connected)


def digest(members: Iterable[Member]) -> int:
    """Returns a number that differs for different lists.

    >>> digest([]) == digest([]) != NO_DIGEST
    True
    """
    return zlib.crc32(msgspec.msgpack.encode(list(members))) or 1


def _sorted(members: Iterable[Member]) -> tuple[Member, ...]:
    return tuple(sorted(members, key=lambda m: m.contact.name))
