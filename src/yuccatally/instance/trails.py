"""Replicates the trail to peers and collects the records of a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import structlog

from yuccatally.core.requests import trail
from yuccatally.peers import transport

if TYPE_CHECKING:
    from yuccatally.instance import fleet
    from yuccatally.telemetry import metrics

COPY_INTERVAL_S = 0.5
# Bounds the time that an operator waits for an explanation.
EXCHANGE_TIMEOUT_S = 1.0

_log = structlog.get_logger()


class TrailPeers(Protocol):
    """Transport that the replication of the trail needs.

    The peers handle the messages with ``trail.Trail.record_copy`` and
    ``answer_query``.
    """

    def trail_peers(self) -> tuple[str, ...]:
        """Returns the names of the other live instances."""

    async def copy_trail(self, peer: str, message: trail.TrailCopy) -> None:
        """Sends records to a peer.

        Raises:
            OSError: The peer did not acknowledge them.
        """

    async def query_trail(
        self, peer: str, message: trail.TrailQuery
    ) -> trail.TrailReply:
        """Queries a peer for the records of a request.

        Raises:
            OSError: The peer did not answer.
        """


class NoPeers:
    """Transport of an instance without peers."""

    def trail_peers(self) -> tuple[str, ...]:
        """See ``TrailPeers.trail_peers``."""
        return ()

    async def copy_trail(self, peer: str, message: trail.TrailCopy) -> None:
        """See ``TrailPeers.copy_trail``."""
        raise ConnectionError(f"no transport to {peer}")

    async def query_trail(
        self, peer: str, message: trail.TrailQuery
    ) -> trail.TrailReply:
        """See ``TrailPeers.query_trail``."""
        raise ConnectionError(f"no transport to {peer}")


class FleetPeers:
    """Transport to the other instances of the fleet."""

    def __init__(
        self, joined_fleet: fleet.Fleet, local_trail: trail.Trail
    ) -> None:
        self.fleet = joined_fleet
        joined_fleet.transport.register(
            trail.TrailCopy, local_trail.record_copy
        )
        joined_fleet.transport.register(
            trail.TrailQuery, local_trail.answer_query
        )

    def trail_peers(self) -> tuple[str, ...]:
        """See ``TrailPeers.trail_peers``."""
        return tuple(self._addresses())

    async def copy_trail(self, peer: str, message: trail.TrailCopy) -> None:
        """See ``TrailPeers.copy_trail``."""
        await self._exchange(peer, message)

    async def query_trail(
        self, peer: str, message: trail.TrailQuery
    ) -> trail.TrailReply:
        """See ``TrailPeers.query_trail``."""
        return await self._exchange(peer, message)

    async def _exchange(self, peer: str, message: Any) -> Any:
        address = self._addresses().get(peer)
        if address is None:
            raise ConnectionError(f"{peer} is not a member of the fleet")
        try:
            return await self.fleet.transport.exchange(
                address, message, EXCHANGE_TIMEOUT_S
            )
        except transport.PeerError as error:
            raise ConnectionError(f"{peer}: {error}") from error

    def _addresses(self) -> dict[str, str]:
        own_name = self.fleet.settings.instance.name
        return {
            m.name: m.peers_address
            for m in self.fleet.members()
            if m.name != own_name
        }


class TrailReplicator:
    """Copies the trail of one instance to its peers and answers queries.

    Attributes:
        trail: Records of this instance and copies from peers.
        peers: Transport to the peers; ``NoPeers`` until it is connected.
    """

    def __init__(
        self, local_trail: trail.Trail, instance_metrics: metrics.Metrics
    ) -> None:
        self.trail = local_trail
        self.metrics = instance_metrics
        self.peers: TrailPeers = NoPeers()

    async def run(self) -> None:
        """Copies records until cancelled."""
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            await self.copy_pending()

    async def copy_pending(self) -> None:
        """Sends all pending records."""
        batches = self.trail.pop_batches(self.peers.trail_peers())
        await asyncio.gather(*(self._copy(b) for b in batches))

    async def explain(self, request: str) -> dict[str, Any]:
        """Returns the records of a request, for operators.

        They come from this instance, from the one that accepted the request
        and from the peers that may hold copies.
        """
        query = trail.TrailQuery(request)
        queried_peers = self.trail.peers_to_query(
            request, self.peers.trail_peers()
        )
        answers = await asyncio.gather(
            *(self._query(p, query) for p in queried_peers)
        )
        replies = [self.trail.answer_query(query)]
        replies += [r for r in answers if r is not None]
        records = trail.merge(replies)
        ended = any(r.step is trail.Step.OUTCOME for r in records)
        return {
            "request": request,
            "taken_by": trail.origin_instance(request),
            "found": bool(records),
            "ended": ended,
            "sources": [r.sender for r in replies if r.records],
            "silent": [
                p
                for p, r in zip(queried_peers, answers, strict=True)
                if r is None
            ],
            "records": records,
        }

    async def _copy(self, batch: trail.Batch) -> None:
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await self.peers.copy_trail(batch.peer, batch.message)
        except (OSError, TimeoutError) as error:
            self.metrics.count("trail_copies_failed")
            _log.info("trail_copy_failed", peer=batch.peer, error=str(error))
            self.trail.restore_batch(batch)

    async def _query(
        self, peer: str, query: trail.TrailQuery
    ) -> trail.TrailReply | None:
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                return await self.peers.query_trail(peer, query)
        except (OSError, TimeoutError) as error:
            _log.info("trail_query_failed", peer=peer, error=str(error))
            return None
