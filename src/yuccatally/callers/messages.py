"""Request and response bodies of the completion endpoints."""

from __future__ import annotations

from typing import Any

import msgspec


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed response."""

    include_usage: bool = False


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: str
    content: str | list[dict[str, Any]]


class CompletionRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/completions``; unknown keys are ignored.

    Clients also send sampling options. Engines of the same model treat these
    alike, so only options that change the format of the response are decoded.
    """

    model: str
    prompt: str | list[int | str]
    max_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: int | None = None
    best_of: int | None = None
    echo: bool | None = None
    stop: str | list[str] | None = None


class ChatRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/chat/completions``; unknown keys are ignored."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: int | None = None
    stop: str | list[str] | None = None


class Usage(msgspec.Struct, frozen=True):
    """Token counts of one request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class StreamOutcome(msgspec.Struct, frozen=True):
    """Outcome of a request in the final event of a stream."""

    request: str
    outcome: str
    tokens: int
