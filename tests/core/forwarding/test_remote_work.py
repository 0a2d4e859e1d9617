"""Tests the totals of the work that other instances report."""

from __future__ import annotations

import dataclasses
import random

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import remote_work

NAMES = tuple(f"p{n}" for n in range(6))


@dataclasses.dataclass
class _Reports:
    """Adds up all reports for each question, without kept totals."""

    latest: dict[str, tuple[float, dict[str, dispatch.OutstandingWork]]]

    def total_of(
        self, senders: set[str], name: str, now: float
    ) -> tuple[int, float]:
        works = [
            work[name]
            for sender, (at, work) in self.latest.items()
            if sender in senders
            and now - at < remote_work.REMOTE_WORK_TTL_S
            and name in work
        ]
        return sum(w.requests for w in works), sum(w.tokens for w in works)


def _figures(total: remote_work.Total | None) -> tuple[int, float]:
    return (total.requests, total.tokens) if total else (0, 0)


def test_totals_equal_the_sum_of_reports_that_are_not_expired() -> None:
    # A total that keeps a replaced, removed or expired report would hide
    # capacity until the process ends.
    rng = random.Random(1)
    reports = _Reports({})
    work = remote_work.RemoteWork()
    now = 0.0
    for _ in range(2000):
        now += rng.expovariate(4.0)
        sender = f"i{rng.randrange(8)}"
        if rng.random() < 0.05:
            work.remove(sender)
            reports.latest.pop(sender, None)
        elif rng.random() < 0.02:
            kept = {f"i{n}" for n in rng.sample(range(8), 5)}
            work.retain(kept)
            reports.latest = {
                n: v for n, v in reports.latest.items() if n in kept
            }
        else:
            reported = {
                n: dispatch.OutstandingWork(
                    rng.randint(0, 3), rng.randint(0, 900)
                )
                for n in rng.sample(NAMES, 3)
            }
            work.apply(sender, reported, now)
            reports.latest[sender] = (now, reported)
        senders = {f"i{n}" for n in range(8)}
        some = {f"i{n}" for n in rng.sample(range(8), 3)}
        of_some = work.totals_of(some, now)
        without_one = work.totals_without(sender, now)
        for name in NAMES:
            assert _figures(work.total(name, now)) == reports.total_of(
                senders, name, now
            )
            assert _figures(of_some.get(name)) == reports.total_of(
                some, name, now
            )
            assert _figures(without_one.get(name)) == reports.total_of(
                senders - {sender}, name, now
            )


def test_a_path_is_forgotten_with_its_last_report() -> None:
    work = remote_work.RemoteWork()
    work.apply("i1", {"p1": dispatch.OutstandingWork(1, 0.1)}, 0.0)
    work.apply("i2", {"p1": dispatch.OutstandingWork(1, 0.2)}, 0.5)
    work.apply("i1", {}, 1.0)
    assert work.total("p1", 1.0) is not None
    assert work.total("p1", 2.0) is None
    assert not work.totals
