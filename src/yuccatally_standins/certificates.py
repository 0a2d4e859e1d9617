"""Certificates for tests, made by an authority that lives for one run."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trustme

if TYPE_CHECKING:
    import pathlib


@dataclasses.dataclass(frozen=True)
class CertificateFiles:
    """Files of a certificate, its key and its authority, in PEM."""

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path


def write_certificate(folder: pathlib.Path, address: str) -> CertificateFiles:
    """Writes a certificate and what is needed to use and to verify it.

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
