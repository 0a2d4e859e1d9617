"""Messages between instances that forward requests."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from yuccatally.core.forwarding import findings
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import upstreams
from yuccatally.core.forwarding import views
from yuccatally.telemetry import traces  # noqa: TC001


class HeldLayers(msgspec.Struct, array_like=True, frozen=True):
    """Layers that an engine was seen to hold; ``last`` is exclusive."""

    name: str
    born_ms: int
    first: int
    last: int


class OutstandingWork(msgspec.Struct, array_like=True, frozen=True):
    """Requests of an instance on a path or upstream."""

    requests: int
    tokens: float


class LeaderState(msgspec.Struct, array_like=True, frozen=True):
    """What the holder of the lease of control tells all instances.

    Attributes:
        holder: Name of the instance.
        fence: Fencing number of its lease.
        number: Number of this news under that lease; it grows.
        age_s: Time since the holder said it, in seconds.
        lost: Engines that do not answer.
        held: Layers of engines that their entries do not show yet.
        plans: Plans by service that the store does not have yet.
    """

    holder: str
    fence: int
    sequence: int
    age_s: float = 0.0
    failed: tuple[findings.Engine, ...] = ()
    held_layers: tuple[HeldLayers, ...] = ()
    plans: dict[str, pipelines.Plan] = {}

    @property
    def order_key(self) -> tuple[int, int]:
        """Order of news: a later holder of the lease goes first."""
        return (self.fence, self.sequence)


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """State of the sender; the reply is that of the receiver.

    Attributes:
        sender: The sender.
        rules_version: Version of its configuration; 0 for none.
        store_up: Whether its watch of the configuration is up.
        upstreams_revision: Newest change of an upstream's entry that it saw.
        list_generation: Number of the last change of its upstreams and plans.
        follows: Whether the receiver is the sender's relay.
        relays: Whether the sender has no relay but itself.
        loads: Requests under way by path or upstream, of the sender and of
            the instances that follow it.
        rest: The same of all instances but the receiver and those that follow
            it; only from a relay to its followers.
        digest: Digest of the sender's list of instances.
        members: The list: for a follower all live instances, else the sender
            and those that follow it; None if the receiver has it.
        known_digest: Digest of the receiver's list that the sender has.
        found: Engines that requests found at fault.
        news: Latest news of the holder of the lease.
    """

    reply: ClassVar[type]

    sender: views.Contact
    rules_version: int = 0
    store_up: bool = False
    upstreams_revision: int = 0
    list_generation: int = 0
    follows_receiver: bool = False
    is_relay: bool = False
    outstanding: dict[str, OutstandingWork] = {}
    outstanding_elsewhere: dict[str, OutstandingWork] | None = None
    members_digest: int = views.NO_DIGEST
    members: tuple[views.Member, ...] | None = None
    receiver_digest: int = views.NO_DIGEST
    suspicions: tuple[findings.Finding, ...] = ()
    leader_state: LeaderState | None = None


Heartbeat.reply = Heartbeat


class RulesReply(msgspec.Struct, array_like=True, frozen=True):
    """A configuration as the platform holds it.

    Attributes:
        version: Its version; 0 for none.
        spec: Its content, JSON compressed with zlib.
    """

    version: int
    spec: bytes


class RulesPull(msgspec.Struct, array_like=True, frozen=True):
    """Asks for the configuration in force."""

    reply: ClassVar[type] = RulesReply

    known_version: int


class UpstreamsPage(msgspec.Struct, array_like=True, frozen=True):
    """Part of the upstreams that an instance knows.

    Attributes:
        reached: Revision of the store up to which it knows them; 0 for none.
        generation: Number of the last change; pages of one list share it.
        entries: Upstreams by the order of their names.
        more: Whether more follow.
        plans: Plans by service, if they have changed; with the first page.
        changes_only: Whether these are just the changes since the generation
            that was asked for.
        removed: Names of upstreams that are gone since then.
        plans_generation: Number of the last change of the plans.
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
    """Asks for upstreams.

    Attributes:
        known: Generation that the sender has of the receiver; 0 for none.
        after: Name after which the page starts.
        known_plans: The same of its plans.
    """

    reply: ClassVar[type] = UpstreamsPage

    known_generation: int
    after: str = ""
    known_plans_generation: int = 0


class SpansReply(msgspec.Struct, array_like=True, frozen=True):
    """Spans that an instance has of a request."""

    spans: tuple[traces.SpanRecord, ...] = ()


class SpansPull(msgspec.Struct, array_like=True, frozen=True):
    """Asks for the spans of a request.

    Attributes:
        request: Id that the client gave to its attempt.
    """

    reply: ClassVar[type] = SpansReply

    request: str
