"""State that the leader publishes to all instances."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from yuccatally.core.forwarding import members
from yuccatally.core.forwarding import suspicions
from yuccatally.core.forwarding import upstreams
from yuccatally.peers import heartbeats

if TYPE_CHECKING:
    from yuccatally.core.forwarding import pipelines
    from yuccatally.forwarding import state


class LeaderStateTracker:
    """Tracks the latest state of the leader, own or received.

    Attributes:
        is_leader: Whether this instance leads.
        fence: Fencing number of this instance's lease.
        failed_until: Engines that have failed, with the time until which they
            are excluded from plans.
        unsaved_plans: Plans of this instance that are not stored.
        sequence: Sequence number of the last state that this instance
            published.
        latest: Latest state; None if none was published or received.
        published_at: Time at which the leader published it, by the clock of
            this instance.
        content: Number of the content that this instance last published.
        known_content: Content that each other instance has.
    """

    def __init__(self, instance_state: state.InstanceState) -> None:
        self.state = instance_state
        self.is_leader = False
        self.fence = 0
        self.failed_until: dict[suspicions.Incarnation, float] = {}
        self.unsaved_plans: dict[str, pipelines.Plan] = {}
        self.sequence = 0
        self.latest: heartbeats.LeaderState | None = None
        self.published_at = 0.0
        self.content = 0
        self.known_content: dict[str, tuple[str, int, int]] = {}

    def current(self, now: float) -> heartbeats.LeaderState | None:
        """Returns the state to send to peers; None without a current one."""
        if self.is_leader:
            self._publish(now)
        if (
            self.latest is None
            or now - self.published_at >= members.LIVENESS_TIMEOUT_S
        ):
            return None
        return msgspec.structs.replace(
            self.latest, age_s=round(now - self.published_at, 3)
        )

    def current_for(
        self, receiver: str, now: float
    ) -> heartbeats.LeaderState | None:
        """Returns the state to send to an instance.

        Load pattern: the leader cannot write a plan to the store, and each of
        29 followers exchanges heartbeats with its relay seven times a second.
        Content that the receiver has is left out, so that plans do not occupy
        the link of the relay.
        """
        current = self.current(now)
        if (
            current is None
            or not current.content
            or self.known_content.get(receiver) != current.content_key
        ):
            return current
        return msgspec.structs.replace(
            current, failed=(), held_layers=(), plans={}, is_repeat=True
        )

    def record_known(
        self, sender: str, known: heartbeats.LeaderState | None
    ) -> None:
        """Records the content that another instance has."""
        if known is None:
            self.known_content.pop(sender, None)
        else:
            self.known_content[sender] = known.content_key

    def apply(self, update: heartbeats.LeaderState | None) -> None:
        """Applies a received state that is later than the latest one."""
        if update is None or update.holder == self.state.settings.name:
            return
        if update.is_repeat:
            if (
                self.latest is None
                or self.latest.content_key != update.content_key
            ):
                return  # the next heartbeat tells the sender what is missing
            update = msgspec.structs.replace(
                update,
                failed=self.latest.failed,
                held_layers=self.latest.held_layers,
                plans=self.latest.plans,
                is_repeat=False,
            )
        if (
            self.latest is not None
            and update.order_key <= self.latest.order_key
        ):
            return
        now = time.monotonic()
        self.latest = update
        self.published_at = now - update.age_s
        for service, plan in update.plans.items():
            self.state.apply_plan(service, plan)
        until = self.published_at + members.LIVENESS_TIMEOUT_S
        for engine in update.failed:
            # The next leader must exclude them from its plans as well.
            self.failed_until[engine] = max(
                until, self.failed_until.get(engine, 0.0)
            )
            registered = self.state.registry.incarnation(
                engine.name, engine.born_ms
            )
            if registered is not None:
                self.state.suspect_upstream(
                    registered, until - now, "reported by control"
                )
        for confirmed in update.held_layers:
            layers = upstreams.LayerRange(confirmed.first, confirmed.last)
            self.state.set_confirmed_layers(
                (confirmed.name, confirmed.born_ms), layers
            )

    def expire(self, now: float) -> None:
        """Removes engines whose exclusion has ended."""
        self.failed_until = {
            e: t for e, t in self.failed_until.items() if t > now
        }

    def _publish(self, now: float) -> None:
        """Updates the state as the leader."""
        self.sequence += 1
        fields = {
            "failed": tuple(self.failed_until),
            "held_layers": self._unreported_layers(),
            "plans": dict(self.unsaved_plans),
        }
        latest = self.latest
        if (
            latest is None
            or latest.holder != self.state.settings.name
            or any(getattr(latest, k) != v for k, v in fields.items())
        ):
            self.content += 1
        self.latest = heartbeats.LeaderState(
            holder=self.state.settings.name,
            fence=self.fence,
            sequence=self.sequence,
            content=self.content,
            **fields,
        )
        self.published_at = now

    def _unreported_layers(self) -> tuple[heartbeats.HeldLayers, ...]:
        """Returns confirmed layers that the entries do not contain yet."""
        unreported = []
        for (name, born_ms), layers in self.state.confirmed_layers.items():
            engine = self.state.registry.usable(name, born_ms)
            if engine is not None and engine.layers != layers:
                confirmed = heartbeats.HeldLayers(
                    name, born_ms, layers.first, layers.last
                )
                unreported.append(confirmed)
        return tuple(unreported)
