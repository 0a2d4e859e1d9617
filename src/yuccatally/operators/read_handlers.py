"""Handlers of the operators' interface that only read."""

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

WATCH_POLL_S = 0.05
WATCH_WAIT_MAX_S = 60.0
SPANS_DEFAULT = 1000


class MalformedError(Exception):
    """A request of an operator that cannot be understood."""


class NotFoundError(Exception):
    """Something that an operator asked for does not exist."""


class ReadHandlers:
    """Handlers that only read."""

    def __init__(
        self, instance: instance_module.Instance, asked: fanout.Fanout
    ) -> None:
        self.instance = instance
        self.fanout = asked

    async def objects(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/objects?kind=&selector=``."""
        kind = request.query_params.get("kind", "")
        if kind and kind not in kinds.SPEC_TYPES:
            known = ", ".join(sorted(kinds.SPEC_TYPES))
            raise MalformedError(f"kind {kind!r}: expected one of {known}")
        text = request.query_params.get("selector", "")
        parsed = selectors.parse(text)
        if parsed.is_error():
            raise MalformedError(str(parsed.error))
        found = self.instance.config.snapshot()
        matching = configuration.select(found.objects, text)
        shown = sorted(
            (o for o in matching if kind in ("", o.kind)),
            key=lambda o: (o.kind, o.name),
        )
        return json_response({"revision": found.revision, "objects": shown})

    async def object(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/objects/KIND/NAME?declared=``.

        With ``declared=true`` the object is read from the platform, where it
        can be newer than what is in force here.
        """
        kind, name = request.path_params["kind"], request.path_params["name"]
        if request.query_params.get("declared") == "true":
            return await self._declared_object(kind, name)
        found = self.instance.config.get(kind, name)
        if found is None:
            raise NotFoundError(
                f"{kind}/{name} is not in force on "
                f"{self.instance.settings.instance.name}; 'yuccatally list' "
                "shows what is"
            )
        return json_response(found)

    async def watch(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/watch?since=REVISION&wait=SECONDS``.

        The answer is a list of changes, or all objects with ``"all": true``
        when the changes since that revision are not kept.
        """
        since = int(_number(request, "since", 0, 2**62))
        wait_s = _number(request, "wait", 0, WATCH_WAIT_MAX_S)
        config = self.instance.config
        give_up_at = time.monotonic() + wait_s
        # A poll of a number keeps this independent of the ways in which a
        # change reaches the instance.
        while config.revision <= since and time.monotonic() < give_up_at:  # noqa: ASYNC110
            await asyncio.sleep(WATCH_POLL_S)
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
        return json_response(self._figures())

    async def explain(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/requests/ID``, with the trail from peers.

        ``?local=true`` leaves out the trail, so that a question to all
        instances does not make each of them ask others.
        """
        identity = request.path_params["request"]
        spans = self.instance.traces.spans(identity)
        if request.query_params.get("local") == "true":
            return json_response({"spans": spans})
        explained = await self.instance.trails.explain(identity)
        return json_response({**explained, "spans": spans})

    async def spans(self, request: requests.Request) -> responses.Response:
        """Serves ``GET /operator/spans?limit=N`` with the latest requests."""
        limit = int(
            _number(request, "limit", 1, 100_000, default=SPANS_DEFAULT)
        )
        kept = list(self.instance.traces.spans_by_request.items())[-limit:]
        content = {
            "instance": self.instance.settings.instance.name,
            "requests": [{"request": r, "spans": s} for r, s in kept],
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
        declared, answers = await asyncio.gather(
            self._declared(),
            self._ask(request, "/operator/status", self.instance.status()),
        )
        return json_response(status.build_status(declared, answers))

    async def site_revisions(
        self, request: requests.Request
    ) -> responses.Response:
        """Serves ``GET /operator/site/revisions``."""
        answers = await self._ask(
            request, "/operator/status", self.instance.status()
        )
        revisions = {
            a.instance: int((a.content or {}).get("revision", 0))
            for a in answers
        }
        return json_response({"revisions": revisions})

    async def site_requests(
        self, request: requests.Request
    ) -> responses.Response:
        """Serves ``GET /operator/site/requests``."""
        answers = await self._ask(
            request, "/operator/requests", self._figures()
        )
        return json_response(status.summarize_requests(answers))

    async def site_explain(
        self, request: requests.Request
    ) -> responses.Response:
        """Serves ``GET /operator/site/requests/ID``."""
        identity = request.path_params["request"]
        own = msgspec.to_builtins(
            {"spans": self.instance.traces.spans(identity)}
        )
        answers = await self._ask(
            request, f"/operator/requests/{identity}?local=true", own
        )
        explained = await self.instance.trails.explain(identity)
        spans = [
            {"instance": a.instance, **span}
            for a in answers
            for span in (a.content or {}).get("spans", [])
        ]
        spans.sort(key=lambda s: s["start_unix_s"])
        content = {
            **explained,
            "spans": spans,
            "unreachable": [a.instance for a in answers if a.error],
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

    def _figures(self) -> dict[str, Any]:
        totals = self.instance.ledger.totals()
        return {
            "requests": dataclasses.asdict(totals),
            "balanced": totals.balanced,
            "refusals": self.instance.metrics.counters_by_label("refusals"),
            "latencies": self.instance.metrics.latencies(),
        }

    async def _ask(
        self, request: requests.Request, path: str, own: Any
    ) -> tuple[fanout.InstanceReply, ...]:
        authorization = request.headers.get("authorization", "")
        return await self.fanout.ask(path, authorization, own)

    async def _declared(self) -> status.DeclaredState:
        try:
            listing = await self.instance.store.list_objects()
        except client.StoreError:
            held = self.instance.config.snapshot()
            return status.DeclaredState(
                held.revision, held.objects, platform=False
            )
        objects = []
        rejected = []
        for stored in listing.items:
            decoded = kinds.decode(client.to_raw(stored))
            if decoded.is_ok():
                objects.append(decoded.ok)
                continue
            why = "; ".join(map(str, decoded.error.problems))
            name = f"{stored.kind}/{stored.name}"
            rejected.append((name, stored.version, stored.revision, why))
        return status.DeclaredState(
            listing.revision, tuple(objects), tuple(rejected)
        )


def json_response(content: object, status: int = 200) -> responses.Response:
    """Returns a JSON answer."""
    return responses.Response(
        msgspec.json.encode(content), status, media_type="application/json"
    )


def error_response(status: int, message: str) -> responses.Response:
    """Returns an error that tells the operator what to do."""
    return json_response({"error": message}, status)


def _number(
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
