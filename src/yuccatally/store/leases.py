"""Reads and writes lease objects in the platform's store."""

from __future__ import annotations

import dataclasses
import time

from yuccatally.core.control import lease
from yuccatally.core.objects import content
from yuccatally.store import client

KIND = "lease"
# Delay before the next call after a failure. Renewals are at least a second
# apart.
UNAVAILABLE_DELAY_S = 1.0


async def run_step(
    store: client.StoreClient,
    name: str,
    own_lease: lease.Lease,
    candidate: bool,
) -> None:
    """Makes the read or write that is due for a lease, if any.

    Args:
        store: The platform's store.
        name: Name of the lease object.
        own_lease: State of the lease as seen by this instance.
        candidate: Whether this instance should hold the lease.

    Raises:
        client.StoreError: The call failed; ``own_lease`` has recorded it.
    """
    _apply_epoch(store, own_lease)
    match own_lease.next_call(boot_time_s(), candidate):
        case lease.Read():
            await _read(store, name, own_lease)
        case lease.Write() as write:
            await _write(store, name, own_lease, write)
        case None:
            pass


async def release(
    store: client.StoreClient, name: str, own_lease: lease.Lease
) -> None:
    """Releases a lease if this instance holds it.

    Raises:
        client.StoreError: The call failed.
    """
    due = own_lease.next_call(boot_time_s(), candidate=False)
    if isinstance(due, lease.Write):
        await _write(store, name, own_lease, due)


def boot_time_s() -> float:
    """Returns seconds of a clock that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _apply_epoch(store: client.StoreClient, own_lease: lease.Lease) -> None:
    if store.epoch is not None:
        own_lease.apply_epoch(store.epoch, boot_time_s())


async def _read(
    store: client.StoreClient, name: str, own_lease: lease.Lease
) -> None:
    try:
        stored = await store.get(KIND, name)
        record = content.decode(stored.spec, lease.Record)
    except client.NotFoundError:
        _apply_epoch(store, own_lease)
        own_lease.apply_read(None, 0, boot_time_s())
    except content.DECODE_ERRORS as error:
        own_lease.apply_unavailable(boot_time_s(), UNAVAILABLE_DELAY_S)
        raise client.StoreError(f"{KIND}/{name}: {error}") from error
    except client.StoreError:
        own_lease.apply_unavailable(boot_time_s(), UNAVAILABLE_DELAY_S)
        raise
    else:
        _apply_epoch(store, own_lease)
        own_lease.apply_read(record, stored.version, boot_time_s())


async def _write(
    store: client.StoreClient,
    name: str,
    own_lease: lease.Lease,
    write: lease.Write,
) -> None:
    started_at = boot_time_s()
    spec = dataclasses.asdict(write.record)
    try:
        stored = await store.put(KIND, name, spec, {}, write.version)
    except (client.ConflictError, client.NotFoundError):
        # A restored store may not have the object.
        _apply_epoch(store, own_lease)
        own_lease.apply_conflict()
    except client.UncertainError:
        own_lease.apply_lost_reply(write.record, started_at)
        raise
    except client.StoreError:
        own_lease.apply_unavailable(boot_time_s(), UNAVAILABLE_DELAY_S)
        raise
    else:
        _apply_epoch(store, own_lease)
        own_lease.apply_write(write.record, stored.version, started_at)
