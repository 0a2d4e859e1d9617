"""Command line: ``python -m yuccatally_build``."""

from __future__ import annotations

import pathlib

import click

from yuccatally_build import archive


@click.command()
@click.argument(
    "target",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("dist/yuccatally"),
)
@click.option("--list", "listed", is_flag=True, help="List the contents.")
def main(target: pathlib.Path, listed: bool) -> None:
    """Builds the program as a single executable file."""
    source = pathlib.Path(__file__).parent.parent
    try:
        summary = archive.build(source, target)
    except archive.BuildError as error:
        raise click.ClickException(str(error)) from error
    if listed:
        click.echo("\n".join(summary.distributions))
    click.echo(
        f"{summary.path}: {summary.size_bytes / 1e6:.1f} MB, "
        f"{len(summary.distributions)} distributions, "
        f"{summary.extension_count} extension modules"
    )


if __name__ == "__main__":
    main()
