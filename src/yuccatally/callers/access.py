"""Identification of the client account that sends a request."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette import requests

    from yuccatally.core.config import configuration
    from yuccatally.core.objects import kinds

MAX_KEY_LENGTH = 1_024


class AccountIndex:
    """Client accounts by the digest of their key.

    Only digests are compared. The time of the search can tell something about
    the digest that was searched for, which says nothing about a key with that
    digest; the digest found is compared in constant time.
    """

    def __init__(self, config: configuration.Configuration) -> None:
        self.config = config
        self.seen: tuple[int, int] | None = None
        self.accounts: dict[str, kinds.Object] = {}

    def account_of(self, request: requests.Request) -> kinds.Object | None:
        """Returns the account whose key the request carries, or None."""
        header = request.headers.get("authorization", "")
        scheme, _, key = header.partition(" ")
        key = key.strip()
        if scheme.lower() != "bearer" or not 0 < len(key) <= MAX_KEY_LENGTH:
            return None
        digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
        self._refresh()
        account = self.accounts.get(digest)
        if account is None or not hmac.compare_digest(
            account.spec.key_sha256, digest
        ):
            return None
        return account

    def _refresh(self) -> None:
        now = (self.config.revision, self.config.content_hash)
        if self.seen == now:
            return
        self.seen = now
        # With one key in two accounts, the first by name has it everywhere.
        ordered = sorted(
            self.config.of_kind("client_account"),
            key=lambda o: o.name,
            reverse=True,
        )
        self.accounts = {o.spec.key_sha256: o for o in ordered}
