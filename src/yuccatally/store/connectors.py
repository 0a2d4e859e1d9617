"""Connectors for aiohttp."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import aiohttp
import structlog

from yuccatally.store import response_protocol

if TYPE_CHECKING:
    from typing import Any

    from aiohttp import connector
    from aiohttp import tracing

_log = structlog.get_logger()


class CheckedConnector(aiohttp.TCPConnector):
    """Reads responses with ``response_protocol.CheckedProtocol``."""

    def __init__(self, **options: Any) -> None:
        """Creates a connector; see ``aiohttp.TCPConnector``."""
        super().__init__(**options)
        # aiohttp has no public option for the class of its protocol.
        self._factory = functools.partial(
            response_protocol.CheckedProtocol, loop=self._loop
        )


class UnusedDataConnector(CheckedConnector):
    """Keeps connections, but none on which bytes arrived while it was idle.

    A faulty server may write a response once more, or a part of one. aiohttp
    checks for whole responses when it keeps a connection and not when it uses
    it again, and would return them as the response to the next request.
    """

    def _release(
        self,
        key: connector.ConnectionKey,
        protocol: response_protocol.CheckedProtocol,
        *,
        should_close: bool = False,
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        protocol.idle = True

    async def _get(
        self, key: connector.ConnectionKey, traces: list[tracing.Trace]
    ) -> connector.Connection | None:
        while True:
            kept = await super()._get(key, traces)
            if kept is None or kept.protocol is None:
                return kept
            if not kept.protocol.should_close:
                kept.protocol.idle = False
                return kept
            _log.info("connection_discarded", host=key.host, port=key.port)
            kept.close()
