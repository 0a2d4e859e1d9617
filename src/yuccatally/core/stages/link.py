"""Batching and supervision of the steps sent to one engine."""

from __future__ import annotations

import dataclasses
import itertools

import sortedcontainers

from yuccatally.core.stages import messages
from yuccatally.core.stages import steptime

HEARTBEAT_INTERVAL_S = 0.25
HEARTBEAT_MISSES = 3
MAX_FRAMES_OUTSTANDING = 4
MAX_ITEMS_PER_FRAME = 256
# Longest prefill share of one frame: other sequences wait for it, and 76 ms
# between tokens must hold over all stages.
PREFILL_SHARE_S = 0.025
PREFILL_TOKENS_LOWEST = 64
PREFILL_TOKENS_HIGHEST = 4096
# Supervision that was not called for this long means that the own process was
# paused, which says nothing about the engine.
OWN_PAUSE_S = 0.3
# An engine may serve short items before long ones, so an item that was
# overtaken gets this much time.
OVERTAKEN_GRACE_S = 1.0
IDLE_REPORTS = 2


@dataclasses.dataclass(frozen=True)
class MatchedResult:
    """An output or refusal that belongs to an outstanding item."""

    item: messages.StepItem
    result: messages.StepOutput | messages.StepRefusal


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why the connection to an engine must be given up.

    Attributes:
        reason: What was seen.
        stalled: Whether the engine accepts connections but may not compute,
            so that it has to prove itself before it is used again.
    """

    reason: str
    stalled: bool = True


_Key = tuple[str, int, int]


@dataclasses.dataclass
class _Frame:
    sent_at: float
    items: dict[_Key, messages.StepItem]
    work: int
    overtaken_at: float | None = None


class StageLink:
    """Decides what is sent to one engine over one connection, and when.

    Attributes:
        engine: Name of the engine.
        times: Step time of the engine; outlives the connection.
        dropped: Results that matched no outstanding item, counted.
        pings: Time of each unanswered heartbeat by nonce.
        progress_at: When the engine last showed that it computes.
    """

    def __init__(
        self,
        engine: str,
        now: float,
        times: steptime.StepTime | None = None,
    ) -> None:
        self.engine = engine
        self.times = times or steptime.StepTime()
        self.unmatched_count = 0
        self.pending: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self.frames: dict[int, _Frame] = {}
        self.next_number = 1
        self.order = 0
        self.next_nonce = 1
        self.pings: dict[int, float] = {}
        self.last_ping = now - HEARTBEAT_INTERVAL_S
        self.last_tick = now
        self.progress_at = now
        self.steps = -1
        self.idle_reports = 0
        self.load = messages.LoadReport(0, 0)
        self.load_at = now

    def submit(self, item: messages.StepItem) -> None:
        """Queues an item; urgent items leave first, single tokens next.

        The prefill that is furthest along goes first: answers that share an
        engine then resume one after the other instead of all at the end.
        """
        self.order += 1
        width = len(item.values)
        rank = (width > 1, -item.position if width > 1 else 0)
        self.pending[(item.priority, *rank, self.order)] = item

    def withdraw(self, request: str, attempt: int) -> bool:
        """Removes the items of an attempt that were not sent yet.

        Returns:
            Whether any item was removed.
        """
        found = [
            k
            for k, i in self.pending.items()
            if (i.request, i.attempt) == (request, attempt)
        ]
        for key in found:
            del self.pending[key]
        return bool(found)

    def next_frame(self, now: float) -> messages.Step | None:
        """Returns the next frame to send, None if it has to wait.

        The number of outstanding frames is bounded, so that items that become
        ready while the engine works share one frame. Prefill takes a bounded
        share of a frame, and at least one chunk so that it is not starved.
        """
        if not self.pending or len(self.frames) >= MAX_FRAMES_OUTSTANDING:
            return None
        items = self._take()
        number = self.next_number
        self.next_number += 1
        work = sum(_work(i) for i in items)
        if not self.frames:
            self.progress_at = max(self.progress_at, now)
        self.frames[number] = _Frame(now, {_key(i): i for i in items}, work)
        self.idle_reports = 0
        return messages.Step(number, items)

    def on_result(
        self, result: messages.StepResult, now: float
    ) -> tuple[MatchedResult, ...]:
        """Matches the results of a frame to what was sent.

        Args:
            result: Frame from the engine.
            now: Monotonic time in seconds.

        Returns:
            Results with their items; others are dropped and counted.
        """
        frame = self.frames.get(result.frame)
        if frame is None:
            self.unmatched_count += len(result.outputs) + len(result.refusals)
            return ()
        matched = []
        for answer in (*result.outputs, *result.refusals):
            item = frame.items.pop(_key(answer), None)
            if item is None:
                self.unmatched_count += 1
                continue
            matched.append(MatchedResult(item, answer))
        if matched:
            self.progress_at = now
            self._mark_overtaken(result.frame, matched, now)
        if not frame.items:
            del self.frames[result.frame]
            if result.outputs:
                self.times.observe(frame.work, now - frame.sent_at)
        return tuple(matched)

    def on_pong(self, pong: messages.Pong, now: float) -> None:
        """Records a heartbeat answer and the load it carries."""
        sent_at = self.pings.get(pong.nonce)
        if sent_at is None:
            return
        for nonce in [n for n in self.pings if n <= pong.nonce]:
            del self.pings[nonce]
        self.load = pong.report
        self.load_at = now - pong.report.age_s
        if pong.report.steps > self.steps >= 0:
            self.progress_at = max(self.progress_at, self.load_at)
        self.steps = pong.report.steps
        self._count_idle(pong.report, sent_at)

    def on_tick(self, now: float) -> messages.Ping | Failure | None:
        """Returns a heartbeat that is due, or why the link has failed.

        Has to be called at intervals well below ``OWN_PAUSE_S``.
        """
        self._excuse_own_pause(now)
        failure = self._failure(now)
        if failure is not None:
            return failure
        if now - self.last_ping >= self._ping_interval(now):
            self.last_ping = now
            nonce = self.next_nonce
            self.next_nonce += 1
            self.pings[nonce] = now
            return messages.Ping(nonce)
        return None

    @property
    def outstanding(self) -> int:
        """Items that wait or were sent without an answer yet."""
        return len(self.pending) + sum(
            len(f.items) for f in self.frames.values()
        )

    def _take(self) -> list[messages.StepItem]:
        keys: list[tuple[int, bool, int, int]] = []
        left: int | None = None
        for key, item in self.pending.items():
            if len(keys) >= MAX_ITEMS_PER_FRAME:
                break
            width = len(item.values)
            if width > 1:
                if left is None:
                    left = max(self._prefill_tokens(item), width)
                if width > left:
                    continue
                left -= width
            keys.append(key)
        if left is None and len(keys) < len(self.pending):
            # Single tokens filled the frame; the oldest chunk joins them.
            keys += itertools.islice((k for k in self.pending if k[1]), 1)
        return [self.pending.pop(k) for k in keys]

    def _prefill_tokens(self, item: messages.StepItem) -> int:
        per_token_s = self.times.rate * (item.last_layer - item.first_layer)
        if per_token_s <= 0:
            return PREFILL_TOKENS_LOWEST
        tokens = int(PREFILL_SHARE_S / per_token_s)
        return min(max(tokens, PREFILL_TOKENS_LOWEST), PREFILL_TOKENS_HIGHEST)

    def _mark_overtaken(
        self, number: int, matched: list[MatchedResult], now: float
    ) -> None:
        least_urgent = max(m.item.priority for m in matched)
        for earlier, frame in self.frames.items():
            if earlier < number and frame.overtaken_at is None:
                urgent = min(i.priority for i in frame.items.values())
                if urgent <= least_urgent:
                    frame.overtaken_at = now

    def _count_idle(self, load: messages.LoadReport, sent_at: float) -> None:
        newest = max((f.sent_at for f in self.frames.values()), default=None)
        # Frames arrive in order, so an engine that is idle after a heartbeat
        # has answered everything that was sent before the heartbeat.
        if newest is None or load.queued or sent_at - load.age_s < newest:
            self.idle_reports = 0
        else:
            self.idle_reports += 1

    def _failure(self, now: float) -> Failure | None:
        oldest_ping = min(self.pings.values(), default=now)
        if now - oldest_ping > HEARTBEAT_INTERVAL_S * HEARTBEAT_MISSES:
            return Failure("no heartbeat answered")
        if not self.frames:
            return None
        if self.idle_reports >= IDLE_REPORTS:
            return Failure("idle without answering a step", stalled=False)
        if now - self.progress_at > self._stall_bound():
            return Failure("no progress on a step")
        for frame in self.frames.values():
            overtaken = frame.overtaken_at
            if overtaken is not None and now - overtaken > OVERTAKEN_GRACE_S:
                return Failure("answered later steps only", stalled=False)
        return None

    def _stall_bound(self) -> float:
        return self.times.bound(sum(f.work for f in self.frames.values()))

    def _ping_interval(self, now: float) -> float:
        if not self.frames:
            return HEARTBEAT_INTERVAL_S
        # A busy engine is told from a frozen one by the steps in its report,
        # so reports have to arrive before a step is overdue.
        waited_s = now - self.progress_at
        if waited_s < self._stall_bound() / 3:
            return HEARTBEAT_INTERVAL_S
        return min(HEARTBEAT_INTERVAL_S, self._stall_bound() / 4)

    def _excuse_own_pause(self, now: float) -> None:
        paused_s = now - self.last_tick
        self.last_tick = now
        if paused_s <= OWN_PAUSE_S:
            return
        self.progress_at += paused_s
        self.pings = {n: t + paused_s for n, t in self.pings.items()}
        for frame in self.frames.values():
            if frame.overtaken_at is not None:
                frame.overtaken_at += paused_s


def _work(item: messages.StepItem) -> int:
    return len(item.values) * (item.last_layer - item.first_layer)


def _key(
    item: messages.StepItem | messages.StepOutput | messages.StepRefusal,
) -> _Key:
    return (item.request, item.attempt, item.position)
