"""HTTP applications for the directory of addresses and readiness checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette import applications
from starlette import responses
from starlette import routing

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette import requests


def directory_application(
    addresses: Callable[[str, str], list[str]], ttl_s: float
) -> applications.Starlette:
    """Returns the application that lists addresses of instances for callers.

    Args:
        addresses: Returns the addresses for a data centre and region.
        ttl_s: Time for which callers may cache them, in seconds.
    """

    async def resolve(request: requests.Request) -> responses.Response:
        query = request.query_params
        resolved = addresses(query.get("zone", ""), query.get("region", ""))
        return responses.JSONResponse({"addresses": resolved, "ttlS": ttl_s})

    return applications.Starlette(routes=[routing.Route("/resolve", resolve)])


def readiness_application(
    is_ready: Callable[[], bool],
) -> applications.Starlette:
    """Returns the application that serves readiness checks."""

    async def ready(request: requests.Request) -> responses.Response:
        return responses.Response(status_code=200 if is_ready() else 503)

    return applications.Starlette(routes=[routing.Route("/readyz", ready)])
