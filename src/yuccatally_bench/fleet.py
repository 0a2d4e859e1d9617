"""Measures propagation of changes and control cost by fleet size."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import os
import pathlib
import re
import tempfile
import time
from typing import TYPE_CHECKING

import click

from yuccatally.core.config import documents
from yuccatally.core.config import propagation
from yuccatally.peers import transport
from yuccatally_bench import report
from yuccatally_standins import simulated_network
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

SETTLE_S = 3.0
IDLE_S = 10.0
CHANGE_COUNT = 8
CHANGE_GAP_S = 0.3
CONVERGENCE_TIMEOUT_S = 30.0
PARTITION_S = 20.0
HEAL_POLL_S = 0.1
HEAL_MEASUREMENT_S = 10.0
HEALED_RATIOS = (0.99, 1.0)
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
# TCP, IP and SP headers of a message with its acknowledgement, and the
# segments that open and close a connection.
MESSAGE_OVERHEAD_BYTES = simulated_network.OVERHEAD_BYTES
CONNECTION_OVERHEAD_BYTES = 500
APPLIED_EVENT = re.compile(
    r"timestamp=(\S+) .*event=configuration_applied.* revision=(\d+)"
)


@dataclasses.dataclass(frozen=True)
class Usage:
    """Cumulative resource use of one instance at one time."""

    measured_at: float
    platform_calls: int
    traffic_bytes: int
    cpu_s: float
    memory_mb: float


@click.command()
@click.option(
    "--processes",
    multiple=True,
    type=int,
    default=(8, 16, 32),
    help="Fleet sizes with real processes; 0 for none.",
)
@click.option(
    "--core",
    multiple=True,
    type=int,
    default=(8, 32, 64, 128, 340),
    help="Fleet sizes simulated in one process; 0 for none.",
)
@click.option("--html", type=click.Path(path_type=pathlib.Path))
def command(
    processes: tuple[int, ...],
    core: tuple[int, ...],
    html: pathlib.Path | None,
) -> None:
    """Measures propagation time of changes and cost per instance."""
    tables = []
    if any(processes):
        rows = [_measure_processes(count) for count in processes]
        title = f"\nreal processes, commit {report.commit()}"
        tables += _tables(title, rows)
    if any(core):
        rows = [_measure_core(count) for count in core]
        title = f"\ncore in one process, commit {report.commit()}"
        tables += _tables(title, rows)
    if html is not None:
        report.write_html(html, "Fleet", tables)


def _tables(title: str, rows: list[report.Row]) -> list[str]:
    text = report.table(title, rows)
    click.echo(text)
    return [text]


def _measure_processes(count: int) -> report.Row:
    plan = site.SiteSpec(instances=count, engines=(), pipelines={})
    with tempfile.TemporaryDirectory() as folder:
        deployment = site.Site(plan, pathlib.Path(folder))
        try:
            deployment.start()
            _wait_until(lambda: _members(deployment) == {count})
            time.sleep(SETTLE_S)
            before = _usages(deployment)
            time.sleep(IDLE_S)
            after = _usages(deployment)
            by_platform = _propagation_by_platform(deployment)
            deployment.set_faults("platform", down=True)
            by_peers = _propagation_by_peers(deployment)
        finally:
            deployment.stop()
    figures = {
        "in force s": by_platform,
        "worst s": (max(by_platform),),
        "peers only s": by_peers,
        "worst peers s": (max(by_peers),),
        **_rates(before, after),
    }
    return report.Row(f"{count} instances", figures)


def _rates(
    before: list[Usage], after: list[Usage]
) -> dict[str, tuple[float, ...]]:
    pairs = list(zip(before, after, strict=True))
    return {
        "calls/s": tuple(
            (b.platform_calls - a.platform_calls)
            / (b.measured_at - a.measured_at)
            for a, b in pairs
        ),
        "KB/s": tuple(
            (b.traffic_bytes - a.traffic_bytes)
            / (b.measured_at - a.measured_at)
            / 1e3
            for a, b in pairs
        ),
        "% core": tuple(
            100 * (b.cpu_s - a.cpu_s) / (b.measured_at - a.measured_at)
            for a, b in pairs
        ),
        "MB": tuple(b.memory_mb for b in after),
    }


def _members(deployment: site.Site) -> set[int]:
    return {
        deployment.status(p)["fleet"]["members"]
        for p in deployment.of_role("instance")
    }


def _usages(deployment: site.Site) -> list[Usage]:
    return [_usage(deployment, p) for p in deployment.of_role("instance")]


def _usage(deployment: site.Site, process: site.Process) -> Usage:
    status = deployment.status(process)["fleet"]
    traffic = status["traffic"]
    messages = 2 * (traffic["exchanges"] + traffic["served"])
    total = traffic["sent_bytes"] + traffic["received_bytes"]
    total += messages * MESSAGE_OVERHEAD_BYTES
    total += 2 * traffic["opened"] * CONNECTION_OVERHEAD_BYTES
    folder = pathlib.Path(f"/proc/{process.popen.pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    memory = re.search(r"VmRSS:\s+(\d+)", (folder / "status").read_text())
    return Usage(
        time.monotonic(),
        status["platform_calls"],
        total,
        cpu_s,
        int(memory[1]) / 1024 if memory else 0.0,
    )


def _propagation_by_platform(deployment: site.Site) -> tuple[float, ...]:
    accepted: dict[int, float] = {}
    for number in range(CHANGE_COUNT):
        spec = {"layers": number + 1, "version": "v1"}
        revision = deployment.declare("model", "measured", spec)["revision"]
        accepted[revision] = time.time()
        time.sleep(CHANGE_GAP_S)
    _wait_until(lambda: _in_force(deployment) == {max(accepted)})
    return tuple(
        _last_applied(deployment, revision) - at
        for revision, at in accepted.items()
    )


def _propagation_by_peers(deployment: site.Site) -> tuple[float, ...]:
    """Pushes changes to one instance as a peer and times their propagation."""
    first = max(_in_force(deployment)) + 1
    address = deployment.of_role("instance")[0].addresses["peers"]

    async def push_changes() -> dict[int, float]:
        accepted = {}
        peer = transport.PeerTransport("127.0.0.1:1")
        for revision in range(first, first + CHANGE_COUNT):
            document = documents.Document(
                "model",
                "measured",
                revision,
                spec={"layers": revision, "version": "v1"},
            )
            push = propagation.ConfigPush(
                "bench", "127.0.0.1:1", revision - 1, revision, (document,)
            )
            accepted[revision] = time.time()
            await peer.exchange(address, push, CONVERGENCE_TIMEOUT_S)
            await asyncio.sleep(CHANGE_GAP_S)
        await peer.close()
        return accepted

    accepted = asyncio.run(push_changes())
    _wait_until(lambda: _in_force(deployment) == {max(accepted)})
    return tuple(
        _last_applied(deployment, revision) - at
        for revision, at in accepted.items()
    )


def _in_force(deployment: site.Site) -> set[int]:
    return {
        deployment.status(p)["revision"] for p in deployment.of_role("instance")
    }


def _last_applied(deployment: site.Site, revision: int) -> float:
    """Returns when the last instance applied a revision or a later one."""
    return max(
        min(
            at
            for applied, at in _applied_revisions(deployment, p)
            if applied >= revision
        )
        for p in deployment.of_role("instance")
    )


def _applied_revisions(
    deployment: site.Site, process: site.Process
) -> Iterable[tuple[int, float]]:
    log = (deployment.folder / f"{process.name}.log").read_text()
    for match in APPLIED_EVENT.finditer(log):
        written = datetime.datetime.fromisoformat(match[1])
        yield int(match[2]), written.timestamp()


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + CONVERGENCE_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("the instances did not converge in time")
        time.sleep(0.1)


def _measure_core(count: int) -> report.Row:
    names = [f"i{n}" for n in range(count)]
    simulation = simulated_network.SimulatedNetwork(
        names, seed=count, data_centres=min(23, count // 3)
    )
    instances = list(simulation.instances.values())
    simulation.run(SETTLE_S)
    while any(n.agent.membership.table.queue for n in instances):
        # Updates from the simultaneous start are not part of the steady state.
        simulation.run(SETTLE_S)
    start_rate = _mean_rate(simulation, instances)
    bytes_before = [n.sent_bytes + n.received_bytes for n in instances]
    cpu_s = time.process_time()
    simulation.run(IDLE_S)
    cpu_s = time.process_time() - cpu_s
    rates = tuple(
        (n.sent_bytes + n.received_bytes - before) / IDLE_S / 1e3
        for n, before in zip(instances, bytes_before, strict=True)
    )
    by_platform = tuple(
        _simulate_change(simulation) for _ in range(CHANGE_COUNT)
    )
    simulation.platform_reachable = False
    by_peers = tuple(
        _simulate_change(simulation, recipient=n)
        for n in instances[:CHANGE_COUNT]
    )
    simulation.platform_reachable = True
    leaving = tuple(
        _simulate_leave(simulation, names[-1 - i]) for i in range(3)
    )
    healed, heal_rates = _simulate_partition(simulation)
    return report.Row(
        f"{count} instances",
        {
            "in force s": by_platform,
            "worst s": (max(by_platform),),
            "peers only s": by_peers,
            "worst peers s": (max(by_peers),),
            "leaving s": leaving,
            "99% healed s": (healed[0],),
            "healed s": (healed[1],),
            "start KB/s": (start_rate,),
            "KB/s": rates,
            "worst KB/s": (max(rates),),
            "heal KB/s": (max(heal_rates),),
            "% core": (100 * cpu_s / IDLE_S / count,),
        },
    )


def _mean_rate(
    simulation: simulated_network.SimulatedNetwork,
    instances: list[simulated_network.SimulatedInstance],
) -> float:
    total = sum(n.sent_bytes + n.received_bytes for n in instances)
    return (
        total
        / len(instances)
        / (simulation.now - simulated_network.START_S)
        / 1e3
    )


def _simulate_change(
    simulation: simulated_network.SimulatedNetwork,
    recipient: simulated_network.SimulatedInstance | None = None,
) -> float:
    revision = simulation.publish_change("measured")
    if recipient is not None:
        simulation.apply_changes(recipient)
    return _run_until(
        simulation,
        lambda: all(
            n.config.revision >= revision for n in simulation.instances.values()
        ),
        0.005,
    )


def _simulate_leave(
    simulation: simulated_network.SimulatedNetwork, name: str
) -> float:
    simulation.leave(name)
    return _run_until(
        simulation,
        lambda: all(
            n.agent.membership.table.records[name].update.leaving
            for n in simulation.instances.values()
        ),
        0.005,
    )


def _simulate_partition(
    simulation: simulated_network.SimulatedNetwork,
) -> tuple[list[float], tuple[float, ...]]:
    """Partitions the fleet into two halves and measures how it heals.

    Returns:
        Seconds until each ratio of all member entries is correct, and the
        KB/s of each instance after the partition ends.
    """
    names = list(simulation.instances)
    first_half = set(names[: len(names) // 2])
    for member in first_half:
        for other in set(names) - first_half:
            simulation.blocked_links |= {(member, other), (other, member)}
    simulation.run(PARTITION_S)
    simulation.blocked_links = set()
    healed: list[float] = []
    instances = list(simulation.instances.values())
    bytes_before = [n.sent_bytes + n.received_bytes for n in instances]
    start = simulation.now
    for ratio in HEALED_RATIOS:
        max_wrong_count = (1 - ratio) * len(instances) * len(instances)
        _run_until(
            simulation,
            lambda max_wrong_count=max_wrong_count: (
                _failed_entry_count(instances) <= max_wrong_count
            ),
            HEAL_POLL_S,
        )
        healed.append(simulation.now - start)
    simulation.run(max(0.0, HEAL_MEASUREMENT_S - healed[-1]))
    span_s = simulation.now - start
    return healed, tuple(
        (n.sent_bytes + n.received_bytes - before) / span_s / 1e3
        for n, before in zip(instances, bytes_before, strict=True)
    )


def _failed_entry_count(
    instances: list[simulated_network.SimulatedInstance],
) -> int:
    return sum(len(n.agent.membership.table.failed) for n in instances)


def _run_until(
    simulation: simulated_network.SimulatedNetwork,
    condition: Callable[[], bool],
    step_s: float,
) -> float:
    start = simulation.now
    while not condition():
        if simulation.now - start > CONVERGENCE_TIMEOUT_S:
            raise TimeoutError("the instances did not converge in time")
        simulation.run(step_s)
    return simulation.now - start
