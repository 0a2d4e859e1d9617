"""Headers of requests and answers on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import requests

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccatally.core.forwarding import dispatch

REQUEST_ID = "yuccatally-attempt-id"
DEADLINE_MS = "yuccatally-deadline-ms"
KEY = "api-key"
ACCOUNT = "yuccatally-tenant"
# Not a count: the engines of a path with their layers, in order.
PATH = "yuccatally-hop-count"
# Prompt tokens and the most output tokens, separated by a comma.
TOKEN_COUNTS = "yuccatally-token-count"
LENGTH_HINT = "yuccatally-length-hint"
EXPECTED_UPSTREAM = "yuccatally-expect-instance"
EXPECTED_VERSION = "yuccatally-expect-version"
PRIORITY = "yuccatally-request-priority"
# Engines know ranks from 0, the most urgent, to this one.
LEAST_URGENT = 9
NOT_EXECUTED = "yuccatally-not-executed"
# Address of the engine at fault in a refusal.
FAULTY_ADDRESS = "at-server"
LAST_EVENT_ID = "last-event-id"
# Signature of the upstream's answer.
SIGNATURE = "yuccatally-server-signature"

# Headers that clients must not set for an upstream.
_RESERVED = frozenset(
    {
        KEY,
        ACCOUNT,
        DEADLINE_MS,
        PATH,
        EXPECTED_UPSTREAM,
        EXPECTED_VERSION,
        PRIORITY,
        LAST_EVENT_ID,
    }
)

Headers = tuple[tuple[str, str], ...]


def decode_request(headers: Mapping[str, str]) -> requests.Request:
    """Decodes the headers of a request; bad numbers count as not stated.

    Args:
        headers: Headers by lower-case name.
    """
    prompt, _, most = headers.get(TOKEN_COUNTS, "").partition(",")
    wait_ms = _number(headers.get(DEADLINE_MS, ""))
    return requests.Request(
        id=headers.get(REQUEST_ID, ""),
        key=headers.get(KEY, ""),
        wait_s=None if wait_ms is None else wait_ms / 1e3,
        prompt_tokens=_number(prompt) or 0,
        most_tokens=_number(most) or 0,
        hint_tokens=_number(headers.get(LENGTH_HINT, "")) or 0,
        last_event_id=headers.get(LAST_EVENT_ID, ""),
    )


def build_upstream_headers(
    headers: Iterable[tuple[str, str]],
    account: str,
    priority: int,
    left_s: float,
    last_event_id: str,
    path: dispatch.Path,
) -> Headers:
    """Returns the headers for an upstream.

    Args:
        headers: End-to-end headers of the client.
        account: Client account; empty for none.
        priority: Rank of the request; 0 is the most urgent.
        left_s: Time left, in seconds.
        last_event_id: Event after which a stream goes on; empty for none.
        path: Upstreams that the request passes; only the first may run it.
    """
    kept = [(n, v) for n, v in headers if n.lower() not in _RESERVED]
    kept.append((DEADLINE_MS, str(max(1, int(left_s * 1e3)))))
    kept.append((EXPECTED_UPSTREAM, path.hops[0].name))
    if account:
        kept.append((ACCOUNT, account))
    if last_event_id:
        kept.append((LAST_EVENT_ID, last_event_id))
    if path.ranges:
        kept.append((PRIORITY, str(min(max(priority, 0), LEAST_URGENT))))
        kept.append((PATH, encode_path(path)))
    return tuple(kept)


def encode_path(path: dispatch.Path) -> str:
    """Returns a path as engines read it."""
    return ",".join(
        f"{hop.address}={first}-{last}"
        for hop, (first, last) in zip(path.hops, path.ranges, strict=True)
    )


def _number(text: str) -> int | None:
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        return None
    return int(text)
