"""Matching of calls to the routing rules of a service."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
import urllib.parse

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.objects import specs

DEFAULT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class CallPolicy:
    """Retry and timeout policy of a call.

    Attributes:
        idempotent: Whether the call may be sent again.
        timeout_s: Maximum time to wait for the answer, in seconds.
    """

    idempotent: bool = False
    timeout_s: float = DEFAULT_TIMEOUT_S


def policy_for(
    rules: Iterable[specs.RoutingRuleSpec], method: str, path: str
) -> CallPolicy:
    """Returns the policy of the matching rule with the longest prefix.

    A call that no rule matches is not assumed to be idempotent.

    Args:
        rules: Rules of the service.
        method: HTTP method.
        path: Path below the service, percent-decoded.
    """
    matching = [
        r
        for r in rules
        if method in r.methods and prefix_matches(r.path_prefix, path)
    ]
    if not matching:
        return CallPolicy()
    best = max(matching, key=lambda r: len(r.path_prefix))
    return CallPolicy(best.idempotent, best.timeout_s)


def prefix_matches(prefix: str, path: str) -> bool:
    """Returns whether a path starts with all segments of a prefix.

    >>> [prefix_matches("/stock", p) for p in ("/stock/lot-1", "/stock-orders")]
    [True, False]
    """
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(f"{trimmed}/")


def is_ambiguous(raw_path: str) -> bool:
    """Returns whether a service may resolve a path to a different one.

    A rule for ``/stock`` must not match ``/stock/../orders``, which a service
    may resolve to a call that must not be repeated.

    >>> is_ambiguous("/stock/%2e%2e/orders"), is_ambiguous("/stock/a.b")
    (True, False)
    """
    decoded = urllib.parse.unquote(raw_path).replace("\\", "/")
    segments = decoded.split("/")
    return any(s in (".", "..") for s in segments) or "//" in decoded
