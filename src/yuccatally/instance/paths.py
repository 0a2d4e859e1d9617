"""Selects paths of generations and reports engine events to the router."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import structlog

from yuccatally.core.generation import actions
from yuccatally.core.objects import specs
from yuccatally.core.routing import prefixes
from yuccatally.core.routing import router
from yuccatally.store import bodies

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.core.config import configuration
    from yuccatally.core.generation import generation
    from yuccatally.core.stages import messages
    from yuccatally.upstreams import engines

SNAPSHOT_TIMEOUT_S = 2.0
# A hash takes at most 21 bytes, so some 800,000 cached prefixes fit.
MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024

_log = structlog.get_logger()


class CacheSnapshot(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/cache`` of an engine.

    Attributes:
        sequence: Number of the first event that the snapshot does not include.
        stored: Hashes of the cached prefixes.
    """

    sequence: int
    stored: list[int]


class PathSelector:
    """Passes events to the router and reserves paths at admission.

    Attributes:
        router: Router that chooses the paths.
        reserved: Paths chosen at admission, by request id.
        snapshots: Reads of cache snapshots in progress, by engine.
        on_generation_end: Called with the request id and the number of tokens
            when a generation has ended.
        on_capacity: Called when an engine may have gained capacity.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        options: router.Options | None = None,
    ) -> None:
        self.config = config
        self.router = router.Router(options)
        self.reserved: dict[str, actions.Path] = {}
        self.snapshots: dict[str, asyncio.Task[None]] = {}
        self.on_generation_end: Callable[[str, int], None] = lambda _, __: None
        self.on_capacity: Callable[[], None] = lambda: None

    def reserve(self, job: actions.Job) -> bool:
        """Reserves a path for the first attempt of an admitted request.

        The work of the request counts as outstanding from now on, before the
        generation starts.

        Returns:
            False if the answer is not expected to be complete by the deadline;
            then nothing is reserved.
        """
        self.router.apply_configuration(self.config)
        now = time.monotonic()
        query = _path_query(job, job.prompt, job.max_tokens)
        path = self.router.choose(query, now)
        if path is None:
            return True
        if now + self.router.expected_s(query, path, now) > job.deadline:
            return False
        self.router.start_attempt(query, path)
        self.reserved[job.request] = path
        return True

    def cancel(self, request: str) -> None:
        """Cancels the reservation of a path."""
        if self.reserved.pop(request, None) is not None:
            self.router.end_attempt(request)

    def choose(
        self, machine: generation.Generation, excluded: frozenset[str]
    ) -> actions.Path | None:
        """Returns a path for the next attempt, None if there is none."""
        self.router.apply_configuration(self.config)
        job = machine.job
        reserved = self.reserved.pop(job.request, None)
        if reserved is not None and self._is_usable(reserved, excluded):
            return reserved
        return self.router.choose(
            _next_attempt_query(machine), time.monotonic(), excluded
        )

    def start(self, machine: generation.Generation, path: actions.Path) -> None:
        """Records the start of an attempt on the path that it uses."""
        self.router.start_attempt(_next_attempt_query(machine), path)

    def on_queued(self, item: messages.StepItem) -> None:
        """Records that an item was queued for an engine."""
        self.router.on_queued(item, time.monotonic())

    def on_result(self, engine: str, item: messages.StepItem) -> None:
        """Records the output of an item."""
        self.router.on_result(engine, item, time.monotonic())

    def on_refusal(self, engine: str) -> None:
        """Records that an engine refused an item."""
        self.router.on_refusal(engine, time.monotonic())

    def record_attempt_end(self, request: str) -> None:
        """Records the end of an attempt."""
        self.reserved.pop(request, None)
        self.router.end_attempt(request)
        self.on_capacity()

    def record_generation_end(
        self,
        machine: generation.Generation,
        action: actions.Finished | actions.Failed,
    ) -> None:
        """Records the end of a generation."""
        job = machine.job
        if isinstance(action, actions.Finished):
            self.router.demand.record(
                job.account, job.model, job.max_tokens, action.tokens
            )
        self.record_attempt_end(job.request)
        self.on_generation_end(job.request, len(machine.tokens))

    def on_connected(self, engine: str) -> None:
        """Records that an engine is usable."""
        self.router.apply_configuration(self.config)
        self.router.on_connected(engine, time.monotonic())
        self.on_capacity()

    def on_disconnected(self, engine: str) -> None:
        """Records that an engine is not connected."""
        self.router.on_disconnected(engine)

    def on_load_report(
        self, engine: str, report: messages.LoadReport, measured_at: float
    ) -> None:
        """Records a load report."""
        self.router.on_report(engine, report, measured_at)

    def on_cache_events(
        self,
        connection: engines.EngineConnection,
        events: messages.CacheEvents,
    ) -> None:
        """Records cache events; after a gap, reads a snapshot of the cache."""
        resync = self.router.on_cache_events(connection.name, events)
        if resync is None or connection.name in self.snapshots:
            return
        task = asyncio.create_task(self._read_snapshot(connection))
        self.snapshots[connection.name] = task
        task.add_done_callback(
            lambda _: self.snapshots.pop(connection.name, None)
        )

    async def _read_snapshot(
        self, connection: engines.EngineConnection
    ) -> None:
        url = f"http://{connection.address}/v1/cache"
        timeout = aiohttp.ClientTimeout(total=SNAPSHOT_TIMEOUT_S)
        try:
            async with connection.session.get(url, timeout=timeout) as response:
                response.raise_for_status()
                snapshot = msgspec.json.decode(
                    await bodies.read(response, MAX_SNAPSHOT_BYTES),
                    type=CacheSnapshot,
                )
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.DecodeError,
        ) as error:
            # The next event of the engine starts another read.
            _log.info(
                "cache_snapshot_failed",
                engine=connection.name,
                error=type(error).__name__,
            )
            return
        index = self.router.prefix_indexes.get(connection.name)
        if index is not None:
            index.apply_snapshot(snapshot.sequence, snapshot.stored)

    def _is_usable(self, path: actions.Path, excluded: frozenset[str]) -> bool:
        engine_states = self.router.engines
        return all(
            h.engine not in excluded
            and h.engine in engine_states
            and engine_states[h.engine].connected
            for h in path.hops
        )


def _next_attempt_query(machine: generation.Generation) -> router.PathQuery:
    job = machine.job
    known_tokens = (*job.prompt, *machine.tokens)
    return _path_query(job, known_tokens, job.max_tokens - len(machine.tokens))


def _path_query(
    job: actions.Job, known_tokens: tuple[int, ...], max_tokens: int
) -> router.PathQuery:
    return router.PathQuery(
        request=job.request,
        account=job.account,
        model=job.model,
        version=job.version,
        prefill=len(known_tokens),
        max_tokens=max_tokens,
        prefixes=prefixes.hashes(known_tokens),
        urgent=job.priority == specs.Urgency.URGENT,
    )
