"""Simulates the network between core agents on a simulated clock.

It replaces the network and the adapters, and loses, duplicates, delays and
reorders messages.
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
LATENCY_RANGE_S = (0.0005, 0.003)
LATE_LATENCY_RANGE_S = (0.2, 2.0)
WATCH_INTERVAL_S = 0.05
# TCP and SP headers of a message and the acknowledgement of its segment.
OVERHEAD_BYTES = 100


@dataclasses.dataclass
class SimulatedInstance:
    """An instance on the simulated network.

    Attributes:
        agent: Core agent of the instance.
        config: Configuration that the agent has applied.
        running: False once the instance was killed.
        paused: Whether events are deferred, as in a stopped process.
        deferred: Events to run after the pause.
        sent_bytes: Bytes sent, with the overhead of each message.
        received_bytes: Bytes received, with the overhead of each message.
        sent: Number of messages sent, by type.
    """

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
    """Delivers messages between agents and runs their timers.

    Attributes:
        now: Simulated time, in seconds.
        instances: Instances by name, with those that were killed.
        events: Heap of due time, sequence number and action.
        sequence: Number of events so far; orders events of equal time.
        blocked_links: Pairs of sender and recipient between which messages
            are lost.
        loss_ratio: Ratio of messages that are lost.
        duplication_ratio: Ratio of requests that arrive twice.
        late_ratio: Ratio of messages with a latency so long that later
            messages overtake them.
        platform_reachable: Whether watchers receive changes.
        changes: Changes accepted by the platform.
        boot_count: Number of starts so far.
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
        """Starts an instance; a restart gives the name a new boot ID."""
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
        self.set_candidates(instance)
        delay_s = self.rng.uniform(0, self.timing.period_s)
        self._schedule(delay_s, lambda: self._tick(instance))
        self._schedule(delay_s, lambda: self._watch(instance))

    def set_candidates(self, instance: SimulatedInstance) -> None:
        """Gives an instance the platform's list, if that is reachable."""
        if self.platform_reachable:
            instance.agent.membership.set_candidates(
                (name, name) for name, i in self.instances.items() if i.running
            )

    def kill(self, name: str) -> None:
        """Kills an instance; it sends no message about it."""
        self.instances[name].running = False

    def pause(self, name: str) -> None:
        """Pauses an instance; its events are deferred until it resumes."""
        self.instances[name].paused = True

    def resume(self, name: str) -> None:
        """Resumes a paused instance and runs its deferred events."""
        instance = self.instances[name]
        instance.paused = False
        deferred, instance.deferred = instance.deferred, []
        for action in deferred:
            self._schedule(self.rng.uniform(0, 0.01), action)

    def leave(self, name: str) -> None:
        """Starts a graceful shutdown; the instance still answers."""
        instance = self.instances[name]
        self._perform(instance, instance.agent.leave(self.now))

    def publish_change(self, name: str, deleted: bool = False) -> int:
        """Publishes a change of one object and returns its revision."""
        revision = (self.changes[-1].revision if self.changes else 0) + 1
        spec = {"layers": revision, "version": "v1"}
        self.changes.append(
            documents.Document("model", name, revision, 1, deleted, spec)
        )
        return revision

    def run(self, duration_s: float) -> None:
        """Runs the simulation for a time."""
        end = self.now + duration_s
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def apply_changes(self, instance: SimulatedInstance) -> None:
        """Applies all changes that an instance does not have yet."""
        since = instance.config.revision
        missing = self.changes[since:]
        events = tuple(map(documents.event_from, missing))
        delta = configuration.Delta(since, missing[-1].revision, events)
        instance.config.apply_delta(delta)
        self._perform(instance, instance.agent.on_config_change(self.now))

    def running_instances(self) -> dict[str, SimulatedInstance]:
        """Returns the instances that were not killed."""
        return {k: i for k, i in self.instances.items() if i.running}

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay_s, self.sequence, action))

    def _run_or_defer(
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
            self._schedule(
                self.timing.period_s * jitter, lambda: self._tick(instance)
            )

        self._run_or_defer(instance, tick)

    def _watch(self, instance: SimulatedInstance) -> None:
        def poll_changes() -> None:
            self._schedule(WATCH_INTERVAL_S, lambda: self._watch(instance))
            # Revisions of this platform are consecutive.
            is_current = instance.config.revision >= len(self.changes)
            if (
                not is_current
                and self.platform_reachable
                and instance.agent.is_watcher()
            ):
                self.apply_changes(instance)

        self._run_or_defer(instance, poll_changes)

    def _perform(
        self,
        instance: SimulatedInstance,
        actions: Iterable[agent_module.Action],
    ) -> None:
        for action in actions:
            if isinstance(action, messages.Send):
                self._send_request(
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

    def _send_request(
        self,
        instance: SimulatedInstance,
        send: messages.Send,
        on_reply: Callable[[Any, float], None],
        on_failure: Callable[[float], None],
    ) -> None:
        sent_at = self.now
        completed: list[bool] = []

        def complete(action: Callable[[], None]) -> None:
            if not completed:
                completed.append(True)
                self._run_or_defer(instance, action)

        def receive_reply(reply: Any) -> None:
            complete(lambda: on_reply(reply, sent_at))

        self._schedule(
            send.timeout_s, lambda: complete(lambda: on_failure(sent_at))
        )
        for _ in range(2 if self.rng.random() < self.duplication_ratio else 1):
            self._deliver(
                instance,
                send.address,
                send.message,
                lambda target: self._serve(
                    target, instance, send, receive_reply
                ),
            )

    def _serve(
        self,
        target: SimulatedInstance,
        sender: SimulatedInstance,
        send: messages.Send,
        receive_reply: Callable[[Any], None],
    ) -> None:
        name = sender.agent.member.name

        def reply(content: Any) -> None:
            self._deliver(
                target, name, content, lambda _: receive_reply(content)
            )

        if isinstance(send.message, messages.ProbeFor):
            self._send_request(
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
        size_bytes = len(msgspec.msgpack.encode(message)) + OVERHEAD_BYTES
        sender.sent_bytes += size_bytes
        sender.sent[type(message).__name__] += 1
        if (
            name,
            address,
        ) in self.blocked_links or self.rng.random() < self.loss_ratio:
            return
        target = self.instances.get(address)
        if target is None:
            return
        latency_range_s = (
            LATE_LATENCY_RANGE_S
            if self.rng.random() < self.late_ratio
            else LATENCY_RANGE_S
        )

        def arrive() -> None:
            if target.running:
                target.received_bytes += size_bytes
            self._run_or_defer(target, lambda: action(target))

        self._schedule(self.rng.uniform(*latency_range_s), arrive)
