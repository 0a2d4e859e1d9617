"""A fatal part that ends the last engine of a path is never found."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
import time

import deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# ALL=1 ends all engines of a path at once, for comparison.
ENDS_ALL = os.environ.get("ALL", "0") == "1"
ROUTER_COUNT = 4
# Pipelines of two engines each, one pipeline a zone.
ZONES = tuple(f"z{n}" for n in range(8))
LAYERS = 8
# Five layers of 1,750 MB.
CARD_MB = 9000.0
TOKEN_BYTES = 4000.0
# Requests a second of a class and of the other streams of the small site, and
# the share and duration of the disruption there.
CLASS_PER_S = 15.8
OTHERS_PER_S = 16.6
FATAL_SHARE = 0.05
FATAL_S = 22.0
WARM_S = 5.0
FATAL = "dead01"
# Clients abandon a stream without an event after two seconds, and repeat once.
PATIENCE_S = 2.0
# RULES.md, "BUDGET": more than three requests after the fifth crash.
CRASH_COUNT = 5
MAX_REQUESTS = 3


async def main() -> int:
    """Runs the case; returns the exit status."""
    site = deployment.Site(pathlib.Path(__file__).parent, ZONES)
    try:
        return await run(site)
    finally:
        await site.stop()


async def run(site: deployment.Site) -> int:
    """Sends sound and fatal prompts and counts what reaches the engines."""
    await site.store.start()
    await site.store.set(
        "config",
        "main",
        deployment.configuration(LAYERS, 96, CARD_MB, TOKEN_BYTES),
    )
    for zone in ZONES:
        for number in range(2):
            engine = await site.add_engine(
                f"i-{zone}-{number}", "model", zone, card="a100s", slots=96
            )
            engine.fatal_part = FATAL if TROUBLE else ""
            engine.fatal_for_last = not ENDS_ALL
    for number in range(ROUTER_COUNT):
        site.routers.append(
            deployment.Router(
                site, f"r{number}", ZONES[number % 3], site.store.address
            )
        )
    for router in site.routers:
        router.start([r.peers for r in site.routers[:3]])

    async def all_serve() -> bool:
        answers = await asyncio.gather(
            *(site.send(r, "/ask/x", deadline_ms=3000) for r in site.routers)
        )
        return all(a.status == 200 for a in answers)

    if not await deployment.until(all_serve, 40.0, 0.5):
        site.record.line("the routers do not serve")
        return 2
    site.record.line("all routers serve")
    statuses: dict[int, int] = {}
    fatal_ids = await send_prompts(site, statuses)
    for status, count in sorted(statuses.items()):
        site.record.line(f"sound prompts with status {status}: {count}")
    if any(r.own_ends or r.could_not_start for r in site.routers):
        return 2
    return judge(site, fatal_ids)


async def send_prompts(
    site: deployment.Site, statuses: dict[int, int]
) -> set[str]:
    """Sends the load; returns the ids of the requests with the fatal part."""
    draw = random.Random(1)
    fatal_ids: set[str] = set()
    tasks: set[asyncio.Task[None]] = set()

    async def send_once(parts: list[str], attempt: str) -> int:
        prompt = ",".join(f"{p}:40" for p in parts)
        answer = await site.send(
            draw.choice(site.routers),
            "/ask/x",
            b"summary " + attempt.encode(),
            deadline_ms=20000,
            headers={
                "Yuccatally-Model": "m",
                "Yuccatally-Token-Count": "800,16",
                "Yuccatally-Prefix-Hash": f"{prompt},{attempt}:760",
            },
            attempt=attempt,
            patience_s=PATIENCE_S,
        )
        return answer.status

    async def send(parts: list[str], is_fatal: bool) -> None:
        for _ in range(2):
            attempt = site.next_id()
            if is_fatal:
                fatal_ids.add(attempt)
            status = await send_once(parts, attempt)
            if status == 200:
                break
        if not is_fatal:
            statuses[status] = statuses.get(status, 0) + 1

    per_s = CLASS_PER_S + OTHERS_PER_S
    warm_until = time.monotonic() + WARM_S
    fatal_count = 0
    while time.monotonic() < warm_until + FATAL_S:
        parts = [f"ca11e4{draw.randrange(60):02x}"]
        is_fatal = (
            time.monotonic() > warm_until
            and draw.random() < FATAL_SHARE * CLASS_PER_S / per_s
        )
        if is_fatal:
            fatal_count += 1
            parts.append(FATAL)
        task = asyncio.create_task(send(parts, is_fatal))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(draw.expovariate(per_s))
    await asyncio.wait(tasks, timeout=25.0)
    site.record.line(
        f"{fatal_count} prompts with the fatal part, {len(fatal_ids)} attempts"
    )
    return fatal_ids


def judge(site: deployment.Site, fatal_ids: set[str]) -> int:
    """Returns the exit status by what has reached the engines."""
    crashes = sorted(at for e in site.engines for at in e.crashed_at)
    arrivals = sorted(
        (a for e in site.engines for a in e.arrivals if a.request in fatal_ids),
        key=lambda a: a.at,
    )
    started_at = site.record.started_at
    for at in crashes:
        site.record.line(f"an engine crashed at {at - started_at:.3f} s")
    for arrival in arrivals:
        site.record.line(
            f"fatal request {arrival.request} reached {arrival.engine} "
            f"at {arrival.at - started_at:.3f} s"
        )
    late = []
    if len(crashes) >= CRASH_COUNT:
        bound = crashes[CRASH_COUNT - 1] + deployment.CONTACT_S
        late = [a for a in arrivals if a.at > bound]
    site.record.line(
        f"{len(crashes)} crashes, {len(late)} fatal requests reached engines "
        "later than contactMs after the fifth"
    )
    is_broken = len(late) > MAX_REQUESTS
    site.record.line("BUDGET: broken" if is_broken else "BUDGET: held")
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(deployment.run_case(main))
