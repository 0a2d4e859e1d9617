"""When an instance asks another for what it cannot read from the store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class SyncState:
    """How current an instance is on upstreams.

    Attributes:
        store_connected: Whether it hears changes from the store.
        has_upstreams: Whether it knows any upstream list at all.
    """

    store_connected: bool
    has_upstreams: bool


def should_pull(
    own: SyncState, other: SyncState, since_s: float, every_s: float
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

    >>> cut_off, fresh = SyncState(False, True), SyncState(False, False)
    >>> should_pull(cut_off, SyncState(True, True), 1.0, 0.5)
    True
    >>> should_pull(cut_off, cut_off, 1.0, 0.5)
    False
    >>> should_pull(fresh, cut_off, 1.0, 0.5)
    True
    """
    if own.store_connected or not other.has_upstreams or since_s < every_s:
        return False
    return other.store_connected or not own.has_upstreams
