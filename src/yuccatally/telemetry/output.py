"""A log file that never blocks the event loop."""

from __future__ import annotations

import os

# A reader that stops for a moment loses nothing; one that stops for good
# costs no more than this.
BACKLOG_BYTES = 256 * 1024


class NonBlockingOutput:
    """Writes whole lines to a descriptor as far as it takes them.

    Lines wait in a bounded backlog while the reader is slow. Lines that do
    not fit are dropped and counted, and the count is written before the next
    line.

    Attributes:
        dropped: Lines dropped since the start.
    """

    def __init__(self, descriptor: int, backlog: int = BACKLOG_BYTES) -> None:
        """Creates an output.

        Args:
            descriptor: File descriptor; it is set to non-blocking.
            backlog: Most bytes that wait.
        """
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.backlog = backlog
        self.waiting = bytearray()
        self.dropped = 0
        self.reported = 0

    def write(self, text: str) -> int:
        """Takes a line with its end."""
        line = text.encode(errors="replace")
        if self.dropped > self.reported:
            note = b"event=log_lines_dropped total=%d\n" % self.dropped
            if self._append(note + line):
                self.reported = self.dropped
                self.flush()
                return len(text)
        elif self._append(line):
            self.flush()
            return len(text)
        self.dropped += 1
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes as much of the backlog as is taken at once."""
        while self.waiting:
            try:
                written = os.write(self.descriptor, self.waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; logging must not end the process.
                self.waiting.clear()
                return
            del self.waiting[:written]

    def _append(self, data: bytes) -> bool:
        if len(self.waiting) + len(data) > self.backlog:
            return False
        self.waiting += data
        return True
