"""Ratio of error responses of servers, compared with their service's."""

from __future__ import annotations

import dataclasses

# Weight of the latest response of a server, low enough that several errors in a
# row are common chance where one response in seven is an error.
SERVER_WEIGHT = 1 / 8
# Number of responses of a service over which the usual ratio is the mean.
SERVICE_RESPONSE_COUNT = 200
# A server is unusual beyond this multiple of the usual ratio and this excess.
UNUSUAL_FACTOR = 2.0
UNUSUAL_EXCESS_RATIO = 0.3


@dataclasses.dataclass
class ServiceRatio:
    """Usual ratio of error responses of a service.

    Attributes:
        ratio: The ratio.
        count: Number of responses it is the mean of, with an upper limit.
    """

    ratio: float = 0.0
    count: int = 0


class ErrorRatios:
    """Ratios of error responses by service and by server.

    Load pattern: an application answers one lookup in seven with an error
    status, on all of its servers. A server that is healthy but fails all of
    its requests stands out against that.

    Attributes:
        services: Usual ratios by service.
        servers: Moving averages by server.
    """

    def __init__(self) -> None:
        self.services: dict[str, ServiceRatio] = {}
        self.servers: dict[str, float] = {}

    def record(self, service: str, server: str, is_error: bool) -> None:
        """Records a response."""
        usual = self.services.setdefault(service, ServiceRatio())
        usual.count = min(usual.count + 1, SERVICE_RESPONSE_COUNT)
        usual.ratio += (is_error - usual.ratio) / usual.count
        ratio = self.servers.get(server, 0.0)
        self.servers[server] = ratio + SERVER_WEIGHT * (is_error - ratio)

    def is_unusual(self, service: str, server: str) -> bool:
        """Returns whether a server answers with errors more than is usual."""
        usual = self.services.get(service)
        if usual is None:
            return False
        limit = UNUSUAL_FACTOR * usual.ratio + UNUSUAL_EXCESS_RATIO
        return self.servers.get(server, 0.0) > limit

    def remove(self, server: str) -> None:
        """Removes a server that has left."""
        self.servers.pop(server, None)
