"""Handlers of requests of operators that only read."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from starlette import responses

from yuccatally.core import selectors
from yuccatally.core.config import configuration
from yuccatally.core.objects import kinds
from yuccatally.operators import status
from yuccatally.store import client

if TYPE_CHECKING:
    from starlette import requests

    from yuccatally.instance import instance as instance_module
    from yuccatally.operators import fanout

WATCH_POLL_INTERVAL_S = 0.05
MAX_WATCH_WAIT_S = 60.0
DEFAULT_REQUEST_COUNT = 1000


class MalformedError(Exception):
    """A request of an operator is malformed."""


class NotFoundError(Exception):
    """The requested object does not exist."""


class ReadHandlers:
    """Handlers of requests that only read."""

    def __init__(
        self, instance: instance_module.Instance, all_instances: fanout.Fanout
    ) -> None:
        self.instance = instance
        self.fanout = all_instances

    async def objects(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/objects?kind=&selector=``."""
        kind = request.query_params.get("kind", "")
        if kind and kind not in kinds.SPEC_TYPES:
            valid_kinds = ", ".join(sorted(kinds.SPEC_TYPES))
            raise MalformedError(
                f"kind {kind!r}: expected one of {valid_kinds}"
            )
        text = request.query_params.get("selector", "")
        parsed = selectors.parse(text)
        if parsed.is_error():
            raise MalformedError(str(parsed.error))
        in_force = self.instance.config.snapshot()
        matching = configuration.select(in_force.objects, text)
        selected = sorted(
            (o for o in matching if kind in ("", o.kind)),
            key=lambda o: (o.kind, o.name),
        )
        return json_response(
            {"revision": in_force.revision, "objects": selected}
        )

    async def object(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/objects/KIND/NAME?declared=``.

        With ``declared=true`` the object is read from the platform, which can
        have a newer version than the one in force on this instance.
        """
        kind, name = request.path_params["kind"], request.path_params["name"]
        if request.query_params.get("declared") == "true":
            return await self._declared_object(kind, name)
        in_force = self.instance.config.get(kind, name)
        if in_force is None:
            raise NotFoundError(
                f"{kind}/{name} is not in force on "
                f"{self.instance.settings.instance.name}; 'yuccatally list' "
                "shows what is"
            )
        return json_response(in_force)

    async def watch(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/watch?since=REVISION&wait=SECONDS``.

        The response is a list of changes. If the changes since that revision
        are no longer stored, it is a list of all objects with ``"all": true``.
        """
        since = int(_number_parameter(request, "since", 0, 2**62))
        wait_s = _number_parameter(request, "wait", 0, MAX_WATCH_WAIT_S)
        config = self.instance.config
        deadline = time.monotonic() + wait_s
        # Polling the revision covers every way in which a change can reach the
        # instance.
        while config.revision <= since and time.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)
        delta = config.delta_since(since)
        if delta is None:
            snapshot = config.snapshot()
            content = {
                "all": True,
                "revision": snapshot.revision,
                "objects": snapshot.objects,
            }
            return json_response(content)
        content = {
            "all": False,
            "revision": delta.revision,
            "changes": delta.events,
        }
        return json_response(content)

    async def status(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/status``."""
        return json_response(self.instance.status())

    async def requests(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/requests``."""
        return json_response(self._request_metrics())

    async def explain(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/requests/ID``, with the trail from peers.

        ``?local=true`` omits the trail. Without it, a request to all instances
        would make each of them query its peers.
        """
        request_id = request.path_params["request"]
        spans = self.instance.traces.spans(request_id)
        if request.query_params.get("local") == "true":
            return json_response({"spans": spans})
        explained = await self.instance.trails.explain(request_id)
        return json_response({**explained, "spans": spans})

    async def spans(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/spans?limit=N`` with the latest requests."""
        limit = int(
            _number_parameter(
                request, "limit", 1, 100_000, default=DEFAULT_REQUEST_COUNT
            )
        )
        recent = list(self.instance.traces.spans_by_request.items())[-limit:]
        content = {
            "instance": self.instance.settings.instance.name,
            "requests": [{"request": r, "spans": s} for r, s in recent],
        }
        return json_response(content)

    async def metrics(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /metrics``."""
        body = self.instance.metrics.prometheus_text(
            self.instance.ledger.totals()
        )
        return responses.Response(
            body, media_type="text/plain; version=0.0.4; charset=utf-8"
        )

    async def site_status(
        self, request: requests.Request
    ) -> responses.Response:
        """Serves ``GET /operator/site/status``."""
        declared, replies = await asyncio.gather(
            self._declared_state(),
            self._get_all(request, "/operator/status", self.instance.status()),
        )
        return json_response(status.build_status(declared, replies))

    async def site_revisions(
        self, request: requests.Request
    ) -> responses.Response:
        """Serves ``GET /operator/site/revisions``."""
        replies = await self._get_all(
            request, "/operator/status", self.instance.status()
        )
        revisions = {
            r.instance: int((r.content or {}).get("revision", 0))
            for r in replies
        }
        return json_response({"revisions": revisions})

    async def site_requests(
        self, request: requests.Request
    ) -> responses.Response:
        """Serves ``GET /operator/site/requests``."""
        replies = await self._get_all(
            request, "/operator/requests", self._request_metrics()
        )
        return json_response(status.summarize_requests(replies))

    async def site_explain(
        self, request: requests.Request
    ) -> responses.Response:
        """Serves ``GET /operator/site/requests/ID``."""
        request_id = request.path_params["request"]
        own_content = msgspec.to_builtins(
            {"spans": self.instance.traces.spans(request_id)}
        )
        replies = await self._get_all(
            request, f"/operator/requests/{request_id}?local=true", own_content
        )
        explained = await self.instance.trails.explain(request_id)
        spans = [
            {"instance": r.instance, **span}
            for r in replies
            for span in (r.content or {}).get("spans", [])
        ]
        spans.sort(key=lambda s: s["start_unix_s"])
        content = {
            **explained,
            "spans": spans,
            "unreachable": [r.instance for r in replies if r.error],
        }
        return json_response(content)

    async def _declared_object(
        self, kind: str, name: str
    ) -> responses.Response:
        if kind not in kinds.SPEC_TYPES:
            raise MalformedError(f"kind {kind!r} is not known")
        try:
            stored = await self.instance.store.get(kind, name)
        except client.NotFoundError:
            raise NotFoundError(f"{kind}/{name} does not exist") from None
        except client.StoreError as error:
            message = f"the platform is unavailable ({error})"
            return error_response(503, message)
        return json_response(client.to_raw(stored))

    def _request_metrics(self) -> dict[str, Any]:
        totals = self.instance.ledger.totals()
        return {
            "requests": dataclasses.asdict(totals),
            "balanced": totals.balanced,
            "refusals": self.instance.metrics.counters_by_label("refusals"),
            "latencies": self.instance.metrics.latencies(),
        }

    async def _get_all(
        self, request: requests.Request, path: str, own_content: Any
    ) -> tuple[fanout.InstanceReply, ...]:
        authorization = request.headers.get("authorization", "")
        return await self.fanout.get_all(path, authorization, own_content)

    async def _declared_state(self) -> status.DeclaredState:
        try:
            listing = await self.instance.store.list_objects()
        except client.StoreError:
            in_force = self.instance.config.snapshot()
            return status.DeclaredState(
                in_force.revision, in_force.objects, platform=False
            )
        objects = []
        rejected = []
        for stored in listing.items:
            decoded = kinds.decode(client.to_raw(stored))
            if decoded.is_ok():
                objects.append(decoded.ok)
                continue
            reason = "; ".join(map(str, decoded.error.problems))
            name = f"{stored.kind}/{stored.name}"
            rejected.append((name, stored.version, stored.revision, reason))
        return status.DeclaredState(
            listing.revision, tuple(objects), tuple(rejected)
        )


def json_response(content: object, status: int = 200) -> responses.Response:
    """Returns a JSON response."""
    return responses.Response(
        msgspec.json.encode(content), status, media_type="application/json"
    )


def error_response(status: int, message: str) -> responses.Response:
    """Returns an error response with a message for the operator."""
    return json_response({"error": message}, status)


def _number_parameter(
    request: requests.Request,
    key: str,
    low: float,
    high: float,
    default: float = 0,
) -> float:
    text = request.query_params.get(key)
    try:
        value = default if text is None else float(text)
    except ValueError:
        raise MalformedError(f"{key}: {text!r} is not a number") from None
    if not low <= value <= high:
        raise MalformedError(f"{key}: must be from {low:g} to {high:g}")
    return value
