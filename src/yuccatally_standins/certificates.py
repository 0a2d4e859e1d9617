"""Self-signed certificates for tests, made with the standard library.

The keys are for one run: the arithmetic does not hide its timing.
"""

from __future__ import annotations

import base64
import dataclasses
import datetime
import hashlib
import ipaddress
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib

# The curve P-256 of FIPS 186.
P = 2**256 - 2**224 + 2**192 + 2**96 - 1
N = 0xFFFFFFFF00000000FFFFFFFFFFFFFFFFBCE6FAADA7179E84F3B9CAC2FC632551
G = (
    0x6B17D1F2E12C4247F8BCE6E563A440F277037D812DEB33A0F4A13945D898C296,
    0x4FE342E2FE1A7F9B8EE7EB4A7C0F9E162BCE33576B315ECECBB6406837BF51F5,
)
SIZE = 32

SEQUENCE, SET, INTEGER, BITS, OCTETS = 0x30, 0x31, 0x02, 0x03, 0x04
OBJECT_ID, UTF8, UTC_TIME, BOOLEAN = 0x06, 0x0C, 0x17, 0x01
EC_PUBLIC_KEY = "1.2.840.10045.2.1"
PRIME256V1 = "1.2.840.10045.3.1.7"
ECDSA_SHA256 = "1.2.840.10045.4.3.2"
COMMON_NAME = "2.5.4.3"
SUBJECT_ALT_NAME = "2.5.29.17"
BASIC_CONSTRAINTS = "2.5.29.19"

Point = tuple[int, int] | None


@dataclasses.dataclass(frozen=True)
class Files:
    """Files of a certificate and its key, in PEM."""

    certificate: pathlib.Path
    key: pathlib.Path


def write(folder: pathlib.Path, address: str) -> Files:
    """Writes a certificate that is its own authority.

    Args:
        folder: Folder for the files.
        address: IP address that the certificate is for.
    """
    private = secrets.randbelow(N - 1) + 1
    public = _encoded(_times(private, G))
    files = Files(folder / "certificate.pem", folder / "key.pem")
    files.certificate.write_text(
        _pem("CERTIFICATE", _certificate(private, public, address))
    )
    files.key.write_text(_pem("EC PRIVATE KEY", _private(private, public)))
    return files


def _certificate(private: int, public: bytes, address: str) -> bytes:
    now = datetime.datetime.now(datetime.UTC)
    day = datetime.timedelta(days=1)
    algorithm = _der(SEQUENCE, _oid(ECDSA_SHA256))
    name = _der(
        SEQUENCE,
        _der(SET, _der(SEQUENCE, _oid(COMMON_NAME), _der(UTF8, b"test"))),
    )
    ip = ipaddress.ip_address(address).packed
    alternative = _der(SEQUENCE, _der(0x87, ip))
    authority = _der(SEQUENCE, _der(BOOLEAN, b"\xff"))
    extensions = _der(
        SEQUENCE,
        _der(SEQUENCE, _oid(SUBJECT_ALT_NAME), _der(OCTETS, alternative)),
        _der(
            SEQUENCE,
            _oid(BASIC_CONSTRAINTS),
            _der(BOOLEAN, b"\xff"),
            _der(OCTETS, authority),
        ),
    )
    body = _der(
        SEQUENCE,
        _der(0xA0, _integer(2)),
        _integer(secrets.randbits(63) + 1),
        algorithm,
        name,
        _der(SEQUENCE, _time(now - day), _time(now + day)),
        name,
        _der(
            SEQUENCE,
            _der(SEQUENCE, _oid(EC_PUBLIC_KEY), _oid(PRIME256V1)),
            _der(BITS, b"\0", public),
        ),
        _der(0xA3, extensions),
    )
    signature = _signature(private, body)
    return _der(SEQUENCE, body, algorithm, _der(BITS, b"\0", signature))


def _private(private: int, public: bytes) -> bytes:
    return _der(
        SEQUENCE,
        _integer(1),
        _der(OCTETS, private.to_bytes(SIZE, "big")),
        _der(0xA0, _oid(PRIME256V1)),
        _der(0xA1, _der(BITS, b"\0", public)),
    )


def _signature(private: int, content: bytes) -> bytes:
    digest = int.from_bytes(hashlib.sha256(content).digest(), "big")
    while True:
        nonce = secrets.randbelow(N - 1) + 1
        point = _times(nonce, G)
        r = point[0] % N if point else 0
        s = pow(nonce, -1, N) * (digest + r * private) % N
        if r and s:
            return _der(SEQUENCE, _integer(r), _integer(s))


def _times(factor: int, point: Point) -> Point:
    total: Point = None
    while factor:
        if factor & 1:
            total = _plus(total, point)
        point = _plus(point, point)
        factor >>= 1
    return total


def _plus(one: Point, other: Point) -> Point:
    if one is None or other is None:
        return one or other
    (x1, y1), (x2, y2) = one, other
    if x1 == x2 and (y1 + y2) % P == 0:
        return None
    if one == other:
        slope = (3 * x1 * x1 - 3) * pow(2 * y1, -1, P)
    else:
        slope = (y2 - y1) * pow(x2 - x1, -1, P)
    x3 = (slope * slope - x1 - x2) % P
    return x3, (slope * (x1 - x3) - y1) % P


def _encoded(point: Point) -> bytes:
    if point is None:
        raise ValueError("the point at infinity is no public key")
    x, y = (value.to_bytes(SIZE, "big") for value in point)
    return b"\x04" + x + y


def _der(tag: int, *parts: bytes) -> bytes:
    content = b"".join(parts)
    length = len(content)
    if length < 0x80:
        return bytes([tag, length]) + content
    size = length.to_bytes((length.bit_length() + 7) // 8, "big")
    return bytes([tag, 0x80 | len(size)]) + size + content


def _integer(value: int) -> bytes:
    return _der(INTEGER, value.to_bytes(value.bit_length() // 8 + 1, "big"))


def _oid(text: str) -> bytes:
    first, second, *others = map(int, text.split("."))
    content = bytes([40 * first + second])
    for number in others:
        groups = [number & 0x7F]
        while number := number >> 7:
            groups.insert(0, number & 0x7F | 0x80)
        content += bytes(groups)
    return _der(OBJECT_ID, content)


def _time(moment: datetime.datetime) -> bytes:
    return _der(UTC_TIME, moment.strftime("%y%m%d%H%M%SZ").encode())


def _pem(label: str, content: bytes) -> str:
    encoded = base64.encodebytes(content).decode()
    return f"-----BEGIN {label}-----\n{encoded}-----END {label}-----\n"
