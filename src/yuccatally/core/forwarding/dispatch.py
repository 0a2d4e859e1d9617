"""Choice of a pipeline or an upstream for one request."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams

# Share of the link between data centres that prompts may take. Decode steps
# wait behind them: 13 ms a crossing at this share and 40 ms a prompt, 80 ms at
# 0.8 (mean wait of a queue with constant service times).
PIPE_SHARE = 0.4
# Requests on a path with which the duration of an answer is estimated for that
# share: a little below the 40 of today's sites at their peak.
USUAL_REQUESTS = 30
# Share of a stage's memory that is given out; the rest absorbs answers that
# get longer than expected, before engines have to preempt.
MEMORY_SHARE = 0.92
# Paths that are drawn at random for a request, of which it takes the best: the
# fewest that compare load. Instances with the same old picture draw others.
CHOICES = 2
# Another data centre is chosen only if it is faster by this factor.
DISTANCE_FACTOR = 1.05
# What another instance last said of load counts for this long, ten exchanges.
REMOTE_WORK_TTL_S = 1.5
# A path whose streams have all been quiet for this many of its usual pauses
# has stalled. Its engines work in passes, so its streams move together.
STALL_PAUSES = 3.0
# Bounds of that time: with less, a long prompt that is read between two steps
# would count as a stall; with more, callers see a pause that is too long.
MIN_STALL_S = 0.11
MAX_STALL_S = 0.4
# Streams that must be quiet together; one alone may have been preempted.
STALL_STREAMS = 2
# Nothing at all for this long is a stall even before the first event.
FIRST_EVENT_S = 0.5
# Weight of the newest pause in the usual one.
PACE_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True)
class Path:
    """A pipeline as it can be used now.

    Attributes:
        name: Name of the pipeline.
        hops: Engines in order.
        ranges: First layer and the one after the last, for each hop; none for
            a plain upstream.
        step_s: Time of a decode step without load, over all stages.
        sequence_s: What each request adds to it.
        tokens: Tokens for which its weakest stage has memory.
        slots: Requests that its first engine takes at once.
        data_centre: Where its first engine stands.
    """

    name: str
    hops: tuple[upstreams.Upstream, ...]
    ranges: tuple[tuple[int, int], ...]
    step_s: float
    sequence_s: float
    tokens: float
    slots: int
    data_centre: str

    def has(self, address: str) -> bool:
        """Returns whether an engine with an address is on the path."""
        return any(h.address == address for h in self.hops)


@dataclasses.dataclass
class StreamProgress:
    """How the streams of this instance move on a path.

    Attributes:
        moved_at: Time of the last event of any of them, or of the first
            request after a time without.
        pause_s: Usual pause between two events of any of them.
        streams: Streams that have had an event and are not done.
    """

    last_event_at: float
    event_interval_s: float = MIN_STALL_S / STALL_PAUSES
    streams: int = 0

    def record_event(self, now: float) -> None:
        """Takes in an event."""
        event_interval_s = now - self.last_event_at
        self.last_event_at = now
        if event_interval_s < MAX_STALL_S:
            self.event_interval_s += PACE_WEIGHT * (
                event_interval_s - self.event_interval_s
            )

    def is_stalled(self, now: float) -> bool:
        """Returns whether nothing has moved for too long."""
        quiet_s = now - self.last_event_at
        if self.streams < STALL_STREAMS:
            return quiet_s > FIRST_EVENT_S
        limit_s = max(STALL_PAUSES * self.event_interval_s, MIN_STALL_S)
        return quiet_s > min(limit_s, MAX_STALL_S)


@dataclasses.dataclass
class OutstandingWork:
    """Requests that an instance has under way on one path or upstream."""

    requests: int = 0
    tokens: float = 0.0


@dataclasses.dataclass(frozen=True)
class Full:
    """Every path is full."""


@dataclasses.dataclass(frozen=True)
class Nothing:
    """There is no path to choose from."""


class Dispatcher:
    """Chooses by outstanding work of all instances.

    Load pattern: all instances see the same fastest pipeline. Each counts the
    work that the others say they have on it, so it fills up once and not eight
    times over.

    Attributes:
        own: Work of this instance by path or upstream.
        paces: How streams move, by path with requests under way.
        avoided: Time until which a path that failed is passed over.
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self.data_centre = data_centre
        self.rng = rng
        self.own_work: dict[str, OutstandingWork] = {}
        self.remote_work: dict[
            str, tuple[float, dict[str, OutstandingWork]]
        ] = {}
        self.stream_progress: dict[str, StreamProgress] = {}
        self.avoided_until: dict[str, float] = {}

    def apply_remote_work(
        self, instance: str, loads: dict[str, OutstandingWork], now: float
    ) -> None:
        """Takes in the work of another instance and of those it speaks for."""
        self.remote_work[instance] = (now, loads)

    def retain_instances(self, instances: Iterable[str]) -> None:
        """Drops the work that other instances than these have told."""
        kept = set(instances)
        self.remote_work = {
            n: v for n, v in self.remote_work.items() if n in kept
        }

    def work_of(
        self, instances: Iterable[str], now: float
    ) -> dict[str, OutstandingWork]:
        """Returns the work of this instance and of some others by path."""
        told = [self.remote_work[n] for n in instances if n in self.remote_work]
        return self._sum(told, now)

    def work_without(
        self, instance: str, now: float
    ) -> dict[str, OutstandingWork]:
        """Returns the work of all instances but one by path."""
        told = [v for n, v in self.remote_work.items() if n != instance]
        return self._sum(told, now)

    def remove_instance(self, instance: str) -> None:
        """Drops the work of an instance that has ended."""
        self.remote_work.pop(instance, None)

    def _sum(
        self,
        told: Iterable[tuple[float, dict[str, OutstandingWork]]],
        now: float,
    ) -> dict[str, OutstandingWork]:
        total = {
            n: OutstandingWork(v.requests, v.tokens)
            for n, v in self.own_work.items()
        }
        for heard_at, loads in told:
            if now - heard_at >= REMOTE_WORK_TTL_S:
                continue
            for name, load in loads.items():
                found = total.setdefault(name, OutstandingWork())
                found.requests += load.requests
                found.tokens += load.tokens
        return total

    def outstanding_work(self, name: str, now: float) -> OutstandingWork:
        """Returns the work of all instances on a path or upstream."""
        own = self.own_work.get(name)
        total = (
            OutstandingWork(own.requests, own.tokens)
            if own
            else OutstandingWork()
        )
        for heard_at, loads in self.remote_work.values():
            found = loads.get(name)
            if found is not None and now - heard_at < REMOTE_WORK_TTL_S:
                total.requests += found.requests
                total.tokens += found.tokens
        return total

    def choose_path(
        self,
        paths: Iterable[Path],
        tokens: float,
        excluded: frozenset[str],
        now: float,
    ) -> Path | Full | Nothing:
        """Returns the path with the shorter expected decode step of two.

        Load pattern: sixty instances learn of each other's requests half a
        second late, in which fifty requests arrive. If all took the path that
        was the best then, their prompts would wait for each other there while
        the other paths are idle. The better of two random ones spreads them.

        Args:
            paths: Paths that are whole.
            tokens: Memory that the request is expected to need.
            excluded: Names of paths that failed for this request.
            now: Monotonic time in seconds.
        """
        usable = [p for p in paths if p.name not in excluded]
        if not usable:
            return Nothing()
        moving = [
            p
            for p in usable
            if not self.is_stalled(p.name, now)
            and self.avoided_until.get(p.name, now) <= now
        ]
        fitting = []
        for candidate in moving or usable:
            load = self.outstanding_work(candidate.name, now)
            if _fits(candidate, load, tokens):
                cost = self._cost(candidate, load, tokens)
                fitting.append((cost, candidate))
        if not fitting:
            return Full()
        drawn = self.rng.sample(fitting, min(CHOICES, len(fitting)))
        return min(drawn, key=lambda f: f[0])[1]

    def choose_upstream(
        self,
        candidates: list[upstreams.Upstream],
        excluded: frozenset[str],
        now: float,
    ) -> Path | Nothing:
        """Returns the upstream of a plain service with the least work."""
        usable = [u for u in candidates if u.name not in excluded]
        if not usable:
            return Nothing()

        def cost(found: upstreams.Upstream) -> tuple[float, bool, float]:
            load = self.outstanding_work(found.name, now)
            share = load.requests / max(1, found.slots)
            far = found.data_centre != self.data_centre
            return (share, far, self.rng.random())

        return _direct(min(usable, key=cost))

    def is_stalled(self, name: str, now: float) -> bool:
        """Returns whether streams of this instance wait on a path."""
        pace = self.stream_progress.get(name)
        return pace is not None and pace.is_stalled(now)

    def avoid(self, name: str, until: float) -> None:
        """Passes over a path until a time unless there is no other."""
        self.avoided_until[name] = until

    def record_start(self, name: str, tokens: float, now: float) -> None:
        """Counts a request that is about to be sent."""
        own = self.own_work.setdefault(name, OutstandingWork())
        if own.requests == 0:
            self.stream_progress[name] = StreamProgress(now)
        own.requests += 1
        own.tokens += tokens

    def record_first_event(self, name: str) -> None:
        """Counts a stream that has had its first event."""
        self.stream_progress[name].streams += 1

    def record_event(self, name: str, now: float) -> None:
        """Notes that an event came over a path."""
        self.stream_progress[name].record_event(now)

    def record_end(self, name: str, tokens: float, begun: bool = False) -> None:
        """Counts the end of a request."""
        own = self.own_work[name]
        own.requests -= 1
        own.tokens -= tokens
        if begun:
            self.stream_progress[name].streams -= 1
        if own.requests == 0:
            del self.own_work[name]
            del self.stream_progress[name]

    def _cost(self, path: Path, load: OutstandingWork, tokens: float) -> float:
        """Returns the expected step time, longer the less memory is left.

        Like the wait in a queue it grows without bound towards a full path, so
        that fast paths have room left for what this instance doesn't know of
        yet: engines refuse or preempt what doesn't fit.
        """
        step_s = path.step_s + path.sequence_s * (load.requests + 1)
        near = path.data_centre == self.data_centre
        left = 1 - (load.tokens + tokens) / (path.tokens * MEMORY_SHARE)
        return step_s * (1.0 if near else DISTANCE_FACTOR) / max(left, 1e-3)


def build_paths(
    model: rules.Model, found: Iterable[tuple[str, tuple[Hop, ...]]]
) -> list[Path]:
    """Returns the paths of pipelines whose stages are all usable.

    Load pattern: engines are lost one after the other, until the pipelines of
    several data centres are repaired with engines of others. Their prompts wait
    for each other on one link, every decode step waits behind them, and with
    more requests than the link carries nothing is served in time. Paths that
    cross it take their share of what it carries and no more.
    """
    paths = [_path(model, name, hops) for name, hops in found]
    crossing = sum(1 for p in paths if _crossings(p))
    return [
        dataclasses.replace(p, slots=_pipe_slots(model, p, crossing))
        if _crossings(p)
        else p
        for p in paths
    ]


@dataclasses.dataclass(frozen=True)
class Hop:
    """A stage on an engine that may be used."""

    engine: upstreams.Upstream
    first: int
    last: int


def _path(model: rules.Model, name: str, hops: tuple[Hop, ...]) -> Path:
    step_s = sequence_s = 0.0
    tokens = float("inf")
    context = (model.prompt_tokens + model.answer_tokens / 2) / 1e3
    for hop in hops:
        card = model.cards[hop.engine.card]
        share = (hop.last - hop.first) / model.layers
        step_s += share * card.step_factor * model.step_s
        sequence_s += (
            share
            * card.step_factor
            * (model.step_sequence_s + context * model.step_context_s)
        )
        tokens = min(tokens, model.tokens(card, hop.last - hop.first))
    return Path(
        name=name,
        hops=tuple(h.engine for h in hops),
        ranges=tuple((h.first, h.last) for h in hops),
        step_s=step_s,
        sequence_s=sequence_s,
        tokens=tokens,
        slots=model.slots,
        data_centre=hops[0].engine.data_centre,
    )


def _crossings(path: Path) -> int:
    """Returns how often a path goes from one data centre to another."""
    return sum(
        a.data_centre != b.data_centre for a, b in itertools.pairwise(path.hops)
    )


def _pipe_slots(model: rules.Model, path: Path, sharing: int) -> int:
    """Returns how many requests a path may take that crosses the shared link.

    That is what arrives, at the rate at which the link carries prompts, within
    the duration of an answer; at least one.

    Args:
        model: How engines run the model.
        path: A path that crosses the link.
        sharing: Number of paths that cross it.
    """
    prompt_bytes = model.activation_bytes * model.prompt_tokens
    if not prompt_bytes or not model.pipe_mbps:
        return path.slots
    bytes_per_s = PIPE_SHARE * model.pipe_mbps * 1e6 / 8
    per_s = bytes_per_s / (prompt_bytes * _crossings(path))
    step_s = path.step_s + path.sequence_s * USUAL_REQUESTS
    at_once = per_s * model.answer_tokens * step_s / sharing
    return max(1, min(path.slots, int(at_once)))


def _direct(upstream: upstreams.Upstream) -> Path:
    """Returns the path that is a plain upstream alone."""
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


def _fits(path: Path, load: OutstandingWork, tokens: float) -> bool:
    if load.requests >= path.slots:
        return False
    return load.tokens + tokens <= path.tokens * MEMORY_SHARE
