"""Which bucket object keeps the claim of a key, and for how long."""

from __future__ import annotations

import dataclasses
import hashlib
import math
import uuid

RETENTION_S = 7 * 86_400.0
# Clocks of callers and instances may differ by this much.
CLOCK_MARGIN_S = 3_600.0
MAX_KEY_AHEAD_S = 600.0
OPAQUE_SHARDS = 1024
DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Scheme:
    """How keys with a time spread over buckets; equal on all instances.

    Short windows keep buckets small, so each write carries few bytes; few
    shards let many claims share a write.

    Attributes:
        window_s: Length of a window in seconds.
        shards: Buckets of one window.
    """

    window_s: float = 120.0
    shards: int = 64

    @property
    def windows(self) -> int:
        """Names of windows.

        A name is used again once everything in its window has expired, which
        bounds the number of objects without a deletion ever being needed.
        """
        used_s = RETENTION_S + CLOCK_MARGIN_S + MAX_KEY_AHEAD_S
        return math.ceil(used_s / self.window_s) + 2


DEFAULT_SCHEME = Scheme()


@dataclasses.dataclass(frozen=True)
class Location:
    """Where a claim is kept.

    Attributes:
        bucket: Name of the bucket object.
        key: Digest of service, account and key; the name within the bucket.
        key_unix: Unix time in seconds that the key carries; 0 if it has none.
    """

    bucket: str
    key: str
    key_unix: float


@dataclasses.dataclass(frozen=True)
class RejectedKey:
    """A key that cannot be claimed; the call was not made."""

    message: str


def locate(
    service: str,
    account: str,
    key: str,
    unix_now: float,
    scheme: Scheme = DEFAULT_SCHEME,
) -> Location | RejectedKey:
    """Returns where the claim of a key is kept.

    A key that carries its own time (UUID version 7) is kept in a window of
    that time, so a bucket stays small however many claims are retained. The
    claim of an older key may have expired, therefore the key is refused.

    Args:
        service: Name of the service.
        account: Name of the client account.
        key: Idempotency key as the caller sent it.
        unix_now: Unix time in seconds.
        scheme: How keys with a time spread over buckets.

    Returns:
        The place, or why the key is refused.
    """
    name = hashlib.blake2b(
        "\0".join((service, account, key)).encode(),
        digest_size=DIGEST_BYTES,
    )
    number = int.from_bytes(name.digest()[:4])
    key_unix = key_time(key)
    if key_unix is None:
        bucket = f"opaque-{number % OPAQUE_SHARDS:04d}"
        return Location(bucket, name.hexdigest(), 0.0)
    if key_unix < unix_now - RETENTION_S:
        days = RETENTION_S / 86_400
        return RejectedKey(
            f"the Idempotency-Key is older than {days:.0f} days, so its claim "
            "may have expired; check with the service whether the call ran"
        )
    if key_unix > unix_now + MAX_KEY_AHEAD_S:
        return RejectedKey(
            "the time in the Idempotency-Key is ahead of the clock; correct "
            "the caller's clock and use a new key"
        )
    window = int(key_unix // scheme.window_s) % scheme.windows
    bucket = f"window-{window:04d}-{number % scheme.shards:02d}"
    return Location(bucket, name.hexdigest(), key_unix)


def key_time(key: str) -> float | None:
    """Returns the Unix time in a UUID version 7, None for any other key.

    >>> key_time("01890a5d-ac96-774b-bcce-b302099a8057")
    1688096058.518
    >>> key_time("order-17") is None
    True
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    # Other spellings of one UUID would be different keys with the same time.
    if parsed.version != 7 or str(parsed) != key.lower():
        return None
    return (parsed.int >> 80) / 1e3


def call_digest(method: str, target: str, body: bytes) -> str:
    """Returns a digest by which reuse of a key for another call is found."""
    found = hashlib.blake2b(digest_size=DIGEST_BYTES)
    found.update(f"{method} {target}\0".encode())
    found.update(body)
    return found.hexdigest()
