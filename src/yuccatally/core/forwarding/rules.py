"""Rules in force: routes, services, client accounts and limits."""

from __future__ import annotations

import dataclasses
import enum
import functools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class RepeatPolicy(enum.Enum):
    """Conditions under which requests of a route may be retried."""

    IDEMPOTENT = enum.auto()
    AT_MOST_ONCE = enum.auto()
    RESUMABLE_STREAM = enum.auto()
    STREAM = enum.auto()

    @property
    def is_stream(self) -> bool:
        """Whether answers are event streams."""
        return self in (RepeatPolicy.RESUMABLE_STREAM, RepeatPolicy.STREAM)

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have been executed can be retried."""
        return self in (RepeatPolicy.IDEMPOTENT, RepeatPolicy.RESUMABLE_STREAM)


@dataclasses.dataclass(frozen=True)
class Target:
    """A service to which a route sends a share of its requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Routing rule for the requests of a host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name in lower case.
        path_prefix: Prefix of the URL path; it ends with a slash.
        targets: Services with their weights, at least one.
        repeat: Conditions for retries.
        timeout_s: Maximum time to the end of an answer.
        objective_s: Target for the time to an answer, or to the first event of
            a stream.
        pause_objective_s: Target for the maximum pause between two events of a
            stream.
        max_attempts: Maximum number of upstreams to which one request is sent.
        anonymous: Whether requests are accepted without an API key.
        priority: Priority; 0 is the most urgent.
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
        """Chooses the service for one request by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [t.weight for t in self.targets]
        if not any(weights):
            weights = [1.0] * len(weights)
        return rng.choices(self.targets, weights)[0].service


@dataclasses.dataclass(frozen=True)
class Card:
    """A type of accelerator.

    Attributes:
        name: Name of the type.
        memory_mb: Memory for weights and requests.
        step_factor: Factor on the duration of a decode step.
        read_factor: Factor on all other durations.
    """

    name: str
    memory_mb: float
    step_factor: float
    read_factor: float


@dataclasses.dataclass(frozen=True)
class Model:
    """Properties of a model on the engines of a service.

    Attributes:
        slots: Maximum number of concurrent requests of an engine that is the
            first of a path.
        layers: Number of layers.
        layer_mb: Memory of one layer.
        load_s: Time to load all layers.
        loads_at_once: Number of concurrent loads that all run at full speed.
        token_layer_bytes: Memory of a request for each token and layer.
        step_s: Duration of a decode step over all layers.
        step_sequence_s: Additional duration for each request in the step.
        step_context_s: Additional duration for each 1,000 tokens of context.
        read_tokens_per_s: Prompt tokens processed per second by all layers.
        activation_bytes: Bytes sent to the next engine for each token.
        link_mbps: Bandwidth of the link of an engine.
        pipe_mbps: Bandwidth of the shared link between two data
            centres.
        prompt_tokens: Mean length of a prompt.
        answer_tokens: Mean length of an answer.
        cards: Types of accelerators by name.
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
        """Returns the number of layers that fit into the memory of a card."""
        return min(self.layers, int(card.memory_mb // self.layer_mb))

    def tokens(self, card: Card, layers: int, loaded: int = 0) -> float:
        """Returns the number of tokens that fit in addition to the layers.

        Args:
            card: Type of the accelerator.
            layers: Number of layers that requests use.
            loaded: Number of layers in memory, if more are loaded than used.
        """
        return self.divided_tokens(card, max(layers, loaded), layers)

    def divided_tokens(self, card: Card, loaded: int, used: int) -> float:
        """Returns the tokens that fit, if each needs memory for some layers.

        Args:
            card: Type of the accelerator.
            loaded: Number of layers in memory.
            used: Number of layers in which a token takes memory; a layer counts
                once for each path that uses it.
        """
        free_mb = card.memory_mb - loaded * self.layer_mb
        return max(0.0, free_mb) * 1e6 / (self.token_layer_bytes * used)


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of upstreams that serve the same requests.

    Attributes:
        name: Name of the service.
        connections: Maximum number of connections to one upstream.
        health: URL path of the health check of its upstreams.
        model: Properties of its model; None for a service without engines.
    """

    name: str
    connections: int
    health: str
    model: Model | None = None


@dataclasses.dataclass(frozen=True)
class ClientAccount:
    """A client account.

    Attributes:
        name: Name that is sent to upstreams.
        keys: API keys of the account.
        priority: Overrides the priority of the route; None if unset.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


def request_priority(route: Route, account: ClientAccount | None) -> int:
    """Returns the priority of a request; 0 is the most urgent.

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
    """Limits on requests and connections of clients.

    Attributes:
        header_bytes: Maximum size of the request line and the headers.
        body_bytes: Maximum size of a body.
        header_timeout_s: Maximum time until all headers are received.
        idle_s: Maximum time between two requests on a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Rules:
    """One version of the configuration.

    Attributes:
        version: Version number, which only increases.
        routes: Routes.
        services: Services by name.
        accounts: Client accounts; None if no request needs an API key.
        limits: Limits on clients.
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
        """Client accounts by API key."""
        return {k: a for a in self.accounts or () for k in a.keys}

    def match_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix.

        Args:
            host: Host of the request; a port is ignored.
            path: URL path without the query.
        """
        host = host.lower()
        found = self._longest_match(host, path)
        if found is None and ":" in host:
            found = self._longest_match(host.rpartition(":")[0], path)
        return found

    def _longest_match(self, host: str, path: str) -> Route | None:
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            found = self.by_prefix.get((host, path[: slash + 1]))
            if found is not None:
                return found
            end = slash
        return None
