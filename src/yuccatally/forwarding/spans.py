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

    Attributes:
        buffer: Spans of the latest requests.
    """

    def __init__(self, instance: str) -> None:
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
        span = self._start(name, request, None, attributes)
        try:
            yield span
        except BaseException as error:
            span.set_attribute("ended", type(error).__name__)
            raise
        finally:
            span.end()

    def record_ended(
        self,
        name: str,
        request: str,
        duration_s: float,
        **attributes: str | int,
    ) -> None:
        """Records a span that ends now."""
        now_ns = time.time_ns()
        started_ns = now_ns - int(duration_s * 1e9)
        self._start(name, request, started_ns, attributes).end(now_ns)

    def of_request(self, request: str) -> tuple[traces.SpanRecord, ...]:
        """Returns the spans of a request in order of their start times."""
        return self.buffer.spans(request[:MAX_ID_CHARS])

    def _start(
        self,
        name: str,
        request: str,
        started_ns: int | None,
        attributes: dict[str, str | int],
    ) -> trace.Span:
        return self.tracer.start_span(
            name,
            start_time=started_ns,
            attributes={"request": request[:MAX_ID_CHARS], **attributes},
        )
