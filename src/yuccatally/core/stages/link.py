"""Batching and supervision of the steps sent to one engine."""

from __future__ import annotations

import dataclasses
import itertools

import sortedcontainers

from yuccatally.core.stages import messages
from yuccatally.core.stages import steptime

HEARTBEAT_INTERVAL_S = 0.25
HEARTBEAT_MISSES_COUNT = 3
MAX_FRAMES_COUNT = 4
MAX_ITEMS_PER_FRAME = 256
# Maximum prefill time in one frame. Other sequences wait for it, and their
# interval between tokens must stay within 76 ms over all stages.
PREFILL_SHARE_S = 0.025
MIN_PREFILL_TOKENS = 64
MAX_PREFILL_TOKENS = 4096
# A longer interval between ticks means that this process was paused, which is
# no evidence against the engine.
MIN_OWN_PAUSE_S = 0.3
# An engine may serve short items before long ones, so an overtaken item gets
# this much time before the link fails.
OVERTAKEN_GRACE_S = 1.0
IDLE_REPORTS_COUNT = 2


@dataclasses.dataclass(frozen=True)
class MatchedResult:
    """An output or refusal of an outstanding item."""

    item: messages.StepItem
    result: messages.StepOutput | messages.StepRefusal


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why the connection to an engine must be closed.

    Attributes:
        reason: Observed symptom.
        stalled: Whether the engine accepts connections but may not compute,
            so that it is probed before it is used again.
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
    """Schedules the frames of one connection to an engine and supervises it.

    Attributes:
        engine: Name of the engine.
        step_time: Step time of the engine; outlives the connection.
        unmatched_count: Number of results without an outstanding item.
        pings: Time of each unanswered heartbeat, by nonce.
        progress_at: Time of the last evidence that the engine computes.
    """

    def __init__(
        self,
        engine: str,
        now: float,
        step_time: steptime.StepTime | None = None,
    ) -> None:
        self.engine = engine
        self.step_time = step_time or steptime.StepTime()
        self.unmatched_count = 0
        self.pending: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self.frames: dict[int, _Frame] = {}
        self.next_frame_number = 1
        self.last_order = 0
        self.next_nonce = 1
        self.pings: dict[int, float] = {}
        self.last_ping_at = now - HEARTBEAT_INTERVAL_S
        self.last_tick_at = now
        self.progress_at = now
        self.reported_steps = -1
        self.idle_reports = 0
        self.load_report = messages.LoadReport(0, 0)
        self.load_report_at = now

    def submit(self, item: messages.StepItem) -> None:
        """Queues an item; urgent items are sent first, single tokens next.

        Among prefills, the one with the highest position is sent first, so
        that answers on the same engine resume one after the other instead of
        all at the end.
        """
        self.last_order += 1
        width = len(item.values)
        rank = (width > 1, -item.position if width > 1 else 0)
        self.pending[(item.priority, *rank, self.last_order)] = item

    def withdraw(self, request: str, attempt: int) -> bool:
        """Removes the queued items of an attempt that were not sent yet.

        Returns:
            Whether any item was removed.
        """
        removed_keys = [
            k
            for k, i in self.pending.items()
            if (i.request, i.attempt) == (request, attempt)
        ]
        for key in removed_keys:
            del self.pending[key]
        return bool(removed_keys)

    def next_frame(self, now: float) -> messages.Step | None:
        """Returns the next frame to send, None if nothing can be sent now.

        The number of outstanding frames is bounded, so that items that become
        ready while the engine works share one frame. The prefill time in a
        frame is bounded too, but includes at least one chunk so that prefills
        are not starved.
        """
        if not self.pending or len(self.frames) >= MAX_FRAMES_COUNT:
            return None
        items = self._select_items()
        number = self.next_frame_number
        self.next_frame_number += 1
        work = sum(_work(i) for i in items)
        if not self.frames:
            self.progress_at = max(self.progress_at, now)
        self.frames[number] = _Frame(now, {_key(i): i for i in items}, work)
        self.idle_reports = 0
        return messages.Step(number, items)

    def on_result(
        self, result: messages.StepResult, now: float
    ) -> tuple[MatchedResult, ...]:
        """Matches the results of a frame with its items.

        Args:
            result: Frame from the engine.
            now: Monotonic time in seconds.

        Returns:
            Results with their items; unmatched results are dropped and
            counted.
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
                self.step_time.record(frame.work, now - frame.sent_at)
        return tuple(matched)

    def on_pong(self, pong: messages.Pong, now: float) -> None:
        """Records a heartbeat reply and the load report in it."""
        sent_at = self.pings.get(pong.nonce)
        if sent_at is None:
            return
        for nonce in [n for n in self.pings if n <= pong.nonce]:
            del self.pings[nonce]
        self.load_report = pong.report
        self.load_report_at = now - pong.report.age_s
        if pong.report.steps > self.reported_steps >= 0:
            self.progress_at = max(self.progress_at, self.load_report_at)
        self.reported_steps = pong.report.steps
        self._count_idle(pong.report, sent_at)

    def on_tick(self, now: float) -> messages.Ping | Failure | None:
        """Returns a heartbeat that is due, or why the link has failed.

        Must be called at intervals well below ``MIN_OWN_PAUSE_S``.
        """
        self._discount_own_pause(now)
        failure = self._detect_failure(now)
        if failure is not None:
            return failure
        if now - self.last_ping_at >= self._ping_interval(now):
            self.last_ping_at = now
            nonce = self.next_nonce
            self.next_nonce += 1
            self.pings[nonce] = now
            return messages.Ping(nonce)
        return None

    @property
    def outstanding(self) -> int:
        """Number of items that are queued or sent without a result yet."""
        return len(self.pending) + sum(
            len(f.items) for f in self.frames.values()
        )

    def _select_items(self) -> list[messages.StepItem]:
        keys: list[tuple[int, bool, int, int]] = []
        remaining_tokens: int | None = None
        for key, item in self.pending.items():
            if len(keys) >= MAX_ITEMS_PER_FRAME:
                break
            width = len(item.values)
            if width > 1:
                if remaining_tokens is None:
                    remaining_tokens = max(self._prefill_tokens(item), width)
                if width > remaining_tokens:
                    continue
                remaining_tokens -= width
            keys.append(key)
        if remaining_tokens is None and len(keys) < len(self.pending):
            # Single tokens filled the frame; the first chunk is added to them.
            keys += itertools.islice((k for k in self.pending if k[1]), 1)
        return [self.pending.pop(k) for k in keys]

    def _prefill_tokens(self, item: messages.StepItem) -> int:
        per_token_s = self.step_time.unit_s * (
            item.last_layer - item.first_layer
        )
        if per_token_s <= 0:
            return MIN_PREFILL_TOKENS
        tokens = int(PREFILL_SHARE_S / per_token_s)
        return min(max(tokens, MIN_PREFILL_TOKENS), MAX_PREFILL_TOKENS)

    def _mark_overtaken(
        self, number: int, matched: list[MatchedResult], now: float
    ) -> None:
        least_urgent = max(m.item.priority for m in matched)
        for earlier_number, frame in self.frames.items():
            if earlier_number < number and frame.overtaken_at is None:
                most_urgent = min(i.priority for i in frame.items.values())
                if most_urgent <= least_urgent:
                    frame.overtaken_at = now

    def _count_idle(
        self, load_report: messages.LoadReport, sent_at: float
    ) -> None:
        newest_sent_at = max(
            (f.sent_at for f in self.frames.values()), default=None
        )
        # Frames arrive in order, so an engine that is idle after a heartbeat
        # has answered all frames sent before the heartbeat.
        if (
            newest_sent_at is None
            or load_report.queued
            or sent_at - load_report.age_s < newest_sent_at
        ):
            self.idle_reports = 0
        else:
            self.idle_reports += 1

    def _detect_failure(self, now: float) -> Failure | None:
        oldest_ping = min(self.pings.values(), default=now)
        if now - oldest_ping > HEARTBEAT_INTERVAL_S * HEARTBEAT_MISSES_COUNT:
            return Failure("no heartbeat answered")
        if not self.frames:
            return None
        if self.idle_reports >= IDLE_REPORTS_COUNT:
            return Failure("idle without answering a step", stalled=False)
        if now - self.progress_at > self._stall_timeout_s():
            return Failure("no progress on a step")
        for frame in self.frames.values():
            overtaken = frame.overtaken_at
            if overtaken is not None and now - overtaken > OVERTAKEN_GRACE_S:
                return Failure("answered later steps only", stalled=False)
        return None

    def _stall_timeout_s(self) -> float:
        return self.step_time.stall_timeout_s(
            sum(f.work for f in self.frames.values())
        )

    def _ping_interval(self, now: float) -> float:
        if not self.frames:
            return HEARTBEAT_INTERVAL_S
        # The step count in its reports distinguishes a busy engine from a
        # frozen one, so a report must arrive before a step is overdue.
        waited_s = now - self.progress_at
        if waited_s < self._stall_timeout_s() / 3:
            return HEARTBEAT_INTERVAL_S
        return min(HEARTBEAT_INTERVAL_S, self._stall_timeout_s() / 4)

    def _discount_own_pause(self, now: float) -> None:
        paused_s = now - self.last_tick_at
        self.last_tick_at = now
        if paused_s <= MIN_OWN_PAUSE_S:
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
