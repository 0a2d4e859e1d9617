"""Messages between instances that forward requests to upstreams."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from yuccatally.core.forwarding import crash_evidence
from yuccatally.core.forwarding import members
from yuccatally.core.forwarding import pace_messages
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import rate_limits
from yuccatally.core.forwarding import suspicions
from yuccatally.core.forwarding import upstreams
from yuccatally.telemetry import traces  # noqa: TC001


class HeldLayers(msgspec.Struct, array_like=True, frozen=True):
    """Layers that an engine has confirmed to hold; ``last`` is exclusive."""

    name: str
    born_ms: int
    first: int
    last: int


class OutstandingWork(msgspec.Struct, array_like=True, frozen=True):
    """Requests and tokens of instances under way on a path or upstream."""

    requests: int
    tokens: float


class LeaderState(msgspec.Struct, array_like=True, frozen=True):
    """State that the leader distributes to all instances.

    Attributes:
        holder: Name of the leader, the instance that holds the control lease.
        fence: Fencing number of its lease.
        sequence: Number of this state under that lease; it increases.
        age_s: Time since the leader published the state, in seconds.
        failed: Engines that are confirmed as not answering.
        held_layers: Layers of engines whose entries do not show them yet.
        plans: Plans by service that are not stored yet.
        content: Number of the last three fields under that lease; it increases
            with each change. 0 from a version that does not number them.
        is_repeat: Whether they are left out, as the receiver has them.
    """

    holder: str
    fence: int
    sequence: int
    age_s: float = 0.0
    failed: tuple[suspicions.Incarnation, ...] = ()
    held_layers: tuple[HeldLayers, ...] = ()
    plans: dict[str, pipelines.Plan] = {}
    content: int = 0
    is_repeat: bool = False

    @property
    def content_key(self) -> tuple[str, int, int]:
        """Identifies the content, whichever instance passes it on."""
        return (self.holder, self.fence, self.content)

    @property
    def order_key(self) -> tuple[int, int]:
        """Sort key; a later lease takes precedence over a later sequence."""
        return (self.fence, self.sequence)


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """State of the sender; the reply holds the state of the receiver.

    Attributes:
        sender: How the sender is reached.
        rules_version: Version of its configuration; 0 for none.
        store_connected: Whether its watch of the configuration works.
        upstreams_revision: Revision of the latest change of an upstream entry
            that it received.
        list_generation: Generation of its upstreams and plans.
        follows_receiver: Whether the receiver is the sender's relay.
        is_relay: Whether the sender follows no relay.
        outstanding: Outstanding work by path or upstream, of the sender and
            of the instances that follow it.
        outstanding_elsewhere: Outstanding work of all instances but the
            receiver and those that follow it; only from a relay to its
            followers.
        members_digest: Digest of the sender's list of members, set even if the
            list itself is omitted.
        member_list: The list: for a follower all live instances, otherwise the
            sender and those that follow it; None if the receiver has it.
        receiver_digest: Digest of the receiver's list that the sender has.
        engine_suspicions: Engines that requests found at fault.
        leader_state: Latest state that the leader published.
        receiver_born_ms: Latest start time of the receiver that the sender
            knows, milliseconds since 1970; 0 for none.
        leaving: Upstreams that have stated in a response that they leave, as
            far as the sender learned of it in the last seconds.
        prompts: Evidence on requests that crash engines; None without any.
        limits: Request rates that upstreams accept, or some of them.
        store_epoch: Latest epoch of the store that the sender knows; 0 for
            none.
        configuration_revision: Revision of the latest change of the
            configuration that its watch received.
        plans_revision: Revision of the latest change of a plan that its watch
            received.
        covered: Part of ``outstanding`` that the keepers of paths are told of
            directly.
        covered_elsewhere: The same part of ``outstanding_elsewhere``.
        paces: Limits of servers that have started or recovered, or the latest
            of them.
    """

    reply: ClassVar[type]

    sender: members.Contact
    rules_version: int = 0
    store_connected: bool = False
    upstreams_revision: int = 0
    list_generation: int = 0
    follows_receiver: bool = False
    is_relay: bool = False
    outstanding: dict[str, OutstandingWork] = {}
    outstanding_elsewhere: dict[str, OutstandingWork] | None = None
    members_digest: int = members.NO_DIGEST
    member_list: tuple[members.Member, ...] | None = None
    receiver_digest: int = members.NO_DIGEST
    engine_suspicions: tuple[suspicions.Suspicion, ...] = ()
    leader_state: LeaderState | None = None
    receiver_born_ms: int = 0
    leaving: tuple[suspicions.Incarnation, ...] = ()
    prompts: crash_evidence.Evidence | None = None
    limits: tuple[rate_limits.SharedLimit, ...] = ()
    store_epoch: int = 0
    configuration_revision: int = 0
    plans_revision: int = 0
    covered: dict[str, OutstandingWork] = {}
    covered_elsewhere: dict[str, OutstandingWork] | None = None
    paces: tuple[pace_messages.SharedPace, ...] = ()


Heartbeat.reply = Heartbeat


class TurnReply(msgspec.Struct, array_like=True, frozen=True):
    """A turn at a rate-limited upstream, or when the next one comes.

    Attributes:
        granted: Whether the turn was reserved.
        wait_s: Time until the turn, or until the next one that is not given
            yet, in seconds.
    """

    granted: bool
    wait_s: float


class TurnRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests a turn at a rate-limited upstream.

    Attributes:
        limit: The limit as the sender knows it.
        max_wait_s: Longest time until the turn, in seconds.
    """

    reply: ClassVar[type] = TurnReply

    limit: rate_limits.SharedLimit
    max_wait_s: float


class RoomReply(msgspec.Struct, array_like=True, frozen=True):
    """Reply of the keeper of a path.

    Attributes:
        is_keeper: Whether the receiver keeps the account of the path.
        granted: Whether the sender may start the request.
    """

    is_keeper: bool
    granted: bool


class RoomRequest(msgspec.Struct, array_like=True, frozen=True):
    """States what the sender holds on a path, and may ask for more.

    Attributes:
        sender: Name of the sender.
        born_ms: Start time of its process, milliseconds since 1970.
        sequence: Number of the statement; it increases.
        path: Name of the path.
        held_requests: Requests of the sender on the path, with those that it
            has asked for before.
        held_tokens: Tokens of these requests.
        tokens: Tokens of one more request; None to ask for nothing.
        room_requests: Requests that the path takes from all instances.
        room_tokens: Tokens that the path takes from all instances.
    """

    reply: ClassVar[type] = RoomReply

    sender: str
    born_ms: int
    sequence: int
    path: str
    held_requests: int
    held_tokens: float
    tokens: float | None = None
    room_requests: int = 0
    room_tokens: float = 0.0


class RulesReply(msgspec.Struct, array_like=True, frozen=True):
    """The configuration in force, in the platform's format.

    Attributes:
        version: Version of the configuration; 0 if there is no newer one.
        spec: Content of the configuration, JSON compressed with zlib.
    """

    version: int
    spec: bytes


class RulesPull(msgspec.Struct, array_like=True, frozen=True):
    """Requests the configuration if it is newer than the sender's.

    Attributes:
        known_version: Version that the sender has; 0 for none.
    """

    reply: ClassVar[type] = RulesReply

    known_version: int


class UpstreamsPage(msgspec.Struct, array_like=True, frozen=True):
    """One page of an instance's upstreams, with its plans.

    Attributes:
        store_revision: Revision of the store that the upstreams reflect; 0
            for none.
        generation: Generation of the list; all pages of a list have the same.
        entries: Upstreams in the order of their names.
        has_more: Whether further pages follow.
        plans: Plans by service, on the first page only and only if they have
            changed.
        changes_only: Whether the entries are only the changes since the
            requested generation.
        removed: Names of upstreams that were removed since then.
        plans_generation: Generation of the plans.
    """

    store_revision: int
    generation: int
    entries: tuple[upstreams.Upstream, ...] = ()
    has_more: bool = False
    plans: dict[str, pipelines.Plan] = {}
    changes_only: bool = False
    removed: tuple[str, ...] = ()
    plans_generation: int = 0


class UpstreamsPull(msgspec.Struct, array_like=True, frozen=True):
    """Requests a page of upstreams.

    Attributes:
        known_generation: Generation of the receiver's list that the sender
            has; 0 to request the whole list.
        after: Name after which the page starts.
        known_plans_generation: Generation of the receiver's plans that the
            sender has; 0 for none.
    """

    reply: ClassVar[type] = UpstreamsPage

    known_generation: int
    after: str = ""
    known_plans_generation: int = 0


class SpansReply(msgspec.Struct, array_like=True, frozen=True):
    """Spans that an instance recorded for a request."""

    spans: tuple[traces.SpanRecord, ...] = ()


class SpansPull(msgspec.Struct, array_like=True, frozen=True):
    """Requests the spans of a request.

    Attributes:
        request: Id that the client assigned to its attempt.
    """

    reply: ClassVar[type] = SpansReply

    request: str
