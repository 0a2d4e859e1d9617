"""Order of the phases of a drain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccatally.instance import drain

if TYPE_CHECKING:
    import pytest


class Listener:
    """Notes the phase in which idle connections are closed."""

    def __init__(self, node: drain.Drain) -> None:
        self.node = node
        self.closed_in: list[drain.Phase] = []

    def close_idle(self) -> None:
        """Takes the place of the listener's method."""
        self.closed_in.append(self.node.phase)


async def test_drain_waits_for_work(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an end that cuts a request or loses a settlement.

    A second start changes nothing, and the instance is announced once,
    before anything else happens.
    """
    monkeypatch.setattr(drain, "ACCEPT_S", 0.05)
    monkeypatch.setattr(drain, "REFUSE_S", 0.0)
    announced: list[drain.Phase] = []
    busy = [1]
    node = drain.Drain(lambda: announced.append(node.phase), lambda: busy[0])
    listener = Listener(node)
    node.listeners = [listener]
    first = asyncio.create_task(node.run())
    await asyncio.sleep(0)
    assert announced == [drain.Phase.LEAVING]
    assert not node.refusing
    await node.run()
    assert not node.done.is_set()
    await asyncio.sleep(drain.ACCEPT_S + 5 * drain.POLL_S)
    assert node.refusing
    assert not node.done.is_set(), "the drain did not wait for work"
    busy[0] = 0
    await first
    assert node.done.is_set()
    assert announced == [drain.Phase.LEAVING]
    assert listener.closed_in == [drain.Phase.REFUSING]
