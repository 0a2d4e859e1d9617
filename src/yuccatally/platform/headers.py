"""Headers of requests and responses on the platform."""

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
# Despite its name not a count: the engines of a path with their layers, in
# order.
PATH = "yuccatally-hop-count"
# Number of prompt tokens and maximum of output tokens, separated by a comma.
TOKEN_COUNTS = "yuccatally-token-count"
# Despite its name no hash of a prefix: the parts of the prompt in order, each
# as ``ID:TOKENS``, separated by commas.
PROMPT_PARTS = "yuccatally-prefix-hash"
LENGTH_HINT = "yuccatally-length-hint"
EXPECTED_UPSTREAM = "yuccatally-expect-instance"
EXPECTED_VERSION = "yuccatally-expect-version"
PRIORITY = "yuccatally-request-priority"
# Longer ids and further parts are ignored, so that a client cannot fill memory
# with them.
MAX_PART_ID_CHARS = 64
MAX_PART_COUNT = 64
# Engines accept priorities from 0, the most urgent, to this one.
LEAST_URGENT = 9
NOT_EXECUTED = "yuccatally-not-executed"
# Address of the engine that a refusal blames.
FAULTY_ADDRESS = "at-server"
LAST_EVENT_ID = "last-event-id"
# Signature of the upstream's response.
SIGNATURE = "yuccatally-server-signature"

# Headers that are never forwarded from a client to an upstream.
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
    """Decodes the headers of a request; invalid numbers count as missing.

    Args:
        headers: Headers by lower-case name.
    """
    prompt, _, most_output = headers.get(TOKEN_COUNTS, "").partition(",")
    deadline_ms = _parse_number(headers.get(DEADLINE_MS, ""))
    return requests.Request(
        id=headers.get(REQUEST_ID, ""),
        key=headers.get(KEY, ""),
        wait_s=None if deadline_ms is None else deadline_ms / 1e3,
        prompt_tokens=_parse_number(prompt) or 0,
        max_answer_tokens=_parse_number(most_output) or 0,
        estimated_answer_tokens=_parse_number(headers.get(LENGTH_HINT, ""))
        or 0,
        last_event_id=headers.get(LAST_EVENT_ID, ""),
        shared_parts=_decode_shared_parts(headers.get(PROMPT_PARTS, "")),
    )


def build_upstream_headers(
    headers: Iterable[tuple[str, str]],
    account: str,
    priority: int,
    remaining_s: float,
    last_event_id: str,
    path: dispatch.Path,
) -> Headers:
    """Returns the headers of the request to an upstream.

    Args:
        headers: End-to-end headers of the client.
        account: Client account; empty for none.
        priority: Priority of the request; 0 is the most urgent.
        remaining_s: Time until the deadline, in seconds.
        last_event_id: Event after which a stream resumes; empty for none.
        path: Upstreams that the request passes; no upstream but the first may
            execute it.
    """
    outgoing = [(n, v) for n, v in headers if n.lower() not in _RESERVED]
    outgoing.append((DEADLINE_MS, str(max(1, int(remaining_s * 1e3)))))
    outgoing.append((EXPECTED_UPSTREAM, path.hops[0].name))
    if account:
        outgoing.append((ACCOUNT, account))
    if last_event_id:
        outgoing.append((LAST_EVENT_ID, last_event_id))
    if path.ranges:
        outgoing.append((PRIORITY, str(min(max(priority, 0), LEAST_URGENT))))
        outgoing.append((PATH, encode_path(path)))
    return tuple(outgoing)


def encode_path(path: dispatch.Path) -> str:
    """Returns a path in the format that engines parse.

    The format is ``ADDRESS=FIRST-LAST`` for each engine, separated by commas;
    LAST is exclusive.
    """
    return ",".join(
        f"{hop.address}={first}-{last}"
        for hop, (first, last) in zip(path.hops, path.ranges, strict=True)
    )


def _decode_shared_parts(text: str) -> tuple[str, ...]:
    """Returns the ids of all parts but the last; each id once.

    >>> _decode_shared_parts("5c1e:800,91bd:410,5c1e:7,e440:250")
    ('5c1e', '91bd')
    """
    ids = [p.partition(":")[0].strip().lower() for p in text.split(",")]
    shared = [i for i in ids[:-1] if 0 < len(i) <= MAX_PART_ID_CHARS]
    return tuple(dict.fromkeys(shared[:MAX_PART_COUNT]))


def _parse_number(text: str) -> int | None:
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        return None
    return int(text)
