"""Claims that make calls with an idempotency key run at most once.

A claim is never taken over by another request. An instance that is paused
between claim and call is therefore still the only one that may send, and no
fencing number is needed.
"""

from __future__ import annotations

import dataclasses
import enum

import msgspec
import xxhash

BUCKETS = 64
RETENTION_S = 7 * 86_400.0
MAX_BODY_BYTES = 2048


class ClaimState(enum.StrEnum):
    """How far the call of a claim has come."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class Claim(msgspec.Struct, frozen=True):
    """The right of one request to make the call with a key.

    Attributes:
        request: Id of the request that holds the claim.
        digest: Digest of method, path and body, to detect reuse of a key.
        state: How far the call has come.
        at: Unix time of the last change, in seconds.
        status: HTTP status of the answer once done.
        content_type: Media type of the answer.
        body: Answer, kept if at most ``MAX_BODY_BYTES`` long.
    """

    request: str
    digest: str
    state: ClaimState
    at: float
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class Bucket(msgspec.Struct, frozen=True):
    """All claims whose keys share a hash bucket."""

    claims: dict[str, Claim] = {}


@dataclasses.dataclass(frozen=True)
class Take:
    """Ask for a claim."""

    key: str
    request: str
    digest: str


@dataclasses.dataclass(frozen=True)
class Settle:
    """Record the answer of the call."""

    key: str
    request: str
    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class Release:
    """Give a claim back because the call was certainly not made."""

    key: str
    request: str


@dataclasses.dataclass(frozen=True)
class Won:
    """The request holds the claim."""

    request: str


@dataclasses.dataclass(frozen=True)
class Held:
    """Another request holds the claim; its call may have run."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Replay:
    """The call was made before; this is its answer."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Mismatch:
    """The key was used for a different call."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Recorded:
    """A settlement or release is part of the bucket."""


Change = Take | Settle | Release
Verdict = Won | Held | Replay | Mismatch | Recorded


def bucket_of(service: str, key: str) -> str:
    """Returns the name of the object that keeps the claim of a key."""
    number = xxhash.xxh64_intdigest(f"{service}\0{key}".encode()) % BUCKETS
    return f"bucket-{number:02d}"


def digest_of(method: str, path: str, body: bytes) -> str:
    """Returns a digest by which reuse of a key for another call is found."""
    return xxhash.xxh128_hexdigest(
        b"\0".join((f"{method} {path}".encode(), body))
    )


def merge(
    bucket: Bucket, changes: list[Change], unix_now: float
) -> tuple[Bucket, list[Verdict]]:
    """Applies changes to the state that the platform holds.

    Applying the same changes again gives the same verdicts, so that a write
    whose reply was lost can be repeated on what is read back.

    Args:
        bucket: Content of the bucket as read from the platform.
        changes: Changes in order of arrival.
        unix_now: Unix time in seconds.

    Returns:
        The new content, equal to the old one if nothing has to be written,
        and a verdict for each change.
    """
    claims = {
        key: claim
        for key, claim in bucket.claims.items()
        if unix_now - claim.at < RETENTION_S
    }
    verdicts = [_apply(claims, change, unix_now) for change in changes]
    return Bucket(claims), verdicts


def _apply(
    claims: dict[str, Claim], change: Change, unix_now: float
) -> Verdict:
    current = claims.get(change.key)
    match change:
        case Take():
            return _take(claims, change, current, unix_now)
        case Settle():
            if current is not None and current.request == change.request:
                claims[change.key] = _settled(current, change, unix_now)
            return Recorded()
        case Release():
            if current is not None and current.request == change.request:
                claims[change.key] = msgspec.structs.replace(
                    current, state=ClaimState.RELEASED
                )
            return Recorded()


def _take(
    claims: dict[str, Claim],
    change: Take,
    current: Claim | None,
    unix_now: float,
) -> Verdict:
    if current is None or current.state is ClaimState.RELEASED:
        claims[change.key] = Claim(
            change.request, change.digest, ClaimState.CLAIMED, unix_now
        )
        return Won(change.request)
    if current.request == change.request:
        return Won(change.request)
    if current.digest != change.digest:
        return Mismatch(current)
    if current.state is ClaimState.DONE:
        return Replay(current)
    return Held(current)


def _settled(current: Claim, change: Settle, unix_now: float) -> Claim:
    if current.state is ClaimState.DONE:
        return current
    kept = len(change.body) <= MAX_BODY_BYTES
    return msgspec.structs.replace(
        current,
        state=ClaimState.DONE,
        at=unix_now,
        status=change.status,
        content_type=change.content_type,
        body=change.body if kept else None,
    )
