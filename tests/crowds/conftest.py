"""Fixtures of an instance in its own process beside a small deployment."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import pytest

from yuccatally_standins import crowds
from yuccatally_standins import node_process
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    import pathlib

MACHINE = node_process.Machine()
ANSWER_TIMEOUT_S = 60.0
# An ordinary client tries this often, with this pause, after these statuses.
ATTEMPT_COUNT = 10
RETRY_DELAY_S = 1.0
REFUSALS = (408, 429, 503)


class Target:
    """An instance and the deployment that it serves.

    Attributes:
        process: Process of the instance.
        site: Store, engines and services.
        memory_before: Memory of the process before the crowd, in bytes.
    """

    def __init__(
        self, process: node_process.NodeProcess, site: path_site.Site
    ) -> None:
        self.process = process
        self.site = site
        self.memory_before = 0
        self.crowds: list[crowds.Crowd] = []

    async def crowd(self, listener: str, count: int) -> crowds.Crowd:
        """Opens connections to a listener."""
        opened = crowds.Crowd(self.process.ports[listener])
        self.crowds.append(opened)
        await opened.open(count)
        return opened

    async def book(self) -> int:
        """Sends an ordinary booking and returns the status of its answer.

        As all clients, this one tries again after a refusal or if the
        connection is closed.
        """
        status = 0
        for _ in range(ATTEMPT_COUNT):
            with contextlib.suppress(aiohttp.ClientError):
                status = await self._book_once()
                if status not in REFUSALS:
                    break
            await asyncio.sleep(RETRY_DELAY_S)
        return status

    async def _book_once(self) -> int:
        url = f"http://127.0.0.1:{self.process.ports['callers']}/book/x"
        headers = {
            "Host": path_site.HOST,
            "Api-Key": path_site.API_KEY,
            "Yuccatally-Attempt-Id": "ordinary",
            "Yuccatally-Deadline-Ms": "60000",
        }
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, headers=headers, data=b"prompt") as response,
        ):
            await response.read()
            return response.status

    async def until_executed(self, count: int) -> None:
        """Waits until the service has executed so many requests."""
        executed = self.site.engines["d1"].executed_requests
        await path_site.until(lambda: len(executed) >= count, ANSWER_TIMEOUT_S)

    async def until_descriptors(self, count: int) -> None:
        """Waits until the process has at most so many descriptors."""
        await path_site.until(
            lambda: self.process.descriptor_count() <= count, ANSWER_TIMEOUT_S
        )

    def growth_bytes(self) -> int:
        """Returns how far the memory rose at most since the crowd came."""
        return self.process.memory_bytes("VmHWM") - self.memory_before


@pytest.fixture
async def start_target(
    tmp_path: pathlib.Path,
) -> AsyncIterator[Callable[..., object]]:
    """Provides a function that starts an instance; it ends with the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(
            machine: node_process.Machine = MACHINE,
            body_bytes: int = 4096,
        ) -> Target:
            store, address = await stack.enter_async_context(
                path_site.run_store()
            )
            session = await stack.enter_async_context(aiohttp.ClientSession())
            site = path_site.Site(store, address, session)
            stack.push_async_callback(site.stop)
            limits = path_site.configuration(1)["limits"]
            limits["maxBodyBytes"] = body_bytes
            # Slow machines may need longer than the crowd's connections last.
            limits["headerTimeoutMs"] = limits["idleTimeoutMs"] = 60_000
            routes = path_site.configuration(1)["routes"]
            for route in routes:
                route["timeoutMs"] = 60_000
            await site.publish_configuration(1, limits=limits, routes=routes)
            await site.add_engine("d1", card="")
            process = node_process.NodeProcess.start(tmp_path, address, machine)
            stack.callback(process.stop)
            await process.wait_ready(session)
            target = Target(process, site)
            stack.callback(lambda: [c.close() for c in target.crowds])
            assert await target.book() == 200
            target.memory_before = process.memory_bytes()
            return target

        yield start
