"""Spans of requests, kept in a bounded buffer and recorded in the trail."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export

from yuccatally.core.requests import trail

if TYPE_CHECKING:
    from collections.abc import Sequence

    from opentelemetry import context
    from opentelemetry import trace

MAX_REQUEST_COUNT = 4096
MAX_SPANS_PER_REQUEST = 128
MAX_SPAN_COUNT = 16_384
# Trail steps that the start and the end of a span record, by span name.
_START_STEPS = {
    "claim": trail.Step.CLAIM,
    "call": trail.Step.SENT,
    "attempt": trail.Step.ATTEMPT,
    "outcome": trail.Step.OUTCOME,
}
_END_STEPS = {
    "claim": trail.Step.CLAIMED,
    "call": trail.Step.RESULT,
    "attempt": trail.Step.ATTEMPT_ENDED,
}


@dataclasses.dataclass(frozen=True)
class SpanRecord:
    """A finished span.

    Attributes:
        name: Name of the operation, for example ``stage`` or ``claim``.
        start_unix_s: Start as Unix time, in seconds.
        duration_s: Duration in seconds.
        attributes: Attributes such as engine, attempt and outcome.
    """

    name: str
    start_unix_s: float
    duration_s: float
    attributes: dict[str, Any]


class TraceBuffer(export.SpanExporter):
    """Span exporter that keeps the spans of the most recent requests.

    Attributes:
        spans_by_request: Spans by request id, the oldest request first.
        count: Number of spans of all requests.
    """

    def __init__(self) -> None:
        self.spans_by_request: collections.OrderedDict[
            str, list[SpanRecord]
        ] = collections.OrderedDict()
        self.count = 0

    def export(
        self, spans: Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Adds finished spans and evicts the oldest requests when full."""
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
        """Returns the spans of a request in the order of their start."""
        records = self.spans_by_request.get(request, [])
        return tuple(sorted(records, key=lambda s: s.start_unix_s))

    def _add(self, request: str, record: SpanRecord) -> None:
        records = self.spans_by_request.setdefault(request, [])
        if len(records) < MAX_SPANS_PER_REQUEST:
            records.append(record)
            self.count += 1
        while (
            len(self.spans_by_request) > MAX_REQUEST_COUNT
            or self.count > MAX_SPAN_COUNT
        ):
            _, evicted = self.spans_by_request.popitem(last=False)
            self.count -= len(evicted)


class TrailProcessor(sdk_trace.SpanProcessor):
    """Records the start and the end of each span in the trail.

    If an instance crashes, the current span of a request has no end, so only
    the record of its start shows where the request was.
    """

    def __init__(self, request_trail: trail.Trail) -> None:
        self.trail = request_trail

    def on_start(
        self,
        span: sdk_trace.Span,
        parent_context: context.Context | None = None,
    ) -> None:
        """Records the start of a span that belongs to a request."""
        step = _START_STEPS.get(span.name, trail.Step.NOTE)
        self._add(span, step, span.start_time, dict(span.attributes or {}))

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Records the end of a span with the attributes set meanwhile."""
        step = _END_STEPS.get(span.name)
        if step is None:
            return
        attributes = dict(span.attributes or {})
        started, ended = span.start_time or 0, span.end_time or 0
        attributes["ms"] = round((ended - started) / 1e6, 1)
        self._add(span, step, ended, attributes)

    def _add(
        self,
        span: sdk_trace.ReadableSpan,
        step: trail.Step,
        at_ns: int | None,
        attributes: dict[str, Any],
    ) -> None:
        request = str(attributes.pop("request", ""))
        if not request:
            return
        if step is trail.Step.NOTE:
            attributes = {"name": span.name, **attributes}
        # The end repeats the attributes of the start, except for long lists.
        attributes.pop("engines" if step in _END_STEPS.values() else "", None)
        detail = " ".join(f"{k}={v}" for k, v in attributes.items())
        self.trail.add(request, step, (at_ns or 0) / 1e9, detail)


def create_tracer(
    buffer: TraceBuffer, request_trail: trail.Trail | None, instance: str
) -> trace.Tracer:
    """Returns a tracer that exports to a buffer and, if given, a trail."""
    resource = resources.Resource.create({"service.instance.id": instance})
    provider = sdk_trace.TracerProvider(
        resource=resource, shutdown_on_exit=False
    )
    provider.add_span_processor(export.SimpleSpanProcessor(buffer))
    if request_trail is not None:
        provider.add_span_processor(TrailProcessor(request_trail))
    return provider.get_tracer("yuccatally")
