"""Carries the messages of core agents in one process, on a clock of its own.

It stands in for the network and the adapters, with lost, doubled, late and
reordered messages.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from yuccatally.core.config import configuration
from yuccatally.core.config import documents
from yuccatally.core.membership import agent as agent_module
from yuccatally.core.membership import membership
from yuccatally.core.membership import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

START_S = 100.0
LATENCY_S = (0.0005, 0.003)
LATE_S = (0.2, 2.0)
WATCH_DELAY_S = 0.05
# TCP and SP headers of a message, and the acknowledgement of its segment.
OVERHEAD_BYTES = 100


@dataclasses.dataclass
class SimulatedInstance:
    """One instance."""

    agent: agent_module.Agent
    config: configuration.Configuration
    running: bool = True
    paused: bool = False
    deferred: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    sent_bytes: int = 0
    received_bytes: int = 0
    sent: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class SimulatedNetwork:
    """Agents and what lies between them.

    Attributes:
        now: Time in seconds.
        cut: Pairs of names between which messages are lost, in one direction.
        loss: Share of messages that are lost.
        doubled: Share of requests that arrive twice.
        late: Share of messages that are late, and so overtaken.
        platform_up: Whether watchers learn of changes.
        changes: Changes accepted by the platform.
    """

    def __init__(
        self,
        names: Iterable[str],
        seed: int = 0,
        data_centres: int = 3,
        timing: membership.Timing | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.timing = timing or membership.Timing()
        self.data_centres = data_centres
        self.now = START_S
        self.instances: dict[str, SimulatedInstance] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_ratio = self.duplication_ratio = self.late_ratio = 0.0
        self.platform_reachable = True
        self.changes: list[documents.Document] = []
        self.boot_count = 0
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts an instance; a second start is a new life of the name."""
        self.boot_count += 1
        member = messages.Member(
            name,
            f"b{self.boot_count:07d}",
            f"dc{int(name[1:]) % self.data_centres}",
            name,
            f"10.11.12.13:{20_000 + int(name[1:])}",
            f"10.11.12.13:{30_000 + int(name[1:])}",
        )
        config = configuration.Configuration()
        agent = agent_module.Agent(
            member,
            int(self.now * 1000),
            config,
            random.Random(self.rng.random()),
            self.timing,
        )
        instance = SimulatedInstance(agent, config)
        self.instances[name] = instance
        self.list_members(instance)
        delay_s = self.rng.uniform(0, self.timing.period_s)
        self._later(delay_s, lambda: self._tick(instance))
        self._later(delay_s, lambda: self._watch(instance))

    def list_members(self, instance: SimulatedInstance) -> None:
        """Hands the platform's list to a node, if the platform is up."""
        if self.platform_reachable:
            instance.agent.membership.set_candidates(
                (name, name) for name, n in self.instances.items() if n.running
            )

    def kill(self, name: str) -> None:
        """Ends an instance without notice."""
        self.instances[name].running = False

    def pause(self, name: str) -> None:
        """Stops an instance; what reaches it is kept for later."""
        self.instances[name].paused = True

    def resume(self, name: str) -> None:
        """Continues a paused instance."""
        instance = self.instances[name]
        instance.paused = False
        deferred, instance.deferred = instance.deferred, []
        for action in deferred:
            self._later(self.rng.uniform(0, 0.01), action)

    def leave(self, name: str) -> None:
        """Starts the shutdown of an instance; it still answers."""
        instance = self.instances[name]
        self._perform(instance, instance.agent.leave(self.now))

    def publish_change(self, name: str, deleted: bool = False) -> int:
        """Accepts a change of one object and returns its revision."""
        revision = (self.changes[-1].revision if self.changes else 0) + 1
        spec = {"layers": revision, "version": "v1"}
        self.changes.append(
            documents.Document("model", name, revision, 1, deleted, spec)
        )
        return revision

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def apply_changes(self, instance: SimulatedInstance) -> None:
        """Gives a node every change that it does not have."""
        since = instance.config.revision
        new = self.changes[since:]
        events = tuple(map(documents.event_from, new))
        delta = configuration.Delta(since, new[-1].revision, events)
        instance.config.apply_delta(delta)
        self._perform(instance, instance.agent.on_config_change(self.now))

    def running_instances(self) -> dict[str, SimulatedInstance]:
        """Returns the nodes that were not killed."""
        return {k: n for k, n in self.instances.items() if n.running}

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay_s, self.sequence, action))

    def _at(
        self, instance: SimulatedInstance, action: Callable[[], None]
    ) -> None:
        if instance.paused:
            instance.deferred.append(action)
        elif instance.running:
            action()

    def _tick(self, instance: SimulatedInstance) -> None:
        def tick() -> None:
            self._perform(instance, instance.agent.on_tick(self.now))
            jitter = self.rng.uniform(0.9, 1.1)
            self._later(
                self.timing.period_s * jitter, lambda: self._tick(instance)
            )

        self._at(instance, tick)

    def _watch(self, instance: SimulatedInstance) -> None:
        def look() -> None:
            self._later(WATCH_DELAY_S, lambda: self._watch(instance))
            # Revisions of this platform are consecutive.
            current = instance.config.revision >= len(self.changes)
            if (
                not current
                and self.platform_reachable
                and instance.agent.is_watcher()
            ):
                self.apply_changes(instance)

        self._at(instance, look)

    def _perform(
        self,
        instance: SimulatedInstance,
        actions: Iterable[agent_module.Action],
    ) -> None:
        for action in actions:
            if isinstance(action, messages.Send):
                self._exchange(
                    instance,
                    action,
                    lambda reply, at, s=action: self._perform(
                        instance,
                        instance.agent.on_reply(s, reply, at, self.now),
                    ),
                    lambda at, s=action: self._perform(
                        instance, instance.agent.on_failure(s, at, self.now)
                    ),
                )

    def _exchange(
        self,
        instance: SimulatedInstance,
        send: messages.Send,
        on_reply: Callable[[Any, float], None],
        on_failure: Callable[[float], None],
    ) -> None:
        sent_at = self.now
        ended: list[bool] = []

        def end(action: Callable[[], None]) -> None:
            if not ended:
                ended.append(True)
                self._at(instance, action)

        def arrived(reply: Any) -> None:
            end(lambda: on_reply(reply, sent_at))

        self._later(send.timeout_s, lambda: end(lambda: on_failure(sent_at)))
        for _ in range(2 if self.rng.random() < self.duplication_ratio else 1):
            self._deliver(
                instance,
                send.address,
                send.message,
                lambda target: self._serve(target, instance, send, arrived),
            )

    def _serve(
        self,
        target: SimulatedInstance,
        sender: SimulatedInstance,
        send: messages.Send,
        arrived: Callable[[Any], None],
    ) -> None:
        name = sender.agent.member.name

        def reply(content: Any) -> None:
            self._deliver(target, name, content, lambda _: arrived(content))

        if isinstance(send.message, messages.ProbeFor):
            self._exchange(
                target,
                target.agent.indirect_probe(send.message),
                lambda ack, _: reply(messages.IndirectAck(ack)),
                lambda _: reply(messages.IndirectAck()),
            )
            return
        content, actions = target.agent.on_request(send.message, self.now)
        reply(content)
        self._perform(target, actions)

    def _deliver(
        self,
        sender: SimulatedInstance,
        address: str,
        message: Any,
        action: Callable[[SimulatedInstance], None],
    ) -> None:
        name = sender.agent.member.name
        length = len(msgspec.msgpack.encode(message)) + OVERHEAD_BYTES
        sender.sent_bytes += length
        sender.sent[type(message).__name__] += 1
        if (
            name,
            address,
        ) in self.blocked_links or self.rng.random() < self.loss_ratio:
            return
        target = self.instances.get(address)
        if target is None:
            return
        span = LATE_S if self.rng.random() < self.late_ratio else LATENCY_S

        def arrive() -> None:
            if target.running:
                target.received_bytes += length
            self._at(target, lambda: action(target))

        self._later(self.rng.uniform(*span), arrive)
