"""Settings of an instance on the platform of the users."""

from __future__ import annotations

import dataclasses

# The smallest machines of the deployments.
DEFAULT_MEMORY_BYTES = 200 * 1024 * 1024
DEFAULT_DESCRIPTOR_COUNT = 4100


@dataclasses.dataclass(frozen=True)
class ListenAddresses:
    """Addresses to listen on, each ``IP:PORT``; empty to disable a listener.

    Attributes:
        callers: Requests of callers.
        readiness: Readiness probes of the platform.
        peers: Messages from other instances.
        directory: Requests of callers for the addresses of instances.
    """

    callers: str
    readiness: str
    peers: str
    directory: str


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits that the operators of the platform set.

    Attributes:
        grace_s: Time between the stop signal and the forced exit.
        retry_share: Retries allowed for each request.
        retry_reserve: Additional retries allowed in each window, for all
            instances together.
        retry_window_s: Window to which both limits apply.
        directory_ttl_s: Maximum time for which callers cache addresses.
        fences_enforced: Whether engines reject outdated fencing numbers.
    """

    grace_s: float = 8.0
    retry_share: float = 0.2
    retry_reserve: float = 200.0
    retry_window_s: float = 10.0
    directory_ttl_s: float = 5.0
    fences_enforced: bool = False


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Settings of one instance.

    Attributes:
        name: Unique name of the machine.
        data_centre: Its data centre.
        region: Region of the data centre.
        regions: Region by data centre.
        listen: Addresses to listen on.
        seeds: Peer addresses of some instances; they may be outdated.
        store: ``IP:PORT`` of the platform's store.
        bounds: Limits set by the operators.
        metrics: ``IP:PORT`` of the metrics listener; empty to disable it.
        shares_load: Whether the fleet decides together which requests wait,
            are refused and use which capacity. Otherwise each instance decides
            for itself, which suffices for a few instances.
        link_mbps: Bandwidth of the link of the machine; 0 if unknown.
        memory_bytes: Memory of the machine for the process, in bytes.
        descriptor_count: Number of descriptors that the process may open.
    """

    name: str
    data_centre: str
    region: str
    regions: dict[str, str]
    listen: ListenAddresses
    seeds: tuple[str, ...]
    store: str
    bounds: Bounds
    metrics: str = ""
    shares_load: bool = False
    link_mbps: float = 0.0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    descriptor_count: int = DEFAULT_DESCRIPTOR_COUNT
