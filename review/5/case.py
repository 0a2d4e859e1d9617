"""Routers beside one that is cut off from the store use an engine that left."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

import deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("a", "b", "c")
# Longest cut of this kind in the site file.
CUT_S = 5.5
LEAVES_AFTER_S = 0.3
# An engine that drains serves for drainMs and, at times, many seconds more.
EXIT_AFTER_S = 6.0
# First booking after that, twice drainMs, so that no answer tells it sooner.
FIRST_BOOKING_S = 2 * deployment.DRAIN_S
SEND_INTERVAL_S = 0.05
# The routers' calls for changes last 10 s; the cut follows a new one.
SETTLE_S = 11.5


async def main() -> int:
    """Runs the case; returns the exit status."""
    site = deployment.Site(pathlib.Path(__file__).parent, ZONES)
    try:
        return await run(site)
    finally:
        await site.stop()


async def run(site: deployment.Site) -> int:
    """Cuts a router off from the store while an engine of its zone leaves."""
    await site.store.start()
    await site.store.set("config", "main", deployment.configuration())
    await site.add_engine("i-e1", "model", "a", card="a100s")
    desks = {z: await site.add_engine(f"i-d{z}", "desk", z) for z in ZONES}
    proxies = {}
    for zone in ZONES:
        for number in (1, 2):
            name = f"{zone}{number}"
            proxies[name] = await site.add_proxy(site.store.address)
            site.routers.append(
                deployment.Router(site, name, zone, proxies[name].address)
            )
    for router in site.routers:
        router.start([r.peers for r in site.routers[:3]])

    async def all_serve() -> bool:
        answers = await asyncio.gather(
            *(site.send(r, "/ask/x", deadline_ms=3000) for r in site.routers),
            *(site.send(r, "/read/x") for r in site.routers),
        )
        return all(a.status == 200 for a in answers)

    if not await deployment.until(all_serve, 30.0):
        site.record.line("the routers do not serve")
        return 2
    await asyncio.sleep(SETTLE_S)
    zone = find_zone(site)
    cut, follower = [r for r in site.routers if r.zone == zone]
    leaving = desks[zone]
    answer = await site.send(follower, "/book/x")
    site.record.line(f"booking at {follower.name} before: {answer.status}")
    if TROUBLE:
        await proxies[cut.name].cut()
        site.record.line(f"{cut.name} is cut off from the store")
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving.state = "draining"
    await leaving.publish()
    left_at = time.monotonic()
    site.record.line(f"the store has accepted that {leaving.name} is draining")
    sent = await send_late_bookings(site, follower, left_at)
    if TROUBLE:
        proxies[cut.name].heal()
    await asyncio.sleep(max(0.0, left_at + EXIT_AFTER_S - time.monotonic()))
    await leaving.stop()
    late = [
        a
        for a in leaving.arrivals
        if a.request in sent and sent[a.request] - left_at > deployment.DRAIN_S
    ]
    for arrival in late:
        site.record.line(
            f"booking {arrival.request} was sent to {follower.name} "
            f"{sent[arrival.request] - left_at:.3f} s and ran on "
            f"{leaving.name} {arrival.at - left_at:.3f} s after that"
        )
    if any(r.own_ends or r.could_not_start for r in site.routers):
        return 2
    site.record.line("DRAIN: broken" if late else "DRAIN: held")
    return 1 if late else 0


def find_zone(site: deployment.Site) -> str:
    """Returns a zone whose routers make no calls for the lease.

    These calls, one a second, would show them that the store is cut off. Only
    the holder and the first two routers by name make them.
    """
    lease = site.store.objects[("lease", "control")]["spec"]
    holder = lease["holder"].partition("-")[0]
    site.record.line(f"{holder} holds the lease")
    return next(z for z in ZONES[1:] if not holder.startswith(z))


async def send_late_bookings(
    site: deployment.Site, router: deployment.Router, left_at: float
) -> dict[str, float]:
    """Sends bookings until the cut ends; returns when each was sent."""
    sent: dict[str, float] = {}
    tasks = []
    await asyncio.sleep(left_at + FIRST_BOOKING_S - time.monotonic())
    while time.monotonic() < left_at + CUT_S - LEAVES_AFTER_S:
        attempt = site.next_id()
        sent[attempt] = time.monotonic()
        task = site.send(router, "/book/x", b"jar 7", attempt=attempt)
        tasks.append(asyncio.create_task(task))
        await asyncio.sleep(SEND_INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    served = sum(a.status == 200 for a in answers)
    site.record.line(f"{served} of {len(answers)} late bookings got 200")
    return sent


if __name__ == "__main__":
    sys.exit(deployment.run_case(main))
