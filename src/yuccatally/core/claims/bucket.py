"""Content of a bucket object and the merge of changes into it."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from yuccatally.core.claims import layout

MAX_STORED_REPLY_BYTES = 2048
# The platform accepts values of up to 1 MB, including the envelope.
MAX_BUCKET_BYTES = 900_000
CLAIM_BYTES = 260  # encoded claim without its reply, rounded up
RELEASED_RETENTION_S = 3_600.0


class ClaimState(enum.StrEnum):
    """State of the call that a claim covers."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class Reply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The reply to a call.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers in order.
        body: Body; None if the reply is too long to store.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None

    @property
    def size_bytes(self) -> int:
        """Encoded length in bytes, estimated."""
        headers = sum(len(n) + len(v) + 8 for n, v in self.headers)
        return headers + len(self.body or b"") * 4 // 3

    def truncated(self) -> Reply:
        """Returns the part of the reply that a bucket stores."""
        if self.size_bytes <= MAX_STORED_REPLY_BYTES:
            return self
        return Reply(self.status)


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """The right of one request to make the call with a key.

    Attributes:
        request: Id of the request that holds the claim.
        digest: Digest of the call, to detect reuse of a key.
        state: State of the call.
        at: Unix time of the last change, in seconds.
        reply: Reply once the call is done.
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
    """The claims in one bucket object, by digest of their key."""

    claims: dict[str, Claim] = {}

    @property
    def size_bytes(self) -> int:
        """Encoded length in bytes, estimated."""
        return sum(c.size_bytes for c in self.claims.values())


@dataclasses.dataclass(frozen=True)
class Acquire:
    """Acquire the claim of a key.

    Attributes:
        key: Digest of the key.
        request: Request that needs the claim.
        digest: Digest of the call.
        key_unix: Unix time in seconds that the key carries; 0 if it has none.
    """

    key: str
    request: str
    digest: str
    key_unix: float = 0.0


@dataclasses.dataclass(frozen=True)
class Settle:
    """Record the reply to the call."""

    key: str
    request: str
    digest: str
    reply: Reply


@dataclasses.dataclass(frozen=True)
class Release:
    """Release a claim because the call was certainly not made.

    Attributes:
        key: Digest of the key.
        request: Request that holds the claim or tried to acquire it.
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
    """The call was made before; the claim holds its reply."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Mismatch:
    """The key was used for a different call."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Full:
    """The bucket has no space for another claim."""


@dataclasses.dataclass(frozen=True)
class GaveUp:
    """The change was not stored in time; the call is not made."""


@dataclasses.dataclass(frozen=True)
class Recorded:
    """A settlement or release is stored in the bucket."""


Change = Acquire | Settle | Release
Verdict = Won | Held | Replay | Mismatch | Full | GaveUp | Recorded


@dataclasses.dataclass(frozen=True)
class MergeResult:
    """Result of a merge.

    Attributes:
        bucket: New content.
        verdicts: One for each change, valid once the content is stored.
        needs_write: Whether the content has to be written.
    """

    bucket: Bucket
    verdicts: tuple[Verdict, ...]
    needs_write: bool


def merge(
    bucket: Bucket, changes: tuple[Change, ...], unix_now: float
) -> MergeResult:
    """Applies changes to the content that the platform stores.

    The merge is idempotent: applying the same changes again gives the same
    verdicts, so that a write whose reply was lost can be repeated on the
    content that is read back.

    Args:
        bucket: Content as read from the platform.
        changes: Changes in order of arrival.
        unix_now: Unix time in seconds.

    Returns:
        New content, verdicts, and whether a write is needed.
    """
    editor = _BucketEditor(
        {k: c for k, c in bucket.claims.items() if not _expired(c, unix_now)}
    )
    verdicts = tuple(editor.apply(change, unix_now) for change in changes)
    return MergeResult(Bucket(editor.claims), verdicts, editor.needs_write)


class _BucketEditor:
    def __init__(self, claims: dict[str, Claim]) -> None:
        self.claims = claims
        self.size_bytes = sum(c.size_bytes for c in claims.values())
        self.needs_write = False

    def apply(self, change: Change, unix_now: float) -> Verdict:
        current = self.claims.get(change.key)
        match change:
            case Acquire():
                return self._acquire(change, current, unix_now)
            case Settle():
                self._settle(change, current, unix_now)
            case Release():
                self._release(change, current, unix_now)
        return Recorded()

    def _acquire(
        self, change: Acquire, current: Claim | None, unix_now: float
    ) -> Verdict:
        if current is None or current.state is ClaimState.RELEASED:
            at = max(unix_now, change.key_unix)
            claim = Claim(change.request, change.digest, ClaimState.CLAIMED, at)
            if not self._reserve(claim.size_bytes):
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
            # Another request seems to hold the claim. Writing the same content
            # shows whether the read was stale.
            self.needs_write = True
            return
        if current is not None and current.state is ClaimState.DONE:
            return
        # A missing claim means a stale read, which the write will reveal, or a
        # lost object. The call ran, so it has to be recorded in both cases.
        at = max(unix_now, current.at if current else 0.0)
        reply = change.reply.truncated()
        if not self._reserve(reply.size_bytes):
            reply = Reply(reply.status)
        self._store(
            change.key,
            Claim(change.request, change.digest, ClaimState.DONE, at, reply),
        )

    def _release(
        self, change: Release, current: Claim | None, unix_now: float
    ) -> None:
        is_holder = current is not None and current.request == change.request
        if is_holder and current.state is ClaimState.CLAIMED:
            released = msgspec.structs.replace(
                current, state=ClaimState.RELEASED, at=unix_now
            )
            self._store(change.key, released)
        elif not is_holder:
            # The read may be stale, or a write of the claim whose reply was
            # lost may still be in transit. In the first case the write fails;
            # in the second its new version makes the late write fail.
            self.needs_write = True

    def _store(self, key: str, claim: Claim) -> None:
        before = self.claims.get(key)
        self.size_bytes += claim.size_bytes - (
            before.size_bytes if before else 0
        )
        self.claims[key] = claim
        self.needs_write = True

    def _reserve(self, size_bytes: int) -> bool:
        """Frees space for a number of bytes and returns whether they fit.

        Drops headers and bodies of the oldest replies, but never a claim.
        """
        if self.size_bytes + size_bytes <= MAX_BUCKET_BYTES:
            return True
        replied = [
            (k, c) for k, c in self.claims.items() if c.reply is not None
        ]
        for key, claim in sorted(replied, key=lambda kc: kc[1].at):
            if self.size_bytes + size_bytes <= MAX_BUCKET_BYTES:
                break
            status_only = Reply(claim.reply.status) if claim.reply else None
            self._store(key, msgspec.structs.replace(claim, reply=status_only))
        return self.size_bytes + size_bytes <= MAX_BUCKET_BYTES


def _expired(claim: Claim, unix_now: float) -> bool:
    # A key with a time is rejected after RETENTION_S. The clock margin makes
    # its claim outlive it even if the clocks differ by up to that margin.
    age_s = unix_now - claim.at
    if claim.state is ClaimState.RELEASED:
        return age_s > RELEASED_RETENTION_S
    return age_s > layout.RETENTION_S + layout.CLOCK_MARGIN_S
