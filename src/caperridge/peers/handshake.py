"""Mutual challenge-response authentication of a stream with a shared secret.

The dialer sends a hello with a nonce; the listener answers with a nonce of its own and
a proof; the dialer repeats its hello with its proof. A proof is an HMAC over the role
and both hellos, which prevents replay and reflection. The messages after the handshake
are protected only if TLS is enabled.
"""

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Callable

from caperridge.peers.frames import MAX_HELLO_BYTES, decode, encode
from caperridge.peers.framing import FrameError, MessageError, read_body
from caperridge.peers.messages import Hello
from caperridge.records import pack

NONCE_BYTES = 16
MIN_PROTOCOL = 1
DIALER = "dialer"
LISTENER = "listener"


class HandshakeError(Exception):
    """The other end failed to authenticate, or its protocol is not supported."""


def compute_proof(secret: str, role: str, own: Hello, other: Hello) -> bytes:
    """Return the proof of the end that has ``role`` and sent the hello ``own``."""
    covered = [role, _identity(own), _identity(other)]
    return hmac.new(secret.encode(), pack(covered), hashlib.sha256).digest()


def _identity(hello: Hello) -> list[object]:
    """Return the fields that a proof covers: all that the receiver relies on."""
    return [
        hello.instance,
        hello.availability_zone,
        hello.incarnation,
        hello.nonce,
        hello.protocol,
        hello.port,
        hello.known_incarnation,
    ]


def verify_proof(
    secret: str, role: str, other: Hello, proof: bytes, own: Hello
) -> None:
    """Verify the proof of the end that has ``role`` and sent the hello ``other``.

    Raises:
        HandshakeError: the proof is wrong, the protocol is not supported, the nonce is
            too short, or the other end is this instance.
    """
    if other.protocol < MIN_PROTOCOL:
        raise HandshakeError(f"protocol {other.protocol} is too old")
    if len(other.nonce) < NONCE_BYTES:
        raise HandshakeError("the nonce is too short")
    if other.instance == own.instance and other.incarnation == own.incarnation:
        raise HandshakeError("the other end is this instance itself")
    if not hmac.compare_digest(proof, compute_proof(secret, role, other, own)):
        raise HandshakeError("the proof is wrong: another secret?")


def with_new_nonce(own: Hello) -> Hello:
    """Return ``own`` with a new nonce and without a proof."""
    return own.replace(nonce=secrets.token_bytes(NONCE_BYTES), proof=b"")


async def dial(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own: Hello,
    secret: str,
) -> Hello:
    """Perform the handshake as dialer; return the hello of the listener.

    Raises:
        HandshakeError: the listener failed to authenticate.
    """
    own = with_new_nonce(own)
    writer.write(encode(own))
    other = await _read(reader)
    verify_proof(secret, LISTENER, other, other.proof, own)
    writer.write(encode(own.replace(proof=compute_proof(secret, DIALER, own, other))))
    await writer.drain()
    return other


async def listen(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own_hello_for: Callable[[str], Hello],
    secret: str,
) -> Hello:
    """Perform the handshake as listener; return the hello of the dialer.

    Args:
        reader: reader of the connection.
        writer: writer of the connection.
        own_hello_for: returns this instance's hello to the instance of that id.
        secret: secret that all instances share.

    Raises:
        HandshakeError: the dialer failed to authenticate.
    """
    other = await _read(reader)
    own = with_new_nonce(own_hello_for(other.instance))
    writer.write(encode(own.replace(proof=compute_proof(secret, LISTENER, own, other))))
    await writer.drain()
    final = await _read(reader)
    verify_proof(secret, DIALER, other, final.proof, own)
    return other


async def _read(reader: asyncio.StreamReader) -> Hello:
    try:
        message = decode(await read_body(reader, MAX_HELLO_BYTES))
    except (FrameError, MessageError) as error:
        raise HandshakeError(str(error)) from error
    if not isinstance(message, Hello) or not _has_valid_types(message):
        raise HandshakeError("the stream does not begin with a hello")
    return message


def _has_valid_types(hello: Hello) -> bool:
    texts = (hello.instance, hello.availability_zone, hello.release)
    numbers = (hello.incarnation, hello.protocol, hello.port, hello.known_incarnation)
    byte_strings = (hello.nonce, hello.proof)
    return (
        all(isinstance(text, str) for text in texts)
        and all(isinstance(number, int) for number in numbers)
        and all(isinstance(data, bytes) for data in byte_strings)
    )
