"""Fetches reports from the platform's engines and sends them orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from yuccatally.core.forwarding import reports
from yuccatally.platform import documents
from yuccatally.platform import headers
from yuccatally.store import bodies

if TYPE_CHECKING:
    from yuccatally.core.forwarding import dispatch
    from yuccatally.core.forwarding import upstreams

# A report needs no slot and takes an engine a few milliseconds.
REPORT_TIMEOUT_S = 0.4
# The engine only accepts the order in this time; it runs the order later.
ORDER_TIMEOUT_S = 1.0
# A report has some hundred bytes, and some 50 more for each stalled request.
MAX_RESPONSE_BYTES = 256 * 1024

_HTTP_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, ValueError)


class ReportError(Exception):
    """An engine did not return a valid report."""


class ReportTimeoutError(ReportError):
    """An engine did not respond in time; the cause may be on this side."""


_OUTCOME_BY_STATUS = {
    200: reports.Outcome.HOLDS_ALREADY,
    202: reports.Outcome.BEGUN,
    409: reports.Outcome.STATE_DIFFERS,
    412: reports.Outcome.STALE_FENCE,
}


async def fetch_report(
    session: aiohttp.ClientSession, engine: upstreams.Upstream
) -> reports.LoadReport:
    """Fetches the load report of an engine.

    Raises:
        ReportTimeoutError: The engine did not respond in time.
        ReportError: The response is not a valid report, or the connection
            failed.
    """
    try:
        async with session.get(
            f"http://{engine.address}/report",
            headers={headers.EXPECTED_UPSTREAM: engine.name},
            timeout=aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S),
        ) as response:
            body = await bodies.read(response, MAX_RESPONSE_BYTES)
            if response.status != 200:
                raise ReportError(f"unexpected HTTP status {response.status}")
        return documents.decode_report(body)
    except TimeoutError as error:
        raise ReportTimeoutError(_timeout_text()) from error
    except (*_HTTP_ERRORS, documents.FormatError) as error:
        raise ReportError(f"{type(error).__name__}: {error}") from error


async def is_healthy(
    session: aiohttp.ClientSession, engine: upstreams.Upstream, path: str
) -> bool:
    """Returns whether an engine reports that it is healthy and not leaving.

    Args:
        session: HTTP client.
        engine: The engine.
        path: Path of the health check.

    Raises:
        ReportTimeoutError: The engine did not respond in time.
        ReportError: The connection failed.
    """
    try:
        async with session.get(
            f"http://{engine.address}{path}",
            headers={headers.EXPECTED_UPSTREAM: engine.name},
            timeout=aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S),
        ) as response:
            await bodies.read(response, MAX_RESPONSE_BYTES)
            return response.status == 200
    except TimeoutError as error:
        raise ReportTimeoutError(_timeout_text()) from error
    except _HTTP_ERRORS as error:
        raise ReportError(f"{type(error).__name__}: {error}") from error


def _timeout_text() -> str:
    return f"no response within {REPORT_TIMEOUT_S:g} s"


async def send_reroute_order(
    session: aiohttp.ClientSession, request: str, path: dispatch.Path
) -> reports.Rerouted | reports.NotRerouted:
    """Orders the first engine of a path to move a request to that path.

    Args:
        session: HTTP client.
        request: Id of the client's attempt.
        path: New path; its first stage is the same as before.
    """
    order = documents.encode_reroute_order(request, headers.encode_path(path))
    try:
        status, body = await _post_order(session, path.hops[0], order)
        if status < 300:
            return reports.Rerouted()
        faulty = documents.decode_faulty_address(body) if status == 409 else ""
        return reports.NotRerouted(f"status {status}", faulty)
    except (*_HTTP_ERRORS, documents.FormatError) as error:
        return reports.NotRerouted(f"{type(error).__name__}: {error}")


async def send_layers_order(
    session: aiohttp.ClientSession,
    engine: upstreams.Upstream,
    order: reports.LayersOrder,
) -> reports.Outcome:
    """Orders an engine to hold a range of layers."""
    try:
        status, _ = await _post_order(
            session, engine, documents.encode_layers_order(order)
        )
    except aiohttp.ClientConnectorError:
        return reports.Outcome.UNREACHABLE
    except _HTTP_ERRORS:
        return reports.Outcome.UNKNOWN
    return _OUTCOME_BY_STATUS.get(status, reports.Outcome.REFUSED)


async def _post_order(
    session: aiohttp.ClientSession, engine: upstreams.Upstream, order: bytes
) -> tuple[int, bytes]:
    """Sends an order and returns the status and body of the response."""
    async with session.post(
        f"http://{engine.address}/order",
        data=order,
        headers={
            headers.EXPECTED_UPSTREAM: engine.name,
            "Content-Type": "application/json",
        },
        timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
    ) as response:
        body = await bodies.read(response, MAX_RESPONSE_BYTES)
        return response.status, body
