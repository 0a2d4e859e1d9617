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


def test_peer_that_holds_most_in_all_is_ended_first() -> None:
    """Guards against many small items that leave one large item no room."""
    holdings = held_bytes.Holdings(LIMIT_BYTES)
    discarded = []

    def add(owner: str, size: int) -> None:
        holding = holdings.add(lambda: discarded.append((owner, size)), owner)
        holdings.resize(holding, size)

    add("sound", 40)
    for size in (18, 19, 20):
        add("faulty", size)
    add("other", 10)
    assert discarded == [("faulty", 20)]


def test_long_item_is_ended_before_many_short_ones_of_an_address() -> None:
    """Guards against ending clients that share an address for long items."""
    long_bytes = held_bytes.SMALL_BYTES + 1
    holdings = held_bytes.Holdings(3 * long_bytes)
    discarded = []

    def add(owner: str, size: int) -> None:
        holding = holdings.add(lambda: discarded.append(owner), owner)
        holdings.resize(holding, size)

    for _ in range(2):
        add("shared", held_bytes.SMALL_BYTES)
    for number in range(2):
        add(f"faulty-{number}", long_bytes)
    assert len(discarded) == 1
    assert discarded[0].startswith("faulty")


def test_holding_that_has_ended_takes_no_bytes(
    holdings: held_bytes.Holdings,
) -> None:
    """Guards against bytes that are never released after the end."""
    holding = holdings.add(None)
    holdings.resize(holding, 60)
    holdings.drop(holding)
    assert holding.size == 0
    holdings.resize(holding, 70)
    assert (holding.size, holdings.total_bytes) == (0, 0)


def test_long_items_leave_room_for_short_ones() -> None:
    """Guards against long bodies without which no short one is received."""
    long_bytes = held_bytes.SMALL_BYTES + 1
    holdings = held_bytes.Holdings(4 * long_bytes, long_bytes)
    discarded = []
    for number in range(4):
        holding = holdings.add(lambda n=number: discarded.append(n))
        holdings.resize(holding, long_bytes)
        if number < 3:
            holding.on_discard = None
    assert discarded == [3]
    holdings.resize(
        holdings.add(lambda: discarded.append("short")), long_bytes - 1
    )
    assert discarded == [3]


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
