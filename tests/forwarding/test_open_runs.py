"""Outcomes of the runs of one request."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import pytest

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import runs
from yuccatally.forwarding import open_runs

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator


@pytest.fixture
def dispatcher() -> dispatch.Dispatcher:
    """A dispatcher without work."""
    return dispatch.Dispatcher("a", random.Random(1))


@pytest.fixture
def reader(dispatcher: dispatch.Dispatcher) -> open_runs.RunReader:
    """A reader without runs."""
    return open_runs.RunReader(dispatcher, 100.0)


def _run(name: str) -> runs.Run:
    path = dispatch.Path(name, (), (), 0.01, 0.0, 1e5, 8, "a")
    return runs.Run(path, may_move=True, quiet_until=time.monotonic() + 5.0)


async def _outcomes(
    count: int, delay_s: float
) -> AsyncGenerator[open_runs.Outcome, None]:
    for number in range(count):
        await asyncio.sleep(delay_s)
        data = str(number).encode()
        yield open_runs.Events(data, 1, str(number), 200, ())


async def _find_late() -> str:
    await asyncio.sleep(5.0)
    return "found"


async def test_search_ends_when_an_open_run_goes_on(
    reader: open_runs.RunReader,
) -> None:
    """Guards against a stream that pauses until a search has ended."""
    run = _run("p1")
    reader.start(run, _outcomes(1, 0.02))
    async with asyncio.timeout(1.0):
        assert await reader.first_of(_find_late()) is None
    found = await reader.next(time.monotonic() + 1.0)
    assert found == (run, open_runs.Events(b"0", 1, "0", 200, ()))
    reader.close_all()


async def test_search_without_open_runs_is_awaited(
    reader: open_runs.RunReader,
) -> None:
    """Guards against a request that is ended before a path is found."""
    assert await reader.first_of(asyncio.sleep(0.01, "found")) == "found"


async def test_no_outcome_is_lost_by_an_interrupted_wait(
    reader: open_runs.RunReader,
) -> None:
    """Guards against an event that is lost when its path counts as stalled."""
    run = _run("p1")
    reader.start(run, _outcomes(200, 0.0))
    rng = random.Random(1)
    received: list[open_runs.Outcome] = []
    loop = asyncio.get_running_loop()
    while len(received) < 200:
        loop.call_later(rng.random() * 1e-4, reader.move, run)
        try:
            received.append((await reader.next(time.monotonic() + 1.0))[1])
        except TimeoutError:
            run.is_moving = False
        if rng.random() < 0.2:
            await reader.first_of(asyncio.sleep(0.0))
    assert [o.data for o in received] == [str(n).encode() for n in range(200)]
    reader.close_all()


async def test_closed_run_gives_no_outcome_and_no_work(
    reader: open_runs.RunReader, dispatcher: dispatch.Dispatcher
) -> None:
    """Guards against events of two runs and work that stays counted."""
    first, second = _run("p1"), _run("p2")
    reader.start(first, _outcomes(3, 0.0))
    reader.start(second, _outcomes(3, 0.05))
    await asyncio.sleep(0.02)
    assert {n: w.requests for n, w in dispatcher.own_work.items()} == {
        "p1": 1,
        "p2": 1,
    }
    reader.close(first)
    run, _ = await reader.next(time.monotonic() + 1.0)
    assert run is second
    reader.close_all()
    assert not dispatcher.own_work


@pytest.mark.parametrize("error", [KeyError("x"), TimeoutError()])
async def test_error_within_a_run_is_raised(
    reader: open_runs.RunReader, error: Exception
) -> None:
    """Guards against a request that waits for a run which has ended."""

    async def fail() -> AsyncGenerator[open_runs.Outcome, None]:
        raise error
        yield

    reader.start(_run("p1"), fail())
    with pytest.raises(open_runs.RunError) as raised:
        await reader.next(time.monotonic() + 1.0)
    assert raised.value.__cause__ is error
    reader.close_all()
