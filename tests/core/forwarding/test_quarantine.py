"""Tests the quarantine of prompts that crash engines."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from yuccatally.core.forwarding import crash_evidence
from yuccatally.core.forwarding import evidence_messages
from yuccatally.core.forwarding import lost_requests
from yuccatally.core.forwarding import marks
from yuccatally.core.forwarding import quarantine
from yuccatally.core.forwarding import served_marks
from yuccatally.core.forwarding import suspicions

FATAL = "fatal"
CALLER = "caller"


@dataclasses.dataclass
class Fleet:
    """Instances that exchange their evidence, and the engines that ended.

    Attributes:
        instances: State of each instance.
        ended: Engines that have ended.
        now: Time in seconds.
        is_slow: Whether evidence arrives one exchange late.
    """

    instances: list[quarantine.RequestQuarantine]
    ended: set[suspicions.Incarnation]
    now: float = 100.0
    is_slow: bool = False

    def pass_time(self, seconds: float) -> list[str]:
        """Lets time pass with an exchange each 0.2 s; returns new parts."""
        found = []
        for _ in range(round(seconds / 0.2)):
            sent = [i.evidence(self.now) for i in self.instances]
            self.now += 0.2
            if not self.is_slow:
                sent = [i.evidence(self.now) for i in self.instances]
            for receiver in self.instances:
                for evidence in sent:
                    if evidence is not None:
                        found += receiver.merge(evidence, self.now)
                found += receiver.update(self.ended.__contains__, self.now)
        return found

    def lose(
        self, at: int, name: str, *parts: str, has_ended: bool = True
    ) -> suspicions.Incarnation:
        """Loses a request on an instance, with its engine or without."""
        engine = suspicions.Incarnation(name, 1)
        if has_ended:
            self.ended.add(engine)
        self.instances[at].record_loss(engine, parts, self.now)
        return engine

    def serve(self, at: int, *parts: str) -> None:
        """Serves a request on an instance."""
        self.instances[at].record_served(parts, self.now)

    def blocked(self, *parts: str) -> list[bool]:
        """Returns whether each instance blocks a request."""
        return [
            i.find_quarantined(parts, self.now) is not None
            for i in self.instances
        ]


@pytest.fixture
def fleet() -> Fleet:
    return Fleet([quarantine.RequestQuarantine() for _ in range(3)], set())


def test_one_crash_each_is_evidence_together(fleet: Fleet) -> None:
    """Guards against instances that each wait for a second crash."""
    fleet.serve(2, CALLER)
    fleet.lose(0, "e1", CALLER, FATAL)
    fleet.pass_time(0.4)
    fleet.lose(1, "e2", CALLER, FATAL)
    fleet.pass_time(1.0)
    assert fleet.blocked(FATAL) == [True] * 3
    assert fleet.blocked(CALLER) == [False] * 3


def test_part_that_others_are_served_with_is_not_blamed(fleet: Fleet) -> None:
    """Guards against refusing all requests of a caller.

    It is in each lost request, as the fatal part is.
    """
    for number in range(4):
        fleet.serve(number % 3, CALLER)
        fleet.lose(0, f"e{number}", CALLER, FATAL)
        fleet.pass_time(0.6)
    assert fleet.blocked(CALLER) == [False] * 3
    assert fleet.blocked(FATAL) == [True] * 3


def test_sound_part_may_become_fatal(fleet: Fleet) -> None:
    """Guards against a part that is never blamed, as it was served before."""
    fleet.serve(0, CALLER, FATAL)
    fleet.pass_time(1.0)
    for number in range(3):
        fleet.lose(number, f"e{number}", CALLER, FATAL)
        fleet.pass_time(0.4)
        fleet.serve(number, CALLER)
    fleet.pass_time(1.0)
    assert fleet.blocked(FATAL) == [True] * 3
    assert fleet.blocked(CALLER) == [False] * 3


def test_engines_that_end_for_another_reason_blame_nothing(
    fleet: Fleet,
) -> None:
    """Guards against refusing sound requests after a series of crashes."""
    for number in range(6):
        fleet.lose(number % 3, f"e{number}", CALLER, f"own{number}")
        fleet.pass_time(0.4)
        fleet.serve(number % 3, CALLER)
    fleet.pass_time(2.0)
    assert not any(i.quarantines for i in fleet.instances)


def test_broken_connections_of_live_engines_are_no_evidence(
    fleet: Fleet,
) -> None:
    """Guards against blaming prompts for engines that reset connections."""
    for number in range(6):
        fleet.lose(0, f"e{number}", "rare", has_ended=False)
        fleet.pass_time(0.4)
    fleet.pass_time(2.0)
    assert fleet.blocked("rare") == [False] * 3


def test_request_lost_beside_a_fatal_one_is_not_blamed(fleet: Fleet) -> None:
    """Guards against blaming a sound request that met two crashes.

    Nobody else was served with its part.
    """
    for number in range(3):
        fleet.lose(0, f"e{number}", CALLER, FATAL)
        if number < 2:
            fleet.lose(1, f"e{number}", CALLER, "rare")
        fleet.pass_time(0.6)
        fleet.serve(2, CALLER)
    fleet.pass_time(1.0)
    assert fleet.blocked(FATAL) == [True] * 3
    assert fleet.blocked("rare") == [False] * 3


def test_quarantine_ends_and_returns_after_one_crash(fleet: Fleet) -> None:
    """Guards against a part that stays refused, and one that is let through."""
    for number in range(2):
        fleet.lose(0, f"e{number}", FATAL)
        fleet.pass_time(0.6)
    fleet.pass_time(1.0)
    assert fleet.blocked(FATAL) == [True] * 3
    fleet.now += quarantine.FIRST_QUARANTINE_S
    fleet.pass_time(0.2)
    assert fleet.blocked(FATAL) == [False] * 3
    fleet.lose(1, "e9", FATAL)
    fleet.pass_time(0.6)
    assert fleet.blocked(FATAL) == [True] * 3
    left_s = fleet.instances[2].remaining_s(FATAL, fleet.now)
    assert left_s > quarantine.FIRST_QUARANTINE_S


def test_slow_exchanges_do_not_prolong_a_quarantine(fleet: Fleet) -> None:
    """Guards against instances that renew a quarantine for each other."""
    fleet.is_slow = True
    for number in range(2):
        fleet.lose(0, f"e{number}", FATAL)
        fleet.pass_time(0.6)
    fleet.pass_time(quarantine.FIRST_QUARANTINE_S + 2.0)
    assert fleet.blocked(FATAL) == [False] * 3


def test_slow_exchanges_do_not_renew_a_served_part(fleet: Fleet) -> None:
    """Guards against a part that seems served after it has become fatal."""
    fleet.is_slow = True
    fleet.serve(0, FATAL)
    fleet.pass_time(0.2)
    for number in range(2):
        fleet.lose(number, f"e{number}", FATAL)
        fleet.pass_time(1.0)
    fleet.pass_time(2.0)
    assert fleet.blocked(FATAL) == [True] * 3


def test_part_that_is_served_again_is_sound(fleet: Fleet) -> None:
    """Guards against a wrong quarantine that no served request ends."""
    for number in range(2):
        fleet.lose(0, f"e{number}", "rare")
        fleet.pass_time(0.6)
    fleet.pass_time(1.0)
    assert fleet.blocked("rare") == [True] * 3
    # It was under way on another engine all the while.
    fleet.serve(1, "rare")
    fleet.pass_time(1.0)
    assert fleet.blocked("rare") == [False] * 3


def test_instance_that_restarts_learns_the_quarantine(fleet: Fleet) -> None:
    """Guards against new crashes after the restart of an instance."""
    for number in range(2):
        fleet.lose(0, f"e{number}", FATAL)
        fleet.pass_time(0.6)
    fleet.pass_time(30.0)
    fleet.instances[0] = quarantine.RequestQuarantine()
    fleet.pass_time(0.2)
    assert fleet.blocked(FATAL) == [True] * 3


def test_lost_request_waits_for_the_fate_of_its_engine(fleet: Fleet) -> None:
    """Guards against repeating a fatal request, and losing a sound one."""
    asked = fleet.instances[0]
    fatal = fleet.lose(0, "e1", FATAL)
    alive = fleet.lose(0, "e2", "rare", has_ended=False)
    assert asked.judge_repeat(fatal, (FATAL,), fleet.now) is (
        quarantine.Verdict.WAIT
    )
    fleet.pass_time(lost_requests.FATE_TIMEOUT_S)
    assert asked.judge_repeat(fatal, (FATAL,), fleet.now) is (
        quarantine.Verdict.END
    )
    assert asked.judge_repeat(alive, ("rare",), fleet.now) is (
        quarantine.Verdict.REPEAT
    )


def test_request_with_known_parts_is_repeated_at_once(fleet: Fleet) -> None:
    """Guards against sound requests that wait or fail with their engine."""
    fleet.serve(0, CALLER)
    engine = fleet.lose(0, "e1", CALLER)
    assert fleet.instances[0].judge_repeat(engine, (CALLER,), fleet.now) is (
        quarantine.Verdict.REPEAT
    )


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.sampled_from(["p", "q", "r", "s"]),
            strategies.booleans(),
        ),
        max_size=40,
    )
)
def test_served_parts_are_never_quarantined(
    events: list[tuple[int, str, bool]],
) -> None:
    """Guards against refusing parts that engines go on to answer.

    Engines end under the fatal part only; other requests are lost with them.
    """
    fleet = Fleet([quarantine.RequestQuarantine() for _ in range(3)], set())
    for number, (at, part, is_crash) in enumerate(events):
        if is_crash:
            fleet.lose(at, f"e{number}", CALLER, FATAL)
            fleet.lose(at, f"e{number}", CALLER, part)
        fleet.pass_time(0.2)
        fleet.serve(at, CALLER, part)
        fleet.pass_time(0.4)
        assert not any(fleet.blocked(CALLER, part))
    fleet.pass_time(1.2)
    if sum(is_crash for _, _, is_crash in events) >= 2:
        assert fleet.blocked(FATAL) == [True] * 3


def test_memory_is_limited(fleet: Fleet) -> None:
    """Guards against clients that fill memory and heartbeats with parts."""
    one = fleet.instances[0]
    for number in range(served_marks.MAX_SERVED_COUNT + 100):
        one.record_served((f"p{number}",), fleet.now)
    for number in range(crash_evidence.MAX_LOSS_COUNT + 100):
        fleet.lose(0, f"e{number}", f"p{number}", has_ended=False)
    assert len(one.served) <= served_marks.MAX_SERVED_COUNT
    assert len(one.lost.losses) <= crash_evidence.MAX_LOSS_COUNT
    assert (
        len(one.evidence(fleet.now).losses) <= evidence_messages.MAX_SENT_COUNT
    )
    fleet.pass_time(2 * lost_requests.CONFIRM_S)
    assert not one.lost.losses


def test_part_lost_beside_many_others_is_not_blamed(fleet: Fleet) -> None:
    """Guards against refusing a sound part, as the fatal one is not told.

    Load pattern: each engine that ends loses more requests than a message
    holds. A popular part is in one of them each time, and is not served
    meanwhile.
    """
    fleet.serve(2, CALLER, "popular")
    for number in range(5):
        engine = f"e{number}"
        fleet.lose(0, engine, CALLER, FATAL)
        for other in range(2 * evidence_messages.MAX_SENT_COUNT):
            fleet.lose(0, engine, CALLER, f"rare{number}-{other}")
        fleet.lose(0, engine, CALLER, "popular")
        fleet.pass_time(0.4)
        fleet.serve(number % 3, CALLER)
    fleet.pass_time(3.0)
    assert fleet.blocked(FATAL) == [True] * 3
    assert fleet.blocked("popular") == [False] * 3
    assert fleet.blocked(CALLER) == [False] * 3


def test_losses_of_several_instances_explain_an_engine(fleet: Fleet) -> None:
    """Guards against refusing a part whose losses another instance explains.

    One instance sends the fatal requests, another the sound ones, and a third
    one hears of both late.
    """
    fleet.serve(2, CALLER, "popular")
    for number in range(6):
        engine = f"e{number}"
        fleet.lose(0, engine, CALLER, FATAL)
        for other in range(evidence_messages.MAX_SENT_COUNT):
            fleet.lose(1, engine, CALLER, f"rare{number}-{other}")
        fleet.lose(1, engine, CALLER, "popular")
        fleet.is_slow = number % 2 == 0
        fleet.pass_time(0.6)
        fleet.serve(number % 3, CALLER)
    fleet.pass_time(3.0)
    assert fleet.blocked(FATAL) == [True] * 3
    assert fleet.blocked("popular") == [False] * 3


@pytest.mark.parametrize("engine_count", [33, 38, 100, 700])
@pytest.mark.parametrize("at", [(0,), (0, 1, 2)])
def test_end_of_many_engines_at_once_ends_no_instance(
    fleet: Fleet, engine_count: int, at: tuple[int, ...]
) -> None:
    """Guards against an evaluation that does not end.

    All engines of a model ended with requests that shared a part. A quarantine
    remembered fewer engines than had ended, so that the part was quarantined
    again until its duration no longer fitted a float, on all instances at the
    same moment.
    """
    fleet.serve(0, CALLER)
    fleet.pass_time(1.0)
    for number in range(engine_count):
        sender = at[number % len(at)]
        fleet.lose(sender, f"e{number}", *_request(number, CALLER))
    fleet.pass_time(3.0)
    assert fleet.blocked(CALLER) == [True] * 3
    assert [q.quarantines[CALLER].count for q in fleet.instances] == [1] * 3


def test_part_that_was_served_before_is_soon_tried_again(fleet: Fleet) -> None:
    """Guards against refusing sound requests long after their engines are back.

    All engines of a model ended at the same moment for another reason.
    """
    fleet.serve(0, CALLER)
    fleet.pass_time(1.0)
    for number in range(38):
        fleet.lose(0, f"e{number}", *_request(number, CALLER))
    fleet.pass_time(1.0)
    assert fleet.blocked(CALLER) == [True] * 3
    fleet.pass_time(quarantine.DOUBTFUL_QUARANTINE_S)
    assert fleet.blocked(CALLER) == [False] * 3
    retried = _request("retried", CALLER)
    assert {i.find_suspect(retried, fleet.now) for i in fleet.instances} == {
        CALLER
    }
    fleet.serve(1, *retried)
    fleet.pass_time(1.0)
    assert {i.find_suspect(retried, fleet.now) for i in fleet.instances} == {""}


def test_fatal_part_that_was_served_before_returns_to_quarantine(
    fleet: Fleet,
) -> None:
    """Guards against a series of short quarantines of a fatal part."""
    fleet.serve(0, CALLER)
    fleet.pass_time(1.0)
    for number in range(2):
        fleet.lose(0, f"e{number}", *_request(number, CALLER))
        fleet.pass_time(1.0)
    fleet.pass_time(quarantine.DOUBTFUL_QUARANTINE_S)
    fleet.lose(1, "e2", *_request(2, CALLER))
    fleet.pass_time(1.0)
    left_s = fleet.instances[0].remaining_s(CALLER, fleet.now)
    assert left_s > quarantine.FIRST_QUARANTINE_S


def test_many_ended_engines_are_explained_on_all_instances(
    fleet: Fleet,
) -> None:
    """Guards against refusing sound parts lost beside a fatal one.

    An instance that has the quarantine from another one learned of 16 engines
    only, and blamed the parts that were lost with the others.
    """
    fleet.serve(2, "popular")
    for number in range(38):
        fleet.lose(0, f"e{number}", FATAL)
    fleet.pass_time(1.0)
    for number in range(38):
        fleet.lose(2, f"e{number}", "popular")
    fleet.pass_time(3.0)
    assert fleet.blocked(FATAL) == [True] * 3
    assert fleet.blocked("popular") == [False] * 3


def test_any_count_of_quarantines_has_a_duration(fleet: Fleet) -> None:
    """Guards against a count of another instance that ends this one."""
    one = fleet.instances[0]
    received = crash_evidence.QuarantinedMark(FATAL, 0.1, 2**62)
    one.merge(crash_evidence.Evidence(quarantined=(received,)), fleet.now)
    fleet.pass_time(1.0)
    fleet.lose(0, "e1", FATAL)
    fleet.pass_time(1.0)
    left_s = one.remaining_s(FATAL, fleet.now)
    assert 0 < left_s <= quarantine.MAX_QUARANTINE_S


def _request(number: int | str, *parts: str) -> tuple[str, ...]:
    """Returns the marks of a request."""
    body = str(number).encode()
    return (*parts, marks.fingerprint("model", "POST", "/ask", "lab", body))


def test_request_that_ends_two_engines_is_blamed_itself(fleet: Fleet) -> None:
    """Guards against refusing what a fatal request shares with sound ones.

    It comes at two instances. Its parts are sound, and one of them is rare.
    """
    fleet.serve(2, CALLER, "rare")
    fleet.pass_time(1.0)
    for number in range(2):
        fleet.lose(number, f"e{number}", *_request("x", CALLER, "rare"))
        fleet.pass_time(0.4)
    assert fleet.blocked(*_request("x", CALLER, "rare")) == [True] * 3
    fleet.pass_time(2.0)
    assert fleet.blocked(*_request("y", CALLER, "rare")) == [False] * 3


def test_unserved_part_of_a_fatal_request_is_blamed(fleet: Fleet) -> None:
    """Guards against a fatal part that repeats of one request hide.

    Nobody was ever served with it.
    """
    fleet.serve(2, CALLER)
    for number in range(2):
        fleet.lose(number, f"e{number}", *_request("x", CALLER, FATAL))
        fleet.pass_time(0.6)
        fleet.serve(2, CALLER)
    fleet.pass_time(0.4)
    assert fleet.blocked(FATAL) == [True] * 3
    assert fleet.blocked(CALLER) == [False] * 3


def test_part_is_tried_at_one_place_after_its_quarantine(
    fleet: Fleet,
) -> None:
    """Guards against callers that return at once and end several engines."""
    for number in range(2):
        fleet.lose(number, f"e{number}", *_request("x", FATAL))
        fleet.pass_time(0.6)
    fleet.pass_time(0.4 + quarantine.FIRST_QUARANTINE_S)
    for instance in fleet.instances:
        found = instance.find_suspect(_request("y", FATAL), fleet.now)
        assert found == FATAL
    fleet.serve(0, *_request("y", FATAL))
    assert not fleet.instances[0].find_suspect(_request("z", FATAL), fleet.now)


def test_request_lost_beside_a_fatal_one_twice_is_soon_tried_again(
    fleet: Fleet,
) -> None:
    """Guards against refusing a sound request for as long as a fatal one.

    It was tried again at the engine that the fatal one ended next.
    """
    for number in range(2):
        fleet.lose(number, f"e{number}", *_request("x"))
        fleet.lose(number, f"e{number}", *_request("beside"))
        fleet.pass_time(0.4)
    assert fleet.blocked(*_request("x")) == [True] * 3
    fleet.pass_time(quarantine.DOUBTFUL_QUARANTINE_S)
    assert fleet.blocked(*_request("beside")) == [False] * 3
    fleet.serve(0, *_request("beside"))
    fleet.lose(1, "e3", *_request("x"))
    fleet.pass_time(0.4)
    assert fleet.blocked(*_request("x")) == [True] * 3
    left_s = fleet.instances[2].remaining_s(_request("x")[0], fleet.now)
    assert left_s > quarantine.FIRST_QUARANTINE_S


def test_released_request_needs_new_evidence(fleet: Fleet) -> None:
    """Guards against refusing a frequent request after one unrelated crash."""
    for number in range(2):
        fleet.lose(number, f"e{number}", *_request("frequent"))
    fleet.pass_time(0.4)
    fleet.serve(2, *_request("frequent"))
    fleet.pass_time(1.0)
    fleet.lose(0, "e5", *_request("frequent"))
    fleet.pass_time(1.0)
    assert fleet.blocked(*_request("frequent")) == [False] * 3


def test_late_release_reaches_all_instances(fleet: Fleet) -> None:
    """Guards against an instance that refuses what others serve again.

    The losses are no longer in messages by then.
    """
    for number in range(2):
        fleet.lose(number, f"e{number}", *_request("x"))
    fleet.pass_time(evidence_messages.SEND_LOSS_S + 1.0)
    fleet.serve(1, *_request("x"))
    fleet.pass_time(1.0)
    assert fleet.blocked(*_request("x")) == [False] * 3


def test_engine_that_stops_listening_late_is_evidence(fleet: Fleet) -> None:
    """Guards against a crash that closes connections before the listener."""
    asked = fleet.instances[0]
    engine = fleet.lose(0, "e1", *_request(1), has_ended=False)
    asked.record_working(engine)
    verdict = asked.judge_repeat(engine, _request(1), fleet.now)
    assert verdict is quarantine.Verdict.REPEAT
    asked.record_fate(engine, True, fleet.now)
    assert asked.find_suspect(_request(1), fleet.now)


def test_part_is_blamed_once_different_requests_end_engines(
    fleet: Fleet,
) -> None:
    """Guards against a fatal part that repeats of each request hide.

    Each request is sent twice and then refused itself.
    """
    for number in range(3):
        for repeat in range(2):
            engine = f"e{number}-{repeat}"
            fleet.lose(repeat, engine, *_request(number, CALLER, FATAL))
            fleet.pass_time(0.4)
            fleet.serve(2, *_request(f"s{number}-{repeat}", CALLER))
    fleet.pass_time(1.0)
    assert fleet.blocked(FATAL) == [True] * 3
    assert fleet.blocked(CALLER) == [False] * 3


def test_several_fatal_requests_are_found_at_once(fleet: Fleet) -> None:
    """Guards against a fatal request that another one explains away.

    They share no engine, and one sound request was beside each of them.
    """
    for number in range(4):
        for repeat in range(2):
            engine = f"e{number}-{repeat}"
            fleet.lose(repeat, engine, *_request(number))
            fleet.lose(2, engine, *_request(f"beside{number}-{repeat}"))
    fleet.pass_time(1.0)
    for number in range(4):
        assert fleet.blocked(*_request(number)) == [True] * 3
        for repeat in range(2):
            beside = _request(f"beside{number}-{repeat}")
            assert fleet.blocked(*beside) == [False] * 3


def test_request_beside_two_explained_crashes_is_not_blamed(
    fleet: Fleet,
) -> None:
    """Guards against refusing a sound request that met a known fatal one."""
    for number in range(2):
        fleet.lose(number, f"e{number}", *_request("x"))
        fleet.pass_time(0.4)
    fleet.lose(2, "e1", *_request("beside"))
    fleet.lose(2, "e0", *_request("beside"))
    fleet.pass_time(1.0)
    assert fleet.blocked(*_request("x")) == [True] * 3
    assert fleet.blocked(*_request("beside")) == [False] * 3


def test_request_that_is_served_is_released(fleet: Fleet) -> None:
    """Guards against refusing a frequent request after unrelated crashes."""
    for number in range(2):
        fleet.lose(number, f"e{number}", *_request("frequent"))
    fleet.pass_time(0.4)
    assert fleet.blocked(*_request("frequent")) == [True] * 3
    # It was under way on another engine all the while.
    fleet.serve(2, *_request("frequent"))
    fleet.pass_time(1.0)
    assert fleet.blocked(*_request("frequent")) == [False] * 3


def test_lost_request_with_sound_parts_is_tried_once_more(
    fleet: Fleet,
) -> None:
    """Guards against losing the sound requests of each engine that ends."""
    fleet.serve(0, CALLER)
    fleet.pass_time(0.2)
    asked = fleet.instances[0]
    sound, unknown = _request(1, CALLER), _request(2, CALLER, FATAL)
    engine = fleet.lose(0, "e1", *sound)
    fleet.lose(0, "e1", *unknown)
    verdict = asked.judge_repeat(engine, sound, fleet.now)
    assert verdict is quarantine.Verdict.WAIT
    asked.record_fate(engine, True, fleet.now)
    verdict = asked.judge_repeat(engine, sound, fleet.now)
    assert verdict is quarantine.Verdict.REPEAT
    verdict = asked.judge_repeat(engine, unknown, fleet.now)
    assert verdict is quarantine.Verdict.END
    second = fleet.lose(0, "e2", *sound)
    asked.record_fate(second, True, fleet.now)
    verdict = asked.judge_repeat(second, sound, fleet.now)
    assert verdict is quarantine.Verdict.END


def test_request_is_repeated_at_once_if_its_engine_works(
    fleet: Fleet,
) -> None:
    """Guards against waiting for the fate of an engine that is known to work.

    It broke off one connection and ends for another reason later on.
    """
    asked = fleet.instances[0]
    engine = fleet.lose(0, "e1", *_request(1), has_ended=False)
    asked.record_fate(engine, False, fleet.now)
    verdict = asked.judge_repeat(engine, _request(1), fleet.now)
    assert verdict is quarantine.Verdict.REPEAT
    fleet.ended.add(engine)
    fleet.pass_time(1.0)
    assert not asked.find_suspect(_request(1), fleet.now)


def test_request_whose_engine_may_have_ended_is_suspect(fleet: Fleet) -> None:
    """Guards against a repeat that arrives before the fate is known."""
    asked = fleet.instances[0]
    assert not asked.find_suspect(_request(1), fleet.now)
    engine = fleet.lose(0, "e1", *_request(1), has_ended=False)
    assert asked.find_suspect(_request(1), fleet.now)
    fleet.now += lost_requests.FATE_TIMEOUT_S + 0.1
    assert not asked.find_suspect(_request(1), fleet.now)
    asked.record_fate(engine, True, fleet.now)
    assert asked.find_suspect(_request(1), fleet.now)
    asked.record_served(_request(1), fleet.now + 0.1)
    assert not asked.find_suspect(_request(1), fleet.now + 0.1)


def test_fingerprints_do_not_displace_served_parts(fleet: Fleet) -> None:
    """Guards against rare parts that seem unserved beside many requests."""
    one = fleet.instances[0]
    one.record_served(("rare",), fleet.now)
    for number in range(served_marks.MAX_SERVED_COUNT + 100):
        one.record_served(_request(number), fleet.now)
    assert "rare" in one.served
    assert len(one.served) <= served_marks.MAX_SERVED_COUNT + 1


def test_messages_share_evidence_until_there_is_news(fleet: Fleet) -> None:
    """Guards against a relay that prepares evidence for each message."""
    one = fleet.instances[0]
    fleet.lose(0, "e1", *_request(1))
    first = one.evidence(fleet.now)
    assert one.evidence(fleet.now + quarantine.PREPARED_TTL_S / 2) is first
    engine = fleet.lose(0, "e2", *_request(1))
    one.record_fate(engine, True, fleet.now)
    told = one.evidence(fleet.now + quarantine.PREPARED_TTL_S / 2)
    assert {loss.engine.name for loss in told.losses} == {"e1", "e2"}
