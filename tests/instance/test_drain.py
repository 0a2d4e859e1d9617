"""Order of the phases of a drain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccatally.instance import drain

if TYPE_CHECKING:
    import pytest


class RecordingListener:
    """Records the phases in which idle connections are closed."""

    def __init__(self, tested: drain.Drain) -> None:
        self.drain = tested
        self.closing_phases: list[drain.Phase] = []

    def close_idle(self) -> None:
        """Replaces the method of ``servers.Listener``."""
        self.closing_phases.append(self.drain.phase)


async def test_drain_waits_for_work(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a shutdown that cuts a request or loses a settlement.

    The shutdown is announced once and first, and a second call of ``run`` has
    no effect.
    """
    monkeypatch.setattr(drain, "ACCEPT_PERIOD_S", 0.05)
    monkeypatch.setattr(drain, "REFUSE_PERIOD_S", 0.0)
    announced: list[drain.Phase] = []
    in_flight = [1]
    tested = drain.Drain(
        lambda: announced.append(tested.phase), lambda: in_flight[0]
    )
    listener = RecordingListener(tested)
    tested.listeners = [listener]
    run = asyncio.create_task(tested.run())
    await asyncio.sleep(0)
    assert announced == [drain.Phase.LEAVING]
    assert not tested.refusing
    await tested.run()
    assert not tested.done.is_set()
    await asyncio.sleep(drain.ACCEPT_PERIOD_S + 5 * drain.POLL_INTERVAL_S)
    assert tested.refusing
    assert not tested.done.is_set(), (
        "the drain did not wait for the request in flight"
    )
    in_flight[0] = 0
    await run
    assert tested.done.is_set()
    assert announced == [drain.Phase.LEAVING]
    assert listener.closing_phases == [drain.Phase.REFUSING]
