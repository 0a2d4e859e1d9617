"""Settings of one instance, read from a TOML file."""

from __future__ import annotations

import dataclasses
import ipaddress
import pathlib
import ssl
from typing import TYPE_CHECKING
from typing import Any

import expression

from yuccatally.core import strict
from yuccatally.core.objects import kinds
from yuccatally.core.objects import specs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

LOG_LEVELS = ("debug", "info", "warning", "error")
MIN_SECRET_LENGTH = 16
SETTINGS_BYTES = 65_536

Finding = tuple[str, str]


def split_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT``.

    Raises:
        ValueError: The address has another form.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    if not specs.ADDRESS_PATTERN.fullmatch(address):
        raise ValueError(f"expected IP:PORT, found {address!r}")
    host, _, port = address.rpartition(":")
    if not 0 < int(port) < 65_536:
        raise ValueError(f"port of {address!r} is out of range")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    return host, int(port)


def _address(value: str) -> str:
    try:
        host, _ = split_address(value)
    except ValueError as error:
        return str(error)
    if ipaddress.ip_address(host).is_unspecified:
        return f"{host} cannot be announced; name one address of this host"
    return ""


def _addresses(values: tuple[str, ...]) -> str:
    problems = [p for p in map(_address, values) if p]
    return problems[0] if problems else ""


def _name(value: str) -> str:
    if kinds.NAME_PATTERN.fullmatch(value):
        return ""
    return "expected 1 to 63 lower-case letters, digits and hyphens"


def _log_level(value: str) -> str:
    known = ", ".join(LOG_LEVELS)
    return "" if value in LOG_LEVELS else f"expected one of {known}"


def _digest(value: str) -> str:
    if not value or specs.SHA256_PATTERN.fullmatch(value):
        return ""
    return "expected 64 lower-case hexadecimal digits"


def _secret(value: str) -> str:
    if not value or len(value) >= MIN_SECRET_LENGTH:
        return ""
    return f"expected at least {MIN_SECRET_LENGTH} characters"


def _file(value: str) -> str:
    try:
        if value:
            with pathlib.Path(value).open("rb"):
                pass
    except (OSError, ValueError) as error:
        return f"cannot be read: {error}"
    return ""


def _range(low: float, high: float) -> Callable[[float], str]:
    def check(value: float) -> str:
        # Written so that NaN, which compares false to everything, is refused.
        if low <= value <= high:
            return ""
        return f"must be from {low} to {high}, found {value}"

    return check


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Identity of the instance.

    Attributes:
        name: Unique name.
        data_centre: Data centre it runs in.
        region: Region of the data centre.
        log_level: Lowest level that is logged.
    """

    name: str = strict.checked(_name)
    data_centre: str = strict.checked(_name)
    region: str = strict.checked(_name, "default")
    log_level: str = strict.checked(_log_level, "info")


@dataclasses.dataclass(frozen=True)
class ListenerSettings:
    """An HTTP listener.

    Attributes:
        address: ``IP:PORT`` to listen on and to announce.
        certificate_file: PEM certificate chain; empty for plain HTTP.
        key_file: PEM private key of the certificate.
    """

    address: str = strict.checked(_address)
    certificate_file: str = strict.checked(_file, "")
    key_file: str = strict.checked(_file, "")

    def problems(self) -> Iterator[Finding]:
        """Yields what is wrong with the combination of values."""
        if self.certificate_file and self.key_file:
            yield from self._pair()
        if self.certificate_file and not self.key_file:
            yield "key_file", "is required because certificate_file is set"
        if self.key_file and not self.certificate_file:
            yield "certificate_file", "is required because key_file is set"

    def _pair(self) -> Iterator[Finding]:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            context.load_cert_chain(self.certificate_file, self.key_file)
        except (OSError, ValueError) as error:
            reason = getattr(error, "reason", None) or error
            message = f"does not form a pair with key_file: {reason}"
            yield "certificate_file", message


@dataclasses.dataclass(frozen=True)
class OperatorsSettings(ListenerSettings):
    """The operators' listener.

    Attributes:
        key_sha256: SHA-256 of the operators' key; empty disables the check.
        authority_file: PEM certificates that other instances' operators'
            listeners are verified against; empty for those of the system.
    """

    key_sha256: str = strict.checked(_digest, "")
    authority_file: str = strict.checked(_file, "")


@dataclasses.dataclass(frozen=True)
class PeersSettings:
    """The listener for other instances.

    Attributes:
        address: ``IP:PORT`` to listen on and to announce.
        key: Secret that all instances of a site share; empty for none.
        seeds: ``IP:PORT`` of other instances, for starts while the platform
            is unavailable.
    """

    address: str = strict.checked(_address)
    key: str = strict.checked(_secret, "", secret=True)
    seeds: tuple[str, ...] = strict.checked(_addresses, ())


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """The platform's object API.

    Attributes:
        address: ``IP:PORT``.
        watch_wait_s: Longest wait of one watch call, in seconds. A watch that
            falls silent is noticed after this time.
    """

    address: str = strict.checked(_address)
    watch_wait_s: float = strict.checked(_range(0.1, 300), 5.0)


@dataclasses.dataclass(frozen=True)
class LimitsSettings:
    """Limits of one instance.

    Attributes:
        body_bytes: Longest request body, in bytes.
        response_bytes: Longest answer of a service, in bytes.
        header_bytes: Longest request line and headers together, in bytes.
        header_timeout_s: Longest time from the first byte of a request, or
            from the connection, to the end of its headers, in seconds.
        body_timeout_s: Longest time from the end of the headers to the end
            of the body, in seconds.
        write_timeout_s: Longest time in which a caller takes nothing of an
            answer that waits for it, in seconds.
        request_timeout_s: Deadline of a request that states none, in seconds.
        connections: Most open connections of one listener.
    """

    body_bytes: int = strict.checked(_range(1_024, 67_108_864), 1_048_576)
    response_bytes: int = strict.checked(_range(1_024, 67_108_864), 8_388_608)
    header_bytes: int = strict.checked(_range(1_024, 1_048_576), 32_768)
    header_timeout_s: float = strict.checked(_range(0.1, 600), 10.0)
    body_timeout_s: float = strict.checked(_range(0.1, 3_600), 60.0)
    write_timeout_s: float = strict.checked(_range(0.1, 3_600), 60.0)
    request_timeout_s: float = strict.checked(_range(0.1, 3_600), 60.0)
    connections: int = strict.checked(_range(16, 1_000_000), 8_192)


@dataclasses.dataclass(frozen=True)
class RoutingSettings:
    """Routing and admission.

    Attributes:
        policy: ``work`` weighs outstanding work, reports, cache and links;
            ``least-outstanding`` and ``round-robin`` are for comparison.
        demand: Whether the queued work of a request is estimated from what
            its account used so far instead of from its token limit.
        limits: Whether the sequences on an engine are limited, so that other
            requests wait at admission in the order of their class. Without,
            every request starts at once; for comparison.
        queue: Greatest number of requests that wait for an engine.
    """

    policy: str = "work"
    demand: bool = True
    limits: bool = True
    queue: int = 512

    def __post_init__(self) -> None:
        known = ("work", "least-outstanding", "round-robin")
        if self.policy not in known:
            raise ValueError(f"policy: expected one of {', '.join(known)}")
        if self.queue < 1:
            raise ValueError("queue: must be at least 1")


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one instance."""

    instance: InstanceSettings
    callers: ListenerSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    limits: LimitsSettings = LimitsSettings()
    routing: RoutingSettings = RoutingSettings()

    @classmethod
    def from_config(
        cls, table: dict[str, Any]
    ) -> expression.Result[Settings, tuple[strict.Problem, ...]]:
        """Builds settings from a decoded TOML table.

        Returns:
            The settings, or every problem found.
        """
        converted = strict.convert(table, cls)
        clashes = tuple(_clashes(table))
        if not clashes:
            return converted
        others = converted.error if converted.is_error() else ()
        return expression.Error((*others, *clashes))

    @classmethod
    def from_file(
        cls, path: pathlib.Path
    ) -> expression.Result[Settings, tuple[strict.Problem, ...]]:
        """Reads and checks a TOML file."""
        loaded = read_toml(path, SETTINGS_BYTES)
        if loaded.is_error():
            return expression.Error((loaded.error,))
        return cls.from_config(loaded.ok)


def read_toml(
    path: pathlib.Path, limit_bytes: int
) -> expression.Result[dict[str, Any], strict.Problem]:
    """Reads a TOML file of bounded length."""
    try:
        with path.open("rb") as opened:
            content = opened.read(limit_bytes + 1)
    except OSError as error:
        message = f"cannot be read: {error.strerror or error}"
        return expression.Error(strict.Problem("", message))
    if len(content) > limit_bytes:
        message = f"is longer than {limit_bytes} bytes"
        return expression.Error(strict.Problem("", message))
    return strict.decode_toml(content)


def _clashes(table: Any) -> Iterator[strict.Problem]:
    """Yields addresses that are used twice.

    Works on the decoded table, so that clashes are reported together with
    problems that keep the settings from being built.
    """
    seen: dict[str, str] = {}
    if not isinstance(table, dict):
        return
    for key in ("callers", "operators", "peers", "platform"):
        section = table.get(key)
        address = section.get("address") if isinstance(section, dict) else None
        if not isinstance(address, str):
            continue
        if address in seen:
            message = f"{address} is also used by {seen[address]}.address"
            yield strict.Problem(f"{key}.address", message)
        seen.setdefault(address, key)
