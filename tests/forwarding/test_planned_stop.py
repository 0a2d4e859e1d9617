"""Planned stop of an instance that runs as a process of its own.

Requests that are cut when the process ends get no answer, which a test within
one process does not show.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import signal
import sys
import time
from typing import TYPE_CHECKING

import aiohttp
import pytest

from yuccatally_standins import path_engine
from yuccatally_standins import path_site
from yuccatally_standins import site as site_module

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

GRACE_S = 4.0
# Longer than the grace.
LIMIT_MS = 10_000
SETTINGS = """
nodeName = "n1"
zone = "north"
[listen]
frontend = "{callers}"
ready = "{readiness}"
controlPlane = "{peers}"
directoryService = "{directory}"
[bounds]
graceS = {grace_s}
[platform]
address = "{store}"
"""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request ended for its client.

    Attributes:
        request: Id of the request.
        status: Status of the answer; 0 if the connection ended without one.
        retry_after: Value of Retry-After; empty for none.
        body: Body, with ``!`` at the end if it is incomplete.
        duration_s: Time from the request to its end, in seconds.
    """

    request: str
    status: int
    retry_after: str
    body: bytes
    duration_s: float


@dataclasses.dataclass
class Stop:
    """An instance in a process that a test stops.

    Attributes:
        site: Store, engines and services.
        process: Process of the instance.
        callers: Address for clients.
    """

    site: path_site.Site
    process: asyncio.subprocess.Process
    callers: str

    async def send(
        self, target: str, request: str, limit_ms: int = LIMIT_MS
    ) -> Outcome:
        """Sends a request on a connection of its own."""
        headers = {
            "Host": path_site.HOST,
            "Api-Key": path_site.API_KEY,
            "Yuccatally-Attempt-Id": request,
            "Yuccatally-Deadline-Ms": str(limit_ms),
        }
        started_at = time.monotonic()
        status, retry_after, body = 0, "", b""
        try:
            async with self.site.session.post(
                f"http://{self.callers}{target}", headers=headers, data=b"p"
            ) as response:
                status = response.status
                retry_after = response.headers.get("Retry-After", "")
                async for chunk in response.content.iter_any():
                    body += chunk
        except aiohttp.ClientConnectorError:
            raise
        except aiohttp.ClientError:
            body += b"!"
        duration_s = time.monotonic() - started_at
        return Outcome(request, status, retry_after, body, duration_s)

    async def send_until_closed(
        self, target: str, prefix: str, limit_ms: int, interval_s: float = 0.1
    ) -> list[Outcome]:
        """Sends requests until the instance accepts no more connections."""
        tasks: list[asyncio.Task[Outcome]] = []
        while self.process.returncode is None:
            request = f"{prefix}{len(tasks)}"
            tasks.append(
                asyncio.create_task(self.send(target, request, limit_ms))
            )
            await asyncio.sleep(interval_s)
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        return [o for o in ended if isinstance(o, Outcome)]

    def terminate(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace."""
        self.process.send_signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(GRACE_S, self._kill)

    def _kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()

    def executed(self) -> set[str]:
        """Returns the ids of all requests that engines have executed."""
        return {
            r.request
            for e in self.site.engines.values()
            for r in e.executed_requests
        }


@pytest.fixture
async def stop(tmp_path: pathlib.Path) -> AsyncIterator[Stop]:
    """An instance in a process, routes with long timeouts and three engines."""
    changed = path_site.configuration(1)
    for route in changed["routes"]:
        route["timeoutMs"] = LIMIT_MS
    async with (
        path_site.run_store() as (store, address),
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        ) as session,
    ):
        created = path_site.Site(store, address, session)
        await created.publish_configuration(**changed)
        for name in ("e1", "e2"):
            await created.add_engine(name, data_centre=f"dc-{name}")
        await created.add_engine("d1", card="")
        listen = {
            name: f"127.0.0.1:{site_module.free_port()}"
            for name in ("callers", "readiness", "peers", "directory")
        }
        file = tmp_path / "local.toml"
        file.write_text(
            SETTINGS.format(**listen, grace_s=GRACE_S, store=address)
        )
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "yuccatally", "node", str(file)),
            stdout=asyncio.subprocess.DEVNULL,
        )
        started = Stop(created, process, listen["callers"])
        try:
            await _wait_until_serving(started)
            yield started
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            await created.stop()


async def _wait_until_serving(started: Stop) -> None:
    async with asyncio.timeout(20.0):
        for target in ("/ask/x", "/book/x"):
            status = 0
            while status != 200:
                await asyncio.sleep(0.05)
                with contextlib.suppress(aiohttp.ClientConnectorError):
                    status = (await started.send(target, "first")).status


def _hang(site: path_site.Site) -> None:
    """Lets all engines work on requests without an end."""
    for engine in site.engines.values():
        engine.behaviour = path_engine.Behaviour(drops_answer=True)


async def test_late_request_that_may_run_once_only_is_refused(
    stop: Stop,
) -> None:
    """Guards against bookings that are passed on and cut without an answer.

    Their clients wait longer than the grace lasts.
    """
    _hang(stop.site)
    stop.terminate()
    await asyncio.sleep(0.1)
    late = await stop.send_until_closed("/book/x", "late", LIMIT_MS)
    assert len(late) > 20
    assert {(o.status, o.retry_after) for o in late} == {(503, "0")}
    assert not stop.executed() & {o.request for o in late}
    assert stop.process.returncode == 0


async def test_late_request_whose_limit_fits_is_served(stop: Stop) -> None:
    """Guards against refusals of requests that end before the process does."""
    stop.terminate()
    await asyncio.sleep(0.1)
    late = await stop.send_until_closed("/book/x", "late", 800)
    assert [o.status for o in late[:15]] == [200] * 15
    assert {o.status for o in late} <= {200, 503}
    assert stop.process.returncode == 0


@pytest.mark.parametrize("target", ["/book/x", "/stock/x", "/ask/x"])
async def test_request_without_an_answer_gets_one_at_the_end(
    stop: Stop, target: str
) -> None:
    """Guards against requests in flight that are cut without an answer.

    They were sent before the stop and may have run.
    """
    _hang(stop.site)
    task = asyncio.create_task(stop.send(target, "early"))
    await path_site.until(lambda: "early" in stop.executed())
    stop.terminate()
    outcome = await task
    assert outcome.status == 504
    assert outcome.retry_after == ""
    assert not outcome.body.endswith(b"!")
    assert await stop.process.wait() == 0
    await path_site.until(
        lambda: any("early" in e.cancelled for e in stop.site.engines.values())
    )


async def test_stream_that_has_begun_does_not_look_complete(
    stop: Stop,
) -> None:
    """Guards against a stream cut by a stop that clients take for whole."""
    for engine in stop.site.engines.values():
        engine.events = 10_000
    task = asyncio.create_task(stop.send("/ask/x", "begun"))
    await path_site.until(lambda: "begun" in stop.executed())
    await asyncio.sleep(0.1)
    stop.terminate()
    outcome = await task
    assert outcome.status == 200
    assert outcome.body.endswith(b"!")
    assert await stop.process.wait() == 0


async def test_incomplete_request_gets_an_answer_at_the_end(
    stop: Stop,
) -> None:
    """Guards against a slow body whose connection is closed without answer."""
    host, _, port = stop.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /book/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 9\r\n\r\nhalf"
        % path_site.HOST.encode()
    )
    await asyncio.sleep(0.1)
    stop.terminate()
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 0" in head.lower()
    assert await stop.process.wait() == 0
    writer.close()


async def test_silent_store_does_not_prolong_a_stop(stop: Stop) -> None:
    """Guards against requests that are accepted until the process is killed.

    The period in which requests are accepted began only after the store had
    answered or timed out.
    """
    stop.site.store.faults.silent = True
    stop.terminate()
    await asyncio.sleep(0.1)
    late = await stop.send_until_closed("/book/x", "late", 800)
    assert {o.status for o in late} <= {200, 503}
    assert stop.process.returncode == 0


async def test_second_signal_changes_nothing(stop: Stop) -> None:
    """Guards against a signal that prolongs or cuts short a stop."""
    _hang(stop.site)
    task = asyncio.create_task(stop.send("/book/x", "early"))
    await path_site.until(lambda: "early" in stop.executed())
    started_at = time.monotonic()
    stop.terminate()
    for _ in range(3):
        await asyncio.sleep(0.7)
        stop.process.send_signal(signal.SIGTERM)
    outcome = await task
    assert outcome.status == 504
    assert time.monotonic() - started_at > GRACE_S / 2
    assert await stop.process.wait() == 0
