"""Responses to callers while an instance starts or shuts down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.requests import outcomes

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import MutableMapping
    from typing import Any

    from yuccatally.instance import instance as instance_module

    Scope = MutableMapping[str, Any]
    Message = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]
    Application = Callable[[Scope, Receive, Send], Awaitable[None]]

INSTANCES_HEADER = b"yuccatally-instances"
INSTANCES_PATH = "/v1/instances"
RETRY_AFTER_S = 1.0


class AvailabilityMiddleware:
    """ASGI middleware that refuses requests the instance cannot serve.

    It refuses requests before the first configuration is in force and during
    the last phase of a shutdown. Responses of a leaving instance name the
    other instances and close the connection. The list of instances is served
    until the end of the shutdown.
    """

    def __init__(
        self, application: Application, instance: instance_module.Instance
    ) -> None:
        self.application = application
        self.instance = instance

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves or refuses one request; see the ASGI specification."""

        async def send_marked(message: Message) -> None:
            if (
                message["type"] == "http.response.start"
                and self.instance.leaving
            ):
                message["headers"] = [
                    *message["headers"],
                    *self._leaving_headers(),
                ]
            await send(message)

        refusal = self._refusal(scope)
        if refusal is None:
            await self.application(scope, receive, send_marked)
            return
        response = self.instance.refuse(self.instance.accept(), refusal)
        await response(scope, receive, send_marked)

    def _refusal(self, scope: Scope) -> outcomes.Refusal | None:
        if scope["type"] != "http":
            return None
        if not self.instance.watch.ready.is_set():
            return outcomes.Refusal(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.PLATFORM_UNAVAILABLE,
                "this instance has no configuration yet; use another one",
                RETRY_AFTER_S,
            )
        if self.instance.drain.refusing and scope["path"] != INSTANCES_PATH:
            return outcomes.Refusal(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.LEAVING,
                "this instance is shutting down; use an address of the "
                "Yuccatally-Instances header",
                RETRY_AFTER_S,
            )
        return None

    def _leaving_headers(self) -> list[tuple[bytes, bytes]]:
        other_instances = self.instance.fleet.directory("").instances
        addresses = ",".join(e.address for e in other_instances)
        return [
            (b"connection", b"close"),
            (INSTANCES_HEADER, addresses.encode()),
        ]
