"""Tracing of forwarded requests: the choice of a path and each attempt."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

from yuccatally.telemetry import traces

if TYPE_CHECKING:
    from collections.abc import Iterator

    from opentelemetry import trace

# Ids come from clients; the limit keeps long ones from filling the span buffer.
MAX_ID_CHARS = 64


class SpanRecorder:
    """Records the spans of requests.

    All times come from the monotonic clock, so that the order and the duration
    of spans are right when the time of day is adjusted.

    Attributes:
        buffer: Spans of the latest requests.
        epoch_ns: Unix time at which the monotonic clock was 0, in nanoseconds.
    """

    def __init__(self, instance: str) -> None:
        self.epoch_ns = time.time_ns() - time.monotonic_ns()
        self.buffer = traces.TraceBuffer()
        self.tracer = traces.create_tracer(self.buffer, None, instance)

    @contextlib.contextmanager
    def record(
        self, name: str, request: str, **attributes: str | int
    ) -> Iterator[trace.Span]:
        """Records a span that lasts as long as the context.

        If an exception ends it, the attribute ``ended`` contains the name of
        the exception class.
        """
        span = self._start(name, request, self._now_ns(), attributes)
        try:
            yield span
        except BaseException as error:
            span.set_attribute("ended", type(error).__name__)
            raise
        finally:
            span.end(self._now_ns())

    def record_ended(
        self,
        name: str,
        request: str,
        started_at: float,
        **attributes: str | int,
    ) -> None:
        """Records a span that ends now.

        Args:
            name: Name of the span.
            request: Id of the request.
            started_at: Start by the monotonic clock, in seconds.
            **attributes: Attributes of the span.
        """
        started_ns = self.epoch_ns + int(started_at * 1e9)
        self._start(name, request, started_ns, attributes).end(self._now_ns())

    def of_request(self, request: str) -> tuple[traces.SpanRecord, ...]:
        """Returns the spans of a request in order of their start times."""
        return self.buffer.spans(request[:MAX_ID_CHARS])

    def _now_ns(self) -> int:
        return self.epoch_ns + time.monotonic_ns()

    def _start(
        self,
        name: str,
        request: str,
        started_ns: int,
        attributes: dict[str, str | int],
    ) -> trace.Span:
        return self.tracer.start_span(
            name,
            start_time=started_ns,
            attributes={"request": request[:MAX_ID_CHARS], **attributes},
        )
