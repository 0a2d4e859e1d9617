"""Message exchange between instances for membership and configuration."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from yuccatally.core.config import documents
from yuccatally.core.config import propagation
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
    propagation.ConfigPush,
    propagation.ConfigPull,
    propagation.InForceQuery,
)


@dataclasses.dataclass(frozen=True)
class ConfigChanged:
    """Reports that changes from a peer were applied to the configuration."""

    revision: int


Action = messages.Send | messages.MemberChanged | ConfigChanged


@dataclasses.dataclass
class _IndirectProbe:
    sent_at: float
    pending_count: int
    answers: list[messages.IndirectAck | None]


class Agent:
    """Handles the messages of one instance without performing I/O.

    The adapter sends the message of every ``Send`` and reports its result with
    ``on_reply`` or ``on_failure``.

    Attributes:
        membership: Member records and failure detector.
        propagator: Propagation of the configuration between instances.
        config: Configuration of the instance.
        watch_state: Returns whether this instance watches the platform, and
            the state of the platform, see ``propagation.InForce``.
        indirect_probes: Indirect probes under way, by target.
        pull_buffer: Parts received so far of the configuration being pulled.
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
        self.propagator = propagation.ConfigPropagator(config, rng)
        self.indirect_probes: dict[str, _IndirectProbe] = {}
        self.pull_buffer = bytearray()
        self.watch_state: Callable[[], tuple[bool, str]] = lambda: (False, "")

    def is_watcher(self) -> bool:
        """Returns whether this instance should watch the platform."""
        own = self.member
        local_names = [
            r.update.member.name
            for r in directory.eligible(
                self.membership.table.active(), own.name
            )
            if r.update.member.data_centre == own.data_centre
        ]
        return (
            own.name
            in propagation.select_watchers(local_names, own.data_centre)
            or not local_names
        )

    def on_tick(self, now: float, load: int = 0) -> list[Action]:
        """Probes the next member; called once per period."""
        self.membership.load = load
        self._update_own_state()
        return self._finish(self.membership.on_tick(now))

    def leave(self, now: float) -> list[Action]:
        """Announces the shutdown of this instance."""
        return [*self.membership.leave(now)]

    def on_config_change(self, now: float) -> list[Action]:
        """Pushes the changes that have just been applied to other members."""
        self._update_own_state()
        others = [
            (r.update.member.name, r.update.member.peers_address)
            for r in self.membership.others()
            if r.state is messages.State.ALIVE
        ]
        own = (self.member.name, self.member.peers_address)
        addresses, push = self.propagator.prepare_push(others, own, now)
        return [
            messages.Send("", address, push, PUSH_TIMEOUT_S)
            for address in addresses
        ]

    def indirect_probe(self, message: messages.ProbeFor) -> messages.Send:
        """Returns the probe whose result is the reply to ``ProbeFor``."""
        return self.membership.indirect_probe(message)

    def on_request(self, message: Any, now: float) -> tuple[Any, list[Action]]:
        """Returns the reply to a message and the resulting actions.

        The adapter replies to ``ProbeFor`` itself, see ``indirect_probe``.
        """
        actions: list[Action] = []
        reply: Any
        match message:
            case messages.Probe() | messages.Notify():
                reply, changes = self.membership.on_message(message, now)
                actions += changes
                actions += self._compare_config(message.peer_state, now)
            case messages.Sync():
                reply, changes = self.membership.on_sync(message, now)
                actions += changes
            case messages.Repair():
                reply, changes = self.membership.on_repair(message, now)
                actions += changes
            case propagation.ConfigPush():
                changed, pull = self.propagator.on_push(message)
                actions += self._config_changed(now) if changed else []
                actions += self._pull_action(pull, message.address)
                reply = propagation.PushReply(
                    self.config.revision, self.config.content_hash
                )
            case propagation.ConfigPull():
                reply = self.propagator.read_part(message)
            case propagation.InForceQuery():
                reply = self.in_force()
            case _:
                raise TypeError(f"unexpected message {message!r}")
        return reply, self._finish(actions)

    def on_reply(
        self, sent: messages.Send, reply: Any, sent_at: float, now: float
    ) -> list[Action]:
        """Handles the reply to a message."""
        actions: list[Action] = []
        match reply:
            case messages.Ack():
                actions += self.membership.on_ack(sent, reply, sent_at, now)
                actions += self._compare_config(reply.peer_state, now)
            case messages.IndirectAck():
                actions += self._on_indirect_result(sent, reply, now)
            case messages.SyncReply():
                actions += self.membership.on_sync_reply(sent, reply, now)
                actions += self._compare_config(reply.peer_state, now)
            case messages.RepairReply():
                actions += self.membership.on_repair_reply(reply, now)
            case propagation.ConfigPart():
                actions += self._on_config_part(sent, reply, now)
            case _:
                pass
        return self._finish(actions)

    def on_failure(
        self, sent: messages.Send, sent_at: float, now: float
    ) -> list[Action]:
        """Handles a message that failed or was not answered in time."""
        match sent.message:
            case messages.Probe():
                actions = self.membership.on_probe_timeout(sent, now)
                helpers = [a for a in actions if isinstance(a, messages.Send)]
                if helpers:
                    self.indirect_probes[sent.name] = _IndirectProbe(
                        now, len(helpers), []
                    )
                return [*actions]
            case messages.ProbeFor():
                return self._on_indirect_result(sent, None, now)
            case propagation.ConfigPull():
                self.propagator.end_pull()
            case _:
                pass
        return []

    def in_force(self) -> propagation.InForce:
        """Returns the state of the configuration of this instance."""
        return propagation.in_force(
            self.member.name, self.config, *self.watch_state()
        )

    def directory(self, account: str, now: float) -> directory.Directory:
        """Returns the addresses for a caller of a client account."""
        return directory.build_directory(
            self.membership.table.active(), self.member, account, now, self.rng
        )

    def _on_indirect_result(
        self,
        sent: messages.Send,
        answer: messages.IndirectAck | None,
        now: float,
    ) -> list[Action]:
        target = sent.message.target
        probe = self.indirect_probes.get(target)
        if probe is None:
            return []
        probe.pending_count -= 1
        probe.answers.append(answer)
        answered = answer is not None and answer.ack is not None
        if not answered and probe.pending_count > 0:
            return []
        del self.indirect_probes[target]
        return [
            *self.membership.on_indirect_results(
                target, probe.answers, probe.sent_at, now
            )
        ]

    def _compare_config(
        self, peer_state: messages.PeerState, now: float
    ) -> list[Action]:
        member = peer_state.update.member
        pull = self.propagator.on_peer_state(
            member.name, peer_state.revision, peer_state.content_hash, now
        )
        return self._pull_action(pull, member.peers_address)

    def _pull_action(
        self, pull: propagation.Pull | None, address: str
    ) -> list[Action]:
        if pull is None:
            return []
        self.pull_buffer.clear()
        message = propagation.ConfigPull(pull.since)
        return [messages.Send(pull.name, address, message, PULL_TIMEOUT_S)]

    def _on_config_part(
        self, sent: messages.Send, part: propagation.ConfigPart, now: float
    ) -> list[Action]:
        request: propagation.ConfigPull = sent.message
        if request.offset and request.version_tag != part.version_tag:
            # The peer's configuration changed after it sent the first part.
            self.pull_buffer.clear()
        self.pull_buffer += part.data
        if part.data and len(self.pull_buffer) < part.total_bytes:
            next_part = propagation.ConfigPull(
                request.since, len(self.pull_buffer), part.version_tag
            )
            return [dataclasses.replace(sent, message=next_part)]
        self.propagator.end_pull()
        try:
            changes = msgspec.msgpack.decode(
                self.pull_buffer, type=tuple[documents.Document, ...]
            )
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            # The next comparison of revisions starts another pull.
            return []
        since, revision, _ = part.version_tag
        if not self.propagator.apply(
            since, revision, changes, part.deletion_floor
        ):
            return []
        return self._config_changed(now)

    def _config_changed(self, now: float) -> list[Action]:
        changed = ConfigChanged(self.config.revision)
        return [changed, *self.on_config_change(now)]

    def _finish(self, actions: Iterable[Action]) -> list[Action]:
        """Removes failed members from the propagator and updates own state."""
        result = list(actions)
        for action in result:
            if (
                isinstance(action, messages.MemberChanged)
                and action.update.state is messages.State.DEAD
            ):
                self.propagator.remove_member(action.update.member.name)
        self._update_own_state()
        return result

    def _update_own_state(self) -> None:
        self.membership.revision = self.config.revision
        self.membership.content_hash = self.config.content_hash
