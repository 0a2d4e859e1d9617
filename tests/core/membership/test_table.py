"""Merging of updates, and the queue of updates to send."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from yuccatally.core.membership import messages
from yuccatally.core.membership import table


def member(boot_id: str) -> messages.Member:
    return messages.Member("i1", boot_id, "north", "127.0.0.1:1", "127.0.0.1:2")


UPDATES = st.builds(
    messages.Update,
    st.sampled_from([member("a"), member("b")]),
    st.integers(1, 3),
    st.sampled_from(messages.State),
    st.booleans(),
)


@given(UPDATES, UPDATES, st.booleans())
def test_indirect_reports_are_limited(
    held: messages.Update, received: messages.Update, repair: bool
) -> None:
    """Guards against an old or indirect update that overrides a newer one."""
    merged = table.merge_updates(held, received, repair)
    assert merged.incarnation == max(held.incarnation, received.incarnation)
    if held.member.boot_id == received.member.boot_id:
        assert merged.leaving == (held.leaving or received.leaving)
        if held.state is not messages.State.DEAD:
            assert merged.state is not messages.State.DEAD
        elif received.incarnation <= held.incarnation and not repair:
            assert merged.state is messages.State.DEAD
    if received.incarnation < held.incarnation:
        assert merged.state is held.state


@given(st.lists(UPDATES, min_size=1, max_size=6), st.randoms())
def test_all_instances_agree_on_life_and_leaving(
    updates: list[messages.Update], rng: object
) -> None:
    """Guards against digests that stay different after the same updates."""
    results = []
    for _ in range(2):
        merged = updates[0]
        for update in updates + rng.sample(updates, len(updates)):
            merged = table.merge_updates(merged, update, False)
        results.append(
            (merged.member.boot_id, merged.incarnation, merged.leaving)
        )
    assert results[0] == results[1]


def test_updates_fit_the_limit_and_end() -> None:
    """Guards against messages or queues that grow with the fleet."""
    members = table.Table()
    for number in range(400):
        update = messages.Update(
            messages.Member(f"i{number}", "b", "north", "x" * 21, "y" * 21), 1
        )
        members.put(update, 0.0)
    newest, _ = members.next_updates(800)
    assert newest[0].member.name == "i399"
    assert sum(map(table.encoded_length, newest)) <= 800
    sent_count = 0
    while members.queue:
        sent_count += len(members.next_updates(800)[0])
    assert sent_count < 400 * 40
