"""Splits an event stream into complete events."""

from __future__ import annotations

# An event of a few tokens has a few hundred bytes.
EVENT_LIMIT_BYTES = 1024 * 1024

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


# Starts of the lines of an event, one of which each event has. A line that
# starts with a colon is a comment.
_FIELDS = (b"id:", b"data:", b"event:", b"retry:", b":")


class EventError(Exception):
    """The stream is not a series of events."""


class EventTooLongError(EventError):
    """An event exceeds the size limit."""


class NoEventError(EventError):
    """The stream contains something else than events, or events again."""


class EventSplitter:
    """Returns complete events and buffers the bytes after the last one.

    An engine may fail in the middle of an event. The stream of the next engine
    starts with a complete event, so a partial event that was relayed before
    would be joined with it.

    Attributes:
        last_id: Id of the last complete event; empty if there was none.
        pending: Bytes after the last complete event.
        events: Number of complete events returned.
        checked: Whether anything else than events with increasing ids is an
            error; set for streams that are declared as events.
    """

    def __init__(self, last_id: str = "") -> None:
        self.checked = False
        self.last_id = last_id
        self.pending = b""
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        r"""Adds data and returns the events that are complete now.

        Raises:
            EventTooLongError: An event exceeds the size limit.
            NoEventError: The data holds something else; nothing of it is
                returned, and the last id stays.

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
        last_id, count = self.last_id, 0
        has_line = has_field = False
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                event_id = line[3:].strip().decode("latin-1")
                if self.checked and _is_repeated(event_id, last_id):
                    raise NoEventError(f"event {event_id} after {last_id}")
                last_id = event_id
            elif not line:
                if self.checked and has_line and not has_field:
                    raise NoEventError("lines that are no event")
                count += 1
                has_line = has_field = False
                continue
            has_line = True
            has_field = has_field or line.startswith(_FIELDS)
        self.last_id = last_id
        self.events += count


def _is_repeated(event_id: str, last_id: str) -> bool:
    """Returns whether a numeric id is not greater than the last one.

    >>> _is_repeated("4", "4"), _is_repeated("10", "9"), _is_repeated("a", "b")
    (True, False, False)
    """
    if not (event_id.isdecimal() and last_id.isdecimal()):
        return False
    return int(event_id) <= int(last_id)


def _end_of_last_event(data: bytes) -> int:
    return max(
        position + len(terminator)
        if (position := data.rfind(terminator)) >= 0
        else 0
        for terminator in _EVENT_TERMINATORS
    )
