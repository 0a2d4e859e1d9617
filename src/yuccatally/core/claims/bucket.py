"""Content of a bucket object and how changes are merged into it."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from yuccatally.core.claims import layout

MAX_KEPT_BYTES = 2048
# The platform takes values of 1 MB; the rest is left for the envelope.
MAX_BUCKET_BYTES = 900_000
CLAIM_BYTES = 260  # encoded claim without its answer, rounded up
RELEASED_KEPT_S = 3_600.0


class ClaimState(enum.StrEnum):
    """How far the call of a claim has come."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class Reply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer of a call.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers in order.
        body: Body; None if the answer is too long to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None

    @property
    def size_bytes(self) -> int:
        """Encoded length in bytes, estimated."""
        headers = sum(len(n) + len(v) + 8 for n, v in self.headers)
        return headers + len(self.body or b"") * 4 // 3

    def kept(self) -> Reply:
        """Returns what a bucket keeps of the answer."""
        if self.size_bytes <= MAX_KEPT_BYTES:
            return self
        return Reply(self.status)


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """The right of one request to make the call with a key.

    Attributes:
        request: Id of the request that holds the claim.
        digest: Digest of the call, to detect reuse of a key.
        state: How far the call has come.
        at: Unix time of the last change, in seconds.
        reply: Answer once done.
    """

    request: str
    digest: str
    state: ClaimState
    at: float
    reply: Reply | None = None

    @property
    def size_bytes(self) -> int:
        """Encoded length in bytes, estimated."""
        return CLAIM_BYTES + (self.reply.size_bytes if self.reply else 0)


class Bucket(msgspec.Struct, frozen=True):
    """All claims that share a bucket, by digest of their key."""

    claims: dict[str, Claim] = {}

    @property
    def size_bytes(self) -> int:
        """Encoded length in bytes, estimated."""
        return sum(c.size_bytes for c in self.claims.values())


@dataclasses.dataclass(frozen=True)
class Acquire:
    """Ask for a claim."""

    key: str
    request: str
    digest: str
    key_unix: float = 0.0


@dataclasses.dataclass(frozen=True)
class Settle:
    """Record the answer of the call."""

    key: str
    request: str
    digest: str
    reply: Reply


@dataclasses.dataclass(frozen=True)
class Release:
    """Give a claim back because the call was certainly not made.

    Attributes:
        key: Digest of the key.
        request: Request that holds the claim or tried to take it.
    """

    key: str
    request: str


@dataclasses.dataclass(frozen=True)
class Won:
    """The request holds the claim."""


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
class Full:
    """The bucket has no room for another claim."""


@dataclasses.dataclass(frozen=True)
class GaveUp:
    """The platform did not take the change in time; the call is not made."""


@dataclasses.dataclass(frozen=True)
class Recorded:
    """A settlement or release is part of the bucket."""


Change = Acquire | Settle | Release
Verdict = Won | Held | Replay | Mismatch | Full | GaveUp | Recorded


@dataclasses.dataclass(frozen=True)
class Merged:
    """Result of a merge.

    Attributes:
        bucket: New content.
        verdicts: One for each change, valid once the content is stored.
        dirty: Whether the content has to be written.
    """

    bucket: Bucket
    verdicts: tuple[Verdict, ...]
    dirty: bool


def merge(
    bucket: Bucket, changes: tuple[Change, ...], unix_now: float
) -> Merged:
    """Applies changes to the content that the platform holds.

    Applying the same changes again gives the same verdicts, so that a write
    whose reply was lost can be repeated on what is read back.

    Args:
        bucket: Content as read from the platform.
        changes: Changes in order of arrival.
        unix_now: Unix time in seconds.

    Returns:
        New content, verdicts, and whether a write is needed.
    """
    work = _Work(
        {k: c for k, c in bucket.claims.items() if not _expired(c, unix_now)}
    )
    verdicts = tuple(work.apply(change, unix_now) for change in changes)
    return Merged(Bucket(work.claims), verdicts, work.dirty)


class _Work:
    def __init__(self, claims: dict[str, Claim]) -> None:
        self.claims = claims
        self.size_bytes = sum(c.size_bytes for c in claims.values())
        self.dirty = False

    def apply(self, change: Change, unix_now: float) -> Verdict:
        current = self.claims.get(change.key)
        match change:
            case Acquire():
                return self._take(change, current, unix_now)
            case Settle():
                self._settle(change, current, unix_now)
            case Release():
                self._release(change, current, unix_now)
        return Recorded()

    def _take(
        self, change: Acquire, current: Claim | None, unix_now: float
    ) -> Verdict:
        if current is None or current.state is ClaimState.RELEASED:
            at = max(unix_now, change.key_unix)
            claim = Claim(change.request, change.digest, ClaimState.CLAIMED, at)
            if not self._make_room(claim.size_bytes):
                return Full()
            self._store(change.key, claim)
            return Won()
        if current.request == change.request:
            return Won()
        if current.digest != change.digest:
            return Mismatch(current)
        if current.state is ClaimState.DONE:
            return Replay(current)
        return Held(current)

    def _settle(
        self, change: Settle, current: Claim | None, unix_now: float
    ) -> None:
        if current is not None and current.request != change.request:
            # Writing the same content shows whether the read was stale.
            self.dirty = True
            return
        if current is not None and current.state is ClaimState.DONE:
            return
        # An absent claim means a stale read, which the write will reveal, or
        # a lost object; the call ran, so it must be recorded in either case.
        at = max(unix_now, current.at if current else 0.0)
        reply = change.reply.kept()
        if not self._make_room(reply.size_bytes):
            reply = Reply(reply.status)
        self._store(
            change.key,
            Claim(change.request, change.digest, ClaimState.DONE, at, reply),
        )

    def _release(
        self, change: Release, current: Claim | None, unix_now: float
    ) -> None:
        own = current is not None and current.request == change.request
        if own and current.state is ClaimState.CLAIMED:
            released = msgspec.structs.replace(
                current, state=ClaimState.RELEASED, at=unix_now
            )
            self._store(change.key, released)
        elif not own:
            # The read may be stale, or a write of the claim whose reply was
            # lost may be on its way. The write fails in the first case; its
            # new version makes the late write fail in the second.
            self.dirty = True

    def _store(self, key: str, claim: Claim) -> None:
        before = self.claims.get(key)
        self.size_bytes += claim.size_bytes - (
            before.size_bytes if before else 0
        )
        self.claims[key] = claim
        self.dirty = True

    def _make_room(self, size_bytes: int) -> bool:
        """Drops the oldest kept answers, never a claim."""
        if self.size_bytes + size_bytes <= MAX_BUCKET_BYTES:
            return True
        kept = [(k, c) for k, c in self.claims.items() if c.reply is not None]
        for key, claim in sorted(kept, key=lambda kc: kc[1].at):
            if self.size_bytes + size_bytes <= MAX_BUCKET_BYTES:
                break
            shorter = Reply(claim.reply.status) if claim.reply else None
            self._store(key, msgspec.structs.replace(claim, reply=shorter))
        return self.size_bytes + size_bytes <= MAX_BUCKET_BYTES


def _expired(claim: Claim, unix_now: float) -> bool:
    # Keys with a time are refused after RETENTION_S, so that a claim always
    # outlives its key, whatever the difference of clocks within the margin.
    age_s = unix_now - claim.at
    if claim.state is ClaimState.RELEASED:
        return age_s > RELEASED_KEPT_S
    return age_s > layout.RETENTION_S + layout.CLOCK_MARGIN_S
