"""HTTP interface for operators: metrics and spans of an instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from starlette import applications
from starlette import responses
from starlette import routing
import structlog

from yuccatally.peers import heartbeats
from yuccatally.peers import transport

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette import requests

    from yuccatally.forwarding import fleet
    from yuccatally.forwarding import state
    from yuccatally.telemetry import traces

# The other instance reads its spans from memory, so it answers quickly.
PULL_TIMEOUT_S = 1.0
# Number of requests that ``/operator/spans`` returns without a limit.
DEFAULT_REQUEST_COUNT = 1000

_log = structlog.get_logger()


class OperatorEndpoints:
    """Serves metrics and spans, also those of other instances."""

    def __init__(
        self,
        instance_state: state.InstanceState,
        peers: fleet.Fleet,
        metrics_text: Callable[[], str],
    ) -> None:
        """Creates the endpoints.

        Args:
            instance_state: Shared state.
            peers: The other instances.
            metrics_text: Returns the metrics in the Prometheus text format.
        """
        self.state = instance_state
        self.fleet = peers
        self.metrics_text = metrics_text

    def open(self) -> None:
        """Starts to serve span requests of other instances."""
        self.fleet.transport.register(
            heartbeats.SpansPull, self._answer_spans_pull
        )

    def application(self) -> applications.Starlette:
        """Returns the ASGI application of the listener."""
        return applications.Starlette(
            routes=[
                routing.Route("/metrics", self._metrics),
                routing.Route("/operator/spans", self._spans),
                routing.Route(
                    "/operator/site/requests/{request}", self._explain
                ),
            ]
        )

    async def _metrics(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /metrics``."""
        return responses.PlainTextResponse(self.metrics_text())

    async def _spans(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/spans?limit=N``: spans of latest requests."""
        text = request.query_params.get("limit", str(DEFAULT_REQUEST_COUNT))
        if not text.isascii() or not text.isdigit():
            return _json({"error": f"limit: {text!r} is not a number"}, 400)
        latest = list(self.state.spans.buffer.spans_by_request.items())[
            -int(text) :
        ]
        listed = [{"request": r, "spans": s} for r, s in latest]
        return _json({"instance": self.state.settings.name, "requests": listed})

    async def _explain(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/site/requests/ID`` with all spans of an id.

        A client that repeats a request with the same id may reach another
        instance, so the spans of all instances are collected. A client that
        was refused sends the request to another instance under a new id.
        """
        request_id = request.path_params["request"]
        peer_contacts = [m.contact for m in self.fleet.live_peers()]
        replies = await asyncio.gather(
            *(self._pull(c.peers, request_id) for c in peer_contacts)
        )
        spans = [
            _encode_span(self.state.settings.name, s)
            for s in self.state.spans.of_request(request_id)
        ]
        unreachable = []
        for contact, pulled in zip(peer_contacts, replies, strict=True):
            if pulled is None:
                unreachable.append(contact.name)
            else:
                spans.extend(_encode_span(contact.name, s) for s in pulled)
        spans.sort(key=lambda s: s["start_unix_s"])
        return _json({"spans": spans, "unreachable": unreachable})

    async def _pull(
        self, address: str, request_id: str
    ) -> tuple[traces.SpanRecord, ...] | None:
        """Returns the spans of another instance; None if it does not answer."""
        try:
            reply = await self.fleet.transport.exchange(
                address, heartbeats.SpansPull(request_id), PULL_TIMEOUT_S
            )
        except transport.PeerError as error:
            _log.info("spans_pull_failed", peer=address, error=str(error))
            return None
        return reply.spans

    def _answer_spans_pull(
        self, pull: heartbeats.SpansPull
    ) -> heartbeats.SpansReply:
        return heartbeats.SpansReply(self.state.spans.of_request(pull.request))


def _encode_span(instance: str, span: traces.SpanRecord) -> dict[str, Any]:
    return {"instance": instance, **msgspec.to_builtins(span)}


def _json(content: object, status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(content), status, media_type="application/json"
    )
