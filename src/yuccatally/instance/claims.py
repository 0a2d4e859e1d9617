"""Writes claims to the platform, grouped by bucket."""

from __future__ import annotations

import asyncio
import dataclasses
import time

import msgspec

from yuccatally.core.claims import book
from yuccatally.store import client

KIND = "claims"
RETRY_S = 0.05
GIVE_UP_S = 3.0


class ClaimError(Exception):
    """The platform could not be reached; the change may still be written."""


@dataclasses.dataclass(frozen=True)
class _Waiting:
    change: book.Change
    verdict: asyncio.Future[book.Verdict]
    give_up_at: float


class ClaimWriter:
    """Applies changes to bucket objects by conditional updates.

    All changes that wait for a bucket share one write.
    """

    def __init__(self, store: client.StoreClient) -> None:
        self.store = store
        self.waiting: dict[str, list[_Waiting]] = {}
        self.workers: dict[str, asyncio.Task[None]] = {}

    async def apply(self, service: str, change: book.Change) -> book.Verdict:
        """Applies one change and returns its verdict.

        Raises:
            ClaimError: The platform was unreachable for ``GIVE_UP_S`` seconds.
        """
        bucket = book.bucket_of(service, change.key)
        verdict: asyncio.Future[book.Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        entry = _Waiting(change, verdict, time.monotonic() + GIVE_UP_S)
        self.waiting.setdefault(bucket, []).append(entry)
        if bucket not in self.workers:
            task = asyncio.create_task(self._work(bucket))
            self.workers[bucket] = task
        return await verdict

    async def _work(self, bucket: str) -> None:
        try:
            while self.waiting.get(bucket):
                try:
                    await self._write(bucket)
                except client.StoreError as error:
                    self._expire(bucket, error)
                    await asyncio.sleep(RETRY_S)
        finally:
            del self.workers[bucket]

    async def _write(self, bucket: str) -> None:
        current, version = await self._read(bucket)
        batch = list(self.waiting[bucket])
        changes = [w.change for w in batch]
        merged, verdicts = book.merge(current, changes, time.time())
        if merged != current:
            spec = msgspec.to_builtins(merged)
            await self.store.put(KIND, bucket, spec, {}, version)
        remaining = self.waiting[bucket][len(batch) :]
        self.waiting[bucket] = remaining
        for entry, verdict in zip(batch, verdicts, strict=True):
            if not entry.verdict.done():
                entry.verdict.set_result(verdict)

    async def _read(self, bucket: str) -> tuple[book.Bucket, int]:
        try:
            stored = await self.store.get(KIND, bucket)
        except client.NotFoundError:
            return book.Bucket(), 0
        return msgspec.convert(stored.spec, book.Bucket), stored.version

    def _expire(self, bucket: str, error: client.StoreError) -> None:
        now = time.monotonic()
        kept = []
        for entry in self.waiting[bucket]:
            if entry.give_up_at > now:
                kept.append(entry)
            elif not entry.verdict.done():
                entry.verdict.set_exception(ClaimError(str(error)))
        self.waiting[bucket] = kept
