"""Merge of label edits, and outcome of writes without a reply."""

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
    base: dict[str, str], yours: dict[str, str], theirs: dict[str, str]
) -> None:
    """Guards against overwriting a label change of another operator."""
    merged = merge.merge_labels(base, edit_of(base, yours), theirs)
    conflicting = {
        k
        for k in "abcd"
        if yours.get(k) != base.get(k)
        and theirs.get(k) != base.get(k)
        and yours.get(k) != theirs.get(k)
    }
    if merged.is_error():
        assert {c.key for c in merged.error} == conflicting
        return
    assert not conflicting
    for key in "abcd":
        changed = yours if yours.get(key) != base.get(key) else theirs
        assert merged.ok.get(key) == changed.get(key)


def stored(version: int, spec: specs.ModelSpec = SPEC) -> kinds.Object:
    return kinds.Object("model", "m", spec, {}, version)


@pytest.mark.parametrize(
    ("version", "current", "history", "expected"),
    [
        (1, stored(2), (stored(2),), "applied"),
        (1, stored(2), None, "applied"),
        (1, stored(2, OTHER), (stored(2, OTHER),), "failed"),
        (1, stored(3, OTHER), (stored(2), stored(3, OTHER)), "superseded"),
        (1, stored(3), (stored(2, OTHER), stored(3)), "failed"),
        (1, None, (stored(2), None), "superseded"),
        (1, None, (None,), "failed"),
        (1, stored(3, OTHER), None, "undecided"),
        (1, stored(1, OTHER), (), "pending"),
        (1, stored(1, OTHER), None, "undecided"),
        (1, stored(1, OTHER), (None, stored(1, OTHER)), "undecided"),
        (0, None, (), "pending"),
        (0, stored(1), (stored(1),), "applied"),
        (0, None, (stored(1), None), "superseded"),
    ],
)
def test_write_without_reply_is_recognised(
    version: int,
    current: kinds.Object | None,
    history: tuple[kinds.Object | None, ...] | None,
    expected: str,
) -> None:
    """Guards against reporting a wrong outcome of a write."""
    write = merge.Write("model", "m", stored(0), version)
    assert merge.classify_write(write, current, history) == expected


def test_deletion_without_reply_is_recognised() -> None:
    """Guards against repeating a deletion on a recreated object."""
    write = merge.Write("model", "m", None, 3)
    assert merge.classify_write(write, None, (None,)) == "applied"
    assert merge.classify_write(write, stored(3), ()) == "pending"
    recreated = (None, stored(1))
    assert merge.classify_write(write, stored(1), recreated) == "superseded"
    assert merge.classify_write(write, stored(4), (stored(4),)) == "failed"
