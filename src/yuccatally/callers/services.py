"""Calls of plain services on behalf of callers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
from typing import TYPE_CHECKING
import urllib.parse

from starlette import responses as starlette_responses

from yuccatally.callers import responses
from yuccatally.core.claims import bucket
from yuccatally.core.claims import layout
from yuccatally.core.requests import outcomes
from yuccatally.core.services import rules
from yuccatally.instance import claims
from yuccatally.instance import services as service_calls
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from starlette import requests
    from starlette import responses as http

    from yuccatally.core.objects import kinds
    from yuccatally.instance import instance as instance_module

KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255
_NOT_FORWARDED = frozenset({"authorization", "yuccatally-request"})
_NOT_RETURNED = frozenset({"date", "yuccatally-outcome"})


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """An accepted call of a service.

    Attributes:
        request: Request id.
        account: Name of the client account.
        service: The service.
        call: What to pass on.
        treatment: How the call is treated.
        http_request: The caller's request.
        deadline: Monotonic time in seconds after which it is not sent.
    """

    request: str
    account: str
    service: kinds.Object
    call: services.ServiceRequest
    treatment: rules.CallPolicy
    http_request: requests.Request
    deadline: float


async def serve(
    instance: instance_module.Instance,
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
    service = instance.config.get("service", name)
    if service is None:
        message = f"service {name!r} is not declared"
        return _refuse(instance, request, outcomes.Reason.NOT_FOUND, message)
    path = _raw_path(http_request)
    if rules.is_ambiguous(path):
        message = "the path has empty, '.' or '..' segments: send it resolved"
        return _refuse(instance, request, outcomes.Reason.MALFORMED, message)
    declared = [
        r.spec
        for r in instance.config.of_kind("routing_rule")
        if r.spec.service == name
    ]
    decoded = urllib.parse.unquote(path)
    treatment = rules.policy_for(declared, http_request.method, decoded)
    service_call = ServiceCall(
        request=request,
        account=account.name,
        service=service,
        call=_call(instance, request, http_request, path, body),
        treatment=treatment,
        http_request=http_request,
        deadline=time.monotonic() + treatment.timeout_s,
    )
    if treatment.idempotent:
        return await _serve_idempotent(instance, service_call)
    key = http_request.headers.get(KEY_HEADER, "")
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        message = (
            "this call may not be repeated: send an Idempotency-Key of 1 to "
            f"{MAX_KEY_LENGTH} characters"
        )
        return _refuse(instance, request, outcomes.Reason.KEY_MISSING, message)
    return await _serve_once(instance, service_call, key)


async def _serve_idempotent(
    instance: instance_module.Instance, service_call: ServiceCall
) -> http.Response:
    life = instance.ledger.lifecycle_of(service_call.request)
    life.begin_attempt()
    work = instance.services.execute(
        service_call.request,
        service_call.service,
        service_call.call,
        service_call.treatment.timeout_s,
        idempotent=True,
    )
    result = await _unless_gone(service_call.http_request, work)
    if result is None:
        return _gone(instance, service_call)
    return await _end(instance, service_call, result)


async def _serve_once(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    key: str,
) -> http.Response:
    call = service_call.call
    place = layout.locate(
        service_call.service.name, service_call.account, key, time.time()
    )
    if isinstance(place, layout.RejectedKey):
        reason = outcomes.Reason.KEY_EXPIRED
        return _refuse(instance, service_call.request, reason, place.message)
    digest = layout.call_digest(call.method, call.target, call.body)
    claim = claims.ClaimKey(place, service_call.request, digest)
    with instance.span(
        "claim", service_call.request, bucket=place.bucket
    ) as span:
        verdict = await instance.claims.acquire(claim)
        span.set_attribute("verdict", type(verdict).__name__)
    match verdict:
        case bucket.Won():
            return await _send_once(instance, service_call, claim)
        case bucket.Replay(claim=first):
            return await _replayed(instance, service_call, first)
        case _:
            return instance.refuse(service_call.request, _not_won(verdict))


def _not_won(verdict: bucket.Verdict) -> outcomes.Refusal:
    not_run, unknown = outcomes.Outcome.NOT_RUN, outcomes.Outcome.UNKNOWN
    match verdict:
        case bucket.GaveUp():
            message = "the platform is unavailable, so the call was not made"
            reason = outcomes.Reason.PLATFORM_UNAVAILABLE
            return outcomes.Refusal(not_run, reason, message, 2.0)
        case bucket.Full():
            message = "there is no room for another claim at present"
            reason = outcomes.Reason.OVERLOADED
            return outcomes.Refusal(not_run, reason, message, 2.0)
        case bucket.Mismatch(claim=claim):
            message = (
                "the Idempotency-Key was used for a different call, by "
                f"request {claim.request}"
            )
            return outcomes.Refusal(
                not_run, outcomes.Reason.KEY_IN_USE, message
            )
        case bucket.Held(claim=claim):
            message = (
                f"request {claim.request} with this key was started and may "
                "have run; ask again with the same key"
            )
            return outcomes.Refusal(
                unknown, outcomes.Reason.KEY_IN_USE, message, 1.0
            )
    raise AssertionError(f"unexpected verdict {verdict}")


async def _send_once(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    claim: claims.ClaimKey,
) -> http.Response:
    # An instance that was paused must not book for a caller who gave up.
    if time.monotonic() >= service_call.deadline:
        instance.claims.release(claim)
        message = "the deadline passed before the call was sent"
        reason = outcomes.Reason.DEADLINE
        return _refuse(instance, service_call.request, reason, message, 1.0)
    if await service_call.http_request.is_disconnected():
        instance.claims.release(claim)
        return _gone(instance, service_call)
    life = instance.ledger.lifecycle_of(service_call.request)
    life.begin_attempt()
    # The call goes on and is settled even if this handler is cancelled.
    work = instance.spawn(_call_and_settle(instance, service_call, claim))
    return await _end(instance, service_call, await asyncio.shield(work))


async def _call_and_settle(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    claim: claims.ClaimKey,
) -> service_calls.Result:
    left_s = service_call.deadline - time.monotonic()
    result = await instance.services.execute(
        service_call.request,
        service_call.service,
        service_call.call,
        left_s,
        idempotent=False,
    )
    match result:
        case service_calls.Answered(answer=answer):
            kept = bucket.Reply(answer.status, answer.headers, answer.body)
            instance.claims.settle(claim, kept)
        case service_calls.TooLong(status=status):
            instance.claims.settle(claim, bucket.Reply(status))
        case service_calls.NotSent():
            instance.claims.release(claim)
    return result


async def _end(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    result: service_calls.Result,
) -> http.Response:
    request, name = service_call.request, service_call.service.name
    match result:
        case service_calls.Answered(answer=answer):
            if await service_call.http_request.is_disconnected():
                return _gone(instance, service_call)
            instance.finish(request, outcomes.Outcome.ANSWERED)
            return _response(request, answer)
        case service_calls.NotSent(message=message):
            instance.ledger.lifecycle_of(request).cancel_attempt()
            text = f"service {name!r} could not be reached: {message}"
            reason = outcomes.Reason.UPSTREAM_FAILED
            return _refuse(instance, request, reason, text, 1.0)
        case service_calls.TooLong(status=status, message=message):
            text = f"the call ran with status {status}, but {message}"
            reason = outcomes.Reason.ANSWER_NOT_KEPT
        case service_calls.Uncertain(message=message):
            text = (
                f"service {name!r} was called but did not answer: {message}; "
                "the call may have run, do not send it under a new key"
            )
            reason = outcomes.Reason.UPSTREAM_FAILED
    refusal = outcomes.Refusal(outcomes.Outcome.UNKNOWN, reason, text)
    return instance.refuse(request, refusal)


async def _replayed(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    first: bucket.Claim,
) -> http.Response:
    reply = first.reply
    if reply is None or reply.body is None:
        status = reply.status if reply is not None else 0
        refusal = outcomes.Refusal(
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.ANSWER_NOT_KEPT,
            f"request {first.request} ran this call with status {status}; its "
            "answer is not kept, look the result up at the service",
        )
        return instance.refuse(service_call.request, refusal)
    answer = services.ServiceResponse(reply.status, reply.headers, reply.body)
    instance.finish(service_call.request, outcomes.Outcome.ANSWERED)
    response = _response(service_call.request, answer)
    response.headers["Idempotent-Replayed"] = "true"
    response.headers["Yuccatally-First-Request"] = first.request
    return response


async def _unless_gone(
    http_request: requests.Request, work: Awaitable[service_calls.Result]
) -> service_calls.Result | None:
    """Returns the result of a call, None once the caller has disconnected."""
    call = asyncio.ensure_future(work)
    # The body was read, so the next message is the end of the connection.
    gone = asyncio.ensure_future(http_request.receive())
    try:
        await asyncio.wait({call, gone}, return_when=asyncio.FIRST_COMPLETED)
        return await call if call.done() else None
    finally:
        for task in (call, gone):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task


def _gone(
    instance: instance_module.Instance, service_call: ServiceCall
) -> http.Response:
    life = instance.ledger.lifecycle_of(service_call.request)
    refusal = outcomes.Refusal(
        life.unfinished_outcome(),
        outcomes.Reason.CALLER_GONE,
        "the caller closed the connection",
    )
    return instance.refuse(service_call.request, refusal)


def _response(request: str, answer: services.ServiceResponse) -> http.Response:
    response = starlette_responses.Response(
        answer.body, status_code=answer.status
    )
    kept = [
        (n.lower().encode("latin-1"), v.encode("latin-1"))
        for n, v in answer.headers
        if n.lower() not in _NOT_RETURNED
    ]
    if answer.length:
        kept.append((b"content-length", answer.length.encode("latin-1")))
    elif answer.status >= 200 and answer.status not in (204, 304):
        kept.append((b"content-length", str(len(answer.body)).encode()))
    response.raw_headers = kept
    response.headers[responses.OUTCOME_HEADER] = responses.outcome_header(
        request, outcomes.Outcome.ANSWERED
    )
    return response


def _refuse(
    instance: instance_module.Instance,
    request: str,
    reason: outcomes.Reason,
    message: str,
    retry_after_s: float = 0.0,
) -> http.Response:
    refusal = outcomes.Refusal(
        outcomes.Outcome.NOT_RUN, reason, message, retry_after_s
    )
    return instance.refuse(request, refusal)


def _raw_path(http_request: requests.Request) -> str:
    """Returns the path below the service as the caller encoded it."""
    raw = http_request.scope["raw_path"].decode("latin-1").partition("?")[0]
    return "/" + raw.split("/", 3)[3]


def _call(
    instance: instance_module.Instance,
    request: str,
    http_request: requests.Request,
    path: str,
    body: bytes,
) -> services.ServiceRequest:
    headers = tuple(
        (name, value)
        for name, value in services.end_to_end_headers(http_request.headers.raw)
        if name.lower() not in _NOT_FORWARDED
    )
    query = http_request.url.query
    return services.ServiceRequest(
        http_request.method,
        f"{path}?{query}" if query else path,
        (*headers, ("Yuccatally-Request", request)),
        body,
        instance.settings.limits.response_bytes,
    )
