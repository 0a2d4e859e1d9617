"""Decoding of the platform's documents and settings."""

from __future__ import annotations

import contextlib
import json
import tomllib
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest

from yuccatally.core.forwarding import plans
from yuccatally.core.forwarding import rules
from yuccatally.platform import documents
from yuccatally.platform import headers
from yuccatally.platform import settings
from yuccatally_standins import path_site

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "slots": 4,
    "born": 5,
    "routeKind": "big",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": {"from": 2, "target": 6, "version": 1},
    "later": "field",
}
SETTINGS = """
nodeName = "n"
zone = "z"
region = "r"
ip = "10.1.0.40"
internalPorts = [7340, 7355]
seeds = ["10.1.0.40:8229"]
[zones]
z = "r"
[listen]
frontend = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
controlPlane = "10.1.0.40:8229"
directoryService = "10.1.0.40:8224"
[bounds]
budgetWindowS = 11
ttl_max_s = 4
graceS = 7
[platform]
address = "10.200.1.7:8223"
"""


def _mutations(valid: Any) -> st.SearchStrategy[Any]:
    """Returns copies of a document with one value replaced or removed."""
    paths = list(_paths(valid))

    def mutate(choice: tuple[tuple[Any, ...], Any, bool]) -> Any:
        path, value, remove = choice
        copy = json.loads(json.dumps(valid))
        holder = copy
        for step in path[:-1]:
            holder = holder[step]
        if remove and isinstance(holder, dict):
            del holder[path[-1]]
        else:
            holder[path[-1]] = value
        return copy

    choices = st.tuples(st.sampled_from(paths), VALUES, st.booleans())
    return choices.map(mutate)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> Any:
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield (*path, key)
        yield from _paths(inner, (*path, key))


def test_configuration_is_translated() -> None:
    """Guards against fields that are taken for another of the same name."""
    found = documents.decode_rules(path_site.configuration(7))
    assert found.version == 7
    repeats = {r.name: r.repeat for r in found.routes}
    assert repeats == {
        "ask": rules.Repeat.RESUMABLE_STREAM,
        "book": rules.Repeat.AT_MOST_ONCE,
        "stock": rules.Repeat.IDEMPOTENT,
    }
    model = found.services["model"].model
    assert model is not None
    assert model.token_layer_bytes == 1000
    assert model.cards["big"].memory_mb == 600
    assert found.by_key[path_site.KEY].name == "desk-one"


def test_entry_is_translated() -> None:
    """Guards against the kind of a card or a birth that is not read."""
    found = documents.decode_upstream("e", ENTRY)
    assert (found.card, found.born_ms, found.draining) == ("big", 5, False)
    assert found.layers is not None
    assert (found.layers.first, found.layers.last) == (2, 6)


@given(_mutations(path_site.configuration(7)) | VALUES)
def test_no_configuration_raises_another_error(spec: Any) -> None:
    """Guards against a configuration that ends the process."""
    with contextlib.suppress(documents.FormatError):
        documents.decode_rules(spec)


@given(_mutations(ENTRY) | VALUES)
def test_no_entry_raises_another_error(spec: Any) -> None:
    """Guards against an entry of a foreign writer that ends the watch."""
    try:
        found = documents.decode_upstream("e", spec)
    except documents.FormatError:
        return
    assert isinstance(found.address, str)
    assert isinstance(found.slots, int)


@given(st.binary() | VALUES.map(lambda v: json.dumps(v).encode()))
def test_no_report_raises_another_error(body: bytes) -> None:
    """Guards against an engine's garbage that ends control."""
    with contextlib.suppress(documents.FormatError):
        documents.decode_report(body)


@given(VALUES)
def test_no_plan_raises_another_error(spec: Any) -> None:
    """Guards against a foreign object under the kind of plans."""
    with contextlib.suppress(plans.PlanFormatError):
        plans.from_spec(spec)


@pytest.mark.parametrize(
    "stages",
    [[(0, 4), (5, 8)], [(0, 4), (3, 8)], [(1, 8)], [(0, 0)], [(4, 8), (0, 4)]],
)
def test_plan_with_gap_or_overlap_is_refused(
    stages: list[tuple[int, int]],
) -> None:
    """Guards against paths that skip a layer or run one twice."""
    spec = {
        "generation": 1,
        "pipelines": [
            {
                "name": "p",
                "stages": [
                    {"engine": "e", "born_ms": 1, "first": f, "last": t}
                    for f, t in stages
                ],
            }
        ],
    }
    with pytest.raises(plans.PlanFormatError):
        plans.from_spec(spec)


@given(st.dictionaries(st.text(), st.text()))
def test_no_header_raises(found: dict[str, str]) -> None:
    """Guards against headers that end a request with an exception."""
    headers.decode_request(found)


@given(st.text())
def test_no_number_in_a_header_raises(text: str) -> None:
    """Guards against numbers that are none, or are too long to convert."""
    names = (headers.TOKEN_COUNTS, headers.DEADLINE_MS, headers.LENGTH_HINT)
    found = headers.decode_request(dict.fromkeys(names, text))
    assert found.prompt_tokens >= 0


def test_settings_are_translated() -> None:
    """Guards against bounds in another unit than their name says."""
    loaded = settings.decode(tomllib.loads(SETTINGS))
    assert loaded.is_ok()
    assert loaded.ok.bounds.retry_window_s == 11.0
    assert loaded.ok.bounds.directory_ttl_s == 4.0
    assert loaded.ok.bounds.grace_s == 7.0
    assert loaded.ok.listen.peers == "10.1.0.40:8229"
    assert loaded.ok.metrics == "10.1.0.40:7340"


@given(_mutations(tomllib.loads(SETTINGS)) | st.dictionaries(st.text(), VALUES))
def test_no_settings_raise(raw: dict[str, Any]) -> None:
    """Guards against a settings file that ends the process without a name."""
    loaded = settings.decode(raw)
    if loaded.is_error():
        assert all(problem.key for problem in loaded.error)


def test_bad_bound_is_named_and_its_default_used() -> None:
    """Guards against one bad bound that keeps an instance from starting."""
    raw = tomllib.loads(SETTINGS)
    raw["bounds"]["budgetWindowS"] = "soon"
    loaded = settings.decode(raw)
    assert loaded.is_ok()
    assert loaded.ok.bounds.retry_window_s == 10.0


def test_all_problems_are_named_at_once() -> None:
    """Guards against a start for each mistake."""
    raw = tomllib.loads(SETTINGS)
    raw["listen"]["frontend"] = "nowhere"
    del raw["nodeName"]
    loaded = settings.decode(raw)
    assert {p.key for p in loaded.error} == {"listen.frontend", "nodeName"}
