"""Pauses of sound engines, which then go on."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from yuccatally_standins import path_engine
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import Iterable

PAUSES_S = (0.5, 1.0, 1.5)
# Longer than all pauses.
TIMEOUT_MS = 4000


@dataclasses.dataclass(frozen=True)
class Situation:
    """What happens beside a pause.

    Attributes:
        paused: Engines that pause.
        others: Behaviour of the other engines.
        budget_spent: Whether the retry budget is spent.
        configured: Whether the configuration changes during the pause.
    """

    paused: tuple[str, ...] = ("e1",)
    others: path_engine.Behaviour = dataclasses.field(
        default_factory=path_engine.Behaviour
    )
    budget_spent: bool = False
    configured: bool = False


ALL = ("e1", "e2")
FULL = path_engine.Behaviour(refusal_status=503)
LOST = path_engine.Behaviour(break_after=0)
SILENT = path_engine.Behaviour(drops_answer=True)
SITUATIONS = {
    "one": Situation(),
    "all": Situation(ALL),
    "one-change": Situation(configured=True),
    "all-change": Situation(ALL, configured=True),
    "one-others-full": Situation(others=FULL),
    "one-others-lost": Situation(others=LOST),
    "one-others-silent": Situation(others=SILENT),
    "one-budget-spent": Situation(budget_spent=True),
    "all-budget-spent": Situation(ALL, budget_spent=True),
    "one-others-full-change": Situation(others=FULL, configured=True),
}


def long_routes() -> list[dict[str, object]]:
    """Returns routes whose timeouts are longer than all pauses."""
    routes = path_site.configuration(2)["routes"]
    for route in routes:
        route["timeoutMs"] = TIMEOUT_MS
    return routes


async def pause(
    site: path_site.Site, situation: Situation, pause_s: float
) -> None:
    """Lets engines pause, with what happens beside that."""
    for engine in _of_kind(site, situation.paused):
        if engine.name not in situation.paused:
            engine.behaviour = dataclasses.replace(situation.others)
    state = site.instances[0].state
    if situation.budget_spent:
        for name in ("model", "desk"):
            budget = state.retry_budget(name)
            budget.reserve = budget.share = 0.0
    for name in situation.paused:
        site.engines[name].pause(pause_s)
    if situation.configured:
        await asyncio.sleep(pause_s / 4)
        await site.publish_configuration(3, routes=long_routes())


async def check_released(site: path_site.Site) -> None:
    """Checks that no run is left open nor counted."""
    dispatcher = site.instances[0].state.dispatcher
    await path_site.until(lambda: not dispatcher.own_work, 0.5)
    assert not dispatcher.stream_progress
    for engine in site.engines.values():
        requests = [r.request for r in engine.executed_requests]
        assert len(requests) == len(set(requests))


def _of_kind(
    site: path_site.Site, names: tuple[str, ...]
) -> Iterable[path_engine.PathEngine]:
    """Returns the engines of the services that some engines belong to."""
    services = {site.engines[n].service for n in names}
    return [e for e in site.engines.values() if e.service in services]
