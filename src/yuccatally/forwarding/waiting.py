"""Requests that wait for room on a path or an upstream."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import time
from typing import TYPE_CHECKING

from yuccatally.core.admission import arrivals
from yuccatally.core.admission import service_queue
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import marks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    import random

    from yuccatally.core.forwarding import pace
    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import request_context
    from yuccatally.forwarding import state

    Found = dispatch.Path | dispatch.Full | dispatch.Nothing
    Decision = Found | arrivals.Refused
    Choose = Callable[[], Found]

# Capacity that is freed as time passes, and estimates that change, cause no
# event.
TICK_INTERVAL_S = 0.1
# Part of the latency objective for which a request waits for a path if none is
# whole. Paths are composed anew within some tens of milliseconds.
NO_PATH_WAIT_RATIO = 0.1
# Clients of streams disconnect after a pause of this length.
MIN_PATIENCE_S = 2.0
OBJECTIVE_PATIENCE_FACTOR = 4.0
PAUSE_PATIENCE_FACTOR = 8.0


class Room:
    """Room for one request on a path, held until the request is sent.

    Attributes:
        dispatcher: Records the work on each path.
        tokens: Expected memory use of the request, in tokens.
        path: Name of the path on which room is held; empty for none.
        ticket: What the dispatcher returned for it.
    """

    def __init__(self, dispatcher: dispatch.Dispatcher, tokens: float) -> None:
        self.dispatcher = dispatcher
        self.tokens = tokens
        self.path = ""
        self.ticket: pace.Ticket | None = None

    def hold(self, path: dispatch.Path) -> None:
        """Holds room on a path, which no other request can then use."""
        self.release()
        self.path = path.name
        self.ticket = self.dispatcher.record_start(
            path.name, self.tokens, time.monotonic(), path.patience_s
        )

    def release(self) -> None:
        """Releases the room, if any is held."""
        path, self.path = self.path, ""
        if path:
            self.dispatcher.record_end(path, self.tokens, ticket=self.ticket)


@dataclasses.dataclass(eq=False)
class _Waiter:
    """A request that waits.

    Attributes:
        service: Name of its service.
        marks: Marks of the request.
        room: Holds the room that it is given.
        choose: Returns a path with room for it.
        decision: Set once the request need not wait any longer.
    """

    service: str
    marks: tuple[str, ...]
    room: Room
    choose: Choose
    decision: asyncio.Future[Decision]


class WaitingList:
    """Requests of all services that wait on this instance.

    Freed capacity wakes as many requests as it has room for, in the order of
    ``service_queue.ServiceQueue``. Room is held for a request from the moment
    at which it is chosen, so that no other request can take it.

    Attributes:
        rng: Source of random numbers.
        queues: Queues by service.
        waiters: Waiting requests by their unique name.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.queues: dict[str, service_queue.ServiceQueue] = {}
        self.waiters: dict[str, _Waiter] = {}
        self.numbers = itertools.count()
        self.changes: set[asyncio.Future[None]] = set()
        self.is_serving_scheduled = False
        self.is_tick_scheduled = False

    def watch(
        self, dispatcher: dispatch.Dispatcher, registry: upstreams.Registry
    ) -> None:
        """Serves requests whenever these may have capacity."""
        dispatcher.on_capacity = registry.on_change = self.notify

    def queue(self, service: str) -> service_queue.ServiceQueue:
        """Returns the queue of a service."""
        found = self.queues.get(service)
        if found is None:
            found = service_queue.ServiceQueue(service, self.rng)
            self.queues[service] = found
        return found

    def unique_name(self, request: str) -> str:
        """Returns a name for a request whose id may not be unique."""
        return f"{request}/{next(self.numbers)}"

    async def wait(
        self,
        service: str,
        arrival: arrivals.Arrival,
        marks: tuple[str, ...],
        choose: Choose,
        room: Room,
        resumed_until: float | None = None,
    ) -> Decision:
        """Waits until a request has room or waits in vain.

        Args:
            service: Name of the service.
            arrival: The request.
            marks: Marks of the request.
            choose: Returns a path with room for it.
            room: Holds the room that it is given.
            resumed_until: Monotonic time until which a request waits that has
                run, in seconds; None for one that has not run.

        Returns:
            The path on which room is held, or why the request has none.
        """
        queue = self.queue(service)
        now = time.monotonic()
        self._serve(queue, now)
        ahead = queue if resumed_until is None else queue.resumed
        if not len(ahead):
            found = choose()
            if isinstance(found, dispatch.Path):
                room.hold(found)
                queue.start_at_once(arrival, now)
            if not isinstance(found, dispatch.Full):
                return found
        if resumed_until is not None:
            queued = queue.offer_resumed(arrival, resumed_until, now)
        else:
            offered = queue.offer(arrival, now)
            if isinstance(offered, arrivals.Refused):
                return offered
            queued = offered
            if queued.shed is not None:
                self._refuse(queued.shed)
        waiter = _Waiter(
            service,
            marks,
            room,
            choose,
            asyncio.get_running_loop().create_future(),
        )
        self.waiters[queued.request] = waiter
        self._serve(queue, now)
        self._schedule_tick()
        try:
            async with asyncio.timeout(queued.until - time.monotonic()):
                return await waiter.decision
        except TimeoutError:
            # The decision may have been made just before the timeout.
            if not waiter.decision.cancelled():
                return waiter.decision.result()
            if resumed_until is not None:
                return dispatch.Full()
            return queue.expire(queued.request, time.monotonic())
        finally:
            self.waiters.pop(queued.request, None)
            queue.remove(queued.request)
            self.notify()

    async def wait_for_change(self, until: float) -> None:
        """Waits until paths have changed, or for a short time."""
        wait_s = min(until - time.monotonic(), TICK_INTERVAL_S)
        changed = asyncio.get_running_loop().create_future()
        self.changes.add(changed)
        try:
            async with asyncio.timeout(wait_s):
                await changed
        except TimeoutError:
            pass
        finally:
            self.changes.discard(changed)

    def notify(self) -> None:
        """Serves waiting requests soon, as capacity may have been freed."""
        if self.is_serving_scheduled or not (self.waiters or self.changes):
            return
        self.is_serving_scheduled = True
        asyncio.get_running_loop().call_soon(self._serve_all)

    def withdraw(self, mark: str, reason: str, retry_after_s: float) -> None:
        """Refuses the waiting requests with a mark."""
        for request, waiter in list(self.waiters.items()):
            if mark in waiter.marks and not waiter.decision.done():
                self.queues[waiter.service].remove(request)
                waiter.decision.set_result(
                    arrivals.Refused(reason, retry_after_s)
                )

    def demand(self) -> dict[str, arrivals.WaitingWork]:
        """Returns the work that waits on this instance, by service."""
        return {n: q.work() for n, q in self.queues.items() if len(q)}

    def status(self, now: float) -> Iterator[tuple[str, arrivals.ClassStatus]]:
        """Yields the waiting requests by service and class."""
        for name, queue in sorted(self.queues.items()):
            for status in queue.status(now):
                yield name, status

    def _serve_all(self) -> None:
        self.is_serving_scheduled = False
        for changed in self.changes:
            if not changed.done():
                changed.set_result(None)
        now = time.monotonic()
        for queue in self.queues.values():
            self._serve(queue, now)

    def _serve(self, queue: service_queue.ServiceQueue, now: float) -> None:
        """Gives room to waiting requests while there is any."""
        while len(queue):
            passed = None
            for item in queue.candidates(now):
                waiter = self.waiters.get(item.request)
                if waiter is None or waiter.decision.done():
                    queue.remove(item.request)
                    break
                found = waiter.choose()
                if isinstance(found, dispatch.Full):
                    passed = passed or item
                    continue
                if isinstance(found, dispatch.Path):
                    waiter.room.hold(found)
                    queue.start(item, passed, now)
                else:
                    queue.remove(item.request)
                waiter.decision.set_result(found)
                break
            else:
                return

    def _refuse(self, shed: arrivals.ShedRequest) -> None:
        waiter = self.waiters.get(shed.request)
        if waiter is not None and not waiter.decision.done():
            waiter.decision.set_result(shed.refusal)

    def _schedule_tick(self) -> None:
        if not self.is_tick_scheduled and self.waiters:
            self.is_tick_scheduled = True
            asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self.is_tick_scheduled = False
        now = time.monotonic()
        for queue in self.queues.values():
            for shed in queue.shed_late(now):
                self._refuse(shed)
            self._serve(queue, now)
        self._schedule_tick()


async def find_room(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
    writer: request_context.ResponseWriter,
    room: Room,
    choose: Choose,
    resumed_until: float | None = None,
) -> Decision:
    """Finds a path with room for a request, which may wait for it.

    Args:
        instance_state: Shared state.
        context: The request.
        writer: Records how long the request has waited.
        room: Holds the room on the path.
        choose: Returns a path with room for the request.
        resumed_until: See ``WaitingList.wait``.
    """
    room.release()
    started_at = time.monotonic()
    waiting = instance_state.waiting
    arrival = _arrival(context, waiting.unique_name(context.request.id), room)
    no_path_until = started_at + NO_PATH_WAIT_RATIO * context.route.objective_s
    if resumed_until is not None:
        no_path_until = resumed_until
    try:
        while True:
            if _never_fits(instance_state, context, room.tokens):
                return dispatch.Full()
            found = await waiting.wait(
                context.service.name,
                arrival,
                context.marks,
                choose,
                room,
                resumed_until,
            )
            if (
                not isinstance(found, dispatch.Nothing)
                or time.monotonic() >= no_path_until
            ):
                return found
            await waiting.wait_for_change(no_path_until)
    finally:
        writer.waited_s += time.monotonic() - started_at


def _arrival(
    context: request_context.RequestContext, name: str, room: Room
) -> arrivals.Arrival:
    route = context.route
    patience_s = context.deadline - context.received_at
    if route.repeat.is_stream:
        patience_s = max(
            MIN_PATIENCE_S,
            OBJECTIVE_PATIENCE_FACTOR * route.objective_s,
            PAUSE_PATIENCE_FACTOR * route.pause_objective_s,
        )
    return arrivals.Arrival(
        request=name,
        account=context.account,
        priority=context.priority,
        tokens=room.tokens,
        received_at=context.received_at,
        objective_s=route.objective_s,
        patience_s=patience_s,
        deadline=context.deadline,
        fingerprint=marks.fingerprint_of(context.marks),
    )


def _never_fits(
    instance_state: state.InstanceState,
    context: request_context.RequestContext,
    tokens: float,
) -> bool:
    """Returns whether a request is larger than any path when it is idle."""
    paths = instance_state.paths(context.service)
    return bool(paths) and tokens > dispatch.USABLE_MEMORY_RATIO * max(
        p.tokens for p in paths
    )
