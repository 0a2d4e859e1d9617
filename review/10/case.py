"""An engine leaves shortly after a machine was restarted."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support2"))

import engines  # noqa: E402
import http11  # noqa: E402
import platform_store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "n2ctnfzs989anu6wsjnb"
CONTACT_S = 3.0
DRAIN_S = 2.0
# Beyond the bound, for the time between the engine and this clock.
MARGIN_S = 0.02
RESTART_DELAY_S = 0.5
# The engine leaves so long after the restarted machine has become ready.
LEAVE_AFTER_READY_S = 1.5
SETTLE_S = 5.0
# The engine serves on for so long after its entry was removed.
SERVE_ON_S = 6.0
REQUESTS_PER_S = 80


async def send(record, machine, attempt):
    """Sends one request and records its answer."""
    request = http11.encode_request(
        "GET",
        "/catalogue/",
        [
            ("Host", engines.HOST),
            ("Yuccatally-Attempt-Id", attempt),
            ("Yuccatally-Deadline-Ms", "1500"),
            ("Api-Key", KEY),
        ],
    )
    record(f"send  {attempt} to {machine.name}")
    try:
        answer = await http11.exchange(machine.frontend, request, 5.0)
        status = answer.status
    except (http11.BrokenError, OSError, TimeoutError) as error:
        status = type(error).__name__
    record(f"reply {attempt} {status}")
    return status


class TimedEngine(engines.Engine):
    """Notes when each request arrives."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.arrivals = []

    async def _handle(self, request):
        attempt = request.headers.get("yuccatally-attempt-id", "")
        if attempt:
            self.arrivals.append((self.record.now(), attempt))
        return await super()._handle(request)


async def play(record):
    async with platform_store.Deployment(record) as deployment:
        store = deployment.store
        route = engines.route(
            "catalogue-read", "/catalogue/", "idempotent", "collections-app"
        )
        services = [engines.plain_service("collections-app")]
        tenants = [{"name": "reading-room", "apiKeys": [KEY], "priority": 1}]
        first = engines.configuration(1, [route], services, tenants)
        store.write("config", "main", first)
        desks = [
            TimedEngine(store, record, f"i-d00495c35{n}", "collections-app")
            for n in range(3)
        ]
        for desk in desks:
            await desk.start()
        for number in (1, 2, 3):
            machine = await deployment.add_machine(f"edge-cascadia-a-{number}")
            machine.start()
        for machine in deployment.machines:
            await machine.wait_ready()
        await asyncio.sleep(SETTLE_S)
        _, other, restarted = deployment.machines
        if TROUBLE:
            restarted.kill()
            record(f"{restarted.name} is killed")
            await asyncio.sleep(RESTART_DELAY_S)
            restarted.start()
        started_at = record.now()
        record(f"{restarted.name} runs")
        await restarted.wait_ready()
        record(f"{restarted.name} is ready")
        ready_at = record.now()
        await asyncio.sleep(ready_at + LEAVE_AFTER_READY_S - record.now())
        leaving = desks[0]
        store.remove("servers", leaving.name)
        left_at = record.now()
        record(f"the entry of {leaving.name} is removed")
        tasks, sent_to = [], {}
        number = 0
        while record.now() < left_at + SERVE_ON_S:
            machine = other if number % 4 == 0 else restarted
            attempt = f"q{number}"
            sent_to[attempt] = machine.name
            tasks.append(asyncio.create_task(send(record, machine, attempt)))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_S)
        statuses = await asyncio.gather(*tasks)
        if statuses.count(200) < len(statuses) / 2:
            raise platform_store.SetupError("too few requests were served")
        late = [
            (at, attempt)
            for at, attempt in leaving.arrivals
            if at > left_at + DRAIN_S + MARGIN_S
            and at > started_at + CONTACT_S
        ]
        for at, attempt in late:
            record(
                f"DRAIN {attempt} reached {leaving.name} from "
                f"{sent_to[attempt]} {(at - left_at) * 1e3:.0f} ms after its "
                "entry was removed"
            )
        return bool(late)


def main():
    record = platform_store.Record(FOLDER / "record.txt")
    try:
        is_broken = asyncio.run(play(record))
    except (platform_store.SetupError, OSError, TimeoutError) as error:
        record(f"cannot run: {error!r}")
        return 2
    record("the rule was broken" if is_broken else "the rule held")
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
