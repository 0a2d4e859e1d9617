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

# Callers cache addresses for at most ``directory.MAX_CACHE_S``, and the
# announcement takes up to a second to reach the instance that a caller queries.
ACCEPT_PERIOD_S = directory.MAX_CACHE_S + 1.0
# Callers that use an address beyond its cache time still get a definite answer.
REFUSE_PERIOD_S = 1.0
POLL_INTERVAL_S = 0.02

_log = structlog.get_logger()


class Phase(enum.IntEnum):
    """Phases of an instance; it never returns to an earlier one."""

    SERVING = 0
    LEAVING = 1
    REFUSING = 2
    DRAINED = 3


class Drain:
    """Takes an instance from serving to the end of its graceful shutdown.

    Attributes:
        phase: Current phase.
        done: Set when nothing is in flight and callers no longer use the
            address.
        listeners: Listeners whose idle connections the drain closes.
    """

    def __init__(
        self,
        announce: Callable[[], None],
        in_flight_count: Callable[[], int],
    ) -> None:
        """Creates a drain that has not started.

        Args:
            announce: Announces the shutdown to the other instances.
            in_flight_count: Returns the number of requests and settlements in
                flight.
        """
        self.announce = announce
        self.in_flight_count = in_flight_count
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
        _log.info("draining", busy=self.in_flight_count())
        self.announce()
        await asyncio.sleep(ACCEPT_PERIOD_S)
        self.phase = Phase.REFUSING
        for listener in self.listeners:
            listener.close_idle()
        await asyncio.sleep(REFUSE_PERIOD_S)
        # Polled, so that the ledger needs no I/O.
        while self.in_flight_count():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        self.phase = Phase.DRAINED
        self.done.set()
