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
CHUNK_TOKENS = 512
# Steps of a pass in which requests write, and tokens of an event.
STRIDE = 2
# Delay of a message between two data centres of a region.
CROSSING_S = 0.00042
# Time over which the rate of prompt tokens is a mean.
RATE_S = 1.0


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

    prompt: int
    answer: int
    on_event: Callable[[], None]
    on_end: Callable[[bool], None]
    written: int = 0
    held: int = 0
    generation: int = 0


class Pipe:
    """Link between data centres that all transfers share, one by one."""

    def __init__(self, mbps: float) -> None:
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = 0.0

    def transfer_s(self, size: float, now: float) -> float:
        """Returns when a transfer that starts now is over, from now."""
        if not self.bytes_per_s:
            return CROSSING_S
        start = max(now, self.free_at)
        self.free_at = start + size / self.bytes_per_s
        return self.free_at - now + CROSSING_S


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
        pipe: Pipe,
    ) -> None:
        self.path = path
        self.model = model
        self.clock = clock
        self.pipe = pipe
        self.streams: list[Stream] = []
        self.factor = 1.0
        self.dead = False
        self.stall_s = 0.0
        self.preempted = 0
        self.tokens = 0
        # Time at which the slowest stage has read all prompts that it has.
        self.read_at = 0.0
        # Prompt tokens a second, as a mean over the last second.
        self.read_rate = 0.0
        self.read_rate_at = 0.0
        reads = [
            (last - first)
            / model.layers
            * model.cards[hop.card].read_factor
            / model.read_tokens_per_s
            for hop, (first, last) in zip(path.hops, path.ranges, strict=True)
        ]
        self.read_s = sum(reads)
        self.slowest_read_s = max(reads)
        self.crossings = sum(
            a.data_centre != b.data_centre
            for a, b in itertools.pairwise(path.hops)
        )

    def accepts(self, prompt: int) -> bool:
        """Returns whether a request has room now."""
        if len(self.streams) >= self.path.slots:
            return False
        if any(not s.held for s in self.streams):
            return False  # preempted streams go first
        return self.tokens + prompt <= self.path.tokens

    def start(self, stream: Stream) -> None:
        """Starts a stream."""
        self.streams.append(stream)
        if self.dead:
            self._break_off_later([stream])
        else:
            self._read(stream)

    def cancel(self, stream: Stream) -> None:
        """Takes a stream off, without a call of ``on_end``."""
        if stream in self.streams:
            self._remove(stream)

    def fail(self, stall_s: float) -> None:
        """Lets an engine of it fall silent; streams break off later."""
        self.dead = True
        self.stall_s = stall_s
        self._break_off_later(list(self.streams))

    def _break_off_later(self, waiting: list[Stream]) -> None:
        def break_off() -> None:
            for stream in waiting:
                if stream in self.streams:
                    self._remove(stream)
                    stream.on_end(False)

        self.clock.after(self.stall_s, break_off)

    def _read(self, stream: Stream) -> None:
        """Reads a prompt; stages work on the pieces of several at once."""
        self.tokens += stream.prompt
        stream.held = stream.prompt
        self._note_read(stream.prompt)
        now = self.clock.now
        start = max(now, self.read_at)
        slowest_s = stream.prompt * self.slowest_read_s * self.factor
        self.read_at = start + slowest_s
        piece = min(stream.prompt, CHUNK_TOKENS)
        rest_s = piece * (self.read_s - self.slowest_read_s) * self.factor
        done_s = start - now + slowest_s + rest_s
        for _ in range(self.crossings):
            size = stream.prompt * self.model.activation_bytes
            done_s += self.pipe.transfer_s(size, now)
        generation = stream.generation
        self.clock.after(done_s, lambda: self._next(stream, generation))

    def _next(self, stream: Stream, generation: int) -> None:
        """Plans the next event of a stream."""
        if stream.generation == generation:
            self.clock.after(
                self._event_s(), lambda: self._write(stream, generation)
            )

    def _write(self, stream: Stream, generation: int) -> None:
        """Writes one event."""
        if self.dead or stream.generation != generation:
            return
        size = min(STRIDE, stream.answer - stream.written)
        stream.written += size
        stream.held += size
        self.tokens += size
        stream.on_event()
        if stream not in self.streams:
            return
        if stream.written >= stream.answer:
            self._remove(stream)
            stream.on_end(True)
            return
        self._preempt()
        self._next(stream, generation)

    def _event_s(self) -> float:
        """Returns the time of an event of one stream.

        A step meets a pass in progress at each stage: half a pass of steps as
        often as the stage is busy with them, half a piece of a prompt as often
        as it is busy with these.
        """
        streams = len(self.streams)
        step_s = self.path.step_s + self.path.sequence_s * streams
        stages = len(self.path.hops)
        busy = min(1.0, streams / stages)
        reading = min(1.0, self._current_rate() * self.slowest_read_s)
        piece_s = CHUNK_TOKENS * self.read_s
        step_s = step_s * (1 + busy / 2) + reading * piece_s / 2
        if self.crossings:
            size = self.model.activation_bytes
            for _ in range(self.crossings):
                step_s += self.pipe.transfer_s(size, self.clock.now)
        return STRIDE * step_s * self.factor

    def _preempt(self) -> None:
        """Takes the memory of the newest streams when it runs out."""
        for stream in list(reversed(self.streams)):
            if self.tokens <= self.path.tokens:
                return
            if not stream.held:
                continue
            self.tokens -= stream.held
            stream.generation += 1
            # It reads again what it had read and written.
            stream.prompt += stream.written
            stream.answer -= stream.written
            stream.written = stream.held = 0
            self.preempted += 1

    def _resume(self) -> None:
        """Reads the oldest preempted streams that have room again."""
        for stream in self.streams:
            if stream.held:
                continue
            if self.tokens + stream.prompt > self.path.tokens:
                return
            self._read(stream)

    def _remove(self, stream: Stream) -> None:
        self.streams.remove(stream)
        self.tokens -= stream.held
        stream.generation += 1
        self._resume()

    def _note_read(self, tokens: int) -> None:
        self.read_rate = self._current_rate() + tokens / RATE_S
        self.read_rate_at = self.clock.now

    def _current_rate(self) -> float:
        passed_s = self.clock.now - self.read_rate_at
        return self.read_rate * math.exp(-passed_s / RATE_S)
