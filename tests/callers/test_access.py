"""Keys of client accounts, and callers that disconnect."""

from __future__ import annotations

import hashlib
import socket
import time

import pytest
from starlette import requests

from yuccatally.callers import access
from yuccatally.core.config import configuration
from yuccatally.core.objects import kinds
from yuccatally.core.objects import specs
from yuccatally_standins import site


def account_event(name: str, key: str, revision: int) -> configuration.Event:
    digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
    spec = specs.ClientAccountSpec(digest)
    declared = kinds.Object("client_account", name, spec, revision=revision)
    return configuration.Event(revision, "client_account", name, declared)


def request_with(header: str) -> requests.Request:
    headers = [(b"authorization", header.encode("latin-1"))]
    return requests.Request({"type": "http", "headers": headers})


def test_index_follows_the_configuration() -> None:
    """Guards against accepting unknown, removed or reassigned keys."""
    config = configuration.Configuration()
    index = access.AccountIndex(config)
    events = tuple(account_event(f"a{n}", f"key-{n}", n) for n in range(1, 901))
    config.apply_delta(configuration.Delta(0, 900, events))
    for number in (1, 450, 900):
        account = index.account_of(request_with(f"Bearer key-{number}"))
        assert account is not None
        assert account.name == f"a{number}"
    changed = (
        configuration.Event(901, "client_account", "a1", None),
        account_event("a2", "new", 902),
        account_event("b2", "new", 903),
    )
    config.apply_delta(configuration.Delta(900, 903, changed))
    assert index.account_of(request_with("Bearer key-1")) is None
    assert index.account_of(request_with("Bearer key-2")) is None
    account = index.account_of(request_with("bearer  new "))
    assert account is not None
    assert account.name == "a2"
    config.apply_snapshot(configuration.Snapshot(903, ()))
    assert index.account_of(request_with("Bearer new")) is None


@pytest.mark.parametrize(
    "header",
    [
        "",
        "Bearer",
        "Bearer ",
        "Basic key-1",
        "key-1",
        "Bearer " + "x" * 2000,
        "Bearer k\xffy",
        "Bearer key-1\x00",
        "Bearer key-1 key-1",
    ],
)
def test_other_credentials_are_refused(header: str) -> None:
    """Guards against credentials that raise an error or match by mistake."""
    config = configuration.Configuration()
    events = (account_event("a", "key-1", 1),)
    config.apply_delta(configuration.Delta(0, 1, events))
    assert access.AccountIndex(config).account_of(request_with(header)) is None


def test_caller_that_goes_away_while_sending(shared_site: site.Site) -> None:
    """Guards against a request that stays in flight and blocks a drain."""
    process = shared_site.of_role("instance")[0]
    host, _, port = process.address.rpartition(":")
    before = shared_site.status(process)["requests"]
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer " + site.ACCOUNT_KEY.encode() + b"\r\n"
            b"Content-Length: 100\r\n\r\n{"
        )
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            if shared_site.status(process)["requests"]["in_flight"]:
                break
    while time.monotonic() < deadline:
        status = shared_site.status(process)
        if not status["requests"]["in_flight"]:
            break
        time.sleep(0.02)
    assert status["requests"]["in_flight"] == 0
    assert status["requests"]["not_run"] == before["not_run"] + 1
    assert status["balanced"]
