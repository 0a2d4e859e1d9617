"""Reads and writes of a lease object."""

from __future__ import annotations

import dataclasses
import time

import msgspec

from yuccatally.core.control import lease
from yuccatally.store import client

KIND = "lease"
# A renewal is due every second or less often.
UNAVAILABLE_DELAY_S = 1.0


async def run_step(
    store: client.StoreClient,
    name: str,
    held: lease.Lease,
    wanted: bool,
) -> None:
    """Makes the call that a lease is due for, if any.

    Args:
        store: The platform's store.
        name: Name of the lease object.
        held: The lease.
        wanted: Whether this instance should hold it.

    Raises:
        client.StoreError: The call did not succeed; the lease knows of it.
    """
    match held.step(boot_time_s(), wanted):
        case lease.Read():
            await _read(store, name, held)
        case lease.Write() as write:
            await _write(store, name, held, write)
        case None:
            pass


async def release(
    store: client.StoreClient, name: str, held: lease.Lease
) -> None:
    """Gives a lease up if it is held.

    Raises:
        client.StoreError: The call did not succeed.
    """
    due = held.step(boot_time_s(), candidate=False)
    if isinstance(due, lease.Write):
        await _write(store, name, held, due)


def boot_time_s() -> float:
    """Returns seconds of a clock that also runs while the host sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def _read(
    store: client.StoreClient, name: str, held: lease.Lease
) -> None:
    try:
        stored = await store.get(KIND, name)
        record = msgspec.convert(stored.spec, lease.Record)
    except client.NotFoundError:
        held.on_read(None, 0, boot_time_s())
    except msgspec.ValidationError as error:
        held.on_unavailable(boot_time_s(), UNAVAILABLE_DELAY_S)
        raise client.StoreError(f"{KIND}/{name}: {error}") from error
    except client.StoreError:
        held.on_unavailable(boot_time_s(), UNAVAILABLE_DELAY_S)
        raise
    else:
        held.on_read(record, stored.version, boot_time_s())


async def _write(
    store: client.StoreClient,
    name: str,
    held: lease.Lease,
    write: lease.Write,
) -> None:
    started_at = boot_time_s()
    spec = dataclasses.asdict(write.record)
    try:
        stored = await store.put(KIND, name, spec, {}, write.version)
    except client.ConflictError:
        held.on_conflict()
    except client.UncertainError:
        held.on_uncertain(write.record, started_at)
        raise
    except client.StoreError:
        held.on_unavailable(boot_time_s(), UNAVAILABLE_DELAY_S)
        raise
    else:
        held.on_written(write.record, stored.version, started_at)
