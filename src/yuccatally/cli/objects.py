"""Commands on declared objects."""

from __future__ import annotations

import asyncio
import json
import pathlib
import time
from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

import click

from yuccatally.cli import client as client_module
from yuccatally.cli import exits
from yuccatally.cli import options
from yuccatally.cli import output as shown
from yuccatally.core import selectors
from yuccatally.core.objects import documents
from yuccatally.core.objects import kinds

if TYPE_CHECKING:
    from collections.abc import Iterable

FILE_BYTES = 8_388_608
WATCH_WAIT_S = 20.0
WATCH_RETRY_S = 1.0
WAIT_POLL_S = 0.2

_EXITS = {
    "applied": exits.Exit.DONE,
    "unchanged": exits.Exit.DONE,
    "checked": exits.Exit.DONE,
    "superseded": exits.Exit.DONE,
    "refused": exits.Exit.REFUSED,
    "conflict": exits.Exit.CONFLICT,
    "unavailable": exits.Exit.UNAVAILABLE,
    "unknown": exits.Exit.UNKNOWN,
}

_KIND = click.Choice(sorted(kinds.SPEC_TYPES))
_FORCE = click.option(
    "--force",
    is_flag=True,
    help="Write even if a model is left without a whole pipeline.",
)
_WAIT = click.option(
    "--wait", is_flag=True, help="Wait until it is in force everywhere."
)
_TIMEOUT = click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(0, 3600),
    default=30.0,
    show_default=True,
    help="Longest wait of --wait, in seconds.",
)


@click.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@_FORCE
@_WAIT
@_TIMEOUT
@click.option("--dry-run", is_flag=True, help="Check only, write nothing.")
@options.operator_command
async def apply(
    client: client_module.Client,
    output: str,
    file: pathlib.Path,
    force: bool,
    wait: bool,
    timeout_s: float,
    dry_run: bool,
) -> None:
    """Writes the objects of a TOML or JSON file."""
    document = _load(file)
    body = {"objects": document.raw, "force": force, "dry_run": dry_run}
    reply = await client.change("POST", "/operator/apply", body)
    _show_report(reply, output)
    if wait and not dry_run:
        await _wait(client, int(reply.content["revision"]), timeout_s)


@click.command()
@click.argument("object_name", metavar="KIND/NAME")
@options.operator_command
async def get(
    client: client_module.Client, output: str, object_name: str
) -> None:
    """Shows one object as it is in force on an instance."""
    kind, name = _key(object_name)
    found = await client.get(f"/operator/objects/{kind}/{name}")
    lines = [
        f"object    {found['kind']}/{found['name']}",
        f"version   {found['version']}",
        f"revision  {found['revision']}",
        f"labels    {shown.format_labels(found['labels'])}",
    ]
    width = max(map(len, found["spec"]), default=0)
    lines += [
        f"  {key.ljust(width)}  {json.dumps(value, ensure_ascii=False)}"
        for key, value in found["spec"].items()
    ]
    shown.print_result(output, found, "\n".join(lines))


@click.command("list")
@click.argument("kind", type=_KIND, required=False)
@click.option("--selector", default="", help="Label selector.")
@options.operator_command
async def list_objects(
    client: client_module.Client,
    output: str,
    kind: str | None,
    selector: str,
) -> None:
    """Lists the objects in force on an instance."""
    found = await _select(client, kind or "", selector)
    shown.print_result(output, found, _objects_table(found["objects"]))


@click.command()
@click.argument("object_name", metavar="KIND/NAME")
@_FORCE
@_WAIT
@_TIMEOUT
@options.operator_command
async def delete(
    client: client_module.Client,
    output: str,
    object_name: str,
    force: bool,
    wait: bool,
    timeout_s: float,
) -> None:
    """Deletes one object."""
    kind, name = _key(object_name)
    query = "?force=true" if force else ""
    path = f"/operator/objects/{kind}/{name}{query}"
    reply = await client.change("DELETE", path)
    _show_report(reply, output)
    if wait:
        await _wait(client, int(reply.content["revision"]), timeout_s)


@click.group()
def label() -> None:
    """Changes labels; concurrent changes of different labels merge."""


@label.command("set")
@click.argument("object_name", metavar="KIND/NAME")
@click.argument("labels", metavar="KEY=VALUE...", nargs=-1, required=True)
@click.option(
    "--expect",
    multiple=True,
    metavar="KEY=VALUE",
    help="Change the label only if it has this value; KEY= for none.",
)
@_FORCE
@options.operator_command
async def label_set(
    client: client_module.Client,
    output: str,
    object_name: str,
    labels: tuple[str, ...],
    expect: tuple[str, ...],
    force: bool,
) -> None:
    """Sets labels of one object."""
    edit = {"set": dict(map(_label, labels))}
    if any(not value for value in edit["set"].values()):
        message = "to remove a label use 'yuccatally label remove'"
        raise click.UsageError(message)
    await _edit_labels(client, output, object_name, edit, expect, force)


@label.command("remove")
@click.argument("object_name", metavar="KIND/NAME")
@click.argument("keys", metavar="KEY...", nargs=-1, required=True)
@click.option("--expect", multiple=True, metavar="KEY=VALUE")
@_FORCE
@options.operator_command
async def label_remove(
    client: client_module.Client,
    output: str,
    object_name: str,
    keys: tuple[str, ...],
    expect: tuple[str, ...],
    force: bool,
) -> None:
    """Removes labels of one object."""
    edit = {"remove": list(keys)}
    await _edit_labels(client, output, object_name, edit, expect, force)


@click.group()
def selector() -> None:
    """Tries out label selectors."""


@selector.command("try")
@click.argument("text", metavar="SELECTOR")
@click.option("--kind", type=_KIND, default="engine", show_default=True)
@options.operator_command
async def selector_try(
    client: client_module.Client, output: str, text: str, kind: str
) -> None:
    """Shows which objects a selector matches."""
    parsed = selectors.parse(text)
    if parsed.is_error():
        raise exits.failure(exits.Exit.REFUSED, str(parsed.error))
    found = await _select(client, kind, text)
    count = len(found["objects"])
    lines = [f"{count} objects of kind {kind} match {text!r}"]
    if count:
        lines.append(_objects_table(found["objects"]))
    shown.print_result(output, found, "\n".join(lines))


@click.command()
@click.option("--since", type=int, help="Revision to start after.")
@click.option("--count", type=int, default=0, help="End after so many changes.")
@options.operator_command
async def watch(
    client: client_module.Client, output: str, since: int | None, count: int
) -> None:
    """Follows changes as they come into force on an instance."""
    if since is None:
        since = (await client.get("/operator/status"))["revision"]
        shown.print_progress(f"watching changes after revision {since}")
    seen = 0
    addresses = client.connection.addresses
    turn = 0
    while True:
        path = f"/operator/watch?since={since}&wait={WATCH_WAIT_S:g}"
        try:
            reply = await client.send(
                addresses[turn % len(addresses)], "GET", path
            )
        except (
            client_module.UnreachableError,
            client_module.LostReplyError,
        ) as error:
            # The revision is the same on every instance, so that another one
            # continues without a gap.
            shown.print_progress(f"{error}; trying again")
            turn += 1
            await asyncio.sleep(WATCH_RETRY_S)
            continue
        if reply.status != 200:
            raise exits.failure(
                exits.Exit.REFUSED, client_module.error_text(reply)
            )
        for change in _changes(reply.content):
            shown.print_result(output, change, _change_text(change))
            seen += 1
            if seen == count:
                return
        since = max(since, reply.content["revision"])


async def _edit_labels(
    client: client_module.Client,
    output: str,
    object_name: str,
    edit: dict[str, Any],
    expect: tuple[str, ...],
    force: bool,
) -> None:
    kind, name = _key(object_name)
    # Fixing the base here keeps a change by someone else from being
    # overwritten when the edit is sent again after a lost reply.
    path = f"/operator/objects/{kind}/{name}?declared=true"
    found = await client.get(path)
    base = dict(found["labels"])
    for key, value in map(_label, expect):
        base.pop(key, None)
        if value:
            base[key] = value
    body = {"object": object_name, "base": base, "force": force, **edit}
    reply = await client.change("POST", "/operator/labels", body)
    _show_report(reply, output)


async def _select(
    client: client_module.Client, kind: str, selector_text: str
) -> Any:
    query = urllib.parse.urlencode({"kind": kind, "selector": selector_text})
    return await client.get(f"/operator/objects?{query}")


async def _wait(
    client: client_module.Client, revision: int, timeout_s: float
) -> None:
    give_up_at = time.monotonic() + timeout_s
    previous = ""
    while True:
        found = await client.get("/operator/site/revisions")
        revisions = found["revisions"]
        behind = {n: r for n, r in revisions.items() if r < revision}
        count = f"{len(revisions) - len(behind)} of {len(revisions)}"
        text = f"revision {revision} is in force on {count} instances"
        if behind:
            names = ", ".join(
                f"{n} ({f'revision {r}' if r else 'no answer'})"
                for n, r in sorted(behind.items())
            )
            text += f"; waiting for {names}"
        if text != previous:
            shown.print_progress(text)
            previous = text
        if not behind:
            return
        if time.monotonic() > give_up_at:
            raise exits.failure(
                exits.Exit.NOT_IN_FORCE,
                f"not in force everywhere after {timeout_s:g} s; it is "
                "written, and 'yuccatally status' shows what blocks it",
            )
        await asyncio.sleep(WAIT_POLL_S)


def _show_report(reply: client_module.Reply, output: str) -> None:
    report = reply.content
    if not isinstance(report, dict) or "outcome" not in report:
        raise exits.failure(exits.Exit.REFUSED, client_module.error_text(reply))
    rows = [
        [w["object"], w["outcome"], w["version"] or "", w["revision"] or ""]
        for w in report.get("objects", ())
    ]
    columns = ["OBJECT", "OUTCOME", "VERSION", "REVISION"]
    text = shown.format_table(columns, rows) if rows else ""
    shown.print_result(output, report, text)
    for warning in report.get("warnings", ()):
        click.echo(f"warning: {warning}", err=True)
    outcome = report["outcome"]
    if _EXITS[outcome] is not exits.Exit.DONE:
        lines = (f"{outcome}: {p}" for p in report.get("problems", ()))
        raise exits.failure(_EXITS[outcome], *lines)


def _load(file: pathlib.Path) -> documents.DeclaredObjects:
    try:
        with file.open("rb") as opened:
            content = opened.read(FILE_BYTES + 1)
    except OSError as error:
        message = f"{file}: {error.strerror}"
        raise exits.failure(exits.Exit.USAGE, message) from error
    if len(content) > FILE_BYTES:
        message = f"{file}: is longer than {FILE_BYTES} bytes; split it"
        raise exits.failure(exits.Exit.USAGE, message)
    parsed = documents.parse(content, toml=file.suffix != ".json")
    if parsed.is_error():
        lines = (f"{file}: {problem}" for problem in parsed.error)
        raise exits.failure(exits.Exit.REFUSED, *lines)
    return parsed.ok


def _key(text: str) -> tuple[str, str]:
    key = documents.parse_key(text)
    if key.is_error():
        raise exits.failure(exits.Exit.USAGE, str(key.error))
    return key.ok


def _label(text: str) -> tuple[str, str]:
    key, equals, value = text.partition("=")
    if not equals or not key:
        raise click.UsageError(f"{text!r}: expected KEY=VALUE")
    return key, value


def _objects_table(objects: Iterable[dict[str, Any]]) -> str:
    rows = [
        [
            f"{o['kind']}/{o['name']}",
            o["version"],
            o["revision"],
            shown.format_labels(o["labels"]),
        ]
        for o in objects
    ]
    return shown.format_table(["OBJECT", "VERSION", "REVISION", "LABELS"], rows)


def _changes(content: dict[str, Any]) -> list[dict[str, Any]]:
    if not content["all"]:
        return content["changes"]
    shown.print_progress(
        "older changes are not kept; this is all that is in force"
    )
    return [
        {
            "revision": o["revision"],
            "kind": o["kind"],
            "name": o["name"],
            "declared": o,
        }
        for o in sorted(content["objects"], key=lambda o: o["revision"])
    ]


def _change_text(change: dict[str, Any]) -> str:
    name = f"{change['kind']}/{change['name']}"
    declared = change["declared"]
    if declared is None:
        blocked = change.get("blocked")
        text = f"rejected: {blocked['problem']}" if blocked else "deleted"
        return f"revision={change['revision']} object={name} {text}"
    return (
        f"revision={change['revision']} object={name} "
        f"version={declared['version']} "
        f"labels={shown.format_labels(declared['labels'])}"
    )
