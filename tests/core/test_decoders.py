"""Decoders raise no error other than their declared one for any input."""

from __future__ import annotations

import asyncio
import contextlib
import copy
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import msgspec
import pytest

from yuccatally.callers import completions
from yuccatally.core import selectors
from yuccatally.core import strict
from yuccatally.core.claims import bucket
from yuccatally.core.objects import documents
from yuccatally.core.objects import kinds
from yuccatally.peers import transport
from yuccatally.settings import settings
from yuccatally.upstreams import engines

DEPTH = 100_000
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
MALFORMED_JSON = (
    b"",
    b"\xff",
    b"[" * DEPTH,
    b'{"a":' * DEPTH,
    b'{"model":"m","messages":[{"role":"u","content":[{"a":'
    + b"[" * DEPTH
    + b"]" * DEPTH
    + b"}]}]}",
    b'{"model":"m","prompt":"\\ud800"}',
    b'{"model":"m","prompt":[1' + b"0" * 50 + b"]}",
    b'{"model":"m","prompt":[-1]}',
    b'{"model":"m","prompt":"x","max_tokens":1' + b"0" * 30 + b"}",
)
MALFORMED_MSGPACK = (
    b"",
    b"\xc1",
    b"\x91" * DEPTH,
    b"\xdd\xff\xff\xff\xff",
    b"\x92\xa1\xff\x90",
    msgspec.msgpack.encode(["probe", b"x"])[:-3],
)
VALID_SPECS = {
    "engine": {"address": "127.0.0.1:1", "data_centre": "north"},
    "service": {"addresses": ["127.0.0.1:1"], "data_centre": "north"},
    "model": {"layers": 4, "version": "v1"},
    "pipeline": {
        "model": "m",
        "version": "v1",
        "stages": [{"first_layer": 0, "last_layer": 4, "selector": "a=b"}],
    },
    "placement": {"model": "m", "version": "v1", "selector": "a=b"},
    "routing_rule": {"service": "s", "methods": ["GET"]},
    "client_account": {"key_sha256": "0" * 64, "weight": 2},
}
VALID_SETTINGS = {
    "instance": {"name": "i1", "data_centre": "north"},
    "callers": {"address": "127.0.0.1:1"},
    "operators": {"address": "127.0.0.1:2"},
    "peers": {"address": "127.0.0.1:3"},
    "platform": {"address": "127.0.0.1:4"},
}


def value_paths(
    value: Any, path: tuple[Any, ...] = ()
) -> list[tuple[Any, ...]]:
    paths = [path] if path else []
    keys: Any = ()
    if isinstance(value, dict):
        keys = value
    elif isinstance(value, list):
        keys = range(len(value))
    for key in keys:
        paths += value_paths(value[key], (*path, key))
    return paths


def with_one_value_replaced(data: st.DataObject, valid: Any) -> Any:
    """Returns a copy with one value replaced by an arbitrary one."""
    changed = copy.deepcopy(valid)
    *parents, last = data.draw(st.sampled_from(value_paths(valid)))
    target = changed
    for key in parents:
        target = target[key]
    target[last] = data.draw(VALUES)
    return changed


@given(st.data())
@hypothesis_settings(deadline=None)
def test_objects_and_settings_never_raise(data: st.DataObject) -> None:
    """Guards against input that crashes an instance or command."""
    kind = data.draw(st.sampled_from(sorted(VALID_SPECS)))
    valid = {"kind": kind, "name": "n", "labels": {"a": "b"}, "version": 1}
    raw = with_one_value_replaced(data, {**valid, "spec": VALID_SPECS[kind]})
    assert sorted(VALID_SPECS) == sorted(kinds.SPEC_TYPES)
    decoded = kinds.decode(raw)
    if decoded.is_ok():
        kinds.check_references([decoded.ok])
        encoded = msgspec.json.decode(msgspec.json.encode(decoded.ok))
        assert kinds.decode(encoded).ok == decoded.ok
    else:
        assert all(str(p) for p in decoded.error.problems)
    documents.decode_all([raw])
    assert settings.Settings.from_config(VALID_SETTINGS).is_ok()
    settings.Settings.from_config(with_one_value_replaced(data, VALID_SETTINGS))
    kinds.decode(data.draw(VALUES))
    settings.Settings.from_config(data.draw(VALUES))


@given(st.binary(max_size=200), st.text(max_size=60))
def test_text_formats_never_raise(content: bytes, text: str) -> None:
    """Guards against input that raises instead of returning an error."""
    documents.parse(content, toml=True)
    documents.parse(content, toml=False)
    documents.parse(text.encode("utf-8", "surrogatepass"), toml=True)
    documents.parse_key(text)
    parsed = selectors.parse(text)
    if parsed.is_error():
        assert 0 <= parsed.error.offset <= len(text)


def check_completions(content: bytes) -> None:
    for parse in (completions.parse_completion, completions.parse_chat):
        try:
            request = parse(content)
        except completions.MalformedError:
            continue
        # An accepted request must be encodable for an engine.
        msgspec.msgpack.encode((list(request.prompt), request.max_tokens))
        assert all(0 <= token < 2**32 for token in request.prompt)


@pytest.mark.parametrize(
    "content", MALFORMED_JSON, ids=range(len(MALFORMED_JSON))
)
def test_nasty_json_is_refused(content: bytes) -> None:
    """Guards against nesting, encodings or numbers that raise an exception."""
    check_completions(content)
    assert strict.decode_json(b"[" * DEPTH).is_error()
    documents.parse(content, toml=False)


@given(st.data())
@hypothesis_settings(deadline=None)
def test_callers_bodies_are_refused_as_malformed(data: st.DataObject) -> None:
    """Guards against a malformed body that causes an internal error."""
    completion = {"model": "m", "prompt": "x", "max_tokens": 3, "n": 1}
    chat = {
        "model": "m",
        "messages": [{"role": "u", "content": [{"type": "text", "text": "x"}]}],
    }
    for valid in (completion, chat):
        check_completions(
            msgspec.json.encode(with_one_value_replaced(data, valid))
        )


class Note(msgspec.Struct, array_like=True, frozen=True):
    """A message between instances."""

    text: str
    numbers: list[int]


def check_frames(content: bytes) -> None:
    peers = transport.PeerTransport("127.0.0.1:1")
    peers.register(Note, lambda note: note)
    framed = msgspec.msgpack.encode(["Note", msgspec.Raw(content), ""])
    for raw in (content, framed):
        reply = asyncio.run(peers._handle(raw))
        msgspec.msgpack.decode(reply)
        with contextlib.suppress(transport.PeerError):
            transport._decode_reply("Note", Note, raw)
        # The reader task closes the connection on any decoder error.
        with contextlib.suppress(msgspec.DecodeError, RecursionError):
            engines._decoder.decode(raw)
    with contextlib.suppress(msgspec.DecodeError):
        msgspec.json.decode(content[:1000], type=bucket.Bucket)


@pytest.mark.parametrize(
    "content", MALFORMED_MSGPACK, ids=range(len(MALFORMED_MSGPACK))
)
def test_nasty_frames_are_refused(content: bytes) -> None:
    """Guards against a frame that ends the task that serves peers."""
    check_frames(content)


@given(st.binary(max_size=100))
@hypothesis_settings(deadline=None, max_examples=60)
def test_frames_never_raise(content: bytes) -> None:
    """Guards against a frame that ends the task that serves peers."""
    check_frames(content)
