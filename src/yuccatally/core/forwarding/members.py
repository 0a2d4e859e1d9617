"""Membership of the other instances, and the choice of relays."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
import zlib

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

# An instance without any message for this long has failed: ten times the mean
# time between two exchanges with its relay.
LIVENESS_TIMEOUT_S = 1.5
# A relay that did not answer is skipped for this long; a process that hangs has
# usually recovered by then.
RELAY_SKIP_S = 2.0
# Time for which an instance has to keep or lose its connection to the store
# before the choice of a relay takes it into account: longer than the delays
# between calls to a store that returns.
STORE_SETTLE_S = 2.0
# Digest of a list that was never received.
NO_DIGEST = 0


class Contact(msgspec.Struct, array_like=True, frozen=True):
    """Identity and addresses of an instance.

    Attributes:
        name: Name of the instance.
        born_ms: Start time of its process, milliseconds since 1970.
        data_centre: Its data centre.
        region: Region of the data centre.
        callers: ``IP:PORT`` for requests.
        peers: ``IP:PORT`` for messages of other instances.
        leaving: Whether it is shutting down.
        link_mbps: Bandwidth of its link as far as the choice of relays and of
            the leader takes it into account; 0 otherwise.
    """

    name: str
    born_ms: int
    data_centre: str
    region: str
    callers: str
    peers: str
    leaving: bool = False
    link_mbps: float = 0.0


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A live instance.

    Attributes:
        contact: Identity and addresses.
        store_connected: Whether it receives changes of the configuration.
    """

    contact: Contact
    store_connected: bool = False


@dataclasses.dataclass(frozen=True)
class StoreConnection:
    """Whether an instance is connected to the store, and since when.

    Attributes:
        connected: Whether it is connected, as last reported.
        since: Monotonic time of the first such report, in seconds.
    """

    connected: bool
    since: float

    def is_settled(self, now: float) -> bool:
        """Returns whether this has not changed for a while."""
        return now - self.since >= STORE_SETTLE_S


@dataclasses.dataclass(frozen=True)
class ReportedMembers:
    """List of members that another instance reported.

    Attributes:
        received_at: Monotonic time of its last confirmation, in seconds.
        digest: Digest by which the sender recognises the list.
        members: Reported members.
    """

    received_at: float
    digest: int
    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True)
class MemberList:
    """Members that are sent to other instances.

    Attributes:
        members: Members ordered by name.
        digest: Digest by which the receiver recognises the list.
        is_complete: Whether it has all live members, for a follower.
    """

    members: tuple[Member, ...]
    digest: int
    is_complete: bool = False

    @classmethod
    def of(
        cls, members: tuple[Member, ...], is_complete: bool = False
    ) -> MemberList:
        """Returns the list of some members, which are ordered by name."""
        return cls(members, digest(members), is_complete)


@dataclasses.dataclass(frozen=True)
class _LiveMembers:
    """Live members, which are the same until a change or a time.

    Attributes:
        by_name: Members by name.
        by_data_centre: Names by data centre.
        valid_until: Time at which the first of the messages expires that show
            members as live.
    """

    by_name: dict[str, Member]
    by_data_centre: dict[str, list[str]]
    valid_until: float


class MemberTable:
    """Members of the relay scheme.

    Load pattern: each of 65 or 340 instances needs the outstanding work, the
    suspicions and the state of all others within half a second. One instance
    of each data centre is its relay. The other instances of the data centre
    exchange messages only with it, and the relays with each other, so that the
    messages of an instance do not grow with the number of instances.

    Attributes:
        contacts: Other instances by name.
        direct: Time and state of the last direct message, by sender.
        reported: List of members that each relay or follower reported, by
            sender.
        followers: Time at which an instance last used this one as its relay.
        skipped_until: Time until which an instance is not used as a relay.
        presumed_until: Time until which an instance that has not sent any
            message is a candidate for the relay, so that instances which start
            together choose the same one.
        store_connections: Connection of each instance to the store.
        live_cache: Live members by the sender whose list is ignored.
        list_cache: List to send by receiver, with the members it was made of.
        recorded_live: Live members whose connection to the store is recorded.
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
        self.store_connections: dict[str, StoreConnection] = {}
        self.live_cache: dict[str, _LiveMembers] = {}
        self.list_cache: dict[str, tuple[_LiveMembers, Member, MemberList]] = {}
        self.recorded_live: _LiveMembers | None = None

    def apply_contact(self, contact: Contact, now: float) -> bool:
        """Applies a contact; returns whether the instance is new."""
        if contact.name == self.name:
            return False
        previous = self.contacts.get(contact.name)
        if previous is not None:
            if previous.born_ms > contact.born_ms:
                return False
            # A process that is leaving never returns to service.
            if previous.born_ms == contact.born_ms and previous.leaving:
                return False
        if contact != previous:
            self.contacts[contact.name] = contact
            self.live_cache.clear()
        if previous is None or previous.born_ms < contact.born_ms:
            self.presumed_until[contact.name] = now + LIVENESS_TIMEOUT_S
        return previous is None

    def born_ms(self, name: str) -> int:
        """Returns the latest known start time of an instance; 0 for none."""
        contact = self.contacts.get(name)
        return contact.born_ms if contact is not None else 0

    def record_message(self, member: Member, follows: bool, now: float) -> None:
        """Records a direct message of another instance.

        Args:
            member: The sender.
            follows: Whether it uses this instance as its relay.
            now: Monotonic time in seconds.
        """
        name = member.contact.name
        previous_at, previous = self.direct.get(name, (float("-inf"), None))
        if (
            now - previous_at >= LIVENESS_TIMEOUT_S
            or member != previous
            or follows != (name in self.followers)
        ):
            self.live_cache.clear()
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
        """Applies a reported list; without members it confirms the last one."""
        previous = self.reported.get(sender)
        if members is None:
            if previous is None or previous.digest != digest:
                return
            members = previous.members
        if (
            previous is None
            or now - previous.received_at >= LIVENESS_TIMEOUT_S
            or members != previous.members
        ):
            self.live_cache.clear()
        self.reported[sender] = ReportedMembers(now, digest, members)

    def reported_digest(self, sender: str) -> int:
        """Returns the digest of the latest list from a sender."""
        previous = self.reported.get(sender)
        return previous.digest if previous is not None else NO_DIGEST

    def record_no_answer(self, name: str, now: float) -> None:
        """Records that an instance did not answer."""
        self.skipped_until[name] = now + RELAY_SKIP_S

    def live_members(self, now: float, without: str = "") -> dict[str, Member]:
        """Returns live instances by name, without this one.

        Args:
            now: Monotonic time in seconds.
            without: Instance whose reported list is ignored.
        """
        return self._live(now, without).by_name

    def sent_list(
        self, own: Member, now: float, follower: str = ""
    ) -> MemberList:
        """Returns the list of members for another instance.

        Args:
            own: This instance.
            now: Monotonic time in seconds.
            follower: Receiver that follows this instance; empty for others.
        """
        live = self._live(now, follower)
        cached = self.list_cache.get(follower)
        if cached is not None and cached[0] is live and cached[1] == own:
            return cached[2]
        if follower:
            listed = self._shared_list(own, now, follower, live)
        else:
            listed = MemberList.of(self.relayed_members(own, now))
        self.list_cache[follower] = (live, own, listed)
        return listed

    def _shared_list(
        self, own: Member, now: float, follower: str, live: _LiveMembers
    ) -> MemberList:
        """Returns a list that all followers share, unless theirs differ."""
        for known_live, known_own, listed in self.list_cache.values():
            if known_live is live and known_own == own and listed.is_complete:
                return listed
        return MemberList.of(
            self.all_members(own, now, follower), is_complete=True
        )

    def _live(self, now: float, without: str = "") -> _LiveMembers:
        """Returns the live members, again the same if nothing changed."""
        if without and not self._adds_members(without, now):
            without = ""
        cached = self.live_cache.get(without)
        if cached is not None and now < cached.valid_until:
            return cached
        oldest = now
        by_name: dict[str, Member] = {}
        for name, (at, member) in self.direct.items():
            if now - at < LIVENESS_TIMEOUT_S:
                oldest = min(oldest, at)
                by_name[name] = self._current(member)
        for sender, report in self.reported.items():
            at = report.received_at
            if sender == without or now - at >= LIVENESS_TIMEOUT_S:
                continue
            oldest = min(oldest, at)
            for member in report.members:
                name = member.contact.name
                if name != self.name and name not in by_name:
                    by_name[name] = self._current(member)
        by_data_centre: dict[str, list[str]] = {}
        for name, member in by_name.items():
            names = by_data_centre.setdefault(member.contact.data_centre, [])
            names.append(name)
        live = _LiveMembers(
            by_name, by_data_centre, oldest + LIVENESS_TIMEOUT_S
        )
        self.live_cache[without] = live
        return live

    def _adds_members(self, sender: str, now: float) -> bool:
        """Returns whether only a sender's list may show members as live."""
        report = self.reported.get(sender)
        if report is None:
            return False
        for member in report.members:
            name = member.contact.name
            at, _ = self.direct.get(name, (float("-inf"), None))
            if name != self.name and now - at >= LIVENESS_TIMEOUT_S:
                return True
        return False

    def relayed_members(self, own: Member, now: float) -> tuple[Member, ...]:
        """Returns this instance and its followers, ordered by name."""
        group = {own.contact.name: own}
        for name, at in self.followers.items():
            if now - at >= LIVENESS_TIMEOUT_S:
                continue
            group[name] = self._current(self.direct[name][1])
            report = self.reported.get(name)
            if (
                report is not None
                and now - report.received_at < LIVENESS_TIMEOUT_S
            ):
                for member in report.members:
                    group.setdefault(member.contact.name, member)
        return _sorted(group.values())

    def all_members(
        self, own: Member, now: float, receiver: str
    ) -> tuple[Member, ...]:
        """Returns all live instances, as they are reported to a follower.

        Members that only this follower has reported are excluded, so that two
        instances never confirm a third one to each other.
        """
        live = self.live_members(now, without=receiver)
        return _sorted((own, *live.values()))

    def choose_relay(self, own: Member, now: float) -> str | None:
        """Returns the relay of this instance; None if it is the relay itself.

        The relay is the first instance of the data centre by name, among those
        that are connected to the store if any are.

        Load pattern: the store fails for all of 65 instances, which notice it
        within some tenths of a second. If each notice changed the relays, the
        instances would lose each other and count the same work several times.
        They leave a relay only once it has been without the store for a while;
        a relay that loses the store follows another one at once.
        """
        first = self.relay_of(self.data_centre, own, now)
        return None if first == self.name else first

    def relay_of(self, data_centre: str, own: Member, now: float) -> str:
        """Returns the relay of a data centre; empty if there is none.

        Load pattern: the machines of a data centre have links of 10 and of 100
        Mbit/s. Lists and plans for 29 instances occupy a small link for
        seconds, and all that the relay sends and checks is late.
        """
        live = self._live(now)
        if live is not self.recorded_live:
            for member in live.by_name.values():
                self._record_store(member, now)
            self.recorded_live = live
        members = {
            name: live.by_name[name].contact
            for name in live.by_data_centre.get(data_centre, ())
        }
        for name, until in self.presumed_until.items():
            if now < until and name not in live.by_name:
                members[name] = self.contacts[name]
        candidates = [
            c
            for c in (*members.values(), own.contact)
            if c.data_centre == data_centre
            and not c.leaving
            and self.skipped_until.get(c.name, now) <= now
        ]
        if not candidates:
            return self.name if data_centre == self.data_centre else ""
        names = preferred_names(candidates)
        if any(self._has_store(n, now) for n in names):
            return min(names, key=lambda n: self._lacks_store(n, own, now))
        return names[0]

    def other_relays(self, own: Member, now: float) -> list[str]:
        """Returns the relays of the other data centres."""
        data_centres = {c.data_centre for c in self.contacts.values()}
        data_centres.discard(self.data_centre)
        relays = (self.relay_of(d, own, now) for d in sorted(data_centres))
        return [name for name in relays if name]

    def expire(self, now: float) -> None:
        """Removes followers that have failed or chosen another relay."""
        self.followers = {
            n: at
            for n, at in self.followers.items()
            if now - at < LIVENESS_TIMEOUT_S
        }
        self.presumed_until = {
            n: t for n, t in self.presumed_until.items() if now < t
        }

    def remove(self, name: str) -> None:
        """Removes an instance."""
        self.contacts.pop(name, None)
        self.direct.pop(name, None)
        self.reported.pop(name, None)
        self.followers.pop(name, None)
        self.skipped_until.pop(name, None)
        self.presumed_until.pop(name, None)
        self.store_connections.pop(name, None)
        self.live_cache.clear()
        self.list_cache.pop(name, None)

    def _record_store(self, member: Member, now: float) -> None:
        name, connected = member.contact.name, member.store_connected
        known = self.store_connections.get(name)
        if known is None:
            first = StoreConnection(connected, float("-inf"))
            self.store_connections[name] = first
        elif known.connected != connected:
            self.store_connections[name] = StoreConnection(connected, now)

    def _has_store(self, name: str, now: float) -> bool:
        """Returns whether another instance has had the store for a while."""
        known = self.store_connections.get(name)
        return known is not None and known.connected and known.is_settled(now)

    def _lacks_store(self, name: str, own: Member, now: float) -> bool:
        """Returns whether an instance makes way for one with the store."""
        if name == own.contact.name:
            return not own.store_connected
        known = self.store_connections.get(name)
        return (
            known is not None and not known.connected and known.is_settled(now)
        )

    def _current(self, member: Member) -> Member:
        """Returns a member with the latest contact of its instance."""
        latest = self.contacts.get(member.contact.name)
        if latest is None or latest == member.contact:
            return member
        return Member(latest, member.store_connected)


def preferred_names(contacts: Iterable[Contact]) -> list[str]:
    """Returns names by suitability for work for many instances, best first.

    >>> a, b = (Contact(n, 1, "", "", "", "") for n in "ab")
    >>> preferred_names([msgspec.structs.replace(b, link_mbps=100.0), a])
    ['b', 'a']
    """
    ordered = sorted(contacts, key=lambda c: (-c.link_mbps, c.name))
    return [c.name for c in ordered]


def digest(members: Iterable[Member]) -> int:
    """Returns the digest of a list of members.

    >>> digest([]) == digest([]) != NO_DIGEST
    True
    """
    return zlib.crc32(msgspec.msgpack.encode(list(members))) or 1


def _sorted(members: Iterable[Member]) -> tuple[Member, ...]:
    return tuple(sorted(members, key=lambda m: m.contact.name))
