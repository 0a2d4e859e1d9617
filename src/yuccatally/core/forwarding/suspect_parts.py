"""Compares lost requests to find the parts of prompts that crash engines."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import marks as marks_module

if TYPE_CHECKING:
    from yuccatally.core.forwarding import lost_requests
    from yuccatally.core.forwarding import suspicions

# Time in which all instances have answered whether they served a part. The
# question is sent at once, and the answer takes three heartbeats.
ANSWER_S = 0.6
# Engines that have to end under a mark. One may end at any time with all its
# requests, but rarely two in a row under a mark that nobody is served with.
MIN_ENDED_COUNT = 2


def most_suspect(
    lost: lost_requests.LostRequests,
    explained: set[suspicions.Incarnation],
    repeated: set[suspicions.Incarnation],
    now: float,
) -> str | None:
    """Returns the part under which most unexplained engines have ended.

    Args:
        lost: All lost requests.
        explained: Engines that another part explains.
        repeated: Engines that repeats of one request explain. They count only
            beside others, unless nobody was ever served with the part: it is
            then as likely to be fatal as the request.
        now: Monotonic time in seconds.
    """
    ended: dict[str, set[suspicions.Incarnation]] = {}
    first_at: dict[str, float] = {}
    together: dict[str, set[str]] = {}
    order: collections.Counter[str] = collections.Counter()
    for (engine, marks), loss in lost.losses.items():
        if not loss.ended:
            continue
        parts = marks_module.parts_of(tuple(lost.candidates(marks, loss)))
        for part in parts:
            first_at[part] = min(loss.at, first_at.get(part, loss.at))
            if engine in explained:
                continue
            ended.setdefault(part, set()).add(engine)
            order[part] = max(order[part], marks.index(part))
            together[part] = together.get(part, set(parts)) & set(parts)
    ready = [
        part
        for part, engines in ended.items()
        if now - first_at[part] >= ANSWER_S
        and len(engines) >= MIN_ENDED_COUNT
        and (engines - repeated or part not in lost.served)
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
