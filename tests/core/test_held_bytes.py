"""Tests of the limit of the bytes held of incomplete responses."""

from __future__ import annotations

import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from yuccatally.core import held_bytes

LIMIT_BYTES = 100


@pytest.fixture
def holdings() -> held_bytes.Holdings:
    """Holdings of at most 100 bytes."""
    return held_bytes.Holdings(LIMIT_BYTES)


def test_largest_response_is_discarded(holdings: held_bytes.Holdings) -> None:
    """Guards against ending sound responses for the bytes of a faulty one."""
    discarded = []
    with contextlib.ExitStack() as stack:
        faulty, sound = (
            stack.enter_context(holdings.hold(lambda n=n: discarded.append(n)))
            for n in ("faulty", "sound")
        )
        faulty.resize(60)
        sound.resize(30)
        sound.resize(50)
        assert discarded == ["faulty"]
        assert holdings.total_bytes == 50
        with pytest.raises(held_bytes.DiscardedError):
            faulty.resize(61)
        sound.resize(90)
    assert holdings.total_bytes == 0
    assert not holdings.open


def test_response_that_must_not_be_discarded_stays(
    holdings: held_bytes.Holdings,
) -> None:
    """Guards against ending a list of the store for bytes of an engine."""
    discarded = []
    with (
        holdings.hold() as listing,
        holdings.hold(lambda: discarded.append(1)) as faulty,
    ):
        listing.resize(90)
        with pytest.raises(held_bytes.DiscardedError):
            faulty.resize(20)
        listing.resize(LIMIT_BYTES + 20)
    assert discarded == [1]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 7),
            strategies.integers(0, LIMIT_BYTES // 2) | strategies.none(),
        )
    )
)
def test_limit_holds_for_any_order_of_responses(
    steps: list[tuple[int, int | None]],
) -> None:
    """Guards against bytes that are counted twice or never released.

    A step sets the size of one of eight responses, or ends it.
    """
    holdings = held_bytes.Holdings(LIMIT_BYTES)
    stacks: dict[int, contextlib.ExitStack] = {}
    opened: dict[int, held_bytes.Holding] = {}
    for number, size in steps:
        if size is None:
            if number in stacks:
                stacks.pop(number).close()
                del opened[number]
            continue
        if number not in stacks:
            stacks[number] = contextlib.ExitStack()
            opened[number] = stacks[number].enter_context(
                holdings.hold(lambda: None)
            )
        with contextlib.suppress(held_bytes.DiscardedError):
            opened[number].resize(size)
        held = [h.size for h in opened.values() if not h.is_discarded]
        assert holdings.total_bytes == sum(held) <= LIMIT_BYTES
    for stack in stacks.values():
        stack.close()
    assert holdings.total_bytes == 0
