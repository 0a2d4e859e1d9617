"""Tests the account of the room of a path that all instances share."""

from __future__ import annotations

import math
import random

import pytest

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import remote_work
from yuccatally.core.forwarding import room

PATH = "p1"
ROOM = room.Amount(40, 4000.0)
ASKED = room.Amount(1, 100.0)
NOTHING = room.Amount()


class _Fleet:
    """Instances with one keeper, whose heartbeats arrive late."""

    def __init__(self, count: int, complete_at: float = 0.0) -> None:
        self.ledger = room.RoomLedger()
        self.complete_at = complete_at
        self.held = {f"i{n}": NOTHING for n in range(count)}
        self.sequence = 0

    @property
    def outstanding(self) -> room.Amount:
        return room.Amount(
            sum(a.requests for a in self.held.values()),
            sum(a.tokens for a in self.held.values()),
        )

    def state(self, name: str) -> bool:
        self.sequence += 1
        self.ledger.open(PATH, self.complete_at)
        return self.ledger.record(
            PATH, name, room.Report(1, self.sequence, self.held[name])
        )

    def start(self, name: str, elsewhere: room.Amount = NOTHING) -> bool:
        self.state(name)
        if not self.ledger.reserve(PATH, name, ASKED, ROOM, elsewhere):
            return False
        self.held[name] = self.held[name].plus(ASKED)
        return True

    def end(self, name: str) -> None:
        held = self.held[name]
        self.held[name] = room.Amount(
            held.requests - 1, held.tokens - ASKED.tokens
        )
        self.state(name)


def test_instances_with_late_heartbeats_fill_a_path_once() -> None:
    # Load pattern: 88 instances see the same room at the same moment and all
    # start there.
    fleet = _Fleet(88)
    started = [name for name in fleet.held if fleet.start(name)]
    assert len(started) == ROOM.requests


def test_room_that_ends_is_used_by_whoever_asks_next() -> None:
    # Load pattern: a full path on which requests end while others wait.
    rng = random.Random(1)
    fleet = _Fleet(35)
    for name in list(fleet.held) * 2:
        fleet.start(name)
    for _ in range(500):
        assert fleet.outstanding == ROOM
        busy = [n for n, a in fleet.held.items() if a.requests]
        fleet.end(rng.choice(busy))
        assert fleet.start(rng.choice(list(fleet.held)))
        assert not fleet.start(rng.choice(list(fleet.held)))


def test_room_of_an_instance_that_ended_returns() -> None:
    fleet = _Fleet(3)
    while fleet.start("i0"):
        pass
    assert not fleet.start("i1")
    fleet.ledger.retain({"i1": 1, "i2": 1})
    assert fleet.start("i1")


def test_a_restarted_instance_does_not_keep_the_room_of_its_past() -> None:
    fleet = _Fleet(2)
    while fleet.start("i0"):
        pass
    fleet.ledger.record(PATH, "i0", room.Report(2, 1, NOTHING))
    assert fleet.ledger.total(PATH) == NOTHING


def test_a_late_statement_does_not_replace_a_later_one() -> None:
    # Messages overtake each other. The later one contains what the earlier
    # one asks for, which would count twice or not at all.
    fleet = _Fleet(1)
    fleet.ledger.open(PATH, 0.0)
    later = room.Report(1, 2, ASKED)
    assert fleet.ledger.record(PATH, "i0", later)
    assert not fleet.ledger.record(PATH, "i0", room.Report(1, 1, NOTHING))
    assert fleet.ledger.reserve(
        PATH, "i0", ASKED, ROOM, NOTHING, is_stated=True
    )
    assert fleet.ledger.total(PATH) == ASKED


def test_work_that_started_without_a_grant_counts() -> None:
    fleet = _Fleet(88)
    elsewhere = room.Amount(30, 3000.0)
    started = [n for n in fleet.held if fleet.start(n, elsewhere)]
    assert len(started) == ROOM.requests - elsewhere.requests


def test_work_of_which_the_keeper_is_told_counts_once() -> None:
    total = remote_work.Total(3, 30, 3000.0)
    covered = remote_work.Total(2, 25, 2500.0)
    assert room.work_elsewhere(total, covered) == room.Amount(5, 500.0)
    assert room.work_elsewhere(total, None) == room.Amount(30, 3000.0)
    assert room.work_elsewhere(None, covered) == NOTHING


def test_covered_work_of_an_older_version_counts_in_full() -> None:
    # Heartbeats without the field: all its work is known from them only.
    dispatcher = dispatch.Dispatcher("a", random.Random(1))
    dispatcher.apply_remote_work(
        "old", {PATH: dispatch.OutstandingWork(4, 400.0)}, 0.0
    )
    elsewhere = room.work_elsewhere(
        dispatcher.remote_work.total(PATH, 0.0),
        dispatcher.covered_work.total(PATH, 0.0),
    )
    assert elsewhere == room.Amount(4, 400.0)


def test_a_keeper_that_took_over_waits_for_all_statements() -> None:
    fleet = _Fleet(2, complete_at=5.0)
    fleet.start("i0")
    assert not fleet.ledger.is_complete(PATH, 4.9)
    assert fleet.ledger.is_complete(PATH, 5.0)


def test_safe_parts_of_all_instances_fit_into_the_room() -> None:
    # Load pattern: no instance reaches the keeper.
    for count in (1, 3, 35, 88):
        started = 0
        for _ in range(count):
            own = NOTHING
            while room.is_safe(ROOM, own, ASKED, count):
                own = own.plus(ASKED)
                started += 1
        assert started <= ROOM.requests


def test_ample_room_needs_no_grant() -> None:
    work = room.Amount(20, 2000.0)
    assert not room.needs_grant(ROOM, work, ASKED, 88)
    assert room.needs_grant(ROOM, room.Amount(30, 3000.0), ASKED, 88)
    assert not room.needs_grant(ROOM, room.Amount(39, 3900.0), ASKED, 1)


def test_a_denied_path_is_not_chosen_until_it_is_asked_again() -> None:
    dispatcher = dispatch.Dispatcher("a", random.Random(1))
    path = dispatch.Path(PATH, (), ((0, 1),), 0.01, 0.0, 4e3, 40, "a")
    dispatcher.room.denied_until[PATH] = 0.1
    chosen = dispatcher.choose_path([path], 100.0, frozenset(), 0.0)
    assert isinstance(chosen, dispatch.Full)
    chosen = dispatcher.choose_path([path], 100.0, frozenset(), 0.1)
    assert chosen is path


def test_a_grant_counts_until_its_request_starts_or_is_given_up() -> None:
    held_room = room.HeldRoom()
    held_room.record_grant(PATH, ASKED, 0.0)
    held_room.record_grant(PATH, ASKED, 0.1)
    assert held_room.held(PATH, NOTHING, 0.1).requests == 2
    held_room.use_grant(PATH)
    assert held_room.held(PATH, ASKED, 0.1).requests == 2
    given_up_at = 0.1 + room.GRANT_TTL_S
    assert held_room.held(PATH, ASKED, given_up_at) == ASKED


def test_keepers_are_told_of_changes_and_of_the_end() -> None:
    held_room = room.HeldRoom()
    held_room.reported[PATH] = ASKED
    assert held_room.unreported({PATH: ASKED}, 0.0) == {}
    assert held_room.unreported({}, 0.0) == {PATH: NOTHING}
    held_room.report_again((PATH, "other"))
    assert held_room.unreported({PATH: ASKED}, 0.0) == {PATH: ASKED}
    held_room.reported[PATH] = NOTHING
    assert held_room.unreported({}, 0.0) == {}
    assert not held_room.reported


@pytest.mark.parametrize(
    "requests, tokens", [(-1, 1.0), (1, -1.0), (1, math.nan), (1, math.inf)]
)
def test_figures_that_are_not_valid_are_ignored(
    requests: int, tokens: float
) -> None:
    assert not room.Amount(requests, tokens).is_valid
    dispatcher = dispatch.Dispatcher("a", random.Random(1))
    invalid = dispatcher.apply_remote_work(
        "i1",
        {
            PATH: dispatch.OutstandingWork(requests, tokens),
            "p2": dispatch.OutstandingWork(1, 5.0),
        },
        0.0,
    )
    assert invalid == [PATH]
    assert dispatcher.outstanding_work(PATH, 0.0).requests == 0
    assert dispatcher.outstanding_work("p2", 0.0).requests == 1
