"""Demonstrates instances with the platform's formats in one process."""

from __future__ import annotations

import asyncio
import io
import sys
from typing import TYPE_CHECKING

import aiohttp
import click
import structlog

from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Enough events for an engine to fail in the middle of a stream.
EVENT_COUNT = 120
STREAM_BODY = b"".join(
    b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, EVENT_COUNT + 1)
)


def main() -> None:
    """Starts a site, sends requests and checks the responses."""
    # Log lines of the instances would hide the results.
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(_NullWriter())
    )
    sys.exit(0 if asyncio.run(_run()) else 1)


async def _run() -> bool:
    async with (
        path_site.run_store() as (store, address),
        aiohttp.ClientSession() as session,
    ):
        site = path_site.Site(store, address, session)
        try:
            await _start(site)
            passed = [_report(*check) async for check in _run_checks(site)]
        finally:
            await site.stop()
    return all(passed)


async def _start(site: path_site.Site) -> None:
    await site.publish_configuration(1)
    for name in ("e1", "e2"):
        await site.add_engine(
            name, data_centre=f"dc-{name}", events=EVENT_COUNT
        )
    await site.add_engine("d1", card="")
    for name in ("n1", "n2"):
        started = await site.start_instance(name)
        service = started.state.rules.services["model"]
        await path_site.until(
            lambda i=started, s=service: len(i.state.paths(s)) == 2
        )


async def _run_checks(
    site: path_site.Site,
) -> AsyncIterator[tuple[str, bool, str]]:
    status, _, body = await site.send_request("/ask/x", "whole")
    yield "stream over a pipeline", body == STREAM_BODY, f"status={status}"
    status, _, body = await site.send_request("/book/x", "booking")
    yield "booking at a service", body == b"done booking", f"status={status}"
    task = asyncio.create_task(site.send_request("/ask/x", "moved"))
    engines = [site.engines[n] for n in ("e1", "e2")]
    await path_site.until(lambda: any(e.paths for e in engines))
    serving = next(e for e in engines if e.paths)
    await serving.stop()
    status, _, body = await task
    runs = sum(
        r.request == "moved" for e in engines for r in e.executed_requests
    )
    passed = body == STREAM_BODY and runs == 2
    yield "stream whose engine is lost", passed, f"status={status} runs={runs}"
    site.store.faults.status = 503
    status, _, body = await site.send_request(
        "/ask/x", "away", at=site.instances[1]
    )
    yield "stream without the store", body == STREAM_BODY, f"status={status}"
    status, _, _ = await site.send_request("/none/x", "none")
    yield "unknown route", status in (404, 503), f"status={status}"


def _report(name: str, passed: bool, detail: str) -> bool:
    click.echo(f"{'ok' if passed else 'FAILED':6} platform: {name}: {detail}")
    return passed


class _NullWriter(io.TextIOBase):
    """Discards all text."""

    def write(self, text: str) -> int:
        """Returns the length of the text."""
        return len(text)


if __name__ == "__main__":
    main()
