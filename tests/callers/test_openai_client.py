"""Requests of the unmodified openai package to every instance."""

from __future__ import annotations

import openai
import pytest

from yuccatally_standins import reference
from yuccatally_standins import site

PROMPT = "List the lots of the dryer yard."
LIMIT = 24


@pytest.fixture(params=[0, 1, 2])
def client(
    shared_site: site.Site, request: pytest.FixtureRequest
) -> openai.OpenAI:
    """A client of one of the instances."""
    process = shared_site.of_role("instance")[request.param]
    return openai.OpenAI(
        base_url=f"{process.url}/v1", api_key=site.ACCOUNT_KEY, max_retries=0
    )


def expected(prompt: str) -> str:
    return reference.expected_text(
        site.MODEL, site.VERSION, site.LAYER_COUNT, prompt, LIMIT
    )


def test_whole_completion_is_right(client: openai.OpenAI) -> None:
    """Guards against a layer that is skipped, repeated or out of order."""
    completion = client.completions.create(
        model=site.MODEL, prompt=PROMPT, max_tokens=LIMIT
    )
    assert completion.choices[0].text == expected(PROMPT)
    assert completion.usage is not None
    assert completion.usage.completion_tokens == len(completion.choices[0].text)


def test_streamed_completion_is_right(client: openai.OpenAI) -> None:
    """Guards against lost, repeated or reordered tokens of a stream."""
    stream = client.completions.create(
        model=site.MODEL, prompt=PROMPT, max_tokens=LIMIT, stream=True
    )
    parts = [event.choices[0].text for event in stream]
    assert "".join(parts) == expected(PROMPT)
    assert len(parts) > LIMIT // 2


def test_chat_is_right(client: openai.OpenAI) -> None:
    """Guards against chat responses that differ if they are streamed."""
    prompt = f"user: {PROMPT}\nassistant: "
    messages = [{"role": "user", "content": PROMPT}]
    complete = client.chat.completions.create(
        model=site.MODEL, messages=messages, max_tokens=LIMIT
    )
    stream = client.chat.completions.create(
        model=site.MODEL,
        messages=messages,
        max_tokens=LIMIT,
        stream=True,
        stream_options={"include_usage": True},
    )
    events = list(stream)
    streamed = "".join(
        e.choices[0].delta.content or "" for e in events if e.choices
    )
    assert complete.choices[0].message.content == expected(prompt)
    assert streamed == expected(prompt)
    assert events[-1].usage.completion_tokens == len(streamed)


def test_errors_have_the_expected_shape(client: openai.OpenAI) -> None:
    """Guards against errors that the client package cannot classify."""
    with pytest.raises(openai.NotFoundError) as missing:
        client.completions.create(model="no-such-model", prompt="x")
    assert missing.value.code == "not-found"
    header = missing.value.response.headers["yuccatally-outcome"]
    assert header.startswith("not-run; request=")
    with pytest.raises(openai.AuthenticationError):
        client.with_options(api_key="wrong").models.list()
    with pytest.raises(openai.BadRequestError):
        client.completions.create(model=site.MODEL, prompt="x", n=2)
