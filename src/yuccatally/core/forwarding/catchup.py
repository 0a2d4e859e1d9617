"""When an instance asks another for what it cannot read from the store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Reach:
    """How current an instance is on upstreams.

    Attributes:
        store_up: Whether it hears changes from the store.
        knows: Whether it knows any upstream list at all.
    """

    store_up: bool
    knows: bool


def should_ask(
    own: Reach, other: Reach, since_s: float, every_s: float
) -> bool:
    """Returns whether to ask another instance for its upstreams.

    Load pattern: the store turns a third of the instances away for seconds,
    and engines leave meanwhile. Those instances would send requests to engines
    that are gone until each of these has refused some. After an outage of the
    store for all, no instance knows more than another, except one that has
    just started and knows nothing.

    Args:
        own: This instance.
        other: The other instance.
        since_s: Time since the last question, in seconds.
        every_s: Least time between two questions, in seconds.

    >>> cut_off, fresh = Reach(False, True), Reach(False, False)
    >>> should_ask(cut_off, Reach(True, True), 1.0, 0.5)
    True
    >>> should_ask(cut_off, cut_off, 1.0, 0.5)
    False
    >>> should_ask(fresh, cut_off, 1.0, 0.5)
    True
    """
    if own.store_up or not other.knows or since_s < every_s:
        return False
    return other.store_up or not own.knows
