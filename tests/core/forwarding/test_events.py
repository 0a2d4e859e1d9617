"""Tests the splitting of event streams."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest

from yuccatally.core.forwarding import events

TERMINATORS = st.sampled_from(["\n", "\r\n"])


@given(st.integers(1, 9), st.integers(0, 40), st.integers(1, 13), TERMINATORS)
def test_only_whole_events_are_passed_on(
    count: int, cut: int, size: int, line_end: str
) -> None:
    """Guards against a partial event before the stream of another engine."""
    parts = [
        f"id: {n}{line_end}data: é{n}{line_end}{line_end}".encode()
        for n in range(count)
    ]
    stream = b"".join(parts)
    cut = max(0, len(stream) - cut)
    splitter = events.EventSplitter()
    relayed = b"".join(
        splitter.feed(stream[position : min(position + size, cut)])
        for position in range(0, cut, size)
    )
    complete_prefixes = [b"".join(parts[:n]) for n in range(count + 1)]
    assert relayed in complete_prefixes
    assert relayed + splitter.pending == stream[:cut]
    number = complete_prefixes.index(relayed)
    assert splitter.last_id == (str(number - 1) if number else "")


def test_id_of_the_client_stays_until_an_event_comes() -> None:
    """Guards against a resumed stream that restarts from its beginning."""
    splitter = events.EventSplitter("7")
    splitter.feed(b"id: 8\nda")
    assert splitter.last_id == "7"
    splitter.restart()
    assert splitter.feed(b"id: 8\ndata: x\n\n") == b"id: 8\ndata: x\n\n"
    assert splitter.last_id == "8"


def test_event_without_end_is_bounded() -> None:
    """Guards against an engine that exhausts the memory of an instance."""
    splitter = events.EventSplitter()
    with pytest.raises(events.EventTooLongError):
        for _ in range(40):
            splitter.feed(b"x" * 65_536)


@pytest.mark.parametrize(
    "data",
    [
        b"\ndata: a\n\n\ndata: b\n\n",
        b": comment\n\nid: 7\n\n",
        b"yuccatally-weight-versions: 3\nid: 8\ndata: x\n\n",
        b"id: later\ndata: x\n\nid: 4\ndata: y\n\n",
        b"event: end\r\ndata: x\r\n\r\n",
    ],
)
def test_events_of_any_kind_are_accepted(data: bytes) -> None:
    """Guards against a sound stream that is cut for its form."""
    splitter = events.EventSplitter("6")
    splitter.checked = True
    assert splitter.feed(data) == data


@pytest.mark.parametrize(
    "data",
    [
        b"id: 7\ndata: a\n\nHTTP/1.1 500 Error\r\n\r\n",
        b"id: 7\ndata: a\n\nid: 7\ndata: a\n\n",
        b"id: 6\ndata: a\n\n",
        b"<html>\n\n",
    ],
)
def test_anything_else_is_rejected_as_a_whole(data: bytes) -> None:
    """Guards against an id that is recorded although its event is not sent."""
    splitter = events.EventSplitter("6")
    splitter.checked = True
    with pytest.raises(events.NoEventError):
        splitter.feed(data)
    assert (splitter.last_id, splitter.events) == ("6", 0)
