"""Identification of the client account that sends a request."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette import requests

    from yuccatally.core.config import configuration
    from yuccatally.core.objects import kinds


def account_of(
    request: requests.Request, config: configuration.Configuration
) -> kinds.Object | None:
    """Returns the account whose key the request carries, None if unknown."""
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return None
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    for account in config.of_kind("client_account"):
        if account.spec.key_sha256 == digest:
            return account
    return None
