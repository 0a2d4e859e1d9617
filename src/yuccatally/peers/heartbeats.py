"""Messages between instances that forward requests."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from yuccatally.core.forwarding import pipelines  # noqa: TC001
from yuccatally.core.forwarding import upstreams  # noqa: TC001
from yuccatally.telemetry import traces  # noqa: TC001


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


class Engine(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of an engine."""

    name: str
    born_ms: int


class Held(msgspec.Struct, array_like=True, frozen=True):
    """Layers that an engine was seen to hold; ``last`` is exclusive."""

    name: str
    born_ms: int
    first: int
    last: int


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Requests of an instance on a path or upstream."""

    requests: int
    tokens: float


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """State of the sender; the reply is that of the receiver.

    Attributes:
        sender: The sender.
        rules_version: Version of its configuration; 0 for none.
        store_up: Whether its watch of the configuration is up.
        upstreams_revision: Newest change of an upstream's entry that it saw.
        loads: Requests under way by path or upstream.
        doubts: Engines that its requests found at fault.
        refusers: Engines that its requests were refused for.
        leads: Whether it holds the lease of control.
        lost: Engines that do not answer; only from the holder of the lease.
        held: Layers of engines; only from the holder of the lease.
        plans: Plans by service that the store does not have yet; only from
            the holder of the lease.
        others: Instances that it knows.
    """

    reply: ClassVar[type]

    sender: Contact
    rules_version: int = 0
    store_up: bool = False
    upstreams_revision: int = 0
    loads: dict[str, Load] = {}
    doubts: tuple[Engine, ...] = ()
    refusers: tuple[Engine, ...] = ()
    leads: bool = False
    lost: tuple[Engine, ...] = ()
    held: tuple[Held, ...] = ()
    plans: dict[str, pipelines.Plan] = {}
    others: tuple[Contact, ...] = ()


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

    known: int


class UpstreamsPage(msgspec.Struct, array_like=True, frozen=True):
    """Part of the upstreams that an instance knows.

    Attributes:
        reached: Revision of the store up to which it knows them; 0 for none.
        generation: Number of the last change; pages of one list share it.
        entries: Upstreams by the order of their names.
        more: Whether more follow.
        plans: Plans by service; with the first page only.
    """

    reached: int
    generation: int
    entries: tuple[upstreams.Upstream, ...] = ()
    more: bool = False
    plans: dict[str, pipelines.Plan] = {}


class UpstreamsPull(msgspec.Struct, array_like=True, frozen=True):
    """Asks for upstreams.

    Attributes:
        known: Generation that the sender has of the receiver; 0 for none.
        after: Name after which the page starts.
    """

    reply: ClassVar[type] = UpstreamsPage

    known: int
    after: str = ""


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
