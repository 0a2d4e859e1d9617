"""Forwarding of callers' calls to declared services."""

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
MAX_KEY_CHARS = 255
_NOT_FORWARDED = frozenset({"authorization", "yuccatally-request"})
_NOT_RETURNED = frozenset({"date", "yuccatally-outcome"})


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """An accepted call of a service.

    Attributes:
        request: Request id.
        account: Name of the client account.
        service: The service.
        call: Request to forward to the service.
        policy: Timeout of the call, and whether it may be repeated.
        http_request: HTTP request of the caller.
        deadline: Monotonic time in seconds after which the call is not sent.
    """

    request: str
    account: str
    service: kinds.Object
    call: services.ServiceRequest
    policy: rules.CallPolicy
    http_request: requests.Request
    deadline: float


async def serve(
    instance: instance_module.Instance,
    request: str,
    account: kinds.Object,
    http_request: requests.Request,
    body: bytes,
) -> http.Response:
    """Forwards an accepted call to its service.

    Returns:
        The response of the service or a refusal. The outcome is recorded in
        the ledger.
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
    routing_rules = [
        r.spec
        for r in instance.config.of_kind("routing_rule")
        if r.spec.service == name
    ]
    decoded_path = urllib.parse.unquote(path)
    policy = rules.policy_for(routing_rules, http_request.method, decoded_path)
    service_call = ServiceCall(
        request=request,
        account=account.name,
        service=service,
        call=_build_request(instance, request, http_request, path, body),
        policy=policy,
        http_request=http_request,
        deadline=time.monotonic() + policy.timeout_s,
    )
    if policy.idempotent:
        return await _serve_idempotent(instance, service_call)
    key = http_request.headers.get(KEY_HEADER, "")
    if not 0 < len(key) <= MAX_KEY_CHARS:
        message = (
            "this call may not be repeated: send an Idempotency-Key of 1 to "
            f"{MAX_KEY_CHARS} characters"
        )
        return _refuse(instance, request, outcomes.Reason.KEY_MISSING, message)
    return await _serve_at_most_once(instance, service_call, key)


async def _serve_idempotent(
    instance: instance_module.Instance, service_call: ServiceCall
) -> http.Response:
    lifecycle = instance.ledger.lifecycle_of(service_call.request)
    lifecycle.begin_attempt()
    work = instance.services.execute(
        service_call.request,
        service_call.service,
        service_call.call,
        service_call.policy.timeout_s,
        idempotent=True,
    )
    result = await _cancel_on_disconnect(service_call.http_request, work)
    if result is None:
        return _refuse_caller_gone(instance, service_call)
    return await _finish(instance, service_call, result)


async def _serve_at_most_once(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    key: str,
) -> http.Response:
    call = service_call.call
    location = layout.locate(
        service_call.service.name, service_call.account, key, time.time()
    )
    if isinstance(location, layout.RejectedKey):
        reason = outcomes.Reason.KEY_EXPIRED
        return _refuse(instance, service_call.request, reason, location.message)
    digest = layout.call_digest(call.method, call.target, call.body)
    claim = claims.ClaimKey(location, service_call.request, digest)
    with instance.span(
        "claim", service_call.request, bucket=location.bucket
    ) as span:
        verdict = await instance.claims.acquire(claim)
        span.set_attribute("verdict", type(verdict).__name__)
    match verdict:
        case bucket.Won():
            return await _send_claimed(instance, service_call, claim)
        case bucket.Replay(claim=original):
            return await _replay(instance, service_call, original)
        case _:
            return instance.refuse(
                service_call.request, _claim_refusal(verdict)
            )


def _claim_refusal(verdict: bucket.Verdict) -> outcomes.Refusal:
    not_run, unknown = outcomes.Outcome.NOT_RUN, outcomes.Outcome.UNKNOWN
    match verdict:
        case bucket.GaveUp():
            message = "the platform is unavailable, so the call was not made"
            reason = outcomes.Reason.PLATFORM_UNAVAILABLE
            return outcomes.Refusal(not_run, reason, message, 2.0)
        case bucket.Full():
            message = "the claim storage is full at present"
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
                "have run; repeat the call with the same key"
            )
            return outcomes.Refusal(
                unknown, outcomes.Reason.KEY_IN_USE, message, 1.0
            )
    raise AssertionError(f"unexpected verdict {verdict}")


async def _send_claimed(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    claim: claims.ClaimKey,
) -> http.Response:
    # The instance may have been paused since the request arrived. A call must
    # not be made for a caller that no longer waits for it.
    if time.monotonic() >= service_call.deadline:
        instance.claims.release(claim)
        message = "the deadline passed before the call was sent"
        reason = outcomes.Reason.DEADLINE
        return _refuse(instance, service_call.request, reason, message, 1.0)
    if await service_call.http_request.is_disconnected():
        instance.claims.release(claim)
        return _refuse_caller_gone(instance, service_call)
    lifecycle = instance.ledger.lifecycle_of(service_call.request)
    lifecycle.begin_attempt()
    # The call continues and its claim is settled even if this handler is
    # cancelled.
    work = instance.spawn(_call_and_settle(instance, service_call, claim))
    return await _finish(instance, service_call, await asyncio.shield(work))


async def _call_and_settle(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    claim: claims.ClaimKey,
) -> service_calls.Result:
    remaining_s = service_call.deadline - time.monotonic()
    result = await instance.services.execute(
        service_call.request,
        service_call.service,
        service_call.call,
        remaining_s,
        idempotent=False,
    )
    match result:
        case service_calls.Answered(answer=service_response):
            reply = bucket.Reply(
                service_response.status,
                service_response.headers,
                service_response.body,
            )
            instance.claims.settle(claim, reply)
        case service_calls.TooLong(status=status):
            instance.claims.settle(claim, bucket.Reply(status))
        case service_calls.NotSent():
            instance.claims.release(claim)
    return result


async def _finish(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    result: service_calls.Result,
) -> http.Response:
    request, name = service_call.request, service_call.service.name
    match result:
        case service_calls.Answered(answer=service_response):
            if await service_call.http_request.is_disconnected():
                return _refuse_caller_gone(instance, service_call)
            instance.finish(request, outcomes.Outcome.ANSWERED)
            return _response(request, service_response)
        case service_calls.NotSent(message=message):
            instance.ledger.lifecycle_of(request).cancel_attempt()
            explanation = f"service {name!r} could not be reached: {message}"
            reason = outcomes.Reason.UPSTREAM_FAILED
            return _refuse(instance, request, reason, explanation, 1.0)
        case service_calls.TooLong(status=status, message=message):
            explanation = f"the call ran with status {status}, but {message}"
            reason = outcomes.Reason.ANSWER_NOT_KEPT
        case service_calls.Uncertain(message=message):
            explanation = (
                f"service {name!r} was called but did not answer: {message}; "
                "the call may have run, do not send it under a new key"
            )
            reason = outcomes.Reason.UPSTREAM_FAILED
    refusal = outcomes.Refusal(outcomes.Outcome.UNKNOWN, reason, explanation)
    return instance.refuse(request, refusal)


async def _replay(
    instance: instance_module.Instance,
    service_call: ServiceCall,
    original: bucket.Claim,
) -> http.Response:
    reply = original.reply
    if reply is None or reply.body is None:
        status = reply.status if reply is not None else 0
        refusal = outcomes.Refusal(
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.ANSWER_NOT_KEPT,
            f"request {original.request} ran this call with status {status}; "
            "its answer is not stored, so look up the result at the service",
        )
        return instance.refuse(service_call.request, refusal)
    service_response = services.ServiceResponse(
        reply.status, reply.headers, reply.body
    )
    instance.finish(service_call.request, outcomes.Outcome.ANSWERED)
    response = _response(service_call.request, service_response)
    response.headers["Idempotent-Replayed"] = "true"
    response.headers["Yuccatally-First-Request"] = original.request
    return response


async def _cancel_on_disconnect(
    http_request: requests.Request, work: Awaitable[service_calls.Result]
) -> service_calls.Result | None:
    """Returns the result of a call; None if the caller disconnects first.

    The call is cancelled if the caller disconnects.
    """
    call = asyncio.ensure_future(work)
    # The body has been read, so the next message reports the disconnect.
    disconnected = asyncio.ensure_future(http_request.receive())
    try:
        await asyncio.wait(
            {call, disconnected}, return_when=asyncio.FIRST_COMPLETED
        )
        return await call if call.done() else None
    finally:
        for task in (call, disconnected):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task


def _refuse_caller_gone(
    instance: instance_module.Instance, service_call: ServiceCall
) -> http.Response:
    lifecycle = instance.ledger.lifecycle_of(service_call.request)
    refusal = outcomes.Refusal(
        lifecycle.unfinished_outcome(),
        outcomes.Reason.CALLER_GONE,
        "the caller closed the connection",
    )
    return instance.refuse(service_call.request, refusal)


def _response(
    request: str, service_response: services.ServiceResponse
) -> http.Response:
    response = starlette_responses.Response(
        service_response.body, status_code=service_response.status
    )
    headers = [
        (n.lower().encode("latin-1"), v.encode("latin-1"))
        for n, v in service_response.headers
        if n.lower() not in _NOT_RETURNED
    ]
    if service_response.length:
        headers.append(
            (b"content-length", service_response.length.encode("latin-1"))
        )
    elif service_response.status >= 200 and service_response.status not in (
        204,
        304,
    ):
        headers.append(
            (b"content-length", str(len(service_response.body)).encode())
        )
    response.raw_headers = headers
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
    """Returns the path below the service, encoded as received."""
    raw = http_request.scope["raw_path"].decode("latin-1").partition("?")[0]
    return "/" + raw.split("/", 3)[3]


def _build_request(
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
