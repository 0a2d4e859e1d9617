"""Checks of changes as a whole set."""

from __future__ import annotations

import itertools

import pytest

from yuccatally.core.config import changes
from yuccatally.core.objects import kinds
from yuccatally.core.objects import specs


def engine(name: str, pool: str, port: int = 1) -> kinds.Object:
    spec = specs.EngineSpec(f"127.0.0.1:{port}", "north")
    return kinds.Object("engine", name, spec, {"pool": pool}, 1)


def model(version: str = "v1") -> kinds.Object:
    return kinds.Object("model", "m", specs.ModelSpec(4, version), {}, 1)


def pipeline(
    name: str, version: str = "v1", selector: str = "pool=a"
) -> kinds.Object:
    stages = (specs.StageSpec(0, 4, selector),)
    spec = specs.PipelineSpec("m", version, stages)
    return kinds.Object("pipeline", name, spec, {}, 1)


CURRENT = (engine("e", "a"), model(), pipeline("p"))


def fresh(declared: kinds.Object, **changed: object) -> kinds.Object:
    fields = {**vars(declared), "version": 0, **changed}
    return kinds.Object(**fields)


@pytest.mark.parametrize(
    ("change", "text"),
    [
        (changes.Change(), "names no object"),
        (changes.Change(deleted=(("engine", "e"),)), "layers 0 to 4"),
        (changes.Change(deleted=(("engine", "x"),)), "does not exist"),
        (changes.Change(deleted=(("pipeline", "p"),)), "no pipeline names"),
        (changes.Change(deleted=(("model", "m"),)), "is not declared"),
        (changes.Change((fresh(model("v2")),)), "is for version 'v1'"),
        (changes.Change((fresh(engine("e", "b")),)), "no whole pipeline"),
        (changes.Change((fresh(engine("f", "b")),)), "is also the address"),
        (
            changes.Change((fresh(engine("f", "b", 2)),) * 2),
            "named more than once",
        ),
        (
            changes.Change((fresh(model(), name="n"),)),
            "model 'n' would have no whole pipeline",
        ),
    ],
)
def test_harmful_change_is_refused(change: changes.Change, text: str) -> None:
    """Guards against a change that takes a model out of service."""
    plan = changes.check_change(CURRENT, change)
    assert not plan.writes
    assert text in " ".join(plan.problems)


def test_force_writes_with_a_warning() -> None:
    """Guards against --force that is silent or lifts other checks."""
    lost = changes.Change(deleted=(("engine", "e"),), force=True)
    plan = changes.check_change(CURRENT, lost)
    assert [str(w) for w in plan.writes] == ["engine/e"]
    assert "no whole pipeline" in plan.warnings[0]
    broken = changes.Change(deleted=(("model", "m"),), force=True)
    assert changes.check_change(CURRENT, broken).problems


def test_new_model_may_wait_for_its_placement() -> None:
    """Guards against refusing a model whose pipelines are yet to be planned."""
    spec = specs.PlacementSpec("n", "v1")
    new = (fresh(model(), name="n"), kinds.Object("placement", "n", spec))
    plan = changes.check_change(CURRENT, changes.Change(new))
    assert len(plan.writes) == 2
    assert "no pipeline names it" in plan.warnings[0]


def test_changed_version_is_a_conflict_unless_content_is_equal() -> None:
    """Guards against overwriting a change that the operator has not seen."""
    current = (*CURRENT[:2], kinds.Object(**{**vars(CURRENT[2]), "version": 5}))
    stale = kinds.Object(**{**vars(pipeline("p")), "labels": {"x": "y"}})
    plan = changes.check_change(current, changes.Change((stale,)))
    assert "version 5" in plan.conflicts[0]
    assert not plan.writes
    equal = changes.check_change(current, changes.Change((pipeline("p"),)))
    assert equal.unchanged == ("pipeline/p",)


def test_omitted_labels_stay() -> None:
    """Guards against an apply that wipes labels set by other operators."""
    bare = fresh(engine("e", "a", 9), labels={})
    keep = frozenset({("engine", "e")})
    plan = changes.check_change(CURRENT, changes.Change((bare,), keep))
    assert plan.writes[0].declared is not None
    assert plan.writes[0].declared.labels == {"pool": "a"}


def test_every_order_of_a_change_keeps_the_model_served() -> None:
    """Guards against a window without a pipeline while a change is written.

    Moves the model to a new version on another engine, whatever the order
    in which the file names the objects.
    """
    wanted = (
        fresh(model("v2")),
        fresh(pipeline("q", "v2", "pool=b")),
        fresh(engine("f", "b", 2)),
    )
    deleted = (("pipeline", "p"), ("engine", "e"))
    for order in itertools.permutations(wanted):
        plan = changes.check_change(
            CURRENT, changes.Change(order, deleted=deleted)
        )
        assert not plan.problems
        assert not plan.warnings
        state = {(o.kind, o.name): o for o in CURRENT}
        for write in plan.writes:
            state.pop((write.kind, write.name), None)
            if write.declared is not None:
                state[(write.kind, write.name)] = write.declared
            assert not changes.unserved_models(state.values())
        assert len(plan.writes) == 5


def test_unavoidable_gap_is_announced() -> None:
    """Guards against an unannounced outage while two objects are swapped."""
    wanted = (fresh(model("v2")), fresh(pipeline("p", "v2")))
    plan = changes.check_change(CURRENT, changes.Change(wanted))
    assert len(plan.writes) == 2
    assert "while the change is written, m has" in plan.warnings[0]
