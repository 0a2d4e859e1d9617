"""Tests reuse and release of KV state after a failed attempt."""

from __future__ import annotations

import pytest

from yuccatally.core.generation import actions
from yuccatally.core.generation import generation
from yuccatally.core.requests import outcomes
from yuccatally.core.stages import messages

HOPS = (
    actions.Hop("a1", 0, 2),
    actions.Hop("b1", 2, 4),
    actions.Hop("c1", 4, 6),
)
PROMPT = tuple(range(1, 21))


def make_path(*engines: str) -> actions.Path:
    hops = tuple(
        actions.Hop(name, h.first_layer, h.last_layer)
        for name, h in zip(engines, HOPS, strict=True)
    )
    return actions.Path("p", "m", "v1", hops)


def decoding(steps: int) -> generation.Generation:
    """Returns a generation after a number of completed steps."""
    job = actions.Job("r", "m", "v1", PROMPT, 50, 0, 1, 1e9)
    machine = generation.Generation(job, window_tokens=2)
    wanted = machine.start(make_path("a1", "b1", "c1"))
    for _ in range(steps):
        (item,) = [a.item for a in wanted if isinstance(a, actions.SubmitStep)]
        values = [9] if item.final else item.values
        wanted = machine.on_output(
            item, messages.StepOutput("r", item.attempt, item.position, values)
        )
    return machine


@pytest.mark.parametrize(
    ("steps", "failed", "kept"),
    [
        # The prefill has not reached the last stage.
        (1, "a1", ()),
        (2, "b1", ()),
        # The first token is being computed by the first stage.
        (3, "a1", ("b1", "c1")),
        (3, "b1", ("c1",)),
        (3, "c1", ()),
        # The second stage is at an unknown position.
        (4, "a1", ("c1",)),
        # The last stage is at an unknown position.
        (5, "a1", ()),
    ],
)
def test_only_idle_stages_behind_the_failed_one_are_kept(
    steps: int, failed: str, kept: tuple[str, ...]
) -> None:
    """Guards against reusing KV state at an unknown position and leaking it."""
    machine = decoding(steps)
    after_failure = machine.on_failure(failed)
    released = {
        a.engine for a in after_failure if isinstance(a, actions.ReleaseAttempt)
    }
    assert released == {"a1", "b1", "c1"} - set(kept)
    started = machine.start(make_path("a2", "b1", "c1"))
    imports = [a for a in started if isinstance(a, actions.ImportState)]
    assert {i.target for i in imports} == set(kept)
    assert {i.position for i in imports} <= {len(PROMPT)}


def test_kept_state_is_released_when_the_caller_leaves() -> None:
    """Guards against KV state held for a caller that has disconnected."""
    machine = decoding(3)
    machine.on_failure("a1")
    gone = machine.refusal(outcomes.Reason.CALLER_GONE, "gone")
    released = {
        a.engine
        for a in machine.abandon(gone)
        if isinstance(a, actions.ReleaseAttempt)
    }
    assert released == {"b1", "c1"}


def test_stages_behind_an_import_wait_for_it() -> None:
    """Guards against a step on state that has not arrived yet."""
    machine = decoding(3)
    machine.on_failure("b1")
    started = machine.start(make_path("a1", "b2", "c1"))
    (import_state,) = [a for a in started if isinstance(a, actions.ImportState)]
    items = [a.item for a in started if isinstance(a, actions.SubmitStep)]
    reached = []
    while items:
        item = items.pop(0)
        reached.append((item.first_layer, item.position, len(item.values)))
        output = messages.StepOutput("r", 2, item.position, item.values)
        items += [
            a.item
            for a in machine.on_output(item, output)
            if isinstance(a, actions.SubmitStep)
        ]
    assert {first for first, _, _ in reached} == {0, 2}
    (step,) = [
        a.item
        for a in machine.on_imported(import_state, succeeded=True)
        if isinstance(a, actions.SubmitStep)
    ]
    assert (step.first_layer, step.position) == (4, len(PROMPT))
    assert len(step.values) == 1
