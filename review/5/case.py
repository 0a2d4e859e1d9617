"""Routers whose calls to the store fell silent use an engine that left."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

import deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("a", "b", "c")
# The machines are in touch again contactMs after their connections fell silent.
LEAVES_AFTER_S = deployment.CONTACT_S + 0.1
LAST_BOOKING_S = 5.0
# An engine that drains serves for drainMs and, at times, many seconds more.
EXIT_AFTER_S = 6.0
# First booking after that, twice drainMs, so that no answer tells it sooner.
FIRST_BOOKING_S = 2 * deployment.DRAIN_S
SEND_INTERVAL_S = 0.05
# The routers' calls for changes last 10 s; the silence follows a new one.
SETTLE_S = 11.5


async def main() -> int:
    """Runs the case; returns the exit status."""
    site = deployment.Site(pathlib.Path(__file__).parent, ZONES)
    try:
        return await run(site)
    finally:
        await site.stop()


async def run(site: deployment.Site) -> int:
    """Silences all connections to the store; an engine leaves later."""
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
    users = [r for r in site.routers if r.zone == zone]
    leaving = desks[zone]
    for router in users:
        answer = await site.send(router, "/book/x")
        site.record.line(f"booking at {router.name} before: {answer.status}")
    if TROUBLE:
        for proxy in proxies.values():
            proxy.silence()
        site.record.line("all open connections to the store fell silent")
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving.state = "draining"
    await leaving.publish()
    left_at = time.monotonic()
    site.record.line(f"the store has accepted that {leaving.name} is draining")
    sent = await send_late_bookings(site, users, left_at)
    await asyncio.sleep(max(0.0, left_at + EXIT_AFTER_S - time.monotonic()))
    await leaving.stop()
    late = [
        a
        for a in leaving.arrivals
        if a.request in sent and sent[a.request] - left_at > deployment.DRAIN_S
    ]
    for arrival in late:
        site.record.line(
            f"booking {arrival.request} was sent "
            f"{sent[arrival.request] - left_at:.3f} s and ran on "
            f"{leaving.name} {arrival.at - left_at:.3f} s after that"
        )
    if any(r.own_ends or r.could_not_start for r in site.routers):
        return 2
    site.record.line("DRAIN: broken" if late else "DRAIN: held")
    return 1 if late else 0


def find_zone(site: deployment.Site) -> str:
    """Returns a zone whose routers make no calls for the lease.

    These calls, one a second, would show them that connections are silent. Only
    the holder and the first two routers by name make them.
    """
    lease = site.store.objects[("lease", "control")]["spec"]
    holder = lease["holder"].partition("-")[0]
    site.record.line(f"{holder} holds the lease")
    return next(z for z in ZONES[1:] if not holder.startswith(z))


async def send_late_bookings(
    site: deployment.Site, routers: list[deployment.Router], left_at: float
) -> dict[str, float]:
    """Sends bookings to some routers; returns when each was sent."""
    sent: dict[str, float] = {}
    tasks = []
    await asyncio.sleep(left_at + FIRST_BOOKING_S - time.monotonic())
    while time.monotonic() < left_at + LAST_BOOKING_S:
        for router in routers:
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
