"""Flow of one attempt through the stages of its route."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.generation import actions
from yuccatally.core.stages import messages

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

# A chunk of 128 tokens takes 10 to 20 ms on the engines measured, so that it
# delays the decode steps of other sequences by less than one token interval.
PREFILL_CHUNK_TOKENS = 128


class MalformedOutputError(Exception):
    """An engine returned another number of values than the step requires."""


@dataclasses.dataclass
class Lane:
    """What one stage has done, is doing and will do for an attempt.

    Attributes:
        hop: Engine and layers.
        done: Positions that the engine has confirmed.
        inbox: Positions and values that wait for the stage.
        outstanding: Item whose result is awaited; at most one, so that the
            position of the KV state is known as soon as it is None.
        importing: Whether the stage waits for an import of KV state.
    """

    hop: actions.Hop
    done: int = 0
    inbox: collections.deque[tuple[int, list[int]]] = dataclasses.field(
        default_factory=collections.deque
    )
    outstanding: messages.StepItem | None = None
    importing: bool = False


class Attempt:
    """One try on one route; chunks of a prefill overlap between stages.

    An item for a stage is made only from the output of the stage before it
    for the same positions, and each stage gets positions in order.

    Attributes:
        number: Attempt number, counted from 1.
        path: Engines and layers.
        length: Number of known values: prompt and tokens so far.
        lanes: State of each stage.
    """

    def __init__(
        self,
        job: actions.Job,
        number: int,
        path: actions.Path,
        known: Sequence[int],
        starts: Sequence[int],
    ) -> None:
        self.job = job
        self.number = number
        self.path = path
        self.length = len(known)
        self.lanes = [
            Lane(hop, done=start, importing=start > 0)
            for hop, start in zip(path.hops, starts, strict=True)
        ]
        self.lanes[0].inbox.extend(_chunks(known, starts))

    def begin(self) -> tuple[actions.Action, ...]:
        """Returns the first step of the prefill."""
        return tuple(self._pump(0))

    def feed(self, token: int) -> tuple[actions.Action, ...]:
        """Appends a token and returns its first step."""
        self.lanes[0].inbox.append((self.length, [token]))
        self.length += 1
        return tuple(self._pump(0))

    def stage_of(self, item: messages.StepItem) -> int | None:
        """Returns the stage that waits for an item's result, if one does."""
        for index, lane in enumerate(self.lanes):
            waiting = lane.outstanding
            if waiting is not None and _same_step(waiting, item):
                return index
        return None

    def on_output(
        self, stage: int, output: messages.StepOutput
    ) -> tuple[tuple[actions.Action, ...], int | None]:
        """Moves on with the next stage and the next chunk.

        Args:
            stage: Stage that answered its outstanding item.
            output: What the engine returned.

        Returns:
            Further steps, and the next token if this was the last stage of
            the last known position.

        Raises:
            MalformedOutputError: The number of values is wrong.
        """
        lane = self.lanes[stage]
        item = lane.outstanding
        assert item is not None
        width = len(item.values)
        if len(output.values) != (1 if item.final else width):
            raise MalformedOutputError(lane.hop.engine)
        lane.outstanding = None
        lane.done += width
        token = None
        if item.final:
            if lane.done == self.length:
                token = output.values[0]
        else:
            self._hand_on(stage + 1, item.position, list(output.values))
        steps = [*self._pump(stage)]
        if not item.final:
            steps += self._pump(stage + 1)
        return tuple(steps), token

    def on_imported(self, engine: str) -> tuple[actions.Action, ...]:
        """Lets a stage whose KV state was imported work."""
        steps: list[actions.Action] = []
        for index, lane in enumerate(self.lanes):
            if lane.importing and lane.hop.engine == engine:
                lane.importing = False
                steps += self._pump(index)
        return tuple(steps)

    def _hand_on(self, stage: int, position: int, values: list[int]) -> None:
        lane = self.lanes[stage]
        # The imported state of the next stage covers earlier positions.
        if position >= lane.done:
            lane.inbox.append((position, values))

    def _pump(self, stage: int) -> Iterator[actions.Action]:
        lane = self.lanes[stage]
        if lane.outstanding is not None or lane.importing or not lane.inbox:
            return
        position, values = lane.inbox.popleft()
        lane.outstanding = messages.StepItem(
            request=self.job.request,
            attempt=self.number,
            position=position,
            first_layer=lane.hop.first_layer,
            last_layer=lane.hop.last_layer,
            model=self.path.model,
            version=self.path.version,
            values=values,
            priority=self.job.step_priority,
            final=stage + 1 == len(self.lanes),
        )
        yield actions.SubmitStep(lane.hop.engine, lane.outstanding)


def _same_step(left: messages.StepItem, right: messages.StepItem) -> bool:
    return (
        left.attempt == right.attempt
        and left.position == right.position
        and left.first_layer == right.first_layer
        and left.last_layer == right.last_layer
    )


def _chunks(
    known: Sequence[int], starts: Sequence[int]
) -> Iterator[tuple[int, list[int]]]:
    """Cuts at the chunk size and where an imported state continues."""
    position = 0
    cuts = sorted({s for s in starts if s > 0})
    while position < len(known):
        end = min(position + PREFILL_CHUNK_TOKENS, len(known))
        end = min([end, *(c for c in cuts if c > position)])
        yield position, list(known[position:end])
        position = end
