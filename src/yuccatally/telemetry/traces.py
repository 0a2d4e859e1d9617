"""Spans of each hop, kept in a bounded buffer and copied to the trail."""

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
_STARTS = {
    "claim": trail.Step.CLAIM,
    "call": trail.Step.SENT,
    "attempt": trail.Step.ATTEMPT,
    "outcome": trail.Step.OUTCOME,
}
_ENDS = {
    "claim": trail.Step.CLAIMED,
    "call": trail.Step.RESULT,
    "attempt": trail.Step.ATTEMPT_ENDED,
}


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
        self.spans_by_request: collections.OrderedDict[
            str, list[SpanRecord]
        ] = collections.OrderedDict()
        self.count = 0

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
        kept = self.spans_by_request.get(request, [])
        return tuple(sorted(kept, key=lambda s: s.start_unix_s))

    def _add(self, request: str, record: SpanRecord) -> None:
        kept = self.spans_by_request.setdefault(request, [])
        if len(kept) < MAX_SPANS_PER_REQUEST:
            kept.append(record)
            self.count += 1
        while (
            len(self.spans_by_request) > MAX_REQUEST_COUNT
            or self.count > MAX_SPAN_COUNT
        ):
            _, gone = self.spans_by_request.popitem(last=False)
            self.count -= len(gone)


class TrailProcessor(sdk_trace.SpanProcessor):
    """Records the start and the end of each hop in the trail.

    The start matters too: when an instance dies, the hop that its request was
    on has not ended.
    """

    def __init__(self, kept: trail.Trail) -> None:
        self.trail = kept

    def on_start(
        self,
        span: sdk_trace.Span,
        parent_context: context.Context | None = None,
    ) -> None:
        """Records the start of a span that belongs to a request."""
        step = _STARTS.get(span.name, trail.Step.NOTE)
        self._add(span, step, span.start_time, dict(span.attributes or {}))

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Records what became known while the span lasted."""
        step = _ENDS.get(span.name)
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
        # The end repeats what the start said, except for long lists.
        attributes.pop("engines" if step in _ENDS.values() else "", None)
        detail = " ".join(f"{k}={v}" for k, v in attributes.items())
        self.trail.add(request, step, (at_ns or 0) / 1e9, detail)


def create_tracer(
    buffer: TraceBuffer, kept: trail.Trail | None, instance: str
) -> trace.Tracer:
    """Returns a tracer whose spans end in the buffer and in a trail, if any."""
    resource = resources.Resource.create({"service.instance.id": instance})
    provider = sdk_trace.TracerProvider(
        resource=resource, shutdown_on_exit=False
    )
    provider.add_span_processor(export.SimpleSpanProcessor(buffer))
    if kept is not None:
        provider.add_span_processor(TrailProcessor(kept))
    return provider.get_tracer("yuccatally")
