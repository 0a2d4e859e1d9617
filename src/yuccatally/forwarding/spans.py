"""Spans of forwarded requests: the choice of a path and each attempt."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

from yuccatally.telemetry import traces

if TYPE_CHECKING:
    from collections.abc import Iterator

    from opentelemetry import trace

# Ids come from clients; longer ones would let them fill the buffer of spans.
ID_LENGTH = 64


class Spans:
    """Records the hops of requests.

    Attributes:
        buffer: Spans of the latest requests.
    """

    def __init__(self, instance: str) -> None:
        self.buffer = traces.TraceBuffer()
        self.tracer = traces.create_tracer(self.buffer, None, instance)

    @contextlib.contextmanager
    def hop(
        self, name: str, request: str, **attributes: str | int
    ) -> Iterator[trace.Span]:
        """Records a hop that lasts as long as the context.

        The attribute ``ended`` names the exception that ended it, if any.
        """
        span = self._start(name, request, None, attributes)
        try:
            yield span
        except BaseException as error:
            span.set_attribute("ended", type(error).__name__)
            raise
        finally:
            span.end()

    def add(
        self, name: str, request: str, lasted_s: float, **attributes: str | int
    ) -> None:
        """Records a hop that ends now."""
        now_ns = time.time_ns()
        started_ns = now_ns - int(lasted_s * 1e9)
        self._start(name, request, started_ns, attributes).end(now_ns)

    def of(self, request: str) -> tuple[traces.SpanRecord, ...]:
        """Returns the spans of a request in the order of their start."""
        return self.buffer.spans(request[:ID_LENGTH])

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
            attributes={"request": request[:ID_LENGTH], **attributes},
        )
