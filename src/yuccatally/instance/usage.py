"""Shares the limits of client accounts among the instances."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

import msgspec
import structlog

from yuccatally.core.admission import limits
from yuccatally.peers import transport

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccatally.store import client

# A loan lasts four rounds, so that one failed exchange has little effect.
ROUND_INTERVAL_S = limits.LOAN_TERM_S / 4
EXCHANGE_TIMEOUT_S = 0.5
# Peers queried in each round. It is constant, so that the cost for an instance
# does not grow with the number of instances.
FANOUT_COUNT = 2
MAX_LOAN_REQUEST_COUNT = 256

_log = structlog.get_logger()


class LimitShare(msgspec.Struct, array_like=True, frozen=True):
    """Share of one limit of an account, in units per second."""

    account: str
    unit: str
    rate: float


class UsageReply(msgspec.Struct, array_like=True, frozen=True):
    """Loans for ``limits.LOAN_TERM_S``, counted from the request."""

    loans: list[LimitShare]


class Usage(msgspec.Struct, array_like=True, frozen=True):
    """Demand of an instance above its own shares."""

    reply: ClassVar[type] = UsageReply

    sender: str
    loan_requests: list[LimitShare]


class UsageExchange:
    """Borrows shares of limits that peers do not need, and lends to peers."""

    def __init__(
        self,
        name: str,
        shared: limits.Limits,
        peers: transport.PeerTransport,
        members: Callable[[], tuple[client.Member, ...]],
    ) -> None:
        self.name = name
        self.limits = shared
        self.transport = peers
        self.members = members
        peers.register(Usage, self.handle_usage)

    async def run(self) -> None:
        """Adapts the shares to the demand until cancelled."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S * (0.75 + random.random() / 2))
            members = self.members()
            self.limits.set_members(max(1, len(members)), time.monotonic())
            peers = [
                m for m in members if m.name != self.name and not m.leaving
            ]
            chosen_peers = random.sample(peers, min(FANOUT_COUNT, len(peers)))
            # Sequential, so that the second request covers only the rest.
            for peer in chosen_peers:
                await self._borrow_from(peer)

    def handle_usage(self, message: Any) -> UsageReply:
        """Lends shares that this instance does not need."""
        now = time.monotonic()
        return UsageReply(
            [
                LimitShare(loan.account, share.unit, loan.rate)
                for share in message.loan_requests[:MAX_LOAN_REQUEST_COUNT]
                if share.unit in limits.UNITS
                for loan in self.limits.lend(
                    share.unit,
                    [limits.LoanRequest(share.account, share.rate)],
                    now,
                )
            ]
        )

    async def _borrow_from(self, peer: client.Member) -> None:
        requested_at = time.monotonic()
        loan_requests = [
            LimitShare(loan_request.account, unit, loan_request.demand)
            for unit, unit_requests in self.limits.loan_requests(
                requested_at
            ).items()
            for loan_request in unit_requests
        ]
        if not loan_requests:
            return
        message = Usage(self.name, loan_requests[:MAX_LOAN_REQUEST_COUNT])
        try:
            reply = await self.transport.exchange(
                peer.peers_address, message, EXCHANGE_TIMEOUT_S
            )
        except transport.PeerError as error:
            _log.debug(
                "usage_exchange_failed", peer=peer.name, error=str(error)
            )
            return
        now = time.monotonic()
        for share in reply.loans[:MAX_LOAN_REQUEST_COUNT]:
            loan = limits.Loan(share.account, share.rate)
            self.limits.borrow(share.unit, [loan], requested_at, now)
