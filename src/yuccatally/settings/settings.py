"""Settings of one instance, read from a TOML file."""

from __future__ import annotations

import dataclasses
import re
import tomllib
from typing import TYPE_CHECKING
from typing import Any

import expression

from yuccatally.core import strict

if TYPE_CHECKING:
    import pathlib

ADDRESS_PATTERN = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}")


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Identity of the instance.

    Attributes:
        name: Unique name.
        data_centre: Data centre it runs in.
        region: Region of the data centre.
    """

    name: str
    data_centre: str
    region: str = "default"


@dataclasses.dataclass(frozen=True)
class ListenerSettings:
    """A listener.

    Attributes:
        address: ``IP:PORT`` to listen on and to announce.
    """

    address: str

    def __post_init__(self) -> None:
        split_address(self.address)


@dataclasses.dataclass(frozen=True)
class OperatorsSettings:
    """The operators' listener.

    Attributes:
        address: ``IP:PORT`` to listen on.
        key_sha256: SHA-256 of the operators' key; empty disables the check.
    """

    address: str
    key_sha256: str = ""

    def __post_init__(self) -> None:
        split_address(self.address)


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """The platform's object API.

    Attributes:
        address: ``IP:PORT``.
        watch_wait_s: Longest wait of one watch call, in seconds.
    """

    address: str
    watch_wait_s: float = 10.0

    def __post_init__(self) -> None:
        split_address(self.address)
        if not 0.1 <= self.watch_wait_s <= 300:
            raise ValueError("watch_wait_s: must be from 0.1 to 300")


@dataclasses.dataclass(frozen=True)
class LimitsSettings:
    """Limits of one instance.

    Attributes:
        body_bytes: Longest request body, in bytes.
        response_bytes: Longest answer of a service, in bytes.
        request_timeout_s: Deadline of a request that states none, in seconds.
    """

    body_bytes: int = 1_048_576
    response_bytes: int = 8_388_608
    request_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one instance."""

    instance: InstanceSettings
    callers: ListenerSettings
    operators: OperatorsSettings
    peers: ListenerSettings
    platform: PlatformSettings
    limits: LimitsSettings = LimitsSettings()

    @classmethod
    def from_config(
        cls, table: dict[str, Any]
    ) -> expression.Result[Settings, tuple[strict.Problem, ...]]:
        """Builds settings from a decoded TOML table.

        Returns:
            The settings, or every problem found.
        """
        converted = strict.convert(table, cls)
        if converted.is_error():
            return converted
        clashes = tuple(_clashes(converted.ok))
        return expression.Error(clashes) if clashes else converted

    @classmethod
    def from_file(
        cls, path: pathlib.Path
    ) -> expression.Result[Settings, tuple[strict.Problem, ...]]:
        """Reads and checks a TOML file."""
        try:
            table = tomllib.loads(path.read_text())
        except (OSError, UnicodeDecodeError) as error:
            return expression.Error((strict.Problem("", str(error)),))
        except tomllib.TOMLDecodeError as error:
            problem = strict.Problem("", f"not valid TOML: {error}")
            return expression.Error((problem,))
        return cls.from_config(table)


def split_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT``.

    Raises:
        ValueError: The address has another form.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    if not ADDRESS_PATTERN.fullmatch(address):
        raise ValueError(f"address: expected IP:PORT, found {address!r}")
    host, _, port = address.rpartition(":")
    if not 0 < int(port) < 65_536:
        raise ValueError(f"address: port of {address!r} is out of range")
    return host.strip("[]"), int(port)


def _clashes(settings: Settings) -> list[strict.Problem]:
    seen: dict[str, str] = {}
    problems = []
    for key in ("callers", "operators", "peers", "platform"):
        address = getattr(settings, key).address
        if address in seen:
            message = f"{address} is also used by {seen[address]}.address"
            problems.append(strict.Problem(f"{key}.address", message))
        seen.setdefault(address, key)
    return problems
