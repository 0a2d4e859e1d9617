"""Membership of one instance and its exchanges with the others."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import random
import time
from typing import TYPE_CHECKING
from typing import Any

import structlog

from yuccatally.core.config import propagation
from yuccatally.core.membership import agent as agent_module
from yuccatally.core.membership import messages
from yuccatally.peers import transport
from yuccatally.store import client

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from yuccatally.core.config import configuration
    from yuccatally.core.membership import directory
    from yuccatally.instance import watch
    from yuccatally.settings import settings as settings_module

# With known peers, the platform's list is needed only to find members that no
# peer knows. Long intervals keep the number of calls of all instances low.
LIST_MIN_INTERVAL_S = 1.0
LIST_MAX_INTERVAL_S = 60.0
LIST_ALONE_MAX_INTERVAL_S = 5.0
STATUS_TIMEOUT_S = 1.0
MAX_CONCURRENT_STATUS_COUNT = 16
MAX_CONCURRENT_SENDS_COUNT = 32

_log = structlog.get_logger()


class Fleet:
    """Connects the membership agent of the core to the peer transport.

    Other parts add messages with ``transport.register`` and send them with
    ``transport.exchange``.

    Attributes:
        transport: Transport to other instances.
        agent: Membership protocol and propagation of the configuration.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        store: client.StoreClient,
        config: configuration.Configuration,
        config_watch: watch.ConfigWatch,
        in_flight_count: Callable[[], int],
    ) -> None:
        instance_settings = settings.instance
        self.settings = settings
        self.store = store
        self.watch = config_watch
        self.in_flight_count = in_flight_count
        self.transport = transport.PeerTransport(
            settings.peers.address, settings.peers.key
        )
        self.rng = random.Random()
        member = messages.Member(
            instance_settings.name,
            os.urandom(4).hex(),
            instance_settings.data_centre,
            settings.peers.address,
            settings.callers.address,
            settings.operators.address,
        )
        # The wall-clock time as incarnation supersedes that of the previous
        # process.
        self.agent = agent_module.Agent(
            member, int(time.time() * 1000), config, self.rng
        )
        self.agent.watch_state = lambda: (
            config_watch.watching,
            config_watch.platform_problem,
        )
        self.send_slots = asyncio.Semaphore(MAX_CONCURRENT_SENDS_COUNT)
        self.tasks: set[asyncio.Task[Any]] = set()
        for message_type in agent_module.MESSAGE_TYPES:
            handler = self._handle_request
            if message_type is messages.ProbeFor:
                handler = self._relay_probe
            self.transport.register(message_type, handler)

    def start(self) -> None:
        """Starts to answer and to probe peers.

        Raises:
            PeerError: The peers address cannot be bound.
        """
        self.transport.open()
        self._spawn(self._tick())
        self._spawn(self._list_members())

    async def close(self) -> None:
        """Cancels all exchanges and closes the transport."""
        for task in list(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=transport.CLOSE_TIMEOUT_S)
        await self.transport.close()

    def leave(self) -> None:
        """Announces the shutdown of this instance to the others."""
        self._perform_actions(self.agent.leave(time.monotonic()))

    def publish_config_change(self) -> None:
        """Sends a configuration change of the platform to the peers."""
        self._perform_actions(self.agent.on_config_change(time.monotonic()))

    def directory(self, account: str) -> directory.Directory:
        """Returns the addresses for a caller of an account, preferred first."""
        return self.agent.directory(account, time.monotonic())

    def members(self) -> tuple[client.Member, ...]:
        """Returns all instances that have not failed, this one included."""
        return tuple(
            client.Member(
                m.name,
                m.data_centre,
                m.callers_address,
                m.operators_address,
                m.peers_address,
                record.update.leaving,
            )
            for record in self.agent.membership.table.active()
            for m in (record.update.member,)
        )

    async def query_in_force(self) -> tuple[propagation.InForce | str, ...]:
        """Queries every member for the revision that is in force there.

        Returns:
            The answers, this instance first, the others by name; for a member
            that did not answer, its name and the error.
        """
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_STATUS_COUNT)

        async def query(member: messages.Member) -> propagation.InForce | str:
            async with semaphore:
                try:
                    return await self.transport.exchange(
                        member.peers_address,
                        propagation.InForceQuery(),
                        STATUS_TIMEOUT_S,
                    )
                except transport.PeerError as error:
                    return f"{member.name}: {error}"

        others = sorted(
            (r.update.member for r in self.agent.membership.others()),
            key=lambda m: m.name,
        )
        answers = await asyncio.gather(*map(query, others))
        return (self.agent.in_force(), *answers)

    def status(self) -> dict[str, Any]:
        """Returns the membership and configuration state for operators."""
        table = self.agent.membership.table
        return {
            "members": len(table),
            "suspects": sorted(table.suspects),
            "leaving": sorted(m.name for m in self.members() if m.leaving),
            "watching": self.watch.watching,
            "platform": self.watch.platform_problem,
            "platform_calls": self.store.call_count,
            "revision": self.agent.config.revision,
            "content": f"{self.agent.config.content_hash:016x}",
            "blocked": [
                f"{b.kind}/{b.name}: {b.problem}"
                for b in self.agent.in_force().blocked
            ],
            "traffic": dataclasses.asdict(self.transport.traffic),
        }

    async def _tick(self) -> None:
        period_s = self.agent.membership.timing.period_s
        while True:
            self._perform_actions(
                self.agent.on_tick(time.monotonic(), self.in_flight_count())
            )
            await asyncio.sleep(period_s * self.rng.uniform(0.9, 1.1))

    async def _list_members(self) -> None:
        delay_s = LIST_MIN_INTERVAL_S
        seeds = [
            (f"?{address}", address)
            for address in self.settings.peers.seeds
            if address != self.settings.peers.address
        ]
        while True:
            candidates = list(seeds)
            try:
                candidates += [
                    (m.name, m.peers_address)
                    for m in await self.store.members()
                    if not m.leaving
                ]
            except client.StoreError as error:
                _log.info("member_list_failed", error=str(error))
            self.agent.membership.set_candidates(candidates)
            alone = not self.agent.membership.others()
            max_interval_s = (
                LIST_ALONE_MAX_INTERVAL_S if alone else LIST_MAX_INTERVAL_S
            )
            delay_s = min(delay_s, max_interval_s)
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.0))
            delay_s *= 2

    async def _handle_request(self, message: Any) -> Any:
        reply, actions = self.agent.on_request(message, time.monotonic())
        self._perform_actions(actions)
        return reply

    async def _relay_probe(
        self, message: messages.ProbeFor
    ) -> messages.IndirectAck:
        probe = self.agent.indirect_probe(message)
        try:
            ack = await self.transport.exchange(
                probe.address, probe.message, probe.timeout_s
            )
        except transport.PeerError:
            return messages.IndirectAck()
        return messages.IndirectAck(ack)

    def _perform_actions(self, actions: Iterable[agent_module.Action]) -> None:
        for action in actions:
            match action:
                case messages.Send():
                    self._spawn(self._send(action))
                case agent_module.ConfigChanged():
                    self.watch.notify_peer_change()
                case messages.MemberChanged(update=update, reason=reason):
                    _log.info(
                        "member_changed",
                        member=update.member.name,
                        state=update.state.name.lower(),
                        leaving=update.leaving,
                        incarnation=update.incarnation,
                        reason=reason,
                    )

    async def _send(self, send: messages.Send) -> None:
        async with self.send_slots:
            sent_at = time.monotonic()
            try:
                reply = await self.transport.exchange(
                    send.address, send.message, send.timeout_s
                )
            except transport.PeerError:
                now = time.monotonic()
                actions = self.agent.on_failure(send, sent_at, now)
            else:
                now = time.monotonic()
                actions = self.agent.on_reply(send, reply, sent_at, now)
        self._perform_actions(actions)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
