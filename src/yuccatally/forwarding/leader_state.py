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

    def current(self, now: float) -> heartbeats.LeaderState | None:
        """Returns the state to send to peers; None without a current one."""
        if self.is_leader:
            self.sequence += 1
            self.latest = heartbeats.LeaderState(
                holder=self.state.settings.name,
                fence=self.fence,
                sequence=self.sequence,
                failed=tuple(self.failed_until),
                held_layers=self._unreported_layers(),
                plans=dict(self.unsaved_plans),
            )
            self.published_at = now
        if (
            self.latest is None
            or now - self.published_at >= members.LIVENESS_TIMEOUT_S
        ):
            return None
        return msgspec.structs.replace(
            self.latest, age_s=round(now - self.published_at, 3)
        )

    def apply(self, update: heartbeats.LeaderState | None) -> None:
        """Applies a received state that is later than the latest one."""
        if update is None or update.holder == self.state.settings.name:
            return
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
