"""All exchanges between instances: failure detection and configuration."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from yuccatally.core.config import documents
from yuccatally.core.config import spread
from yuccatally.core.membership import directory
from yuccatally.core.membership import membership
from yuccatally.core.membership import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from yuccatally.core.config import configuration

PUSH_TIMEOUT_S = 0.6
PULL_TIMEOUT_S = 2.0

MESSAGE_TYPES: tuple[type, ...] = (
    messages.Probe,
    messages.ProbeFor,
    messages.Notify,
    messages.Sync,
    messages.Repair,
    spread.ConfigPush,
    spread.ConfigPull,
    spread.InForceQuery,
)


@dataclasses.dataclass(frozen=True)
class ConfigChanged:
    """Changes of the configuration came from a peer."""

    revision: int


Action = messages.Send | messages.Changed | ConfigChanged


@dataclasses.dataclass
class _Indirect:
    sent_at: float
    missing: int
    answers: list[messages.IndirectAck | None]


class Agent:
    """What one instance says to others, and does when they speak.

    The adapter carries out every ``Send`` and reports each with ``on_reply``
    or ``on_failure``.

    Attributes:
        membership: View of all members.
        spread: Decisions on passing on the configuration.
        config: Configuration of the instance.
        watch_state: Returns whether this instance watches the platform, and
            how it finds it, see ``spread.InForce``.
    """

    def __init__(
        self,
        member: messages.Member,
        incarnation: int,
        config: configuration.Configuration,
        rng: random.Random,
        timing: membership.Timing | None = None,
    ) -> None:
        self.member = member
        self.config = config
        self.rng = rng
        self.membership = membership.Membership(
            member, incarnation, rng, timing
        )
        self.spread = spread.Spread(config, rng)
        self.indirect: dict[str, _Indirect] = {}
        self.received = bytearray()
        self.watch_state: Callable[[], tuple[bool, str]] = lambda: (False, "")

    def is_watcher(self) -> bool:
        """Returns whether this instance should watch the platform."""
        own = self.member
        near = [
            r.update.member.name
            for r in directory.usable(self.membership.table.living(), own.name)
            if r.update.member.data_centre == own.data_centre
        ]
        return own.name in spread.watchers(near, own.data_centre) or not near

    def on_tick(self, now: float, load: int = 0) -> list[Action]:
        """Probes the next member; called once in each period."""
        self.membership.load = load
        self._update_standing()
        return self._followed(self.membership.on_tick(now))

    def leave(self, now: float) -> list[Action]:
        """Announces the shutdown of this instance."""
        return [*self.membership.leave(now)]

    def on_config_change(self, now: float) -> list[Action]:
        """Passes on what the platform or a peer has just sent."""
        self._update_standing()
        others = [
            (r.update.member.name, r.update.member.peers_address)
            for r in self.membership.others()
            if r.state is messages.State.ALIVE
        ]
        own = (self.member.name, self.member.peers_address)
        addresses, push = self.spread.targets(others, own, now)
        return [
            messages.Send("", address, push, PUSH_TIMEOUT_S)
            for address in addresses
        ]

    def relay(self, message: messages.ProbeFor) -> messages.Send:
        """Returns the probe to make before ``ProbeFor`` is answered."""
        return self.membership.probe_for(message)

    def on_request(self, message: Any, now: float) -> tuple[Any, list[Action]]:
        """Returns the reply to a message, and what to do about it.

        ``ProbeFor`` is answered by the adapter, see ``relay``.
        """
        done: list[Action] = []
        reply: Any
        match message:
            case messages.Probe() | messages.Notify():
                reply, found = self.membership.on_message(message, now)
                done += found
                done += self._compare(message.standing, now)
            case messages.Sync():
                reply, found = self.membership.on_sync(message, now)
                done += found
            case messages.Repair():
                reply, found = self.membership.on_repair(message, now)
                done += found
            case spread.ConfigPush():
                changed, pull = self.spread.on_push(message)
                done += self._changed(now) if changed else []
                done += self._pull(pull, message.address)
                reply = spread.PushReply(
                    self.config.revision, self.config.content
                )
            case spread.ConfigPull():
                reply = self.spread.serve(message)
            case spread.InForceQuery():
                reply = self.in_force()
            case _:
                raise TypeError(f"unexpected message {message!r}")
        return reply, self._followed(done)

    def on_reply(
        self, sent: messages.Send, reply: Any, sent_at: float, now: float
    ) -> list[Action]:
        """Takes the reply to a message."""
        done: list[Action] = []
        match reply:
            case messages.Ack():
                done += self.membership.on_ack(sent, reply, sent_at, now)
                done += self._compare(reply.standing, now)
            case messages.IndirectAck():
                done += self._on_indirect(sent, reply, now)
            case messages.SyncReply():
                done += self.membership.on_sync_reply(sent, reply, now)
                done += self._compare(reply.standing, now)
            case messages.RepairReply():
                done += self.membership.on_repair_reply(reply, now)
            case spread.ConfigPart():
                done += self._on_part(sent, reply, now)
            case _:
                pass
        return self._followed(done)

    def on_failure(
        self, sent: messages.Send, sent_at: float, now: float
    ) -> list[Action]:
        """Takes note of a message that was not answered in time."""
        match sent.message:
            case messages.Probe():
                asked = self.membership.on_no_answer(sent, now)
                helpers = [a for a in asked if isinstance(a, messages.Send)]
                if helpers:
                    self.indirect[sent.name] = _Indirect(now, len(helpers), [])
                return [*asked]
            case messages.ProbeFor():
                return self._on_indirect(sent, None, now)
            case spread.ConfigPull():
                self.spread.pulled()
            case _:
                pass
        return []

    def in_force(self) -> spread.InForce:
        """Returns what is in force here."""
        return spread.in_force(
            self.member.name, self.config, *self.watch_state()
        )

    def directory(self, account: str, now: float) -> directory.Directory:
        """Returns the addresses for a caller of an account."""
        return directory.directory(
            self.membership.table.living(), self.member, account, now, self.rng
        )

    def _on_indirect(
        self,
        sent: messages.Send,
        answer: messages.IndirectAck | None,
        now: float,
    ) -> list[Action]:
        target = sent.message.target
        waiting = self.indirect.get(target)
        if waiting is None:
            return []
        waiting.missing -= 1
        waiting.answers.append(answer)
        reached = answer is not None and answer.ack is not None
        if not reached and waiting.missing > 0:
            return []
        del self.indirect[target]
        return [
            *self.membership.on_indirect(
                target, waiting.answers, waiting.sent_at, now
            )
        ]

    def _compare(self, standing: messages.Standing, now: float) -> list[Action]:
        member = standing.update.member
        pull = self.spread.on_standing(
            member.name, standing.revision, standing.content, now
        )
        return self._pull(pull, member.peers_address)

    def _pull(self, pull: spread.Pull | None, address: str) -> list[Action]:
        if pull is None:
            return []
        self.received.clear()
        message = spread.ConfigPull(pull.since)
        return [messages.Send(pull.name, address, message, PULL_TIMEOUT_S)]

    def _on_part(
        self, sent: messages.Send, part: spread.ConfigPart, now: float
    ) -> list[Action]:
        asked: spread.ConfigPull = sent.message
        if asked.offset and asked.tag != part.tag:
            # The peer's configuration has changed since the first part.
            self.received.clear()
        self.received += part.data
        if part.data and len(self.received) < part.total:
            following = spread.ConfigPull(
                asked.since, len(self.received), part.tag
            )
            return [dataclasses.replace(sent, message=following)]
        self.spread.pulled()
        try:
            changes = msgspec.msgpack.decode(
                self.received, type=tuple[documents.Document, ...]
            )
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            # The next comparison of revisions pulls again.
            return []
        since, revision, _ = part.tag
        if not self.spread.apply(since, revision, changes, part.floor):
            return []
        return self._changed(now)

    def _changed(self, now: float) -> list[Action]:
        changed = ConfigChanged(self.config.revision)
        return [changed, *self.on_config_change(now)]

    def _followed(self, done: Iterable[Action]) -> list[Action]:
        """Forgets what is known of members that died."""
        result = list(done)
        for action in result:
            if (
                isinstance(action, messages.Changed)
                and action.update.state is messages.State.DEAD
            ):
                self.spread.forget(action.update.member.name)
        self._update_standing()
        return result

    def _update_standing(self) -> None:
        self.membership.revision = self.config.revision
        self.membership.content = self.config.content
