"""Chooses a path or an upstream for each request."""

from __future__ import annotations

import dataclasses
import types
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import remote_work
from yuccatally.core.forwarding import room
from yuccatally.core.forwarding import stream_progress

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    import random

    from yuccatally.core.forwarding import pace
    from yuccatally.core.forwarding import pace_table
    from yuccatally.core.forwarding import upstreams

# Part of a stage's memory that is allocated. The rest absorbs answers that are
# longer than expected, before engines have to preempt.
USABLE_MEMORY_RATIO = 0.92
# Number of random paths from which the best is chosen; two is the minimum that
# compares load. Instances with the same outdated state draw different paths.
CANDIDATE_COUNT = 2
# A path in another data centre is chosen only if it is faster by this factor.
REMOTE_PENALTY_FACTOR = 1.05
# A prompt and the decode steps behind it wait for the prompt that is already on
# the link.
LINK_PATIENCE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class Path:
    """A pipeline whose engines are all usable, or a plain upstream.

    Attributes:
        name: Name of the pipeline.
        hops: Engines in order.
        ranges: First layer and exclusive last layer of each hop; empty for a
            plain upstream.
        step_s: Duration of a decode step without load, over all stages.
        sequence_s: Additional step duration for each request.
        tokens: Token capacity of the stage with the least memory.
        slots: Maximum number of concurrent requests of its first engine.
        data_centre: Data centre of its first engine.
        link_s: Time that a mean prompt takes on the links between the data
            centres of the path.
    """

    name: str
    hops: tuple[upstreams.Upstream, ...]
    ranges: tuple[tuple[int, int], ...]
    step_s: float
    sequence_s: float
    tokens: float
    slots: int
    data_centre: str
    link_s: float = 0.0

    @property
    def patience_s(self) -> float:
        """Time to wait for an event beyond that on a path within one centre."""
        return LINK_PATIENCE_FACTOR * self.link_s

    def has(self, address: str) -> bool:
        """Returns whether the path contains the engine with an address."""
        return any(h.address == address for h in self.hops)


@dataclasses.dataclass
class OutstandingWork:
    """Outstanding requests and tokens on one path or upstream."""

    requests: int = 0
    tokens: float = 0.0


@dataclasses.dataclass(frozen=True)
class Full:
    """No path has capacity."""


@dataclasses.dataclass(frozen=True)
class Nothing:
    """No path exists that has not been tried."""


@dataclasses.dataclass(frozen=True)
class Limited:
    """Engines limit their rate, and no turn comes in time.

    Attributes:
        wait_s: Time until the next turn, in seconds.
    """

    wait_s: float


class Dispatcher:
    """Chooses paths by the outstanding work of all instances.

    Load pattern: all instances see the same fastest pipeline. Each includes
    the outstanding work that the others report for it, so that the pipeline is
    filled once and not once by each of eight instances.

    Attributes:
        own_work: Outstanding work of this instance by path or upstream.
        remote_work: Outstanding work that other instances reported.
        covered_work: Part of it that they tell the keepers of paths as well.
        room: Room that this instance holds on paths with a keeper.
        stream_progress: Progress of streams, by path with outstanding requests.
        avoided_until: Time until which a path that failed is avoided.
        paces: Limits of servers that have started or recovered; None if this
            instance decides without the others.
        on_capacity: Called when paths may have capacity again.
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        paces: pace_table.PaceTable | None = None,
    ) -> None:
        self.data_centre = data_centre
        self.rng = rng
        self.paces = paces
        self.own_work: dict[str, OutstandingWork] = {}
        self.remote_work = remote_work.RemoteWork()
        self.covered_work = remote_work.RemoteWork()
        self.room = room.HeldRoom()
        self.stream_progress: dict[str, stream_progress.StreamProgress] = {}
        self.avoided_until: dict[str, float] = {}
        self.on_capacity: Callable[[], None] = lambda: None

    def apply_remote_work(
        self,
        instance: str,
        work_by_path: Mapping[str, remote_work.Work],
        now: float,
        covered: Mapping[str, remote_work.Work] = types.MappingProxyType({}),
    ) -> list[str]:
        """Applies the work of another instance and of its followers.

        Args:
            instance: Name of the sender.
            work_by_path: Their outstanding work.
            now: Monotonic time in seconds.
            covered: The part of it that they tell the keepers of paths as well.

        Returns:
            Paths whose figures are not valid and were ignored.
        """
        ignored = [
            *self.remote_work.apply(instance, work_by_path, now),
            *self.covered_work.apply(instance, covered, now),
        ]
        self.on_capacity()
        return ignored

    def retain_instances(self, instances: Iterable[str]) -> None:
        """Removes the work that any other instance has reported."""
        self.remote_work.retain(instances)
        self.covered_work.retain(instances)

    def work_of(
        self, instances: Iterable[str], now: float
    ) -> dict[str, OutstandingWork]:
        """Returns the total work of this instance and some others by path."""
        return _add_work(
            self.own_work, self.remote_work.totals_of(instances, now)
        )

    def work_without(
        self, instance: str, now: float
    ) -> dict[str, OutstandingWork]:
        """Returns the total work of all instances but one by path."""
        return _add_work(
            self.own_work, self.remote_work.totals_without(instance, now)
        )

    def covered_of(
        self,
        own: Mapping[str, OutstandingWork],
        instances: Iterable[str],
        now: float,
    ) -> dict[str, OutstandingWork]:
        """Returns the part of ``work_of`` that keepers are told of as well.

        Args:
            own: That part of the work of this instance.
            instances: Other instances to include.
            now: Monotonic time in seconds.
        """
        if not own and not self.covered_work.totals:
            return {}
        return _add_work(own, self.covered_work.totals_of(instances, now))

    def covered_without(
        self,
        own: Mapping[str, OutstandingWork],
        instance: str,
        now: float,
    ) -> dict[str, OutstandingWork]:
        """Returns the part of ``work_without`` that keepers are told of."""
        if not own and not self.covered_work.totals:
            return {}
        return _add_work(own, self.covered_work.totals_without(instance, now))

    def remove_instance(self, instance: str) -> None:
        """Removes the work that an instance has reported."""
        self.remote_work.remove(instance)
        self.covered_work.remove(instance)

    def outstanding_work(self, name: str, now: float) -> OutstandingWork:
        """Returns the total work of all instances on a path or upstream."""
        own = self.own_work.get(name)
        total = (
            OutstandingWork(own.requests, own.tokens)
            if own
            else OutstandingWork()
        )
        reported = self.remote_work.total(name, now)
        if reported is not None:
            total.requests += reported.requests
            total.tokens += reported.tokens
        return total

    def choose_path(
        self,
        paths: Iterable[Path],
        tokens: float,
        excluded: frozenset[str],
        now: float,
    ) -> Path | Full | Nothing:
        """Returns the better of two random paths by expected step time.

        Load pattern: sixty instances receive each other's outstanding work
        half a second late, and fifty requests arrive in this time. If all
        chose the path that was best before, their prompts would queue there
        while the other paths are idle. The better of two random paths spreads
        them.

        Args:
            paths: Paths whose engines are all usable.
            tokens: Expected memory use of the request, in tokens.
            excluded: Names of paths that failed for this request.
            now: Monotonic time in seconds.
        """
        usable = [p for p in paths if p.name not in excluded]
        if not usable:
            return Nothing()
        if self.paces is not None:
            return self._choose_paced_path(usable, tokens, now)
        preferred = [
            p
            for p in usable
            if not self.is_stalled(p.name, now)
            and self.avoided_until.get(p.name, now) <= now
        ]
        costs = []
        for candidate in preferred or usable:
            work = self.outstanding_work(candidate.name, now)
            if _has_capacity(
                candidate, work, tokens
            ) and not self.room.is_denied(candidate.name, now):
                cost = self._cost(candidate, work, tokens)
                costs.append((cost, candidate))
        if not costs:
            return Full()
        return self._better_of_two(costs)

    def _choose_paced_path(
        self, usable: list[Path], tokens: float, now: float
    ) -> Path | Full:
        """Returns a path within its limit, or the next best with capacity.

        Load pattern: all paths but those that have just returned, or on which
        a stream was stalled a moment ago, are full. A request is refused only
        if these have no capacity either.
        """
        within: list[tuple[float, Path]] = []
        in_need: list[tuple[float, Path]] = []
        avoided: list[tuple[float, Path]] = []
        active = [p for p in usable if not self.is_stalled(p.name, now)]
        for candidate in active or usable:
            work = self.outstanding_work(candidate.name, now)
            if not _has_capacity(
                candidate, work, tokens
            ) or self.room.is_denied(candidate.name, now):
                continue
            choice = (self._cost(candidate, work, tokens), candidate)
            if self.avoided_until.get(candidate.name, now) > now:
                avoided.append(choice)
            elif self.paces.admits(candidate.name, work.requests, now):
                within.append(choice)
            elif self.paces.admits_in_need(
                candidate.name, work.requests, candidate.slots, now
            ):
                in_need.append(choice)
        for costs in (within, in_need, avoided):
            if costs:
                return self._better_of_two(costs)
        return Full()

    def _better_of_two(self, costs: list[tuple[float, Path]]) -> Path:
        sampled = self.rng.sample(costs, min(CANDIDATE_COUNT, len(costs)))
        return min(sampled, key=lambda c: c[0])[1]

    def choose_upstream(
        self,
        candidates: list[upstreams.Upstream],
        excluded: frozenset[str],
        now: float,
    ) -> Path | Nothing:
        """Returns the upstream with the fewest requests for its slots."""
        usable = [u for u in candidates if u.name not in excluded]
        if not usable:
            return Nothing()

        if self.paces is not None:
            usable = self._paced_upstreams(usable, now)

        def cost(
            candidate: upstreams.Upstream,
        ) -> tuple[float, bool, bool, float]:
            work = self.outstanding_work(candidate.name, now)
            utilization = work.requests / max(1, candidate.slots)
            # Of idle ones, the answers of a paced upstream are of more use.
            is_proven = self.paces is not None and not self.paces.is_paced(
                candidate.name
            )
            is_remote = candidate.data_centre != self.data_centre
            return (utilization, is_proven, is_remote, self.rng.random())

        return _upstream_path(min(usable, key=cost))

    def _paced_upstreams(
        self, usable: list[upstreams.Upstream], now: float
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams within their limits, or those with capacity.

        Load pattern: two of three upstreams return at once, and the third is
        full. They take what it would queue, up to their slots.
        """
        if not self.paces.paces:
            return usable
        within = []
        in_need = []
        is_full = True
        for candidate in usable:
            count = self.outstanding_work(candidate.name, now).requests
            if self.paces.admits(candidate.name, count, now):
                within.append(candidate)
                is_full = is_full and count >= candidate.slots
            elif count < candidate.slots and self.paces.admits_in_need(
                candidate.name, count, candidate.slots, now
            ):
                in_need.append(candidate)
        if is_full:
            within += in_need
        return within or usable

    def is_stalled(self, name: str, now: float) -> bool:
        """Returns whether this instance's streams on a path are stalled."""
        progress = self.stream_progress.get(name)
        return progress is not None and progress.is_stalled(now)

    def avoid(self, name: str, until: float) -> None:
        """Avoids a path until a time, unless there is no other."""
        self.avoided_until[name] = until

    def record_start(
        self, name: str, tokens: float, now: float, patience_s: float = 0.0
    ) -> pace.Ticket | None:
        """Records a request that is about to be sent.

        Returns:
            Its ticket for ``record_answer``; None if servers are not paced.
        """
        self.room.use_grant(name)
        own = self.own_work.setdefault(name, OutstandingWork())
        if own.requests == 0:
            self.stream_progress[name] = stream_progress.StreamProgress(
                now, patience_s
            )
        # A path that is completed with other engines may cross a link.
        self.stream_progress[name].patience_s = patience_s
        own.requests += 1
        own.tokens += tokens
        return self.paces.record_start(name) if self.paces is not None else None

    def record_answer(
        self, ticket: pace.Ticket | None, outcome: pace.Outcome, now: float
    ) -> None:
        """Records how a server has answered a request that has not ended."""
        if self.paces is None or ticket is None:
            return
        work = self.outstanding_work(ticket.server, now)
        self.paces.record(ticket, outcome, work.requests, now)

    def record_first_event(self, name: str) -> None:
        """Records the first event of a stream."""
        self.stream_progress[name].streams += 1

    def record_event(self, name: str, now: float) -> None:
        """Records an event of any stream on a path."""
        self.stream_progress[name].record_event(now)

    def record_end(
        self,
        name: str,
        tokens: float,
        had_event: bool = False,
        ticket: pace.Ticket | None = None,
    ) -> None:
        """Records the end of a request.

        Args:
            name: Name of the path or upstream.
            tokens: Tokens that were recorded at its start.
            had_event: Whether its first event was recorded.
            ticket: What ``record_start`` returned.
        """
        if self.paces is not None:
            self.paces.record_end(ticket)
        own = self.own_work[name]
        own.requests -= 1
        own.tokens -= tokens
        if had_event:
            self.stream_progress[name].streams -= 1
        if own.requests == 0:
            del self.own_work[name]
            del self.stream_progress[name]
        self.on_capacity()

    def _cost(self, path: Path, work: OutstandingWork, tokens: float) -> float:
        """Returns the expected step time, weighted by the free memory.

        Like the wait in a queue it grows without bound as the path fills up.
        Fast paths thus keep capacity for requests that this instance has not
        been informed of yet; engines refuse or preempt what exceeds their
        memory.
        """
        step_s = path.step_s + path.sequence_s * (work.requests + 1)
        is_local = path.data_centre == self.data_centre
        free_ratio = 1 - (work.tokens + tokens) / (
            path.tokens * USABLE_MEMORY_RATIO
        )
        return (
            step_s
            * (1.0 if is_local else REMOTE_PENALTY_FACTOR)
            / max(free_ratio, 1e-3)
        )


def _upstream_path(upstream: upstreams.Upstream) -> Path:
    """Returns the path that consists of a plain upstream only."""
    return Path(
        name=upstream.name,
        hops=(upstream,),
        ranges=(),
        step_s=0.0,
        sequence_s=0.0,
        tokens=float("inf"),
        slots=upstream.slots,
        data_centre=upstream.data_centre,
    )


def _has_capacity(path: Path, work: OutstandingWork, tokens: float) -> bool:
    if work.requests >= path.slots:
        return False
    return work.tokens + tokens <= path.tokens * USABLE_MEMORY_RATIO


def _add_work(
    own: Mapping[str, OutstandingWork],
    totals: Mapping[str, remote_work.Total],
) -> dict[str, OutstandingWork]:
    """Returns the sum of own work and the totals of others by path."""
    work = {n: OutstandingWork(v.requests, v.tokens) for n, v in own.items()}
    for name, total in totals.items():
        found = work.get(name)
        if found is None:
            work[name] = OutstandingWork(total.requests, total.tokens)
        else:
            found.requests += total.requests
            found.tokens += total.tokens
    return work
