"""Paths that are composed from the layers that engines hold."""

from __future__ import annotations

import itertools

import hypothesis
from hypothesis import strategies as st

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import path_building
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import models

LAYERS = 80


def _engine(name: str, data_centre: str) -> upstreams.Upstream:
    return upstreams.Upstream(
        name, 1, "s", f"{name}:1", data_centre, 96, False, card="large"
    )


def _pipeline(name: str, *ends: int) -> pipelines.Pipeline:
    """Returns a pipeline whose stages end at some layers."""
    return pipelines.Pipeline(
        name,
        tuple(
            pipelines.Stage(f"{name}.{first}", 1, first, end)
            for first, end in itertools.pairwise((0, *ends))
        ),
    )


def _holdings(
    *planned: pipelines.Pipeline, replicas: dict[str, tuple[int, int]]
) -> dict[str, composition.Holding]:
    """Returns what the engines hold; names begin with the data centre."""
    ranges = {
        s.engine: (s.first, s.last) for p in planned for s in p.stages
    } | replicas
    return {
        name: composition.Holding(
            _engine(name, name[0]),
            upstreams.LayerRange(first, last),
            last - first,
        )
        for name, (first, last) in ranges.items()
    }


A1 = _pipeline("a1", 20, 40, 60, 80)
A2 = _pipeline("a2", 30, 50, 80)
A3 = _pipeline("a3", 10, 20, 30, 40, 50, 60, 70, 80)
B1 = _pipeline("b1", 40, 80)


def _compose(
    holdings: dict[str, composition.Holding], *planned: pipelines.Pipeline
) -> dict[str, tuple[composition.Hop, ...]]:
    return dict(composition.compose(LAYERS, planned, holdings))


def _tokens(
    composed: dict[str, tuple[composition.Hop, ...]],
) -> dict[str, float]:
    """Returns the token capacity of each path."""
    paths = path_building.build_paths(models.DEPLOYED_MODEL, composed.items())
    return {p.name: p.tokens for p in paths}


def _assert_each_layer_once(hops: tuple[composition.Hop, ...]) -> None:
    next_layer = 0
    for hop in hops:
        assert hop.first == next_layer < hop.last
        next_layer = hop.last
    assert next_layer == LAYERS
    assert len({h.engine.name for h in hops}) == len(hops)


def test_complete_pipelines_stay_as_planned() -> None:
    """Guards against paths that change without a failure."""
    holdings = _holdings(A1, B1, replicas={"a.r": (0, 40)})
    found = _compose(holdings, A1, B1)
    for planned in (A1, B1):
        hops = [(h.engine.name, h.first, h.last) for h in found[planned.name]]
        assert hops == [(s.engine, s.first, s.last) for s in planned.stages]
        assert {h.sharers for h in found[planned.name]} == {1}


def test_replica_completes_a_pipeline() -> None:
    """Guards against a pipeline that waits for the next plan."""
    holdings = _holdings(A1, replicas={"a.r": (15, 45), "b.r": (20, 40)})
    del holdings["a1.20"]
    (hops,) = _compose(holdings, A1).values()
    _assert_each_layer_once(hops)
    assert [h.engine.name for h in hops] == ["a1.0", "a.r", "a1.40", "a1.60"]
    # Its memory holds 30 layers, although the path uses 20 of them.
    assert hops[1].loaded == 30


def test_two_broken_pipelines_make_one() -> None:
    """Guards against engines of broken pipelines that stay idle."""
    holdings = _holdings(A1, A2, replicas={})
    del holdings["a1.20"]
    del holdings["a2.50"]
    found = _compose(holdings, A1, A2)
    assert len(found) == 1
    for hops in found.values():
        _assert_each_layer_once(hops)


def test_engine_of_a_complete_pipeline_is_shared() -> None:
    """Guards against paths that promise the same memory twice."""
    holdings = _holdings(A1, A3, replicas={})
    alone, _ = _tokens(_compose(holdings, A3)), holdings.pop("a1.20")
    found = _compose(holdings, A1, A3)
    borrowed = {h.engine.name for h in found["a1"] if h.sharers == 2}
    assert borrowed == {"a3.20", "a3.30"}
    assert _tokens(found)["a3"] == alone["a3"] / 2


def test_other_data_centres_come_last() -> None:
    """Guards against prompts on the shared link that local engines can take."""
    holdings = _holdings(A1, A2, B1, replicas={"b.r": (20, 40)})
    del holdings["a1.20"]
    found = _compose(holdings, A1, A2, B1)
    assert {h.engine.data_centre for h in found["a1"]} == {"a"}
    del holdings["a2.0"]
    del holdings["a2.30"]
    found = _compose(holdings, A1, A2, B1)
    assert [h.engine.name for h in found["a1"]][1] == "b.r"


def test_paths_of_other_data_centres_keep_their_memory() -> None:
    """Guards against requests that are preempted after a remote failure.

    Load pattern: a pipeline in use loses half of its memory because a pipeline
    of another data centre takes a part of its engines.
    """
    holdings = _holdings(A1, B1, replicas={})
    del holdings["a1.20"]
    found = _compose(holdings, A1, B1)
    assert set(found) == {"b1"}
    assert {h.sharers for h in found["b1"]} == {1}


def test_path_is_not_mostly_on_engines_of_others() -> None:
    """Guards against paths that only divide the memory of complete ones."""
    holdings = _holdings(A1, A2, replicas={})
    for name in ("a1.0", "a1.20", "a1.40"):
        del holdings[name]
    assert set(_compose(holdings, A1, A2)) == {"a2"}


@hypothesis.given(st.data())
def test_every_path_runs_each_layer_once(data: st.DataObject) -> None:
    """Guards against paths with a gap, an overlap or an engine twice."""
    starts = st.integers(0, LAYERS - 1)
    replicas = {
        f"{data_centre}.r{number}": (
            first,
            data.draw(st.integers(first + 1, LAYERS)),
        )
        for number, (data_centre, first) in enumerate(
            data.draw(
                st.lists(st.tuples(st.sampled_from("ab"), starts), max_size=8)
            )
        )
    }
    planned = (A1, A2, B1)
    holdings = _holdings(*planned, replicas=replicas)
    for name in data.draw(st.sets(st.sampled_from(sorted(holdings)))):
        del holdings[name]
    found = _compose(holdings, *planned)
    sharers: dict[str, int] = {}
    for hops in found.values():
        _assert_each_layer_once(hops)
        for hop in hops:
            assert holdings[hop.engine.name].layers.covers(hop.first, hop.last)
            sharers[hop.engine.name] = sharers.get(hop.engine.name, 0) + 1
    for hops in found.values():
        assert all(h.sharers == sharers[h.engine.name] for h in hops)
