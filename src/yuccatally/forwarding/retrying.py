"""Attempts and retries of one request."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import TYPE_CHECKING

from yuccatally.core.admission import arrivals
from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import marks
from yuccatally.core.forwarding import quarantine
from yuccatally.core.forwarding import rate_limits
from yuccatally.core.forwarding import runs
from yuccatally.core.forwarding import suspicions
from yuccatally.core.forwarding import trials
from yuccatally.forwarding import room_sharing
from yuccatally.forwarding import upstream_responses

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import contextlib

    from opentelemetry import trace

    from yuccatally.forwarding import open_runs
    from yuccatally.forwarding import rate_limiting
    from yuccatally.forwarding import request_context
    from yuccatally.forwarding import state

    Choice = dispatch.Path | dispatch.Full | dispatch.Nothing | arrivals.Refused
    Choose = Callable[[frozenset[str]], Awaitable[Choice]]
    # Delivers the response and returns None, or returns the failure. Without a
    # path it waits for the open runs.
    Attempt = Callable[
        [dispatch.Path | None], Awaitable[open_runs.FailedRun | None]
    ]
    OnFailure = Callable[
        [dispatch.Path, upstream_responses.FailedAttempt], None
    ]


# Short compared with the time in which the fate of an engine becomes known.
FATE_POLL_S = 0.02


async def forward(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
    writer: request_context.ResponseWriter,
    progress: attempts.AttemptCounter,
    reader: open_runs.RunReader,
    choose: Choose,
    attempt: Attempt,
    on_failure: OnFailure,
    rate_limiter: rate_limiting.RateLimiter,
) -> None:
    """Sends a request until it is answered or must not be sent again.

    A silent run stays open meanwhile. If nothing else can be tried, the request
    waits for it.

    Args:
        instance_state: Shared state.
        context: The request.
        writer: Sends the response to the client.
        progress: Counter of its attempts, which this function updates.
        reader: Reads the open runs of the request.
        choose: Chooses a path, given the names of the paths that were tried.
        attempt: Sends the request over a path.
        on_failure: Called when an attempt has failed.
        rate_limiter: Reserves turns at upstreams that limit their rate.
    """
    budget = instance_state.retry_budget(context.service.name)
    budget.record_request(time.monotonic())
    tried: frozenset[str] = frozenset()
    error_response: upstream_responses.CompleteResponse | None = None
    step: attempts.NextAction = attempts.SendAgain()
    reason = ""
    while True:
        path = None
        if isinstance(step, attempts.SendAgain):
            if not reader.open.any_open and await _ended_by_quarantine(
                instance_state, context, writer, progress
            ):
                return
            with instance_state.spans.record(
                "choose", context.request.id
            ) as span:
                found = await reader.first_of(
                    _choose_with_turn(
                        instance_state, context, choose, rate_limiter, tried
                    )
                )
                span.set_attribute("ended", type(found).__name__.lower())
            if isinstance(found, dispatch.Path):
                path = found
            elif found is not None:
                step, reason = _step_without_path(
                    instance_state, context, progress, found
                )
        if path is None and not reader.open.any_open:
            await _end(writer, step, reason, error_response)
            return
        # The choice may have waited for capacity.
        if reader.open.any_open:
            if _is_quarantined(instance_state, context):
                path = None
        elif await _ended_by_quarantine(
            instance_state, context, writer, progress
        ):
            return
        if path is not None:
            instance_state.log_leaving_hops(context.request.id, path)
            tried |= {path.name}
            writer.attempt_count += 1
            writer.last_upstream = path.name
            progress.record_start()
        with _record_attempt(instance_state, context, writer, path) as span:
            failed = await attempt(path)
            span.set_attribute("events", writer.event_count)
            span.set_attribute("ended", _ended(failed))
        if failed is None:
            return
        failure = failed.result.failure
        progress.record_failure(failure)
        on_failure(failed.path, failed.result)
        is_sound = writer.event_count >= runs.SOUND_EVENT_COUNT
        may_repeat = is_sound or await reader.first_of(
            _may_repeat(
                instance_state, context, failed.path, failure, writer.started
            )
        )
        if may_repeat and not reader.open.any_active:
            step = attempts.next_action(
                failure,
                progress,
                context.route,
                context.remaining_s(),
                lambda: budget.try_spend(
                    time.monotonic(), instance_state.instance_count
                ),
            )
        else:
            step = attempts.final_action(failure, progress)
        reason = upstream_responses.failure_reason(failure)
        upstream_responses.log_failure(
            context,
            failed.path,
            failure,
            step,
            failed.event_count,
            reader.open.any_open,
        )
        error_response = failed.result.response or error_response
        if isinstance(failure, attempts.ErrorResponse):
            # The engine has run the request and goes on.
            instance_state.quarantine.record_served(
                context.marks, time.monotonic()
            )


def _record_attempt(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
    writer: request_context.ResponseWriter,
    path: dispatch.Path | None,
) -> contextlib.AbstractContextManager[trace.Span]:
    """Records the span of an attempt, or of the wait for open runs."""
    if path is None:
        return instance_state.spans.record("wait", context.request.id)
    return instance_state.spans.record(
        "attempt",
        context.request.id,
        number=writer.attempt_count,
        path=path.name,
        upstreams=",".join(h.name for h in path.hops),
    )


async def _choose_with_turn(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
    choose: Choose,
    rate_limiter: rate_limiting.RateLimiter,
    tried: frozenset[str],
) -> Choice | dispatch.Limited:
    """Chooses a path and waits for the turn at engines that limit their rate.

    The time of the turn is known in advance. A request that it comes too late
    for is refused at once.
    """
    denial_count = 0
    while True:
        path = await choose(tried)
        if not isinstance(path, dispatch.Path):
            return path
        # Where load is shared, the queue holds room on the path already.
        if not await rate_limiter.rooms.reserve(
            path, memory_tokens(context), instance_state.settings.shares_load
        ):
            denial_count += 1
            if denial_count >= room_sharing.MAX_DENIAL_COUNT:
                return dispatch.Full()
            continue
        if not instance_state.limits.limited(path.hops):
            return path
        known_wait_s = instance_state.limits.wait_s(path.hops, time.monotonic())
        max_wait_s = rate_limits.max_turn_wait_s(context.remaining_s())
        if known_wait_s > max_wait_s:
            return dispatch.Limited(known_wait_s)
        # Other paths are tried before a request waits.
        turn = await rate_limiter.reserve(
            path.hops, max_wait_s if known_wait_s > 0 else 0.0
        )
        match turn:
            case rate_limits.Granted(wait_s=wait_s):
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                if _is_usable(instance_state, path):
                    return path
            case rate_limits.Denied():
                pass  # the choice now takes its wait into account


def _is_usable(
    instance_state: state.InstanceState, path: dispatch.Path
) -> bool:
    """Returns whether all engines of a path still accept requests."""
    return all(
        instance_state.registry.usable(h.name, h.born_ms) for h in path.hops
    )


async def _end(
    writer: request_context.ResponseWriter,
    step: attempts.NextAction,
    reason: str,
    error_response: upstream_responses.CompleteResponse | None,
) -> None:
    """Ends a request, with the error response of an upstream if it has one."""
    if error_response is None or writer.started:
        await upstream_responses.end_request(writer, step, reason)
        return
    await writer.send_response(
        error_response.status, error_response.headers, error_response.body
    )


def _ended(failed: open_runs.FailedRun | None) -> str:
    return (
        "whole"
        if failed is None
        else upstream_responses.failure_reason(failed.result.failure)
    )


async def _may_repeat(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
    path: dispatch.Path,
    failure: attempts.Failure,
    has_begun: bool,
) -> bool:
    """Returns whether an attempt that has hardly begun may be repeated.

    A request whose connection broke may have crashed its engine. It waits until
    the engine or the request proves to be sound, unless its client has events,
    which then goes on at once.
    """
    # A sound engine may be silent for a second, and a path also stalls when a
    # later engine fails.
    if not isinstance(failure, attempts.NoResponse) or failure.timed_out:
        return True
    engine = suspicions.Incarnation(path.hops[0].name, path.hops[0].born_ms)
    if instance_state.registry.is_leaving(engine.name, engine.born_ms):
        return True  # it ends as planned
    quarantined = instance_state.quarantine
    quarantined.record_loss(engine, context.marks, time.monotonic())
    if has_begun or not context.route.repeat.may_run_again:
        return True
    while context.remaining_s() > attempts.MIN_ATTEMPT_S:
        verdict = quarantined.judge_repeat(
            engine, context.marks, time.monotonic()
        )
        if verdict is not quarantine.Verdict.WAIT:
            return verdict is quarantine.Verdict.REPEAT
        await asyncio.sleep(FATE_POLL_S)
    return False


def _is_quarantined(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
) -> bool:
    mark = instance_state.quarantine.find_quarantined(
        context.marks, time.monotonic()
    )
    return mark is not None


async def _ended_by_quarantine(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
    writer: request_context.ResponseWriter,
    progress: attempts.AttemptCounter,
) -> bool:
    """Returns whether a request was ended, as a mark is in quarantine."""
    now = time.monotonic()
    quarantined = instance_state.quarantine
    mark = quarantined.find_quarantined(context.marks, now)
    if mark is None:
        return False
    left_s = round(quarantined.remaining_s(mark, now), 1)
    step = attempts.refuse_or_give_up(progress, left_s)
    await upstream_responses.end_request(writer, step, quarantine_reason(mark))
    return True


def quarantine_reason(mark: str) -> str:
    """Returns the reason of refusals while a mark is in quarantine."""
    is_request = marks.is_fingerprint(mark)
    return "request-quarantined" if is_request else "prompt-quarantined"


def choose(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
    tried: frozenset[str],
) -> Choice:
    """Returns the path for the next attempt of a request.

    An upstream of a plain service is a path with a single hop.
    """
    now = time.monotonic()
    limits = instance_state.limits
    dispatcher = instance_state.dispatcher
    suspect = instance_state.quarantine.find_suspect(context.marks, now)
    if context.service.model is not None:
        paths = trials.candidates(
            suspect, instance_state.paths(context.service), tried
        )
        waits_s = {p.name: limits.wait_s(p.hops, now) for p in paths}
        find = functools.partial(
            dispatcher.choose_path, paths, memory_tokens(context)
        )
    else:
        usable = trials.candidates(
            suspect,
            instance_state.usable_upstreams(context.service.name),
            tried,
        )
        waits_s = {u.name: limits.wait_s((u,), now) for u in usable}
        find = functools.partial(dispatcher.choose_upstream, usable)
    return rate_limits.choose_by_turn(
        waits_s, tried, lambda excluded: find(excluded, now)
    )


def memory_tokens(context: request_context.RequestContext) -> float:
    """Returns the tokens that a request is expected to keep in memory."""
    model = context.service.model
    if model is None:
        return 0.0
    return context.request.memory_tokens(model.answer_tokens)


def _step_without_path(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
    progress: attempts.AttemptCounter,
    choice: dispatch.Full
    | dispatch.Nothing
    | dispatch.Limited
    | arrivals.Refused,
) -> tuple[attempts.NextAction, str]:
    """Returns the action that ends a request without a path, and its reason."""
    match choice:
        case arrivals.Refused(reason=reason, retry_after_s=after_s):
            return attempts.refuse_or_give_up(progress, after_s), reason
        case dispatch.Full():
            reason, pause_s = "full", 0.0
        case dispatch.Limited(wait_s=wait_s):
            reason, pause_s = "rate-limited", wait_s
        case dispatch.Nothing():
            reason = "no-path"
            pause_end = instance_state.registry.pause_end(context.service.name)
            pause_s = 0.0 if pause_end is None else pause_end - time.monotonic()
    after_s = attempts.retry_delay_s(
        isinstance(choice, dispatch.Full),
        context.remaining_s(),
        instance_state.rng.random(),
        pause_s,
    )
    return attempts.refuse_or_give_up(progress, after_s), reason
