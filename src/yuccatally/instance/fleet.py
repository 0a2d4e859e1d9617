"""Exchanges of one instance with the others, and its place among them."""

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

# An instance that knows others reads the platform's list only to find members
# that no other knows, so that the calls of the fleet stay few.
LIST_FIRST_S = 1.0
LIST_LAST_S = 60.0
LIST_ALONE_LAST_S = 5.0
STATUS_TIMEOUT_S = 1.0
STATUS_AT_ONCE = 16
CONCURRENT_SENDS = 32

_log = structlog.get_logger()


class Fleet:
    """Adapter between the agent of the core and the peer transport.

    Other parts add messages with ``transport.register`` and send them with
    ``transport.exchange``.

    Attributes:
        transport: Transport to other instances.
        agent: Decisions on membership and configuration.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        store: client.StoreClient,
        config: configuration.Configuration,
        config_watch: watch.ConfigWatch,
        load: Callable[[], int],
    ) -> None:
        own = settings.instance
        self.settings = settings
        self.store = store
        self.watch = config_watch
        self.load = load
        self.transport = transport.PeerTransport(
            settings.peers.address, settings.peers.key
        )
        self.rng = random.Random()
        member = messages.Member(
            own.name,
            os.urandom(4).hex(),
            own.data_centre,
            settings.peers.address,
            settings.callers.address,
            settings.operators.address,
        )
        # Wall-clock time lets a restarted instance outrank its earlier life.
        self.agent = agent_module.Agent(
            member, int(time.time() * 1000), config, self.rng
        )
        self.agent.watch_state = lambda: (
            config_watch.watching,
            config_watch.platform,
        )
        self.sends = asyncio.Semaphore(CONCURRENT_SENDS)
        self.tasks: set[asyncio.Task[Any]] = set()
        for message_type in agent_module.MESSAGE_TYPES:
            handler = self._answer
            if message_type is messages.ProbeFor:
                handler = self._relay
            self.transport.register(message_type, handler)

    def start(self) -> None:
        """Starts to answer and to probe.

        Raises:
            PeerError: The peers address cannot be listened on.
        """
        self.transport.open()
        self._spawn(self._tick())
        self._spawn(self._list_members())

    async def close(self) -> None:
        """Ends all exchanges."""
        for task in list(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=transport.CLOSE_TIMEOUT_S)
        await self.transport.close()

    def leave(self) -> None:
        """Announces the shutdown of this instance to the others."""
        self._perform(self.agent.leave(time.monotonic()))

    def config_changed(self) -> None:
        """Passes on what has just come into force from the platform."""
        self._perform(self.agent.on_config_change(time.monotonic()))

    def directory(self, account: str) -> directory.Directory:
        """Returns the addresses for a caller of an account, best first."""
        return self.agent.directory(account, time.monotonic())

    def members(self) -> tuple[client.Member, ...]:
        """Returns all instances that are not dead, with this one."""
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

    async def in_force(self) -> tuple[propagation.InForce | str, ...]:
        """Asks every member which revision is in force there.

        Returns:
            The answers in order of names, this instance first; the name and
            the error of each member that did not answer.
        """
        limit = asyncio.Semaphore(STATUS_AT_ONCE)

        async def ask(member: messages.Member) -> propagation.InForce | str:
            async with limit:
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
        answers = await asyncio.gather(*map(ask, others))
        return (self.agent.in_force(), *answers)

    def status(self) -> dict[str, Any]:
        """Returns counts for operators."""
        table = self.agent.membership.table
        return {
            "members": len(table),
            "suspects": sorted(table.suspects),
            "leaving": sorted(m.name for m in self.members() if m.leaving),
            "watching": self.watch.watching,
            "platform": self.watch.platform,
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
            self._perform(self.agent.on_tick(time.monotonic(), self.load()))
            await asyncio.sleep(period_s * self.rng.uniform(0.9, 1.1))

    async def _list_members(self) -> None:
        delay_s = LIST_FIRST_S
        seeds = [
            (f"?{address}", address)
            for address in self.settings.peers.seeds
            if address != self.settings.peers.address
        ]
        while True:
            listed = list(seeds)
            try:
                listed += [
                    (m.name, m.peers_address)
                    for m in await self.store.members()
                    if not m.leaving
                ]
            except client.StoreError as error:
                _log.info("members_not_listed", error=str(error))
            self.agent.membership.set_candidates(listed)
            alone = not self.agent.membership.others()
            last_s = LIST_ALONE_LAST_S if alone else LIST_LAST_S
            delay_s = min(delay_s, last_s)
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.0))
            delay_s *= 2

    async def _answer(self, message: Any) -> Any:
        reply, actions = self.agent.on_request(message, time.monotonic())
        self._perform(actions)
        return reply

    async def _relay(self, message: messages.ProbeFor) -> messages.IndirectAck:
        probe = self.agent.indirect_probe(message)
        try:
            ack = await self.transport.exchange(
                probe.address, probe.message, probe.timeout_s
            )
        except transport.PeerError:
            return messages.IndirectAck()
        return messages.IndirectAck(ack)

    def _perform(self, actions: Iterable[agent_module.Action]) -> None:
        for action in actions:
            match action:
                case messages.Send():
                    self._spawn(self._send(action))
                case agent_module.ConfigChanged():
                    self.watch.changed_by_peer()
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
        async with self.sends:
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
        self._perform(actions)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
