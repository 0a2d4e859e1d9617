"""Tests when a request is also sent elsewhere and which run answers it."""

from __future__ import annotations

import dataclasses

import pytest

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import rules
from yuccatally.core.forwarding import runs
from yuccatally.core.forwarding import upstreams

LIMIT_S = 0.9


def _engine(name: str, born_ms: int = 1) -> upstreams.Upstream:
    return upstreams.Upstream(name, born_ms, "s", f"{name}:1", "a", 6, False)


def _path(name: str, *engines: upstreams.Upstream) -> dispatch.Path:
    return dispatch.Path(
        name=name,
        hops=engines or (_engine(name),),
        ranges=((0, 80),),
        step_s=0.01,
        sequence_s=0.0001,
        tokens=60e3,
        slots=96,
        data_centre="a",
    )


def _start(
    opened: runs.OpenRuns, name: str, now: float, may_move: bool = True
) -> runs.Run:
    run = runs.Run(_path(name), may_move, now + LIMIT_S)
    opened.add(run)
    return run


def _route(repeat: rules.RepeatPolicy, max_attempts: int) -> rules.Route:
    return rules.Route(
        name="r",
        host="h",
        path_prefix="/",
        targets=(rules.Target("s", 1.0),),
        repeat=repeat,
        timeout_s=4.0,
        objective_s=0.5,
        pause_objective_s=0.2,
        max_attempts=max_attempts,
        anonymous=False,
        priority=1,
    )


def test_silent_run_stays_open_and_answers_if_it_goes_on_first() -> None:
    """Guards against giving up a sound run for one that has given nothing.

    Load pattern: all engines are silent for a second. The request is tried on
    a second path, and the first run goes on before it.
    """
    opened = runs.OpenRuns()
    first = _start(opened, "p1", 0.0)
    assert opened.next_silence() == LIMIT_S
    assert opened.fall_silent(0.5) is None
    assert opened.fall_silent(LIMIT_S) is first
    assert opened.any_open
    assert not opened.any_active
    second = _start(opened, "p2", 1.0, may_move=False)
    assert opened.any_active
    assert opened.next_silence() is None
    assert opened.go_on(first, 1, True, 1.1 + LIMIT_S) == [second]
    opened.remove(second)
    assert opened.any_active
    assert opened.next_silence() == 1.1 + LIMIT_S
    assert first.event_count == 1


def test_next_run_answers_if_it_goes_on_first() -> None:
    """Guards against two runs that both answer.

    Load pattern: one engine is silent for a second and another has room.
    """
    opened = runs.OpenRuns()
    first = _start(opened, "p1", 0.0)
    opened.fall_silent(LIMIT_S)
    second = _start(opened, "p2", LIMIT_S)
    assert opened.go_on(second, 2, False, 2.0) == [first]
    opened.remove(first)
    assert opened.runs == [second]


def test_silence_of_a_path_is_noticed_at_once_and_only_once() -> None:
    """Guards against a run that is tried elsewhere again and again.

    Load pattern: a path stalls before its streams count as silent, no other
    path accepts them, and the stall lasts.
    """
    opened = runs.OpenRuns()
    run = _start(opened, "p1", 0.0)
    run.is_moving = True
    assert opened.next_silence() == 0.0
    assert opened.fall_silent(0.1) is run
    opened.stay()
    assert not run.is_moving
    assert opened.next_silence() is None
    assert opened.fall_silent(5.0) is None


def test_run_that_may_not_move_is_waited_for() -> None:
    """Guards against a booking that is given up as its engine is silent."""
    opened = runs.OpenRuns()
    _start(opened, "p1", 0.0, may_move=False)
    assert opened.next_silence() is None
    assert opened.fall_silent(60.0) is None


def test_same_engines_are_not_tried_beside_their_silent_run() -> None:
    """Guards against two runs of a request on the same engines.

    Load pattern: one path is left, and a later engine of it is replaced.
    """
    opened = runs.OpenRuns()
    first, later, spare = _engine("e1"), _engine("e2"), _engine("e3")
    opened.add(runs.Run(_path("p", first, later), True, 1.0))
    moved = dataclasses.replace(later, address="elsewhere:1")
    assert opened.covers(_path("p", first, moved))
    assert not opened.covers(_path("p", first, spare))
    assert not opened.covers(_path("p", first, _engine("e2", born_ms=2)))


@pytest.mark.parametrize(
    ("repeat", "run_count", "expected"),
    [
        (rules.RepeatPolicy.RESUMABLE_STREAM, 1, True),
        (rules.RepeatPolicy.RESUMABLE_STREAM, 2, False),
        (rules.RepeatPolicy.IDEMPOTENT, 1, True),
        (rules.RepeatPolicy.IDEMPOTENT, 2, False),
        (rules.RepeatPolicy.STREAM, 1, False),
        (rules.RepeatPolicy.AT_MOST_ONCE, 1, False),
    ],
)
def test_requests_are_tried_elsewhere_within_their_attempts(
    repeat: rules.RepeatPolicy, run_count: int, expected: bool
) -> None:
    """Guards against a booking that runs twice and against too many runs."""
    counter = attempts.AttemptCounter(run_count, run_count)
    assert runs.may_try_another(_route(repeat, 2), counter) is expected
