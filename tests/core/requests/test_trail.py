"""Audit trail of requests: bounds and copies."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from yuccatally.core.requests import trail
from yuccatally.instance import trails
from yuccatally.telemetry import metrics

NAMES = tuple(f"i{n}" for n in range(6))


class _Network:
    """Instances in one process; the failed ones do not answer."""

    def __init__(self) -> None:
        self.failed: set[str] = set()
        self.instances = {
            name: trails.TrailReplicator(trail.Trail(name), metrics.Metrics())
            for name in NAMES
        }
        for name, instance in self.instances.items():
            instance.peers = _Transport(self, name)


class _Transport:
    def __init__(self, network: _Network, name: str) -> None:
        self.network = network
        self.name = name

    def trail_peers(self) -> tuple[str, ...]:
        excluded = {self.name, *self.network.failed}
        return tuple(n for n in NAMES if n not in excluded)

    async def copy_trail(self, peer: str, message: trail.TrailCopy) -> None:
        frame = msgspec.msgpack.encode(message)
        assert len(frame) <= 64 * 1024
        if peer in self.network.failed:
            raise ConnectionError(peer)
        decoded = msgspec.msgpack.decode(frame, type=trail.TrailCopy)
        self.network.instances[peer].trail.record_copy(decoded)

    async def query_trail(
        self, peer: str, message: trail.TrailQuery
    ) -> trail.TrailReply:
        if peer in self.network.failed:
            raise ConnectionError(peer)
        return self.network.instances[peer].trail.answer_query(message)


@pytest.mark.parametrize("joined_late", [False, True])
async def test_request_of_a_dead_instance_is_explained_anywhere(
    joined_late: bool,
) -> None:
    """Guards against a trail that is lost with the accepting instance."""
    network = _Network()
    if joined_late:
        network.failed = {"i5"}
    origin = network.instances["i2"].trail
    requests = [f"i2-abcd0123-{n:x}" for n in range(200)]
    for number, request in enumerate(requests):
        origin.add(request, trail.Step.ACCEPTED, 1.0 + number)
        origin.add(request, trail.Step.SENT, 2.0 + number, "address=a")
    await network.instances["i2"].copy_pending()
    network.failed = {"i2"}
    for request in requests:
        for queried in ("i0", "i4"):
            explanation = await network.instances[queried].explain(request)
            steps = [r.step for r in explanation["records"]]
            assert steps == [trail.Step.ACCEPTED, trail.Step.SENT]
            assert not explanation["ended"]
    holders = [n for n in NAMES if network.instances[n].trail.copies.requests]
    assert len(holders) >= 4


async def test_failed_copy_is_sent_again_in_order() -> None:
    """Guards against records that are lost with one failed exchange."""
    network = _Network()
    request = "i0-abcd0123-1"
    instance = network.instances["i0"]
    holder = trail.rank(request, NAMES[1:])[0]
    instance.trail.add(request, trail.Step.ACCEPTED, 1.0)
    batch = instance.trail.pop_batches(instance.peers.trail_peers())[0]
    assert batch.peer == holder
    network.failed = {holder}
    instance.trail.add(request, trail.Step.OUTCOME, 2.0)
    await instance._copy(batch)
    network.failed = set()
    await instance.copy_pending()
    kept = network.instances[holder].trail.copies.get(request)
    steps = [r.step for r in kept]
    assert steps == [trail.Step.ACCEPTED, trail.Step.OUTCOME]


def test_memory_is_bounded_without_peers() -> None:
    """Guards against unbounded growth while there are no peers."""
    bounded = trail.Trail("i0", 20_000, 10_000, 5_000)
    for number in range(2000):
        request = f"i0-abcd0123-{number:x}"
        for _ in range(3):
            bounded.add(request, trail.Step.NOTE, 1.0, "x" * 1000)
    entry = bounded.local.get("i0-abcd0123-7cf")
    bounded.record_copy(trail.TrailCopy("i1", (trail.Entry("r", entry),) * 500))
    for buffer in (bounded.local, bounded.copies, bounded.pending):
        actual = len(msgspec.msgpack.encode(dict(buffer.requests)))
        assert actual <= buffer.limit_bytes
        total = sum(
            trail.Entry(r, tuple(records)).size_bytes
            for r, records in buffer.requests.items()
        )
        assert buffer.size_bytes == total <= buffer.limit_bytes
    assert len(entry) == 3
    buffer = trail.RecordBuffer(1_000_000)
    for _ in range(300):
        buffer.add("r", (trail.Record(trail.Step.NOTE, 1.0),))
    buffer.add("r", (trail.Record(trail.Step.OUTCOME, 2.0),))
    assert len(buffer.get("r")) == trail.MAX_RECORDS_PER_REQUEST_COUNT
    assert buffer.get("r")[-1].step is trail.Step.OUTCOME


async def test_silent_peer_does_not_hold_up_an_explanation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an endpoint that blocks on one unresponsive peer."""
    monkeypatch.setattr(trails, "EXCHANGE_TIMEOUT_S", 0.05)
    network = _Network()

    async def silent(peer: str, message: trail.TrailQuery) -> None:
        await asyncio.sleep(3600)

    instance = network.instances["i0"]
    instance.trail.add("i0-abcd0123-1", trail.Step.ACCEPTED, 1.0)
    monkeypatch.setattr(instance.peers, "query_trail", silent)
    explanation = await asyncio.wait_for(instance.explain("i0-abcd0123-1"), 20)
    assert explanation["found"]
    assert len(explanation["silent"]) == trail.QUERIED_PEER_COUNT
