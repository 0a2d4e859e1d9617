"""The trail of a request after the failure of the accepting instance."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from yuccatally.instance import trails
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable

TIMEOUT_S = 20.0


def test_request_is_explained_after_its_instance_was_killed(
    start_site: Callable[..., site.Site],
) -> None:
    """Guards against a trail that is lost with the accepting instance."""
    deployment = start_site()
    first, second, _ = deployment.of_role("instance")
    body = {"model": site.MODEL, "prompt": "x", "max_tokens": 3}
    url = f"{first.url}/v1/completions"
    answer = site.fetch("POST", url, body, site.ACCOUNT_KEY)
    request = answer.headers["yuccatally-outcome"].partition("request=")[2]

    def explain() -> dict[str, Any]:
        operators = second.addresses["operators"]
        url = f"http://{operators}/operator/requests/{request}"
        return site.fetch("GET", url, key=site.OPERATORS_KEY).json()

    deadline = time.monotonic() + TIMEOUT_S
    while len(explain()["sources"]) < 2:
        assert time.monotonic() < deadline, "no peer received a copy"
        time.sleep(0.1)
    # The record of the outcome may be in the next batch.
    time.sleep(4 * trails.COPY_INTERVAL_S)
    first.kill()
    explanation = explain()
    assert first.name not in explanation["sources"]
    assert explanation["found"]
    assert explanation["ended"]
