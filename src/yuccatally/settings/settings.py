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
MAX_SETTINGS_BYTES = 65_536

# Key within a section and what is wrong with its value.
KeyProblem = tuple[str, str]


def split_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT``.

    Raises:
        ValueError: ``address`` is not an IP address and a valid port.

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


def _check_address(value: str) -> str:
    try:
        host, _ = split_address(value)
    except ValueError as error:
        return str(error)
    if ipaddress.ip_address(host).is_unspecified:
        return f"{host} cannot be announced; name one address of this host"
    return ""


def _check_addresses(values: tuple[str, ...]) -> str:
    problems = [p for p in map(_check_address, values) if p]
    return problems[0] if problems else ""


def _check_name(value: str) -> str:
    if kinds.NAME_PATTERN.fullmatch(value):
        return ""
    return "expected 1 to 63 lower-case letters, digits and hyphens"


def _check_log_level(value: str) -> str:
    known = ", ".join(LOG_LEVELS)
    return "" if value in LOG_LEVELS else f"expected one of {known}"


def _check_digest(value: str) -> str:
    if not value or specs.SHA256_PATTERN.fullmatch(value):
        return ""
    return "expected 64 lower-case hexadecimal digits"


def _check_secret(value: str) -> str:
    if not value or len(value) >= MIN_SECRET_LENGTH:
        return ""
    return f"expected at least {MIN_SECRET_LENGTH} characters"


def _check_file(value: str) -> str:
    try:
        if value:
            with pathlib.Path(value).open("rb"):
                pass
    except (OSError, ValueError) as error:
        return f"cannot be read: {error}"
    return ""


def _check_range(low: float, high: float) -> Callable[[float], str]:
    def check(value: float) -> str:
        # NaN compares false to every number, so this form rejects it.
        if low <= value <= high:
            return ""
        return f"must be from {low} to {high}, found {value}"

    return check


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Identity of the instance.

    Attributes:
        name: Unique name of the instance.
        data_centre: Data centre that the instance runs in.
        region: Region of the data centre.
        log_level: Minimum level that is logged.
    """

    name: str = strict.checked(_check_name)
    data_centre: str = strict.checked(_check_name)
    region: str = strict.checked(_check_name, "default")
    log_level: str = strict.checked(_check_log_level, "info")


@dataclasses.dataclass(frozen=True)
class ListenerSettings:
    """An HTTP listener.

    Attributes:
        address: ``IP:PORT`` to listen on and to announce.
        certificate_file: PEM certificate chain; empty for plain HTTP.
        key_file: PEM private key of the certificate.
    """

    address: str = strict.checked(_check_address)
    certificate_file: str = strict.checked(_check_file, "")
    key_file: str = strict.checked(_check_file, "")

    def problems(self) -> Iterator[KeyProblem]:
        """Yields problems that concern more than one value."""
        if self.certificate_file and self.key_file:
            yield from self._check_key_pair()
        if self.certificate_file and not self.key_file:
            yield "key_file", "is required because certificate_file is set"
        if self.key_file and not self.certificate_file:
            yield "certificate_file", "is required because key_file is set"

    def _check_key_pair(self) -> Iterator[KeyProblem]:
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
            listeners are verified against; empty for the system's
            certificates.
    """

    key_sha256: str = strict.checked(_check_digest, "")
    authority_file: str = strict.checked(_check_file, "")


@dataclasses.dataclass(frozen=True)
class PeersSettings:
    """The listener for messages of other instances.

    Attributes:
        address: ``IP:PORT`` to listen on and to announce.
        key: Secret that all instances share; empty for none.
        seeds: ``IP:PORT`` of other instances, to join when the platform is
            unavailable at the start.
    """

    address: str = strict.checked(_check_address)
    key: str = strict.checked(_check_secret, "", secret=True)
    seeds: tuple[str, ...] = strict.checked(_check_addresses, ())


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """The platform's object API.

    Attributes:
        address: ``IP:PORT`` of the platform.
        watch_wait_s: Maximum wait of one watch call, in seconds. A watch that
            does not respond is detected after this time.
    """

    address: str = strict.checked(_check_address)
    watch_wait_s: float = strict.checked(_check_range(0.1, 300), 5.0)


@dataclasses.dataclass(frozen=True)
class LimitsSettings:
    """Limits of one instance.

    Attributes:
        body_bytes: Maximum size of a request body, in bytes.
        response_bytes: Maximum size of a response of a service, in bytes.
        header_bytes: Maximum size of request line and headers, in bytes.
        header_timeout_s: Maximum time from the first byte of a request, or
            from the connection, to the end of the headers, in seconds.
        body_timeout_s: Maximum time from the end of the headers to the end
            of the body, in seconds.
        write_timeout_s: Maximum time that a response waits while the caller
            reads nothing of it, in seconds.
        request_timeout_s: Deadline of a request that sets none, in seconds.
        connections: Maximum number of open connections of one listener.
        memory_bytes: Memory of the machine for the process, in bytes. An
            eighth of it may hold requests and unread answers of clients.
    """

    body_bytes: int = strict.checked(_check_range(1_024, 67_108_864), 1_048_576)
    response_bytes: int = strict.checked(
        _check_range(1_024, 67_108_864), 8_388_608
    )
    header_bytes: int = strict.checked(_check_range(1_024, 1_048_576), 32_768)
    header_timeout_s: float = strict.checked(_check_range(0.1, 600), 10.0)
    body_timeout_s: float = strict.checked(_check_range(0.1, 3_600), 60.0)
    write_timeout_s: float = strict.checked(_check_range(0.1, 3_600), 60.0)
    request_timeout_s: float = strict.checked(_check_range(0.1, 3_600), 60.0)
    connections: int = strict.checked(_check_range(16, 1_000_000), 8_192)
    memory_bytes: int = strict.checked(
        _check_range(67_108_864, 1_099_511_627_776), 209_715_200
    )


@dataclasses.dataclass(frozen=True)
class RoutingSettings:
    """Routing and admission.

    Attributes:
        policy: ``work`` weighs outstanding work, load reports, cache and
            links; ``least-outstanding`` and ``round-robin`` exist for
            comparison.
        demand: Whether the queued work of a request is estimated from the
            past usage of its client account instead of its token limit.
        limits: Whether the number of sequences on an engine is limited, so
            that other requests wait at admission in the order of their
            class. Otherwise every request starts immediately; for
            comparison.
        queue: Maximum number of requests that wait for an engine.
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
            The settings, or all problems.
        """
        converted = strict.convert(table, cls)
        duplicates = tuple(_duplicate_addresses(table))
        if not duplicates:
            return converted
        others = converted.error if converted.is_error() else ()
        return expression.Error((*others, *duplicates))

    @classmethod
    def from_file(
        cls, path: pathlib.Path
    ) -> expression.Result[Settings, tuple[strict.Problem, ...]]:
        """Reads and validates a TOML file."""
        loaded = read_toml(path, MAX_SETTINGS_BYTES)
        if loaded.is_error():
            return expression.Error((loaded.error,))
        return cls.from_config(loaded.ok)


def read_toml(
    path: pathlib.Path, limit_bytes: int
) -> expression.Result[dict[str, Any], strict.Problem]:
    """Reads a TOML file of at most ``limit_bytes``."""
    try:
        with path.open("rb") as file:
            content = file.read(limit_bytes + 1)
    except OSError as error:
        message = f"cannot be read: {error.strerror or error}"
        return expression.Error(strict.Problem("", message))
    if len(content) > limit_bytes:
        message = f"is longer than {limit_bytes} bytes"
        return expression.Error(strict.Problem("", message))
    return strict.decode_toml(content)


def _duplicate_addresses(table: Any) -> Iterator[strict.Problem]:
    """Yields a problem for each use of an address after the first.

    The check uses the decoded table, so that duplicates are reported together
    with problems that prevent the settings from being built.
    """
    used_by: dict[str, str] = {}
    if not isinstance(table, dict):
        return
    for key in ("callers", "operators", "peers", "platform"):
        section = table.get(key)
        address = section.get("address") if isinstance(section, dict) else None
        if not isinstance(address, str):
            continue
        if address in used_by:
            message = f"{address} is also used by {used_by[address]}.address"
            yield strict.Problem(f"{key}.address", message)
        used_by.setdefault(address, key)
