"""Splits an event stream into complete events."""

from __future__ import annotations

# An event of a few tokens has a few hundred bytes.
EVENT_LIMIT_BYTES = 1024 * 1024

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventTooLongError(Exception):
    """An event exceeds the size limit."""


class EventSplitter:
    """Returns complete events and buffers the bytes after the last one.

    An engine may fail in the middle of an event. The stream of the next engine
    starts with a complete event, so a partial event that was relayed before
    would be joined with it.

    Attributes:
        last_id: Id of the last complete event; empty if there was none.
        pending: Bytes after the last complete event.
        events: Number of complete events returned.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.pending = b""
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        r"""Adds data and returns the events that are complete now.

        Raises:
            EventTooLongError: An event exceeds the size limit.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 4\ndata: a\n\nid: 5\nda")
        b'id: 4\ndata: a\n\n'
        >>> splitter.last_id, splitter.events, splitter.pending
        ('4', 1, b'id: 5\nda')
        """
        buffered = self.pending + data if self.pending else data
        end = _end_of_last_event(buffered)
        if end == 0:
            self.pending = buffered
            if len(buffered) > EVENT_LIMIT_BYTES:
                raise EventTooLongError(
                    f"{len(buffered)} bytes without an event terminator"
                )
            return b""
        complete, self.pending = buffered[:end], buffered[end:]
        self._record_ids(complete)
        return complete

    def restart(self) -> None:
        """Discards a partial event; another engine continues the stream."""
        self.pending = b""

    def _record_ids(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
            elif not line:
                self.events += 1


def _end_of_last_event(data: bytes) -> int:
    return max(
        position + len(terminator)
        if (position := data.rfind(terminator)) >= 0
        else 0
        for terminator in _EVENT_TERMINATORS
    )
