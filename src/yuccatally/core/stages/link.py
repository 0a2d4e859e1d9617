"""Batching and supervision of the steps sent to one engine."""

from __future__ import annotations

import dataclasses

import sortedcontainers

from yuccatally.core.stages import messages

HEARTBEAT_INTERVAL_S = 0.25
HEARTBEAT_MISSES = 3
MAX_FRAMES_OUTSTANDING = 2
MAX_ITEMS_PER_FRAME = 256


@dataclasses.dataclass(frozen=True)
class Matched:
    """An output or refusal that belongs to an outstanding item."""

    item: messages.StepItem
    result: messages.StepOutput | messages.StepRefusal


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why the connection to an engine must be given up."""

    reason: str


_Key = tuple[str, int, int]


@dataclasses.dataclass
class _Frame:
    sent_at: float
    items: dict[_Key, messages.StepItem]


class StageLink:
    """Decides what is sent to one engine over one connection, and when.

    Attributes:
        engine: Name of the engine.
        dropped: Results that matched no outstanding item, counted.
    """

    def __init__(self, engine: str, now: float) -> None:
        self.engine = engine
        self.dropped = 0
        self.pending: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self.frames: dict[int, _Frame] = {}
        self.next_number = 1
        self.order = 0
        self.last_heard = now
        self.last_ping = now
        self.load = messages.Load(0, 0)
        self.load_at = now

    def submit(self, item: messages.StepItem) -> None:
        """Queues an item; urgent items leave first."""
        self.order += 1
        self.pending[(item.priority, self.order)] = item

    def withdraw(self, request: str) -> bool:
        """Removes the items of a request that were not sent yet.

        Returns:
            Whether any item was removed.
        """
        found = [k for k, i in self.pending.items() if i.request == request]
        for key in found:
            del self.pending[key]
        return bool(found)

    def next_frame(self, now: float) -> messages.Step | None:
        """Returns the next frame to send, None if it has to wait.

        The number of outstanding frames is bounded, so that items that become
        ready while the engine works share one frame.
        """
        if not self.pending or len(self.frames) >= MAX_FRAMES_OUTSTANDING:
            return None
        count = min(len(self.pending), MAX_ITEMS_PER_FRAME)
        items = [self.pending.popitem(0)[1] for _ in range(count)]
        number = self.next_number
        self.next_number += 1
        self.frames[number] = _Frame(now, {_key(i): i for i in items})
        return messages.Step(number, items)

    def on_result(
        self, result: messages.StepResult, now: float
    ) -> tuple[Matched, ...]:
        """Matches the results of a frame to what was sent.

        Args:
            result: Frame from the engine.
            now: Monotonic time in seconds.

        Returns:
            Results with their items; others are dropped and counted.
        """
        self.last_heard = now
        frame = self.frames.get(result.frame)
        if frame is None:
            self.dropped += len(result.outputs) + len(result.refusals)
            return ()
        matched = []
        for answer in (*result.outputs, *result.refusals):
            item = frame.items.pop(_key(answer), None)
            if item is None:
                self.dropped += 1
                continue
            matched.append(Matched(item, answer))
        if not frame.items:
            del self.frames[result.frame]
        return tuple(matched)

    def on_pong(self, pong: messages.Pong, now: float) -> None:
        """Records a heartbeat answer and the load it carries."""
        self.last_heard = now
        self.load = pong.load
        self.load_at = now - pong.load.age_s

    def on_tick(self, now: float) -> messages.Ping | Failure | None:
        """Returns a heartbeat that is due, or why the link has failed."""
        if now - self.last_heard > HEARTBEAT_INTERVAL_S * HEARTBEAT_MISSES:
            return Failure("no heartbeat answered")
        if now - self.last_ping >= HEARTBEAT_INTERVAL_S:
            self.last_ping = now
            return messages.Ping(int(now * 1000))
        return None

    @property
    def outstanding(self) -> int:
        """Items that wait or were sent without an answer yet."""
        return len(self.pending) + sum(
            len(f.items) for f in self.frames.values()
        )


def _key(
    item: messages.StepItem | messages.StepOutput | messages.StepRefusal,
) -> _Key:
    return (item.request, item.attempt, item.position)
