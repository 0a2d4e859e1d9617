"""A changed settings file ends a router that has just been started."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

import deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTER_COUNT = 4
# Routers that are stopped and started in turn, and the pause between.
ROLLED_COUNT = 2
ROLL_GAP_S = 2.0
# A machine's settings change so long after each of its starts, so many times.
CHANGE_AFTER_S = 0.3
CHANGE_COUNT = 5
# RULES.md, "Fault": three ends on a tenth of the machines, two at least.
FATAL_ENDS = 3
FATAL_ROUTERS = 2


async def main() -> int:
    """Runs the case; returns the exit status."""
    site = deployment.Site(pathlib.Path(__file__).parent, ("a", "b"))
    try:
        return await run(site)
    finally:
        await site.stop()


async def run(site: deployment.Site) -> int:
    """Rolls routers, changes their settings and counts how often they end."""
    await site.store.start()
    await site.store.set("config", "main", deployment.configuration())
    await site.add_engine("i-e1", "model", "a", card="a100s")
    await site.add_engine("i-d1", "desk", "a")
    for number in range(ROUTER_COUNT):
        zone = site.zones[number % 2]
        router = deployment.Router(site, f"r{number}", zone, site.store.address)
        site.routers.append(router)
    for router in site.routers:
        router.start([r.peers for r in site.routers[:3]])

    async def all_serve() -> bool:
        answers = await asyncio.gather(
            *(site.send(r, "/ask/x", deadline_ms=3000) for r in site.routers)
        )
        return all(a.status == 200 for a in answers)

    if not await deployment.until(all_serve, 30.0):
        site.record.line("the routers do not serve")
        return 2
    site.record.line("all routers serve")
    unrolled = site.routers[-1]
    if TROUBLE:
        change_settings(site, unrolled, 1)
        await asyncio.sleep(1.0)
        site.record.line(f"{unrolled.name}: {len(unrolled.statuses)} ends")
    changes = {r.name: 0 for r in site.routers}
    tasks: set[asyncio.Task[None]] = set()

    async def change_later(router: deployment.Router) -> None:
        await asyncio.sleep(CHANGE_AFTER_S)
        changes[router.name] += 1
        if changes[router.name] <= CHANGE_COUNT:
            change_settings(site, router, changes[router.name])

    def handle_start(router: deployment.Router) -> None:
        if TROUBLE:
            task = asyncio.create_task(change_later(router))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    for router in site.routers[:ROLLED_COUNT]:
        router.on_start = handle_start
        router.end_is_planned = True
        router.signal(signal.SIGTERM)
        site.record.line(f"{router.name} got SIGTERM")
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.sleep(deployment.GRACE_S)
    served = await deployment.until(all_serve, 15.0)
    site.record.line(f"all routers serve at the end: {served}")
    for router in site.routers:
        site.record.line(f"{router.name}: exit statuses {router.statuses}")
    if any(s != -signal.SIGHUP for r in site.routers for s in r.statuses):
        return 2
    ended = [r for r in site.routers if len(r.statuses) >= FATAL_ENDS]
    is_broken = len(ended) >= FATAL_ROUTERS
    site.record.line("Fault: broken" if is_broken else "Fault: held")
    return 1 if is_broken else 0


def change_settings(
    site: deployment.Site, router: deployment.Router, turn: int
) -> None:
    """Writes other seeds into the settings of a machine and tells it so."""
    turn %= ROUTER_COUNT
    rotated = [*site.routers[turn:], *site.routers[:turn]]
    router.write_settings([r.peers for r in rotated[:3]])
    router.signal(signal.SIGHUP)
    site.record.line(f"the settings of {router.name} changed, it got SIGHUP")


if __name__ == "__main__":
    sys.exit(deployment.run_case(main))
