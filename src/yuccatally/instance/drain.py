"""Graceful shutdown of one instance."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.membership import directory

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.instance import servers

# Callers keep addresses for at most ``directory.MAX_CACHE_S``, and the news
# takes up to a second to reach the instance that a caller asks.
ACCEPT_S = directory.MAX_CACHE_S + 1.0
# Callers that are later than they were told still get a definite answer.
REFUSE_S = 1.0
POLL_S = 0.02

_log = structlog.get_logger()


class Phase(enum.IntEnum):
    """Phases of an instance in order; none is ever taken back."""

    SERVING = 0
    LEAVING = 1
    REFUSING = 2
    DRAINED = 3


class Drain:
    """Leads an instance from serving to its end.

    Attributes:
        phase: Current phase.
        done: Set when nothing is in flight and no caller is expected.
    """

    def __init__(
        self,
        announce: Callable[[], None],
        busy: Callable[[], int],
    ) -> None:
        """Creates a drain that has not started.

        Args:
            announce: Tells the other instances.
            busy: Returns the number of requests and settlements in flight.
        """
        self.announce = announce
        self.busy = busy
        self.phase = Phase.SERVING
        self.done = asyncio.Event()
        self.listeners: list[servers.Listener] = []

    @property
    def leaving(self) -> bool:
        """Whether the shutdown has been announced."""
        return self.phase >= Phase.LEAVING

    @property
    def refusing(self) -> bool:
        """Whether new work is refused."""
        return self.phase >= Phase.REFUSING

    async def run(self) -> None:
        """Announces the shutdown and waits until it can be completed."""
        if self.leaving:
            return
        self.phase = Phase.LEAVING
        _log.info("draining", busy=self.busy())
        self.announce()
        await asyncio.sleep(ACCEPT_S)
        self.phase = Phase.REFUSING
        for listener in self.listeners:
            listener.close_idle()
        await asyncio.sleep(REFUSE_S)
        # A poll keeps the ledger free of I/O.
        while self.busy():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
        self.phase = Phase.DRAINED
        self.done.set()
