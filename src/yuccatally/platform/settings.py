"""Reads the settings file that the platform writes for an instance."""

from __future__ import annotations

import os
import pathlib
from typing import Any

import expression

from yuccatally.core import lenient
from yuccatally.core import strict
from yuccatally.core.forwarding import instance_settings

PATH_VARIABLE = "YUCCATALLY_NODE_FILE"
DEFAULT_PATH = "/etc/yuccatally/local.toml"
# The platform's name for engines and services that a whole fleet uses.
SHARED_POOL_CONTRACT = "pool"
MEGABYTE = 1024 * 1024
# The platform reserves these of ``limits.maxFds`` for files.
FILE_DESCRIPTOR_COUNT = 200
MIN_DESCRIPTOR_COUNT = 16


def file_path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load(
    file: pathlib.Path,
) -> expression.Result[
    instance_settings.InstanceSettings, tuple[strict.Problem, ...]
]:
    """Reads the settings file.

    Args:
        file: Path of the file.

    Returns:
        The settings, or the problems that prevent the instance from
        starting.
    """
    try:
        content = file.read_bytes()
    except OSError as error:
        problem = strict.Problem("", f"cannot be read: {error.strerror}")
        return expression.Error((problem,))
    decoded = strict.decode_toml(content)
    if decoded.is_error():
        return expression.Error((decoded.error,))
    return decode(decoded.ok)


def decode(
    raw: dict[str, Any],
) -> expression.Result[
    instance_settings.InstanceSettings, tuple[strict.Problem, ...]
]:
    """Translates the platform's settings.

    Unknown keys are ignored. If a key that has a default has an invalid value,
    the value is logged and the default is used; other invalid values are
    problems.

    Args:
        raw: Content of the file, decoded from TOML.

    Returns:
        The settings, or the problems.
    """
    reader = lenient.LenientReader(raw)
    zones = reader.table("zones")
    decoded = instance_settings.InstanceSettings(
        name=reader.text("nodeName"),
        data_centre=reader.text("zone"),
        region=reader.text("region", ""),
        regions={k: v for k, v in zones.items() if isinstance(v, str)},
        listen=instance_settings.ListenAddresses(
            callers=reader.address("listen.frontend"),
            readiness=reader.address("listen.ready"),
            peers=reader.address("listen.controlPlane"),
            directory=reader.address("listen.directoryService"),
        ),
        seeds=reader.addresses("seeds"),
        store=reader.address("platform.address"),
        bounds=_read_bounds(reader),
        metrics=_read_metrics_address(reader),
        shares_load=_has_contract(reader, SHARED_POOL_CONTRACT),
        link_mbps=reader.number("limits.linkMbps", 0.0),
        memory_bytes=_read_memory(reader),
        descriptor_count=_read_descriptors(reader),
    )
    if reader.problems:
        return expression.Error(tuple(reader.problems))
    return expression.Ok(decoded)


def _read_descriptors(reader: lenient.LenientReader) -> int:
    """Returns the number of descriptors for sockets."""
    default = instance_settings.DEFAULT_DESCRIPTOR_COUNT
    count = int(reader.number("limits.maxFds", default))
    return max(MIN_DESCRIPTOR_COUNT, count - FILE_DESCRIPTOR_COUNT)


def _read_bounds(reader: lenient.LenientReader) -> instance_settings.Bounds:
    default = instance_settings.Bounds()
    return instance_settings.Bounds(
        grace_s=reader.number("bounds.graceS", default.grace_s),
        retry_share=reader.number(
            "bounds.retryBudgetRatio", default.retry_share
        ),
        retry_reserve=reader.number(
            "bounds.retryHeadroom", default.retry_reserve
        ),
        retry_window_s=reader.number(
            "bounds.budgetWindowS", default.retry_window_s
        ),
        directory_ttl_s=reader.number(
            "bounds.ttl_max_s", default.directory_ttl_s
        ),
        fences_enforced=reader.value("bounds.fencingEnforced") is True,
    )


def _read_memory(reader: lenient.LenientReader) -> int:
    default_mb = instance_settings.DEFAULT_MEMORY_BYTES / MEGABYTE
    return int(reader.number("limits.memoryMb", default_mb) * MEGABYTE)


def _has_contract(reader: lenient.LenientReader, name: str) -> bool:
    """Returns whether the platform lists a part of its rules as in force."""
    contracts = reader.value("contracts")
    if contracts is not None and not isinstance(contracts, list):
        reader.ignore("contracts", "expected a list of names")
        return False
    return name in (contracts or ())


def _read_metrics_address(reader: lenient.LenientReader) -> str:
    """Returns the first internal address of the instance; empty for none."""
    ports = reader.value("internalPorts")
    ip = reader.text("ip", "")
    if not ip or not isinstance(ports, list) or not ports:
        return ""
    if not isinstance(ports[0], int):
        reader.ignore("internalPorts", "expected two port numbers")
        return ""
    return f"{ip}:{ports[0]}"
