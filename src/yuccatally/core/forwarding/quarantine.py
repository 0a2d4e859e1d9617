"""Finds the requests that crash engines and quarantines them."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import crash_evidence
from yuccatally.core.forwarding import evidence_messages
from yuccatally.core.forwarding import lost_requests
from yuccatally.core.forwarding import marks as marks_module
from yuccatally.core.forwarding import served_marks
from yuccatally.core.forwarding import suspect_parts

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccatally.core.forwarding import suspicions

# Duration of the first quarantine of a mark, and the longest; it doubles each
# time, as the engines may be repaired or the mark may never be sound.
FIRST_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
# Enough for any first duration. Other instances send the count of a mark, and a
# large power of two has no float.
MAX_DOUBLING_COUNT = 16
# Duration of the first quarantine of a mark that may be sound, as it was served
# before, or as other fingerprints were lost with the same engines. Lost engines
# are replaced in half of that, so that one more end harms little.
DOUBTFUL_QUARANTINE_S = 6.0
# Ages are too low by the time that their message takes, at most this long.
# Served marks are newer only beyond it, or messages would renew them.
MAX_DELAY_S = 0.5
# Messages share the same evidence for this long, far below MAX_DELAY_S.
PREPARED_TTL_S = 0.02
NEVER_PREPARED = float("-inf")


class Verdict(enum.Enum):
    """Whether a lost request may be sent to another engine."""

    REPEAT = enum.auto()
    WAIT = enum.auto()
    END = enum.auto()


class RequestQuarantine:
    """Compares lost requests of all instances with served ones.

    Load patterns:

    - One request in fifty holds a part under which each engine ends that begins
      to answer it. The requests arrive at any instance and differ in all other
      parts, which sound requests hold as well.
    - One request ends each engine that begins to run it. It is repeated at any
      instance, and all its parts are sound.

    Each lost engine breaks a pipeline with dozens of streams, or takes a third
    of a plain service, and sending the request to the next engine ends that one
    too. No instance sees more than one or two of these requests.

    Attributes:
        served: Times at which marks were last served, by any instance that was
            asked.
        lost: Requests that were lost before their first event.
        quarantines: Present and past quarantines by mark.
        total_count: Number of quarantines that this instance has begun or
            received.
        prepared: Evidence as last returned by ``evidence``.
        prepared_at: Time at which it was prepared.
    """

    def __init__(self) -> None:
        self.served = served_marks.ServedMarks()
        self.lost = lost_requests.LostRequests(self.served)
        self.quarantines: dict[str, crash_evidence.Quarantine] = {}
        self.total_count = 0
        self.prepared: crash_evidence.Evidence | None = None
        self.prepared_at = NEVER_PREPARED

    def record_served(self, marks: Iterable[str], now: float) -> None:
        """Records that an engine has begun to answer a request."""
        self.served.record(marks, now)

    def record_loss(
        self,
        engine: suspicions.Incarnation,
        marks: tuple[str, ...],
        now: float,
    ) -> None:
        """Records a request that was lost before its first event."""
        if marks:
            self.lost.record((engine, marks), now, ended=False)

    def record_fate(
        self, engine: suspicions.Incarnation, has_ended: bool, now: float
    ) -> None:
        """Records whether an engine that lost requests has ended."""
        self.lost.record_fate(engine, has_ended, now)

    def record_working(self, engine: suspicions.Incarnation) -> None:
        """Records that an engine seems to work.

        Its requests are sent again, and remain evidence until ``record_fate``.
        """
        self.lost.working.add(engine)

    @property
    def has_news(self) -> bool:
        """Whether evidence was added that ``take_news`` has not returned."""
        return self.lost.has_news

    def take_news(self) -> bool:
        """Returns whether there is evidence to be passed on at once."""
        had_news, self.lost.has_news = self.lost.has_news, False
        if had_news:
            self.prepared_at = NEVER_PREPARED
        return had_news

    def has_ended(self, engine: suspicions.Incarnation) -> bool:
        """Returns whether this instance has found out that an engine ended."""
        return engine in self.lost.ended_at

    def find_quarantined(self, marks: Iterable[str], now: float) -> str | None:
        """Returns a mark that is in quarantine; None if there is none."""
        for mark in marks:
            if self.remaining_s(mark, now) > 0:
                return mark
        return None

    def remaining_s(self, mark: str, now: float) -> float:
        """Returns the time until the quarantine of a mark ends, in seconds."""
        quarantine = self.quarantines.get(mark)
        return max(0.0, quarantine.until - now) if quarantine else 0.0

    def find_suspect(self, marks: tuple[str, ...], now: float) -> str:
        """Returns a mark that may be fatal and is not in quarantine.

        Engines have ended, or may have ended, under the same request, or the
        quarantine of a part is over. Nobody was served with the mark since, and
        it may be sound all the same.

        Returns:
            The mark; empty if there is none.
        """
        for mark in marks:
            is_released = mark in self.quarantines
            if (
                is_released or marks_module.is_fingerprint(mark)
            ) and self.lost.is_suspect(mark, now):
                return mark
        return ""

    def judge_repeat(
        self,
        engine: suspicions.Incarnation,
        marks: tuple[str, ...],
        now: float,
    ) -> Verdict:
        """Returns whether a request that was lost may be sent again.

        A request whose marks others are served with is sent again at once. Any
        other one may have ended its engine, which shows after a moment. If all
        of its parts are sound, it is tried once more, as most requests that
        are lost with an engine have not caused its end.
        """
        if self.find_quarantined(marks, now) is not None:
            return Verdict.END
        unsound = [m for m in marks if not self.lost.is_sound(m, engine)]
        loss = self.lost.losses.get((engine, marks))
        if not unsound or loss is None or engine in self.lost.working:
            return Verdict.REPEAT
        if not loss.ended:
            is_recent = now - loss.at < lost_requests.FATE_TIMEOUT_S
            return Verdict.WAIT if is_recent else Verdict.REPEAT
        if any(
            not marks_module.is_fingerprint(m)
            or self.lost.ended_since_served(m) - {engine}
            for m in unsound
        ):
            return Verdict.END
        return Verdict.REPEAT

    def update(
        self, is_ended: Callable[[suspicions.Incarnation], bool], now: float
    ) -> list[str]:
        """Evaluates all evidence; returns the marks that are quarantined anew.

        Load pattern: all engines of a model lose power while they read prompts
        that share a part, and are back within seconds. Requests with that part
        are refused until one of them is tried again and served.

        Args:
            is_ended: Returns whether an engine is known to have ended.
            now: Monotonic time in seconds.
        """
        self._expire(now)
        self.lost.confirm(is_ended)
        for mark, quarantine in self.quarantines.items():
            if self.lost.is_exonerated(mark):
                quarantine.until = min(quarantine.until, now)
                quarantine.is_released = True
        # A mark explains the end of its engines, so that requests which were
        # lost beside it need other evidence.
        for mark, quarantine in self.quarantines.items():
            quarantine.add_engines(self.lost.ended_under(mark))
        found = [m for m in self.quarantines if self._has_relapsed(m, now)]
        for mark in found:
            self._quarantine(mark, now)
        for fingerprint, first_s in self._fatal_fingerprints().items():
            self._quarantine(fingerprint, now, first_s)
            found.append(fingerprint)
        while (part := self._most_suspect_part(now)) is not None:
            if part in found:
                break  # its quarantine explains nothing more
            is_doubtful = part in self.served
            self._quarantine(
                part,
                now,
                DOUBTFUL_QUARANTINE_S if is_doubtful else FIRST_QUARANTINE_S,
            )
            found.append(part)
        return found

    def discard_losses(self) -> None:
        """Discards all evidence; quarantines remain."""
        self.lost = lost_requests.LostRequests(self.served)
        self.prepared_at = NEVER_PREPARED

    def evidence(self, now: float) -> crash_evidence.Evidence | None:
        """Returns the evidence for other instances; None without any.

        Load pattern: a relay sends and answers hundreds of messages a second
        while it knows hundreds of losses. They share what it has prepared.
        """
        if self.has_news or now - self.prepared_at >= PREPARED_TTL_S:
            self.prepared = evidence_messages.prepare(
                self.lost, self.quarantines, now
            )
            self.prepared_at = now
        return self.prepared

    def merge(self, evidence: crash_evidence.Evidence, now: float) -> list[str]:
        """Merges the evidence of another instance.

        Returns:
            Marks that are in quarantine from now on.
        """
        for mark, age_s in evidence.served_ages_s.items():
            if now - age_s > self.served.at(mark) + MAX_DELAY_S:
                self.served.record((mark,), now - age_s)
        for loss in evidence.losses:
            key = (loss.engine, loss.marks)
            self.lost.record(key, now - loss.age_s, loss.ended)
        added = []
        for received in evidence.quarantined:
            known = self.quarantines.get(received.mark)
            # The remaining time is a little too long when it arrives, so that
            # instances which exchange it again would prolong it.
            if known is None or known.count < received.count:
                known = crash_evidence.Quarantine(
                    now + received.left_s, received.count
                )
                self.quarantines[received.mark] = known
                added.append(received.mark)
            known.add_engines(received.engines)
        self.total_count += len(added)
        return added

    def _has_relapsed(self, mark: str, now: float) -> bool:
        """Returns whether an engine ended after the quarantine of a mark."""
        quarantine = self.quarantines[mark]
        if quarantine.is_released:
            return False
        until = quarantine.until
        return until <= now and any(
            loss.ended
            and loss.at > until
            and mark in self.lost.candidates(marks, loss)
            for (_, marks), loss in self.lost.losses.items()
        )

    def _fatal_fingerprints(self) -> dict[str, float]:
        """Returns the fingerprints under which enough engines have ended.

        They need no answers of other instances: a fingerprint concerns repeats
        of one request only, and is released as soon as one of them is served.

        Load pattern: a fatal request ends two engines, each with several sound
        requests. Some of these were tried again at the same engine and were
        lost twice as well.

        Returns:
            Duration of the first quarantine in seconds, by fingerprint.
        """
        explained = crash_evidence.explained(self.quarantines.values())
        suspects = {
            fingerprint: frozenset(engines - explained)
            for fingerprint, engines in self.lost.suspect_fingerprints().items()
        }
        equal_count = collections.Counter(suspects.values())
        return {
            fingerprint: (
                FIRST_QUARANTINE_S
                if equal_count[engines] == 1 and fingerprint not in self.served
                else DOUBTFUL_QUARANTINE_S
            )
            for fingerprint, engines in suspects.items()
            if len(engines) >= suspect_parts.MIN_ENDED_COUNT
        }

    def _most_suspect_part(self, now: float) -> str | None:
        explained = self._explained(of_fingerprints=False)
        # Engines that have ended under repeats of one request.
        repeated = self._explained(of_fingerprints=True)
        return suspect_parts.most_suspect(
            self.lost, explained, repeated - explained, now
        )

    def _explained(self, of_fingerprints: bool) -> set[suspicions.Incarnation]:
        """Returns the engines that fingerprints explain, or that parts do."""
        return crash_evidence.explained(
            q
            for m, q in self.quarantines.items()
            if marks_module.is_fingerprint(m) == of_fingerprints
        )

    def _quarantine(
        self, mark: str, now: float, first_s: float = FIRST_QUARANTINE_S
    ) -> None:
        known = self.quarantines.setdefault(
            mark, crash_evidence.Quarantine(now, 0)
        )
        doublings = min(known.count, MAX_DOUBLING_COUNT)
        known.until = now + min(first_s * 2**doublings, MAX_QUARANTINE_S)
        known.count += 1
        known.is_released = False
        self.prepared_at = NEVER_PREPARED
        known.add_engines(self.lost.ended_under(mark))
        self.total_count += 1

    def _expire(self, now: float) -> None:
        self.lost.expire(now)
        self.served.expire(now)
        self.quarantines = {
            mark: quarantine
            for mark, quarantine in self.quarantines.items()
            if now - quarantine.until < MAX_QUARANTINE_S
        }
