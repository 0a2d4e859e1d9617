"""Tests where a request is tried that may have ended an engine."""

from __future__ import annotations

import dataclasses

from yuccatally.core.forwarding import trials

NO_NAMES: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A path."""

    name: str


PATHS = [Candidate(f"p{n}") for n in range(5)]


def test_all_instances_choose_the_same_path() -> None:
    """Guards against repeats that end an engine of each path."""
    chosen = trials.candidates("#model/1", PATHS, NO_NAMES)
    assert len(chosen) == 1
    assert trials.candidates("#model/1", PATHS[::-1], NO_NAMES) == chosen


def test_failed_path_is_not_tried_again() -> None:
    """Guards against a trial at the engine that has just ended."""
    (first,) = trials.candidates("#model/1", PATHS, NO_NAMES)
    (second,) = trials.candidates("#model/1", PATHS, frozenset({first.name}))
    assert second != first


def test_different_requests_are_spread() -> None:
    """Guards against trials of sound requests beside the fatal one."""
    chosen = {
        trials.candidates(f"#model/{n}", PATHS, NO_NAMES)[0] for n in range(50)
    }
    assert chosen == set(PATHS)


def test_other_requests_have_all_paths() -> None:
    """Guards against load that is no longer balanced."""
    assert trials.candidates("", PATHS, frozenset({"p1"})) == PATHS
