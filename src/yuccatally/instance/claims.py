"""Writes claims to the platform, batched by bucket."""

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
# Delays a settlement so that it can share a write with other changes of its
# bucket. A duplicate call waits longer than this for the stored answer.
SETTLE_DELAY_S = 0.05
DUPLICATE_WAIT_S = 2.0
MAX_WAITING_COUNT = 4096
# Bounds the releases that accumulate while the platform answers reads but
# loses writes.
MAX_PENDING_COUNT = 16_384
# Limits of the cache of buckets; evicted buckets are read again when needed.
MAX_CACHED_BUCKETS_COUNT = 256
MAX_CACHED_BYTES = 16 * 1024 * 1024

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class ClaimKey:
    """An idempotency key and the call that claims it.

    Attributes:
        location: Bucket and key of the claim in the platform's store.
        request: Id of the request.
        digest: Digest of the call, to recognise another call under the key.
    """

    location: layout.Location
    request: str
    digest: str


@dataclasses.dataclass
class _Worker:
    """Pending changes of one bucket and the task that writes them."""

    batcher: batcher.ChangeBatcher
    wake: asyncio.Event
    task: asyncio.Task[None] | None = None


class ClaimWriter:
    """Applies changes to bucket objects by conditional updates.

    All changes that are pending for a bucket share one write. The content of
    recently used buckets is cached, so that a claim usually costs one write.

    Attributes:
        call_counts: Calls to the platform by method; conflicts and failures
            are also counted on their own.
        written_bytes: Sum of the encoded lengths of all written buckets.
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
        self.verdict_futures: dict[int, asyncio.Future[bucket.Verdict]] = {}
        self.last_change_id = 0
        self.random = random.Random()
        self.staleness = batcher.StalenessEstimate()
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.written_bytes = 0

    @property
    def pending(self) -> int:
        """Number of changes that are not yet stored on the platform."""
        return sum(len(w.batcher.pending) for w in self.workers.values())

    async def acquire(
        self,
        key: ClaimKey,
        unavailable_timeout_s: float = UNAVAILABLE_TIMEOUT_S,
    ) -> bucket.Verdict:
        """Claims a key.

        Args:
            key: What to claim.
            unavailable_timeout_s: Longest wait for a platform that is
                unavailable, in seconds.

        Returns:
            The verdict. If it is not ``Won`` and the claim may have been
            written nevertheless, the claim is released in the background.
        """
        if (
            len(self.verdict_futures) >= MAX_WAITING_COUNT
            or self.pending >= MAX_PENDING_COUNT
        ):
            return bucket.Full()
        now = time.monotonic()
        location = key.location
        change = bucket.Acquire(
            location.key, key.request, key.digest, location.key_unix
        )
        change_id = self._next_change_id()
        future = asyncio.get_running_loop().create_future()
        self.verdict_futures[change_id] = future
        worker = self._get_worker(location.bucket)
        worker.batcher.add(
            change_id,
            change,
            now,
            give_up_at=now + unavailable_timeout_s,
            poll_until=now + DUPLICATE_WAIT_S,
        )
        self._wake(location.bucket, worker)
        try:
            return await future
        except asyncio.CancelledError:
            # The call will not be sent, so the claim must be released.
            self.release(key)
            raise
        finally:
            self.verdict_futures.pop(change_id, None)

    def settle(self, key: ClaimKey, reply: bucket.Reply) -> None:
        """Stores the answer of a call in the background."""
        location = key.location
        change = bucket.Settle(location.key, key.request, key.digest, reply)
        due_at = time.monotonic() + self.settle_delay_s
        self._submit(location.bucket, change, due_at)

    def release(self, key: ClaimKey) -> None:
        """Releases the claim of a call that was not sent, in the background."""
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
        """Cancels all writes."""
        tasks = [w.task for w in self.workers.values() if w.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _submit(self, name: str, change: bucket.Change, due_at: float) -> None:
        worker = self._get_worker(name)
        now = time.monotonic()
        worker.batcher.add(self._next_change_id(), change, now, due_at)
        self._wake(name, worker)

    def _next_change_id(self) -> int:
        self.last_change_id += 1
        return self.last_change_id

    def _get_worker(self, name: str) -> _Worker:
        worker = self.workers.get(name)
        if worker is None:
            change_batcher = batcher.ChangeBatcher(
                self.random.random, self.staleness
            )
            worker = _Worker(change_batcher, asyncio.Event())
            self.workers[name] = worker
        self.workers.move_to_end(name)
        return worker

    def _evict_idle(self) -> None:
        """Evicts the least recently used idle buckets beyond the limits."""
        cached_bytes = sum(w.batcher.size_bytes for w in self.workers.values())
        for name, worker in list(self.workers.items()):
            if (
                len(self.workers) <= MAX_CACHED_BUCKETS_COUNT
                and cached_bytes <= MAX_CACHED_BYTES
            ):
                return
            if worker.task is None and not worker.batcher.pending:
                del self.workers[name]
                cached_bytes -= worker.batcher.size_bytes

    def _wake(self, name: str, worker: _Worker) -> None:
        worker.wake.set()
        if worker.task is None:
            worker.task = asyncio.create_task(self._run_worker(name, worker))

    async def _run_worker(self, name: str, worker: _Worker) -> None:
        try:
            while await self._run_step(name, worker):
                pass
        finally:
            worker.task = None
            self._evict_idle()

    async def _run_step(self, name: str, worker: _Worker) -> bool:
        worker.wake.clear()
        call = worker.batcher.next_call(time.monotonic(), time.time())
        self._resolve_futures(worker)
        match call:
            case batcher.Read():
                await self._read(name, worker.batcher)
            case batcher.Write():
                await self._write(name, worker.batcher, call)
            case batcher.Wait(until=until):
                if not worker.batcher.pending:
                    return False
                await _wait_for_wake(worker.wake, until - time.monotonic())
        self._resolve_futures(worker)
        return True

    async def _read(
        self, name: str, change_batcher: batcher.ChangeBatcher
    ) -> None:
        self.call_counts["read"] += 1
        try:
            stored = await self.store.get(KIND, name)
            content = msgspec.convert(stored.spec, bucket.Bucket)
        except client.NotFoundError:
            change_batcher.record_read(bucket.Bucket(), 0)
        except (client.StoreError, msgspec.ValidationError) as error:
            self._record_store_error(name, error)
            change_batcher.record_failure(time.monotonic())
        else:
            change_batcher.record_read(content, stored.version)

    async def _write(
        self,
        name: str,
        change_batcher: batcher.ChangeBatcher,
        call: batcher.Write,
    ) -> None:
        self.call_counts["write"] += 1
        spec = msgspec.to_builtins(call.content)
        self.written_bytes += len(msgspec.json.encode(spec))
        try:
            stored = await self.store.put(KIND, name, spec, {}, call.version)
        except client.ConflictError:
            self.call_counts["conflict"] += 1
            change_batcher.record_conflict(time.monotonic())
        except client.UncertainError as error:
            self._record_store_error(name, error)
            change_batcher.record_uncertain_write(time.monotonic())
        except client.StoreError as error:
            self._record_store_error(name, error)
            change_batcher.record_failure(time.monotonic())
        else:
            change_batcher.record_write(stored.version, time.monotonic())

    def _record_store_error(self, name: str, error: Exception) -> None:
        self.call_counts["failed"] += 1
        _log.warning("claim_store_call_failed", bucket=name, error=str(error))

    def _resolve_futures(self, worker: _Worker) -> None:
        for decision in worker.batcher.pop_decisions():
            future = self.verdict_futures.get(decision.change_id)
            if future is not None and not future.done():
                future.set_result(decision.verdict)


async def _wait_for_wake(wake: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await wake.wait()
    except TimeoutError:
        pass
