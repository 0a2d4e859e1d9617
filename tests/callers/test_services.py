"""Service calls under faults: what callers are told against what ran."""

from __future__ import annotations

import concurrent.futures
import contextlib
import dataclasses
import json
import signal
import socket
import time
from typing import TYPE_CHECKING
from typing import Any
import uuid

import pytest

from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

PLAN = site.Plan(instances=3, engines=(), pipelines={})
TIMEOUT_S = 2.0
WAIT_S = 20.0


@pytest.fixture(scope="module")
def desk(tmp_path_factory: pytest.TempPathFactory) -> Iterator[site.Site]:
    """A site without engines, with a short deadline for bookings."""
    started = site.Site(PLAN, tmp_path_factory.mktemp("desk"))
    try:
        started.start()
        for name, methods, prefix, idempotent in (
            ("book", ["POST", "PUT"], "/reservations", False),
            ("mirror", ["GET", "HEAD", "POST"], "/mirror", True),
        ):
            spec = {
                "service": "reservations",
                "methods": methods,
                "path_prefix": prefix,
                "idempotent": idempotent,
                "timeout_s": TIMEOUT_S,
            }
            revision = started.declare("routing_rule", name, spec)["revision"]
        for process in started.of_role("instance"):
            wait_for_revision(started, process, revision)
        yield started
    finally:
        started.stop()


@pytest.fixture(autouse=True)
def no_faults(desk: site.Site) -> Iterator[None]:
    yield
    desk.set_faults(
        "platform",
        down=False,
        delay_s=0.0,
        claim_delay_s=0.0,
        lose_replies=0,
        drop_writes=0,
    )
    desk.set_faults(
        "reservations",
        delay_s=0.0,
        delay_after_s=0.0,
        drop_after=0,
        drop_before=0,
        silent=0,
    )


def wait_until(condition: Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(what)


def wait_for_revision(
    desk: site.Site, process: site.Process, revision: int
) -> None:
    wait_until(
        lambda: desk.status(process)["revision"] >= revision,
        f"{process.name} did not reach revision {revision}",
    )


def declare_service(
    desk: site.Site, addresses: list[str], processes: Iterable[site.Process]
) -> None:
    spec = {"addresses": addresses, "data_centre": "north"}
    changed = desk.declare("service", "reservations", spec)
    for process in processes:
        wait_for_revision(desk, process, changed["revision"])


def add_instance(desk: site.Site) -> site.Process:
    """Starts an instance that a test may stop or kill."""
    process = desk.start_instance(f"x{len(desk.processes)}")
    desk.await_ready(process)
    wanted = desk.status(desk.processes["i1"])["revision"]
    wait_for_revision(desk, process, wanted)
    return process


def new_key() -> str:
    number = int(time.time() * 1000) << 80 | 7 << 76 | 2 << 62
    return str(uuid.UUID(int=number | uuid.uuid4().int >> 66))


def book(
    process: site.Process, key: str, method: str = "POST", lot: str = "lot"
) -> site.Response:
    return site.fetch(
        method,
        f"{process.url}/services/reservations/reservations",
        {"lot": lot},
        site.ACCOUNT_KEY,
        {"Idempotency-Key": key},
    )


def executions(desk: site.Site, key: str) -> int:
    url = f"{desk.processes['reservations'].url}/reservations"
    return sum(r["key"] == key for r in site.fetch("GET", url).json())


def assert_balanced(desk: site.Site, process: site.Process) -> None:
    def settled() -> bool:
        status = desk.status(process)
        assert status["balanced"]
        return not status["requests"]["in_flight"]

    wait_until(settled, f"{process.name} has requests in flight")


@dataclasses.dataclass(frozen=True)
class Case:
    """Faults, and what two requests with one key must see."""

    name: str
    first: str
    second: str
    runs: int
    platform: dict[str, Any] = dataclasses.field(default_factory=dict)
    service: dict[str, Any] = dataclasses.field(default_factory=dict)
    method: str = "POST"


CASES = (
    Case("no fault", "answered", "answered", 1),
    Case(
        "service ran and dropped",
        "unknown",
        "unknown",
        1,
        {},
        {"drop_after": 1},
    ),
    Case("service dropped", "unknown", "unknown", 0, {}, {"drop_before": 1}),
    Case("service silent", "unknown", "unknown", 1, {}, {"silent": 1}),
    # aiohttp sends PUT again by itself when a connection drops.
    Case("put dropped", "unknown", "unknown", 1, {}, {"drop_after": 1}, "PUT"),
    Case("lost claim reply", "answered", "answered", 1, {"lose_replies": 1}),
    Case("lost claim write", "answered", "answered", 1, {"drop_writes": 1}),
    Case("three lost replies", "answered", "answered", 1, {"lose_replies": 3}),
    Case("platform slow", "answered", "answered", 1, {"claim_delay_s": 0.3}),
    Case("platform down", "not-run", "not-run", 0, {"down": True}),
    Case(
        "lost reply, service ran and dropped",
        "unknown",
        "unknown",
        1,
        {"lose_replies": 2},
        {"drop_after": 1},
    ),
    Case(
        "lost write, service silent",
        "unknown",
        "unknown",
        1,
        {"drop_writes": 2},
        {"silent": 1},
    ),
)


@pytest.mark.parametrize("case", CASES, ids=lambda c: c.name)
def test_callers_are_told_what_happened(desk: site.Site, case: Case) -> None:
    """Guards against a second run and against an untrue outcome."""
    key = new_key()
    one, two, three = desk.of_role("instance")[:3]
    desk.set_faults("platform", **case.platform)
    desk.set_faults("reservations", **case.service)
    first = book(one, key, case.method)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        again = pool.map(lambda p: book(p, key, case.method), (two, three))
        second, third = again
    assert (first.outcome, second.outcome) == (case.first, case.second)
    assert executions(desk, key) == case.runs
    desk.set_faults("platform", down=False)
    if case.first == "not-run":
        assert book(two, key, case.method).outcome == "answered"
        assert executions(desk, key) == 1
    if case.first == case.second == "answered":
        assert first.body == second.body == third.body
        assert second.headers["idempotent-replayed"] == "true"
    assert_balanced(desk, one)


def test_operators_can_explain_a_booking(desk: site.Site) -> None:
    """Guards against a hop that leaves no record."""
    one = desk.processes["i1"]
    answer = book(one, new_key())
    request = answer.headers["yuccatally-outcome"].partition("request=")[2]
    url = f"http://{one.extra['operators']}/operator/requests/{request}"
    explained = site.fetch("GET", url, key=site.OPERATORS_KEY).json()
    steps = [step for step, _, _ in explained["records"]]
    assert steps == [
        "accepted",
        "claim",
        "claimed",
        "sent",
        "result",
        "outcome",
    ]
    details = " ".join(detail for _, _, detail in explained["records"])
    assert desk.processes["reservations"].address in details
    assert "verdict=Won" in details
    assert "outcome=answered" in details


def test_same_key_at_once_runs_once(desk: site.Site) -> None:
    """Guards against two instances that both win a claim."""
    key = new_key()
    desk.set_faults("reservations", delay_s=0.2)
    everyone = desk.of_role("instance")[:3] * 2
    with concurrent.futures.ThreadPoolExecutor(len(everyone)) as pool:
        answers = list(pool.map(lambda p: book(p, key), everyone))
    assert [a.outcome for a in answers] == ["answered"] * len(everyone)
    assert len({a.body for a in answers}) == 1
    assert executions(desk, key) == 1


def test_key_for_a_different_call_is_refused(desk: site.Site) -> None:
    """Guards against an answer to another call than the caller's."""
    key = new_key()
    one, two = desk.of_role("instance")[:2]
    assert book(one, key).outcome == "answered"
    other = book(two, key, lot="other")
    assert (other.status, other.outcome) == (409, "not-run")
    old = str(uuid.UUID(int=1_500_000_000_000 << 80 | 7 << 76 | 2 << 62))
    expired = book(one, old)
    assert expired.json()["error"]["code"] == "key-expired"
    assert expired.outcome == "not-run"
    assert executions(desk, old) == 0


@pytest.mark.parametrize(
    ("claim_delay_s", "kill_after_s", "service_delay_s", "second", "runs"),
    [
        # Each call to the platform takes 0.5 s: one read, then the write.
        (0.5, 0.25, 0.0, "answered", 1),
        (0.5, 0.75, 0.0, "unknown", 0),
        (0.0, 0.4, 1.0, "unknown", 1),
    ],
    ids=["before the write", "during the write", "during the call"],
)
def test_key_after_its_instance_was_killed(
    desk: site.Site,
    claim_delay_s: float,
    kill_after_s: float,
    service_delay_s: float,
    second: str,
    runs: int,
) -> None:
    """Guards against a takeover of a claim whose call may have run."""
    key = new_key()
    victim, survivor = add_instance(desk), desk.processes["i1"]
    desk.set_faults("platform", claim_delay_s=claim_delay_s)
    desk.set_faults("reservations", delay_after_s=service_delay_s)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        lost = pool.submit(book, victim, key)
        time.sleep(kill_after_s)
        victim.kill()
        with pytest.raises(OSError):
            lost.result()
    del desk.processes[victim.name]
    desk.set_faults("platform", claim_delay_s=0.0)
    desk.set_faults("reservations", delay_after_s=0.0)
    # A request that the platform was working on ends within this time.
    time.sleep(claim_delay_s)
    assert book(survivor, key).outcome == second
    assert executions(desk, key) == runs


def test_key_after_its_instance_was_killed_before_the_call(
    desk: site.Site,
) -> None:
    """Guards against a takeover of a claim that was stored but not used."""
    key = new_key()
    victim, survivor = add_instance(desk), desk.processes["i1"]
    running = (victim, *desk.of_role("instance"))
    live = [desk.processes["reservations"].address]
    with contextlib.ExitStack() as stack:
        # Connections beyond the backlog are neither accepted nor refused.
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        stuck = [f"127.0.0.1:{listener.getsockname()[1]}"]
        declare_service(desk, stuck, running)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            lost = pool.submit(book, victim, key)
            time.sleep(0.5)
            victim.kill()
            with pytest.raises(OSError):
                lost.result()
        del desk.processes[victim.name]
        declare_service(desk, live, desk.of_role("instance"))
    assert book(survivor, key).outcome == "unknown"
    assert executions(desk, key) == 0


def test_replayed_answers_are_whole_or_refused(desk: site.Site) -> None:
    """Guards against a duplicate that gets a part of a long answer."""
    one, two = desk.of_role("instance")[:2]
    for length, second in ((900, "answered"), (4000, "unknown")):
        key = new_key()
        answers = [
            site.fetch(
                "PUT",
                f"{p.url}/services/reservations/mirror/201?length={length}",
                key=site.ACCOUNT_KEY,
                headers={"Idempotency-Key": key},
            )
            for p in (one, two)
        ]
        assert [a.outcome for a in answers] == ["answered", second]
        assert len(answers[0].body) == length
        if second == "answered":
            assert answers[1].body == answers[0].body
            assert answers[1].headers["etag"] == '"v1"'
            assert answers[1].headers["x-request"] != ""
        else:
            assert answers[1].json()["error"]["code"] == "answer-not-kept"


@pytest.mark.parametrize(
    ("pause_s", "first", "second", "third"),
    [
        (0.2, "answered", "answered", "answered"),
        (TIMEOUT_S + 1.5, "not-run", "unknown", "answered"),
    ],
    ids=["resumes in time", "resumes after the deadline"],
)
def test_instance_paused_between_claim_and_call(
    desk: site.Site, pause_s: float, first: str, second: str, third: str
) -> None:
    """Guards against a claim that is taken over during a long pause."""
    key = new_key()
    paused, other = add_instance(desk), desk.processes["i2"]
    desk.set_faults("platform", claim_delay_s=0.4)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        booking = pool.submit(book, paused, key)
        time.sleep(0.6)
        paused.send(signal.SIGSTOP)
        time.sleep(0.4)
        desk.set_faults("platform", claim_delay_s=0.0)
        duplicate = pool.submit(book, other, key)
        time.sleep(pause_s)
        paused.send(signal.SIGCONT)
        assert booking.result().outcome == first
        assert duplicate.result().outcome == second
    assert executions(desk, key) == (first == "answered")
    wait_until(
        lambda: book(other, key).outcome == third, "the claim stayed claimed"
    )
    assert executions(desk, key) == 1
    paused.kill()
    del desk.processes[paused.name]


def test_call_of_a_caller_that_left_is_settled(desk: site.Site) -> None:
    """Guards against a result that is lost with the caller's connection."""
    key = new_key()
    one, two = desk.of_role("instance")[:2]
    unknown = desk.status(one)["requests"]["unknown"]
    desk.set_faults("reservations", delay_after_s=0.5)
    body = json.dumps({"lot": "lot"}).encode()
    host, _, port = one.address.rpartition(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(
            b"POST /services/reservations/reservations HTTP/1.1\r\n"
            b"Host: desk\r\nContent-Type: application/json\r\n"
            + f"Authorization: Bearer {site.ACCOUNT_KEY}\r\n".encode()
            + f"Idempotency-Key: {key}\r\n".encode()
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        wait_until(lambda: executions(desk, key) == 1, "the call did not run")
    again = book(two, key)
    assert again.outcome == "answered"
    assert again.headers["idempotent-replayed"] == "true"
    assert_balanced(desk, one)
    assert desk.status(one)["requests"]["unknown"] == unknown + 1


def test_drain_waits_for_settlements(desk: site.Site) -> None:
    """Guards against an instance that stops before its claims are settled."""
    key = new_key()
    leaving = add_instance(desk)
    desk.set_faults("reservations", delay_after_s=0.6)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        booking = pool.submit(book, leaving, key)
        wait_until(lambda: executions(desk, key) == 1, "the call did not run")
        desk.set_faults("platform", down=True)
        leaving.send(signal.SIGTERM)
        assert booking.result().outcome == "answered"
    time.sleep(2.5)
    assert leaving.popen.poll() is None
    desk.set_faults("platform", down=False)
    assert leaving.popen.wait(WAIT_S) == 0
    del desk.processes[leaving.name]
    assert book(desk.processes["i1"], key).outcome == "answered"
    assert executions(desk, key) == 1


@pytest.mark.parametrize(
    ("method", "target", "status", "length"),
    [
        ("GET", "/mirror/200?length=3000", 200, 3000),
        ("HEAD", "/mirror/200?length=3000", 200, 0),
        ("GET", "/mirror/204", 204, 0),
        ("GET", "/mirror/302?length=9", 302, 9),
        ("GET", "/mirror/404?length=5", 404, 5),
        ("GET", "/mirror/503?length=5&lot=a%2Fb", 503, 5),
    ],
)
def test_answers_pass_through_unchanged(
    desk: site.Site, method: str, target: str, status: int, length: int
) -> None:
    """Guards against answers that are decoded, followed or shortened."""
    url = f"{desk.processes['i1'].url}/services/reservations{target}"
    if status == 302:
        # urllib follows redirects, so the address must not exist.
        status = 404
        length = -1
    answer = site.fetch(method, url, key=site.ACCOUNT_KEY)
    assert answer.status == status
    if length >= 0:
        assert answer.outcome == "answered"
        assert answer.body == bytes(i % 256 for i in range(length))
        assert answer.headers["x-target"] == target
        assert answer.headers["etag"] == '"v1"'
        assert answer.headers["x-cookie"] == ""
    if method == "HEAD":
        assert answer.headers["content-length"] == "3000"


@pytest.mark.parametrize(
    ("method", "path", "status", "outcome"),
    [
        ("GET", "/mirror/200?length=8388609", 502, "unknown"),
        ("GET", "/stock/%2e%2e/reservations", 400, "not-run"),
        ("GET", "/stock-orders/x", 400, "not-run"),
    ],
)
def test_calls_that_cannot_pass(
    desk: site.Site, method: str, path: str, status: int, outcome: str
) -> None:
    """Guards against unbounded answers and rules that cover other paths."""
    url = f"{desk.processes['i1'].url}/services/reservations{path}"
    answer = site.fetch(method, url, key=site.ACCOUNT_KEY)
    assert (answer.status, answer.outcome) == (status, outcome)


def test_idempotent_call_uses_another_address(desk: site.Site) -> None:
    """Guards against a dead or silent replica that fails its share of calls."""
    dead = f"127.0.0.1:{site.free_port()}"
    live = desk.processes["reservations"].address
    one = desk.processes["i1"]
    for addresses, expected in (
        ([dead, live], "answered"),
        ([dead], "not-run"),
        ([live], "answered"),
    ):
        declare_service(desk, addresses, desk.of_role("instance"))
        url = f"{one.url}/services/reservations/stock/lot"
        got = {
            site.fetch("GET", url, key=site.ACCOUNT_KEY).outcome
            for _ in range(4)
        }
        assert got == {expected}
        assert book(one, new_key()).outcome == expected
    desk.set_faults("reservations", drop_after=1)
    answer = site.fetch("GET", url, key=site.ACCOUNT_KEY)
    assert answer.outcome == "answered"
    assert_balanced(desk, one)
