"""Commands on the whole site, its instances and requests."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
import urllib.parse

import click

from yuccatally.cli import client as client_module
from yuccatally.cli import exits
from yuccatally.cli import options
from yuccatally.cli import output as shown

DRAIN_POLL_S = 0.2


@click.command()
@click.option(
    "--check", is_flag=True, help="Exit with status 6 if anything is blocked."
)
@options.operator_command
async def status(
    client: client_module.Client, output: str, check: bool
) -> None:
    """Shows every object and every instance, and what blocks them."""
    found = await client.get("/operator/site/status")
    head = f"revision {found['revision']}"
    if not found["platform"]:
        head += ", platform unavailable"
    objects = [
        [
            o["object"],
            o["version"],
            o["revision"],
            f"{o['in_force']}/{o['instances']}",
            "; ".join(o["blocked"]),
        ]
        for o in found["objects"]
    ]
    instances = [
        [
            i["instance"],
            i["data_centre"],
            i["state"],
            i["revision"],
            i["accepted"],
            i["answered"],
            i["not_run"],
            i["unknown"],
            i["in_flight"],
            "yes" if i["balanced"] else "NO",
            i["engines"],
            i["detail"],
        ]
        for i in found["instances"]
    ]
    object_columns = ["OBJECT", "VERSION", "REVISION", "IN-FORCE", "BLOCKED BY"]
    instance_columns = [
        "INSTANCE",
        "DATA-CENTRE",
        "STATE",
        "REVISION",
        "ACCEPTED",
        "ANSWERED",
        "NOT-RUN",
        "UNKNOWN",
        "IN-FLIGHT",
        "BALANCED",
        "ENGINES",
        "DETAIL",
    ]
    text = "\n\n".join(
        [
            head,
            shown.format_table(object_columns, objects),
            shown.format_table(instance_columns, instances),
        ]
    )
    shown.print_result(output, found, text)
    for warning in found["warnings"]:
        click.echo(f"warning: {warning}", err=True)
    blocked = any(o["blocked"] for o in found["objects"])
    blocked = blocked or any(i["detail"] for i in found["instances"])
    if check and (blocked or found["warnings"]):
        raise exits.failure(exits.Exit.NOT_IN_FORCE, "something is blocked")


@click.command()
@click.argument("request")
@options.operator_command
async def explain(
    client: client_module.Client, output: str, request: str
) -> None:
    """Shows what happened to one request, hop by hop."""
    quoted = urllib.parse.quote(request, safe="")
    found = await client.get(f"/operator/site/requests/{quoted}")
    spans = found["spans"]
    if spans or output == "json":
        first = min((s["start_unix_s"] for s in spans), default=0.0)
        rows = [
            [
                f"{(s['start_unix_s'] - first) * 1e3:.1f}",
                f"{s['duration_s'] * 1e3:.1f}",
                s["instance"],
                s["name"],
                _attributes(s["attributes"]),
            ]
            for s in spans
        ]
        columns = ["AT-MS", "TOOK-MS", "INSTANCE", "HOP", "DETAILS"]
        shown.print_result(output, found, shown.format_table(columns, rows))
    records = found.get("records", [])
    if records and not spans and output != "json":
        rows = [
            [f"{(at - records[0][1]) * 1e3:.1f}", step, detail]
            for step, at, detail in records
        ]
        click.echo(f"taken by {found['taken_by']}; from the copies of peers:")
        columns = ["AT-MS", "HOP", "DETAILS"]
        shown.print_result(output, found, shown.format_table(columns, rows))
    if found["unreachable"]:
        names = ", ".join(found["unreachable"])
        click.echo(f"warning: no answer from {names}", err=True)
    if not spans and not records:
        raise exits.failure(
            exits.Exit.REFUSED,
            f"request {request!r} is not known: an instance keeps the last "
            "4096 requests, and only while it runs",
        )


@click.command()
@click.option("--wait/--no-wait", default=True, show_default=True)
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(0, 86_400),
    default=300.0,
    show_default=True,
    help="Longest wait, in seconds.",
)
@options.operator_command
async def drain(
    client: client_module.Client, output: str, wait: bool, timeout_s: float
) -> None:
    """Shuts the instance at --address down without ending a request."""
    if len(client.connection.addresses) != 1:
        message = "--address: name exactly the instance that is to leave"
        raise exits.failure(exits.Exit.USAGE, message)
    reply = await client.change("POST", "/operator/drain")
    if reply.status != 200:
        raise exits.failure(exits.Exit.REFUSED, client_module.error_text(reply))
    name = reply.content["instance"]
    shown.print_result(output, reply.content, f"{name} is leaving")
    give_up_at = time.monotonic() + timeout_s
    previous = ""
    while wait:
        try:
            found = await client.send(
                reply.address, "GET", "/operator/status", timeout_s=5.0
            )
        except (
            client_module.UnreachableError,
            client_module.LostReplyError,
        ):
            shown.print_progress(f"{name} has ended")
            return
        in_flight = found.content["requests"]["in_flight"]
        text = f"{name}: {in_flight} requests in flight"
        if text != previous:
            shown.print_progress(text)
            previous = text
        if time.monotonic() > give_up_at:
            raise exits.failure(
                exits.Exit.NOT_IN_FORCE,
                f"{name} still has requests after {timeout_s:g} s; it goes on "
                "leaving, run the command again to wait longer",
            )
        await asyncio.sleep(DRAIN_POLL_S)


@click.command()
@options.operator_command
async def requests(client: client_module.Client, output: str) -> None:
    """Shows counts and latencies of requests on all instances."""
    found = await client.get("/operator/site/requests")
    totals = [[k.replace("_", "-"), v] for k, v in found["requests"].items()]
    parts = [shown.format_table(["REQUESTS", "COUNT"], totals)]
    if found["refusals"]:
        rows = sorted(found["refusals"].items())
        parts.append(shown.format_table(["REFUSED BECAUSE", "COUNT"], rows))
    rows = [
        [
            i["instance"],
            name,
            latency["count"],
            *(f"{latency[q] * 1e3:.1f}" for q in ("p50_s", "p95_s", "p99_s")),
        ]
        for i in found["instances"]
        for name, latency in i.get("latencies", {}).items()
    ]
    columns = ["INSTANCE", "LATENCY", "COUNT", "P50-MS", "P95-MS", "P99-MS"]
    parts.append(shown.format_table(columns, rows))
    shown.print_result(output, found, "\n\n".join(parts))
    for instance in found["instances"]:
        if instance["error"]:
            text = f"{instance['instance']}: {instance['error']}"
            click.echo(f"warning: {text}", err=True)


@click.command()
@options.operator_command
async def metrics(client: client_module.Client, output: str) -> None:
    """Prints the metrics of one instance in the Prometheus text format."""
    text = await client.get("/metrics")
    shown.print_result(output, {"metrics": text.splitlines()}, text.rstrip())


@click.command()
@click.option("--limit", type=click.IntRange(1, 100_000), default=1000)
@options.operator_command
async def spans(client: client_module.Client, output: str, limit: int) -> None:
    """Exports spans of the latest requests of one instance as JSON lines."""
    found = await client.get(f"/operator/spans?limit={limit}")
    lines = [
        {"instance": found["instance"], "request": r["request"], **span}
        for r in found["requests"]
        for span in r["spans"]
    ]
    text = "\n".join(json.dumps(line, ensure_ascii=False) for line in lines)
    shown.print_result(output, lines, text)


def _attributes(attributes: dict[str, Any]) -> str:
    return " ".join(f"{k}={v}" for k, v in sorted(attributes.items()))
