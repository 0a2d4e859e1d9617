"""Commands on the whole deployment, its instances and requests."""

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
from yuccatally.cli import output as output_module

DRAIN_POLL_INTERVAL_S = 0.2


@click.command()
@click.option(
    "--check", is_flag=True, help="Exit with status 6 if anything is blocked."
)
@options.operator_command
async def status(
    client: client_module.Client, output: str, check: bool
) -> None:
    """Shows every object and every instance, and why they are blocked."""
    response = await client.get("/operator/site/status")
    header = f"revision {response['revision']}"
    if not response["platform"]:
        header += ", platform unavailable"
    objects = [
        [
            o["object"],
            o["version"],
            o["revision"],
            f"{o['in_force']}/{o['instances']}",
            "; ".join(o["blocked"]),
        ]
        for o in response["objects"]
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
        for i in response["instances"]
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
            header,
            output_module.format_table(object_columns, objects),
            output_module.format_table(instance_columns, instances),
        ]
    )
    output_module.print_result(output, response, text)
    for warning in response["warnings"]:
        click.echo(f"warning: {warning}", err=True)
    blocked = any(o["blocked"] for o in response["objects"])
    blocked = blocked or any(i["detail"] for i in response["instances"])
    if check and (blocked or response["warnings"]):
        raise exits.failure(
            exits.ExitStatus.NOT_IN_FORCE,
            "an object or instance is blocked, or the status is incomplete",
        )


@click.command()
@click.argument("request")
@options.operator_command
async def explain(
    client: client_module.Client, output: str, request: str
) -> None:
    """Shows what happened to one request, hop by hop."""
    quoted = urllib.parse.quote(request, safe="")
    response = await client.get(f"/operator/site/requests/{quoted}")
    spans = response["spans"]
    if spans or output == "json":
        first_start_s = min((s["start_unix_s"] for s in spans), default=0.0)
        rows = [
            [
                f"{(s['start_unix_s'] - first_start_s) * 1e3:.1f}",
                f"{s['duration_s'] * 1e3:.1f}",
                s["instance"],
                s["name"],
                _format_attributes(s["attributes"]),
            ]
            for s in spans
        ]
        columns = ["AT-MS", "TOOK-MS", "INSTANCE", "HOP", "DETAILS"]
        output_module.print_result(
            output, response, output_module.format_table(columns, rows)
        )
    records = response.get("records", [])
    if records and not spans and output != "json":
        rows = [
            [f"{(at - records[0][1]) * 1e3:.1f}", step, detail]
            for step, at, detail in records
        ]
        click.echo(f"accepted by {response['taken_by']}; copies on its peers:")
        columns = ["AT-MS", "HOP", "DETAILS"]
        output_module.print_result(
            output, response, output_module.format_table(columns, rows)
        )
    if response["unreachable"]:
        names = ", ".join(response["unreachable"])
        click.echo(f"warning: no answer from {names}", err=True)
    if not spans and not records:
        raise exits.failure(
            exits.ExitStatus.REFUSED,
            f"request {request!r} is not known: an instance stores the last "
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
    """Shuts down the instance at --address once its requests have ended."""
    if len(client.connection.addresses) != 1:
        message = "--address: specify exactly the instance to shut down"
        raise exits.failure(exits.ExitStatus.USAGE, message)
    reply = await client.send_change("POST", "/operator/drain")
    if reply.status != 200:
        raise exits.failure(
            exits.ExitStatus.REFUSED, client_module.error_text(reply)
        )
    name = reply.content["instance"]
    output_module.print_result(output, reply.content, f"{name} is leaving")
    deadline = time.monotonic() + timeout_s
    previous = ""
    while wait:
        try:
            response = await client.send(
                reply.address, "GET", "/operator/status", timeout_s=5.0
            )
        except (
            client_module.UnreachableError,
            client_module.LostReplyError,
        ):
            output_module.print_progress(f"{name} has ended")
            return
        in_flight = response.content["requests"]["in_flight"]
        text = f"{name}: {in_flight} requests in flight"
        if text != previous:
            output_module.print_progress(text)
            previous = text
        if time.monotonic() > deadline:
            raise exits.failure(
                exits.ExitStatus.NOT_IN_FORCE,
                f"{name} still has requests after {timeout_s:g} s; it "
                "continues to shut down, run the command again to wait longer",
            )
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


@click.command()
@options.operator_command
async def requests(client: client_module.Client, output: str) -> None:
    """Shows counts and latencies of requests on all instances."""
    response = await client.get("/operator/site/requests")
    totals = [[k.replace("_", "-"), v] for k, v in response["requests"].items()]
    tables = [output_module.format_table(["REQUESTS", "COUNT"], totals)]
    if response["refusals"]:
        rows = sorted(response["refusals"].items())
        tables.append(
            output_module.format_table(["REFUSED BECAUSE", "COUNT"], rows)
        )
    rows = [
        [
            i["instance"],
            name,
            latency["count"],
            *(f"{latency[q] * 1e3:.1f}" for q in ("p50_s", "p95_s", "p99_s")),
        ]
        for i in response["instances"]
        for name, latency in i.get("latencies", {}).items()
    ]
    columns = ["INSTANCE", "LATENCY", "COUNT", "P50-MS", "P95-MS", "P99-MS"]
    tables.append(output_module.format_table(columns, rows))
    output_module.print_result(output, response, "\n\n".join(tables))
    for instance in response["instances"]:
        if instance["error"]:
            text = f"{instance['instance']}: {instance['error']}"
            click.echo(f"warning: {text}", err=True)


@click.command()
@options.operator_command
async def metrics(client: client_module.Client, output: str) -> None:
    """Prints the metrics of one instance in the Prometheus text format."""
    text = await client.get("/metrics")
    output_module.print_result(
        output, {"metrics": text.splitlines()}, text.rstrip()
    )


@click.command()
@click.option("--limit", type=click.IntRange(1, 100_000), default=1000)
@options.operator_command
async def spans(client: client_module.Client, output: str, limit: int) -> None:
    """Exports spans of the latest requests of one instance as JSON lines."""
    response = await client.get(f"/operator/spans?limit={limit}")
    lines = [
        {"instance": response["instance"], "request": r["request"], **span}
        for r in response["requests"]
        for span in r["spans"]
    ]
    text = "\n".join(json.dumps(line, ensure_ascii=False) for line in lines)
    output_module.print_result(output, lines, text)


def _format_attributes(attributes: dict[str, Any]) -> str:
    return " ".join(f"{k}={v}" for k, v in sorted(attributes.items()))
