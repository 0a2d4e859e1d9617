"""Identification of the client account that sends a request."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette import requests

    from yuccatally.core.config import configuration
    from yuccatally.core.objects import kinds

MAX_KEY_CHARS = 1_024


class AccountIndex:
    """Index of client accounts by the digest of their key.

    Only digests are compared. The duration of the lookup can reveal part of the
    digest that was looked up, but this reveals nothing about a key with that
    digest. The stored digest is compared in constant time.

    Attributes:
        config: Objects in force.
        indexed_state: Revision and content hash that the index was built from;
            None before the first lookup.
        accounts_by_digest: Accounts by the SHA-256 digest of their key.
    """

    def __init__(self, config: configuration.Configuration) -> None:
        self.config = config
        self.indexed_state: tuple[int, int] | None = None
        self.accounts_by_digest: dict[str, kinds.Object] = {}

    def account_of(self, request: requests.Request) -> kinds.Object | None:
        """Returns the account whose key the request carries, or None."""
        header = request.headers.get("authorization", "")
        scheme, _, key = header.partition(" ")
        key = key.strip()
        if scheme.lower() != "bearer" or not 0 < len(key) <= MAX_KEY_CHARS:
            return None
        digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
        self._refresh()
        account = self.accounts_by_digest.get(digest)
        if account is None or not hmac.compare_digest(
            account.spec.key_sha256, digest
        ):
            return None
        return account

    def _refresh(self) -> None:
        current_state = (self.config.revision, self.config.content_hash)
        if self.indexed_state == current_state:
            return
        self.indexed_state = current_state
        # If two accounts have the same key, every instance assigns it to the
        # account whose name sorts first.
        sorted_accounts = sorted(
            self.config.of_kind("client_account"),
            key=lambda o: o.name,
            reverse=True,
        )
        self.accounts_by_digest = {
            o.spec.key_sha256: o for o in sorted_accounts
        }
