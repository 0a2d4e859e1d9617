"""Merge of label edits and recognition of own writes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest

from yuccatally.core.config import merge
from yuccatally.core.objects import kinds
from yuccatally.core.objects import specs

LABELS = st.dictionaries(st.sampled_from("abcd"), st.sampled_from("xyz"))
SPEC = specs.ModelSpec(layers=4, version="v1")
OTHER = specs.ModelSpec(layers=4, version="v2")


def edit_of(base: dict[str, str], desired: dict[str, str]) -> merge.LabelEdit:
    changed = {k: v for k, v in desired.items() if base.get(k) != v}
    return merge.LabelEdit(changed, tuple(k for k in base if k not in desired))


@given(LABELS, LABELS, LABELS)
def test_merge_keeps_both_changes_or_names_the_conflict(
    base: dict[str, str], mine: dict[str, str], theirs: dict[str, str]
) -> None:
    """Guards against a label change of another operator being overwritten."""
    merged = merge.merge_labels(base, edit_of(base, mine), theirs)
    clashing = {
        k
        for k in "abcd"
        if mine.get(k) != base.get(k)
        and theirs.get(k) != base.get(k)
        and mine.get(k) != theirs.get(k)
    }
    if merged.is_error():
        assert {c.key for c in merged.error} == clashing
        return
    assert not clashing
    for key in "abcd":
        changed = mine if mine.get(key) != base.get(key) else theirs
        assert merged.ok.get(key) == changed.get(key)


def state(version: int, spec: specs.ModelSpec = SPEC) -> kinds.Object:
    return kinds.Object("model", "m", spec, {}, version)


@pytest.mark.parametrize(
    ("version", "current", "history", "expected"),
    [
        (1, state(2), (state(2),), "applied"),
        (1, state(2), None, "applied"),
        (1, state(2, OTHER), (state(2, OTHER),), "failed"),
        (1, state(3, OTHER), (state(2), state(3, OTHER)), "superseded"),
        (1, state(3), (state(2, OTHER), state(3)), "failed"),
        (1, None, (state(2), None), "superseded"),
        (1, None, (None,), "failed"),
        (1, state(3, OTHER), None, "undecided"),
        (1, state(1, OTHER), (), "pending"),
        (1, state(1, OTHER), None, "undecided"),
        (1, state(1, OTHER), (None, state(1, OTHER)), "undecided"),
        (0, None, (), "pending"),
        (0, state(1), (state(1),), "applied"),
        (0, None, (state(1), None), "superseded"),
    ],
)
def test_write_without_reply_is_recognised(
    version: int,
    current: kinds.Object | None,
    history: tuple[kinds.Object | None, ...] | None,
    expected: str,
) -> None:
    """Guards against an operator being told the wrong end of a write."""
    write = merge.Write("model", "m", state(0), version)
    assert merge.classify_write(write, current, history) == expected


def test_deletion_without_reply_is_recognised() -> None:
    """Guards against a deletion being repeated on a new object."""
    write = merge.Write("model", "m", None, 3)
    assert merge.classify_write(write, None, (None,)) == "applied"
    assert merge.classify_write(write, state(3), ()) == "pending"
    again = (None, state(1))
    assert merge.classify_write(write, state(1), again) == "superseded"
    assert merge.classify_write(write, state(4), (state(4),)) == "failed"
