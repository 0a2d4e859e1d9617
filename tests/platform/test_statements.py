"""Statements of upstreams in the headers of their responses."""

from __future__ import annotations

from aiohttp import web
import pytest

from yuccatally.core.forwarding import statements as core_statements
from yuccatally.platform import statements


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {"Server-Leaving": "1"}, [core_statements.Leaving()]),
        (200, {"server-leaving": " 1 "}, [core_statements.Leaving()]),
        (200, {"Server-Leaving": "0"}, []),
        (200, {"Connection": "close"}, []),
        (503, {"Retry-After": "1.5"}, [core_statements.Pause(1.5)]),
        (429, {"Retry-After": "1.5"}, []),
        (200, {"Retry-After": "1.5"}, []),
        (503, {"Retry-After": "0"}, []),
        (503, {"Retry-After": "Fri, 04 Dec 2026 20:00:00 GMT"}, []),
        (
            503,
            {"Server-Leaving": "1", "Retry-After": "2"},
            [core_statements.Leaving(), core_statements.Pause(2.0)],
        ),
        (200, {"Server-Limit": "1.5"}, [core_statements.Limit(1.5)]),
        (503, {"server-limit": "0"}, [core_statements.Limit(0.0)]),
        (200, {"Server-Limit": "-1"}, []),
        (200, {"Server-Limit": "nan"}, []),
        (200, {"Server-Limit": "1e400"}, []),
        (200, {"Server-Limit": "few"}, []),
    ],
)
def test_statements_are_decoded(
    status: int,
    headers: dict[str, str],
    expected: list[core_statements.Statement],
) -> None:
    """Guards against statements that are missed or made up."""
    received = web.Response(headers=headers).headers
    assert list(statements.decode(status, received)) == expected
