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
from yuccatally.cli import output as output_module
from yuccatally.core import selectors
from yuccatally.core.objects import documents
from yuccatally.core.objects import kinds

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_FILE_BYTES = 8_388_608
WATCH_WAIT_S = 20.0
WATCH_RETRY_DELAY_S = 1.0
WAIT_POLL_INTERVAL_S = 0.2

_EXIT_STATUSES = {
    "applied": exits.ExitStatus.DONE,
    "unchanged": exits.ExitStatus.DONE,
    "checked": exits.ExitStatus.DONE,
    "superseded": exits.ExitStatus.DONE,
    "refused": exits.ExitStatus.REFUSED,
    "conflict": exits.ExitStatus.CONFLICT,
    "unavailable": exits.ExitStatus.UNAVAILABLE,
    "unknown": exits.ExitStatus.UNKNOWN,
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
    document = _load_file(file)
    body = {"objects": document.raw, "force": force, "dry_run": dry_run}
    reply = await client.send_change("POST", "/operator/apply", body)
    _print_report(reply, output)
    if wait and not dry_run:
        await _wait_until_in_force(
            client, int(reply.content["revision"]), timeout_s
        )


@click.command()
@click.argument("object_name", metavar="KIND/NAME")
@options.operator_command
async def get(
    client: client_module.Client, output: str, object_name: str
) -> None:
    """Shows one object as it is in force on an instance."""
    kind, name = _parse_object_name(object_name)
    response = await client.get(f"/operator/objects/{kind}/{name}")
    lines = [
        f"object    {response['kind']}/{response['name']}",
        f"version   {response['version']}",
        f"revision  {response['revision']}",
        f"labels    {output_module.format_labels(response['labels'])}",
    ]
    width = max(map(len, response["spec"]), default=0)
    lines += [
        f"  {key.ljust(width)}  {json.dumps(value, ensure_ascii=False)}"
        for key, value in response["spec"].items()
    ]
    output_module.print_result(output, response, "\n".join(lines))


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
    response = await _fetch_objects(client, kind or "", selector)
    output_module.print_result(
        output, response, _format_objects(response["objects"])
    )


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
    kind, name = _parse_object_name(object_name)
    query = "?force=true" if force else ""
    path = f"/operator/objects/{kind}/{name}{query}"
    reply = await client.send_change("DELETE", path)
    _print_report(reply, output)
    if wait:
        await _wait_until_in_force(
            client, int(reply.content["revision"]), timeout_s
        )


@click.group()
def label() -> None:
    """Changes labels; concurrent changes of different labels are merged."""


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
    edit = {"set": dict(map(_parse_label, labels))}
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
    """Evaluates label selectors."""


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
        raise exits.failure(exits.ExitStatus.REFUSED, str(parsed.error))
    response = await _fetch_objects(client, kind, text)
    count = len(response["objects"])
    lines = [f"{count} objects of kind {kind} match {text!r}"]
    if count:
        lines.append(_format_objects(response["objects"]))
    output_module.print_result(output, response, "\n".join(lines))


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
        output_module.print_progress(f"watching changes after revision {since}")
    printed_count = 0
    addresses = client.connection.addresses
    address_index = 0
    while True:
        path = f"/operator/watch?since={since}&wait={WATCH_WAIT_S:g}"
        try:
            reply = await client.send(
                addresses[address_index % len(addresses)], "GET", path
            )
        except (
            client_module.UnreachableError,
            client_module.LostReplyError,
        ) as error:
            # All instances have the same revisions, so another instance can
            # continue without a gap.
            output_module.print_progress(f"{error}; retrying")
            address_index += 1
            await asyncio.sleep(WATCH_RETRY_DELAY_S)
            continue
        if reply.status != 200:
            raise exits.failure(
                exits.ExitStatus.REFUSED, client_module.error_text(reply)
            )
        for change in _decode_changes(reply.content):
            output_module.print_result(output, change, _format_change(change))
            printed_count += 1
            if printed_count == count:
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
    kind, name = _parse_object_name(object_name)
    # The base is read only once. Otherwise an edit that is repeated after a
    # lost reply could overwrite a change by another operator.
    path = f"/operator/objects/{kind}/{name}?declared=true"
    response = await client.get(path)
    base = dict(response["labels"])
    for key, value in map(_parse_label, expect):
        base.pop(key, None)
        if value:
            base[key] = value
    body = {"object": object_name, "base": base, "force": force, **edit}
    reply = await client.send_change("POST", "/operator/labels", body)
    _print_report(reply, output)


async def _fetch_objects(
    client: client_module.Client, kind: str, selector_text: str
) -> Any:
    query = urllib.parse.urlencode({"kind": kind, "selector": selector_text})
    return await client.get(f"/operator/objects?{query}")


async def _wait_until_in_force(
    client: client_module.Client, revision: int, timeout_s: float
) -> None:
    deadline = time.monotonic() + timeout_s
    previous = ""
    while True:
        response = await client.get("/operator/site/revisions")
        revisions = response["revisions"]
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
            output_module.print_progress(text)
            previous = text
        if not behind:
            return
        if time.monotonic() > deadline:
            raise exits.failure(
                exits.ExitStatus.NOT_IN_FORCE,
                f"not in force everywhere after {timeout_s:g} s; it is "
                "written, and 'yuccatally status' shows what blocks it",
            )
        await asyncio.sleep(WAIT_POLL_INTERVAL_S)


def _print_report(reply: client_module.Reply, output: str) -> None:
    report = reply.content
    if not isinstance(report, dict) or "outcome" not in report:
        raise exits.failure(
            exits.ExitStatus.REFUSED, client_module.error_text(reply)
        )
    rows = [
        [w["object"], w["outcome"], w["version"] or "", w["revision"] or ""]
        for w in report.get("objects", ())
    ]
    columns = ["OBJECT", "OUTCOME", "VERSION", "REVISION"]
    text = output_module.format_table(columns, rows) if rows else ""
    output_module.print_result(output, report, text)
    for warning in report.get("warnings", ()):
        click.echo(f"warning: {warning}", err=True)
    outcome = report["outcome"]
    if _EXIT_STATUSES[outcome] is not exits.ExitStatus.DONE:
        lines = (f"{outcome}: {p}" for p in report.get("problems", ()))
        raise exits.failure(_EXIT_STATUSES[outcome], *lines)


def _load_file(file: pathlib.Path) -> documents.DeclaredObjects:
    try:
        with file.open("rb") as opened_file:
            content = opened_file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        message = f"{file}: {error.strerror}"
        raise exits.failure(exits.ExitStatus.USAGE, message) from error
    if len(content) > MAX_FILE_BYTES:
        message = f"{file}: is longer than {MAX_FILE_BYTES} bytes; split it"
        raise exits.failure(exits.ExitStatus.USAGE, message)
    parsed = documents.parse(content, toml=file.suffix != ".json")
    if parsed.is_error():
        lines = (f"{file}: {problem}" for problem in parsed.error)
        raise exits.failure(exits.ExitStatus.REFUSED, *lines)
    return parsed.ok


def _parse_object_name(text: str) -> tuple[str, str]:
    key = documents.parse_key(text)
    if key.is_error():
        raise exits.failure(exits.ExitStatus.USAGE, str(key.error))
    return key.ok


def _parse_label(text: str) -> tuple[str, str]:
    key, separator, value = text.partition("=")
    if not separator or not key:
        raise click.UsageError(f"{text!r}: expected KEY=VALUE")
    return key, value


def _format_objects(objects: Iterable[dict[str, Any]]) -> str:
    rows = [
        [
            f"{o['kind']}/{o['name']}",
            o["version"],
            o["revision"],
            output_module.format_labels(o["labels"]),
        ]
        for o in objects
    ]
    return output_module.format_table(
        ["OBJECT", "VERSION", "REVISION", "LABELS"], rows
    )


def _decode_changes(content: dict[str, Any]) -> list[dict[str, Any]]:
    if not content["all"]:
        return content["changes"]
    output_module.print_progress(
        "older changes are no longer stored; these are all objects in force"
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


def _format_change(change: dict[str, Any]) -> str:
    name = f"{change['kind']}/{change['name']}"
    declared = change["declared"]
    if declared is None:
        blocked = change.get("blocked")
        text = f"rejected: {blocked['problem']}" if blocked else "deleted"
        return f"revision={change['revision']} object={name} {text}"
    return (
        f"revision={change['revision']} object={name} "
        f"version={declared['version']} "
        f"labels={output_module.format_labels(declared['labels'])}"
    )
