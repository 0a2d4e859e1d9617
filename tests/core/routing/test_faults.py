"""Tests routing and admission under faults, in simulated time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from yuccatally_bench import model

if TYPE_CHECKING:
    from collections.abc import Callable

PREFILL, TOKENS = 24, 16
CALLERS = (
    ("briefings", 0, 0.1, PREFILL, TOKENS),
    ("desk", 1, 0.6, PREFILL, TOKENS),
    ("reports", 2, 0.3, PREFILL, TOKENS),
)
# Request time of a default engine at full steps of 16 items.
ENGINE_S = TOKENS * 0.008 / 16 + (PREFILL + TOKENS - 1) * 8 * 0.00005


def replicated_site() -> model.Simulation:
    """Returns a pipeline of two stages of three engines, on two instances."""
    front = [model.Engine(f"f{i}") for i in range(3)]
    back = [model.Engine(f"b{i}", 8, 16) for i in range(3)]
    stages = [
        (0, 8, [e.name for e in front]),
        (8, 16, [e.name for e in back]),
    ]
    return model.Simulation([*front, *back], [stages], 2)


def two_pipeline_site(seed: int = 1, queue: int = 512) -> model.Simulation:
    """Returns two pipelines of two engines each, on two instances."""
    engines = [
        model.Engine(f"{side}{i}", first, first + 8)
        for i in range(2)
        for side, first in (("f", 0), ("b", 8))
    ]
    pipelines = [[(0, 8, [f"f{i}"]), (8, 16, [f"b{i}"])] for i in range(2)]
    return model.Simulation(engines, pipelines, 2, seed=seed, queue=queue)


def served_ratio(site: model.Simulation, since: float, until: float) -> float:
    """Returns the ratio of a period's requests that was answered in time."""
    offered = [
        r for r in site.requests if r.outcome and since <= r.offered_at < until
    ]
    return sum(r.in_time for r in offered) / len(offered)


def latency_s(
    site: model.Simulation,
    urgency: int,
    since: float,
    until: float,
    quantile: float,
) -> float:
    """Returns a quantile of the latency of answers of a class."""
    latencies = sorted(
        r.latency_s
        for r in site.requests
        if r.in_time and r.urgency == urgency and since <= r.offered_at < until
    )
    return latencies[int(len(latencies) * quantile)]


def set_fault(**changes: object) -> Callable[[model.Engine], None]:
    def change(engine: model.Engine) -> None:
        for key, value in changes.items():
            setattr(engine, key, value)

    return change


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param({"report_mode": "frozen"}, id="report frozen"),
        pytest.param({"report_mode": "idle"}, id="report claims to be idle"),
        pytest.param({"report_mode": "busy"}, id="report claims to be busy"),
        pytest.param({"report_mode": "late"}, id="report late"),
        pytest.param({"slow_factor": 10.0}, id="engine ten times slower"),
        pytest.param({"delay_s": 0.5}, id="link a hundred times slower"),
        pytest.param({"refuses": True}, id="engine refuses everything"),
        pytest.param(
            {"refuses": True, "report_mode": "idle"},
            id="engine refuses everything and claims to be idle",
        ),
    ],
)
def test_one_bad_engine_is_routed_around(fault: dict[str, object]) -> None:
    """Guards against requests attracted by an engine that cannot serve them.

    The offered load is 0.55 of the capacity of three engines, which the two
    healthy engines can carry.
    """
    site = replicated_site()
    started = site.now
    site.offer(3 / ENGINE_S * 0.55, 20, CALLERS, deadline_s=4.0)
    site.schedule_fault(5, lambda: set_fault(**fault)(site.engines["f0"]))
    site.advance(25)
    assert served_ratio(site, started + 8, started + 20) > 0.95
    late = [r for r in site.requests if r.offered_at >= started + 8]
    assert sum(r.attempts for r in late) < 1.1 * len(late)


@pytest.mark.parametrize("load", [0.4, 0.7])
def test_overstated_load_changes_little(load: float) -> None:
    """Guards against overstated reports that starve or favour an engine."""
    site = replicated_site()
    site.engines["f0"].report_mode = "busy"
    site.offer(3 / ENGINE_S * load, 15, CALLERS)
    site.advance(15)
    work = [site.engines[f"f{i}"].computed_token_layers for i in range(3)]
    assert 0.15 < work[0] / sum(work) < 0.4


def test_instances_do_not_follow_one_old_report_together() -> None:
    """Guards against herding of eight instances on the same stale report."""
    front = [model.Engine(f"f{i}", 0, 16) for i in range(6)]
    stages = [(0, 16, [e.name for e in front])]
    site = model.Simulation(front, [stages], 8)
    site.engines["f0"].report_mode = "frozen"
    site.offer(6 / (2 * ENGINE_S) * 0.7, 15, CALLERS)
    site.advance(18)
    shares = sorted(e.computed_token_layers for e in front)
    assert shares[-1] < 2 * shares[0]
    assert served_ratio(site, 105, 115) > 0.95


def test_overload_and_return_to_normal() -> None:
    """Guards against collapse under overload and against slow recovery."""
    rate = 2 / ENGINE_S
    normal = two_pipeline_site()
    normal.offer(rate * 0.8, 35, CALLERS)
    normal.advance(35)
    peak = two_pipeline_site()
    peak.offer(rate * 1.2, 30, CALLERS)
    peak.advance(30)
    site = two_pipeline_site()
    site.offer(rate * 3, 30, CALLERS)
    site.schedule_fault(30, lambda: site.offer(rate * 0.8, 25, CALLERS))
    site.advance(60)
    best = peak.tokens_in_time(110, 130)
    assert site.tokens_in_time(110, 130) > 0.9 * best
    assert best > 0.8 * 20 * rate * TOKENS
    for quantile in (0.5, 0.95):
        usual_s = latency_s(normal, 0, 110, 128, quantile)
        assert latency_s(site, 0, 110, 128, quantile) < 1.5 * usual_s
        # Work of other classes is served as before once the overload is over.
        usual_s = latency_s(normal, 1, 110, 128, quantile)
        assert latency_s(site, 1, 143, 152, quantile) < 1.5 * usual_s
    assert served_ratio(site, 143, 152) > 0.98


def test_all_work_urgent_at_once() -> None:
    """Guards against an unbounded queue and thrashing engines."""
    site = two_pipeline_site(queue=64)
    rate = 2 / ENGINE_S
    site.offer(rate * 3, 20, [("briefings", 0, 1.0, PREFILL, TOKENS)])
    site.advance(20)
    assert site.longest_queue <= 64
    assert site.tokens_in_time(110, 120) > 0.8 * 10 * rate * TOKENS
    outcomes = {r.outcome for r in site.requests if r.outcome and not r.in_time}
    assert outcomes <= {"not-run"}


def test_one_account_with_a_hundredfold_load() -> None:
    """Guards against one client account that crowds out the others."""
    site = two_pipeline_site()
    callers = [
        ("large", 1, 100.0, PREFILL, TOKENS),
        *((f"small{i}", 1, 1.0, PREFILL, TOKENS) for i in range(3)),
    ]
    site.offer(2 / ENGINE_S * 2, 30, callers)
    site.advance(30)
    small = [r for r in site.requests if r.account != "large" and r.outcome]
    large = [r for r in site.requests if r.account == "large" and r.outcome]
    assert len(small) > 50
    assert sum(r.in_time for r in small) > 0.95 * len(small)
    assert sum(r.in_time for r in large) < 0.7 * len(large)


def test_pipeline_lost_and_back_at_full_load() -> None:
    """Guards against requests that are lost or retried without end."""
    site = two_pipeline_site()
    rate = 2 / ENGINE_S
    site.offer(rate * 0.95, 45, CALLERS)
    site.schedule_fault(10, lambda: site.disconnect("f1"))
    site.schedule_fault(22, lambda: site.reconnect("f1"))
    site.advance(45)
    assert site.tokens_in_time(114, 122) > 0.75 * 8 * rate / 2 * TOKENS
    assert served_ratio(site, 130, 140) > 0.9
    assert max(r.attempts for r in site.requests) <= 3
    answered = [r for r in site.requests if r.outcome == "answered"]
    assert all(r.generated_tokens == r.answer_tokens for r in answered)


@pytest.mark.parametrize("declares", [True, False])
def test_slow_engines_get_what_they_can_do(declares: bool) -> None:
    """Guards against equal load on engines of unequal speed."""
    front = [
        model.Engine("fast", 0, 8, declares_rates=declares),
        model.Engine("slow", 0, 8, 0.032, 0.0002, declares_rates=declares),
    ]
    site = model.Simulation(front, [[(0, 8, ["fast", "slow"])]])
    site.offer(1.25 / ENGINE_S * 0.9, 30, CALLERS)
    site.advance(30)
    fast, slow = (e.computed_token_layers for e in front)
    assert 2.5 < fast / slow < 30
    assert served_ratio(site, 110, 125) > 0.9
