"""Demo of instances on the users' platform."""

from __future__ import annotations

import asyncio
import sys


async def test_demo_shows_the_path_of_a_request() -> None:
    """Guards against a demo that fails."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "yuccatally_standins.path_demo",
        stdout=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(60.0):
        output, _ = await process.communicate()
    lines = output.decode().splitlines()
    assert process.returncode == 0, lines
    assert len(lines) == 5
    assert all(line.startswith("ok ") for line in lines), lines
