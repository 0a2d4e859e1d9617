"""Splitting of received bytes into parts of single requests."""

from __future__ import annotations

import httptools
import hypothesis
from hypothesis import strategies

from yuccatally.instance import read_ahead

REQUESTS = (
    b"GET / HTTP/1.1\r\n\r\n",
    b"\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 7\r\n\r\nab\r\n\r\nc",
    b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"6\r\na\r\n\r\nb\r\n0\r\nMore: x\r\n\r\n",
    b"GET / HTTP/1.1\r\nA: " + b"x" * 40_000 + b"\r\n\r\n",
)


class Requests:
    """Counts the requests that a parser has found."""

    def __init__(self) -> None:
        self.count = 0
        self.length = 0
        self.body_left = 0
        self.parser = httptools.HttpRequestParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name == b"Content-Length":
            self.length = int(value)

    def on_headers_complete(self) -> None:
        self.body_left = self.length

    def on_message_complete(self) -> None:
        self.count += 1
        self.length = self.body_left = 0


@hypothesis.given(
    strategies.lists(strategies.sampled_from(REQUESTS), max_size=8),
    strategies.lists(strategies.integers(1, 60), max_size=200),
)
def test_a_part_ends_at_most_one_request(
    requests: list[bytes], lengths: list[int]
) -> None:
    """Guards against parsing the requests that follow in the same block."""
    data = b"".join(requests)
    found = Requests()
    ahead = read_ahead.ReadAhead()
    taken = b""
    for length in (*lengths, len(data) + 1):
        block, rest = data[:length], data[length:]
        if block:
            ahead.append(block)
        data = rest
        while ahead:
            before = found.count
            part = ahead.take(found.body_left)
            assert part
            found.body_left -= min(found.body_left, len(part))
            found.parser.feed_data(part)
            assert found.count <= before + 1
            taken += part
    assert taken == b"".join(requests)
    assert found.count == len(requests)
    assert not ahead.data
