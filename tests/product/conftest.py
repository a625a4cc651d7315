"""An authority made for the test, and certificates that it signs."""

import datetime
import ipaddress
from collections.abc import Callable
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from caperridge.tls import TlsFiles
from cli.conftest import run_here  # noqa: F401 - a fixture for the tests here

LOOPBACK = ipaddress.ip_address("127.0.0.1")
DAY = datetime.timedelta(days=1)


class Authority:
    """Signs certificates and writes them into one directory."""

    def __init__(self, directory: Path, name: str = "authority") -> None:
        self._directory = directory
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._build(self._name, self._key, authority=True)
        self.file = self._write(f"{name}.pem", certificate)

    def issue(self, name: str, with_authority: bool = False) -> TlsFiles:
        """Return the files of a certificate for loopback."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._write(f"{name}.pem", self._build(subject, key))
        data = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        key_file = self._directory / f"{name}.key"
        key_file.write_bytes(data)
        authority = self.file if with_authority else ""
        return TlsFiles(certificate, str(key_file), authority)

    def _build(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        authority: bool = False,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(authority, None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(LOOPBACK)]), critical=False
            )
        )
        return builder.sign(self._key, hashes.SHA256())

    def _write(self, name: str, certificate: x509.Certificate) -> str:
        path = self._directory / name
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return str(path)


@pytest.fixture
def make_authority(tmp_path: Path) -> Callable[[str], Authority]:
    """Make an authority by name."""
    return lambda name: Authority(tmp_path, name)


@pytest.fixture
def authority(make_authority: Callable[[str], Authority]) -> Authority:
    """The authority that both sides trust."""
    return make_authority("authority")
