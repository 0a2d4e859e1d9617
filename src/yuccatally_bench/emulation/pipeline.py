"""Emulates one pipeline: batches, memory, prompts and links.

The model configuration declares the time of steps and prompts, as the platform
publishes them. Stages process different requests at the same time; see
docs/emulator.md for what is not modelled.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.core.forwarding import dispatch
    from yuccatally.core.forwarding import rules
    from yuccatally_bench.emulation import clock as clock_module

# Prompt tokens that an engine processes together with one step.
PREFILL_CHUNK_TOKENS = 512
# Decoding steps of a pass, which is also the number of tokens of an event.
EVENT_TOKENS = 2
# Delay of a message between two data centres of one region.
CROSSING_DELAY_S = 0.00042
# Time constant of the mean rate of prompt tokens.
PREFILL_RATE_WINDOW_S = 1.0


@dataclasses.dataclass(eq=False)
class Stream:
    """A request on a pipeline.

    Attributes:
        prompt_tokens: Prompt tokens to process.
        answer_tokens: Tokens to generate.
        on_event: Called at each event.
        on_end: Called with whether the answer is complete.
        generated_tokens: Tokens generated so far.
        cached_tokens: Memory in use, in tokens.
        generation: Incremented when the memory is freed; outdated events are
            ignored.
    """

    prompt_tokens: int
    answer_tokens: int
    on_event: Callable[[], None]
    on_end: Callable[[bool], None]
    generated_tokens: int = 0
    cached_tokens: int = 0
    generation: int = 0


class SharedLink:
    """Link between data centres that serialises all transfers."""

    def __init__(self, mbps: float) -> None:
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0

    def transfer_s(self, size: float, now: float) -> float:
        """Returns the time until a transfer requested now completes."""
        if not self.bytes_per_s:
            return CROSSING_DELAY_S
        start = max(now, self.free_at)
        self.free_at = start + size / self.bytes_per_s
        return self.free_at - now + CROSSING_DELAY_S


class Pipeline:
    """Runs the streams of one path.

    Attributes:
        path: Stages, and the memory of the smallest of them.
        streams: Streams under way, oldest first.
        slow_factor: Factor on the time of steps and prompts.
        failed: Whether one of its engines does not answer.
        preemption_count: Number of times that a stream lost its memory.
    """

    def __init__(
        self,
        path: dispatch.Path,
        model: rules.Model,
        clock: clock_module.Clock,
        link: SharedLink,
    ) -> None:
        self.path = path
        self.model = model
        self.clock = clock
        self.link = link
        self.streams: list[Stream] = []
        self.slow_factor = 1.0
        self.failed = False
        self.stall_s = 0.0
        self.preemption_count = 0
        self.cached_tokens = 0
        # Time at which the slowest stage has processed all its prompts.
        self.prefill_done_at = 0.0
        # Prompt tokens per second, averaged over the last second.
        self.prefill_rate = 0.0
        self.prefill_rate_at = 0.0
        stage_prefill_s = [
            (last - first)
            / model.layers
            * model.cards[hop.card].read_factor
            / model.read_tokens_per_s
            for hop, (first, last) in zip(path.hops, path.ranges, strict=True)
        ]
        self.prefill_s = sum(stage_prefill_s)
        self.slowest_prefill_s = max(stage_prefill_s)
        self.crossing_count = sum(
            a.data_centre != b.data_centre
            for a, b in itertools.pairwise(path.hops)
        )

    def has_capacity(self, prompt_tokens: int) -> bool:
        """Returns whether a request can start now."""
        if len(self.streams) >= self.path.slots:
            return False
        if any(not s.cached_tokens for s in self.streams):
            return False  # preempted streams have precedence
        return self.cached_tokens + prompt_tokens <= self.path.tokens

    def start(self, stream: Stream) -> None:
        """Starts a stream."""
        self.streams.append(stream)
        if self.failed:
            self._schedule_interruption([stream])
        else:
            self._prefill(stream)

    def cancel(self, stream: Stream) -> None:
        """Removes a stream without calling ``on_end``."""
        if stream in self.streams:
            self._remove(stream)

    def fail(self, stall_s: float) -> None:
        """Makes an engine stop answering; streams are interrupted later."""
        self.failed = True
        self.stall_s = stall_s
        self._schedule_interruption(list(self.streams))

    def _schedule_interruption(self, streams: list[Stream]) -> None:
        def interrupt() -> None:
            for stream in streams:
                if stream in self.streams:
                    self._remove(stream)
                    stream.on_end(False)

        self.clock.call_after(self.stall_s, interrupt)

    def _prefill(self, stream: Stream) -> None:
        """Processes a prompt; stages work on different chunks in parallel."""
        self.cached_tokens += stream.prompt_tokens
        stream.cached_tokens = stream.prompt_tokens
        self._record_prefill(stream.prompt_tokens)
        now = self.clock.now
        start = max(now, self.prefill_done_at)
        slowest_s = (
            stream.prompt_tokens * self.slowest_prefill_s * self.slow_factor
        )
        self.prefill_done_at = start + slowest_s
        chunk = min(stream.prompt_tokens, PREFILL_CHUNK_TOKENS)
        other_stages_s = (
            chunk * (self.prefill_s - self.slowest_prefill_s) * self.slow_factor
        )
        done_s = start - now + slowest_s + other_stages_s
        for _ in range(self.crossing_count):
            size = stream.prompt_tokens * self.model.activation_bytes
            done_s += self.link.transfer_s(size, now)
        generation = stream.generation
        self.clock.call_after(
            done_s, lambda: self._schedule_event(stream, generation)
        )

    def _schedule_event(self, stream: Stream, generation: int) -> None:
        """Schedules the next event of a stream."""
        if stream.generation == generation:
            self.clock.call_after(
                self._event_s(),
                lambda: self._generate_event(stream, generation),
            )

    def _generate_event(self, stream: Stream, generation: int) -> None:
        """Generates the tokens of one event."""
        if self.failed or stream.generation != generation:
            return
        size = min(EVENT_TOKENS, stream.answer_tokens - stream.generated_tokens)
        stream.generated_tokens += size
        stream.cached_tokens += size
        self.cached_tokens += size
        stream.on_event()
        if stream not in self.streams:
            return
        if stream.generated_tokens >= stream.answer_tokens:
            self._remove(stream)
            stream.on_end(True)
            return
        self._preempt()
        self._schedule_event(stream, generation)

    def _event_s(self) -> float:
        """Returns the time of an event of one stream.

        At each stage, a step may wait for a pass in progress: half a pass of
        steps, weighted by the ratio of time that the stage spends on steps, and
        half a prompt chunk, weighted by the ratio that it spends on prompts.
        """
        streams = len(self.streams)
        step_s = self.path.step_s + self.path.sequence_s * streams
        stages = len(self.path.hops)
        busy_ratio = min(1.0, streams / stages)
        prefill_ratio = min(1.0, self._current_rate() * self.slowest_prefill_s)
        chunk_s = PREFILL_CHUNK_TOKENS * self.prefill_s
        step_s = step_s * (1 + busy_ratio / 2) + prefill_ratio * chunk_s / 2
        if self.crossing_count:
            size = self.model.activation_bytes
            for _ in range(self.crossing_count):
                step_s += self.link.transfer_s(size, self.clock.now)
        return EVENT_TOKENS * step_s * self.slow_factor

    def _preempt(self) -> None:
        """Frees the memory of the newest streams when memory is exhausted."""
        for stream in list(reversed(self.streams)):
            if self.cached_tokens <= self.path.tokens:
                return
            if not stream.cached_tokens:
                continue
            self.cached_tokens -= stream.cached_tokens
            stream.generation += 1
            # The prompt and the generated tokens have to be processed again.
            stream.prompt_tokens += stream.generated_tokens
            stream.answer_tokens -= stream.generated_tokens
            stream.generated_tokens = stream.cached_tokens = 0
            self.preemption_count += 1

    def _resume_preempted(self) -> None:
        """Restarts the oldest preempted streams that fit into memory."""
        for stream in self.streams:
            if stream.cached_tokens:
                continue
            if self.cached_tokens + stream.prompt_tokens > self.path.tokens:
                return
            self._prefill(stream)

    def _remove(self, stream: Stream) -> None:
        self.streams.remove(stream)
        self.cached_tokens -= stream.cached_tokens
        stream.generation += 1
        self._resume_preempted()

    def _record_prefill(self, tokens: int) -> None:
        self.prefill_rate = (
            self._current_rate() + tokens / PREFILL_RATE_WINDOW_S
        )
        self.prefill_rate_at = self.clock.now

    def _current_rate(self) -> float:
        passed_s = self.clock.now - self.prefill_rate_at
        return self.prefill_rate * math.exp(-passed_s / PREFILL_RATE_WINDOW_S)
