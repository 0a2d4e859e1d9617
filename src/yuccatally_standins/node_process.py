"""An instance on the platform's formats in a process of its own."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import resource
import subprocess
import sys

import aiohttp

from yuccatally_standins import site as site_module

READY_TIMEOUT_S = 60.0

_SETTINGS = """\
nodeName = "n1"
zone = "north"
region = "r"
ip = "127.0.0.1"
internalPorts = [{metrics}, {metrics}]
seeds = []
[zones]
north = "r"
[listen]
frontend = "127.0.0.1:{callers}"
ready = "127.0.0.1:{readiness}"
controlPlane = "127.0.0.1:{peers}"
directoryService = "127.0.0.1:{directory}"
[limits]
memoryMb = {memory_mb}
maxFds = {descriptor_count}
[bounds]
graceS = 3.0
fencingEnforced = true
[platform]
address = "{store}"
"""


@dataclasses.dataclass(frozen=True)
class Machine:
    """Limits of the machine of an instance.

    Attributes:
        memory_mb: Memory that the settings name, in MB.
        descriptor_count: Descriptors that the settings name, and the limit of
            the operating system for the process.
    """

    memory_mb: int = 300
    descriptor_count: int = 4100


class ObservedProcess:
    """Memory and descriptors of a process.

    Attributes:
        popen: The process.
    """

    def __init__(self, popen: subprocess.Popen[bytes]) -> None:
        self.popen = popen

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def memory_bytes(self, field: str = "VmRSS") -> int:
        """Returns a field of the memory status; ``VmHWM`` is the peak."""
        status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) * 1024
        raise ValueError(f"no field {field}")

    def descriptor_count(self) -> int:
        """Returns the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.popen.pid}/fd"))


class NodeProcess(ObservedProcess):
    """An instance on the platform's formats.

    Attributes:
        ports: Port by listener.
    """

    def __init__(
        self, popen: subprocess.Popen[bytes], ports: dict[str, int]
    ) -> None:
        super().__init__(popen)
        self.ports = ports

    @classmethod
    def start(
        cls, folder: pathlib.Path, store_address: str, machine: Machine
    ) -> NodeProcess:
        """Starts the process.

        Args:
            folder: Folder for settings and log.
            store_address: Address of the platform's store.
            machine: Limits of the machine.
        """
        ports = {
            name: site_module.free_port()
            for name in (
                "callers",
                "readiness",
                "peers",
                "directory",
                "metrics",
            )
        }
        file = folder / "node.toml"
        file.write_text(
            _SETTINGS.format(
                **ports, **dataclasses.asdict(machine), store=store_address
            )
        )
        limit = machine.descriptor_count
        with (folder / "node.log").open("wb") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", "yuccatally", "node", str(file)],
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (limit, limit)
                ),
            )
        return cls(popen, ports)

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Waits until the instance reports that it is ready.

        Raises:
            TimeoutError: It has not done so in time.
        """
        url = f"http://127.0.0.1:{self.ports['readiness']}/readyz"
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _is_ok(session, url):  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    def stop(self) -> None:
        """Ends the process."""
        self.popen.kill()
        self.popen.wait()


async def _is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
