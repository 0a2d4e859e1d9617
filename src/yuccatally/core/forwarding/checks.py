"""Decides what checks of engines that time out say about the engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.forwarding import suspicions

# Checks that time out within this period are taken together.
TIMEOUT_WINDOW_S = 1.0
# So many engines seldom fail within a second, while a slow link or event loop
# of the checking instance lets all of its checks time out.
MASS_TIMEOUT_COUNT = 5
# Engines that are asked for comparison; one of them may have failed as well.
COMPARISON_COUNT = 3


class TimeoutHistory:
    """Latest checks that timed out.

    Load pattern: the link of the leader carries the lists of a whole data
    centre for a second, and the reports of all engines that it checks arrive
    late. If it took them for failed, it would plan without most engines, and
    the plans and lists that follow would keep its link busy.

    Attributes:
        timed_out_at: Monotonic time of the last timeout in seconds, by engine.
    """

    def __init__(self) -> None:
        self.timed_out_at: dict[suspicions.Incarnation, float] = {}

    def record(self, engine: suspicions.Incarnation, now: float) -> None:
        """Records that a check of an engine has timed out."""
        self.timed_out_at = {
            e: at
            for e, at in self.timed_out_at.items()
            if now - at < TIMEOUT_WINDOW_S
        }
        self.timed_out_at[engine] = now

    def needs_comparison(self, now: float) -> bool:
        """Returns whether the checking instance itself may be at fault."""
        recent = sum(
            now - at < TIMEOUT_WINDOW_S for at in self.timed_out_at.values()
        )
        return recent >= MASS_TIMEOUT_COUNT


def comparison_engines(
    seed: str,
    usable: Iterable[suspicions.Incarnation],
    silent: Iterable[suspicions.Incarnation],
) -> list[suspicions.Incarnation]:
    """Returns engines that are expected to answer a check.

    Args:
        seed: Varies the choice, so that the same engines are not always asked.
        usable: Engines in use.
        silent: Engines that did not answer a check.
    """
    excluded = set(silent)
    by_name = {e.name: e for e in usable if e not in excluded}
    names = rendezvous.ranked(seed, list(by_name), COMPARISON_COUNT)
    return [by_name[n] for n in names]
