"""Runs the commands in the documentation pages and updates their output."""

from __future__ import annotations

import contextlib
import pathlib
import re
import shlex
import string
import tempfile
from typing import TYPE_CHECKING

import click
from click import testing

from yuccatally.cli import main as main_module
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Mapping

ROOT = pathlib.Path(__file__).parents[2]

# The pages run in this order on one site; the commands of the last ones remove
# engines and instances.
PAGES = (
    "README.md",
    "docs/operators/install.md",
    "docs/operators/reading.md",
    "docs/operators/refusals.md",
    "docs/operators/replace-instances.md",
)
PROMPT = "Summarise the decay notes of jar 14."

_BLOCK = re.compile(r"```(console|toml)\n(.*?)```\n", re.DOTALL)
_FILE = re.compile(r"# (\S+\.toml)\n")
# ``--wait`` prints one such line for each state that it polls; their number
# depends on timing.
_WAIT_PROGRESS = re.compile(
    r"revision \d+ is in force on \d+ of \d+ instances; waiting for "
)


def prepare(started: site.Site) -> dict[str, str]:
    """Sends the request that the pages explain.

    Returns:
        The environment variables of the commands.
    """
    variables = site.command_environment(started)
    url = f"http://{variables['CALLERS']}/v1/completions"
    body = {"model": site.MODEL, "prompt": PROMPT, "max_tokens": 8}
    answer = site.fetch("POST", url, body, site.ACCOUNT_KEY)
    return {**variables, "REQUEST": answer.json()["id"]}


def render(
    text: str, variables: Mapping[str, str], folder: pathlib.Path
) -> str:
    """Returns a page with the current output of its commands.

    Args:
        text: Text of the page. Lines of ``console`` blocks that start with
            ``$`` are commands; a ``toml`` block whose first line names a file
            is written to that file.
        variables: Environment variables of the commands.
        folder: Working folder of the commands.
    """

    def update_block(match: re.Match[str]) -> str:
        kind, block = match.groups()
        if kind == "toml":
            name = _FILE.match(block)
            if name is not None:
                folder.joinpath(name[1]).write_text(block)
            return match[0]
        lines = []
        for line in block.splitlines():
            if line.startswith("$ "):
                lines.append(line)
                lines += _run_command(line[2:], variables, folder)
        return "```console\n" + "\n".join(lines) + "\n```\n"

    return _BLOCK.sub(update_block, text)


def normalize(text: str) -> list[set[str]]:
    """Returns the lines of each console block without variable parts.

    Numbers, IDs, the engines of a path, the width of columns, the number of
    equal lines and the progress of ``--wait`` vary from run to run.
    """
    return [
        {
            _normalize_line(line)
            for line in match[2].splitlines()
            if not _WAIT_PROGRESS.match(line)
        }
        for match in _BLOCK.finditer(text)
        if match[1] == "console"
    ]


def _normalize_line(line: str) -> str:
    line = re.sub(r"\b(fast|slow)-[abc]\b", "ENGINE", line)
    line = re.sub(r"(pipeline|engines)=\S+", r"\1=X", line)
    line = re.sub(r"\bi\d-[0-9a-f]+-[0-9a-f]+\b", "REQUEST", line)
    line = re.sub(r"\d+(\.\d+)?", "N", line)
    return re.sub(r"\s+", " ", line).strip()


def _run_command(
    command: str, variables: Mapping[str, str], folder: pathlib.Path
) -> list[str]:
    """Runs a command in this process, which is faster than a new process."""
    expanded = string.Template(command).safe_substitute(variables)
    program, *arguments = shlex.split(expanded)
    if program != "yuccatally":
        raise ValueError(f"{command!r}: expected a command of yuccatally")
    with contextlib.chdir(folder):
        result = testing.CliRunner().invoke(
            main_module.main,
            arguments,
            env=dict(variables),
            prog_name="yuccatally",
        )
    if result.exception and not isinstance(result.exception, SystemExit):
        raise result.exception
    return [line.rstrip() for line in result.output.splitlines()]


@click.command()
def main() -> None:
    """Writes the current output of the commands into the pages."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        started = site.Site(site.DEFAULT_SPEC, folder)
        try:
            started.start()
            variables = prepare(started)
            for page in PAGES:
                path = ROOT / page
                path.write_text(render(path.read_text(), variables, folder))
                click.echo(page)
        finally:
            started.stop()


if __name__ == "__main__":
    main()
