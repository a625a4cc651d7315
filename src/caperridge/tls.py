"""TLS contexts of the listeners and of the clients that connect to them."""

import ssl

from caperridge.records import Record


class TlsFiles(Record):
    """PEM files of one listener.

    Attributes:
        certificate: the own certificate, with its chain.
        key: of that certificate.
        authority: certificates that the other side's must be signed by; with it a
            listener asks every client for a certificate.
    """

    __slots__ = ("authority", "certificate", "key")

    def __init__(self, certificate: str, key: str, authority: str = "") -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context of a listener.

    Raises:
        OSError: a file cannot be read, or is no PEM file that fits the other.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key)
    if files.authority:
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(files.authority)
    return context


def client_context(authority: str = "") -> ssl.SSLContext:
    """Return the context of a client that checks whom it speaks to.

    Args:
        authority: file of the certificates to trust; empty for the system's.

    Raises:
        OSError: the file cannot be read, or holds no certificate.
    """
    context = ssl.create_default_context(cafile=authority or None)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def peer_context(files: TlsFiles, purpose: ssl.Purpose) -> ssl.SSLContext:
    """Return the context of one end of a stream between instances.

    Both ends show a certificate, signed by the authority if there is one, else the
    very one that all share. Names are not compared: peers are known by address, and
    addresses change with each replacement. The shared secret proves the rest.

    Args:
        files: of this instance.
        purpose: ``SERVER_AUTH`` where it connects, ``CLIENT_AUTH`` where it listens.

    Raises:
        OSError: a file cannot be read, or is no PEM file that fits the other.
    """
    authority = files.authority or files.certificate
    context = ssl.create_default_context(purpose, cafile=authority)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
