"""The rules in force: routes, services, client accounts and limits."""

from __future__ import annotations

import dataclasses
import enum
import functools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class RepeatPolicy(enum.Enum):
    """What may be repeated of the requests on a route."""

    IDEMPOTENT = enum.auto()
    AT_MOST_ONCE = enum.auto()
    RESUMABLE_STREAM = enum.auto()
    STREAM = enum.auto()

    @property
    def is_stream(self) -> bool:
        """Whether answers are streams of events."""
        return self in (RepeatPolicy.RESUMABLE_STREAM, RepeatPolicy.STREAM)

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self in (RepeatPolicy.IDEMPOTENT, RepeatPolicy.RESUMABLE_STREAM)


@dataclasses.dataclass(frozen=True)
class Target:
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: Name of the route.
        host: Host of the requests, in lower case.
        path_prefix: Prefix of their path; it ends with a slash.
        targets: Services, at least one.
        repeat: What may be repeated.
        timeout_s: Longest time to the end of an answer.
        objective_s: Time to an answer, or to the first event of a stream.
        pause_objective_s: Longest pause between two events of a stream.
        max_attempts: Most upstreams that one request may be sent to.
        anonymous: Whether requests need no key.
        priority: Rank; 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    repeat: RepeatPolicy
    timeout_s: float
    objective_s: float
    pause_objective_s: float
    max_attempts: int
    anonymous: bool
    priority: int

    def choose_service(self, rng: random.Random) -> str:
        """Returns the service for one request."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [t.weight for t in self.targets]
        if not any(weights):
            weights = [1.0] * len(weights)
        return rng.choices(self.targets, weights)[0].service


@dataclasses.dataclass(frozen=True)
class Card:
    """A kind of accelerator.

    Attributes:
        name: Name of the kind.
        memory_mb: Memory for layers and requests.
        step_factor: Factor on the time of a decode step.
        read_factor: Factor on the time of everything else.
    """

    name: str
    memory_mb: float
    step_factor: float
    read_factor: float


@dataclasses.dataclass(frozen=True)
class Model:
    """How the engines of a service run their model.

    Attributes:
        slots: Requests that an engine takes at once as the first of a path.
        layers: Number of layers.
        layer_mb: Memory of one layer.
        load_s: Time to load all layers.
        loads_at_once: Loads that run at full speed at the same time.
        token_layer_bytes: Memory of a request for each token and layer.
        step_s: Time of a decode step over all layers.
        step_sequence_s: The same for each further request in the step.
        step_context_s: The same for each 1,000 tokens of their context.
        read_tokens_per_s: Prompt tokens read in a second over all layers.
        activation_bytes: Bytes handed to the next engine for each token.
        link_mbps: Bandwidth of the link of an engine.
        pipe_mbps: Bandwidth between two data centres, shared by all.
        prompt_tokens: Mean length of a prompt.
        answer_tokens: Mean length of an answer.
        cards: Kinds of accelerators by name.
    """

    slots: int
    layers: int
    layer_mb: float
    load_s: float
    loads_at_once: int
    token_layer_bytes: float
    step_s: float
    step_sequence_s: float
    step_context_s: float
    read_tokens_per_s: float
    activation_bytes: float
    link_mbps: float
    pipe_mbps: float
    prompt_tokens: float
    answer_tokens: float
    cards: dict[str, Card]

    def max_layers(self, card: Card) -> int:
        """Returns how many layers the memory of a card holds."""
        return min(self.layers, int(card.memory_mb // self.layer_mb))

    def tokens(self, card: Card, layers: int) -> float:
        """Returns the tokens that fit beside a number of layers."""
        left_mb = card.memory_mb - layers * self.layer_mb
        return max(0.0, left_mb) * 1e6 / (self.token_layer_bytes * layers)


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of upstreams that answer the same requests.

    Attributes:
        name: Name of the service.
        connections: Connections that one upstream accepts from all callers.
        health: Path of the health check of its upstreams.
        model: How its engines run their model; None for a plain service.
    """

    name: str
    connections: int
    health: str
    model: Model | None = None


@dataclasses.dataclass(frozen=True)
class ClientAccount:
    """A client account.

    Attributes:
        name: Name that upstreams are told.
        keys: Keys of its requests.
        priority: Rank that goes before that of the route; None if unset.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


def request_priority(route: Route, account: ClientAccount | None) -> int:
    """Returns the rank of a request; 0 is the most urgent.

    >>> desk = ClientAccount("desk", ("key",), priority=4)
    >>> policy = RepeatPolicy.STREAM
    >>> route = Route("r", "h", "/", (), policy, 1, 1, 1, 1, False, 2)
    >>> request_priority(route, desk), request_priority(route, None)
    (4, 2)
    """
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority


@dataclasses.dataclass(frozen=True)
class Limits:
    """What a client may send and how long it may take.

    Attributes:
        header_bytes: Longest request line and headers.
        body_bytes: Longest body.
        header_timeout_s: Longest time for the headers.
        idle_s: Longest time between two requests of a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Rules:
    """One version of the configuration.

    Attributes:
        version: Number of the version; it only grows.
        routes: Routes.
        services: Services by name.
        accounts: Client accounts; None if requests need no key at all.
        limits: Limits of clients.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: tuple[ClientAccount, ...] | None
    limits: Limits

    @functools.cached_property
    def by_prefix(self) -> dict[tuple[str, str], Route]:
        """Routes by host and path prefix."""
        return {(r.host, r.path_prefix): r for r in self.routes}

    @functools.cached_property
    def by_key(self) -> dict[str, ClientAccount]:
        """Client accounts by key."""
        return {k: a for a in self.accounts or () for k in a.keys}

    def match_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path.

        Args:
            host: Host of the request; a port is ignored.
            path: Path without its query.
        """
        host = host.lower()
        found = self._longest(host, path)
        if found is None and ":" in host:
            found = self._longest(host.rpartition(":")[0], path)
        return found

    def _longest(self, host: str, path: str) -> Route | None:
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            found = self.by_prefix.get((host, path[: slash + 1]))
            if found is not None:
                return found
            end = slash
        return None
