"""Tests the assignment of ranges of layers to engines."""

from __future__ import annotations

from yuccatally.core.forwarding import staging
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import fleets

MODEL = fleets.MODEL


def test_stages_of_a_broken_pipeline_keep_their_order() -> None:
    """Guards against loads of whole stages where boundaries move a little."""
    engines = [fleets.empty_engine("a", "l4", n) for n in range(10)]
    kept = [
        staging.stage_of(e, 8 * n, 8 * n + 8)
        for n, e in enumerate(engines)
        if n != 4
    ]
    usable = {e.name: e for e in engines}
    stages = staging.restage(MODEL, usable, kept, [])
    assert stages is not None
    assert [s.engine for s in stages] == [s.engine for s in kept]
    assert stages[-1].last == MODEL.layers
    assert all(s.last - s.first <= 9 for s in stages)


def test_gap_takes_the_smallest_sufficient_engine() -> None:
    """Guards against large engines that are missing at the next failure."""
    kept = [staging.stage_of(fleets.empty_engine("a", "a100", 0), 0, 75)]
    spares = [
        fleets.empty_engine("a", "a100", 1),
        fleets.empty_engine("a", "v100", 2),
    ]
    stages = staging.fill(MODEL, kept, spares)
    assert stages is not None
    assert upstreams.LayerRange(75, 80) == stages[-1].layers
    assert stages[-1].engine == "a-v100-2"
