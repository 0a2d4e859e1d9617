"""Which routing rule covers a call."""

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
    """How a call is treated.

    Attributes:
        idempotent: Whether it may be sent again.
        timeout_s: Longest wait for the answer, in seconds.
    """

    idempotent: bool = False
    timeout_s: float = DEFAULT_TIMEOUT_S


def policy_for(
    rules: Iterable[specs.RoutingRuleSpec], method: str, path: str
) -> CallPolicy:
    """Returns what the rule with the longest matching prefix says.

    A call that no rule covers is not assumed to be idempotent.

    Args:
        rules: Rules of the service.
        method: HTTP method.
        path: Path below the service, percent-decoded.
    """
    covering = [
        r for r in rules if method in r.methods and covers(r.path_prefix, path)
    ]
    if not covering:
        return CallPolicy()
    best = max(covering, key=lambda r: len(r.path_prefix))
    return CallPolicy(best.idempotent, best.timeout_s)


def covers(prefix: str, path: str) -> bool:
    """Returns whether a prefix ends at a segment of the path.

    >>> covers("/stock", "/stock/lot-1"), covers("/stock", "/stock-orders")
    (True, False)
    """
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(f"{trimmed}/")


def is_ambiguous(raw_path: str) -> bool:
    """Returns whether services may read a path in another way than we do.

    A rule for ``/stock`` must not cover ``/stock/../orders``, which a service
    may resolve to a call that must not be repeated.

    >>> is_ambiguous("/stock/%2e%2e/orders"), is_ambiguous("/stock/a.b")
    (True, False)
    """
    decoded = urllib.parse.unquote(raw_path).replace("\\", "/")
    segments = decoded.split("/")
    return any(s in (".", "..") for s in segments) or "//" in decoded
