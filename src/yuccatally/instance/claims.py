"""Writes claims to the platform, grouped by bucket."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import time

import msgspec
import structlog

from yuccatally.core.claims import batcher
from yuccatally.core.claims import bucket
from yuccatally.core.claims import layout
from yuccatally.store import client

KIND = "claims"
UNAVAILABLE_TIMEOUT_S = 3.0
# A settlement waits so long for claims it can share a write with. A duplicate
# that arrives meanwhile waits longer than this for the stored answer.
SETTLE_DELAY_S = 0.05
DUPLICATE_WAIT_S = 2.0
MAX_WAITING = 4096
# Releases add up while the platform answers reads but loses writes.
MAX_PENDING = 16_384
# Copies of buckets are kept within these limits; others are read again.
BOOKS_KEPT = 256
COPIES_BYTES = 16 * 1024 * 1024

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class ClaimKey:
    """An idempotency key with its scope, for one call.

    Attributes:
        location: Where the claim is kept.
        request: Id of the request.
        digest: Digest of the call.
    """

    location: layout.Location
    request: str
    digest: str


@dataclasses.dataclass
class _Worker:
    book: batcher.ChangeBatcher
    wake: asyncio.Event
    task: asyncio.Task[None] | None = None


class ClaimWriter:
    """Applies changes to bucket objects by conditional updates.

    All changes that wait for a bucket share one write. The content of the
    buckets in use is kept, so that a claim usually costs one write.

    Attributes:
        call_counts: Calls made to the platform, by method and result.
        written_bytes: Encoded length of everything written.
    """

    def __init__(
        self,
        store: client.StoreClient,
        settle_delay_s: float = SETTLE_DELAY_S,
    ) -> None:
        self.store = store
        self.settle_delay_s = settle_delay_s
        self.workers: collections.OrderedDict[str, _Worker] = (
            collections.OrderedDict()
        )
        self.waiting: dict[int, asyncio.Future[bucket.Verdict]] = {}
        self.next_ticket = 0
        self.random = random.Random()
        self.staleness = batcher.StalenessEstimate()
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.written_bytes = 0

    @property
    def pending(self) -> int:
        """Changes that are not part of the platform's state yet."""
        return sum(len(w.book.pending) for w in self.workers.values())

    async def acquire(
        self,
        key: ClaimKey,
        unavailable_timeout_s: float = UNAVAILABLE_TIMEOUT_S,
    ) -> bucket.Verdict:
        """Asks for a claim.

        Args:
            key: What to claim.
            unavailable_timeout_s: Longest wait for a platform that is
                unavailable, in seconds.

        Returns:
            The verdict. A claim that may have been written nevertheless is
            released in the background.
        """
        if len(self.waiting) >= MAX_WAITING or self.pending >= MAX_PENDING:
            return bucket.Full()
        now = time.monotonic()
        location = key.location
        change = bucket.Acquire(
            location.key, key.request, key.digest, location.key_unix
        )
        ticket = self._ticket()
        verdict = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = verdict
        worker = self._worker(location.bucket)
        worker.book.add(
            ticket,
            change,
            now,
            give_up_at=now + unavailable_timeout_s,
            poll_until=now + DUPLICATE_WAIT_S,
        )
        self._wake(location.bucket, worker)
        try:
            return await verdict
        except asyncio.CancelledError:
            # Nobody will send the call, so the claim must not stay.
            self.release(key)
            raise
        finally:
            self.waiting.pop(ticket, None)

    def settle(self, key: ClaimKey, reply: bucket.Reply) -> None:
        """Records the answer of a call in the background."""
        location = key.location
        change = bucket.Settle(location.key, key.request, key.digest, reply)
        due_at = time.monotonic() + self.settle_delay_s
        self._submit(location.bucket, change, due_at)

    def release(self, key: ClaimKey) -> None:
        """Gives a claim back in the background; the call was not made."""
        change = bucket.Release(key.location.key, key.request)
        self._submit(key.location.bucket, change, time.monotonic())

    async def flush(self, timeout_s: float) -> int:
        """Waits until every change is stored.

        Returns:
            The number of changes that were not stored in time.
        """
        deadline = time.monotonic() + timeout_s
        while self.pending and time.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        return self.pending

    async def close(self) -> None:
        """Stops writing."""
        tasks = [w.task for w in self.workers.values() if w.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _submit(self, name: str, change: bucket.Change, due_at: float) -> None:
        worker = self._worker(name)
        now = time.monotonic()
        worker.book.add(self._ticket(), change, now, due_at)
        self._wake(name, worker)

    def _ticket(self) -> int:
        self.next_ticket += 1
        return self.next_ticket

    def _worker(self, name: str) -> _Worker:
        worker = self.workers.get(name)
        if worker is None:
            machine = batcher.ChangeBatcher(self.random.random, self.staleness)
            worker = _Worker(machine, asyncio.Event())
            self.workers[name] = worker
        self.workers.move_to_end(name)
        return worker

    def _forget_idle(self) -> None:
        """Drops the least recently used copies beyond the limits."""
        used = sum(w.book.size_bytes for w in self.workers.values())
        for name, worker in list(self.workers.items()):
            if len(self.workers) <= BOOKS_KEPT and used <= COPIES_BYTES:
                return
            if worker.task is None and not worker.book.pending:
                del self.workers[name]
                used -= worker.book.size_bytes

    def _wake(self, name: str, worker: _Worker) -> None:
        worker.wake.set()
        if worker.task is None:
            worker.task = asyncio.create_task(self._work(name, worker))

    async def _work(self, name: str, worker: _Worker) -> None:
        try:
            while await self._step(name, worker):
                pass
        finally:
            worker.task = None
            self._forget_idle()

    async def _step(self, name: str, worker: _Worker) -> bool:
        worker.wake.clear()
        call = worker.book.next_call(time.monotonic(), time.time())
        self._deliver(worker)
        match call:
            case batcher.Read():
                await self._read(name, worker.book)
            case batcher.Write():
                await self._write(name, worker.book, call)
            case batcher.Wait(until=until):
                if not worker.book.pending:
                    return False
                await _pause(worker.wake, until - time.monotonic())
        self._deliver(worker)
        return True

    async def _read(self, name: str, machine: batcher.ChangeBatcher) -> None:
        self.call_counts["read"] += 1
        try:
            stored = await self.store.get(KIND, name)
            content = msgspec.convert(stored.spec, bucket.Bucket)
        except client.NotFoundError:
            machine.record_read(bucket.Bucket(), 0)
        except (client.StoreError, msgspec.ValidationError) as error:
            self._failed(name, error)
            machine.record_failure(time.monotonic())
        else:
            machine.record_read(content, stored.version)

    async def _write(
        self, name: str, machine: batcher.ChangeBatcher, call: batcher.Write
    ) -> None:
        self.call_counts["write"] += 1
        spec = msgspec.to_builtins(call.content)
        self.written_bytes += len(msgspec.json.encode(spec))
        try:
            stored = await self.store.put(KIND, name, spec, {}, call.version)
        except client.ConflictError:
            self.call_counts["conflict"] += 1
            machine.record_conflict(time.monotonic())
        except client.UncertainError as error:
            self._failed(name, error)
            machine.record_uncertain_write(time.monotonic())
        except client.StoreError as error:
            self._failed(name, error)
            machine.record_failure(time.monotonic())
        else:
            machine.record_write(stored.version, time.monotonic())

    def _failed(self, name: str, error: Exception) -> None:
        self.call_counts["failed"] += 1
        _log.warning("claims_call_failed", bucket=name, error=str(error))

    def _deliver(self, worker: _Worker) -> None:
        for answer in worker.book.pop_decisions():
            future = self.waiting.get(answer.change_id)
            if future is not None and not future.done():
                future.set_result(answer.verdict)


async def _pause(wake: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await wake.wait()
    except TimeoutError:
        pass
