"""TLS contexts of listeners, clients and streams between instances."""

import ssl

from caperridge.records import Record


class TlsFiles(Record):
    """PEM files of one listener.

    Attributes:
        certificate: certificate of this instance, with its chain.
        key: private key of that certificate.
        authority: certificates of the authorities that must have signed those of the
            other side; if set, a listener requires client certificates.
    """

    __slots__ = ("authority", "certificate", "key")

    def __init__(self, certificate: str, key: str, authority: str = "") -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context of a listener.

    Raises:
        OSError: a file cannot be read, is not a PEM file, or the key does not match.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key)
    if files.authority:
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(files.authority)
    return context


def client_context(authority: str = "") -> ssl.SSLContext:
    """Return the context of a client that verifies the server.

    Args:
        authority: file with the trusted certificates; empty for those of the system.

    Raises:
        OSError: the file cannot be read, or contains no certificate.
    """
    context = ssl.create_default_context(cafile=authority or None)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def peer_context(files: TlsFiles, purpose: ssl.Purpose) -> ssl.SSLContext:
    """Return the context of one end of a stream between instances.

    Both ends present a certificate: one signed by the authority if there is one, else
    the same certificate on all instances. Host names are not verified, as peers are
    known by address, and addresses change when an instance is replaced. Identity is
    proven by the shared secret.

    Args:
        files: files of this instance.
        purpose: ``SERVER_AUTH`` to connect, ``CLIENT_AUTH`` to listen.

    Raises:
        OSError: a file cannot be read, is not a PEM file, or the key does not match.
    """
    authority = files.authority or files.certificate
    context = ssl.create_default_context(purpose, cafile=authority)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
