"""An engine crashes under long prompts while a machine lacks the store."""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support2"))

import engines  # noqa: E402
import http11  # noqa: E402
import platform_store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Parts of a prompt that the requests of a session share.
PART_COUNT = int(os.environ.get("PARTS", "64"))
SESSION_COUNT = 140
ENGINE_COUNT = 4
# Requests that the engine has when it crashes, of both machines together.
CRASH_AT_COUNT = 60
# Time to the first event, and between two events.
PREFILL_S = 0.8
EVENT_S = 0.02
KEY = "n2ctnfzs989anu6wsjnb"
REVOKED_KEY = "q7dk20sla0x83mzuw1pe"
TURNED_AWAY_S = 9.0
CHANGE_DELAY_S = 0.3
CONFIG_APPLY_S = 2.0
OUTER_BOUND_S = 5.0
MARGIN_S = 0.2
PROBE_INTERVAL_S = 0.2
_numbers = iter(range(1, 10**6))


async def send(record, machine, target, key, parts=()):
    """Sends a request; returns its id, the time and the status."""
    number = next(_numbers)
    attempt = f"{number:016x}"
    headers = [
        ("Host", engines.HOST),
        ("Yuccatally-Attempt-Id", attempt),
        ("Yuccatally-Deadline-Ms", "20000" if parts else "1500"),
        ("Api-Key", key),
        ("Content-Length", "7"),
    ]
    if parts:
        listed = [f"{p}:40" for p in parts] + [f"{number:08x}:100"]
        headers += [
            ("Yuccatally-Model", "m0"),
            ("Yuccatally-Token-Count", "2660,150"),
            ("Yuccatally-Prefix-Hash", ",".join(listed)),
        ]
    request = http11.encode_request("POST", target, headers, b"jar=100")
    sent_at = record.now()
    record(
        f"send  {attempt} {target} to {machine.name} with key {key}, "
        f"{len(parts)} shared parts"
    )
    try:
        answer = await http11.exchange(machine.frontend, request, 25.0)
        status = answer.status if answer.ended else "cut"
    except (http11.BrokenError, OSError, TimeoutError) as error:
        status = type(error).__name__
    record(f"reply {attempt} {status}")
    return attempt, sent_at, status


async def converse(record, sessions):
    """Sends one request of each session."""
    return [
        asyncio.create_task(
            send(record, machine, "/jar/", KEY, parts)
        )
        for machine, parts in sessions
    ]


def configuration(version, keys):
    routes = [
        engines.route(
            "loan-book", "/loan/", "non_idempotent", "collections-app"
        ),
        engines.route(
            "jar-summary",
            "/jar/",
            "streaming",
            "tally-model",
            timeoutMs=20000,
            sloMs=500,
            gapTargetMs=200,
            resumable=True,
            sticky=True,
        ),
    ]
    services = [
        engines.plain_service("collections-app"),
        engines.model_service("tally-model"),
    ]
    tenants = [{"name": "hule930", "apiKeys": keys, "priority": 1}]
    return engines.configuration(version, routes, services, tenants)


async def play(record):
    async with platform_store.Deployment(record) as deployment:
        store = deployment.store
        store.write("config", "main", configuration(1, [KEY, REVOKED_KEY]))
        desk = engines.Engine(store, record, "i-d00495c352", "collections-app")
        await desk.start()
        models = []
        for number in range(ENGINE_COUNT):
            model = engines.Engine(
                store,
                record,
                f"i-7f3a91c2{number}",
                "tally-model",
                "a100s",
                zone=f"cascadia-{'ab'[number % 2]}",
                work_s=PREFILL_S,
                event_s=EVENT_S,
            )
            await model.start()
            models.append(model)
        for zone, number in (("a", 1), ("b", 1), ("b", 2)):
            name = f"edge-cascadia-{zone}-{number}"
            machine = await deployment.add_machine(name, f"cascadia-{zone}")
            machine.start()
        for machine in deployment.machines:
            await machine.wait_ready()
        first, second, cut = deployment.machines
        async with asyncio.timeout(20):
            while any(m.layers is None for m in models):  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        draw = random.Random(47)
        sessions = [
            (
                machine,
                [f"{draw.getrandbits(32):08x}" for _ in range(PART_COUNT)],
            )
            for _ in range(SESSION_COUNT)
            for machine in (first, second)
        ]
        for number in range(4):
            tasks = await converse(record, sessions[number::4])
            answers = await asyncio.gather(*tasks)
            counts = collections.Counter(s for _, _, s in answers)
            record(f"first requests of sessions: {dict(counts)}")
        _, _, status = await send(record, cut, "/loan/", REVOKED_KEY)
        if status != 200:
            raise platform_store.SetupError("no service before the change")
        tasks = await converse(record, sessions)
        async with asyncio.timeout(10):
            while max(m.running for m in models) < CRASH_AT_COUNT:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        if TROUBLE:
            busiest = max(models, key=lambda m: m.running)
            await busiest.crash()
            store.turn_away(cut.name)
            record(f"the store turns {cut.name} away")
        turned_at = record.now()
        await asyncio.sleep(CHANGE_DELAY_S)
        store.write("config", "main", configuration(4, [KEY]))
        confirmed_at = record.now()
        record(f"version 4 is confirmed, without key {REVOKED_KEY}")
        bound = confirmed_at + CONFIG_APPLY_S + OUTER_BOUND_S + MARGIN_S
        late = {}
        while record.now() < turned_at + TURNED_AWAY_S:
            for machine in deployment.machines:
                attempt, sent_at, _ = await send(
                    record, machine, "/loan/", REVOKED_KEY
                )
                if sent_at > bound:
                    late[attempt] = machine.name
            step_s = PROBE_INTERVAL_S if record.now() > bound else 1.0
            await asyncio.sleep(step_s)
        store.admit(cut.name)
        answers = await asyncio.gather(*tasks)
        counts = collections.Counter(s for _, _, s in answers)
        record(f"second requests of sessions: {dict(counts)}")
        ran = {r.headers["yuccatally-attempt-id"] for r in desk.runs}
        broken = [a for a in late if a in ran]
        for attempt in broken:
            record(
                f"CONFIG {attempt} ran at {late[attempt]} with a dropped key, "
                f"sent over {CONFIG_APPLY_S + OUTER_BOUND_S:g} s after the "
                "confirmation"
            )
        if not late:
            raise platform_store.SetupError("nothing was sent after the bound")
        return bool(broken)


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
