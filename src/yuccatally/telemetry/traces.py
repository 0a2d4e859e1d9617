"""Spans of each hop, kept in a bounded buffer."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export

if TYPE_CHECKING:
    from collections.abc import Sequence

    from opentelemetry import trace

REQUESTS_KEPT = 4096
SPANS_PER_REQUEST = 128


@dataclasses.dataclass(frozen=True)
class SpanRecord:
    """A finished span.

    Attributes:
        name: What was done, for example ``stage`` or ``claim``.
        start_unix_s: Start, Unix time in seconds.
        duration_s: Duration in seconds.
        attributes: Details such as engine, attempt and outcome.
    """

    name: str
    start_unix_s: float
    duration_s: float
    attributes: dict[str, Any]


class TraceBuffer(export.SpanExporter):
    """Keeps the spans of the most recent requests."""

    def __init__(self) -> None:
        self.requests: collections.OrderedDict[str, list[SpanRecord]] = (
            collections.OrderedDict()
        )

    def export(
        self, spans: Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Adds finished spans; the oldest request leaves when it is full."""
        for span in spans:
            attributes = dict(span.attributes or {})
            request = str(attributes.pop("request", ""))
            if not request:
                continue
            start, end = span.start_time or 0, span.end_time or 0
            record = SpanRecord(
                span.name, start / 1e9, (end - start) / 1e9, attributes
            )
            self._add(request, record)
        return export.SpanExportResult.SUCCESS

    def spans(self, request: str) -> tuple[SpanRecord, ...]:
        """Returns the spans of a request in order of their start."""
        kept = self.requests.get(request, [])
        return tuple(sorted(kept, key=lambda s: s.start_unix_s))

    def _add(self, request: str, record: SpanRecord) -> None:
        kept = self.requests.setdefault(request, [])
        if len(kept) < SPANS_PER_REQUEST:
            kept.append(record)
        if len(self.requests) > REQUESTS_KEPT:
            self.requests.popitem(last=False)


def tracer(buffer: TraceBuffer, instance: str) -> trace.Tracer:
    """Returns a tracer whose spans end in the buffer."""
    resource = resources.Resource.create({"service.instance.id": instance})
    provider = sdk_trace.TracerProvider(
        resource=resource, shutdown_on_exit=False
    )
    provider.add_span_processor(export.SimpleSpanProcessor(buffer))
    return provider.get_tracer("yuccatally")
