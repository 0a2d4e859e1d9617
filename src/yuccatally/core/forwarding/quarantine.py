"""Finds the parts of prompts that crash engines and quarantines them."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import prompt_evidence

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccatally.core.forwarding import suspicions

# A part that a request was served with in this time is sound unless engines
# end under it afterwards. Losses count as evidence for as long.
HISTORY_S = 600.0
# Served parts that are remembered, about 2 MB.
MAX_SERVED_COUNT = 10_000
# Time in which the leader confirms that an engine has ended; it is longer when
# the leader was lost as well.
CONFIRM_S = 6.0
# Time in which all instances have answered whether they served a part: a
# question and its answer pass two relays each.
ANSWER_S = 1.0
# Longest wait of a lost request for the fate of its engine. The leader's check
# and three heartbeats take half of it.
FATE_TIMEOUT_S = 0.6
# Engines that have to end under a part. One may end at any time with all its
# requests, but rarely two in a row under a part that nobody is served with.
MIN_ENDED_COUNT = 2
# Duration of the first quarantine of a part, and the longest; it doubles each
# time, as the engines may be repaired or the part may never be sound.
FIRST_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
# Losses are sent to other instances for this long, several times the time that
# they take to arrive.
SEND_LOSS_S = 10.0
# Ages are too low by the time that their message takes, at most this long.
# Served parts are newer only beyond it, or messages would renew them.
MAX_DELAY_S = 0.5
# Limits of a message and of the memory for losses: a crash loses a few requests
# that have no event yet.
MAX_SENT_COUNT = 24
MAX_LOSS_COUNT = 512


class Verdict(enum.Enum):
    """Whether a lost request may be sent to another engine."""

    REPEAT = enum.auto()
    WAIT = enum.auto()
    END = enum.auto()


class PromptQuarantine:
    """Compares lost requests of all instances with served ones.

    Load pattern: one request in fifty holds a part under which each engine ends
    that begins to answer it. The requests arrive at any instance and differ in
    all other parts, which sound requests hold as well. Each lost engine breaks
    a pipeline with dozens of streams, and sending the request to the next
    engine ends that one too. No instance sees more than one or two of them.

    Attributes:
        served_at: Time at which a request with a part was last served, by any
            instance that was asked, in the order of the times.
        losses: Losses by first engine and parts.
        quarantines: Present and past quarantines by part.
        total_count: Number of quarantines that this instance has begun or
            received.
    """

    def __init__(self) -> None:
        self.served_at: dict[str, float] = {}
        self.losses: dict[
            tuple[suspicions.Incarnation, tuple[str, ...]], prompt_evidence.Loss
        ] = {}
        self.quarantines: dict[str, prompt_evidence.Quarantine] = {}
        self.total_count = 0

    def record_served(self, parts: Iterable[str], now: float) -> None:
        """Records that an engine has begun to answer a request."""
        for part in parts:
            self._set_served(part, now)

    def record_loss(
        self,
        engine: suspicions.Incarnation,
        parts: tuple[str, ...],
        now: float,
    ) -> None:
        """Records a request that was lost before its first event."""
        if parts:
            self._set_loss((engine, parts), now, ended=False)

    def find_quarantined(self, parts: Iterable[str], now: float) -> str | None:
        """Returns a part that is in quarantine; None if there is none."""
        for part in parts:
            if self.remaining_s(part, now) > 0:
                return part
        return None

    def remaining_s(self, part: str, now: float) -> float:
        """Returns the time until the quarantine of a part ends, in seconds."""
        quarantine = self.quarantines.get(part)
        return max(0.0, quarantine.until - now) if quarantine else 0.0

    def judge_repeat(
        self,
        engine: suspicions.Incarnation,
        parts: tuple[str, ...],
        now: float,
    ) -> Verdict:
        """Returns whether a request that was lost may be sent again.

        A request whose parts others are served with is sent again at once. Any
        other one may have ended its engine, which shows after a moment.
        """
        if self.find_quarantined(parts, now) is not None:
            return Verdict.END
        if all(self._is_sound(part, engine) for part in parts):
            return Verdict.REPEAT
        loss = self.losses.get((engine, parts))
        if loss is not None and now - loss.at < FATE_TIMEOUT_S:
            return Verdict.WAIT
        return Verdict.END if loss and loss.ended else Verdict.REPEAT

    def update(
        self, is_ended: Callable[[suspicions.Incarnation], bool], now: float
    ) -> list[str]:
        """Evaluates all evidence; returns the parts that are quarantined anew.

        Args:
            is_ended: Returns whether an engine is known to have ended.
            now: Monotonic time in seconds.
        """
        self._expire(now)
        for (engine, _), loss in self.losses.items():
            loss.ended = loss.ended or is_ended(engine)
        for part, quarantine in self.quarantines.items():
            if self._is_exonerated(part):
                quarantine.until = min(quarantine.until, now)
        found = [p for p in self.quarantines if self._has_relapsed(p, now)]
        for part in found:
            self._quarantine(part, now)
        # A part explains the end of its engines, so that parts of requests
        # which were lost beside it need other evidence.
        for part, quarantine in self.quarantines.items():
            quarantine.add_engines(self._ended_under(part))
        while (part := self._most_suspect(self._explained(), now)) is not None:
            self._quarantine(part, now)
            self.quarantines[part].add_engines(self._ended_under(part))
            found.append(part)
        return found

    def evidence(self, now: float) -> prompt_evidence.Evidence | None:
        """Returns the evidence for other instances; None without any."""
        recent = self._telling_losses(now)
        active = [(p, q) for p, q in self.quarantines.items() if q.until > now][
            -MAX_SENT_COUNT:
        ]
        if not recent and not active:
            return None
        return prompt_evidence.Evidence(
            tuple(
                prompt_evidence.PromptLoss(
                    engine, parts, round(now - loss.at, 3), loss.ended
                )
                for (engine, parts), loss in recent
            ),
            {
                part: round(now - self.served_at[part], 3)
                for (_, parts), _ in recent
                for part in parts
                if part in self.served_at
            },
            tuple(
                prompt_evidence.QuarantinedPart(
                    p, round(q.until - now, 3), q.count, q.latest_engines
                )
                for p, q in active
            ),
        )

    def merge(
        self, evidence: prompt_evidence.Evidence, now: float
    ) -> list[str]:
        """Merges the evidence of another instance.

        Returns:
            Parts that are in quarantine from now on.
        """
        for part, age_s in evidence.served_ages_s.items():
            known_at = self.served_at.get(part, float("-inf"))
            if now - age_s > known_at + MAX_DELAY_S:
                self._set_served(part, now - age_s)
        for loss in evidence.losses:
            key = (loss.engine, loss.parts)
            self._set_loss(key, now - loss.age_s, loss.ended)
        added = []
        for received in evidence.quarantined:
            known = self.quarantines.get(received.part)
            # The remaining time is a little too long when it arrives, so that
            # instances which exchange it again would prolong it.
            if known is None or known.count < received.count:
                known = prompt_evidence.Quarantine(
                    now + received.left_s, received.count
                )
                self.quarantines[received.part] = known
                added.append(received.part)
            known.add_engines(received.engines)
        self.total_count += len(added)
        return added

    def _is_sound(self, part: str, engine: suspicions.Incarnation) -> bool:
        """Returns whether requests with a part are served by other engines."""
        served_at = self.served_at.get(part)
        if served_at is None:
            return False
        return not any(
            part in parts and other != engine and loss.ended
            for (other, parts), loss in self.losses.items()
            if loss.at > served_at
        )

    def _telling_losses(
        self, now: float
    ) -> list[
        tuple[
            tuple[suspicions.Incarnation, tuple[str, ...]], prompt_evidence.Loss
        ]
    ]:
        """Returns the recent losses that tell others most, as many as fit.

        Load pattern: an engine ends and loses more requests than fit, of which
        one is fatal. Its part is lost with one engine after the other, unlike
        the rare parts beside it. Losses that a quarantined part explains are
        told by the quarantine itself and come last.
        """
        explained = self._explained()
        recent = [
            (key, loss)
            for key, loss in self.losses.items()
            if now - loss.at < SEND_LOSS_S
        ]
        engines: dict[str, set[suspicions.Incarnation]] = {}
        for (engine, parts), loss in recent:
            if engine not in explained:
                for part in self._candidates(parts, loss):
                    engines.setdefault(part, set()).add(engine)
        # Stable, so that of equal ones the later losses are sent.
        recent.sort(
            key=lambda item: max(len(engines.get(p, ())) for p in item[0][1])
        )
        return recent[-MAX_SENT_COUNT:]

    def _explained(self) -> set[suspicions.Incarnation]:
        """Returns the engines that have ended under a quarantined part."""
        return {e for q in self.quarantines.values() for e in q.engines}

    def _ended_under(self, part: str) -> set[suspicions.Incarnation]:
        """Returns the engines that have ended with requests of a part."""
        return {
            engine
            for (engine, parts), loss in self.losses.items()
            if loss.ended and part in parts
        }

    def _is_exonerated(self, part: str) -> bool:
        """Returns whether a part was served after all ends of engines."""
        ended_at = [
            loss.at
            for (_, parts), loss in self.losses.items()
            if loss.ended and part in parts
        ]
        return bool(ended_at) and self.served_at.get(part, float("-inf")) > max(
            ended_at
        )

    def _has_relapsed(self, part: str, now: float) -> bool:
        """Returns whether an engine ended after the quarantine of a part."""
        until = self.quarantines[part].until
        return until <= now and any(
            loss.ended
            and loss.at > until
            and part in self._candidates(parts, loss)
            for (_, parts), loss in self.losses.items()
        )

    def _most_suspect(
        self, explained: set[suspicions.Incarnation], now: float
    ) -> str | None:
        """Returns the part under which most unexplained engines have ended."""
        ended: dict[str, set[suspicions.Incarnation]] = {}
        first_at: dict[str, float] = {}
        together: dict[str, set[str]] = {}
        order: collections.Counter[str] = collections.Counter()
        for (engine, parts), loss in self.losses.items():
            if not loss.ended:
                continue
            candidates = self._candidates(parts, loss)
            for part in candidates:
                first_at[part] = min(loss.at, first_at.get(part, loss.at))
                if engine in explained:
                    continue
                ended.setdefault(part, set()).add(engine)
                order[part] = max(order[part], parts.index(part))
                together[part] = together.get(part, set(candidates)) & set(
                    candidates
                )
        ready = [
            part
            for part, engines in ended.items()
            if now - first_at[part] >= ANSWER_S
            and len(engines) >= MIN_ENDED_COUNT
        ]
        if not ready:
            return None
        most = max(len(ended[p]) for p in ready)
        best = [p for p in ready if len(ended[p]) == most]
        # Of parts that only occur together, the later one is in fewer requests.
        best.sort(key=lambda p: (order[p], p))
        unrelated = any(p not in together[best[-1]] for p in best)
        if unrelated and most <= MIN_ENDED_COUNT:
            return None
        return best[-1]

    def _candidates(
        self, parts: tuple[str, ...], loss: prompt_evidence.Loss
    ) -> list[str]:
        """Returns the parts of a lost request that may have ended its engine.

        Parts that requests were served with since are sound. Parts that were
        served before are less suspect than those that never were.
        """
        unserved = [
            p for p in parts if self.served_at.get(p, float("-inf")) < loss.at
        ]
        never = [p for p in unserved if p not in self.served_at]
        return never or unserved

    def _quarantine(self, part: str, now: float) -> None:
        known = self.quarantines.setdefault(
            part, prompt_evidence.Quarantine(now, 0)
        )
        known.until = now + min(
            FIRST_QUARANTINE_S * 2**known.count, MAX_QUARANTINE_S
        )
        known.count += 1
        self.total_count += 1

    def _set_served(self, part: str, at: float) -> None:
        # Reinserted, so that the dict is in the order of the times.
        self.served_at.pop(part, None)
        self.served_at[part] = at
        if len(self.served_at) > MAX_SERVED_COUNT:
            del self.served_at[next(iter(self.served_at))]

    def _set_loss(
        self,
        key: tuple[suspicions.Incarnation, tuple[str, ...]],
        at: float,
        ended: bool,
    ) -> None:
        known = self.losses.get(key)
        if known is None:
            self.losses[key] = prompt_evidence.Loss(at, ended)
            if len(self.losses) > MAX_LOSS_COUNT:
                del self.losses[next(iter(self.losses))]
            return
        known.ended = known.ended or ended

    def _expire(self, now: float) -> None:
        self.losses = {
            key: loss
            for key, loss in self.losses.items()
            if now - loss.at < (HISTORY_S if loss.ended else CONFIRM_S)
        }
        while self.served_at:
            part = next(iter(self.served_at))
            if now - self.served_at[part] < HISTORY_S:
                break
            del self.served_at[part]
        self.quarantines = {
            part: quarantine
            for part, quarantine in self.quarantines.items()
            if now - quarantine.until < MAX_QUARANTINE_S
        }
