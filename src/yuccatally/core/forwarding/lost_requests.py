"""Requests that were lost before their first event, as evidence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import crash_evidence
from yuccatally.core.forwarding import marks as marks_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.core.forwarding import served_marks
    from yuccatally.core.forwarding import suspicions

    # First engine and marks of a lost request.
    Key = tuple[suspicions.Incarnation, tuple[str, ...]]

# Losses under which an engine has ended are remembered for this long.
HISTORY_S = 600.0
# Time in which the leader confirms that an engine has ended; it is longer when
# the leader was lost as well.
CONFIRM_S = 6.0
# Longest wait of a lost request for the fate of its engine. The leader's check
# and three heartbeats take half of it.
FATE_TIMEOUT_S = 0.6


class LostRequests:
    """Lost requests of all instances and the fate of their engines.

    Attributes:
        losses: Losses by first engine and marks, the oldest first.
        ended_at: Time at which this instance found out that an engine has
            ended, by engine.
        working: Engines that accepted a connection after a loss and are checked
            once more.
        has_news: Whether evidence was added since this was last cleared.
    """

    def __init__(self, served: served_marks.ServedMarks) -> None:
        self.served = served
        self.losses: dict[Key, crash_evidence.Loss] = {}
        self.ended_at: dict[suspicions.Incarnation, float] = {}
        self.working: set[suspicions.Incarnation] = set()
        self.has_news = False

    def record(self, key: Key, at: float, ended: bool) -> None:
        """Records a loss, or that its engine has ended."""
        ended = ended or key[0] in self.ended_at
        known = self.losses.get(key)
        if known is None:
            known = self.losses[key] = crash_evidence.Loss(at, False)
            if len(self.losses) > crash_evidence.MAX_LOSS_COUNT:
                del self.losses[next(iter(self.losses))]
        if ended and not known.ended:
            known.ended = True
            self.has_news = True

    def record_fate(
        self, engine: suspicions.Incarnation, has_ended: bool, now: float
    ) -> None:
        """Records whether an engine has ended.

        Requests that were lost with an engine that works are no evidence.
        """
        self.working.discard(engine)
        if not has_ended:
            self.losses = {
                key: loss
                for key, loss in self.losses.items()
                if key[0] != engine or loss.ended
            }
            return
        self.ended_at[engine] = now
        self.confirm(lambda e: e == engine)

    def confirm(
        self, is_ended: Callable[[suspicions.Incarnation], bool]
    ) -> None:
        """Marks the losses whose engines have ended."""
        for (engine, _), loss in self.losses.items():
            if not loss.ended and is_ended(engine):
                loss.ended = self.has_news = True

    def ended_under(self, mark: str) -> list[suspicions.Incarnation]:
        """Returns the engines that have ended with requests of a mark.

        Those of the latest losses are last.
        """
        ended = (
            engine
            for (engine, marks), loss in self.losses.items()
            if loss.ended and mark in marks
        )
        return list(dict.fromkeys(ended))

    def ended_since_served(self, mark: str) -> set[suspicions.Incarnation]:
        """Returns those that ended after a request was last served with it."""
        served_at = self.served.at(mark)
        return {
            engine
            for (engine, marks), loss in self.losses.items()
            if loss.ended and loss.at > served_at and mark in marks
        }

    def is_suspect(self, mark: str, now: float) -> bool:
        """Returns whether an engine may have ended under an unserved mark.

        It has ended, or its fate is not known yet.
        """
        served_at = self.served.at(mark)
        return any(
            loss.at > served_at
            and mark in marks
            and (loss.ended or now - loss.at < FATE_TIMEOUT_S)
            for (_, marks), loss in self.losses.items()
        )

    def suspect_fingerprints(self) -> dict[str, set[suspicions.Incarnation]]:
        """Returns the engines that ended under each unserved fingerprint."""
        suspects: dict[str, set[suspicions.Incarnation]] = {}
        for (engine, marks), loss in self.losses.items():
            found = marks_module.fingerprint_of(marks)
            if found and loss.ended and loss.at > self.served.at(found):
                suspects.setdefault(found, set()).add(engine)
        return suspects

    def is_sound(self, mark: str, engine: suspicions.Incarnation) -> bool:
        """Returns whether requests with a mark are served by other engines."""
        return mark in self.served and not (
            self.ended_since_served(mark) - {engine}
        )

    def is_exonerated(self, mark: str) -> bool:
        """Returns whether a mark was served after all ends of engines."""
        return bool(self.ended_under(mark)) and not self.ended_since_served(
            mark
        )

    def candidates(
        self, marks: tuple[str, ...], loss: crash_evidence.Loss
    ) -> list[str]:
        """Returns the marks of a lost request that may have ended its engine.

        Marks that requests were served with since are sound. Parts that were
        served before are less suspect than those that never were.
        """
        unserved = [m for m in marks if self.served.at(m) < loss.at]
        parts = marks_module.parts_of(tuple(unserved))
        never = [p for p in parts if p not in self.served]
        return [
            *(never or parts),
            *(m for m in unserved if marks_module.is_fingerprint(m)),
        ]

    def expire(self, now: float) -> None:
        """Removes losses that are no evidence any more."""
        self.losses = {
            key: loss
            for key, loss in self.losses.items()
            if now - loss.at < (HISTORY_S if loss.ended else CONFIRM_S)
        }
        self.ended_at = {
            e: at for e, at in self.ended_at.items() if now - at < CONFIRM_S
        }
