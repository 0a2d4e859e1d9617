"""Connects generations and engines to the choice of routes."""

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

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.core.config import configuration
    from yuccatally.core.generation import generation
    from yuccatally.core.stages import messages
    from yuccatally.upstreams import engines

SNAPSHOT_TIMEOUT_S = 2.0

_log = structlog.get_logger()


class CacheSnapshot(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/cache``.

    Attributes:
        sequence: Number of the first event that it does not contain.
        stored: Hashes of the prefixes in the cache.
    """

    sequence: int
    stored: list[int]


class PathSelector:
    """Feeds the router and keeps routes chosen at admission.

    Attributes:
        router: Choice of routes.
        on_generated: Called with request id and tokens when a generation is
            over.
        on_room: Called when an engine may have become free.
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
        self.on_generated: Callable[[str, int], None] = lambda _, __: None
        self.on_room: Callable[[], None] = lambda: None

    def reserve(self, job: actions.Job) -> bool:
        """Chooses the first route of a request that was let in.

        The work counts from now on, before the generation starts.

        Returns:
            False if the answer cannot be whole by the deadline on the route;
            then nothing is reserved.
        """
        self.router.apply_configuration(self.config)
        now = time.monotonic()
        ask = _ask(job, job.prompt, job.max_tokens)
        route = self.router.choose(ask, now)
        if route is None:
            return True
        if now + self.router.expected_s(ask, route, now) > job.deadline:
            return False
        self.router.start_attempt(ask, route)
        self.reserved[job.request] = route
        return True

    def cancel(self, request: str) -> None:
        """Gives a reserved route back."""
        if self.reserved.pop(request, None) is not None:
            self.router.end_attempt(request)

    def choose(
        self, machine: generation.Generation, excluded: frozenset[str]
    ) -> actions.Path | None:
        """Returns a route for the next attempt, None if there is none."""
        self.router.apply_configuration(self.config)
        job = machine.job
        reserved = self.reserved.pop(job.request, None)
        if reserved is not None and self._usable(reserved, excluded):
            return reserved
        return self.router.choose(_ask_of(machine), time.monotonic(), excluded)

    def start(
        self, machine: generation.Generation, route: actions.Path
    ) -> None:
        """Counts an attempt on the route that it really uses."""
        self.router.start_attempt(_ask_of(machine), route)

    def on_queued(self, item: messages.StepItem) -> None:
        """Records that an item was queued for an engine."""
        self.router.on_queued(item, time.monotonic())

    def on_result(self, engine: str, item: messages.StepItem) -> None:
        """Records an output."""
        self.router.on_result(engine, item, time.monotonic())

    def on_refusal(self, engine: str) -> None:
        """Records that an engine did not apply an item."""
        self.router.on_refusal(engine, time.monotonic())

    def on_attempt_end(self, request: str) -> None:
        """Records that an attempt is over."""
        self.reserved.pop(request, None)
        self.router.end_attempt(request)
        self.on_room()

    def on_over(
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
        self.on_attempt_end(job.request)
        self.on_generated(job.request, len(machine.tokens))

    def on_connected(self, engine: str) -> None:
        """Records that an engine can be used."""
        self.router.apply_configuration(self.config)
        self.router.on_connected(engine, time.monotonic())
        self.on_room()

    def on_disconnected(self, engine: str) -> None:
        """Records that an engine cannot be used."""
        self.router.on_disconnected(engine)

    def on_report(
        self, engine: str, load: messages.LoadReport, measured_at: float
    ) -> None:
        """Records a load report."""
        self.router.on_report(engine, load, measured_at)

    def on_cache(
        self,
        connection: engines.EngineConnection,
        events: messages.CacheEvents,
    ) -> None:
        """Records cache events; after a gap the cache is read anew."""
        resync = self.router.on_cache_events(connection.name, events)
        if resync is None or connection.name in self.snapshots:
            return
        task = asyncio.create_task(self._read_cache(connection))
        self.snapshots[connection.name] = task
        task.add_done_callback(
            lambda _: self.snapshots.pop(connection.name, None)
        )

    async def _read_cache(self, connection: engines.EngineConnection) -> None:
        url = f"http://{connection.address}/v1/cache"
        timeout = aiohttp.ClientTimeout(total=SNAPSHOT_TIMEOUT_S)
        try:
            async with connection.session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                snapshot = msgspec.json.decode(
                    await answer.read(), type=CacheSnapshot
                )
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.DecodeError,
        ) as error:
            # The next event asks for a snapshot again.
            _log.info(
                "cache_not_read",
                engine=connection.name,
                error=type(error).__name__,
            )
            return
        view = self.router.prefix_indexes.get(connection.name)
        if view is not None:
            view.apply_snapshot(snapshot.sequence, snapshot.stored)

    def _usable(self, route: actions.Path, excluded: frozenset[str]) -> bool:
        known = self.router.engines
        return all(
            h.engine not in excluded
            and h.engine in known
            and known[h.engine].connected
            for h in route.hops
        )


def _ask_of(machine: generation.Generation) -> router.PathQuery:
    job = machine.job
    known = (*job.prompt, *machine.tokens)
    return _ask(job, known, job.max_tokens - len(machine.tokens))


def _ask(
    job: actions.Job, known: tuple[int, ...], max_tokens: int
) -> router.PathQuery:
    return router.PathQuery(
        request=job.request,
        account=job.account,
        model=job.model,
        version=job.version,
        prefill=len(known),
        max_tokens=max_tokens,
        prefixes=prefixes.hashes(known),
        urgent=job.priority == specs.Urgency.URGENT,
    )
