"""Calls and bookings at sound engines that fall silent and then answer."""

from __future__ import annotations

import asyncio

import pytest

from yuccatally_standins import path_engine
from yuccatally_standins import path_site
from yuccatally_standins import pauses


@pytest.mark.parametrize("pause_s", pauses.PAUSES_S)
@pytest.mark.parametrize(
    "situation",
    [
        pauses.Situation(("d1",)),
        pauses.Situation(("d1", "d2")),
        pauses.Situation(("d1",), others=pauses.FULL),
        pauses.Situation(("d1",), others=path_engine.Behaviour(wrong_id=True)),
        pauses.Situation(("d1", "d2"), budget_spent=True),
        pauses.Situation(("d1",), configured=True),
    ],
    ids=["one", "all", "others-full", "others-lost", "budget-spent", "change"],
)
@pytest.mark.parametrize("target", ["/stock/x", "/book/x"])
async def test_call_outlasts_a_pause(
    served: path_site.Site,
    target: str,
    situation: pauses.Situation,
    pause_s: float,
) -> None:
    """Guards against calls that fail although their engine answers later."""
    await served.publish_configuration(2, routes=pauses.long_routes())
    await served.add_engine("d2", card="")
    state = served.instances[0].state
    await path_site.until(
        lambda: (
            state.rules.version == 2
            and len(state.registry.usable_of("desk")) == 2
        )
    )
    engines = [served.engines["d1"], served.engines["d2"]]
    for engine in engines:
        engine.delay_s = 0.1
    count = 6
    tasks = [
        asyncio.create_task(served.send_request(target, f"c{n}"))
        for n in range(count)
    ]
    await path_site.until(
        lambda: sum(len(e.executed_requests) for e in engines) == count
    )
    at_paused = {
        r.request
        for name in situation.paused
        for r in served.engines[name].executed_requests
    }
    assert at_paused
    await pauses.pause(served, situation, pause_s)
    answers = await asyncio.gather(*tasks)
    for number, (status, _, body) in enumerate(answers):
        if f"c{number}" in at_paused:
            assert (status, body) == (200, f"done c{number}".encode())
    if target == "/book/x":
        assert sum(len(e.executed_requests) for e in engines) == count
    await pauses.check_released(served)
