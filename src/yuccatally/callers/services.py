"""Calls of plain services on behalf of callers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from starlette import responses as starlette_responses

from yuccatally.callers import responses
from yuccatally.core.claims import book
from yuccatally.core.requests import outcomes
from yuccatally.instance import claims
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from starlette import requests
    from starlette import responses as http

    from yuccatally.core.objects import kinds
    from yuccatally.core.objects import specs
    from yuccatally.instance import instance

KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255
IDEMPOTENT_ATTEMPTS = 3
DEFAULT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Target:
    """Where a call goes and how it is treated."""

    service: kinds.Object
    idempotent: bool
    timeout_s: float


def target_of(
    node: instance.Instance, name: str, method: str, path: str
) -> Target | None:
    """Returns the service and the routing rule with the longest prefix.

    A call that no rule covers is not assumed to be idempotent.
    """
    service = node.config.get("service", name)
    if service is None:
        return None
    rules: list[specs.RoutingRuleSpec] = [
        rule.spec
        for rule in node.config.of_kind("routing_rule")
        if rule.spec.service == name
        and method in rule.spec.methods
        and path.startswith(rule.spec.path_prefix)
    ]
    if not rules:
        return Target(service, False, DEFAULT_TIMEOUT_S)
    best = max(rules, key=lambda r: len(r.path_prefix))
    return Target(service, best.idempotent, best.timeout_s)


async def serve(
    node: instance.Instance,
    request: str,
    account: kinds.Object,
    http_request: requests.Request,
    body: bytes,
) -> http.Response:
    """Passes an accepted call on to its service.

    Returns:
        The service's answer or a refusal; the ledger is settled.
    """
    name = http_request.path_params["name"]
    path = "/" + http_request.path_params["path"]
    target = target_of(node, name, http_request.method, path)
    if target is None:
        message = f"service {name!r} is not declared"
        return _refuse(node, request, outcomes.Reason.NOT_FOUND, message)
    call = _call(request, http_request, path, body, target.timeout_s)
    if target.idempotent:
        return await _serve_idempotent(node, request, target, call)
    key = http_request.headers.get(KEY_HEADER, "")
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        message = (
            "this call may not be repeated: send an Idempotency-Key of 1 to "
            f"{MAX_KEY_LENGTH} characters"
        )
        return _refuse(node, request, outcomes.Reason.KEY_MISSING, message)
    scoped = f"{account.name}:{key}"
    return await _serve_once(node, request, target, call, scoped)


async def _serve_idempotent(
    node: instance.Instance, request: str, target: Target, call: services.Call
) -> http.Response:
    sent = False
    for attempt in range(IDEMPOTENT_ATTEMPTS):
        address = node.service_address(target.service, attempt)
        try:
            with node.span("call", request, service=target.service.name):
                answer = await services.call(node.session, address, call)
            return _answered(node, request, answer)
        except services.NotSentError:
            continue
        except services.UncertainError:
            sent = True
    refusal = outcomes.Refusal(
        outcomes.Outcome.UNKNOWN if sent else outcomes.Outcome.NOT_RUN,
        outcomes.Reason.UPSTREAM_FAILED,
        f"service {target.service.name!r} did not answer",
        retry_after_s=1.0,
    )
    return node.refuse(request, refusal)


async def _serve_once(
    node: instance.Instance,
    request: str,
    target: Target,
    call: services.Call,
    key: str,
) -> http.Response:
    service = target.service.name
    digest = book.digest_of(call.method, call.path, call.body)
    try:
        with node.span("claim", request, service=service):
            verdict = await node.claims.apply(
                service, book.Take(key, request, digest)
            )
    except claims.ClaimError:
        node.settle_later(service, book.Release(key, request))
        message = "the platform is unavailable, so the call was not made"
        reason = outcomes.Reason.PLATFORM_UNAVAILABLE
        return _refuse(node, request, reason, message, retry_after_s=2.0)
    match verdict:
        case book.Won():
            return await _send_once(node, request, target, call, key)
        case book.Replay(claim=claim):
            return _replayed(node, request, claim)
        case book.Mismatch():
            message = "the Idempotency-Key was used for a different call"
            return _refuse(node, request, outcomes.Reason.KEY_IN_USE, message)
        case _:
            message = "a call with this key was started and may have run"
            refusal = outcomes.Refusal(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.KEY_IN_USE,
                message,
                retry_after_s=1.0,
            )
            return node.refuse(request, refusal)


async def _send_once(
    node: instance.Instance,
    request: str,
    target: Target,
    call: services.Call,
    key: str,
) -> http.Response:
    service = target.service.name
    address = node.service_address(target.service, 0)
    try:
        with node.span("call", request, service=service):
            answer = await services.call(node.session, address, call)
    except services.NotSentError:
        node.settle_later(service, book.Release(key, request))
        message = f"service {service!r} could not be reached"
        reason = outcomes.Reason.UPSTREAM_FAILED
        return _refuse(node, request, reason, message, retry_after_s=1.0)
    except services.UncertainError:
        refusal = outcomes.Refusal(
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.UPSTREAM_FAILED,
            f"service {service!r} was called but no answer came; the call may "
            "have run, do not send it again under a new key",
        )
        return node.refuse(request, refusal)
    node.settle_later(
        service,
        book.Settle(
            key, request, answer.status, answer.content_type, answer.body
        ),
    )
    return _answered(node, request, answer)


def _answered(
    node: instance.Instance, request: str, answer: services.Answer
) -> http.Response:
    node.finish(request, outcomes.Outcome.ANSWERED)
    return _response(request, answer)


def _replayed(
    node: instance.Instance, request: str, claim: book.Claim
) -> http.Response:
    node.finish(request, outcomes.Outcome.ANSWERED)
    body = claim.body if claim.body is not None else b""
    answer = services.Answer(claim.status, claim.content_type, body)
    response = _response(request, answer)
    response.headers["Idempotent-Replayed"] = "true"
    response.headers["Yuccatally-First-Request"] = claim.request
    return response


def _response(request: str, answer: services.Answer) -> http.Response:
    headers = {
        responses.OUTCOME_HEADER: responses.outcome_header(
            request, outcomes.Outcome.ANSWERED
        )
    }
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    return starlette_responses.Response(
        answer.body, status_code=answer.status, headers=headers
    )


def _refuse(
    node: instance.Instance,
    request: str,
    reason: outcomes.Reason,
    message: str,
    retry_after_s: float = 0.0,
) -> http.Response:
    refusal = outcomes.Refusal(
        outcomes.Outcome.NOT_RUN, reason, message, retry_after_s
    )
    return node.refuse(request, refusal)


def _call(
    request: str,
    http_request: requests.Request,
    path: str,
    body: bytes,
    timeout_s: float,
) -> services.Call:
    excluded = services.HOP_BY_HOP | {"authorization"}
    headers = {
        name: value
        for name, value in http_request.headers.items()
        if name.lower() not in excluded
    }
    headers["Yuccatally-Request"] = request
    query = http_request.url.query
    target = f"{path}?{query}" if query else path
    return services.Call(http_request.method, target, headers, body, timeout_s)
