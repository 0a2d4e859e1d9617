"""Chooses the evidence on crashed engines that other instances are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import crash_evidence

if TYPE_CHECKING:
    from yuccatally.core.forwarding import lost_requests
    from yuccatally.core.forwarding import suspicions

    Losses = list[tuple[lost_requests.Key, crash_evidence.Loss]]
    Quarantines = dict[str, crash_evidence.Quarantine]

# Losses are sent to other instances for this long, several times the time that
# they take to arrive.
SEND_LOSS_S = 10.0
# Limit of losses and of quarantines in a message.
MAX_SENT_COUNT = 24
# Engines in a message for all marks together, some 24 bytes each.
MAX_SENT_ENGINE_COUNT = 256


def prepare(
    lost: lost_requests.LostRequests, quarantines: Quarantines, now: float
) -> crash_evidence.Evidence | None:
    """Returns the evidence for other instances; None without any.

    Args:
        lost: All lost requests.
        quarantines: Present and past quarantines by mark.
        now: Monotonic time in seconds.
    """
    recent = _telling_losses(lost, quarantines, now)
    active = [(m, q) for m, q in quarantines.items() if q.until > now][
        -MAX_SENT_COUNT:
    ]
    if not recent and not active:
        return None
    engine_count = MAX_SENT_ENGINE_COUNT // max(1, len(active))
    told_marks = {
        *(mark for (_, marks), _ in recent for mark in marks),
        *(mark for mark, _ in active),
    }
    return crash_evidence.Evidence(
        tuple(
            crash_evidence.LostRequest(
                engine, marks, round(now - loss.at, 3), loss.ended
            )
            for (engine, marks), loss in recent
        ),
        {
            mark: round(now - lost.served.at(mark), 3)
            for mark in told_marks
            if mark in lost.served
        },
        tuple(
            crash_evidence.QuarantinedMark(
                m,
                round(q.until - now, 3),
                q.count,
                q.latest_engines(engine_count),
            )
            for m, q in active
        ),
    )


def _telling_losses(
    lost: lost_requests.LostRequests, quarantines: Quarantines, now: float
) -> Losses:
    """Returns the recent losses that tell others most, as many as fit.

    Load pattern: an engine ends and loses more requests than fit, of which one
    is fatal. Its marks are lost with one engine after the other, unlike the
    rare marks beside it. Losses that a quarantined mark explains are told by
    the quarantine itself and come last.
    """
    explained = crash_evidence.explained(quarantines.values())
    recent = [
        (key, loss)
        for key, loss in lost.losses.items()
        if now - loss.at < SEND_LOSS_S
    ]
    engines: dict[str, set[suspicions.Incarnation]] = {}
    for (engine, marks), loss in recent:
        if engine not in explained:
            for mark in lost.candidates(marks, loss):
                engines.setdefault(mark, set()).add(engine)
    # Stable, so that of equal ones the later losses are sent.
    recent.sort(
        key=lambda item: max(len(engines.get(m, ())) for m in item[0][1])
    )
    return recent[-MAX_SENT_COUNT:]
