"""Tests the choice of paths and upstreams with several instances."""

from __future__ import annotations

import dataclasses
import random

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import path_building
from yuccatally.core.forwarding import remote_work
from yuccatally.core.forwarding import stream_progress
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import models

NONE: frozenset[str] = frozenset()
MODEL = models.DEPLOYED_MODEL


def _engine(
    name: str, data_centre: str = "a", slots: int = 6
) -> upstreams.Upstream:
    return upstreams.Upstream(
        name, 1, "s", f"{name}:1", data_centre, slots, False
    )


def _path(
    name: str, step_s: float, tokens: float = 60e3, data_centre: str = "a"
) -> dispatch.Path:
    return dispatch.Path(
        name=name,
        hops=(_engine(name, data_centre),),
        ranges=((0, 80),),
        step_s=step_s,
        sequence_s=step_s / 100,
        tokens=tokens,
        slots=96,
        data_centre=data_centre,
    )


def _dispatcher(data_centre: str = "a") -> dispatch.Dispatcher:
    return dispatch.Dispatcher(data_centre, random.Random(1))


def _copy_own_work(
    dispatcher: dispatch.Dispatcher,
) -> dict[str, dispatch.OutstandingWork]:
    return {n: dataclasses.replace(v) for n, v in dispatcher.own_work.items()}


def test_instances_share_what_they_have_under_way() -> None:
    """Guards against eight instances that all fill the fastest pipeline.

    Load pattern: 160 streams of 900 tokens arrive within a second at eight
    instances, which exchange their outstanding work four times a second.
    """
    paths = [_path("fast", 0.010), _path("slow", 0.013), _path("far", 0.014)]
    instances = [_dispatcher() for _ in range(8)]
    for number in range(160):
        now = number / 160
        dispatcher = instances[number % 8]
        path = dispatcher.choose_path(paths, 900, NONE, now)
        assert isinstance(path, dispatch.Path)
        dispatcher.record_start(path.name, 900, now)
        for instance in instances:
            for name in instance.own_work:
                instance.record_event(name, now)
        if number % 40 == 39:
            for instance in instances:
                for index, other in enumerate(instances):
                    if other is not instance:
                        instance.apply_remote_work(
                            str(index), _copy_own_work(other), now
                        )
    tokens = [
        sum(
            i.own_work.get(p.name, dispatch.OutstandingWork()).tokens
            for i in instances
        )
        for p in paths
    ]
    assert all(count < 60e3 for count in tokens)
    assert min(tokens) > 0.5 * max(tokens)


def test_full_paths_are_not_chosen() -> None:
    """Guards against requests that an engine has to refuse or preempt."""
    dispatcher = _dispatcher()
    small = _path("small", 0.001, tokens=2000)
    dispatcher.record_start("small", 1500, 0.0)
    assert dispatcher.choose_path([small], 900, NONE, 0.0) == dispatch.Full()
    large = _path("large", 0.1)
    assert dispatcher.choose_path([small, large], 900, NONE, 0.0) is large


def test_no_path_and_full_paths_are_told_apart() -> None:
    """Guards against waiting for capacity when no path exists."""
    dispatcher = _dispatcher()
    assert dispatcher.choose_path([], 900, NONE, 0.0) == dispatch.Nothing()
    only = _path("p", 0.1)
    tried = frozenset({"p"})
    assert dispatcher.choose_path([only], 900, tried, 0.0) == dispatch.Nothing()


def test_load_of_a_silent_instance_is_forgotten() -> None:
    """Guards against capacity that stays allocated to a failed instance."""
    dispatcher = _dispatcher()
    path = _path("p", 0.1, tokens=2000)
    dispatcher.apply_remote_work(
        "dead", {"p": dispatch.OutstandingWork(2, 1500)}, 0.0
    )
    assert dispatcher.choose_path([path], 900, NONE, 1.0) == dispatch.Full()
    later = remote_work.REMOTE_WORK_TTL_S + 1.0
    assert dispatcher.choose_path([path], 900, NONE, later) is path


def test_path_stalls_when_all_its_streams_are_quiet() -> None:
    """Guards against streams that stall with their engine for two seconds."""
    dispatcher = _dispatcher()
    for _ in range(3):
        dispatcher.record_start("p", 900, 0.0)
        dispatcher.record_first_event("p")
    for step in range(40):
        dispatcher.record_event("p", step * 0.03)
    last = 39 * 0.03
    assert not dispatcher.is_stalled("p", last + 0.08)
    assert dispatcher.is_stalled("p", last + stream_progress.MIN_STALL_S + 0.02)


def test_slow_path_is_not_taken_for_stalled() -> None:
    """Guards against streams that leave a path because of regular pauses."""
    dispatcher = _dispatcher()
    for _ in range(3):
        dispatcher.record_start("p", 900, 0.0)
        dispatcher.record_first_event("p")
    for step in range(100):
        now = step * 0.09
        assert not dispatcher.is_stalled("p", now)
        dispatcher.record_event("p", now)


def test_one_quiet_stream_is_no_stall() -> None:
    """Guards against leaving a path because of one preempted request."""
    dispatcher = _dispatcher()
    dispatcher.record_start("p", 900, 0.0)
    dispatcher.record_first_event("p")
    dispatcher.record_event("p", 0.1)
    assert not dispatcher.is_stalled("p", 0.4)


def test_stalled_path_is_passed_over_while_there_is_another() -> None:
    """Guards against new requests on a path whose streams are stalled."""
    dispatcher = _dispatcher()
    fast, slow = _path("fast", 0.01), _path("slow", 0.1)
    for _ in range(2):
        dispatcher.record_start("fast", 900, 0.0)
        dispatcher.record_first_event("fast")
    assert dispatcher.choose_path([fast, slow], 900, NONE, 0.05) is fast
    assert dispatcher.choose_path([fast, slow], 900, NONE, 1.0) is slow
    assert dispatcher.choose_path([fast], 900, NONE, 1.0) is fast


def test_plain_services_get_the_least_work_nearest_first() -> None:
    """Guards against a queue at one upstream while another is idle."""
    dispatcher = _dispatcher("a")
    near, far = _engine("near", "a"), _engine("far", "b")
    chosen = dispatcher.choose_upstream([near, far], NONE, 0.0)
    assert chosen.hops == (near,)
    dispatcher.apply_remote_work(
        "other", {"near": dispatch.OutstandingWork(1)}, 0.0
    )
    chosen = dispatcher.choose_upstream([near, far], NONE, 0.0)
    assert chosen.hops == (far,)


def _hops(*data_centres: str) -> tuple[composition.Hop, ...]:
    """Returns the hops of a path with one engine for each data centre."""
    share = MODEL.layers // len(data_centres)
    return tuple(
        composition.Hop(
            dataclasses.replace(
                _engine(f"{data_centre}{n}", data_centre), card="medium"
            ),
            n * share,
            (n + 1) * share,
        )
        for n, data_centre in enumerate(data_centres)
    )


def test_paths_that_cross_the_shared_link_take_what_it_carries() -> None:
    """Guards against prompts that queue on the link until all are late.

    Load pattern: 32 prompts a second, and engines of three pipelines are
    replaced with those of other data centres. The link carries 24 crossings of
    a mean prompt a second.
    """
    local = _hops(*"aaaaaaaa")
    crossing = _hops(*"aaabbaaa")
    slots = MODEL.slots

    def request_limits(*paths: tuple[composition.Hop, ...]) -> list[int]:
        named = [(f"p{n}", hops) for n, hops in enumerate(paths)]
        return [p.slots for p in path_building.build_paths(MODEL, named)]

    assert request_limits(local, local) == [slots, slots]
    alone = request_limits(crossing, local)
    assert alone[1] == slots
    shared = request_limits(crossing, crossing, crossing)
    assert len(set(shared)) == 1
    assert alone[0] - 3 < sum(shared) <= alone[0]
    # Duration of an answer with thirty requests on a path of medium engines.
    context = (MODEL.prompt_tokens + MODEL.answer_tokens / 2) / 1e3
    request_s = MODEL.step_sequence_s + context * MODEL.step_context_s
    factor = MODEL.cards["medium"].step_factor
    answer_s = MODEL.answer_tokens * factor * (MODEL.step_s + 30 * request_s)
    prompts_per_s = sum(shared) / answer_s
    crossing_s = MODEL.activation_bytes * MODEL.prompt_tokens * 8 / 6.5e9
    assert prompts_per_s * 2 * crossing_s < 1.0


def test_requests_do_not_crowd_on_the_best_path() -> None:
    """Guards against instances that all choose by the same outdated state.

    Load pattern: sixty instances have the outstanding work of half a second
    ago, and each receives one request before the next update.
    """
    paths = [_path(f"p{n}", 0.013) for n in range(8)]
    paths.append(_path("fastest", 0.011))
    rng = random.Random(3)
    counts = dict.fromkeys((p.name for p in paths), 0)
    for _ in range(60):
        dispatcher = dispatch.Dispatcher("a", rng)
        path = dispatcher.choose_path(paths, 900, NONE, 0.0)
        assert isinstance(path, dispatch.Path)
        counts[path.name] += 1
    assert counts["fastest"] <= 60 / 3
    assert min(counts.values()) >= 1


def test_load_of_each_instance_counts_once() -> None:
    """Guards against counting work twice that arrives from two relays."""
    relay, follower, far = (_dispatcher() for _ in range(3))
    for dispatcher in (relay, follower, far):
        dispatcher.record_start("p", 900, 0.0)
    relay.apply_remote_work("far", far.work_of((), 0.0), 0.0)
    relay.apply_remote_work("follower", follower.work_of((), 0.0), 0.0)
    follower.apply_remote_work(
        "relay", relay.work_without("follower", 0.0), 0.0
    )
    far.apply_remote_work("relay", relay.work_of(["follower"], 0.0), 0.0)
    for dispatcher in (relay, follower, far):
        assert dispatcher.outstanding_work(
            "p", 0.0
        ) == dispatch.OutstandingWork(3, 2700)


def test_load_of_a_former_relay_is_dropped() -> None:
    """Guards against a new relay that counts the work of all twice."""
    dispatcher = _dispatcher()
    dispatcher.apply_remote_work(
        "relay", {"p": dispatch.OutstandingWork(40, 36e3)}, 0.0
    )
    dispatcher.apply_remote_work(
        "follower", {"p": dispatch.OutstandingWork(1, 900)}, 0.0
    )
    dispatcher.retain_instances(["follower"])
    assert dispatcher.outstanding_work("p", 0.0) == dispatch.OutstandingWork(
        1, 900
    )


def test_prompt_on_a_slow_link_is_no_stall() -> None:
    """Guards against sound streams that are cut while their prompt is sent.

    Load pattern: a link between data centres carries a prompt in 0.7 s. Every
    request was sent again before its first event, which kept the link full.
    """
    slow = dataclasses.replace(MODEL, pipe_mbps=390.0)
    (path,) = path_building.build_paths(slow, [("p", _hops(*"aaabbaaa"))])
    assert 1.2 < path.link_s < 1.5
    (local,) = path_building.build_paths(slow, [("p", _hops(*"aaaaaaaa"))])
    for checked, stalled in ((path, False), (local, True)):
        dispatcher = dispatch.Dispatcher("a", random.Random(1))
        dispatcher.record_start("p", 900, 0.0, checked.patience_s)
        assert dispatcher.is_stalled("p", path.link_s) is stalled
        assert dispatcher.is_stalled("p", 10.0)
