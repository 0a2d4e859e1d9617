"""Exchange of grants of room on paths between instances."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core import rendezvous
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import room
from yuccatally.peers import heartbeats
from yuccatally.peers import transport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.forwarding import members
    from yuccatally.forwarding import state

# A request that is denied room so often is treated as if all paths were full.
# Between two denials it waits in the queue for as long as its answer is of use.
MAX_DENIAL_COUNT = 20
# An exchange takes a few milliseconds; a request waits for it.
GRANT_TIMEOUT_S = 0.1
# Interval in which ends of requests are reported, short compared with the
# interval of heartbeats.
REPORT_INTERVAL_S = 0.02
# Delay before a keeper that was not reached is told again.
REPORT_RETRY_S = 0.3
# Interval of checks for work that has to be reported, while there is none.
IDLE_INTERVAL_S = 0.1

_log = structlog.get_logger()


class RoomSharing:
    """Asks the keepers of paths for room, and keeps the account of some paths.

    The keeper of a path is the same live instance for all. An instance that
    does not reach it uses at most its equal part of the room. Instances that
    are cut off from others choose a keeper among themselves; it grants the part
    of the room that they are of all instances.

    Attributes:
        ledger: Account of the paths that this instance keeps.
        addresses: Internal address of each live instance.
        share_ratio: Part of all known instances that this one can reach.
        keepers: Keeper by path.
        changed_at: Time of the latest change of the live instances.
        sequence: Number of the latest statement of this instance.
        sequences: Number of the latest statement by path.
        granted_count: Grants that this instance has got.
        denied_count: Denials that this instance has got.
        unreached_count: Requests for room that were not answered.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        peers: transport.PeerTransport,
        born_ms: int,
    ) -> None:
        self.state = instance_state
        self.transport = peers
        self.born_ms = born_ms
        self.ledger = room.RoomLedger()
        self.addresses = {
            instance_state.settings.name: instance_state.settings.listen.peers
        }
        self.share_ratio = 1.0
        self.keepers: dict[str, str] = {}
        self.changed_at = time.monotonic()
        self.sequence = 0
        self.sequences: dict[str, int] = {}
        self.granted_count = self.denied_count = self.unreached_count = 0

    def open(self) -> None:
        """Starts to answer other instances."""
        self.transport.register(heartbeats.RoomRequest, self._answer)

    def update_instances(
        self, live: Iterable[members.Contact], known_count: int
    ) -> None:
        """Applies the instances that are live now.

        Args:
            live: Live instances including this one.
            known_count: Number of instances that are not known to have ended,
                this one included.
        """
        contacts = list(live)
        own_name = self.state.settings.name
        self.born_ms = next(c.born_ms for c in contacts if c.name == own_name)
        self.ledger.retain({c.name: c.born_ms for c in contacts})
        addresses = {c.name: c.peers for c in contacts if not c.leaving}
        self.share_ratio = min(1.0, len(addresses) / max(1, known_count))
        if not addresses or addresses == self.addresses:
            return
        self.addresses = addresses
        self.changed_at = time.monotonic()
        before, self.keepers = self.keepers, {}
        for path, keeper in before.items():
            if self._keeper(path) != keeper:
                self.state.dispatcher.room.report_again((path,))
                self.ledger.forget(path)

    def covered_work(self) -> dict[str, dispatch.OutstandingWork]:
        """Returns own work of which keepers are told, by path."""
        own_work = self.state.dispatcher.own_work
        return {
            n: own_work[n]
            for n in self.state.dispatcher.room.reported
            if n in own_work
        }

    async def reserve(
        self, path: dispatch.Path, tokens: float, is_held: bool = False
    ) -> bool:
        """Returns whether a request may start on a path.

        Without ample room the keeper of the path decides, and if it does not
        answer, the equal part of this instance.

        Args:
            path: A path that seems to have room for the request.
            tokens: Expected memory use of the request, in tokens.
            is_held: Whether own work contains the request already.
        """
        if not self.state.settings.shares_load or not path.ranges:
            return True
        dispatcher = self.state.dispatcher
        now = time.monotonic()
        asked = room.Amount(1, tokens)
        path_room = _room(path)
        work = dispatcher.outstanding_work(path.name, now)
        counted = asked if is_held else room.Amount()
        if path.name not in dispatcher.room.reported and not room.needs_grant(
            path_room.scaled(self.share_ratio),
            room.Amount(work.requests, work.tokens).minus(counted),
            asked,
            self.state.instance_count,
        ):
            return True
        granted = await self._ask(path.name, path_room, asked, counted)
        now = time.monotonic()
        if granted is None:
            self.unreached_count += 1
            granted = room.is_safe(
                path_room,
                dispatcher.room.held(
                    path.name, self._own(path.name).minus(counted), now
                ),
                asked,
                self.state.instance_count,
            )
        if granted:
            self.granted_count += 1
            if not is_held:
                dispatcher.room.record_grant(path.name, asked, now)
        else:
            self.denied_count += 1
            dispatcher.room.denied_until[path.name] = (
                now
                + self.state.rng.uniform(room.MIN_DENIED_S, room.MAX_DENIED_S)
            )
        return granted

    async def run(self) -> None:
        """Reports to keepers what has started and ended, until cancelled."""
        retry_at: dict[str, float] = {}
        while True:
            reported = self.state.dispatcher.room.reported
            await asyncio.sleep(
                REPORT_INTERVAL_S if reported else IDLE_INTERVAL_S
            )
            now = time.monotonic()
            own = {n: self._own(n) for n in reported}
            changed = self.state.dispatcher.room.unreported(own, now)
            for path, held in changed.items():
                if retry_at.get(path, now) > now:
                    continue
                retry_at.pop(path, None)
                if not await self._report(path, held):
                    retry_at[path] = now + REPORT_RETRY_S

    async def _ask(
        self,
        path: str,
        path_room: room.Amount,
        asked: room.Amount,
        counted: room.Amount,
    ) -> bool | None:
        """Returns the decision of the keeper; None without an answer.

        Args:
            path: Name of the path.
            path_room: Its room for all instances.
            asked: Room that is asked for.
            counted: Part of it that own work contains already.
        """
        held_room = self.state.dispatcher.room
        own = self._own(path).minus(counted)
        held = held_room.held(path, own, time.monotonic())
        held_room.reported[path] = None
        pending = held_room.asked.setdefault(path, [])
        uncounted = asked.minus(counted)
        pending.append(uncounted)
        sequence = self.sequence + 1
        try:
            reply = await self._send(path, held, path_room, asked)
        finally:
            pending.remove(uncounted)
        if reply is None or not reply.is_keeper:
            return None
        if self.sequences[path] == sequence:
            held_room.reported[path] = (
                held.plus(asked) if reply.granted else held
            )
        return reply.granted

    async def _report(self, path: str, held: room.Amount) -> bool:
        held_room = self.state.dispatcher.room
        nothing = room.Amount()
        sequence = self.sequence + 1
        reply = await self._send(path, held, nothing, nothing)
        if reply is None or not reply.is_keeper:
            return False
        if self.sequences[path] == sequence:
            held_room.reported[path] = held
        return True

    async def _send(
        self,
        path: str,
        held: room.Amount,
        path_room: room.Amount,
        asked: room.Amount,
    ) -> heartbeats.RoomReply | None:
        self.sequence += 1
        self.sequences[path] = self.sequence
        request = heartbeats.RoomRequest(
            self.state.settings.name,
            self.born_ms,
            self.sequence,
            path,
            held.requests,
            held.tokens,
            asked.tokens if asked.requests else None,
            path_room.requests,
            path_room.tokens,
        )
        keeper = self._keeper(path)
        if keeper == self.state.settings.name:
            return self._answer(request)
        try:
            return await self.transport.exchange(
                self.addresses[keeper], request, GRANT_TIMEOUT_S
            )
        except transport.PeerError as error:
            _log.info(
                "room_request_failed",
                path=path,
                keeper=keeper,
                reason=str(error),
            )
            return None

    def _answer(self, request: heartbeats.RoomRequest) -> heartbeats.RoomReply:
        path, now = request.path, time.monotonic()
        held = room.Amount(request.held_requests, request.held_tokens)
        path_room = room.Amount(request.room_requests, request.room_tokens)
        asked = room.Amount(1, request.tokens or 0.0)
        if not (held.is_valid and path_room.is_valid and asked.is_valid):
            _log.warning(
                "room_request_ignored",
                path=path,
                sender=request.sender,
                reason="figures that are negative or not finite",
            )
            return heartbeats.RoomReply(False, False)
        if self._keeper(path) != self.state.settings.name:
            # The sender does not know all instances yet, or this one does not.
            return heartbeats.RoomReply(False, False)
        report = room.Report(request.born_ms, request.sequence, held)
        self.ledger.open(path, self.changed_at + room.TAKEOVER_S)
        is_latest = self.ledger.record(path, request.sender, report)
        if request.tokens is None:
            return heartbeats.RoomReply(True, False)
        granted = self.ledger.reserve(
            path,
            request.sender,
            asked,
            path_room.scaled(self.share_ratio),
            self._elsewhere(path, now),
            is_stated=not is_latest,
        )
        return heartbeats.RoomReply(True, granted)

    def _elsewhere(self, path: str, now: float) -> room.Amount:
        """Returns the work on a path that no statement contains."""
        dispatcher = self.state.dispatcher
        reported = dispatcher.remote_work.total(path, now)
        covered = None
        if self.ledger.is_complete(path, now):
            covered = dispatcher.covered_work.total(path, now)
        elsewhere = room.work_elsewhere(reported, covered)
        own_name = self.state.settings.name
        if own_name in self.ledger.reports.get(path, {}):
            return elsewhere
        return elsewhere.plus(self._own(path))

    def _own(self, path: str) -> room.Amount:
        own = self.state.dispatcher.own_work.get(path)
        if own is None:
            return room.Amount()
        return room.Amount(own.requests, own.tokens)

    def _keeper(self, path: str) -> str:
        """Returns the instance that keeps the account of a path."""
        keeper = self.keepers.get(path)
        if keeper is None:
            keeper = rendezvous.ranked(path, self.addresses, 1)[0]
            self.keepers[path] = keeper
        return keeper


def _room(path: dispatch.Path) -> room.Amount:
    return room.Amount(path.slots, path.tokens * dispatch.USABLE_MEMORY_RATIO)
