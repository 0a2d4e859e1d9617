"""Splitting of an event stream into whole events."""

from __future__ import annotations

# An event of a few tokens has some hundred bytes.
EVENT_LIMIT_BYTES = 1024 * 1024

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventTooLongError(Exception):
    """An event does not end within the limit."""


class EventSplitter:
    """Passes whole events on and keeps what follows the last one.

    An engine may break off in the middle of an event. What its successor
    sends starts with a whole event, so a part that was passed on would be
    joined to it.

    Attributes:
        last_id: Id of the last whole event; empty if there was none.
        pending: Bytes after the last whole event.
        events: Whole events passed on.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.pending = b""
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        r"""Returns the whole events that are complete now.

        Raises:
            EventTooLongError: An event is longer than the limit.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 4\ndata: a\n\nid: 5\nda")
        b'id: 4\ndata: a\n\n'
        >>> splitter.last_id, splitter.events, splitter.pending
        ('4', 1, b'id: 5\nda')
        """
        buffered = self.pending + data if self.pending else data
        end = _end(buffered)
        if end == 0:
            self.pending = buffered
            if len(buffered) > EVENT_LIMIT_BYTES:
                raise EventTooLongError(f"{len(buffered)} bytes without end")
            return b""
        whole, self.pending = buffered[:end], buffered[end:]
        self._note_ids(whole)
        return whole

    def restart(self) -> None:
        """Drops a part of an event before a successor goes on."""
        self.pending = b""

    def _note_ids(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
            elif not line:
                self.events += 1


def _end(data: bytes) -> int:
    return max(
        position + len(end) if (position := data.rfind(end)) >= 0 else 0
        for end in _ENDS
    )
