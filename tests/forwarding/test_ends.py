"""All outcomes of a forwarded request.

The table of ``docs/platform.md`` lists the same cases.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from yuccatally_standins import path_engine
from yuccatally_standins import path_site

WHOLE = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 7))
NOT_RUN = "yuccatally-not-executed"


def _set_behaviour(site: path_site.Site, **behaviour: object) -> None:
    for engine in site.engines.values():
        engine.behaviour = path_engine.Behaviour(**behaviour)


def _count_runs(site: path_site.Site) -> int:
    return sum(len(e.executed_requests) for e in site.engines.values())


async def test_stream_is_passed_on_whole(served: path_site.Site) -> None:
    """Guards against events that are lost, joined or sent twice."""
    status, headers, body = await served.send_request("/ask/x?y=%2F")
    assert (status, body) == (200, WHOLE)
    assert headers["yuccatally-server-signature"] == path_engine.SIGNATURE
    runs = [r for e in served.engines.values() for r in e.executed_requests]
    assert [r.target for r in runs] == ["/ask/x?y=%2F"]
    sent = runs[0].headers
    assert sent["host"] == path_site.HOST
    assert sent["yuccatally-tenant"] == "desk-one"
    assert "api-key" not in sent
    assert 0 < int(sent["yuccatally-deadline-ms"]) <= 3000


@pytest.mark.parametrize(
    ("of_account", "expected"), [(None, "1"), (4, "4"), (12, "9"), (0, "0")]
)
async def test_engines_are_told_the_rank(
    served: path_site.Site, of_account: int | None, expected: str
) -> None:
    """Guards against a priority that engines do not receive."""
    account = {"name": "desk-one", "apiKeys": [path_site.API_KEY]}
    if of_account is not None:
        account["priority"] = of_account
    await served.publish_configuration(5, tenants=[account])
    state = served.instances[0].state
    await path_site.until(lambda: state.rules and state.rules.version == 5)
    forged = {"Yuccatally-Request-Priority": "3"}
    status, _, _ = await served.send_request("/ask/x", headers=forged)
    assert status == 200
    runs = [r for e in served.engines.values() for r in e.executed_requests]
    assert runs[0].headers["yuccatally-request-priority"] == expected


async def test_client_cannot_name_account_or_path(
    served: path_site.Site,
) -> None:
    """Guards against clients that set headers which upstreams trust."""
    forged = {
        "Yuccatally-Tenant": "other",
        "Yuccatally-Hop-Count": "1.2.3.4:1=0-4",
        "Yuccatally-Expect-Instance": "other",
    }
    status, _, _ = await served.send_request("/book/x", headers=forged)
    assert status == 200
    sent = served.engines["d1"].executed_requests[0].headers
    assert sent["yuccatally-tenant"] == "desk-one"
    assert sent["yuccatally-expect-instance"] == "d1"
    assert "yuccatally-hop-count" not in sent


@pytest.mark.parametrize(
    ("target", "headers", "status"),
    [
        ("/nowhere/x", {}, 404),
        ("/ask", {}, 404),
        ("/ask/x", {"Host": "other.example"}, 404),
        ("/ask/x", {"Api-Key": "wrong"}, 401),
        ("/book/x", {"Api-Key": "wrong"}, 401),
    ],
)
async def test_what_is_not_allowed_is_not_run(
    served: path_site.Site, target: str, headers: dict[str, str], status: int
) -> None:
    """Guards against requests without route or key that are executed."""
    actual_status, _, _ = await served.send_request(target, headers=headers)
    assert actual_status == status
    assert _count_runs(served) == 0


async def test_no_configuration_is_no_statement_on_routes(
    site: path_site.Site,
) -> None:
    """Guards against 404 and 401 from an instance without configuration."""
    site.store.objects.clear()
    site.store.history.clear()
    start_task = asyncio.create_task(site.start_instance())
    await path_site.until(lambda: site.instances)
    await asyncio.sleep(0.5)
    status, headers, _ = await site.send_request("/ask/x", at=site.instances[0])
    assert status == 503
    assert "retry-after" in headers
    start_task.cancel()


@pytest.mark.parametrize("status", [429, 503])
async def test_refusal_of_all_upstreams_is_not_run(
    served: path_site.Site, status: int
) -> None:
    """Guards against a statement that no upstream made.

    A 503 with ``Retry-After`` states that the request was not executed.
    """
    _set_behaviour(served, refusal_status=status)
    for target in ("/book/x", "/stock/x", "/ask/x"):
        actual_status, headers, _ = await served.send_request(target)
        assert actual_status == 503, target
        assert float(headers["retry-after"]) > 0
    assert _count_runs(served) == 0


@pytest.mark.parametrize(
    "behaviour",
    [
        {"wrong_id": True},
        {"unsigned": True},
        {"unframed": "reset"},
        {"drops_answer": True},
    ],
)
async def test_booking_that_may_have_run_is_not_promised_nor_repeated(
    served: path_site.Site, behaviour: dict[str, object]
) -> None:
    """Guards against a second execution and a false statement of none."""
    await served.add_engine("d2", card="")
    _set_behaviour(served, **behaviour)
    status, headers, _ = await served.send_request("/book/x", deadline_ms=700)
    assert status in (502, 504)
    assert NOT_RUN not in headers
    assert _count_runs(served) == 1


async def test_unframed_answer_that_is_closed_in_order_is_whole(
    served: path_site.Site,
) -> None:
    """Guards against treating all responses without a length as failed."""
    _set_behaviour(served, unframed="close")
    status, _, body = await served.send_request("/book/x")
    assert (status, body) == (200, b"done a1")


@pytest.mark.parametrize(
    ("method", "status"), [("POST", 204), ("GET", 304), ("HEAD", 200)]
)
async def test_response_that_has_no_body_is_whole(
    served: path_site.Site, method: str, status: int
) -> None:
    """Guards against waiting for the end of a connection that is kept."""
    _set_behaviour(served, empty_status=status)
    received, _, body = await served.send_request("/stock/x", method=method)
    assert (received, body) == (status, b"")
    assert _count_runs(served) == 1


async def test_unframed_stream_that_is_closed_in_order_is_whole(
    served: path_site.Site,
) -> None:
    """Guards against streams that need a length or chunks."""
    _set_behaviour(served, unframed="close")
    status, _, body = await served.send_request("/ask/x")
    assert (status, body) == (200, WHOLE)
    assert _count_runs(served) == 1


@pytest.mark.parametrize(
    "behaviour",
    [
        {"unframed": "close", "break_after": 2},
        {"unframed": "reset", "break_after": 2},
        {"unframed": "reset"},
        {"ends_within_event": True, "break_after": 2},
    ],
)
async def test_stream_that_ends_too_early_goes_on_elsewhere(
    served: path_site.Site, behaviour: dict[str, object]
) -> None:
    """Guards against the end of a connection that makes a stream look whole."""
    first = served.engines["e1"]
    first.behaviour = path_engine.Behaviour(**behaviour)
    dispatcher = served.instances[0].state.dispatcher
    dispatcher.avoid("dc-e2-1", time.monotonic() + 0.5)
    status, _, body = await served.send_request("/ask/x")
    assert (status, body) == (200, WHOLE)
    assert first.executed_requests


@pytest.mark.parametrize("unframed", ["", "close"])
async def test_stream_that_ends_within_an_event_does_not_look_complete(
    served: path_site.Site, unframed: str
) -> None:
    """Guards against a partial event that clients take for the last one."""
    _set_behaviour(
        served, unframed=unframed, ends_within_event=True, break_after=2
    )
    status, _, body = await served.send_request("/ask/x")
    assert (status, body[-1:]) == (200, b"!")
    assert b"half" not in body


async def test_failure_of_an_upstream_is_passed_on(
    served: path_site.Site,
) -> None:
    """Guards against an error that is hidden or retried without need."""
    _set_behaviour(served, failure_status=500)
    status, headers, body = await served.send_request("/book/x")
    assert (status, body) == (500, b"failed")
    assert headers["yuccatally-server-signature"] == path_engine.SIGNATURE
    assert _count_runs(served) == 1


@pytest.mark.parametrize("other", [None, "refuses", "is lost"])
async def test_failure_is_passed_on_if_no_retry_succeeds(
    served: path_site.Site, other: str | None
) -> None:
    """Guards against an upstream's answer that is replaced by a 502."""
    served.engines["d1"].behaviour.failure_status = 500
    if other is not None:
        second = await served.add_engine("d2", card="")
        second.behaviour.refusal_status = 503 if other == "refuses" else 0
        second.behaviour.wrong_id = other == "is lost"
        registry = served.instances[0].state.registry
        await path_site.until(lambda: "d2" in registry.entries)
    answers = [
        await served.send_request("/stock/x", f"a{n}", deadline_ms=900)
        for n in range(6)
    ]
    failed_first = [a for a in answers if a[2] == b"failed"]
    assert failed_first
    for status, headers, _ in failed_first:
        assert status == 500
        assert headers["yuccatally-server-signature"] == path_engine.SIGNATURE
    runs = {r.request for r in served.engines["d1"].executed_requests}
    assert len(failed_first) == len(runs)


async def test_idempotent_call_goes_on_elsewhere(
    served: path_site.Site,
) -> None:
    """Guards against a failure of a request that may be sent again."""
    second = await served.add_engine("d2", card="")
    instance = served.instances[0]
    await path_site.until(
        lambda: len(instance.state.registry.usable_of("desk")) == 2
    )
    served.engines["d1"].behaviour.unsigned = True
    for number in range(4):
        status, _, _ = await served.send_request("/stock/x", f"a{number}")
        assert status == 200
    assert len(second.executed_requests) == 4


async def test_idempotent_call_keeps_to_its_attempts(
    served: path_site.Site,
) -> None:
    """Guards against more attempts than the route allows."""
    for name in ("d2", "d3", "d4"):
        await served.add_engine(name, card="")
    instance = served.instances[0]
    await path_site.until(
        lambda: len(instance.state.registry.usable_of("desk")) == 4
    )
    _set_behaviour(served, failure_status=500)
    status, _, _ = await served.send_request("/stock/x")
    assert status == 500
    assert _count_runs(served) == 2


@pytest.mark.parametrize(
    "behaviour",
    [
        {"failure_status": 500},
        {"failure_status": 404},
        {"failure_status": 503},
        {"failure_status": 500, "unsigned": True},
        {"refusal_status": 503},
        {"empty_status": 204},
        {"plain_answer": True},
        {"foreign_head": True},
        {"ignores_last_id": True},
    ],
    ids=lambda b: ",".join(b),
)
async def test_error_after_a_stream_has_begun_is_not_part_of_it(
    served: path_site.Site, behaviour: dict[str, object]
) -> None:
    """Guards against errors, heads and repetitions within a stream.

    The first engine breaks off, the next one answers with something else.
    """
    begun = 0
    for number in range(8):
        for engine in served.engines.values():
            engine.behaviour = path_engine.Behaviour(break_after=2)
        request = asyncio.create_task(
            served.send_request("/ask/x", f"a{number}")
        )
        while not request.done():
            for engine in served.engines.values():
                if f"a{number}" not in {
                    r.request for r in engine.executed_requests
                }:
                    continue
                for other in served.engines.values():
                    if other is not engine:
                        other.behaviour = path_engine.Behaviour(**behaviour)
            await asyncio.sleep(0.001)
        status, _, body = await request
        if status != 200:
            continue
        begun += 1
        assert body.endswith(b"!")
        assert WHOLE.startswith(body[:-1])
    assert begun


async def test_stream_goes_on_after_the_last_whole_event(
    served: path_site.Site,
) -> None:
    """Guards against a partial event that the next one is joined to."""
    for engine in served.engines.values():
        engine.behaviour.break_after = 3
    status, _, body = await served.send_request("/ask/x")
    runs = [r for e in served.engines.values() for r in e.executed_requests]
    # Either engine may have been the first.
    goes_on_after = sorted(r.headers.get("last-event-id", "") for r in runs)
    assert goes_on_after == ["", "3"]
    # The second run is interrupted too, after its third event.
    assert status == 200
    assert body.rstrip(b"!") == WHOLE


async def test_stream_that_cannot_go_on_does_not_look_complete(
    served: path_site.Site,
) -> None:
    """Guards against an incomplete response that looks complete."""
    for engine in served.engines.values():
        engine.behaviour.break_after = 1
    status, _, body = await served.send_request("/ask/x")
    assert status == 200
    assert body.endswith(b"!")
    assert body == WHOLE[: len(body) - 1] + b"!"


async def test_streams_leave_a_stalled_path(served: path_site.Site) -> None:
    """Guards against a pause that lasts until the client disconnects."""
    tasks = [
        asyncio.create_task(served.send_request("/ask/x", f"s{n}"))
        for n in range(6)
    ]
    await path_site.until(lambda: _count_runs(served) == 6)
    served.engines["e1"].behaviour.stalled = True
    answers = await asyncio.gather(*tasks)
    assert [(s, b) for s, _, b in answers] == [(200, WHOLE)] * 6
    served.engines["e1"].behaviour.stalled = False


async def test_work_ends_when_the_client_leaves(served: path_site.Site) -> None:
    """Guards against engines that work on after the client disconnected.

    The client leaves before the first event.
    """
    _set_behaviour(served, drops_answer=True)
    task = asyncio.create_task(served.send_request("/ask/x", "gone"))
    await path_site.until(lambda: _count_runs(served) == 1)
    task.cancel()
    await path_site.until(
        lambda: any("gone" in e.cancelled for e in served.engines.values())
    )
    assert _count_runs(served) == 1


async def test_route_timeout_is_kept(served: path_site.Site) -> None:
    """Guards against requests that last longer than the route's timeout."""
    routes = path_site.configuration(2)["routes"]
    for route in routes:
        route["timeoutMs"] = 300
    await served.publish_configuration(2, routes=routes)
    instance = served.instances[0]
    await path_site.until(lambda: instance.state.rules.version == 2)
    _set_behaviour(served, drops_answer=True)
    for target in ("/book/x", "/stock/x", "/ask/x"):
        status, _, _ = await served.send_request(target, f"t{target}")
        assert status in (502, 504), target
    sent = [r for e in served.engines.values() for r in e.executed_requests]
    assert all(int(r.headers["yuccatally-deadline-ms"]) <= 300 for r in sent)


async def test_body_over_the_limit_is_not_run(served: path_site.Site) -> None:
    """Guards against bodies above the configured limit."""
    url = f"http://{served.instances[0].settings.listen.callers}/book/x"
    headers = {"Host": path_site.HOST, "Api-Key": path_site.API_KEY}
    async with served.session.post(
        url, headers=headers, data=b"x" * 5000
    ) as response:
        assert response.status == 413
    assert _count_runs(served) == 0


async def test_nothing_runs_without_a_whole_pipeline(
    site: path_site.Site,
) -> None:
    """Guards against a wait until the deadline without any pipeline."""
    await site.start_instance()
    status, headers, _ = await site.send_request("/ask/x")
    assert status == 503
    assert "retry-after" in headers


async def test_unreachable_engine_is_tried_once(site: path_site.Site) -> None:
    """Guards against a retry loop to the only engine, which has failed.

    A request was sent 93 times in 0.1 s and exhausted the retry budget.
    """
    engine = await site.add_engine("e1")
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    await engine.stop()
    status, _, _ = await site.send_request("/ask/x")
    assert status == 503
    assert len(instance.state.retry_budget("model").retries) <= 1


async def test_stream_stays_on_a_stalled_path_when_it_may_not_move(
    served: path_site.Site,
) -> None:
    """Guards against a stall that makes the instance abort streams.

    Streams were moved off a path although the retry budget was exhausted, and
    were aborted 0.2 s after their last event.
    """
    instance = served.instances[0]
    budget = instance.state.retry_budget("model")
    budget.reserve = budget.share = 0.0
    tasks = [
        asyncio.create_task(served.send_request("/ask/x", f"s{n}"))
        for n in range(6)
    ]
    await path_site.until(lambda: _count_runs(served) == 6)
    for engine in served.engines.values():
        engine.behaviour.stalled = engine.name == "e1"
    await asyncio.sleep(0.5)
    served.engines["e1"].behaviour.stalled = False
    answers = await asyncio.gather(*tasks)
    assert [(s, b) for s, _, b in answers] == [(200, WHOLE)] * 6


async def test_plain_services_stream_and_engines_answer_calls(
    served: path_site.Site,
) -> None:
    """Guards against forwarding that depends on the kind of the route only.

    A stream of a plain service was buffered until it was complete, and a call
    of a model was sent to one engine without its path.
    """
    routes = path_site.configuration(2)["routes"]
    services = {"ask": "desk", "book": "model"}
    for route in routes:
        route["service"] = services.get(route["name"], route["service"])
    await served.publish_configuration(2, routes=routes)
    instance = served.instances[0]
    await path_site.until(lambda: instance.state.rules.version == 2)
    plain_service = served.engines["d1"]
    plain_service.streams = True
    plain_service.behaviour.break_after = 3
    status, _, body = await served.send_request("/ask/x", "stream")
    assert (status, body) == (200, WHOLE)
    assert [
        r.headers.get("last-event-id") for r in plain_service.executed_requests
    ] == [
        None,
        "3",
    ]
    assert (
        "yuccatally-hop-count" not in plain_service.executed_requests[0].headers
    )
    status, _, body = await served.send_request("/book/x", "call")
    assert (status, body) == (200, WHOLE)
    sent = [
        r for n in ("e1", "e2") for r in served.engines[n].executed_requests
    ]
    assert len(sent) == 1
    assert sent[0].headers["yuccatally-hop-count"].endswith("=0-4")


@pytest.mark.parametrize("events", [0, 2])
async def test_stream_without_whole_events_goes_on_elsewhere(
    served: path_site.Site, events: int
) -> None:
    """Guards against a stalled stream that sends a byte now and then.

    Each byte restarted the timeout and counted as an event of its path, so
    that the stream lasted until its deadline.
    """
    for engine in served.engines.values():
        engine.behaviour = path_engine.Behaviour(trickle_after=events)
    sent = asyncio.create_task(served.send_request("/ask/x"))
    await path_site.until(lambda: _count_runs(served) > 0)
    for engine in served.engines.values():
        if not engine.executed_requests:
            engine.behaviour = path_engine.Behaviour()
    started_at = asyncio.get_running_loop().time()
    status, _, body = await sent
    assert (status, body) == (200, WHOLE)
    # Clients wait two seconds for an event.
    assert asyncio.get_running_loop().time() - started_at < 2.0
