"""The documentation pages are complete and show the output of commands."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from yuccatally.cli import main
from yuccatally.core.requests import outcomes
from yuccatally_standins import pages

if TYPE_CHECKING:
    from collections.abc import Callable
    import pathlib

    from yuccatally_standins import site


def test_pages_show_what_commands_print(
    start_site: Callable[..., site.Site], tmp_path: pathlib.Path
) -> None:
    """Guards against pages whose commands fail or print another output.

    ``python -m yuccatally_standins.pages`` writes the current output.
    """
    variables = pages.prepare(start_site())
    for page in pages.PAGES:
        text = (pages.ROOT / page).read_text()
        rendered = pages.render(text, variables, tmp_path)
        assert pages.normalize(rendered) == pages.normalize(text), page
        assert "Traceback" not in rendered


def test_progress_of_a_wait_is_no_difference() -> None:
    """Guards against a verdict that depends on when ``--wait`` first polls.

    The command prints a line for each state that it polls, and the last line
    when the revision is in force.
    """
    done = "revision 13 is in force on 3 of 3 instances\n"
    progress = (
        "revision 13 is in force on 1 of 3 instances; "
        "waiting for i2 (revision 11), i3 (no answer)\n"
    )
    page = pages.normalize(f"```console\n$ apply\n{done}```\n")
    for output in (done, progress + done):
        assert pages.normalize(f"```console\n$ apply\n{output}```\n") == page
    for output in (progress, done + "refused\n"):
        assert pages.normalize(f"```console\n$ apply\n{output}```\n") != page


def test_pages_cover_every_command_and_refusal() -> None:
    """Guards against commands and refusal reasons that no page explains."""
    text = "".join((pages.ROOT / page).read_text() for page in pages.PAGES)
    for name in set(main.main.commands) - {"run", "check"}:
        assert f"yuccatally {name}" in text, name
    for reason in outcomes.Reason:
        assert f"| `{reason}` |" in text, reason


def test_links_lead_somewhere() -> None:
    """Guards against links to files that were moved or removed."""
    for page in (*pages.PAGES, "docs/glossary.md"):
        path = pages.ROOT / page
        for target in re.findall(r"\]\(([^)#]+)", path.read_text()):
            assert (path.parent / target).exists(), f"{page}: {target}"


def test_table_of_ends_names_tests_that_exist() -> None:
    """Guards against renaming or removing a test that the table names."""
    root = pages.ROOT
    table = (root / "docs/platform.md").read_text()
    table = table.split("## How a request ends")[1].split("\n## ")[0]
    files = (root / "tests/forwarding").glob("test_*.py")
    tests = "".join(f.read_text() for f in files)
    named = re.findall(r"`(test_\w+)`", table)
    assert len(named) > 12
    for name in named:
        assert f"async def {name}(" in tests, name
