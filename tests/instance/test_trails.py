"""The trail of a request after the instance that took it is gone."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from yuccatally.instance import trails
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable

WAIT_S = 20.0


def test_request_is_explained_after_its_instance_was_killed(
    start_site: Callable[..., site.Site],
) -> None:
    """Guards against an outcome that nobody can account for."""
    started = start_site()
    first, second, _ = started.of_role("instance")
    body = {"model": site.MODEL, "prompt": "x", "max_tokens": 3}
    url = f"{first.url}/v1/completions"
    answer = site.fetch("POST", url, body, site.ACCOUNT_KEY)
    request = answer.headers["yuccatally-outcome"].partition("request=")[2]

    def explained() -> dict[str, Any]:
        operators = second.extra["operators"]
        url = f"http://{operators}/operator/requests/{request}"
        return site.fetch("GET", url, key=site.OPERATORS_KEY).json()

    deadline = time.monotonic() + WAIT_S
    while len(explained()["sources"]) < 2:
        assert time.monotonic() < deadline, "no peer got a copy"
        time.sleep(0.1)
    # The outcome may follow in the batch after the one that was seen.
    time.sleep(4 * trails.COPY_INTERVAL_S)
    first.kill()
    found = explained()
    assert first.name not in found["sources"]
    assert found["found"]
    assert found["ended"]
