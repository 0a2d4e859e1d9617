"""Log output that never blocks."""

from __future__ import annotations

import fcntl
import os

from yuccatally.telemetry import output

F_SETPIPE_SZ = 1031


def test_slow_reader_loses_nothing_within_the_backlog() -> None:
    """Guards against an event loop that waits for the reader of its logs."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, F_SETPIPE_SZ, 4096)
    found = output.NonBlockingOutput(writer, backlog=100_000)
    lines = [f"event=e number={n} {'x' * 80}\n" for n in range(600)]
    for line in lines:
        found.write(line)
    read = b""
    while len(read) < sum(map(len, lines)):
        read += os.read(reader, 65_536)
        found.flush()
    assert read.decode() == "".join(lines)
    assert found.dropped == 0


def test_dropped_lines_are_counted_and_reported() -> None:
    """Guards against lines that vanish without a trace."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, F_SETPIPE_SZ, 4096)
    found = output.NonBlockingOutput(writer, backlog=1000)
    for number in range(200):
        found.write(f"event=e number={number} {'x' * 80}\n")
    assert found.dropped > 100
    os.read(reader, 65_536)
    found.flush()
    os.read(reader, 65_536)
    dropped = found.dropped
    found.write("event=last\n")
    rest = os.read(reader, 65_536).decode()
    assert f"event=log_lines_dropped total={dropped}\n" in rest
    assert rest.endswith("event=last\n")


def test_reader_that_is_gone_does_not_end_the_process() -> None:
    """Guards against an exception out of a log call."""
    reader, writer = os.pipe()
    found = output.NonBlockingOutput(writer)
    os.close(reader)
    found.write("event=e\n")
    assert not found.waiting
