"""Both ends of a stream prove that they know the shared secret.

The dialer says hello with a nonce; the listener answers with a nonce of its own and a
proof; the dialer says hello again, with its proof. A proof is an HMAC over the role
and both hellos, so that neither a recorded nor a reflected one is of use. What comes
later is protected only where TLS is on.
"""

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Callable

from caperridge.peers.frames import MOST_HELLO_BYTES, decode, encode
from caperridge.peers.framing import FrameError, MessageError, read_body
from caperridge.peers.messages import Hello
from caperridge.records import pack

NONCE_BYTES = 16
OLDEST_PROTOCOL = 1
DIALER = "dialer"
LISTENER = "listener"


class HandshakeError(Exception):
    """The other end proved nothing, or cannot be understood."""


def prove(secret: str, role: str, own: Hello, other: Hello) -> bytes:
    """Return the proof of the end with ``role``, which said ``own``."""
    said = [role, _identity(own), _identity(other)]
    return hmac.new(secret.encode(), pack(said), hashlib.sha256).digest()


def _identity(hello: Hello) -> list[object]:
    """Return what a proof covers: all that the receiver relies on."""
    return [
        hello.instance,
        hello.availability_zone,
        hello.incarnation,
        hello.nonce,
        hello.protocol,
        hello.port,
        hello.known_incarnation,
    ]


def check(secret: str, role: str, said: Hello, proof: bytes, own: Hello) -> None:
    """Check the proof of the other end, which has ``role`` and said ``said``.

    Raises:
        HandshakeError: it does not know the secret, or speaks another protocol.
    """
    if said.protocol < OLDEST_PROTOCOL:
        raise HandshakeError(f"protocol {said.protocol} is too old")
    if len(said.nonce) < NONCE_BYTES:
        raise HandshakeError("the nonce is too short")
    if said.instance == own.instance and said.incarnation == own.incarnation:
        raise HandshakeError("the other end is this instance itself")
    if not hmac.compare_digest(proof, prove(secret, role, said, own)):
        raise HandshakeError("the proof is wrong: another secret?")


def fresh(own: Hello) -> Hello:
    """Return ``own`` with a new nonce and without a proof."""
    return own.replace(nonce=secrets.token_bytes(NONCE_BYTES), proof=b"")


async def dial(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own: Hello,
    secret: str,
) -> Hello:
    """Open a stream as its dialer; return what the listener said.

    Raises:
        HandshakeError: the listener did not prove itself.
    """
    own = fresh(own)
    writer.write(encode(own))
    said = await _read(reader)
    check(secret, LISTENER, said, said.proof, own)
    writer.write(encode(own.replace(proof=prove(secret, DIALER, own, said))))
    await writer.drain()
    return said


async def listen(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own_to: Callable[[str], Hello],
    secret: str,
) -> Hello:
    """Open a stream as its listener; return what the dialer said.

    Args:
        reader: of the connection.
        writer: of the connection.
        own_to: the own hello to the instance of that id.
        secret: shared by all instances.

    Raises:
        HandshakeError: the dialer did not prove itself.
    """
    said = await _read(reader)
    own = fresh(own_to(said.instance))
    writer.write(encode(own.replace(proof=prove(secret, LISTENER, own, said))))
    await writer.drain()
    proven = await _read(reader)
    check(secret, DIALER, said, proven.proof, own)
    return said


async def _read(reader: asyncio.StreamReader) -> Hello:
    try:
        message = decode(await read_body(reader, MOST_HELLO_BYTES))
    except (FrameError, MessageError) as error:
        raise HandshakeError(str(error)) from error
    if not isinstance(message, Hello) or not _plausible(message):
        raise HandshakeError("the stream does not begin with a hello")
    return message


def _plausible(hello: Hello) -> bool:
    texts = (hello.instance, hello.availability_zone, hello.release)
    numbers = (hello.incarnation, hello.protocol, hello.port, hello.known_incarnation)
    blobs = (hello.nonce, hello.proof)
    return (
        all(isinstance(text, str) for text in texts)
        and all(isinstance(number, int) for number in numbers)
        and all(isinstance(blob, bytes) for blob in blobs)
    )
