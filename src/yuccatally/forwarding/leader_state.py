"""What the holder of the lease tells all instances, and what follows."""

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
    """Latest news of the holder of the lease, made here or passed on.

    Attributes:
        leads: Whether this instance holds the lease.
        lost: Engines that do not answer, with the time until which they are
            left out of plans.
        unsaved_plans: Plans of this instance that are not in the store.
    """

    def __init__(self, instance_state: state.InstanceState) -> None:
        self.state = instance_state
        self.is_leader = False
        self.fence = 0
        self.failed_until: dict[suspicions.Incarnation, float] = {}
        self.unsaved_plans: dict[str, pipelines.Plan] = {}
        self.sequence = 0
        self.latest: heartbeats.LeaderState | None = None
        # Time at which the holder said the latest, by this instance's clock.
        self.published_at = 0.0

    def current(self, now: float) -> heartbeats.LeaderState | None:
        """Returns the news to tell others; None if there are none."""
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

    def apply(self, leader_state: heartbeats.LeaderState | None) -> None:
        """Acts on news that are later than those known."""
        if (
            leader_state is None
            or leader_state.holder == self.state.settings.name
        ):
            return
        if (
            self.latest is not None
            and leader_state.order_key <= self.latest.order_key
        ):
            return
        now = time.monotonic()
        self.latest = leader_state
        self.published_at = now - leader_state.age_s
        for service, plan in leader_state.plans.items():
            self.state.apply_plan(service, plan)
        until = self.published_at + members.LIVENESS_TIMEOUT_S
        for engine in leader_state.failed:
            # The next holder of the lease must not plan with them either.
            self.failed_until[engine] = max(
                until, self.failed_until.get(engine, 0.0)
            )
            known = self.state.registry.incarnation(engine.name, engine.born_ms)
            if known is not None:
                self.state.suspect_upstream(
                    known, until - now, "reported by control"
                )
        for held in leader_state.held_layers:
            layers = upstreams.LayerRange(held.first, held.last)
            self.state.set_confirmed_layers((held.name, held.born_ms), layers)

    def expire(self, now: float) -> None:
        """Drops engines whose time is up."""
        self.failed_until = {
            e: t for e, t in self.failed_until.items() if t > now
        }

    def _unreported_layers(self) -> tuple[heartbeats.HeldLayers, ...]:
        """Returns layers that entries do not show yet."""
        found = []
        for (name, born_ms), layers in self.state.confirmed_layers.items():
            engine = self.state.registry.usable(name, born_ms)
            if engine is not None and engine.layers != layers:
                held = heartbeats.HeldLayers(
                    name, born_ms, layers.first, layers.last
                )
                found.append(held)
        return tuple(found)
