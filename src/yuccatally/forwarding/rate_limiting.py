"""Turns of requests at upstreams that limit their rate."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core import rendezvous
from yuccatally.core.forwarding import rate_limits
from yuccatally.peers import heartbeats
from yuccatally.peers import transport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.forwarding import members
    from yuccatally.core.forwarding import suspicions
    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import room_sharing
    from yuccatally.forwarding import state

# An exchange takes a few milliseconds, with a new connection twice as long.
TURN_TIMEOUT_S = 0.2
# Time without requests to an upstream after its scheduler did not answer. A
# failed instance is replaced as scheduler within two seconds.
SCHEDULER_RETRY_S = 0.3

_log = structlog.get_logger()


class RateLimiter:
    """Reserves turns at rate-limited upstreams with the other instances.

    One live instance, the same for all, gives out the turns of an upstream. An
    instance that does not reach it sends no request there. Instances that are
    cut off from others choose a scheduler among themselves; it gives out the
    part of the rate that they are of all instances.

    Attributes:
        turns: Turns that this instance gives out.
        addresses: Internal address of each instance that may give out turns.
        share_ratio: Part of all known instances that this one can reach.
        schedulers: Instance that gives out the turns of an upstream.
        rooms: Asks for room on paths.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        peers: transport.PeerTransport,
        rooms: room_sharing.RoomSharing,
    ) -> None:
        self.state = instance_state
        self.transport = peers
        self.rooms = rooms
        self.turns = rate_limits.TurnScheduler()
        self.addresses = {
            instance_state.settings.name: instance_state.settings.listen.peers
        }
        self.share_ratio = 1.0
        self.schedulers: dict[suspicions.Incarnation, str] = {}

    def open(self) -> None:
        """Starts to give out turns to other instances."""
        self.transport.register(heartbeats.TurnRequest, self._answer)

    def update_instances(
        self, live: Iterable[members.Contact], known_count: int
    ) -> None:
        """Applies the instances that are live now.

        Args:
            live: Live instances including this one.
            known_count: Number of instances that are not known to have ended,
                this one included.
        """
        addresses = {c.name: c.peers for c in live if not c.leaving}
        self.share_ratio = min(1.0, len(addresses) / max(1, known_count))
        self.turns.retain(self.state.limits.in_force)
        if addresses and addresses != self.addresses:
            self.addresses = addresses
            self.schedulers.clear()

    async def reserve(
        self, hops: Iterable[upstreams.Upstream], max_wait_s: float
    ) -> rate_limits.Turn:
        """Reserves a turn at each upstream that limits its rate.

        Args:
            hops: Upstreams that the request passes.
            max_wait_s: Longest time until the turn, in seconds.
        """
        limits = self.state.limits
        wait_s = 0.0
        for engine in limits.limited(hops):
            turn = await self._reserve(engine, max_wait_s)
            match turn:
                case rate_limits.Granted():
                    wait_s = max(wait_s, turn.wait_s)
                case rate_limits.Denied():
                    next_at = time.monotonic() + turn.wait_s
                    limits.next_turn_at[engine] = next_at
                    return turn
        return rate_limits.Granted(wait_s)

    async def _reserve(
        self, engine: suspicions.Incarnation, max_wait_s: float
    ) -> rate_limits.Turn:
        scheduler = self._scheduler(engine)
        if scheduler == self.state.settings.name:
            return self._schedule(engine, max_wait_s)
        limit = self.state.limits.shared(engine, time.monotonic())
        try:
            reply = await self.transport.exchange(
                self.addresses[scheduler],
                heartbeats.TurnRequest(limit, max_wait_s),
                TURN_TIMEOUT_S,
            )
        except transport.PeerError as error:
            _log.info(
                "turn_request_failed",
                upstream=engine.name,
                scheduler=scheduler,
                reason=str(error),
            )
            return rate_limits.Denied(SCHEDULER_RETRY_S)
        if reply.granted:
            return rate_limits.Granted(reply.wait_s)
        return rate_limits.Denied(reply.wait_s)

    def _answer(self, request: heartbeats.TurnRequest) -> heartbeats.TurnReply:
        engine = request.limit.engine
        self.state.merge_limit(request.limit, "turn request")
        if self._scheduler(engine) != self.state.settings.name:
            # The sender does not know all instances yet, or this one does not.
            return heartbeats.TurnReply(False, SCHEDULER_RETRY_S)
        match self._schedule(engine, request.max_wait_s):
            case rate_limits.Granted(wait_s=wait_s):
                return heartbeats.TurnReply(True, wait_s)
            case rate_limits.Denied(wait_s=wait_s):
                return heartbeats.TurnReply(False, wait_s)

    def _schedule(
        self, engine: suspicions.Incarnation, max_wait_s: float
    ) -> rate_limits.Turn:
        requests_per_s = self.state.limits.in_force.get(engine)
        if requests_per_s is None:
            # A later response than the sender's has ended the limit.
            return rate_limits.Granted(0.0)
        return self.turns.reserve(
            engine,
            requests_per_s * self.share_ratio,
            max_wait_s,
            time.monotonic(),
        )

    def _scheduler(self, engine: suspicions.Incarnation) -> str:
        """Returns the instance that gives out the turns of an upstream."""
        scheduler = self.schedulers.get(engine)
        if scheduler is None:
            subject = f"{engine.name}/{engine.born_ms}"
            scheduler = rendezvous.ranked(subject, self.addresses, 1)[0]
            self.schedulers[engine] = scheduler
        return scheduler
