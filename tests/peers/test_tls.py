"""Streams between peers under mutual TLS."""

import datetime
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from caperridge.settings import TlsFiles
from conftest import until
from peers.conftest import Mesh


def make_files(directory: Path, name: str) -> TlsFiles:
    """Write a key and a self-signed certificate."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    certificate_file = directory / f"{name}.pem"
    key_file = directory / f"{name}.key"
    certificate_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return TlsFiles(str(certificate_file), str(key_file))


async def test_peers_connect_under_tls(mesh: Mesh, tmp_path: Path) -> None:
    files = make_files(tmp_path, "fleet")
    first = await mesh.start("entry-1", tls=files)
    await mesh.start("entry-2", tls=files)
    await until(lambda: first.peers.connected() == ["entry-2"])


@pytest.mark.parametrize("own", [True, False])
async def test_another_certificate_or_none_is_refused(
    mesh: Mesh, tmp_path: Path, own: bool
) -> None:
    first = await mesh.start("entry-1", tls=make_files(tmp_path, "fleet"))
    stranger = make_files(tmp_path, "stranger") if own else None
    second = await mesh.start("entry-2", tls=stranger)
    await until(lambda: first.state()["peers"]["failed_dials"] >= 2)
    assert first.peers.connected() == second.peers.connected() == []
