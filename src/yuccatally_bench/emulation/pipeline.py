"""One pipeline as its engines run it: batches, memory, prompts and links.

The figures of a configuration give the time of steps and prompts, as the
platform states them. Stages work on different requests at the same time; see
docs/emulator.md for what is left out.
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

# Prompt tokens that an engine reads beside one step.
PREFILL_CHUNK_TOKENS = 512
# Steps of a pass in which requests write, and tokens of an event.
EVENT_TOKENS = 2
# Delay of a message between two data centres of a region.
CROSSING_DELAY_S = 0.00042
# Time over which the rate of prompt tokens is a mean.
PREFILL_RATE_WINDOW_S = 1.0


@dataclasses.dataclass(eq=False)
class Stream:
    """A request on a pipeline.

    Attributes:
        prompt: Prompt tokens that have to be read.
        answer: Tokens that are to be written.
        on_event: Called with each event.
        on_end: Called with whether the answer is whole.
        written: Tokens that were written.
        held: Memory that it takes, in tokens.
        generation: Number of the incarnation of its memory.
    """

    prompt_tokens: int
    answer_tokens: int
    on_event: Callable[[], None]
    on_end: Callable[[bool], None]
    generated_tokens: int = 0
    cached_tokens: int = 0
    generation: int = 0


class SharedLink:
    """Link between data centres that all transfers share, one by one."""

    def __init__(self, mbps: float) -> None:
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0

    def transfer_s(self, size: float, now: float) -> float:
        """Returns when a transfer that starts now is over, from now."""
        if not self.bytes_per_s:
            return CROSSING_DELAY_S
        start = max(now, self.free_at)
        self.free_at = start + size / self.bytes_per_s
        return self.free_at - now + CROSSING_DELAY_S


class Pipeline:
    """Runs the streams of one path.

    Attributes:
        path: Stages, and memory of the weakest of them.
        streams: Streams under way, oldest first.
        factor: Slowness of its slowest engine.
        dead: Whether an engine of it is silent.
        preempted: Times that a stream lost its memory.
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
        # Time at which the slowest stage has read all prompts that it has.
        self.prefill_done_at = 0.0
        # Prompt tokens a second, as a mean over the last second.
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
        """Returns whether a request has room now."""
        if len(self.streams) >= self.path.slots:
            return False
        if any(not s.cached_tokens for s in self.streams):
            return False  # preempted streams go first
        return self.cached_tokens + prompt_tokens <= self.path.tokens

    def start(self, stream: Stream) -> None:
        """Starts a stream."""
        self.streams.append(stream)
        if self.failed:
            self._schedule_interruption([stream])
        else:
            self._prefill(stream)

    def cancel(self, stream: Stream) -> None:
        """Takes a stream off, without a call of ``on_end``."""
        if stream in self.streams:
            self._remove(stream)

    def fail(self, stall_s: float) -> None:
        """Lets an engine of it fall silent; streams break off later."""
        self.failed = True
        self.stall_s = stall_s
        self._schedule_interruption(list(self.streams))

    def _schedule_interruption(self, waiting: list[Stream]) -> None:
        def interrupt() -> None:
            for stream in waiting:
                if stream in self.streams:
                    self._remove(stream)
                    stream.on_end(False)

        self.clock.call_after(self.stall_s, interrupt)

    def _prefill(self, stream: Stream) -> None:
        """Reads a prompt; stages work on the pieces of several at once."""
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
        """Plans the next event of a stream."""
        if stream.generation == generation:
            self.clock.call_after(
                self._event_s(),
                lambda: self._generate_event(stream, generation),
            )

    def _generate_event(self, stream: Stream, generation: int) -> None:
        """Writes one event."""
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

        A step meets a pass in progress at each stage: half a pass of steps as
        often as the stage is busy with them, half a piece of a prompt as often
        as it is busy with these.
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
        """Takes the memory of the newest streams when it runs out."""
        for stream in list(reversed(self.streams)):
            if self.cached_tokens <= self.path.tokens:
                return
            if not stream.cached_tokens:
                continue
            self.cached_tokens -= stream.cached_tokens
            stream.generation += 1
            # It reads again what it had read and written.
            stream.prompt_tokens += stream.generated_tokens
            stream.answer_tokens -= stream.generated_tokens
            stream.generated_tokens = stream.cached_tokens = 0
            self.preemption_count += 1

    def _resume_preempted(self) -> None:
        """Reads the oldest preempted streams that have room again."""
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
