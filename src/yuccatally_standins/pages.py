"""Runs the commands that the documentation shows."""

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

# In this order on one site; the last ones take engines and instances away.
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


def prepare(started: site.Site) -> dict[str, str]:
    """Sends the request that pages explain, and returns the variables."""
    variables = site.command_environment(started)
    url = f"http://{variables['CALLERS']}/v1/completions"
    body = {"model": site.MODEL, "prompt": PROMPT, "max_tokens": 8}
    answer = site.fetch("POST", url, body, site.ACCOUNT_KEY)
    return {**variables, "REQUEST": answer.json()["id"]}


def run(text: str, variables: Mapping[str, str], folder: pathlib.Path) -> str:
    """Returns a page with the present output of its commands.

    Args:
        text: The page. Lines of ``console`` blocks that start with ``$`` are
            commands; ``toml`` blocks whose first line names a file are
            written to it.
        variables: Environment variables of the commands.
        folder: Folder that the commands run in.
    """

    def replaced(found: re.Match[str]) -> str:
        kind, block = found.groups()
        if kind == "toml":
            name = _FILE.match(block)
            if name is not None:
                folder.joinpath(name[1]).write_text(block)
            return found[0]
        lines = []
        for line in block.splitlines():
            if line.startswith("$ "):
                lines.append(line)
                lines += _output(line[2:], variables, folder)
        return "```console\n" + "\n".join(lines) + "\n```\n"

    return _BLOCK.sub(replaced, text)


def shape(text: str) -> list[set[str]]:
    """Returns the lines of each console block without what varies.

    Numbers, ids, the engines of a route and the width of columns vary from
    run to run, and so does the number of equal lines.
    """
    return [
        {_shape(line) for line in found[2].splitlines()}
        for found in _BLOCK.finditer(text)
        if found[1] == "console"
    ]


def _shape(line: str) -> str:
    line = re.sub(r"\b(fast|slow)-[abc]\b", "ENGINE", line)
    line = re.sub(r"(pipeline|engines)=\S+", r"\1=X", line)
    line = re.sub(r"\bi\d-[0-9a-f]+-[0-9a-f]+\b", "REQUEST", line)
    line = re.sub(r"\d+(\.\d+)?", "N", line)
    return re.sub(r"\s+", " ", line).strip()


def _output(
    command: str, variables: Mapping[str, str], folder: pathlib.Path
) -> list[str]:
    """Runs a command in this process; a new one takes longer to start."""
    expanded = string.Template(command).safe_substitute(variables)
    program, *arguments = shlex.split(expanded)
    if program != "yuccatally":
        raise ValueError(f"{command!r}: expected a command of yuccatally")
    with contextlib.chdir(folder):
        done = testing.CliRunner().invoke(
            main_module.main,
            arguments,
            env=dict(variables),
            prog_name="yuccatally",
        )
    if done.exception and not isinstance(done.exception, SystemExit):
        raise done.exception
    return [line.rstrip() for line in done.output.splitlines()]


@click.command()
def main() -> None:
    """Writes the present output of the commands into the pages."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        started = site.Site(site.DEFAULT_SPEC, folder)
        try:
            started.start()
            variables = prepare(started)
            for page in PAGES:
                path = ROOT / page
                path.write_text(run(path.read_text(), variables, folder))
                click.echo(page)
        finally:
            started.stop()


if __name__ == "__main__":
    main()
