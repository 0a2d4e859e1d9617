"""The starlette application for operators."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import msgspec
from starlette import applications
from starlette import responses
from starlette import routing

if TYPE_CHECKING:
    from starlette import requests

    from yuccatally.instance import instance


def application(node: instance.Instance) -> applications.Starlette:
    """Returns the application of one instance."""
    endpoints = Endpoints(node)
    return applications.Starlette(
        routes=[
            routing.Route("/operator/status", endpoints.status),
            routing.Route("/operator/requests/{request}", endpoints.explain),
            routing.Route("/operator/drain", endpoints.drain, methods=["POST"]),
            routing.Route("/metrics", endpoints.metrics),
        ]
    )


class Endpoints:
    """Handlers of the operators' interface."""

    def __init__(self, node: instance.Instance) -> None:
        self.node = node

    async def status(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/status``."""
        if not self._allowed(request):
            return _forbidden()
        return _json(self.node.status())

    async def explain(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/requests/ID``."""
        if not self._allowed(request):
            return _forbidden()
        identity = request.path_params["request"]
        return _json({"spans": self.node.traces.spans(identity)})

    async def drain(self, request: requests.Request) -> responses.Response:
        """Serves ``POST /operator/drain``."""
        if not self._allowed(request):
            return _forbidden()
        self.node.start_drain()
        return _json({"draining": True})

    async def metrics(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /metrics``."""
        if not self._allowed(request):
            return _forbidden()
        body = self.node.metrics.text(self.node.ledger.totals())
        return responses.PlainTextResponse(body)

    def _allowed(self, request: requests.Request) -> bool:
        expected = self.node.settings.operators.key_sha256
        if not expected:
            return True
        key = request.headers.get("authorization", "").removeprefix("Bearer ")
        digest = hashlib.sha256(key.encode()).hexdigest()
        return hmac.compare_digest(digest, expected)


def _json(content: object, status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(content), status, media_type="application/json"
    )


def _forbidden() -> responses.Response:
    message = "send 'Authorization: Bearer KEY' with the operators' key"
    return _json({"error": message}, status=401)
