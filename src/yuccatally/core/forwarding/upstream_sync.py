"""Decides when an instance pulls upstreams from a peer instead of the store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class SyncState:
    """How current the upstreams of an instance are.

    Attributes:
        store_connected: Whether it receives changes from the store.
        has_upstreams: Whether it has any list of upstreams.
    """

    store_connected: bool
    has_upstreams: bool


def should_pull(
    own: SyncState, peer: SyncState, since_last_pull_s: float, interval_s: float
) -> bool:
    """Returns whether to pull the upstreams of a peer.

    Load pattern: the store rejects a third of the instances for seconds, and
    engines leave meanwhile. These instances would send requests to engines
    that have left until each engine has refused some. During an outage of the
    store for all, no instance has newer upstreams than another, except that
    one which has just started has none.

    Args:
        own: State of this instance.
        peer: State of the other instance.
        since_last_pull_s: Time since the last pull, in seconds.
        interval_s: Minimum time between two pulls, in seconds.

    >>> cut_off, fresh = SyncState(False, True), SyncState(False, False)
    >>> should_pull(cut_off, SyncState(True, True), 1.0, 0.5)
    True
    >>> should_pull(cut_off, cut_off, 1.0, 0.5)
    False
    >>> should_pull(fresh, cut_off, 1.0, 0.5)
    True
    """
    if (
        own.store_connected
        or not peer.has_upstreams
        or since_last_pull_s < interval_s
    ):
        return False
    return peer.store_connected or not own.has_upstreams
