"""Starlette application of the interface for callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from starlette import applications
from starlette import requests
from starlette import routing
import structlog

from yuccatally.callers import access
from yuccatally.callers import completions
from yuccatally.callers import responses
from yuccatally.callers import services
from yuccatally.callers import urgency
from yuccatally.core.requests import outcomes

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from starlette import responses as http
    from starlette import types

    from yuccatally.core.objects import kinds
    from yuccatally.instance import instance as instance_module

    Handler = Callable[
        [str, kinds.Object, requests.Request, bytes], Awaitable[http.Response]
    ]

_log = structlog.get_logger()

SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


def create_application(
    instance: instance_module.Instance,
) -> applications.Starlette:
    """Returns the application for callers of one instance."""
    endpoints = Endpoints(instance)
    return applications.Starlette(
        routes=[
            routing.Route(
                "/v1/completions", endpoints.completion, methods=["POST"]
            ),
            routing.Route(
                "/v1/chat/completions", endpoints.chat, methods=["POST"]
            ),
            routing.Route("/v1/models", endpoints.models),
            routing.Route("/v1/instances", endpoints.instances),
            routing.Route(
                "/services/{name}/{path:path}",
                endpoints.service,
                methods=SERVICE_METHODS,
            ),
        ]
    )


class Endpoints:
    """Request handlers of the interface for callers."""

    def __init__(self, instance: instance_module.Instance) -> None:
        self.instance = instance
        self.accounts = access.AccountIndex(instance.config)

    async def completion(self, request: requests.Request) -> http.Response:
        """Serves ``POST /v1/completions``."""
        return await self._handle(request, self._completion)

    async def chat(self, request: requests.Request) -> http.Response:
        """Serves ``POST /v1/chat/completions``."""
        return await self._handle(request, self._chat)

    async def service(self, request: requests.Request) -> http.Response:
        """Serves ``/services/NAME/PATH``."""
        return await self._handle(request, self._service)

    async def models(self, request: requests.Request) -> http.Response:
        """Serves ``GET /v1/models``."""
        data = [
            {"id": m.name, "object": "model", "created": 0, "owned_by": "site"}
            for m in self.instance.config.of_kind("model")
        ]
        content = {"object": "list", "data": data}
        return self._answer_json(request, content)

    async def instances(self, request: requests.Request) -> http.Response:
        """Serves ``GET /v1/instances``."""
        account = self.accounts.account_of(request)
        name = account.name if account is not None else ""
        return self._answer_json(request, self.instance.fleet.directory(name))

    async def _handle(
        self, request: requests.Request, handler: Handler
    ) -> http.Response:
        request_id = self.instance.accept()
        account = self.accounts.account_of(request)
        if account is None:
            return self._unauthenticated(request_id)
        try:
            body = await self._read_body(request)
        except requests.ClientDisconnect:
            return self._refuse(
                request_id,
                outcomes.Reason.CALLER_GONE,
                "the caller closed the connection before the request was "
                "complete",
            )
        if body is None:
            limit = self.instance.settings.limits.body_bytes
            return self._refuse(
                request_id,
                outcomes.Reason.MALFORMED,
                f"the body is longer than {limit} bytes",
            )
        try:
            response = await handler(request_id, account, request, body)
            return _SettlingResponse(self.instance, request_id, response)
        except responses.MalformedError as error:
            return self._refuse(
                request_id, outcomes.Reason.MALFORMED, str(error)
            )
        except Exception:
            _log.exception("request_failed", request=request_id)
            refusal = outcomes.Refusal(
                self.instance.ledger.lifecycle_of(
                    request_id
                ).unfinished_outcome(),
                outcomes.Reason.INTERNAL,
                "an internal error occurred; the instance logged it",
            )
            return self.instance.refuse(request_id, refusal)
        except asyncio.CancelledError:
            self.instance.end_unfinished(request_id)
            raise

    async def _completion(
        self,
        request_id: str,
        account: kinds.Object,
        request: requests.Request,
        body: bytes,
    ) -> http.Response:
        parameters = completions.parse_completion(body)
        return await self._generate(request_id, account, request, parameters)

    async def _chat(
        self,
        request_id: str,
        account: kinds.Object,
        request: requests.Request,
        body: bytes,
    ) -> http.Response:
        parameters = completions.parse_chat(body)
        return await self._generate(request_id, account, request, parameters)

    async def _generate(
        self,
        request_id: str,
        account: kinds.Object,
        request: requests.Request,
        parameters: completions.GenerationParameters,
    ) -> http.Response:
        preferences = urgency.parse_preferences(request.headers)
        self.instance.ledger.lifecycle_of(request_id).delegate()
        return await completions.serve(
            self.instance,
            request_id,
            account,
            parameters,
            preferences,
            request.receive,
        )

    async def _service(
        self,
        request_id: str,
        account: kinds.Object,
        request: requests.Request,
        body: bytes,
    ) -> http.Response:
        return await services.serve(
            self.instance, request_id, account, request, body
        )

    async def _read_body(self, request: requests.Request) -> bytes | None:
        limit = self.instance.settings.limits.body_bytes
        chunks: list[bytes] = []
        size_bytes = 0
        async for chunk in request.stream():
            size_bytes += len(chunk)
            if size_bytes > limit:
                return None
            chunks.append(chunk)
        return b"".join(chunks)

    def _refuse(
        self, request_id: str, reason: outcomes.Reason, message: str
    ) -> http.Response:
        refusal = outcomes.Refusal(outcomes.Outcome.NOT_RUN, reason, message)
        return self.instance.refuse(request_id, refusal)

    def _answer_json(
        self, request: requests.Request, content: object
    ) -> http.Response:
        request_id = self.instance.accept()
        if self.accounts.account_of(request) is None:
            return self._unauthenticated(request_id)
        return self.instance.answer(request_id, content)

    def _unauthenticated(self, request_id: str) -> http.Response:
        return self._refuse(
            request_id,
            outcomes.Reason.UNAUTHENTICATED,
            "send 'Authorization: Bearer KEY' with a key of an account",
        )


class _SettlingResponse:
    """Sends a response and then ends the request in every case.

    If a caller disconnects before the first event of a stream, the generator
    of the events never runs, so its own clean-up would not run either.
    """

    def __init__(
        self,
        instance: instance_module.Instance,
        request: str,
        response: http.Response,
    ) -> None:
        self.instance = instance
        self.request = request
        self.response = response

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        try:
            await self.response(scope, receive, send)
        finally:
            events = getattr(self.response, "body_iterator", None)
            if events is not None:
                await events.aclose()
            self.instance.end_unfinished(self.request)
