"""Log output that does not block the event loop."""

from __future__ import annotations

import os

# A reader that pauses briefly misses no line; a reader that stops costs at most
# this much memory.
MAX_BACKLOG_BYTES = 256 * 1024


class NonBlockingOutput:
    """Writes whole lines to a file descriptor without blocking.

    While the reader is slow, lines are kept in a bounded backlog. Lines that do
    not fit are dropped and counted, and the count is written before the next
    line.

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    def __init__(
        self, descriptor: int, max_backlog_bytes: int = MAX_BACKLOG_BYTES
    ) -> None:
        """Initializes an output.

        Args:
            descriptor: File descriptor; it is set to non-blocking mode.
            max_backlog_bytes: Maximum size of the backlog, in bytes.
        """
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.max_backlog_bytes = max_backlog_bytes
        self.backlog = bytearray()
        self.dropped = 0
        self.reported_dropped = 0

    def write(self, text: str) -> int:
        """Writes or buffers a line that ends with a newline."""
        line = text.encode(errors="replace")
        if self.dropped > self.reported_dropped:
            note = b"event=log_lines_dropped total=%d\n" % self.dropped
            if self._append(note + line):
                self.reported_dropped = self.dropped
                self.flush()
                return len(text)
        elif self._append(line):
            self.flush()
            return len(text)
        self.dropped += 1
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes as much of the backlog as the descriptor accepts now."""
        while self.backlog:
            try:
                written = os.write(self.descriptor, self.backlog)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed; logging must not end the process.
                self.backlog.clear()
                return
            del self.backlog[:written]

    def _append(self, data: bytes) -> bool:
        if len(self.backlog) + len(data) > self.max_backlog_bytes:
            return False
        self.backlog += data
        return True
