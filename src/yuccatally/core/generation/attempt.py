"""Scheduling of one attempt over the stages of its path."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.generation import actions
from yuccatally.core.stages import messages

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

# A chunk of 128 tokens takes 10 to 20 ms, so it delays the decode steps of
# other sequences by less than one token interval.
PREFILL_CHUNK_TOKENS = 128


class MalformedOutputError(Exception):
    """An engine returned a wrong number of values for a step."""


@dataclasses.dataclass
class StageProgress:
    """Confirmed, outstanding and queued work of one stage of an attempt.

    Attributes:
        hop: Engine and layers.
        confirmed: Number of positions that the engine has confirmed.
        queue: Positions and values that wait for the stage.
        outstanding: Item without a result yet; at most one, so that the
            position of the KV state is known whenever this is None.
        importing: Whether the stage waits for an import of KV state.
    """

    hop: actions.Hop
    confirmed: int = 0
    queue: collections.deque[tuple[int, list[int]]] = dataclasses.field(
        default_factory=collections.deque
    )
    outstanding: messages.StepItem | None = None
    importing: bool = False


class Attempt:
    """One attempt on one path; stages process chunks of a prefill in parallel.

    An item for a stage is created only from the output of the previous stage
    for the same positions, and each stage receives positions in order.

    Attributes:
        number: Attempt number, counted from 1.
        path: Engines and layers of the stages.
        length: Number of prompt tokens and tokens generated so far.
        stages: Progress of each stage.
    """

    def __init__(
        self,
        job: actions.Job,
        number: int,
        path: actions.Path,
        tokens: Sequence[int],
        start_positions: Sequence[int],
    ) -> None:
        self.job = job
        self.number = number
        self.path = path
        self.length = len(tokens)
        self.stages = [
            StageProgress(hop, confirmed=start, importing=start > 0)
            for hop, start in zip(path.hops, start_positions, strict=True)
        ]
        self.stages[0].queue.extend(_split_chunks(tokens, start_positions))

    def start(self) -> tuple[actions.Action, ...]:
        """Returns the first step of the prefill."""
        return tuple(self._submit_next(0))

    def append_token(self, token: int) -> tuple[actions.Action, ...]:
        """Appends a token and returns its first step."""
        self.stages[0].queue.append((self.length, [token]))
        self.length += 1
        return tuple(self._submit_next(0))

    def stage_of(self, item: messages.StepItem) -> int | None:
        """Returns the stage that waits for the result of an item, if any."""
        for index, progress in enumerate(self.stages):
            outstanding = progress.outstanding
            if outstanding is not None and _same_step(outstanding, item):
                return index
        return None

    def on_output(
        self, stage: int, output: messages.StepOutput
    ) -> tuple[tuple[actions.Action, ...], int | None]:
        """Submits the output to the next stage and the next chunk to this one.

        Args:
            stage: Stage whose outstanding item has a result.
            output: Output of the engine.

        Returns:
            Further steps, and the next token if this was the last stage of
            the last position.

        Raises:
            MalformedOutputError: The number of values is wrong.
        """
        progress = self.stages[stage]
        item = progress.outstanding
        assert item is not None
        width = len(item.values)
        if len(output.values) != (1 if item.final else width):
            raise MalformedOutputError(progress.hop.engine)
        progress.outstanding = None
        progress.confirmed += width
        token = None
        if item.final:
            if progress.confirmed == self.length:
                token = output.values[0]
        else:
            self._queue_output(stage + 1, item.position, list(output.values))
        steps = [*self._submit_next(stage)]
        if not item.final:
            steps += self._submit_next(stage + 1)
        return tuple(steps), token

    def resume_after_import(self, engine: str) -> tuple[actions.Action, ...]:
        """Resumes the stages of an engine whose KV state was imported."""
        steps: list[actions.Action] = []
        for index, progress in enumerate(self.stages):
            if progress.importing and progress.hop.engine == engine:
                progress.importing = False
                steps += self._submit_next(index)
        return tuple(steps)

    def _queue_output(
        self, stage: int, position: int, values: list[int]
    ) -> None:
        progress = self.stages[stage]
        # The imported state of the next stage covers earlier positions.
        if position >= progress.confirmed:
            progress.queue.append((position, values))

    def _submit_next(self, stage: int) -> Iterator[actions.Action]:
        progress = self.stages[stage]
        if (
            progress.outstanding is not None
            or progress.importing
            or not progress.queue
        ):
            return
        position, values = progress.queue.popleft()
        progress.outstanding = messages.StepItem(
            request=self.job.request,
            attempt=self.number,
            position=position,
            first_layer=progress.hop.first_layer,
            last_layer=progress.hop.last_layer,
            model=self.path.model,
            version=self.path.version,
            values=values,
            priority=self.job.step_priority,
            final=stage + 1 == len(self.stages),
        )
        yield actions.SubmitStep(progress.hop.engine, progress.outstanding)


def _same_step(left: messages.StepItem, right: messages.StepItem) -> bool:
    return (
        left.attempt == right.attempt
        and left.position == right.position
        and left.first_layer == right.first_layer
        and left.last_layer == right.last_layer
    )


def _split_chunks(
    tokens: Sequence[int], start_positions: Sequence[int]
) -> Iterator[tuple[int, list[int]]]:
    """Splits at the chunk size and at the positions of imported states."""
    position = 0
    cuts = sorted({s for s in start_positions if s > 0})
    while position < len(tokens):
        end = min(position + PREFILL_CHUNK_TOKENS, len(tokens))
        end = min([end, *(c for c in cuts if c > position)])
        yield position, list(tokens[position:end])
        position = end
