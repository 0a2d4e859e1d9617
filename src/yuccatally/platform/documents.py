"""Decodes platform documents: configuration, upstream entries and reports."""

from __future__ import annotations

import ipaddress
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from yuccatally.core.forwarding import reports
from yuccatally.core.forwarding import rules
from yuccatally.core.forwarding import upstreams
from yuccatally.core.objects import content

T = TypeVar("T")

# Object kinds and names in the platform's store.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
UPSTREAM_KIND = "servers"

# Limits of what another writer may put into entries and reports. Texts and
# numbers are sent to other instances: messages hold 64 bits for a number and
# 64 KB in all.
MAX_TEXT_CHARS = 256
MAX_LAYER_COUNT = 65_536
MAX_COUNT = 2**31
MAX_INTEGER = 2**53
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5

Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
Count = Annotated[int, msgspec.Meta(ge=0, lt=MAX_COUNT)]
Integer = Annotated[int, msgspec.Meta(ge=0, lt=MAX_INTEGER)]
Layer = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYER_COUNT)]


class FormatError(Exception):
    """A document does not have the platform's format."""


class _Split(msgspec.Struct, rename="camel"):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    # Retry semantics of the requests (idempotent, streaming and so on).
    route_kind: str
    timeout_ms: float
    slo_ms: float = 0.0
    # Maximum number of upstreams per request, including the first.
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    split: tuple[_Split, ...] = ()
    anonymous: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _Accelerator(msgspec.Struct, rename="camel"):
    name: str
    size_mb: float
    # Multiplies the step and context times; higher is slower.
    pace: float = 1.0
    read_factor: float = 1.0


class _TypicalTokens(msgspec.Struct, rename="camel"):
    prompt: float = 700.0
    answer: float = 150.0


class _ModelTimes(msgspec.Struct, rename="camel"):
    name: str
    load_s: float = 0.0


class _Engine(msgspec.Struct):
    slots: int = 1
    layers: int = 0
    layer_mb: float = msgspec.field(default=0.0, name="layerMb")
    # KV cache bytes per token, summed over all layers.
    kv_bytes: float = msgspec.field(default=0.0, name="kvBytes")
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 1.0
    activation_bytes: float = msgspec.field(default=0.0, name="activationBytes")
    link_mbps: float = msgspec.field(default=0.0, name="linkMbps")
    pipe_mbps: float = msgspec.field(default=0.0, name="pipeMbps")
    loads_at_once: int = 1
    usual: _TypicalTokens = msgspec.field(default_factory=_TypicalTokens)
    kinds: tuple[_Accelerator, ...] = ()
    models: tuple[_ModelTimes, ...] = ()


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 64
    health_path: str = "/healthz"
    engine: _Engine | None = None


class _ClientAccount(msgspec.Struct, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct, rename="camel"):
    version: Annotated[int, msgspec.Meta(ge=0, lt=MAX_INTEGER)]
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_ClientAccount, ...] | None = None


class _Layers(msgspec.Struct):
    first: Layer = msgspec.field(name="from")
    # Exclusive end of the range.
    last: Layer = msgspec.field(name="target")


class _HeldModel(msgspec.Struct):
    name: Text


class _UpstreamEntry(msgspec.Struct, rename="camel"):
    service: Text
    address: Text
    zone: Text
    state: str
    slots: Count = 1
    born: Integer = 0
    # Accelerator type; unrelated to ``route_kind`` of a route.
    route_kind: Text = ""
    models: tuple[_HeldModel, ...] = ()
    layers: _Layers | None = None


class _StalledRequest(msgspec.Struct):
    id: str
    address: str


class _RefusedOrder(msgspec.Struct):
    # Engine on the path that does not hold its layers.
    address: str = ""


class _EngineReport(msgspec.Struct, rename="camel"):
    # Orders accepted since the engine started.
    sequence: Integer
    busy: bool = False
    born: Integer = 0
    waiting: Count = 0
    running: Count = 0
    kv_used: float = 0.0
    kv_total: float = 0.0
    pace: float = 1.0
    layers: _Layers | None = None
    stalled: tuple[_StalledRequest, ...] = ()


def decode_rules(spec: Any) -> rules.Rules:
    """Decodes a configuration.

    Args:
        spec: Content of the object that holds the configuration.

    Raises:
        FormatError: ``spec`` is not a valid configuration.
    """
    raw = _convert(spec, _Configuration)
    accounts = None
    if raw.tenants is not None:
        accounts = tuple(
            rules.ClientAccount(a.name, a.api_keys, a.priority)
            for a in raw.tenants
        )
    return rules.Rules(
        version=raw.version,
        routes=tuple(_decode_route(r) for r in raw.routes),
        services={s.name: _decode_service(s) for s in raw.services},
        accounts=accounts,
        limits=rules.Limits(
            header_bytes=raw.limits.max_header_bytes,
            body_bytes=raw.limits.max_body_bytes,
            header_timeout_s=raw.limits.header_timeout_ms / 1e3,
            idle_s=raw.limits.idle_timeout_ms / 1e3,
        ),
    )


def decode_upstream(name: str, spec: Any) -> upstreams.Upstream:
    """Decodes the entry of an upstream.

    Args:
        name: Name of the object.
        spec: Content of the object.

    Raises:
        FormatError: ``spec`` is not an upstream entry.
    """
    raw = _convert(spec, _UpstreamEntry)
    if raw.state not in ("ready", "draining"):
        raise FormatError(f"unknown state {raw.state!r}")
    if not _is_address(raw.address):
        raise FormatError(f"address {raw.address!r} is not IP:PORT")
    return upstreams.Upstream(
        name=name,
        born_ms=raw.born,
        service=raw.service,
        address=raw.address,
        data_centre=raw.zone,
        slots=raw.slots,
        draining=raw.state == "draining",
        card=raw.route_kind,
        model=raw.models[0].name if raw.models else "",
        layers=_decode_layers(raw.layers),
    )


def decode_report(body: bytes) -> reports.LoadReport:
    """Decodes a load report of an engine.

    Raises:
        FormatError: ``body`` is not a report.
    """
    try:
        raw = msgspec.json.decode(body, type=_EngineReport)
    except content.DECODE_ERRORS as error:
        raise FormatError(str(error)) from error
    return reports.LoadReport(
        accepted_order_count=raw.sequence,
        busy=raw.busy,
        born_ms=raw.born,
        waiting=raw.waiting,
        running=raw.running,
        used_token_layers=raw.kv_used,
        total_token_layers=raw.kv_total,
        slowdown_factor=raw.pace,
        layers=_decode_layers(raw.layers),
        stalled_on={s.id: s.address for s in raw.stalled},
    )


def encode_layers_order(order: reports.LayersOrder) -> bytes:
    """Encodes an order to hold a range of layers."""
    return msgspec.json.encode(
        {
            "operation": "place",
            "from": order.layers.first,
            "target": order.layers.last,
            # Requests in progress on released layers run to completion.
            "drainMode": "queue",
            "fencingToken": order.fence,
            "expected": order.expected_orders,
        }
    )


def encode_reroute_order(request: str, path: str) -> bytes:
    """Encodes an order to move a request to another path.

    Args:
        request: Id of the client's attempt.
        path: New path in the format of ``headers.encode_path``.
    """
    return msgspec.json.encode(
        {"operation": "repath", "id": request, "path": path}
    )


def decode_faulty_address(body: bytes) -> str:
    """Returns the address of the engine that a refused order blames.

    The address is empty if the refusal names no engine.

    Raises:
        FormatError: ``body`` is not the response to an order.
    """
    try:
        return msgspec.json.decode(body, type=_RefusedOrder).address
    except content.DECODE_ERRORS as error:
        raise FormatError(str(error)) from error


def _decode_route(raw: _Route) -> rules.Route:
    if not raw.path_prefix.startswith("/") or not raw.path_prefix.endswith("/"):
        raise FormatError(
            f"route {raw.name}: no slash at both ends of {raw.path_prefix!r}"
        )
    targets = tuple(rules.Target(s.service, s.weight) for s in raw.split)
    if not targets:
        targets = (rules.Target(raw.service, 1.0),)
    return rules.Route(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.path_prefix,
        targets=targets,
        repeat=_decode_repeat(raw),
        timeout_s=raw.timeout_ms / 1e3,
        objective_s=raw.slo_ms / 1e3,
        pause_objective_s=raw.gap_target_ms / 1e3,
        max_attempts=max(1, raw.max_attempts),
        anonymous=raw.anonymous,
        priority=raw.priority,
    )


def _decode_repeat(raw: _Route) -> rules.RepeatPolicy:
    match raw.route_kind:
        case "idempotent":
            return rules.RepeatPolicy.IDEMPOTENT
        case "streaming" if raw.resumable:
            return rules.RepeatPolicy.RESUMABLE_STREAM
        case "streaming":
            return rules.RepeatPolicy.STREAM
        case _:
            # Requests of an unknown kind must not be repeated.
            return rules.RepeatPolicy.AT_MOST_ONCE


def _decode_service(raw: _Service) -> rules.Service:
    engine = raw.engine
    if engine is None or not engine.layers or not engine.kinds:
        return rules.Service(raw.name, raw.max_connections, raw.health_path)
    cards = {
        c.name: rules.Card(c.name, c.size_mb, c.pace, c.read_factor)
        for c in engine.kinds
    }
    model = rules.Model(
        slots=engine.slots,
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        load_s=max((m.load_s for m in engine.models), default=0.0),
        loads_at_once=max(1, engine.loads_at_once),
        token_layer_bytes=engine.kv_bytes / engine.layers,
        step_s=engine.step_ms / 1e3,
        step_sequence_s=engine.per_seq_ms / 1e3,
        step_context_s=engine.context_per_k / 1e3,
        read_tokens_per_s=engine.read_per_s,
        activation_bytes=engine.activation_bytes,
        link_mbps=engine.link_mbps,
        pipe_mbps=engine.pipe_mbps,
        prompt_tokens=engine.usual.prompt,
        answer_tokens=engine.usual.answer,
        cards=cards,
    )
    return rules.Service(raw.name, raw.max_connections, raw.health_path, model)


def _is_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address and a port.

    >>> _is_address("10.0.0.1:80"), _is_address("10.0.0.1:70000")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT


def _decode_layers(raw: _Layers | None) -> upstreams.LayerRange | None:
    if raw is None or raw.first >= raw.last:
        return None
    return upstreams.LayerRange(raw.first, raw.last)


def _convert(raw: Any, target: type[T]) -> T:
    try:
        return content.decode(raw, target)
    except content.DECODE_ERRORS as error:
        raise FormatError(str(error)) from error
