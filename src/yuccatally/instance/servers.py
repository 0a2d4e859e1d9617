"""HTTP listeners on the event loop of the instance."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import time
from typing import TYPE_CHECKING

import uvicorn

from yuccatally.instance import clients as clients_module
from yuccatally.instance import protocol
from yuccatally.instance import refusals
from yuccatally.settings import settings as settings_module

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from typing import Any

KEEP_ALIVE_TIMEOUT_S = 75
BACKLOG_COUNT = 2048
SEND_BUFFER_BYTES = 32 * 1024
# Time for the first request of a connection that has just been accepted.
FIRST_REQUEST_GRACE_S = 0.2


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        # The instance handles signals itself, so that a drain completes the
        # requests in flight.
        yield


class Listener:
    """One HTTP listener, with TLS if the settings name a certificate.

    Attributes:
        clients: Limits that the listeners of a process share.
        share: Share of the descriptors of the process that its connections may
            use.
    """

    def __init__(
        self,
        app: Callable[..., Any],
        settings: settings_module.ListenerSettings,
        limits: settings_module.LimitsSettings,
        body_bytes: int,
        on_refused: Callable[[str], None],
        clients: clients_module.Clients | None = None,
        share: float = clients_module.CALLERS_SHARE,
    ) -> None:
        self.clients = clients or clients_module.Clients(
            clients_module.MachineLimits()
        )
        self.share = share
        host, port = settings_module.split_address(settings.address)
        self.socket = socket.socket(
            socket.AF_INET6 if ":" in host else socket.AF_INET
        )
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size. A large kernel buffer would
        # accept thousands of tokens for a caller that does not read.
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, protocol.RECEIVE_BUFFER_BYTES
        )
        self.socket.bind((host, port))
        config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="off",
            http=protocol.limited_protocol(
                self._fit(
                    protocol.ConnectionLimits(
                        header_bytes=limits.header_bytes,
                        header_timeout_s=limits.header_timeout_s,
                        body_bytes=body_bytes,
                        body_timeout_s=limits.body_timeout_s,
                        write_timeout_s=limits.write_timeout_s,
                        max_connections=limits.connections,
                    )
                ),
                self.clients,
                refusals.RefusalLog(on_refused, time.monotonic),
            ),
            ssl_certfile=settings.certificate_file or None,
            ssl_keyfile=settings.key_file or None,
            ws="none",
            backlog=BACKLOG_COUNT,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            server_header=False,
        )
        self.server = _Server(config)

    def apply_limits(
        self, limits: protocol.ConnectionLimits, keep_alive_s: float
    ) -> None:
        """Changes the limits, also of open connections.

        Open connections keep the largest idle limit that was in force: callers
        reuse them by it until they know the newer one, and a close that crosses
        a request leaves it without an answer.
        """
        self.server.config.http.limits = self._fit(limits)
        self.server.config.timeout_keep_alive = keep_alive_s
        for connection in list(self.server.server_state.connections):
            connection.timeout_keep_alive = max(
                connection.timeout_keep_alive, keep_alive_s
            )

    def _fit(
        self, limits: protocol.ConnectionLimits
    ) -> protocol.ConnectionLimits:
        """Returns limits that the descriptors of the machine permit."""
        self.clients.raise_body_limit(limits.body_bytes)
        return dataclasses.replace(
            limits,
            max_connections=self.clients.machine.connections(
                self.share, limits.max_connections
            ),
        )

    async def serve(self) -> None:
        """Serves until ``stop`` is called and requests have ended."""
        await self.server.serve(sockets=[self.socket])

    @property
    def has_unsent_data(self) -> bool:
        """Whether a caller has not received the whole of an answer yet."""
        return any(
            connection.transport.get_write_buffer_size()
            for connection in self.server.server_state.connections
        )

    def close_idle(self) -> None:
        """Closes connections that are idle after a request.

        A connection without any request stays open: its first request may be
        in transit, and its sender could not tell whether it was executed.
        """
        for connection in list(self.server.server_state.connections):
            cycle = getattr(connection, "cycle", None)
            if cycle is not None and cycle.response_complete:
                connection.shutdown()

    async def stop(self) -> None:
        """Stops accepting connections; requests in flight are completed."""
        for server in self.server.servers:
            server.close()
        await asyncio.sleep(FIRST_REQUEST_GRACE_S)
        self.server.should_exit = True
