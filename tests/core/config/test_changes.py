"""Validation of changes to several objects."""

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


def unversioned(declared: kinds.Object, **changed: object) -> kinds.Object:
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
        (changes.Change((unversioned(model("v2")),)), "is for version 'v1'"),
        (changes.Change((unversioned(engine("e", "b")),)), "no whole pipeline"),
        (
            changes.Change((unversioned(engine("f", "b")),)),
            "is also the address",
        ),
        (
            changes.Change((unversioned(engine("f", "b", 2)),) * 2),
            "named more than once",
        ),
        (
            changes.Change((unversioned(model(), name="n"),)),
            "model 'n' would have no whole pipeline",
        ),
    ],
)
def test_harmful_change_is_refused(change: changes.Change, text: str) -> None:
    """Guards against a change that leaves a model unserved."""
    checked = changes.check_change(CURRENT, change)
    assert not checked.writes
    assert text in " ".join(checked.problems)


def test_force_writes_with_a_warning() -> None:
    """Guards against --force without a warning, or that skips other checks."""
    forced = changes.Change(deleted=(("engine", "e"),), force=True)
    checked = changes.check_change(CURRENT, forced)
    assert [str(w) for w in checked.writes] == ["engine/e"]
    assert "no whole pipeline" in checked.warnings[0]
    broken = changes.Change(deleted=(("model", "m"),), force=True)
    assert changes.check_change(CURRENT, broken).problems


def test_new_model_may_wait_for_its_placement() -> None:
    """Guards against refusing a model whose pipelines are not planned yet."""
    spec = specs.PlacementSpec("n", "v1")
    new = (unversioned(model(), name="n"), kinds.Object("placement", "n", spec))
    checked = changes.check_change(CURRENT, changes.Change(new))
    assert len(checked.writes) == 2
    assert "no pipeline names it" in checked.warnings[0]


def test_changed_version_is_a_conflict_unless_content_is_equal() -> None:
    """Guards against overwriting a change that the operator has not seen."""
    current = (*CURRENT[:2], kinds.Object(**{**vars(CURRENT[2]), "version": 5}))
    stale = kinds.Object(**{**vars(pipeline("p")), "labels": {"x": "y"}})
    checked = changes.check_change(current, changes.Change((stale,)))
    assert "version 5" in checked.conflicts[0]
    assert not checked.writes
    equal = changes.check_change(current, changes.Change((pipeline("p"),)))
    assert equal.unchanged == ("pipeline/p",)


def test_omitted_labels_stay() -> None:
    """Guards against an apply that removes labels set by other operators."""
    bare = unversioned(engine("e", "a", 9), labels={})
    keep = frozenset({("engine", "e")})
    checked = changes.check_change(CURRENT, changes.Change((bare,), keep))
    assert checked.writes[0].declared is not None
    assert checked.writes[0].declared.labels == {"pool": "a"}


def test_every_order_of_a_change_keeps_the_model_served() -> None:
    """Guards against a window without a pipeline while a change is written.

    The change moves the model to a new version on another engine; all orders
    of the objects in the file are tried.
    """
    wanted = (
        unversioned(model("v2")),
        unversioned(pipeline("q", "v2", "pool=b")),
        unversioned(engine("f", "b", 2)),
    )
    deleted = (("pipeline", "p"), ("engine", "e"))
    for order in itertools.permutations(wanted):
        checked = changes.check_change(
            CURRENT, changes.Change(order, deleted=deleted)
        )
        assert not checked.problems
        assert not checked.warnings
        state = {(o.kind, o.name): o for o in CURRENT}
        for write in checked.writes:
            state.pop((write.kind, write.name), None)
            if write.declared is not None:
                state[(write.kind, write.name)] = write.declared
            assert not changes.unserved_models(state.values())
        assert len(checked.writes) == 5


def test_unavoidable_gap_is_announced() -> None:
    """Guards against an outage without a warning while a change is written."""
    wanted = (unversioned(model("v2")), unversioned(pipeline("p", "v2")))
    checked = changes.check_change(CURRENT, changes.Change(wanted))
    assert len(checked.writes) == 2
    assert "while the change is written, m has" in checked.warnings[0]
