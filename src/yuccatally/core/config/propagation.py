"""Choice of watchers, and propagation of changes between instances."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec

from yuccatally.core import rendezvous
from yuccatally.core.config import configuration
from yuccatally.core.config import documents

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

WATCHER_COUNT = 2
PUSH_TARGET_COUNT = 4
MAX_PUSH_BYTES = 16_000
# Instances pull changes beyond this rate after comparing revisions in probes.
PUSH_RATE_BYTES_PER_S = 4_000.0
PART_BYTES = 48_000
ENCODED_CACHE_COUNT = 4
# An equal revision with a different hash means that an instance missed an
# event; for this time the event may still be under way.
DIVERGENCE_GRACE_S = 1.0


class PushReply(msgspec.Struct, array_like=True, frozen=True):
    """Reply to ``ConfigPush`` with the state of its recipient."""

    revision: int
    content_hash: int


class ConfigPush(msgspec.Struct, array_like=True, frozen=True):
    """Changes since a revision, which the sender has just applied."""

    reply: ClassVar[type] = PushReply
    sender: str
    address: str
    since: int
    revision: int
    changes: tuple[documents.Document, ...]


class ConfigPart(msgspec.Struct, array_like=True, frozen=True):
    """Reply to ``ConfigPull`` with one part of the encoded changes.

    Attributes:
        version_tag: Revision before the changes, revision after them and
            content hash; equal in all parts.
        deletion_floor: See ``configuration.Delta``.
        total_bytes: Length of all parts in bytes.
        data: Bytes from the requested offset.
    """

    version_tag: tuple[int, int, int]
    deletion_floor: int
    total_bytes: int
    data: bytes


class ConfigPull(msgspec.Struct, array_like=True, frozen=True):
    """Requests the changes since a revision; -1 requests all objects."""

    reply: ClassVar[type] = ConfigPart
    since: int
    offset: int = 0
    version_tag: tuple[int, int, int] = (0, 0, 0)


class BlockedObject(msgspec.Struct, array_like=True, frozen=True):
    """An object that an instance cannot apply, and the reason."""

    kind: str
    name: str
    revision: int
    problem: str


class InForce(msgspec.Struct, array_like=True, frozen=True):
    """State of the configuration in force on one instance.

    ``platform`` is empty, ``down`` or ``behind``. ``behind`` means that the
    platform reports a revision below the one in force.
    """

    name: str
    revision: int
    content_hash: int
    watching: bool
    platform: str
    blocked: tuple[BlockedObject, ...] = ()


class InForceQuery(msgspec.Struct, array_like=True, frozen=True):
    """Requests the state of an instance's configuration."""

    reply: ClassVar[type] = InForce


@dataclasses.dataclass(frozen=True)
class Pull:
    """Instructs the agent to request changes from a member.

    Attributes:
        name: Name of the member.
        since: Revision after which changes are requested; -1 for all objects.
    """

    name: str
    since: int


def select_watchers(names: Iterable[str], data_centre: str) -> tuple[str, ...]:
    """Returns the members of a data centre that watch the platform."""
    return rendezvous.ranked(data_centre, names, WATCHER_COUNT)


class ConfigPropagator:
    """Pushes, pulls and serves changes of the configuration.

    Attributes:
        config: Configuration of the instance.
        known_revisions: Highest known revision of each member, by name.
        pulling: Whether a pull is under way.
        last_own_state: Own revision and content hash at the last comparison.
        push_credit_bytes: Bytes that may be pushed now.
        pushed_revision: Revision in force at the last call of
            ``prepare_push``.
        encoded_deltas: Encoded changes being pulled, by version tag.
    """

    def __init__(
        self, config: configuration.Configuration, rng: random.Random
    ) -> None:
        self.config = config
        self.rng = rng
        self.known_revisions: dict[str, int] = {}
        self.pulling = False
        self.last_own_state = (0, 0)
        self.own_state_changed_at = -math.inf
        self.last_full_pull_at = -math.inf
        self.push_credit_bytes = float(MAX_PUSH_BYTES)
        self.push_credit_updated_at = 0.0
        self.pushed_revision = 0
        self.encoded_deltas: dict[tuple[int, int, int], bytes] = {}

    def prepare_push(
        self,
        members: Iterable[tuple[str, str]],
        own: tuple[str, str],
        now: float,
    ) -> tuple[list[str], ConfigPush | None]:
        """Returns recipients and push of the changes since the last call.

        Args:
            members: Names and addresses of the other active members.
            own: Name and address of this instance.
            now: Current time.
        """
        self.push_credit_bytes += (
            now - self.push_credit_updated_at
        ) * PUSH_RATE_BYTES_PER_S
        self.push_credit_bytes = min(
            self.push_credit_bytes, float(MAX_PUSH_BYTES)
        )
        self.push_credit_updated_at = now
        since, self.pushed_revision = self.pushed_revision, self.config.revision
        if since == 0 or self.pushed_revision <= since:
            # Other members already have the first configuration after a start.
            return [], None
        addresses = [
            address
            for name, address in members
            if self.known_revisions.get(name, 0) < self.pushed_revision
        ]
        recipients = self.rng.sample(
            addresses, min(PUSH_TARGET_COUNT, len(addresses))
        )
        delta = self.config.delta_since(since)
        if delta is None or not recipients:
            return [], None
        changes = tuple(map(documents.document_from, delta.events))
        length = len(msgspec.msgpack.encode(changes))
        if (
            length > MAX_PUSH_BYTES
            or length * len(recipients) > self.push_credit_bytes
        ):
            # The recipients pull the changes in parts.
            changes, since = (), self.pushed_revision
            length = 0
        self.push_credit_bytes -= length * len(recipients)
        return recipients, ConfigPush(
            *own, since, self.pushed_revision, changes
        )

    def on_push(self, push: ConfigPush) -> tuple[bool, Pull | None]:
        """Applies the changes of a push.

        Returns:
            Whether the configuration changed, and the pull to start if
            earlier changes are missing.
        """
        self.record_revision(push.sender, push.revision)
        if push.revision <= self.config.revision:
            return False, None
        if push.since > self.config.revision or not push.changes:
            return False, self._start_pull(push.sender, self.config.revision)
        return self.apply(push.since, push.revision, push.changes), None

    def apply(
        self,
        since: int,
        revision: int,
        changes: Iterable[documents.Document],
        deletion_floor: int = 0,
    ) -> bool:
        """Applies changes from a peer and returns whether any took effect."""
        before = (self.config.revision, self.config.content_hash)
        events = tuple(map(documents.event_from, changes))
        self.config.apply_delta(
            configuration.Delta(max(since, 0), revision, events, deletion_floor)
        )
        return before != (self.config.revision, self.config.content_hash)

    def on_peer_state(
        self, name: str, revision: int, content_hash: int, now: float
    ) -> Pull | None:
        """Compares the reported state of a member with the own state."""
        self.record_revision(name, revision)
        if revision > self.config.revision:
            return self._start_pull(name, self.config.revision)
        own = (self.config.revision, self.config.content_hash)
        if own != self.last_own_state:
            self.last_own_state, self.own_state_changed_at = own, now
        if (
            revision < self.config.revision
            or content_hash == self.config.content_hash
        ):
            return None
        if (
            now - max(self.own_state_changed_at, self.last_full_pull_at)
            < DIVERGENCE_GRACE_S
        ):
            return None
        self.last_full_pull_at = now
        return self._start_pull(name, -1)

    def record_revision(self, name: str, revision: int) -> None:
        """Records that a member has a revision."""
        self.known_revisions[name] = max(
            revision, self.known_revisions.get(name, 0)
        )

    def remove_member(self, name: str) -> None:
        """Removes the known revision of a failed member."""
        self.known_revisions.pop(name, None)

    def end_pull(self) -> None:
        """Records that a pull has ended."""
        self.pulling = False

    def read_part(self, pull: ConfigPull) -> ConfigPart:
        """Returns the part of the changes that a peer requests.

        A peer whose version tag does not match must start from the first part,
        because the configuration changed between its requests.
        """
        since = pull.since
        if since < self.config.deletion_floor:
            since = -1
        version_tag = (since, self.config.revision, self.config.content_hash)
        if pull.offset and pull.version_tag in self.encoded_deltas:
            version_tag = pull.version_tag
        data = self._encode(version_tag)
        offset = pull.offset if pull.version_tag == version_tag else 0
        deletion_floor = self.config.deletion_floor if since < 0 else 0
        part = data[offset : offset + PART_BYTES]
        return ConfigPart(version_tag, deletion_floor, len(data), part)

    def _encode(self, version_tag: tuple[int, int, int]) -> bytes:
        data = self.encoded_deltas.get(version_tag)
        if data is None:
            delta = self.config.delta_since(version_tag[0])
            if version_tag[0] < 0 or delta is None:
                delta = self.config.full_delta()
            changes = tuple(map(documents.document_from, delta.events))
            data = msgspec.msgpack.encode(changes)
            while len(self.encoded_deltas) >= ENCODED_CACHE_COUNT:
                del self.encoded_deltas[next(iter(self.encoded_deltas))]
            self.encoded_deltas[version_tag] = data
        return data

    def _start_pull(self, name: str, since: int) -> Pull | None:
        if self.pulling:
            return None
        self.pulling = True
        return Pull(name, since)


def in_force(
    name: str,
    config: configuration.Configuration,
    watching: bool,
    platform: str,
    limit: int = 64,
    problem_length: int = 200,
) -> InForce:
    """Returns the state of a configuration, with at most ``limit`` errors."""
    blocked = tuple(
        BlockedObject(
            kind, object_name, b.document.revision, b.problem[:problem_length]
        )
        for (kind, object_name), b in list(config.blocked.items())[:limit]
    )
    return InForce(
        name, config.revision, config.content_hash, watching, platform, blocked
    )
