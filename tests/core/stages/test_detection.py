"""Tests detection of engines that fail without closing the connection."""

from __future__ import annotations

import dataclasses

import pytest

from yuccatally.core.stages import link
from yuccatally.core.stages import messages
from yuccatally.core.stages import steptime

TICK_S = 0.05
STEP_S = 0.02


@dataclasses.dataclass
class FakeEngine:
    """Simulates how an engine answers frames and heartbeats.

    Attributes:
        step_s: Time of one step.
        computes: Whether it executes steps of this instance.
        others: Steps per second that it completes for other instances.
        pongs: Whether it answers heartbeats.
        loses_results: Whether results of steps are lost.
    """

    step_s: float = STEP_S
    computes: bool = True
    others: float = 0.0
    pongs: bool = True
    loses_results: bool = False


def item(request: str, width: int = 1, priority: int = 1) -> messages.StepItem:
    return messages.StepItem(
        request, 1, 0, 0, 4, "m", "v1", [1] * width, priority
    )


def output(item: messages.StepItem) -> messages.StepOutput:
    return messages.StepOutput(item.request, item.attempt, item.position, [1])


def trained_step_time(step_s: float) -> steptime.StepTime:
    step_time = steptime.StepTime()
    for _ in range(50):
        step_time.record(4, step_s)
    return step_time


def failure_after(
    engine: FakeEngine, until_s: float, tick_s: float = TICK_S
) -> tuple[float, str] | None:
    """Returns the time and reason of failure of a link with one sent step."""
    tested = link.StageLink("e", 0.0, trained_step_time(engine.step_s))
    tested.submit(item("r"))
    step = tested.next_frame(0.0)
    assert step is not None
    now, finished = 0.0, False
    while now < until_s:
        now += tick_s
        if engine.computes and not finished and now >= engine.step_s:
            finished = True
            if not engine.loses_results:
                result = messages.StepResult(
                    step.frame, [output(step.items[0])]
                )
                tested.on_result(result, now)
        match tested.on_tick(now):
            case link.Failure(reason=reason):
                return now, reason
            case messages.Ping(nonce=nonce) if engine.pongs:
                queued = 0 if finished and not engine.others else 1
                steps = int(now * engine.others) + finished
                load = messages.LoadReport(queued, 1, steps=steps)
                tested.on_pong(messages.Pong(nonce, load), now)
    return None


@pytest.mark.parametrize(
    ("engine", "reason", "earliest_s", "latest_s"),
    [
        (FakeEngine(computes=False), "no progress on a step", 0.2, 0.4),
        (
            FakeEngine(step_s=1.0, computes=False),
            "no progress on a step",
            1.5,
            1.0 + 0.8,
        ),
        (
            FakeEngine(computes=False, pongs=False),
            "no progress on a step",
            0.2,
            0.4,
        ),
        (FakeEngine(pongs=False), "no heartbeat answered", 0.75, 1.1),
        (
            FakeEngine(loses_results=True),
            "idle without answering a step",
            0.05,
            0.75,
        ),
    ],
)
def test_failing_engine_is_detected_in_time(
    engine: FakeEngine, reason: str, earliest_s: float, latest_s: float
) -> None:
    """Guards against sequences that stay on an engine that does not compute."""
    failure = failure_after(engine, 10.0)
    assert failure is not None
    assert failure[1] == reason
    assert earliest_s <= failure[0] <= latest_s


@pytest.mark.parametrize(
    "engine",
    [
        FakeEngine(),
        FakeEngine(step_s=3.0),
        FakeEngine(computes=False, others=8.0),
    ],
)
def test_slow_or_busy_engine_is_kept(engine: FakeEngine) -> None:
    """Guards against mistaking a step that waits for other work for a stall."""
    assert failure_after(engine, 8.0) is None


def test_own_pause_is_not_blamed_on_the_engine() -> None:
    """Guards against moving every sequence after the instance was paused."""
    tested = link.StageLink("e", 0.0, trained_step_time(STEP_S))
    tested.submit(item("r"))
    assert tested.next_frame(0.0)
    assert isinstance(tested.on_tick(TICK_S), messages.Ping)
    assert not isinstance(tested.on_tick(30.0), link.Failure)
    assert isinstance(tested.on_tick(30.25), messages.Ping | link.Failure)
    assert isinstance(tested.on_tick(30.5), link.Failure)


def test_unasked_frames_do_not_replace_heartbeats() -> None:
    """Guards against a link that only delivers from engine to instance."""
    tested = link.StageLink("e", 0.0, trained_step_time(STEP_S))
    now, nonce = 0.0, 0
    while now < 5.0:
        now += TICK_S
        match tested.on_tick(now):
            case link.Failure(reason=reason):
                assert reason == "no heartbeat answered"
                return
            case messages.Ping(nonce=sent):
                nonce = nonce or sent
        tested.on_result(messages.StepResult(99, [output(item("x"))]), now)
        if nonce and now > 0.1:
            # A late reply to the first heartbeat does not answer later ones.
            load = messages.LoadReport(0, 0, steps=int(now * 100))
            tested.on_pong(messages.Pong(nonce, load), now)
    pytest.fail("the link did not fail")


def test_overtaken_step_is_given_up() -> None:
    """Guards against a lost result on an engine that never becomes idle."""
    tested = link.StageLink("e", 0.0, trained_step_time(STEP_S))
    tested.submit(item("lost"))
    tested.next_frame(0.0)
    now = 0.0
    for number in range(200):
        now += TICK_S
        later_item = item(f"r{number}")
        tested.submit(later_item)
        step = tested.next_frame(now)
        assert step is not None
        tested.on_result(
            messages.StepResult(step.frame, [output(later_item)]), now
        )
        match tested.on_tick(now):
            case link.Failure(reason=reason):
                assert reason == "answered later steps only"
                assert 0 <= now - link.OVERTAKEN_GRACE_S <= 0.2
                return
            case messages.Ping(nonce=nonce):
                load = messages.LoadReport(1, 2, steps=number)
                tested.on_pong(messages.Pong(nonce, load), now)
    pytest.fail("the lost step was not detected")


def test_urgent_step_may_overtake_for_long() -> None:
    """Guards against failing a link whose batch item waits for urgent items."""
    tested = link.StageLink("e", 0.0, trained_step_time(STEP_S))
    tested.submit(item("batch", priority=2))
    tested.next_frame(0.0)
    now = 0.0
    for number in range(100):
        now += TICK_S
        later_item = item(f"r{number}", priority=0)
        tested.submit(later_item)
        step = tested.next_frame(now)
        assert step is not None
        tested.on_result(
            messages.StepResult(step.frame, [output(later_item)]), now
        )
        match tested.on_tick(now):
            case link.Failure(reason=reason):
                pytest.fail(reason)
            case messages.Ping(nonce=nonce):
                load = messages.LoadReport(1, 2, steps=number)
                tested.on_pong(messages.Pong(nonce, load), now)


def test_long_prefills_leave_room_for_single_tokens() -> None:
    """Guards against long prompts that delay the tokens of other answers."""
    step_time = steptime.StepTime()
    for width in (1, 128) * 20:
        step_time.record(width * 4, 0.002 + width * 4 * 2e-5)
    tested = link.StageLink("e", 0.0, step_time)
    for number in range(20):
        tested.submit(item(f"long{number}", width=128))
    for number in range(link.MAX_ITEMS_PER_FRAME + 50):
        tested.submit(item(f"r{number}"))
    received: list[str] = []
    while (step := tested.next_frame(0.0)) is not None:
        widths = [len(i.values) for i in step.items]
        prefill_s = sum(w for w in widths if w > 1) * 4 * step_time.unit_s
        assert prefill_s <= link.PREFILL_SHARE_S
        assert max(widths) > 1, "prefill was starved"
        received += [i.request for i in step.items]
        outputs = [output(i) for i in step.items]
        tested.on_result(messages.StepResult(step.frame, outputs), 0.0)
    assert (
        len(received)
        == len(set(received))
        == 20 + link.MAX_ITEMS_PER_FRAME + 50
    )
