"""Keys of client accounts, and callers that go away."""

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


def account(name: str, key: str, revision: int) -> configuration.Event:
    digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
    spec = specs.ClientAccountSpec(digest)
    declared = kinds.Object("client_account", name, spec, revision=revision)
    return configuration.Event(revision, "client_account", name, declared)


def asked(header: str) -> requests.Request:
    headers = [(b"authorization", header.encode("latin-1"))]
    return requests.Request({"type": "http", "headers": headers})


def test_index_follows_the_configuration() -> None:
    """Guards against keys that are unknown, stale or given to another."""
    config = configuration.Configuration()
    index = access.AccountIndex(config)
    events = tuple(account(f"a{n}", f"key-{n}", n) for n in range(1, 901))
    config.apply_delta(configuration.Delta(0, 900, events))
    for number in (1, 450, 900):
        found = index.account_of(asked(f"Bearer key-{number}"))
        assert found is not None
        assert found.name == f"a{number}"
    changed = (
        configuration.Event(901, "client_account", "a1", None),
        account("a2", "new", 902),
        account("b2", "new", 903),
    )
    config.apply_delta(configuration.Delta(900, 903, changed))
    assert index.account_of(asked("Bearer key-1")) is None
    assert index.account_of(asked("Bearer key-2")) is None
    found = index.account_of(asked("bearer  new "))
    assert found is not None
    assert found.name == "a2"
    config.apply_snapshot(configuration.Snapshot(903, ()))
    assert index.account_of(asked("Bearer new")) is None


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
    """Guards against credentials that raise or match by accident."""
    config = configuration.Configuration()
    events = (account("a", "key-1", 1),)
    config.apply_delta(configuration.Delta(0, 1, events))
    assert access.AccountIndex(config).account_of(asked(header)) is None


def test_caller_that_goes_away_while_sending(shared_site: site.Site) -> None:
    """Guards against a request that stays in flight and blocks a drain."""
    process = shared_site.of_role("instance")[0]
    host, _, port = process.address.rpartition(":")
    before = shared_site.status(process)["requests"]
    with socket.create_connection((host, int(port))) as opened:
        opened.sendall(
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
