"""Tests the limits of servers that have started or recovered."""

from __future__ import annotations

import dataclasses
import math
import random

import msgspec
import pytest

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import pace
from yuccatally.core.forwarding import pace_messages
from yuccatally.core.forwarding import pace_table
from yuccatally.core.forwarding import stream_progress
from yuccatally.core.forwarding import upstreams

INSTANCE_COUNT = 88
NONE: frozenset[str] = frozenset()
STEP_S = 0.01
HEARTBEAT_S = 0.15
# Time in which work and limits reach all instances.
LAG_S = 0.5


def _upstream(
    name: str, born_ms: int = 1, slots: int = 64
) -> upstreams.Upstream:
    return upstreams.Upstream(
        name, born_ms, "s", f"{name}:1", "a", slots, draining=False
    )


def _path(name: str, born_ms: int = 1, slots: int = 64) -> dispatch.Path:
    return dispatch.Path(
        name,
        (_upstream(name, born_ms),),
        ((0, 80),),
        0.01,
        1e-4,
        1e6,
        slots,
        "a",
    )


def _server(name: str, born_ms: int = 1, slots: int = 64) -> pace.Server:
    return pace.Server.from_hops(name, ((name, born_ms),), slots)


class Instance:
    """A dispatcher that records the changes of its paces."""

    def __init__(self, number: int, count: int, paced: bool = True) -> None:
        self.name = f"i{number:03}"
        self.paces = pace_table.PaceTable()
        self.changes: list[pace.Change] = []
        self.paces.on_change = self.changes.append
        self.paces.set_instances(self.name, (f"i{n:03}" for n in range(count)))
        self.dispatcher = dispatch.Dispatcher(
            "a", random.Random(number), self.paces if paced else None
        )


@dataclasses.dataclass
class Attempt:
    """An attempt at a server until its end."""

    instance: Instance
    server: str
    ticket: pace.Ticket | None
    answers_at: float


Beat = tuple[
    float,
    Instance,
    dict[str, dispatch.OutstandingWork],
    tuple[pace_messages.SharedPace, ...],
]


class Fleet:
    """Instances that learn of each other's work and limits after a while.

    Attributes:
        answer_s: Time to the answer of each server.
        outcome: Outcome of the attempts at each server.
        starts: Times of the attempts at each server.
    """

    def __init__(self, count: int = INSTANCE_COUNT, paced: bool = True) -> None:
        self.instances = [Instance(n, count, paced) for n in range(count)]
        self.now = 100.0
        self.answer_s: dict[str, float] = {}
        self.outcome: dict[str, pace.Outcome] = {}
        self.starts: dict[str, list[float]] = {}
        self.attempts: list[Attempt] = []
        self.sent: list[Beat] = []
        self.beats_at = 0.0
        self.has_heartbeats = True
        self.refused_count = 0
        self.servers: list[upstreams.Upstream] = []

    def set_servers(self, *servers: upstreams.Upstream) -> None:
        """Sets the usable servers, which all instances see at once."""
        self.servers = list(servers)
        for instance in self.instances:
            instance.paces.observe(
                "s",
                (
                    pace.Server.from_hops(
                        u.name, ((u.name, u.born_ms),), u.slots
                    )
                    for u in servers
                ),
                self.now,
            )

    def run(self, seconds: float, per_s: float, rng: random.Random) -> None:
        """Sends requests at random instances for a time."""
        until = self.now + seconds
        due = 0.0
        while self.now < until:
            self.now += STEP_S
            self._answer()
            self._exchange()
            due += per_s * STEP_S
            while due >= 1:
                due -= 1
                self._send(rng.choice(self.instances))

    def started(self, server: str, since: float, seconds: float) -> int:
        """Returns the attempts at a server within a time."""
        return sum(
            since < at <= since + seconds for at in self.starts.get(server, ())
        )

    def limits(self, server: str) -> list[int | None]:
        """Returns the limit of a server on each instance; None if proven."""
        return [
            i.paces.paces[server].limit if i.paces.is_paced(server) else None
            for i in self.instances
        ]

    def _send(self, instance: Instance) -> None:
        paths = [
            dataclasses.replace(_path(u.name, u.born_ms, u.slots), hops=(u,))
            for u in self.servers
        ]
        chosen = instance.dispatcher.choose_path(paths, 1.0, NONE, self.now)
        if not isinstance(chosen, dispatch.Path):
            self.refused_count += 1
            return
        ticket = instance.dispatcher.record_start(chosen.name, 1.0, self.now)
        self.starts.setdefault(chosen.name, []).append(self.now)
        ends_at = self.now + self.answer_s.get(chosen.name, 0.2)
        self.attempts.append(Attempt(instance, chosen.name, ticket, ends_at))

    def _answer(self) -> None:
        waiting = []
        for attempt in self.attempts:
            if attempt.answers_at > self.now:
                waiting.append(attempt)
                continue
            dispatcher = attempt.instance.dispatcher
            outcome = self.outcome.get(attempt.server, pace.InTime())
            dispatcher.record_answer(attempt.ticket, outcome, self.now)
            dispatcher.record_end(attempt.server, 1.0, ticket=attempt.ticket)
            # Streams go on without a stall, so only the work is of interest.
            dispatcher.stream_progress.clear()
            for name in dispatcher.own_work:
                dispatcher.stream_progress[name] = (
                    stream_progress.StreamProgress(self.now)
                )
        self.attempts = waiting
        # No stream is stalled.
        for instance in self.instances:
            for progress in instance.dispatcher.stream_progress.values():
                progress.last_event_at = self.now

    def _exchange(self) -> None:
        if not self.has_heartbeats:
            return
        if self.now >= self.beats_at:
            self.beats_at = self.now + HEARTBEAT_S
            self.sent.extend(
                (
                    self.now + LAG_S,
                    i,
                    {
                        n: dispatch.OutstandingWork(w.requests, w.tokens)
                        for n, w in i.dispatcher.own_work.items()
                    },
                    i.paces.share(self.now),
                )
                for i in self.instances
            )
        while self.sent and self.sent[0][0] <= self.now:
            _, sender, work, shared = self.sent.pop(0)
            for receiver in self.instances:
                if receiver is not sender:
                    receiver.dispatcher.apply_remote_work(
                        sender.name, work, self.now
                    )
                    receiver.paces.merge(shared, self.now)


@pytest.fixture
def fleet() -> Fleet:
    """88 instances and three servers that are proven."""
    created = Fleet()
    created.set_servers(*(_upstream(n) for n in "abc"))
    return created


@pytest.fixture
def single() -> Instance:
    """One instance with a server that is proven and one that is paced."""
    created = Instance(0, 1)
    created.paces.observe("s", [_server("a")], 0.0)
    created.paces.observe("s", [_server("a"), _server("b")], 0.0)
    return created


def _attempt(
    instance: Instance,
    server: str,
    outcome: pace.Outcome,
    now: float,
    outstanding_count: int = 1,
) -> None:
    ticket = instance.paces.record_start(server)
    instance.paces.record(ticket, outcome, outstanding_count, now)
    instance.paces.record_end(ticket)


def test_returned_server_gets_its_limit_before_its_first_answer(
    fleet: Fleet,
) -> None:
    """Guards against 88 instances that each send a returned server a request.

    Load pattern: a server restarts under its name at full demand, and the work
    of others is known after half a second. It has the fewest requests of all.
    Its first answer takes two turns of its limit.
    """
    rng = random.Random(1)
    fleet.run(1.0, 600, rng)
    fleet.answer_s["c"] = 2 * pace_table.ROTATION_S
    fleet.set_servers(_upstream("a"), _upstream("b"), _upstream("c", 2))
    returned_at = fleet.now
    fleet.run(2 * pace_table.ROTATION_S - 2 * STEP_S, 600, rng)
    count = fleet.started("c", returned_at, 1.0)
    assert 1 <= count <= 2 * pace_table.INITIAL_LIMIT_COUNT


def test_proven_server_has_its_full_part_after_few_answers(
    single: Instance,
) -> None:
    """Guards against a ramp that lasts longer than the server needs.

    Load pattern: a server of 64 slots returns at full demand and answers each
    request in time.
    """
    for number in range(int(math.log2(64 / pace_table.INITIAL_LIMIT_COUNT))):
        assert single.paces.is_paced("b")
        _attempt(single, "b", pace.InTime(), number * 0.1)
    assert not single.paces.is_paced("b")
    assert isinstance(single.changes[-1], pace.Released)


def test_returned_server_serves_its_part_within_a_second_or_two(
    fleet: Fleet,
) -> None:
    """Guards against a returned server that stays idle at full demand.

    Load pattern: as above; the server answers within 0.1 s.
    """
    rng = random.Random(2)
    fleet.answer_s = dict.fromkeys("abc", 0.1)
    fleet.run(1.0, 600, rng)
    fleet.set_servers(_upstream("a"), _upstream("b"), _upstream("c", 2))
    fleet.run(2.5, 600, rng)
    fleet.run(1.0, 600, rng)
    assert fleet.started("c", fleet.now - 1.0, 1.0) > 0.8 * 600 / 3


def test_slow_server_keeps_a_low_limit(fleet: Fleet) -> None:
    """Guards against a server that returns slow and is filled all the same.

    Load pattern: a returned server answers late, beside two with capacity.
    """
    rng = random.Random(3)
    fleet.answer_s = {"a": 0.1, "b": 0.1, "c": 0.9}
    fleet.outcome["c"] = pace.Late()
    fleet.set_servers(_upstream("a"), _upstream("b"), _upstream("c", 2))
    returned_at = fleet.now
    fleet.run(5.0, 300, rng)
    assert fleet.started("c", returned_at, 5.0) <= 3 * 5
    assert set(fleet.limits("c")) == {1}


def test_server_that_returns_again_and_again_starts_lower(
    single: Instance,
) -> None:
    """Guards against a full start at each return of a server that flaps.

    Load pattern: a server leaves and returns every second, and then stays.
    """
    both = [_server("a"), _server("b", slots=64)]
    limits = [single.paces.paces["b"].limit]
    for second in range(1, 4):
        single.paces.observe("s", [_server("a")], second - 0.5)
        single.paces.observe("s", both, second)
        limits.append(single.paces.paces["b"].limit)
    assert limits == [2, 1, 1, 1]
    single.paces.observe("s", [_server("a")], 5.0)
    later = 5.0 + pace_table.FORGET_S
    single.paces.observe("s", both, later)
    assert single.paces.paces["b"].limit == pace_table.INITIAL_LIMIT_COUNT


def test_restarted_process_is_paced_as_a_new_one(single: Instance) -> None:
    """Guards against the trust in a process that has been replaced.

    Load pattern: a server ends and starts under its name between two looks.
    """
    assert not single.paces.is_paced("a")
    single.paces.observe("s", [_server("a", 2), _server("b")], 1.0)
    assert single.paces.is_paced("a")


def test_server_that_is_healthy_but_fails_loses_its_part(
    single: Instance,
) -> None:
    """Guards against the server that attracts requests as it fails fast.

    Load pattern: a proven server answers all requests with an error status,
    while its service has one error in ten responses.
    """
    rng = random.Random(4)
    for _ in range(300):
        outcome = pace.ErrorStatus() if rng.random() < 0.1 else pace.InTime()
        _attempt(single, "a", outcome, 1.0)
    assert not single.paces.is_paced("a")
    for _ in range(12):
        _attempt(single, "a", pace.ErrorStatus(), 2.0)
    assert single.paces.paces["a"].limit == 1


@pytest.mark.parametrize("error_ratio", [0.0, 0.004, 0.14])
def test_usual_errors_of_an_application_lower_nothing(
    error_ratio: float,
) -> None:
    """Guards against an application whose own errors throttle its servers.

    Load pattern: one response in seven is an error status, on all servers.
    """
    rng = random.Random(5)
    instance = Instance(0, 1)
    instance.paces.observe("s", [_server("a")], 0.0)
    instance.paces.observe("s", [_server("a"), _server("b")], 0.0)
    for _ in range(3000):
        for name in "ab":
            is_error = rng.random() < error_ratio
            outcome = pace.ErrorStatus() if is_error else pace.InTime()
            _attempt(instance, name, outcome, 1.0)
    assert instance.changes == [
        pace.Began("b", pace_table.INITIAL_LIMIT_COUNT),
        pace.Released("b"),
    ]


def test_errors_give_a_paced_server_no_growth(single: Instance) -> None:
    """Guards against a server whose errors come fast and count as in time."""
    for _ in range(5):
        _attempt(single, "b", pace.ErrorStatus(), 1.0)
    assert single.paces.paces["b"].limit <= pace_table.INITIAL_LIMIT_COUNT


def test_servers_that_all_return_at_once_serve_the_demand(fleet: Fleet) -> None:
    """Guards against a collapse as every server is new.

    Load pattern: all servers lose power and are back together at full demand.
    """
    rng = random.Random(6)
    fleet.run(1.0, 300, rng)
    fleet.set_servers()
    fleet.set_servers(*(_upstream(n, 2) for n in "abc"))
    fleet.refused_count = 0
    fleet.run(4.0, 300, rng)
    assert fleet.refused_count == 0
    assert set(fleet.limits("a")) == {None}


def test_last_server_gets_everything(single: Instance) -> None:
    """Guards against refusals while the only server left has capacity.

    Load pattern: one server returns while all others are gone or full.
    """
    only = _path("b", slots=8)
    for number in range(8):
        chosen = single.dispatcher.choose_path([only], 1.0, NONE, 1.0)
        assert chosen is only, number
        single.dispatcher.record_start("b", 1.0, 1.0)
    full = single.dispatcher.choose_path([only], 1.0, NONE, 1.0)
    assert full == dispatch.Full()


def test_paced_server_takes_more_while_others_are_full(
    single: Instance,
) -> None:
    """Guards against a returned server that idles beside full ones.

    Load pattern: a plain service with a full server and one that returned.
    """
    full, returned = _upstream("a", slots=2), _upstream("b")
    for _ in range(2):
        single.dispatcher.record_start("a", 0.0, 1.0)
    for _ in range(6):
        chosen = single.dispatcher.choose_upstream([full, returned], NONE, 1.0)
        assert isinstance(chosen, dispatch.Path)
        assert chosen.name == "b"
        single.dispatcher.record_start("b", 0.0, 1.0)


def test_instances_without_heartbeats_keep_to_their_part() -> None:
    """Guards against instances that hear nothing and flood a server.

    Load pattern: heartbeats are lost at the moment at which a server returns,
    and its answers take longer than the turns of its limit.
    """
    fleet = Fleet()
    fleet.set_servers(*(_upstream(n, slots=640) for n in "abc"))
    fleet.has_heartbeats = False
    fleet.answer_s["c"] = 3.0
    fleet.set_servers(
        _upstream("a", slots=640),
        _upstream("b", slots=640),
        _upstream("c", 2, slots=640),
    )
    returned_at = fleet.now
    fleet.run(2.0, 600, random.Random(7))
    turn_count = 2.0 / pace_table.ROTATION_S
    assert fleet.started("c", returned_at, 2.0) <= (
        pace_table.INITIAL_LIMIT_COUNT * (turn_count + 1)
    )


def test_instances_use_what_one_has_learned(fleet: Fleet) -> None:
    """Guards against a trial of each server by each of 88 instances."""
    rng = random.Random(8)
    fleet.set_servers(_upstream("a"), _upstream("b"), _upstream("c", 2))
    fleet.answer_s["c"] = 0.05
    fleet.run(3.0, 300, rng)
    releases = [
        c
        for i in fleet.instances
        for c in i.changes
        if isinstance(c, pace.Released)
    ]
    assert set(fleet.limits("c")) == {None}
    assert len(releases) < INSTANCE_COUNT / 4


def test_answers_to_earlier_attempts_change_nothing_twice(
    single: Instance,
) -> None:
    """Guards against a limit that halves with each answer of one moment.

    Load pattern: a server with 40 requests under way fails them together.
    """
    tickets = [single.paces.record_start("a") for _ in range(40)]
    for ticket in tickets:
        single.paces.record(ticket, pace.Failed(), 40, 1.0)
    assert single.paces.paces["a"].limit == 20
    _attempt(single, "a", pace.InTime(), 1.1)
    single.paces.record(tickets[0], pace.InTime(), 40, 1.2)
    assert single.paces.paces["a"].limit == 40


def test_refusal_limits_a_proven_server_to_what_it_bears(
    single: Instance,
) -> None:
    """Guards against further requests to a server that has just refused."""
    _attempt(single, "a", pace.RefusedFull(), 1.0, outstanding_count=40)
    assert single.paces.paces["a"].limit == 30
    assert not single.paces.admits("a", 30, 1.0)


def test_limit_of_a_refusing_server_holds_on_all_instances() -> None:
    """Guards against instances that go on sending to a server that refused.

    Load pattern: one of many instances is refused by a server that has 60
    requests of all; the others learn of its limit by heartbeat.
    """
    refused, other = Instance(0, 2), Instance(1, 2)
    for instance in (refused, other):
        instance.paces.observe("s", [_server("a")], 0.0)
    _attempt(refused, "a", pace.RefusedFull(), 1.0, outstanding_count=60)
    other.paces.merge(refused.paces.share(1.0), 1.1)
    assert not other.paces.admits("a", 59, 1.1)
    assert other.paces.admits("a", 40, 1.1)


def test_repaired_path_is_not_held_back_by_its_running_streams(
    single: Instance,
) -> None:
    """Guards against a path that gets no request until all its streams ended.

    Load pattern: an engine of a path with 30 streams is replaced, and they go
    on over the new engine.
    """
    single.paces.observe("s", [_server("a", 2), _server("b")], 1.0)
    assert single.paces.admits("a", 30, 1.0)
    single.paces.record_start("a")
    assert single.paces.admits("a", 31, 1.0)
    single.paces.record_start("a")
    assert not single.paces.admits("a", 32, 1.0)


def test_shares_of_all_instances_add_up_to_the_limit() -> None:
    """Guards against shares that are rounded up on every instance."""
    instances = [Instance(n, INSTANCE_COUNT) for n in range(INSTANCE_COUNT)]
    for limit, now in ((1, 0.0), (2, 0.7), (88, 0.0), (100, 1.3)):
        total = 0
        for instance in instances:
            instance.paces.observe("s", [_server("a")], 0.0)
            instance.paces.merge(
                [_shared(_server("a"), limit=limit, growths=limit)], 0.0
            )
            for _ in range(limit):
                if instance.paces.admits("a", 0, now):
                    total += instance.paces.record_start("a") is not None
            instance.paces.paces["a"].own_count = 0
        assert total == limit


def test_parts_of_a_limit_pass_on_in_turn() -> None:
    """Guards against a server that waits for one instance without requests.

    Load pattern: the instance that may send the first request to a returned
    server gets none.
    """
    instances = [Instance(n, INSTANCE_COUNT) for n in range(INSTANCE_COUNT)]
    for instance in instances:
        instance.paces.observe("s", [_server("a")], 0.0)
        instance.paces.observe("s", [_server("a"), _server("b")], 0.0)
    turn_count = INSTANCE_COUNT // pace_table.INITIAL_LIMIT_COUNT
    holders = [
        instance.name
        for turn in range(turn_count)
        for instance in instances
        if instance.paces.admits("b", 0, turn * pace_table.ROTATION_S)
    ]
    assert sorted(holders) == [i.name for i in instances]


def _shared(
    server: pace.Server,
    limit: int = 1,
    falls: int = 1,
    growths: int = 0,
    age_s: float = 0.1,
) -> pace_messages.SharedPace:
    return pace_messages.SharedPace(
        server.name, server.incarnation, limit, falls, growths, age_s
    )


@pytest.mark.parametrize(
    ("limit", "falls", "growths", "age_s"),
    [
        (-1, 1, 0, 0.1),
        (1, -1, 5, 0.1),
        (1, 1, -2, 0.1),
        (10**12, 1, 0, 0.1),
        (1, 10**12, 0, 0.1),
        (1, 1, 0, math.nan),
        (1, 1, 0, math.inf),
        (1, 1, 0, -1.0),
        (1, 1, 0, pace_table.FORGET_S + 1.0),
    ],
)
def test_implausible_figures_are_ignored(
    single: Instance, limit: int, falls: int, growths: int, age_s: float
) -> None:
    """Guards against a message that stops or floods a server."""
    received = _shared(_server("a"), limit, falls, growths, age_s)
    single.paces.merge([received], 1.0)
    assert not single.paces.is_paced("a")
    single.paces.merge([_shared(_server("a"))], 1.0)
    assert single.paces.is_paced("a")


def test_message_on_an_earlier_process_is_ignored(single: Instance) -> None:
    """Guards against the limit of a process that has ended."""
    single.paces.merge([_shared(_server("a", 7))], 1.0)
    assert not single.paces.is_paced("a")


def test_messages_are_bounded_and_age() -> None:
    """Guards against heartbeats that grow with the servers that return.

    Load pattern: 3,300 servers return after a power failure.
    """
    paces = pace_table.PaceTable()
    paces.observe("s", [_server("first")], 0.0)
    servers = [_server(f"s{n}") for n in range(3300)]
    paces.observe("s", servers, 1.0)
    shared = paces.share(2.0)
    assert len(shared) == pace_messages.MAX_SHARED_COUNT
    assert shared[0].age_s == 1.0
    receiver = pace_table.PaceTable()
    receiver.observe("s", servers, 10.0)
    receiver.merge(shared, 10.0)
    relayed = receiver.share(11.0)
    assert relayed[0].age_s == 2.0
    assert (
        msgspec.msgpack.decode(
            msgspec.msgpack.encode(shared),
            type=tuple[pace_messages.SharedPace, ...],
        )
        == shared
    )


def test_release_ends_the_pace_on_all_instances(single: Instance) -> None:
    """Guards against an old limit that returns from another instance."""
    other = Instance(1, 2)
    other.paces.observe("s", [_server("a")], 0.0)
    other.paces.observe("s", [_server("a"), _server("b")], 0.0)
    limited = other.paces.share(0.0)
    for _ in range(64):
        _attempt(single, "b", pace.InTime(), 1.0)
    single.paces.merge(limited, 1.1)
    assert not single.paces.is_paced("b")
    other.paces.merge(single.paces.share(1.1), 1.1)
    assert not other.paces.is_paced("b")


def test_need_does_not_reach_a_server_that_has_just_refused() -> None:
    """Guards against refusals at a rate that only the callers' needs limit.

    Load pattern: all paths are full, and each request that finds no other path
    is sent to the one that refused the request before.
    """
    instance = Instance(0, 1)
    paces, now = instance.paces, 10.0
    paces.observe("s", [_server("a")], now)
    ticket = paces.record_start("a")
    paces.record(ticket, pace.RefusedFull(), 20, now)
    assert not paces.admits_in_need("a", 20, 64, now + 0.1)
    assert paces.admits_in_need("a", 20, 64, now + pace_table.FULL_PERIOD_S)
    paces.record(paces.record_start("a"), pace.RefusedFull(), 20, now + 1.0)
    paces.record(paces.record_start("a"), pace.InTime(), 20, now + 1.1)
    assert paces.admits_in_need("a", 20, 64, now + 1.1)


def test_late_refusal_of_a_released_server_changes_nothing() -> None:
    """Guards against an answer to an attempt from before that ends all."""
    paces = Instance(0, 1).paces
    paces.observe("s", [_server("a", slots=4)], 10.0)
    old = paces.record_start("a")
    paces.record(paces.record_start("a"), pace.Failed(), 2, 10.0)
    while paces.is_paced("a"):
        paces.record(paces.record_start("a"), pace.InTime(), 2, 10.5)
    paces.record(old, pace.RefusedFull(), 2, 11.0)
    assert not paces.is_paced("a")
