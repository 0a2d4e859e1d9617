"""Certificates for tests, signed by an authority created for each call."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trustme

if TYPE_CHECKING:
    import pathlib


@dataclasses.dataclass(frozen=True)
class CertificateFiles:
    """PEM files of a certificate.

    Attributes:
        certificate: Certificate chain.
        key: Private key.
        authority: Certificate of the authority that signed the chain.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path


def write_certificate(folder: pathlib.Path, address: str) -> CertificateFiles:
    """Writes a certificate, its private key and its authority.

    Args:
        folder: Folder for the files.
        address: IP address that the certificate is for.
    """
    authority = trustme.CA()
    issued = authority.issue_cert(address)
    files = CertificateFiles(
        folder / "certificate.pem",
        folder / "key.pem",
        folder / "authority.pem",
    )
    chain = b"".join(p.bytes() for p in issued.cert_chain_pems)
    files.certificate.write_bytes(chain)
    issued.private_key_pem.write_to_path(files.key)
    authority.cert_pem.write_to_path(files.authority)
    return files
