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


class News:
    """Latest news of the holder of the lease, made here or passed on.

    Attributes:
        leads: Whether this instance holds the lease.
        lost: Engines that do not answer, with the time until which they are
            left out of plans.
        unsaved_plans: Plans of this instance that are not in the store.
    """

    def __init__(self, node: state.State) -> None:
        self.node = node
        self.leads = False
        self.fence = 0
        self.lost: dict[suspicions.Incarnation, float] = {}
        self.unsaved_plans: dict[str, pipelines.Plan] = {}
        self.number = 0
        self.latest: heartbeats.LeaderState | None = None
        # Time at which the holder said the latest, by this instance's clock.
        self.said_at = 0.0

    def current(self, now: float) -> heartbeats.LeaderState | None:
        """Returns the news to tell others; None if there are none."""
        if self.leads:
            self.number += 1
            self.latest = heartbeats.LeaderState(
                holder=self.node.settings.name,
                fence=self.fence,
                sequence=self.number,
                failed=tuple(self.lost),
                held_layers=self._held(),
                plans=dict(self.unsaved_plans),
            )
            self.said_at = now
        if (
            self.latest is None
            or now - self.said_at >= members.LIVENESS_TIMEOUT_S
        ):
            return None
        return msgspec.structs.replace(
            self.latest, age_s=round(now - self.said_at, 3)
        )

    def take(self, news: heartbeats.LeaderState | None) -> None:
        """Acts on news that are later than those known."""
        if news is None or news.holder == self.node.settings.name:
            return
        if self.latest is not None and news.order_key <= self.latest.order_key:
            return
        now = time.monotonic()
        self.latest = news
        self.said_at = now - news.age_s
        for service, plan in news.plans.items():
            self.node.apply_plan(service, plan)
        until = self.said_at + members.LIVENESS_TIMEOUT_S
        for engine in news.failed:
            # The next holder of the lease must not plan with them either.
            self.lost[engine] = max(until, self.lost.get(engine, 0.0))
            known = self.node.registry.incarnation(engine.name, engine.born_ms)
            if known is not None:
                self.node.avoid(known, until - now, "reported by control")
        for held in news.held_layers:
            layers = upstreams.LayerRange(held.first, held.last)
            self.node.set_held((held.name, held.born_ms), layers)

    def expire(self, now: float) -> None:
        """Drops engines whose time is up."""
        self.lost = {e: t for e, t in self.lost.items() if t > now}

    def _held(self) -> tuple[heartbeats.HeldLayers, ...]:
        """Returns layers that entries do not show yet."""
        found = []
        for (name, born_ms), layers in self.node.held.items():
            engine = self.node.registry.usable(name, born_ms)
            if engine is not None and engine.layers != layers:
                held = heartbeats.HeldLayers(
                    name, born_ms, layers.first, layers.last
                )
                found.append(held)
        return tuple(found)
