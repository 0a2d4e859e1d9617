"""Tests of the log output that does not block."""

from __future__ import annotations

import fcntl
import os

from yuccatally.telemetry import output

F_SETPIPE_SZ = 1031


def test_slow_reader_loses_nothing_within_the_backlog() -> None:
    """Guards against an event loop that blocks on a slow log reader."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, F_SETPIPE_SZ, 4096)
    log_output = output.NonBlockingOutput(writer, max_backlog_bytes=100_000)
    lines = [f"event=e number={n} {'x' * 80}\n" for n in range(600)]
    for line in lines:
        log_output.write(line)
    read = b""
    while len(read) < sum(map(len, lines)):
        read += os.read(reader, 65_536)
        log_output.flush()
    assert read.decode() == "".join(lines)
    assert log_output.dropped == 0


def test_dropped_lines_are_counted_and_reported() -> None:
    """Guards against dropping lines without reporting it."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, F_SETPIPE_SZ, 4096)
    log_output = output.NonBlockingOutput(writer, max_backlog_bytes=1000)
    for number in range(200):
        log_output.write(f"event=e number={number} {'x' * 80}\n")
    assert log_output.dropped > 100
    os.read(reader, 65_536)
    log_output.flush()
    os.read(reader, 65_536)
    dropped = log_output.dropped
    log_output.write("event=last\n")
    rest = os.read(reader, 65_536).decode()
    assert f"event=log_lines_dropped total={dropped}\n" in rest
    assert rest.endswith("event=last\n")


def test_reader_that_is_gone_does_not_end_the_process() -> None:
    """Guards against a log call that raises after the reader has closed."""
    reader, writer = os.pipe()
    log_output = output.NonBlockingOutput(writer)
    os.close(reader)
    log_output.write("event=e\n")
    assert not log_output.backlog
