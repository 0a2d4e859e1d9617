"""A plain service in a process of its own, whose answers may never begin.

Usage: interim_engine.py NAME SPOILED_COUNT SPOIL_AFTER

The first requests are answered. Of those after SPOIL_AFTER requests it spoils
SPOILED_COUNT: it sends interim responses without end until the caller closes.
Prints its address, then a line for each run and each end of such an answer.
"""

from __future__ import annotations

import asyncio
import sys

import engines
import http11

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n" * 300


class InterimEngine(engines.Engine):
    """A service that spoils some of its answers."""

    def __init__(self, name, spoiled_count, spoil_after):
        super().__init__(None, print_line, name, "collections-app")
        self.spoiled_left = spoiled_count
        self.spoil_after = spoil_after

    def publish(self, state="ready"):
        print(self.server.address, flush=True)

    async def _run(self, request, attempt):
        if len(self.runs) < self.spoil_after or not self.spoiled_left:
            return await super()._run(request, attempt)
        self.spoiled_left -= 1
        self.runs.append(request)
        print_line(f"run   {attempt} at {self.name}: no answer begins")
        sent = 0
        try:
            while True:
                request.writer.write(INTERIM)
                sent += len(INTERIM)
                await request.writer.drain()
        except ConnectionError:
            raise http11.BrokenError from None
        finally:
            print_line(f"close {attempt} at {self.name} after {sent} bytes")


def print_line(text):
    print(text, flush=True)


async def main():
    name, spoiled_count, spoil_after = sys.argv[1:]
    engine = InterimEngine(name, int(spoiled_count), int(spoil_after))
    await engine.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
