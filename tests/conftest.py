"""Fixtures shared by all tests, and the list of known failures."""

from __future__ import annotations

import os
import pathlib
from typing import TYPE_CHECKING

import hypothesis
import pytest
import structlog

from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# CI needs the same result in each run; HYPOTHESIS_PROFILE=explore uses new
# random examples.
hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.register_profile("explore", deadline=None)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

KNOWN_RED_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_failures() -> dict[str, str]:
    """Returns the lines of KNOWN-RED.txt by test ID."""
    entries = {}
    for line in KNOWN_RED_FILE.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            entries[line.split("|")[0].strip()] = line
    return entries


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects exactly the tests that KNOWN-RED.txt lists."""
    known_failures = read_known_failures()
    deselected = [i for i in items if i.nodeid in known_failures]
    items[:] = [i for i in items if i.nodeid not in known_failures]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the lines of the deselected tests."""
    for line in read_known_failures().values():
        terminalreporter.write_line(f"KNOWN RED, not run: {line}")


@pytest.fixture
def start_site(
    tmp_path: pathlib.Path,
) -> Iterator[Callable[..., site.Site]]:
    """Provides a function that starts a site; every site stops at the end."""
    sites: list[site.Site] = []

    def start(plan: site.SiteSpec = site.DEFAULT_SPEC) -> site.Site:
        folder = tmp_path / f"site{len(sites)}"
        folder.mkdir()
        started = site.Site(plan, folder)
        sites.append(started)
        started.start()
        return started

    yield start
    for started in sites:
        started.stop()


@pytest.fixture(scope="module")
def shared_site(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[site.Site]:
    """Provides a site that the tests of a module share and do not change."""
    started = site.Site(site.DEFAULT_SPEC, tmp_path_factory.mktemp("site"))
    try:
        started.start()
        yield started
    finally:
        started.stop()


@pytest.fixture(autouse=True)
def quiet_logs() -> Iterator[None]:
    """Suppresses the log lines of instances in this process."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    yield
    structlog.reset_defaults()
