"""Model completions, as one response or as server-sent events."""

from __future__ import annotations

import contextlib
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from yuccatally.callers import messages
from yuccatally.callers import responses
from yuccatally.callers import streams
from yuccatally.callers import urgency
from yuccatally.core.generation import actions
from yuccatally.core.requests import outcomes
from yuccatally.core.requests import text

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import AsyncIterator

    from starlette import responses as http
    from starlette import types

    from yuccatally.core.objects import kinds
    from yuccatally.instance import instance as instance_module

DEFAULT_MAX_TOKENS = 64
MAX_TOKEN_ID = 2**31 - 1  # frames to engines hold no larger numbers

MalformedError = responses.MalformedError


@dataclasses.dataclass(frozen=True)
class GenerationParameters:
    """Parameters that both completion endpoints have in common.

    Attributes:
        model: Name of the model.
        prompt: Token ids.
        max_tokens: Maximum number of tokens to generate.
        stream: Whether to respond with server-sent events.
        include_usage: Whether to add an event with token counts.
        chat: Whether to respond with a chat message.
    """

    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    stream: bool
    include_usage: bool
    chat: bool


def parse_completion(body: bytes) -> GenerationParameters:
    """Parses the body of ``POST /v1/completions``.

    Raises:
        responses.MalformedError: The body is not a request that can be served.
    """
    raw = _decode(body, messages.CompletionRequest)
    _reject_unsupported(raw.n, raw.stop)
    if raw.best_of not in (None, 1) or raw.echo:
        raise responses.MalformedError(
            "best_of above 1 and echo are not supported"
        )
    match raw.prompt:
        case str() as prompt:
            tokens = text.encode(prompt)
        case [str() as prompt]:
            tokens = text.encode(prompt)
        case list() as ids if ids and all(isinstance(i, int) for i in ids):
            tokens = tuple(int(i) for i in ids)
        case _:
            raise responses.MalformedError(
                "prompt: expected one string or a list of token ids"
            )
    return _build_parameters(raw, tokens, raw.max_tokens, chat=False)


def parse_chat(body: bytes) -> GenerationParameters:
    """Parses the body of ``POST /v1/chat/completions``.

    Raises:
        responses.MalformedError: The body is not a request that can be served.
    """
    raw = _decode(body, messages.ChatRequest)
    _reject_unsupported(raw.n, raw.stop)
    prompt = chat_prompt([(m.role, _message_text(m)) for m in raw.messages])
    limit = raw.max_completion_tokens or raw.max_tokens
    return _build_parameters(raw, text.encode(prompt), limit, chat=True)


def chat_prompt(turns: list[tuple[str, str]]) -> str:
    r"""Returns the prompt for a conversation.

    Args:
        turns: Role and text of each message.

    >>> chat_prompt([("user", "Hello")])
    'user: Hello\nassistant: '
    """
    lines = [f"{role}: {content}\n" for role, content in turns]
    return "".join(lines) + "assistant: "


async def serve(
    instance: instance_module.Instance,
    request: str,
    account: kinds.Object,
    parameters: GenerationParameters,
    preferences: urgency.Preferences,
    receive: types.Receive,
) -> http.Response:
    """Generates the completion for an accepted request.

    Args:
        instance: The instance.
        request: Request id.
        account: Client account of the caller.
        parameters: Parameters of the generation.
        preferences: Urgency class and deadline that the request specifies.
        receive: ASGI channel that reports when the caller disconnects.

    Returns:
        The complete response, an event stream or a refusal. The outcome is
        recorded in the ledger in each case.
    """
    model = instance.config.get("model", parameters.model)
    if model is None:
        refusal = outcomes.Refusal(
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.NOT_FOUND,
            f"model {parameters.model!r} is not declared",
        )
        return instance.refuse(request, refusal)
    if (
        len(parameters.prompt) + parameters.max_tokens
        > model.spec.context_tokens
    ):
        refusal = outcomes.Refusal(
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.MALFORMED,
            f"prompt and max_tokens exceed {model.spec.context_tokens} tokens",
        )
        return instance.refuse(request, refusal)
    job = _build_job(instance, request, account, parameters, model, preferences)
    try:
        refusal = await streams.cancel_on_disconnect(
            receive, instance.admissions.wait_for_admission(job, account)
        )
    except streams.CallerGoneError:
        refusal = dataclasses.replace(
            _caller_gone(), outcome=outcomes.Outcome.NOT_RUN
        )
    if refusal is not None:
        return instance.refuse(request, refusal)
    emitted = instance.generations.generate(job)
    if parameters.stream:
        stream = streams.EventStream(instance, request)
        stream.events = _stream_events(
            instance, parameters, job, emitted, stream
        )
        return stream
    try:
        return await streams.cancel_on_disconnect(
            receive, _collect_response(instance, parameters, job, emitted)
        )
    except streams.CallerGoneError:
        return instance.refuse(request, _caller_gone())


async def _collect_response(
    instance: instance_module.Instance,
    parameters: GenerationParameters,
    job: actions.Job,
    emitted: AsyncGenerator[Any],
) -> http.Response:
    decoder = text.Decoder()
    texts: list[str] = []
    async with contextlib.aclosing(emitted):
        async for action in emitted:
            match action:
                case actions.EmitToken(token=token):
                    texts.append(decoder.push(token))
                case actions.Failed(refusal=refusal):
                    return instance.refuse(job.request, refusal)
                case actions.Finished() as finished:
                    texts.append(decoder.finish())
                    body = _completion_body(
                        parameters, job, "".join(texts), finished
                    )
                    return instance.answer(job.request, body)
    raise AssertionError("a generation ended without an outcome")


async def _stream_events(
    instance: instance_module.Instance,
    parameters: GenerationParameters,
    job: actions.Job,
    emitted: AsyncGenerator[Any],
    stream: streams.EventStream,
) -> AsyncIterator[bytes]:
    decoder = text.Decoder()
    started = time.monotonic()
    stream.outcome = outcomes.Outcome.UNKNOWN
    async with contextlib.aclosing(emitted):
        async for action in emitted:
            match action:
                case actions.EmitToken(token=token):
                    is_first = not stream.tokens
                    if is_first:
                        elapsed_s = time.monotonic() - started
                        instance.metrics.observe("first_token", elapsed_s)
                    stream.tokens += 1
                    yield responses.sse_event(
                        _stream_chunk(
                            parameters, job, decoder.push(token), None, is_first
                        )
                    )
                case actions.Failed(refusal=refusal):
                    stream.outcome = refusal.outcome
                    instance.metrics.count("refusals", str(refusal.reason))
                    yield streams.error_event(
                        job.request, refusal, stream.tokens
                    )
                case actions.Finished() as finished:
                    stream.outcome = outcomes.Outcome.ANSWERED
                    for event in _final_events(parameters, job, finished):
                        yield event


def _caller_gone() -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Outcome.UNKNOWN,
        outcomes.Reason.CALLER_GONE,
        "the caller closed the connection",
    )


def _final_events(
    parameters: GenerationParameters,
    job: actions.Job,
    finished: actions.Finished,
) -> list[bytes]:
    final = _stream_chunk(
        parameters, job, "", _finish_reason(finished), is_first=False
    )
    final["yuccatally"] = messages.StreamOutcome(
        job.request, str(outcomes.Outcome.ANSWERED), finished.tokens
    )
    events = [responses.sse_event(final)]
    if parameters.include_usage:
        usage = _stream_chunk(parameters, job, "", None, is_first=False)
        usage["choices"] = []
        usage["usage"] = _usage(job, finished)
        events.append(responses.sse_event(usage))
    return [*events, b"data: [DONE]\n\n"]


def _stream_chunk(
    parameters: GenerationParameters,
    job: actions.Job,
    content: str,
    finish_reason: str | None,
    is_first: bool,
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if parameters.chat:
        delta = {"content": content} if content else {}
        choice["delta"] = {"role": "assistant", **delta} if is_first else delta
    else:
        choice["text"] = content
    kind = "chat.completion.chunk" if parameters.chat else "text_completion"
    return {**_common_fields(job, kind), "choices": [choice]}


def _completion_body(
    parameters: GenerationParameters,
    job: actions.Job,
    content: str,
    finished: actions.Finished,
) -> dict[str, Any]:
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": _finish_reason(finished),
    }
    if parameters.chat:
        choice["message"] = {"role": "assistant", "content": content}
    else:
        choice["text"] = content
    kind = "chat.completion" if parameters.chat else "text_completion"
    return {
        **_common_fields(job, kind),
        "choices": [choice],
        "usage": _usage(job, finished),
    }


def _common_fields(job: actions.Job, kind: str) -> dict[str, Any]:
    return {
        "id": job.request,
        "object": kind,
        "created": int(time.time()),
        "model": job.model,
    }


def _usage(job: actions.Job, finished: actions.Finished) -> messages.Usage:
    prompt, completion = len(job.prompt), finished.tokens
    return messages.Usage(prompt, completion, prompt + completion)


def _finish_reason(finished: actions.Finished) -> str:
    return "stop" if finished.stopped else "length"


def _build_job(
    instance: instance_module.Instance,
    request: str,
    account: kinds.Object,
    parameters: GenerationParameters,
    model: kinds.Object,
    preferences: urgency.Preferences,
) -> actions.Job:
    return actions.Job(
        request=request,
        model=parameters.model,
        version=model.spec.version,
        prompt=parameters.prompt,
        max_tokens=parameters.max_tokens,
        end_token=model.spec.end_token,
        priority=preferences.priority(account),
        deadline=time.monotonic()
        + preferences.timeout_s(instance.settings.limits.request_timeout_s),
        account=account.name,
    )


def _build_parameters(
    raw: messages.CompletionRequest | messages.ChatRequest,
    prompt: tuple[int, ...],
    max_tokens: int | None,
    chat: bool,
) -> GenerationParameters:
    if not prompt:
        raise responses.MalformedError("the prompt is empty")
    limit = DEFAULT_MAX_TOKENS if max_tokens is None else max_tokens
    if not 1 <= limit <= MAX_TOKEN_ID:
        raise responses.MalformedError(
            f"max_tokens: must be from 1 to {MAX_TOKEN_ID}"
        )
    if not all(0 <= token <= MAX_TOKEN_ID for token in prompt):
        message = f"prompt: token ids must be from 0 to {MAX_TOKEN_ID}"
        raise responses.MalformedError(message)
    options = raw.stream_options or messages.StreamOptions()
    return GenerationParameters(
        raw.model, prompt, limit, raw.stream, options.include_usage, chat
    )


def _decode(body: bytes, target: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=target)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise responses.MalformedError(str(error)) from error
    except RecursionError as error:
        raise responses.MalformedError(
            "the body is nested too deeply"
        ) from error


def _reject_unsupported(n: int | None, stop: Any) -> None:
    if n not in (None, 1):
        raise responses.MalformedError("n: only 1 is supported")
    if stop:
        raise responses.MalformedError("stop: is not supported")


def _message_text(message: messages.ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    texts = [p.get("text") for p in message.content if p.get("type") == "text"]
    if len(texts) != len(message.content) or not all(
        isinstance(p, str) for p in texts
    ):
        raise responses.MalformedError(
            "messages: only parts of type text are supported"
        )
    return "".join(str(p) for p in texts)
