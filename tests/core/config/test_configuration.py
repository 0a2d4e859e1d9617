"""Changes in any order give the same configuration; none is undone."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from yuccatally.core.config import configuration
from yuccatally.core.config import documents
from yuccatally.core.config import propagation

NAMES = ("a", "b", "c")


def document(name: str, revision: int, kind: str) -> documents.Document:
    """Returns a change: a valid model, an invalid one, or a deletion."""
    layers = 0 if kind == "invalid" else revision
    spec = {"layers": layers, "version": "v1"}
    deleted = kind == "deleted"
    return documents.Document("model", name, revision, 1, deleted, spec)


HISTORY = st.lists(
    st.tuples(
        st.sampled_from(NAMES), st.sampled_from(["valid", "invalid", "deleted"])
    ),
    min_size=1,
    max_size=12,
).map(lambda items: [document(n, r, k) for r, (n, k) in enumerate(items, 1)])


def apply_all(changes: list[documents.Document]) -> configuration.Configuration:
    """Returns a configuration to which all changes were applied in order."""
    config = configuration.Configuration()
    events = tuple(map(documents.event_from, changes))
    config.apply_delta(configuration.Delta(0, len(changes), events))
    return config


def snapshot(changes: list[documents.Document]) -> configuration.Snapshot:
    """Returns the platform's listing after some changes."""
    last = {c.name: c for c in changes}
    kept = [c for c in last.values() if not c.deleted]
    return documents.snapshot_from(kept, len(changes))


def assert_equal(
    config: configuration.Configuration, expected: configuration.Configuration
) -> None:
    assert config.revisions == expected.revisions
    assert config.content_hash == expected.content_hash
    assert config.blocked == expected.blocked
    assert {k for k in config.objects if k not in config.blocked} == {
        k for k in expected.objects if k not in expected.blocked
    }


@given(HISTORY, st.randoms(use_true_random=False))
def test_order_and_repetition_do_not_matter(
    history: list[documents.Document], rng: object
) -> None:
    """Guards against an older change that replaces a newer one."""
    config = configuration.Configuration()
    for change in rng.sample(history * 2, len(history) * 2):
        previous = dict(config.revisions)
        event = documents.event_from(change)
        config.apply_delta(configuration.Delta(0, 0, (event,)))
        for key, revision in config.revisions.items():
            assert revision >= previous.get(key, 0)
    assert_equal(config, apply_all(history))


@given(HISTORY, st.data())
def test_instances_agree_after_an_exchange(
    history: list[documents.Document], data: st.DataObject
) -> None:
    """Guards against a deletion that is undone by a peer that missed it.

    One instance applied the platform's listing at one time; the other applied
    the changes up to another time, except one.
    """
    listed_at = data.draw(st.integers(1, len(history)))
    applied_count = data.draw(st.integers(0, len(history)))
    missed_revision = data.draw(st.integers(0, len(history)))
    first = configuration.Configuration()
    assert first.apply_snapshot(snapshot(history[:listed_at]))
    second = apply_all(
        [c for c in history[:applied_count] if c.revision != missed_revision]
    )
    for _ in range(2):
        for source, target in ((first, second), (second, first)):
            delta = source.full_delta()
            target.apply_delta(delta)
    assert_equal(first, second)
    newest = max(listed_at, applied_count)
    if not listed_at < missed_revision <= applied_count:
        assert_equal(first, apply_all(history[:newest]))


@given(HISTORY, st.data())
def test_older_listing_is_refused(
    history: list[documents.Document], data: st.DataObject
) -> None:
    """Guards against applying a stale listing or a restored platform."""
    older = data.draw(st.integers(0, len(history) - 1))
    config = apply_all(history)
    assert not config.apply_snapshot(snapshot(history[:older]))
    assert_equal(config, apply_all(history))
    assert config.rejected_count == 1
    assert config.apply_snapshot(snapshot(history))
    assert_equal(config, apply_all(history))


def test_large_configuration_is_pulled_in_parts() -> None:
    """Guards against objects of up to 1 MB that do not fit into a frame."""
    text = "v" * 300_000
    spec = {"layers": 1, "version": text}
    changes = [
        documents.Document("model", name, revision, 1, False, spec)
        for revision, name in enumerate(NAMES, 1)
    ]
    source = propagation.ConfigPropagator(apply_all(changes), None)
    pull, received, parts = propagation.ConfigPull(0), b"", 0
    while True:
        part = source.read_part(pull)
        assert len(part.data) <= propagation.PART_BYTES
        received += part.data
        parts += 1
        if len(received) == part.total_bytes:
            break
        pull = propagation.ConfigPull(0, len(received), part.version_tag)
    assert parts > len(changes) * len(text) // propagation.PART_BYTES
