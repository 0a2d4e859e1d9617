"""Detection of engines that fail without closing their connection."""

from __future__ import annotations

import dataclasses

import pytest

from yuccatally.core.stages import link
from yuccatally.core.stages import messages
from yuccatally.core.stages import steptime

TICK_S = 0.05
STEP_S = 0.02


@dataclasses.dataclass
class Engine:
    """What an engine does with frames and heartbeats, in virtual time.

    Attributes:
        step_s: Time of one step.
        computes: Whether it works on the own steps.
        others: Steps a second that it completes for other instances.
        pongs: Whether it answers heartbeats.
        loses: Whether results of steps are lost.
    """

    step_s: float = STEP_S
    computes: bool = True
    others: float = 0.0
    pongs: bool = True
    loses: bool = False


def item(request: str, width: int = 1, priority: int = 1) -> messages.StepItem:
    return messages.StepItem(
        request, 1, 0, 0, 4, "m", "v1", [1] * width, priority
    )


def output(of: messages.StepItem) -> messages.StepOutput:
    return messages.StepOutput(of.request, of.attempt, of.position, [1])


def learned(step_s: float) -> steptime.StepTime:
    times = steptime.StepTime()
    for _ in range(50):
        times.observe(4, step_s)
    return times


def failure_after(
    engine: Engine, until_s: float, tick_s: float = TICK_S
) -> tuple[float, str] | None:
    """Returns when and why a link with one sent step fails."""
    tested = link.StageLink("e", 0.0, learned(engine.step_s))
    tested.submit(item("r"))
    step = tested.next_frame(0.0)
    assert step is not None
    now, done = 0.0, False
    while now < until_s:
        now += tick_s
        if engine.computes and not done and now >= engine.step_s:
            done = True
            if not engine.loses:
                result = messages.StepResult(
                    step.frame, [output(step.items[0])]
                )
                tested.on_result(result, now)
        match tested.on_tick(now):
            case link.Failure(reason=reason):
                return now, reason
            case messages.Ping(nonce=nonce) if engine.pongs:
                queued = 0 if done and not engine.others else 1
                steps = int(now * engine.others) + done
                load = messages.LoadReport(queued, 1, steps=steps)
                tested.on_pong(messages.Pong(nonce, load), now)
    return None


@pytest.mark.parametrize(
    ("engine", "reason", "earliest_s", "latest_s"),
    [
        (Engine(computes=False), "no progress on a step", 0.2, 0.4),
        (
            Engine(step_s=1.0, computes=False),
            "no progress on a step",
            1.5,
            1.0 + 0.8,
        ),
        (
            Engine(computes=False, pongs=False),
            "no progress on a step",
            0.2,
            0.4,
        ),
        (Engine(pongs=False), "no heartbeat answered", 0.75, 1.1),
        (Engine(loses=True), "idle without answering a step", 0.05, 0.75),
    ],
)
def test_failing_engine_is_detected_in_time(
    engine: Engine, reason: str, earliest_s: float, latest_s: float
) -> None:
    """Guards against an engine that keeps sequences it does not compute."""
    found = failure_after(engine, 10.0)
    assert found is not None
    assert found[1] == reason
    assert earliest_s <= found[0] <= latest_s


@pytest.mark.parametrize(
    "engine",
    [
        Engine(),
        Engine(step_s=3.0),
        Engine(computes=False, others=8.0),
    ],
)
def test_slow_or_busy_engine_is_kept(engine: Engine) -> None:
    """Guards against a step behind other work being taken for a stall."""
    assert failure_after(engine, 8.0) is None


def test_own_pause_is_not_blamed_on_the_engine() -> None:
    """Guards against moving every sequence after the instance was paused."""
    tested = link.StageLink("e", 0.0, learned(STEP_S))
    tested.submit(item("r"))
    assert tested.next_frame(0.0)
    assert isinstance(tested.on_tick(TICK_S), messages.Ping)
    assert not isinstance(tested.on_tick(30.0), link.Failure)
    assert isinstance(tested.on_tick(30.25), messages.Ping | link.Failure)
    assert isinstance(tested.on_tick(30.5), link.Failure)


def test_unasked_frames_do_not_replace_heartbeats() -> None:
    """Guards against a link that only works towards the instance."""
    tested = link.StageLink("e", 0.0, learned(STEP_S))
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
            # A late answer to the first heartbeat does not answer the others.
            load = messages.LoadReport(0, 0, steps=int(now * 100))
            tested.on_pong(messages.Pong(nonce, load), now)
    pytest.fail("the link was kept")


def test_overtaken_step_is_given_up() -> None:
    """Guards against a lost result on an engine that never becomes idle."""
    tested = link.StageLink("e", 0.0, learned(STEP_S))
    tested.submit(item("lost"))
    tested.next_frame(0.0)
    now = 0.0
    for number in range(200):
        now += TICK_S
        other = item(f"r{number}")
        tested.submit(other)
        step = tested.next_frame(now)
        assert step is not None
        tested.on_result(messages.StepResult(step.frame, [output(other)]), now)
        match tested.on_tick(now):
            case link.Failure(reason=reason):
                assert reason == "answered later steps only"
                assert 0 <= now - link.OVERTAKEN_GRACE_S <= 0.2
                return
            case messages.Ping(nonce=nonce):
                load = messages.LoadReport(1, 2, steps=number)
                tested.on_pong(messages.Pong(nonce, load), now)
    pytest.fail("the lost step was not noticed")


def test_urgent_step_may_overtake_for_long() -> None:
    """Guards against giving up batch work behind a stream of urgent work."""
    tested = link.StageLink("e", 0.0, learned(STEP_S))
    tested.submit(item("batch", priority=2))
    tested.next_frame(0.0)
    now = 0.0
    for number in range(100):
        now += TICK_S
        other = item(f"r{number}", priority=0)
        tested.submit(other)
        step = tested.next_frame(now)
        assert step is not None
        tested.on_result(messages.StepResult(step.frame, [output(other)]), now)
        match tested.on_tick(now):
            case link.Failure(reason=reason):
                pytest.fail(reason)
            case messages.Ping(nonce=nonce):
                load = messages.LoadReport(1, 2, steps=number)
                tested.on_pong(messages.Pong(nonce, load), now)


def test_long_prefills_leave_room_for_single_tokens() -> None:
    """Guards against long prompts that delay the tokens of other answers."""
    times = steptime.StepTime()
    for width in (1, 128) * 20:
        times.observe(width * 4, 0.002 + width * 4 * 2e-5)
    tested = link.StageLink("e", 0.0, times)
    for number in range(20):
        tested.submit(item(f"long{number}", width=128))
    for number in range(link.MAX_ITEMS_PER_FRAME + 50):
        tested.submit(item(f"r{number}"))
    seen: list[str] = []
    while (step := tested.next_frame(0.0)) is not None:
        widths = [len(i.values) for i in step.items]
        prefill_s = sum(w for w in widths if w > 1) * 4 * times.rate
        assert prefill_s <= link.PREFILL_SHARE_S
        assert max(widths) > 1, "prefill was starved"
        seen += [i.request for i in step.items]
        outputs = [output(i) for i in step.items]
        tested.on_result(messages.StepResult(step.frame, outputs), 0.0)
    assert len(seen) == len(set(seen)) == 20 + link.MAX_ITEMS_PER_FRAME + 50
