"""Starlette application of the interface for operators."""

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
from yuccatally.operators import fanout
from yuccatally.operators import messages
from yuccatally.operators import read_handlers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from starlette import requests

    from yuccatally.core import strict
    from yuccatally.instance import instance as instance_module

    Handler = Callable[[requests.Request], Awaitable[responses.Response]]

MAX_BODY_BYTES = 8_388_608

_log = structlog.get_logger()

_HTTP_STATUS = {
    messages.Outcome.REFUSED: 422,
    messages.Outcome.CONFLICT: 409,
    messages.Outcome.UNAVAILABLE: 503,
    messages.Outcome.UNKNOWN: 504,
}


class MalformedError(Exception):
    """A request of an operator is malformed."""


def create_application(
    instance: instance_module.Instance,
) -> applications.Starlette:
    """Returns the application for operators of one instance."""
    all_instances = fanout.Fanout(instance)
    writes = WriteHandlers(instance)
    reads = read_handlers.ReadHandlers(instance, all_instances)
    endpoints: list[tuple[str, str, Handler]] = [
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
            routing.Route(
                path, _with_access_check(instance, handler), methods=[method]
            )
            for method, path, handler in endpoints
        ]
    )


class WriteHandlers:
    """Handlers of requests that change objects or the instance."""

    def __init__(self, instance: instance_module.Instance) -> None:
        self.instance = instance
        self.changes = changes.ChangeWriter(instance.store)

    async def apply(self, request: requests.Request) -> responses.Response:
        """Serves ``POST /operator/apply``."""
        body = await _decode_body(request, messages.ApplyRequest)
        decoded = documents.decode_all(body.objects)
        if decoded.is_error():
            return _refusal_response(decoded.error)
        keys = [documents.parse_key(text) for text in body.delete]
        problems = tuple(k.error for k in keys if k.is_error())
        if problems:
            return _refusal_response(problems)
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
            body.force,
        )
        return _report_response(await self.changes.apply(change, body.dry_run))

    async def delete(self, request: requests.Request) -> responses.Response:
        """Serves ``DELETE /operator/objects/KIND/NAME``."""
        key = _object_key(request)
        force = request.query_params.get("force") == "true"
        change = core_changes.Change(deleted=(key,), force=force)
        return _report_response(await self.changes.apply(change))

    async def label(self, request: requests.Request) -> responses.Response:
        """Serves ``POST /operator/labels``."""
        body = await _decode_body(request, messages.LabelRequest)
        key = documents.parse_key(body.object)
        if key.is_error():
            return _refusal_response((key.error,))
        conflicting = sorted({*body.set} & {*body.remove})
        if conflicting or not (body.set or body.remove):
            message = f"labels are set and removed: {', '.join(conflicting)}"
            raise MalformedError(
                message if conflicting else "no labels to change"
            )
        edit = merge.LabelEdit(body.set, tuple(body.remove))
        report = await self.changes.edit_labels(
            *key.ok, edit, body.base, body.force
        )
        return _report_response(report)

    async def drain(self, request: requests.Request) -> responses.Response:
        """Serves ``POST /operator/drain``."""
        self.instance.start_drain()
        name = self.instance.settings.instance.name
        return read_handlers.json_response({"draining": True, "instance": name})


def _with_access_check(
    instance: instance_module.Instance, handler: Handler
) -> Handler:
    """Returns a handler that checks the key and turns errors into responses."""

    async def checked_handler(request: requests.Request) -> responses.Response:
        if not _is_authorized(instance, request):
            message = "send 'Authorization: Bearer KEY' with the operators' key"
            return read_handlers.error_response(401, message)
        try:
            return await handler(request)
        except (MalformedError, read_handlers.MalformedError) as error:
            return read_handlers.error_response(400, str(error))
        except read_handlers.NotFoundError as error:
            return read_handlers.error_response(404, str(error))
        except Exception:
            _log.exception("operator_request_failed", path=request.url.path)
            message = "an internal error occurred; the instance logged it"
            return read_handlers.error_response(500, message)

    return checked_handler


def _is_authorized(
    instance: instance_module.Instance, request: requests.Request
) -> bool:
    expected = instance.settings.operators.key_sha256
    if not expected:
        return True
    key = request.headers.get("authorization", "").removeprefix("Bearer ")
    digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
    return hmac.compare_digest(digest, expected)


async def _decode_body(request: requests.Request, target: type[Any]) -> Any:
    chunks = []
    size_bytes = 0
    async for chunk in request.stream():
        size_bytes += len(chunk)
        if size_bytes > MAX_BODY_BYTES:
            raise MalformedError(
                f"the body is longer than {MAX_BODY_BYTES} bytes"
            )
        chunks.append(chunk)
    try:
        return msgspec.json.decode(b"".join(chunks), type=target)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedError(str(error)) from error
    except RecursionError as error:
        raise MalformedError("the body is nested too deeply") from error


def _object_key(request: requests.Request) -> tuple[str, str]:
    text = f"{request.path_params['kind']}/{request.path_params['name']}"
    key = documents.parse_key(text)
    if key.is_error():
        raise MalformedError(key.error.message)
    return key.ok


def _refusal_response(
    problems: tuple[strict.Problem, ...],
) -> responses.Response:
    problem_texts = tuple(map(str, problems))
    return _report_response(
        messages.ChangeReport(messages.Outcome.REFUSED, problems=problem_texts)
    )


def _report_response(report: messages.ChangeReport) -> responses.Response:
    status = _HTTP_STATUS.get(report.outcome, 200)
    return read_handlers.json_response(report, status)
