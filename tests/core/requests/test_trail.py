"""The trail of requests, its bounds and its copies."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from yuccatally.core.requests import trail
from yuccatally.instance import trails
from yuccatally.telemetry import metrics

NAMES = tuple(f"i{n}" for n in range(6))


class _Fleet:
    """Instances in one process; the dead ones do not answer."""

    def __init__(self) -> None:
        self.dead: set[str] = set()
        self.nodes = {
            name: trails.Trails(trail.Trail(name), metrics.Metrics())
            for name in NAMES
        }
        for name, node in self.nodes.items():
            node.peers = _Transport(self, name)


class _Transport:
    def __init__(self, fleet: _Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name

    def trail_peers(self) -> tuple[str, ...]:
        gone = {self.name, *self.fleet.dead}
        return tuple(n for n in NAMES if n not in gone)

    async def copy_trail(self, peer: str, message: trail.TrailCopy) -> None:
        frame = msgspec.msgpack.encode(message)
        assert len(frame) <= 64 * 1024
        if peer in self.fleet.dead:
            raise ConnectionError(peer)
        decoded = msgspec.msgpack.decode(frame, type=trail.TrailCopy)
        self.fleet.nodes[peer].trail.record_copy(decoded)

    async def query_trail(
        self, peer: str, message: trail.TrailQuery
    ) -> trail.TrailReply:
        if peer in self.fleet.dead:
            raise ConnectionError(peer)
        return self.fleet.nodes[peer].trail.answer_query(message)


@pytest.mark.parametrize("joined_late", [False, True])
async def test_request_of_a_dead_instance_is_explained_anywhere(
    joined_late: bool,
) -> None:
    """Guards against a trail that dies with the instance that took it."""
    fleet = _Fleet()
    if joined_late:
        fleet.dead = {"i5"}
    taken = fleet.nodes["i2"].trail
    requests = [f"i2-abcd0123-{n:x}" for n in range(200)]
    for number, request in enumerate(requests):
        taken.add(request, trail.Step.ACCEPTED, 1.0 + number)
        taken.add(request, trail.Step.SENT, 2.0 + number, "address=a")
    await fleet.nodes["i2"].copy_now()
    fleet.dead = {"i2"}
    for request in requests:
        for asked in ("i0", "i4"):
            found = await fleet.nodes[asked].explain(request)
            steps = [r.step for r in found["records"]]
            assert steps == [trail.Step.ACCEPTED, trail.Step.SENT]
            assert not found["ended"]
    holders = [n for n in NAMES if fleet.nodes[n].trail.copies.requests]
    assert len(holders) >= 4


async def test_failed_copy_is_sent_again_in_order() -> None:
    """Guards against records that are lost with one failed exchange."""
    fleet = _Fleet()
    request = "i0-abcd0123-1"
    node = fleet.nodes["i0"]
    holder = trail.rank(request, NAMES[1:])[0]
    node.trail.add(request, trail.Step.ACCEPTED, 1.0)
    batch = node.trail.pop_batches(node.peers.trail_peers())[0]
    assert batch.peer == holder
    fleet.dead = {holder}
    node.trail.add(request, trail.Step.OUTCOME, 2.0)
    await node._copy(batch)
    fleet.dead = set()
    await node.copy_now()
    kept = fleet.nodes[holder].trail.copies.get(request)
    steps = [r.step for r in kept]
    assert steps == [trail.Step.ACCEPTED, trail.Step.OUTCOME]


def test_memory_is_bounded_without_peers() -> None:
    """Guards against growth while there is nobody to copy to."""
    kept = trail.Trail("i0", 20_000, 10_000, 5_000)
    for number in range(2000):
        request = f"i0-abcd0123-{number:x}"
        for _ in range(3):
            kept.add(request, trail.Step.NOTE, 1.0, "x" * 1000)
    entry = kept.own.get("i0-abcd0123-7cf")
    kept.record_copy(trail.TrailCopy("i1", (trail.Entry("r", entry),) * 500))
    for ring in (kept.own, kept.copies, kept.pending):
        actual = len(msgspec.msgpack.encode(dict(ring.requests)))
        assert actual <= ring.limit_bytes
        total = sum(
            trail.Entry(r, tuple(records)).length
            for r, records in ring.requests.items()
        )
        assert ring.length == total <= ring.limit_bytes
    assert len(entry) == 3
    many = trail.RecordBuffer(1_000_000)
    for _ in range(300):
        many.add("r", (trail.Record(trail.Step.NOTE, 1.0),))
    many.add("r", (trail.Record(trail.Step.OUTCOME, 2.0),))
    assert len(many.get("r")) == trail.RECORDS_PER_REQUEST
    assert many.get("r")[-1].step is trail.Step.OUTCOME


async def test_silent_peer_does_not_hold_up_an_explanation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an endpoint that hangs with one silent peer."""
    monkeypatch.setattr(trails, "EXCHANGE_TIMEOUT_S", 0.05)
    fleet = _Fleet()

    async def silent(peer: str, message: trail.TrailQuery) -> None:
        await asyncio.sleep(3600)

    node = fleet.nodes["i0"]
    node.trail.add("i0-abcd0123-1", trail.Step.ACCEPTED, 1.0)
    monkeypatch.setattr(node.peers, "query_trail", silent)
    found = await asyncio.wait_for(node.explain("i0-abcd0123-1"), 20)
    assert found["found"]
    assert len(found["silent"]) == trail.QUERIED_PEERS
