"""Assignment of claims to bucket objects, and how long claims are kept."""

from __future__ import annotations

import dataclasses
import hashlib
import math
import uuid

RETENTION_S = 7 * 86_400.0
# Maximum difference between the clocks of callers and instances.
CLOCK_MARGIN_S = 3_600.0
MAX_KEY_AHEAD_S = 600.0
OPAQUE_SHARD_COUNT = 1024
DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Scheme:
    """Distribution of keys with a time over buckets.

    It has to be the same on all instances. Short windows keep buckets small,
    so that each write carries few bytes; with few shards, many claims share a
    write.

    Attributes:
        window_s: Length of a window in seconds.
        shards: Number of buckets in one window.
    """

    window_s: float = 120.0
    shards: int = 64

    @property
    def windows(self) -> int:
        """Number of window names.

        A name is reused once everything in its window has expired. This bounds
        the number of objects without deleting any.
        """
        retained_s = RETENTION_S + CLOCK_MARGIN_S + MAX_KEY_AHEAD_S
        return math.ceil(retained_s / self.window_s) + 2


DEFAULT_SCHEME = Scheme()


@dataclasses.dataclass(frozen=True)
class Location:
    """Location of a claim.

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
    """A key that cannot be claimed; the call was not made.

    Attributes:
        message: Reason and remedy, for the caller.
    """

    message: str


def locate(
    service: str,
    account: str,
    key: str,
    unix_now: float,
    scheme: Scheme = DEFAULT_SCHEME,
) -> Location | RejectedKey:
    """Returns the location of the claim of a key.

    The claim of a key that carries its own time (UUID version 7) belongs to
    the window of that time, so that a bucket stays small however many claims
    are retained. A key older than the retention is rejected, because its claim
    may have expired.

    Args:
        service: Name of the service.
        account: Name of the client account.
        key: Idempotency key as the caller sent it.
        unix_now: Unix time in seconds.
        scheme: Distribution of keys with a time over buckets.

    Returns:
        The location, or why the key is rejected.
    """
    key_digest = hashlib.blake2b(
        "\0".join((service, account, key)).encode(),
        digest_size=DIGEST_BYTES,
    )
    shard_hash = int.from_bytes(key_digest.digest()[:4])
    key_unix = key_time(key)
    if key_unix is None:
        bucket = f"opaque-{shard_hash % OPAQUE_SHARD_COUNT:04d}"
        return Location(bucket, key_digest.hexdigest(), 0.0)
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
    bucket = f"window-{window:04d}-{shard_hash % scheme.shards:02d}"
    return Location(bucket, key_digest.hexdigest(), key_unix)


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
    # Any other spelling of the UUID is treated as an opaque key, because it
    # would be a different key with the same time.
    if parsed.version != 7 or str(parsed) != key.lower():
        return None
    return (parsed.int >> 80) / 1e3


def call_digest(method: str, target: str, body: bytes) -> str:
    """Returns a digest to detect reuse of a key for another call."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{method} {target}\0".encode())
    digest.update(body)
    return digest.hexdigest()
