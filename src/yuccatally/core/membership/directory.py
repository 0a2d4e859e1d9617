"""Which addresses callers are given, in which order and for how long."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core import rendezvous
from yuccatally.core.membership import messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from yuccatally.core.membership import table

# Within the target of 3 s in which a leaving instance receives no new work,
# the news takes up to 1 s to reach the instance that a caller asks.
MAX_CACHE_S = 2.0
MIN_CACHE_S = 1.2
# Up to this many instances, an account is spread over all of them.
ACCOUNT_INSTANCE_COUNT = 8
# Addresses in other data centres, for when the own one is cut off.
MIN_REMOTE_COUNT = 2
LOAD_MAX_AGE_S = 10.0
# Instances whose load differs by less than this factor take turns.
LOAD_IMBALANCE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class Entry:
    """An address for callers."""

    name: str
    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class Directory:
    """Answer to ``GET /v1/instances``.

    Attributes:
        instances: Best first.
        keep_s: Time after which to ask again, in seconds.
    """

    instances: tuple[Entry, ...]
    keep_s: float


def eligible(
    records: Iterable[table.Record], own: str = ""
) -> list[table.Record]:
    """Returns the members that may be given new work.

    Nobody is left out for a suspicion while more than half are suspected,
    because then the fault is more likely on this side.

    Args:
        records: Living members.
        own: Name of this instance, which needs no evidence.
    """
    staying = [r for r in records if not r.update.leaving]
    trusted = [
        r
        for r in staying
        if r.state is messages.State.ALIVE or r.update.member.name == own
    ]
    return trusted if len(trusted) * 2 > len(staying) else staying


def account_instances(account: str, names: Iterable[str]) -> tuple[str, ...]:
    """Returns the instances that serve an account, by rendezvous hash.

    >>> len(account_instances("desk", [f"i{n}" for n in range(40)]))
    8
    """
    return rendezvous.ranked(account, names, ACCOUNT_INSTANCE_COUNT)


def build_directory(
    records: Iterable[table.Record],
    own: messages.Member,
    account: str,
    now: float,
    rng: random.Random,
) -> Directory:
    """Returns the addresses for a caller of this instance.

    Args:
        records: Living members, with this instance.
        own: This instance; its data centre is taken for the caller's.
        account: Name of the client account.
        now: Current time.
        rng: Source of the rotation, so that callers do not all choose the
            same instance or ask at the same time.
    """
    candidates = eligible(records, own.name)
    local_records = [
        r for r in candidates if r.update.member.data_centre == own.data_centre
    ]
    remote_records = [
        r for r in candidates if r.update.member.data_centre != own.data_centre
    ]
    local = _account_records(local_records, account)
    if len(candidates) <= ACCOUNT_INSTANCE_COUNT:
        remote = remote_records
    else:
        count = max(MIN_REMOTE_COUNT, ACCOUNT_INSTANCE_COUNT - len(local))
        remote = _account_records(remote_records, account)[:count]
    ordered = _order_by_load(local, now, rng) + _order_by_load(remote, now, rng)
    return Directory(
        tuple(
            Entry(m.name, m.callers_address, m.data_centre)
            for m in (r.update.member for r in ordered)
        ),
        round(rng.uniform(MIN_CACHE_S, MAX_CACHE_S), 3),
    )


def _account_records(
    records: list[table.Record], account: str
) -> list[table.Record]:
    by_name = {r.update.member.name: r for r in records}
    return [by_name[name] for name in account_instances(account, by_name)]


def _order_by_load(
    records: list[table.Record], now: float, rng: random.Random
) -> list[table.Record]:
    loads = {r.update.member.name: _recent_load(r, now) for r in records}
    typical = max(1.0, sorted(loads.values())[len(loads) // 2] if loads else 1)
    shuffled = rng.sample(records, len(records))
    return sorted(
        shuffled,
        key=lambda r: (
            loads[r.update.member.name] > LOAD_IMBALANCE_FACTOR * typical
        ),
    )


def _recent_load(record: table.Record, now: float) -> float:
    return record.load if now - record.received_at < LOAD_MAX_AGE_S else 0.0
