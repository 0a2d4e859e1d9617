"""An engine sends interim responses without end to a few requests."""

from __future__ import annotations

import asyncio
import os
import pathlib
import subprocess
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
SUPPORT = FOLDER.parent / "support2"
sys.path.insert(0, str(SUPPORT))

import engines  # noqa: E402
import http11  # noqa: E402
import platform_store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "n2ctnfzs989anu6wsjnb"
SPOILED_COUNT = int(os.environ.get("SPOILED", "2")) if TROUBLE else 0
# Requests that the engine answers before.
SPOIL_AFTER = 5
REQUESTS_PER_S = 10
DURATION_S = 30.0
TIMEOUT_S = 1.5
LATE_S = 0.5
MIN_LATE_COUNT = 8
CLIENT_PATIENCE_S = 15.0


async def send(record, machine, attempt, kind, answered):
    """Sends one request and records when it is answered."""
    request = http11.encode_request(
        "POST" if kind == "loan" else "GET",
        f"/{kind}/",
        [
            ("Host", engines.HOST),
            ("Yuccatally-Attempt-Id", attempt),
            ("Yuccatally-Deadline-Ms", "1500"),
            ("Api-Key", KEY),
            *([("Content-Length", "7")] if kind == "loan" else []),
        ],
        b"jar=100" if kind == "loan" else b"",
    )
    sent_at = record.now()
    record(f"send  {attempt} {kind}")
    try:
        answer = await http11.exchange(
            machine.frontend, request, CLIENT_PATIENCE_S
        )
        status = answer.status
    except (http11.BrokenError, OSError, TimeoutError) as error:
        status = type(error).__name__
    answered[attempt] = record.now() - sent_at
    record(f"reply {attempt} {status} after {answered[attempt]:.2f} s")


async def copy_lines(stream, record, runs):
    while line := await stream.readline():
        text = line.decode().strip()
        record(text)
        if text.startswith("run "):
            runs.append(text)


async def play(record):
    async with platform_store.Deployment(record) as deployment:
        store = deployment.store
        routes = [
            engines.route(
                "loan-book",
                "/loan/",
                "non_idempotent",
                "collections-app",
                maxAttempts=1,
            ),
            engines.route(
                "catalogue-read", "/catalogue/", "idempotent", "collections-app"
            ),
        ]
        store.write(
            "config",
            "main",
            engines.configuration(
                1,
                routes,
                [engines.plain_service("collections-app")],
                [{"name": "reading-room", "apiKeys": [KEY], "priority": 1}],
            ),
        )
        sound = [
            engines.Engine(store, record, f"i-d00495c35{n}", "collections-app")
            for n in range(2)
        ]
        for engine in sound:
            await engine.start()
        # A process of its own, so that its work delays no client here.
        faulty = await asyncio.create_subprocess_exec(
            sys.executable,
            str(SUPPORT / "interim_engine.py"),
            "i-c5f3720820",
            str(SPOILED_COUNT),
            str(SPOIL_AFTER),
            stdout=subprocess.PIPE,
        )
        try:
            runs = []
            address = (await faulty.stdout.readline()).decode().strip()
            sound[0].publish()
            entry = dict(store.objects["servers", sound[0].name]["spec"])
            entry["address"] = address
            store.write("servers", "i-c5f3720820", entry)
            copying = asyncio.create_task(
                copy_lines(faulty.stdout, record, runs)
            )
            machine = await deployment.add_machine("edge-cascadia-a-1")
            machine.start()
            await machine.wait_ready()
            await asyncio.sleep(1.0)
            answered, tasks = {}, []
            until = record.now() + DURATION_S
            number = 0
            while record.now() < until:
                kind = "catalogue" if number % 3 else "loan"
                tasks.append(
                    asyncio.create_task(
                        send(record, machine, f"q{number}", kind, answered)
                    )
                )
                number += 1
                await asyncio.sleep(1 / REQUESTS_PER_S)
            await asyncio.gather(*tasks)
            peak = machine.peak_memory_mb()
            record(f"peak memory of the process: {peak} MB")
            record(
                f"{SPOILED_COUNT} of {len(runs)} answers of i-c5f3720820 "
                "were spoiled"
            )
            copying.cancel()
        finally:
            faulty.kill()
            await faulty.wait()
        open_at_timeout = [a for a in answered.values() if a > TIMEOUT_S]
        late = [a for a in open_at_timeout if a > TIMEOUT_S + LATE_S]
        record(
            f"CONFIG of {len(answered)} requests {len(open_at_timeout)} were "
            f"unanswered at timeoutMs and {len(late)} half a second later"
        )
        return len(late) >= MIN_LATE_COUNT and 2 * len(late) > len(
            open_at_timeout
        )


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
