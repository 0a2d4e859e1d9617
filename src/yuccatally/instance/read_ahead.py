"""Received bytes that wait until the requests before them are answered."""

from __future__ import annotations

_END = b"\r\n\r\n"
# Bounds the headers that the parser creates before their length is checked.
MAX_PART_BYTES = 16 * 1024


class ReadAhead:
    r"""Splits received bytes so that no part contains the end of two requests.

    A request without a known length ends with an empty line: that of its
    headers, or the one after the last chunk.

    >>> ahead = ReadAhead()
    >>> ahead.append(b"GET / HTTP/1.1\r\n\r\nGET")
    >>> ahead.take(0)
    b'GET / HTTP/1.1\r\n\r\n'
    >>> ahead.take(0)
    b'GET'

    Attributes:
        data: Block that was received last, with what remained before; empty
            after all bytes were taken.
        offset: Number of bytes of ``data`` that were taken.
        tail: Last bytes that were taken, up to the length of an incomplete
            empty line.
    """

    def __init__(self) -> None:
        self.data = b""
        self.offset = 0
        self.tail = b""

    def __len__(self) -> int:
        return len(self.data) - self.offset

    def append(self, data: bytes) -> None:
        """Adds received bytes."""
        self.data = self.data[self.offset :] + data if self.data else data
        self.offset = 0

    def take(self, body_bytes: int) -> bytes:
        """Removes and returns the next part.

        Args:
            body_bytes: What remains of a body of known length; 0 if an empty
                line ends the part.
        """
        start, limit = self.offset, self.offset + MAX_PART_BYTES
        if body_bytes:
            end, self.tail = start + body_bytes, b""
        else:
            end = min(self._find_end(), limit)
        if start == 0 and end >= len(self.data):
            part, self.data = self.data, b""
        else:
            part = self.data[start:end]
            self.offset += len(part)
            if self.offset == len(self.data):
                self.clear()
        if not body_bytes:
            is_complete = part.endswith(_END)
            self.tail = b"" if is_complete else (self.tail + part[-3:])[-3:]
        return part

    def clear(self) -> None:
        """Drops all bytes."""
        self.data, self.offset = b"", 0

    def _find_end(self) -> int:
        if self.tail:
            head = self.tail + self.data[self.offset : self.offset + 3]
            found = head.find(_END)
            if found >= 0:
                return self.offset + found + len(_END) - len(self.tail)
        found = self.data.find(_END, self.offset)
        return found + len(_END) if found >= 0 else len(self.data)
