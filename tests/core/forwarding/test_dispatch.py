"""Choice of paths and upstreams under the load of several instances."""

from __future__ import annotations

import dataclasses
import random

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import models

NONE: frozenset[str] = frozenset()
MODEL = models.TODAY


def _engine(name: str, home: str = "a", slots: int = 6) -> upstreams.Upstream:
    return upstreams.Upstream(name, 1, "s", f"{name}:1", home, slots, False)


def _path(
    name: str, step_s: float, tokens: float = 60e3, home: str = "a"
) -> dispatch.Path:
    return dispatch.Path(
        name=name,
        hops=(_engine(name, home),),
        ranges=((0, 80),),
        step_s=step_s,
        sequence_s=step_s / 100,
        tokens=tokens,
        slots=96,
        data_centre=home,
    )


def _dispatcher(home: str = "a") -> dispatch.Dispatcher:
    return dispatch.Dispatcher(home, random.Random(1))


def _copy(chooser: dispatch.Dispatcher) -> dict[str, dispatch.OutstandingWork]:
    return {n: dataclasses.replace(v) for n, v in chooser.own_work.items()}


def test_instances_share_what_they_have_under_way() -> None:
    """Guards against eight instances that all fill the fastest pipeline.

    Load pattern: 160 streams of 900 tokens arrive within a second at eight
    instances, which tell each other their load four times a second.
    """
    paths = [_path("fast", 0.010), _path("slow", 0.013), _path("far", 0.014)]
    instances = [_dispatcher() for _ in range(8)]
    for number in range(160):
        now = number / 160
        chooser = instances[number % 8]
        found = chooser.choose_path(paths, 900, NONE, now)
        assert isinstance(found, dispatch.Path)
        chooser.record_start(found.name, 900, now)
        for one in instances:
            for name in one.own_work:
                one.record_event(name, now)
        if number % 40 == 39:
            for one in instances:
                for index, other in enumerate(instances):
                    if other is not one:
                        one.apply_remote_work(str(index), _copy(other), now)
    loads = [
        sum(
            i.own_work.get(p.name, dispatch.OutstandingWork()).tokens
            for i in instances
        )
        for p in paths
    ]
    assert all(load < 60e3 for load in loads)
    assert min(loads) > 0.5 * max(loads)


def test_full_paths_are_not_chosen() -> None:
    """Guards against requests that an engine must refuse or preempt."""
    chooser = _dispatcher()
    small = _path("small", 0.001, tokens=2000)
    chooser.record_start("small", 1500, 0.0)
    assert chooser.choose_path([small], 900, NONE, 0.0) == dispatch.Full()
    large = _path("large", 0.1)
    assert chooser.choose_path([small, large], 900, NONE, 0.0) is large


def test_no_path_and_full_paths_are_told_apart() -> None:
    """Guards against a wait for room where nothing can serve."""
    chooser = _dispatcher()
    assert chooser.choose_path([], 900, NONE, 0.0) == dispatch.Nothing()
    only = _path("p", 0.1)
    tried = frozenset({"p"})
    assert chooser.choose_path([only], 900, tried, 0.0) == dispatch.Nothing()


def test_load_of_a_silent_instance_is_forgotten() -> None:
    """Guards against room that a dead instance keeps for ever."""
    chooser = _dispatcher()
    path = _path("p", 0.1, tokens=2000)
    chooser.apply_remote_work(
        "dead", {"p": dispatch.OutstandingWork(2, 1500)}, 0.0
    )
    assert chooser.choose_path([path], 900, NONE, 1.0) == dispatch.Full()
    later = dispatch.REMOTE_WORK_TTL_S + 1.0
    assert chooser.choose_path([path], 900, NONE, later) is path


def test_path_stalls_when_all_its_streams_are_quiet() -> None:
    """Guards against streams that wait with their engine for two seconds."""
    chooser = _dispatcher()
    for _ in range(3):
        chooser.record_start("p", 900, 0.0)
        chooser.record_first_event("p")
    for step in range(40):
        chooser.record_event("p", step * 0.03)
    last = 39 * 0.03
    assert not chooser.is_stalled("p", last + 0.08)
    assert chooser.is_stalled("p", last + dispatch.MIN_STALL_S + 0.02)


def test_slow_path_is_not_taken_for_stalled() -> None:
    """Guards against streams that leave a path for its usual pauses."""
    chooser = _dispatcher()
    for _ in range(3):
        chooser.record_start("p", 900, 0.0)
        chooser.record_first_event("p")
    for step in range(100):
        now = step * 0.09
        assert not chooser.is_stalled("p", now)
        chooser.record_event("p", now)


def test_one_quiet_stream_is_no_stall() -> None:
    """Guards against leaving a path for one preempted request."""
    chooser = _dispatcher()
    chooser.record_start("p", 900, 0.0)
    chooser.record_first_event("p")
    chooser.record_event("p", 0.1)
    assert not chooser.is_stalled("p", 0.4)


def test_stalled_path_is_passed_over_while_there_is_another() -> None:
    """Guards against new requests that follow the stalled ones."""
    chooser = _dispatcher()
    fast, slow = _path("fast", 0.01), _path("slow", 0.1)
    for _ in range(2):
        chooser.record_start("fast", 900, 0.0)
        chooser.record_first_event("fast")
    assert chooser.choose_path([fast, slow], 900, NONE, 0.05) is fast
    assert chooser.choose_path([fast, slow], 900, NONE, 1.0) is slow
    assert chooser.choose_path([fast], 900, NONE, 1.0) is fast


def test_plain_services_get_the_least_work_nearest_first() -> None:
    """Guards against a queue at one upstream while another is idle."""
    chooser = _dispatcher("a")
    near, far = _engine("near", "a"), _engine("far", "b")
    chosen = chooser.choose_upstream([near, far], NONE, 0.0)
    assert chosen.hops == (near,)
    chooser.apply_remote_work(
        "other", {"near": dispatch.OutstandingWork(1)}, 0.0
    )
    chosen = chooser.choose_upstream([near, far], NONE, 0.0)
    assert chosen.hops == (far,)


def _hops(*homes: str) -> tuple[dispatch.Hop, ...]:
    """Returns hops of a path with an engine in each of some places."""
    share = MODEL.layers // len(homes)
    return tuple(
        dispatch.Hop(
            dataclasses.replace(_engine(f"{home}{n}", home), card="medium"),
            n * share,
            (n + 1) * share,
        )
        for n, home in enumerate(homes)
    )


def test_paths_that_cross_the_shared_link_take_what_it_carries() -> None:
    """Guards against prompts that queue on the link until nothing is in time.

    Load pattern: 32 prompts a second, and engines of three pipelines are
    replaced with those of other data centres. The link carries 24 crossings of
    a mean prompt a second.
    """
    local = _hops(*"aaaaaaaa")
    crossing = _hops(*"aaabbaaa")
    slots = MODEL.slots

    def taken(*found: tuple[dispatch.Hop, ...]) -> list[int]:
        named = [(f"p{n}", hops) for n, hops in enumerate(found)]
        return [p.slots for p in dispatch.build_paths(MODEL, named)]

    assert taken(local, local) == [slots, slots]
    alone = taken(crossing, local)
    assert alone[1] == slots
    shared = taken(crossing, crossing, crossing)
    assert len(set(shared)) == 1
    assert alone[0] - 3 < sum(shared) <= alone[0]
    # Time of an answer with thirty requests on a path of medium engines.
    context = (MODEL.prompt_tokens + MODEL.answer_tokens / 2) / 1e3
    request_s = MODEL.step_sequence_s + context * MODEL.step_context_s
    factor = MODEL.cards["medium"].step_factor
    answer_s = MODEL.answer_tokens * factor * (MODEL.step_s + 30 * request_s)
    prompts_per_s = sum(shared) / answer_s
    crossing_s = MODEL.activation_bytes * MODEL.prompt_tokens * 8 / 6.5e9
    assert prompts_per_s * 2 * crossing_s < 1.0


def test_requests_do_not_crowd_on_the_best_path() -> None:
    """Guards against instances that all act on the same old picture.

    Load pattern: sixty instances know the load of half a second ago, and each
    gets one request before they know more.
    """
    paths = [_path(f"p{n}", 0.013) for n in range(8)]
    paths.append(_path("fastest", 0.011))
    rng = random.Random(3)
    counts = dict.fromkeys((p.name for p in paths), 0)
    for _ in range(60):
        chooser = dispatch.Dispatcher("a", rng)
        found = chooser.choose_path(paths, 900, NONE, 0.0)
        assert isinstance(found, dispatch.Path)
        counts[found.name] += 1
    assert counts["fastest"] <= 60 / 3
    assert min(counts.values()) >= 1


def test_load_of_each_instance_counts_once() -> None:
    """Guards against load that comes over two relays being counted twice."""
    relay, follower, far = (_dispatcher() for _ in range(3))
    for chooser in (relay, follower, far):
        chooser.record_start("p", 900, 0.0)
    relay.apply_remote_work("far", far.work_of((), 0.0), 0.0)
    relay.apply_remote_work("follower", follower.work_of((), 0.0), 0.0)
    follower.apply_remote_work(
        "relay", relay.work_without("follower", 0.0), 0.0
    )
    far.apply_remote_work("relay", relay.work_of(["follower"], 0.0), 0.0)
    for chooser in (relay, follower, far):
        assert chooser.outstanding_work("p", 0.0) == dispatch.OutstandingWork(
            3, 2700
        )


def test_load_of_a_former_relay_is_dropped() -> None:
    """Guards against the whole load being counted again by a new relay."""
    found = _dispatcher()
    found.apply_remote_work(
        "relay", {"p": dispatch.OutstandingWork(40, 36e3)}, 0.0
    )
    found.apply_remote_work(
        "follower", {"p": dispatch.OutstandingWork(1, 900)}, 0.0
    )
    found.retain_instances(["follower"])
    assert found.outstanding_work("p", 0.0) == dispatch.OutstandingWork(1, 900)
