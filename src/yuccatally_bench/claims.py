"""Measures platform calls, bytes and latency of at-most-once bookings."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import os
import socket
import statistics
import subprocess
import sys
import time
import uuid

import aiohttp
import click
import msgspec

from yuccatally.core.claims import bucket
from yuccatally.core.claims import layout
from yuccatally.instance import claims
from yuccatally.store import http as http_store
from yuccatally_bench import report

REPLY = bucket.Reply(
    200,
    (("Content-Type", "application/json"),),
    b'{"number": 1, "lot": "maple-7"}',
)


@dataclasses.dataclass(frozen=True)
class Variant:
    """A way of writing claims.

    Attributes:
        name: Name in the table.
        scheme: Distribution of keys over buckets.
        grouped: Whether the claims of an instance share writes.
        settle_delay_s: Longest time that a settlement waits for a shared
            write.
    """

    name: str
    scheme: layout.Scheme
    grouped: bool = True
    settle_delay_s: float = claims.SETTLE_DELAY_S


VARIANTS = (
    Variant("alone", layout.DEFAULT_SCHEME, False, 0.0),
    Variant("64 an hour", layout.Scheme(3600.0, 64)),
    Variant("64 in 2 min", layout.DEFAULT_SCHEME),
    Variant("16 in 2 min", layout.Scheme(120.0, 16)),
    Variant("4 in 2 min", layout.Scheme(120.0, 4)),
)


@click.command()
@click.option("--instances", default=4, show_default=True)
@click.option("--bookings", default=600, show_default=True, help="Of each run.")
@click.option("--runs", default=3, show_default=True)
@click.option("--platform-ms", default=3.0, show_default=True)
@click.option(
    "--rate",
    default=10.0,
    show_default=True,
    help="Bookings per second that have half filled the current window.",
)
@click.option("--only", default="", help="Measure one variant.")
def command(
    instances: int,
    bookings: int,
    runs: int,
    platform_ms: float,
    rate: float,
    only: str,
) -> None:
    """Measures claims and settlements against a dedicated platform.

    Each instance is a claim writer in this process with its own connections;
    the platform is the stand-in in a separate process.
    """
    click.echo(
        f"{instances} instances, {bookings} bookings a run, platform answers "
        f"after {platform_ms:g} ms, windows filled by {rate:g} bookings/s, "
        f"commit {report.commit()}"
    )
    for concurrency in (1, 8, 64):
        rows = []
        for variant in VARIANTS:
            if only and only != variant.name:
                continue
            results = [
                _run(
                    variant, instances, bookings, concurrency, platform_ms, rate
                )
                for _ in range(runs)
            ]
            columns = results[0]
            figures = {c: tuple(m[c] for m in results) for c in columns}
            rows.append(report.Row(variant.name, figures))
        click.echo(report.table(f"{concurrency} concurrent bookings", rows))


def _run(
    variant: Variant,
    instances: int,
    bookings: int,
    concurrency: int,
    platform_ms: float,
    rate: float,
) -> dict[str, float]:
    port = _free_port()
    platform = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "yuccatally_standins",
            "platform",
            "--port",
            str(port),
        ],
        env=os.environ,
    )
    try:
        return asyncio.run(
            _measure(
                variant,
                instances,
                bookings,
                concurrency,
                platform_ms,
                rate,
                port,
            )
        )
    finally:
        platform.kill()
        platform.wait()


async def _measure(
    variant: Variant,
    instances: int,
    bookings: int,
    concurrency: int,
    platform_ms: float,
    rate: float,
    port: int,
) -> dict[str, float]:
    stores = [
        http_store.HttpStore(f"http://127.0.0.1:{port}")
        for _ in range(instances)
    ]
    await _wait_ready(stores[0])
    await _fill_windows(stores[0], variant.scheme, rate)
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"{stores[0].base_url}/faults",
            json={"claim_delay_s": platform_ms / 1e3},
        ),
    ):
        pass
    # Without grouping, each booking uses its own writer.
    shared_writers = [
        claims.ClaimWriter(s, variant.settle_delay_s) for s in stores
    ]
    all_writers = list(shared_writers)
    booking_numbers = iter(range(bookings))
    latencies: list[float] = []

    async def book_repeatedly(index: int) -> None:
        for number in booking_numbers:
            writer = shared_writers[index % instances]
            if not variant.grouped:
                writer = claims.ClaimWriter(stores[index % instances], 0.0)
                all_writers.append(writer)
            latencies.append(await _book(writer, number, variant.scheme))
            if not variant.grouped:
                await writer.flush(60)

    started_at = time.monotonic()
    await asyncio.gather(*(book_repeatedly(i) for i in range(concurrency)))
    elapsed_s = time.monotonic() - started_at
    for writer in all_writers:
        await writer.flush(60)
        await writer.close()
    for store in stores:
        with contextlib.suppress(Exception):
            await store.close()
    reads = sum(w.call_counts["read"] for w in all_writers)
    writes = sum(w.call_counts["write"] for w in all_writers)
    latencies.sort()
    return {
        "writes/booking": writes / bookings,
        "conflicts/booking": sum(w.call_counts["conflict"] for w in all_writers)
        / bookings,
        "reads/booking": reads / bookings,
        "bytes/booking": sum(w.written_bytes for w in all_writers) / bookings,
        "p50 ms": statistics.median(latencies) * 1e3,
        "p95 ms": latencies[int(len(latencies) * 0.95)] * 1e3,
        "bookings/s": bookings / elapsed_s,
    }


async def _book(
    writer: claims.ClaimWriter, number: int, scheme: layout.Scheme
) -> float:
    now = time.time()
    key = uuid.UUID(
        int=int(now * 1000) << 80 | 7 << 76 | 2 << 62 | uuid.uuid4().int >> 66
    )
    location = layout.locate("reservations", "desk", str(key), now, scheme)
    assert isinstance(location, layout.Location)
    claim = claims.ClaimKey(
        location, f"i1-5f3a9c20-{number:x}", uuid.uuid4().hex
    )
    started_at = time.monotonic()
    verdict = await writer.acquire(claim, unavailable_timeout_s=60)
    elapsed_s = time.monotonic() - started_at
    assert isinstance(verdict, bucket.Won), verdict
    writer.settle(claim, REPLY)
    return elapsed_s


async def _fill_windows(
    store: http_store.HttpStore, scheme: layout.Scheme, rate: float
) -> None:
    """Writes the claims of the first half of the current window.

    The next window is filled as well because a run may extend into it.
    """
    now = time.time()
    count = int(rate * scheme.window_s / 2 / scheme.shards)
    claim = bucket.Claim(
        "i1-5f3a9c20-0", "0" * 32, bucket.ClaimState.DONE, now, REPLY
    )
    filled = bucket.Bucket({uuid.uuid4().hex: claim for _ in range(count)})
    spec = msgspec.to_builtins(filled)
    for unix_s in (now, now + scheme.window_s):
        window = int(unix_s // scheme.window_s) % scheme.windows
        for shard in range(scheme.shards):
            name = f"window-{window:04d}-{shard:02d}"
            await store.put(claims.KIND, name, spec, {}, 0)


async def _wait_ready(store: http_store.HttpStore) -> None:
    for attempt in itertools.count():
        try:
            await store.members()
            return
        except Exception:
            if attempt > 200:
                raise
            await asyncio.sleep(0.05)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
