"""One unreadable entry of 1 MiB stops the routers for seconds."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402
from yuccatally_standins import path_engine  # noqa: E402

ROUTER_COUNT = 6  # as many as on the smaller sheet, in its three zones
VALUE_BYTES = 1_048_576  # `valueBytes` of the settings
TIMEOUT_S = 1.5  # `timeoutMs` of the route
LATE_S = 0.5  # the rule's half second
DEADLINE_MS = 3000  # of bookings on the sheet
BOOKINGS_PER_S = 20
LOAD_S = 24.0
WRITE_AT_S = 8.0
LEAST_COUNT = 8  # of the rule


def unreadable_entry() -> bytes:
    """Returns an entry in JSON that holds one byte that is no UTF-8."""
    head = b'{"service":"desk","models":['
    tail = b'"\xff"]}'
    item = b"[],"
    count = (VALUE_BYTES - 2048 - len(head) - len(tail)) // len(item)
    return head + item * count + tail


async def main(
    record: harness.Record, site: harness.Deployment, trouble: bool
) -> bool:
    """Sends bookings, and writes the entry once on the way."""
    await site.publish_configuration(1)
    for name in ("d1", "d2", "d3"):
        await site.add_engine(
            path_engine.PathEngine(site.by_address, name, "desk")
        )
    for index in range(ROUTER_COUNT):
        await site.start(site.new_router(zone=f"zone-{index % 3}"))
    for router in site.routers:
        await site.wait_ready(router)
    await asyncio.sleep(6)

    rng = random.Random(1)
    overdue: list[str] = []
    late: list[str] = []
    answered: dict[str, int] = {}

    async def book(number: int) -> None:
        router = rng.choice(site.routers)
        attempt = f"booking-{number}"
        sent_at = time.monotonic()
        record.write(f"sent {attempt} to {router.name}")
        answer = await site.send(
            router,
            f"/book/{number}",
            attempt,
            deadline_ms=DEADLINE_MS,
            timeout_s=DEADLINE_MS / 1e3,
        )
        took_s = time.monotonic() - sent_at
        result = str(answer.status or answer.error)
        answered[result] = answered.get(result, 0) + 1
        record.write(
            f"answer {attempt} from {router.name}: {result} "
            f"after {took_s:.3f} s"
        )
        if took_s > TIMEOUT_S:
            overdue.append(attempt)
        if took_s > TIMEOUT_S + LATE_S:
            late.append(attempt)

    silence_s: dict[str, float] = {}

    async def probe(router: harness.Router) -> None:
        last_at = time.monotonic()
        while True:
            answer = await site.probe(router)
            now = time.monotonic()
            silence_s[router.name] = max(
                now - last_at, silence_s.get(router.name, 0.0)
            )
            if answer:
                last_at = now
            await asyncio.sleep(0.2)

    site.tasks += [asyncio.create_task(probe(r)) for r in site.routers]

    async def write() -> None:
        await asyncio.sleep(WRITE_AT_S)
        entry = unreadable_entry()
        record.write(f"another writer writes an entry of {len(entry)} bytes")
        await site.store.set_raw("servers", "foreign-1", entry)

    jobs: list[asyncio.Task[None]] = []
    if trouble:
        jobs.append(asyncio.create_task(write()))
    started_at = time.monotonic()
    for number in range(int(BOOKINGS_PER_S * LOAD_S)):
        due_at = started_at + number / BOOKINGS_PER_S
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        jobs.append(asyncio.create_task(book(number)))
    await asyncio.gather(*jobs)
    for name, longest_s in sorted(silence_s.items()):
        record.write(f"{name}: longest time without a 200: {longest_s:.1f} s")
    runs = sum(len(e.executed_requests) for e in site.engines.values())
    record.write(f"bookings run by engines: {runs}; answers: {answered}")
    record.write(
        f"unanswered after {TIMEOUT_S} s: {len(overdue)}; "
        f"of these, without an answer {LATE_S} s later: {len(late)}"
    )
    print(f"unanswered at the timeout: {len(overdue)}, late: {len(late)}")
    print(f"answers: {answered}; silence: {silence_s}")
    return len(late) < LEAST_COUNT or len(late) <= len(overdue) / 2


if __name__ == "__main__":
    # With TROUBLE=0 the disruption is left out.
    harness.run(FOLDER, main, os.environ.get("TROUBLE", "1") != "0")
