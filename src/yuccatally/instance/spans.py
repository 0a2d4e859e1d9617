"""Spans of the hops of one generation: queue, attempt and each stage."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry import trace

    from yuccatally.core.generation import actions
    from yuccatally.core.stages import messages


@dataclasses.dataclass
class _Stage:
    """Steps of one stage of one attempt; one span covers them all."""

    engine: str
    started_ns: int = 0
    ended_ns: int = 0
    submitted_at: float = 0.0
    steps: int = 0
    values: int = 0
    busy_s: float = 0.0
    slowest_s: float = 0.0


class SpanRecorder:
    """Collects what happens to one request and writes it as spans."""

    def __init__(self, tracer: trace.Tracer, request: str) -> None:
        self.tracer = tracer
        self.request = request
        self.queued_ns = time.time_ns()
        self.attempt: trace.Span | None = None
        self.number = 0
        self.stages: dict[int, _Stage] = {}

    def start_attempt(self, number: int, route: actions.Path) -> None:
        """Ends the wait for a route and starts the span of an attempt."""
        now_ns = time.time_ns()
        self._span("queue", self.queued_ns, now_ns, attempt=number)
        self.number = number
        self.stages = {
            h.first_layer: _Stage(h.engine, now_ns, now_ns) for h in route.hops
        }
        self.attempt = self.tracer.start_span(
            "attempt",
            attributes={
                "request": self.request,
                "attempt": number,
                "pipeline": route.pipeline,
                "engines": ",".join(h.engine for h in route.hops),
            },
        )

    def on_submit(self, item: messages.StepItem) -> None:
        """Records that a step was queued for an engine."""
        stage = self.stages.get(item.first_layer)
        if stage is not None and item.attempt == self.number:
            stage.submitted_at = time.monotonic()

    def on_result(self, item: messages.StepItem) -> None:
        """Records that a step was answered."""
        stage = self.stages.get(item.first_layer)
        if stage is None or item.attempt != self.number:
            return
        elapsed_s = time.monotonic() - stage.submitted_at
        stage.steps += 1
        stage.values += len(item.values)
        stage.busy_s += elapsed_s
        stage.slowest_s = max(stage.slowest_s, elapsed_s)
        stage.ended_ns = time.time_ns()

    def end_attempt(self, tokens: int, reason: str) -> None:
        """Writes the spans of an attempt; the request queues again."""
        self.queued_ns = time.time_ns()
        if self.attempt is None:
            return
        for first_layer, stage in self.stages.items():
            self._span(
                "stage",
                stage.started_ns,
                stage.ended_ns,
                attempt=self.number,
                engine=stage.engine,
                first_layer=first_layer,
                steps=stage.steps,
                values=stage.values,
                busy_s=round(stage.busy_s, 6),
                slowest_s=round(stage.slowest_s, 6),
            )
        self.attempt.set_attribute("tokens", tokens)
        self.attempt.set_attribute("ended", reason)
        self.attempt.end()
        self.attempt = None
        self.stages = {}

    def _span(
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
