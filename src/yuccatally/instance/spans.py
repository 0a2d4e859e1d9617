"""Spans of one generation: queue, attempts and the stages of each."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry import trace

    from yuccatally.core.generation import actions
    from yuccatally.core.stages import messages


@dataclasses.dataclass
class _StageTotals:
    """Totals of the steps of one stage in one attempt, for a single span."""

    engine: str
    started_ns: int = 0
    ended_ns: int = 0
    submitted_at: float = 0.0
    steps: int = 0
    values: int = 0
    busy_s: float = 0.0
    slowest_s: float = 0.0


class SpanRecorder:
    """Records the queueing, attempts and stages of one request as spans."""

    def __init__(self, tracer: trace.Tracer, request: str) -> None:
        self.tracer = tracer
        self.request = request
        self.queued_ns = time.time_ns()
        self.attempt_span: trace.Span | None = None
        self.attempt_number = 0
        self.stages: dict[int, _StageTotals] = {}

    def start_attempt(self, attempt_number: int, path: actions.Path) -> None:
        """Ends the queue span and starts the span of an attempt."""
        now_ns = time.time_ns()
        self._record_span(
            "queue", self.queued_ns, now_ns, attempt=attempt_number
        )
        self.attempt_number = attempt_number
        self.stages = {
            h.first_layer: _StageTotals(h.engine, now_ns, now_ns)
            for h in path.hops
        }
        self.attempt_span = self.tracer.start_span(
            "attempt",
            attributes={
                "request": self.request,
                "attempt": attempt_number,
                "pipeline": path.pipeline,
                "engines": ",".join(h.engine for h in path.hops),
            },
        )

    def record_submit(self, item: messages.StepItem) -> None:
        """Records that a step was submitted to an engine."""
        stage = self.stages.get(item.first_layer)
        if stage is not None and item.attempt == self.attempt_number:
            stage.submitted_at = time.monotonic()

    def record_result(self, item: messages.StepItem) -> None:
        """Records the result of a step."""
        stage = self.stages.get(item.first_layer)
        if stage is None or item.attempt != self.attempt_number:
            return
        elapsed_s = time.monotonic() - stage.submitted_at
        stage.steps += 1
        stage.values += len(item.values)
        stage.busy_s += elapsed_s
        stage.slowest_s = max(stage.slowest_s, elapsed_s)
        stage.ended_ns = time.time_ns()

    def end_attempt(self, tokens: int, reason: str) -> None:
        """Writes the spans of an attempt and starts a queue span."""
        self.queued_ns = time.time_ns()
        if self.attempt_span is None:
            return
        for first_layer, stage in self.stages.items():
            self._record_span(
                "stage",
                stage.started_ns,
                stage.ended_ns,
                attempt=self.attempt_number,
                engine=stage.engine,
                first_layer=first_layer,
                steps=stage.steps,
                values=stage.values,
                busy_s=round(stage.busy_s, 6),
                slowest_s=round(stage.slowest_s, 6),
            )
        self.attempt_span.set_attribute("tokens", tokens)
        self.attempt_span.set_attribute("ended", reason)
        self.attempt_span.end()
        self.attempt_span = None
        self.stages = {}

    def _record_span(
        self,
        name: str,
        started_ns: int,
        ended_ns: int,
        **attributes: str | float,
    ) -> None:
        span = self.tracer.start_span(
            name,
            start_time=started_ns,
            attributes={"request": self.request, **attributes},
        )
        span.end(ended_ns)
