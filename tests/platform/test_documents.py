"""Tests of the decoding of the platform's documents, headers and settings."""

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
    """Generates copies of a document with one value replaced or removed."""
    paths = list(_paths(valid))

    def mutate(mutation: tuple[tuple[Any, ...], Any, bool]) -> Any:
        path, value, remove = mutation
        copy = json.loads(json.dumps(valid))
        parent = copy
        for key in path[:-1]:
            parent = parent[key]
        if remove and isinstance(parent, dict):
            del parent[path[-1]]
        else:
            parent[path[-1]] = value
        return copy

    mutations = st.tuples(st.sampled_from(paths), VALUES, st.booleans())
    return mutations.map(mutate)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> Any:
    """Yields the path of every value in a document."""
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield (*path, key)
        yield from _paths(inner, (*path, key))


def test_configuration_is_translated() -> None:
    """Guards against mixing up fields that share a name in the format.

    For example ``routeKind`` is the retry semantics of a route but the
    accelerator type of an upstream entry.
    """
    decoded = documents.decode_rules(path_site.configuration(7))
    assert decoded.version == 7
    repeats = {r.name: r.repeat for r in decoded.routes}
    assert repeats == {
        "ask": rules.RepeatPolicy.RESUMABLE_STREAM,
        "book": rules.RepeatPolicy.AT_MOST_ONCE,
        "stock": rules.RepeatPolicy.IDEMPOTENT,
    }
    model = decoded.services["model"].model
    assert model is not None
    assert model.token_layer_bytes == 1000
    assert model.cards["big"].memory_mb == 600
    assert decoded.by_key[path_site.API_KEY].name == "desk-one"


def test_entry_is_translated() -> None:
    """Guards against ignoring the accelerator type or the start time."""
    entry = documents.decode_upstream("e", ENTRY)
    assert (entry.card, entry.born_ms, entry.draining) == ("big", 5, False)
    assert entry.layers is not None
    assert (entry.layers.first, entry.layers.last) == (2, 6)


@given(_mutations(path_site.configuration(7)) | VALUES)
def test_no_configuration_raises_another_error(spec: Any) -> None:
    """Guards against a configuration that crashes the process."""
    with contextlib.suppress(documents.FormatError):
        documents.decode_rules(spec)


@given(_mutations(ENTRY) | VALUES)
def test_no_entry_raises_another_error(spec: Any) -> None:
    """Guards against a malformed entry of another writer ending the watch."""
    try:
        entry = documents.decode_upstream("e", spec)
    except documents.FormatError:
        return
    assert isinstance(entry.address, str)
    assert isinstance(entry.slots, int)


@given(st.binary() | VALUES.map(lambda v: json.dumps(v).encode()))
def test_no_report_raises_another_error(body: bytes) -> None:
    """Guards against a malformed report that ends the control loop."""
    with contextlib.suppress(documents.FormatError):
        documents.decode_report(body)


@given(VALUES)
def test_no_plan_raises_another_error(spec: Any) -> None:
    """Guards against malformed objects of the kind that holds plans."""
    with contextlib.suppress(plans.PlanFormatError):
        plans.from_spec(spec)


@pytest.mark.parametrize(
    "stages",
    [[(0, 4), (5, 8)], [(0, 4), (3, 8)], [(1, 8)], [(0, 0)], [(4, 8), (0, 4)]],
)
def test_plan_with_gap_or_overlap_is_refused(
    stages: list[tuple[int, int]],
) -> None:
    """Guards against paths that skip a layer or run a layer twice."""
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
def test_no_header_raises(received: dict[str, str]) -> None:
    """Guards against request headers that raise an exception."""
    headers.decode_request(received)


@given(st.text())
def test_no_number_in_a_header_raises(text: str) -> None:
    """Guards against headers whose number is malformed or too long to parse."""
    names = (headers.TOKEN_COUNTS, headers.DEADLINE_MS, headers.LENGTH_HINT)
    request = headers.decode_request(dict.fromkeys(names, text))
    assert request.prompt_tokens >= 0


def test_settings_are_translated() -> None:
    """Guards against bounds that are read in the wrong unit."""
    loaded = settings.decode(tomllib.loads(SETTINGS))
    assert loaded.is_ok()
    assert loaded.ok.bounds.retry_window_s == 11.0
    assert loaded.ok.bounds.directory_ttl_s == 4.0
    assert loaded.ok.bounds.grace_s == 7.0
    assert loaded.ok.listen.peers == "10.1.0.40:8229"
    assert loaded.ok.metrics == "10.1.0.40:7340"


@given(_mutations(tomllib.loads(SETTINGS)) | st.dictionaries(st.text(), VALUES))
def test_no_settings_raise(raw: dict[str, Any]) -> None:
    """Guards against crashes on invalid settings and problems without a key."""
    loaded = settings.decode(raw)
    if loaded.is_error():
        assert all(problem.key for problem in loaded.error)


def test_bad_bound_is_named_and_its_default_used() -> None:
    """Guards against an instance that does not start for one invalid bound."""
    raw = tomllib.loads(SETTINGS)
    raw["bounds"]["budgetWindowS"] = "soon"
    loaded = settings.decode(raw)
    assert loaded.is_ok()
    assert loaded.ok.bounds.retry_window_s == 10.0


def test_all_problems_are_named_at_once() -> None:
    """Guards against reporting only the first of several problems."""
    raw = tomllib.loads(SETTINGS)
    raw["listen"]["frontend"] = "nowhere"
    del raw["nodeName"]
    loaded = settings.decode(raw)
    assert {p.key for p in loaded.error} == {"listen.frontend", "nodeName"}


@pytest.mark.parametrize(
    ("contracts", "shares_load"),
    [
        ('contracts = ["base", "pool"]', True),
        ('contracts = ["base"]', False),
        ('contracts = "pool"', False),
        ("contracts = [1, {}]", False),
        ("", False),
    ],
)
def test_load_is_shared_only_where_the_settings_ask_for_it(
    contracts: str, shares_load: bool
) -> None:
    """Guards deployments that do not ask for it, and against bad lists."""
    decoded = settings.decode(tomllib.loads(contracts + SETTINGS))
    assert decoded.ok.shares_load is shares_load


@pytest.mark.parametrize(
    ("limits", "count"),
    [
        ("", 3900),
        ("[limits]\nmaxFds = 1024", 824),
        ("[limits]\nmaxFds = 9", 16),
    ],
)
def test_descriptors_for_files_are_not_used_for_sockets(
    limits: str, count: int
) -> None:
    """Guards against connections that use the descriptors of files."""
    decoded = settings.decode(tomllib.loads(SETTINGS + limits))
    assert decoded.ok.descriptor_count == count
