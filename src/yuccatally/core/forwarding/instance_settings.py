"""What an instance knows of itself and of the bounds it has to keep."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class ListenAddresses:
    """Addresses to listen on, each ``IP:PORT``; empty if not served.

    Attributes:
        callers: Requests of callers.
        readiness: Readiness checks of the platform.
        peers: Messages of other instances.
        directory: Questions of callers for addresses.
    """

    callers: str
    readiness: str
    peers: str
    directory: str


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds that the platform's operators set.

    Attributes:
        grace_s: Time between the request to stop and the forced end.
        retry_share: Repeated sends allowed for each request.
        retry_reserve: Repeated sends allowed beside that in each window, by
            all instances together.
        retry_window_s: Length of the window of the two.
        directory_ttl_s: Longest time for which callers keep addresses.
        fences_enforced: Whether engines refuse outdated fencing numbers.
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
        data_centre: Where it stands.
        region: Region of the data centre.
        regions: Region by data centre.
        listen: Addresses to listen on.
        seeds: Peer addresses of a few instances; they may be stale.
        store: ``IP:PORT`` of the platform's store.
        bounds: Bounds to keep.
        metrics: ``IP:PORT`` of the metrics listener; empty for none.
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
