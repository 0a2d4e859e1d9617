"""Shares the limits of client accounts with the other instances."""

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

# Loans last for four rounds, so that one lost exchange costs little.
ROUND_S = limits.LOAN_TERM_S / 4
TIMEOUT_S = 0.5
# Peers asked in one round; the cost does not grow with the fleet.
FANOUT = 2
MAX_LOAN_REQUESTS = 256

_log = structlog.get_logger()


class Part(msgspec.Struct, array_like=True, frozen=True):
    """Units per second of one limit of an account."""

    account: str
    unit: str
    rate: float


class UsageReply(msgspec.Struct, array_like=True, frozen=True):
    """Loans for ``limits.LOAN_TERM_S``, counted from the request."""

    loans: list[Part]


class Usage(msgspec.Struct, array_like=True, frozen=True):
    """Demand above an instance's own parts."""

    reply: ClassVar[type] = UsageReply

    sender: str
    loan_requests: list[Part]


class UsageExchange:
    """Asks peers for parts of limits that they do not need."""

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
        peers.register(Usage, self.answer)

    async def run(self) -> None:
        """Adapts the parts to demand until it is cancelled."""
        while True:
            await asyncio.sleep(ROUND_S * (0.75 + random.random() / 2))
            members = self.members()
            self.limits.set_members(max(1, len(members)), time.monotonic())
            peers = [
                m for m in members if m.name != self.name and not m.leaving
            ]
            asked = random.sample(peers, min(FANOUT, len(peers)))
            # One after the other, so that the second is asked for the rest.
            for peer in asked:
                await self._ask(peer)

    def answer(self, message: Any) -> UsageReply:
        """Lends what this instance does not need."""
        now = time.monotonic()
        return UsageReply(
            [
                Part(loan.account, part.unit, loan.rate)
                for part in message.loan_requests[:MAX_LOAN_REQUESTS]
                if part.unit in limits.UNITS
                for loan in self.limits.lend(
                    part.unit,
                    [limits.LoanRequest(part.account, part.rate)],
                    now,
                )
            ]
        )

    async def _ask(self, peer: client.Member) -> None:
        asked_at = time.monotonic()
        loan_requests = [
            Part(loan_request.account, unit, loan_request.demand)
            for unit, listed in self.limits.loan_requests(asked_at).items()
            for loan_request in listed
        ]
        if not loan_requests:
            return
        message = Usage(self.name, loan_requests[:MAX_LOAN_REQUESTS])
        try:
            reply = await self.transport.exchange(
                peer.peers_address, message, TIMEOUT_S
            )
        except transport.PeerError as error:
            _log.debug("usage_not_exchanged", peer=peer.name, error=str(error))
            return
        now = time.monotonic()
        for part in reply.loans[:MAX_LOAN_REQUESTS]:
            loan = limits.Loan(part.account, part.rate)
            self.limits.borrow(part.unit, [loan], asked_at, now)
