"""The starlette application for operators."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from starlette import applications
from starlette import responses
from starlette import routing
import structlog

from yuccatally.core.config import changes as core_changes
from yuccatally.core.config import merge
from yuccatally.core.objects import documents
from yuccatally.operators import changes
from yuccatally.operators import fleet
from yuccatally.operators import messages
from yuccatally.operators import views

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from starlette import requests

    from yuccatally.core import strict
    from yuccatally.instance import instance

    Handler = Callable[[requests.Request], Awaitable[responses.Response]]

BODY_BYTES = 8_388_608

_log = structlog.get_logger()

_STATUS = {
    messages.Outcome.REFUSED: 422,
    messages.Outcome.CONFLICT: 409,
    messages.Outcome.UNAVAILABLE: 503,
    messages.Outcome.UNKNOWN: 504,
}


class MalformedError(Exception):
    """A request of an operator that cannot be understood."""


def application(node: instance.Instance) -> applications.Starlette:
    """Returns the application of one instance."""
    asked = fleet.Fleet(node)
    writes = Writes(node)
    reads = views.Views(node, asked)
    table: list[tuple[str, str, Handler]] = [
        ("POST", "/operator/apply", writes.apply),
        ("POST", "/operator/labels", writes.label),
        ("DELETE", "/operator/objects/{kind}/{name}", writes.delete),
        ("POST", "/operator/drain", writes.drain),
        ("GET", "/operator/objects", reads.objects),
        ("GET", "/operator/objects/{kind}/{name}", reads.object),
        ("GET", "/operator/watch", reads.watch),
        ("GET", "/operator/status", reads.status),
        ("GET", "/operator/requests", reads.requests),
        ("GET", "/operator/requests/{request}", reads.explain),
        ("GET", "/operator/spans", reads.spans),
        ("GET", "/operator/site/status", reads.site_status),
        ("GET", "/operator/site/revisions", reads.site_revisions),
        ("GET", "/operator/site/requests", reads.site_requests),
        ("GET", "/operator/site/requests/{request}", reads.site_explain),
        ("GET", "/metrics", reads.metrics),
    ]
    return applications.Starlette(
        routes=[
            routing.Route(path, _guarded(node, handler), methods=[method])
            for method, path, handler in table
        ]
    )


class Writes:
    """Handlers that change something."""

    def __init__(self, node: instance.Instance) -> None:
        self.node = node
        self.changes = changes.Changes(node.store)

    async def apply(self, request: requests.Request) -> responses.Response:
        """Serves ``POST /operator/apply``."""
        asked = await _body(request, messages.ApplyRequest)
        decoded = documents.decode_all(asked.objects)
        if decoded.is_error():
            return _refused(decoded.error)
        keys = [documents.parse_key(text) for text in asked.delete]
        problems = tuple(k.error for k in keys if k.is_error())
        if problems:
            return _refused(problems)
        change = core_changes.Change(
            decoded.ok.objects,
            frozenset(
                (o.kind, o.name)
                for o, raw in zip(
                    decoded.ok.objects, decoded.ok.raw, strict=True
                )
                if "labels" not in raw
            ),
            tuple(k.ok for k in keys),
            asked.force,
        )
        return _reported(await self.changes.apply(change, asked.dry_run))

    async def delete(self, request: requests.Request) -> responses.Response:
        """Serves ``DELETE /operator/objects/KIND/NAME``."""
        key = _key(request)
        force = request.query_params.get("force") == "true"
        change = core_changes.Change(deleted=(key,), force=force)
        return _reported(await self.changes.apply(change))

    async def label(self, request: requests.Request) -> responses.Response:
        """Serves ``POST /operator/labels``."""
        asked = await _body(request, messages.LabelRequest)
        key = documents.parse_key(asked.object)
        if key.is_error():
            return _refused((key.error,))
        both = sorted({*asked.set} & {*asked.remove})
        if both or not (asked.set or asked.remove):
            message = f"set and removed at once: {', '.join(both)}"
            raise MalformedError(message if both else "no label is named")
        edit = merge.LabelEdit(asked.set, tuple(asked.remove))
        report = await self.changes.label(
            *key.ok, edit, asked.base, asked.force
        )
        return _reported(report)

    async def drain(self, request: requests.Request) -> responses.Response:
        """Serves ``POST /operator/drain``."""
        self.node.start_drain()
        name = self.node.settings.instance.name
        return views.json_response({"draining": True, "instance": name})


def _guarded(node: instance.Instance, handler: Handler) -> Handler:
    """Returns a handler that checks the key and turns faults into answers."""

    async def guarded(request: requests.Request) -> responses.Response:
        if not _allowed(node, request):
            message = "send 'Authorization: Bearer KEY' with the operators' key"
            return views.error_response(401, message)
        try:
            return await handler(request)
        except (MalformedError, views.MalformedError) as error:
            return views.error_response(400, str(error))
        except views.NotFoundError as error:
            return views.error_response(404, str(error))
        except Exception:
            _log.exception("operator_request_failed", path=request.url.path)
            message = "an internal error occurred; the instance logged it"
            return views.error_response(500, message)

    return guarded


def _allowed(node: instance.Instance, request: requests.Request) -> bool:
    expected = node.settings.operators.key_sha256
    if not expected:
        return True
    key = request.headers.get("authorization", "").removeprefix("Bearer ")
    digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
    return hmac.compare_digest(digest, expected)


async def _body(request: requests.Request, target: type[Any]) -> Any:
    parts = []
    length = 0
    async for part in request.stream():
        length += len(part)
        if length > BODY_BYTES:
            raise MalformedError(f"the body is longer than {BODY_BYTES} bytes")
        parts.append(part)
    try:
        return msgspec.json.decode(b"".join(parts), type=target)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedError(str(error)) from error
    except RecursionError as error:
        raise MalformedError("the body is nested too deeply") from error


def _key(request: requests.Request) -> tuple[str, str]:
    text = f"{request.path_params['kind']}/{request.path_params['name']}"
    key = documents.parse_key(text)
    if key.is_error():
        raise MalformedError(key.error.message)
    return key.ok


def _refused(problems: tuple[strict.Problem, ...]) -> responses.Response:
    listed = tuple(map(str, problems))
    return _reported(messages.Report(messages.Outcome.REFUSED, problems=listed))


def _reported(report: messages.Report) -> responses.Response:
    status = _STATUS.get(report.outcome, 200)
    return views.json_response(report, status)
