"""Opens authenticated streams as dialer or listener, with mutual TLS if configured."""

import asyncio
import ssl
from collections.abc import Callable

from caperridge.door import listen
from caperridge.log import logger
from caperridge.peers import handshake
from caperridge.peers.messages import Hello
from caperridge.peers.stream import PeerStream
from caperridge.records import Record
from caperridge.settings import Address
from caperridge.tls import TlsFiles, peer_context

log = logger(__name__)
CONNECT_TIMEOUT_S = 3.0
HANDSHAKE_TIMEOUT_S = 3.0
MAX_HANDSHAKES = 64
BACKLOG = 256
READ_AHEAD_BYTES = 64 * 2**10

MessageHandler = Callable[[PeerStream, Record], None]


class Connector:
    """Dials and accepts the streams of one instance.

    Args:
        secret: secret that all instances share.
        tls: files for both directions; None for no TLS.
        own_hello_for: returns this instance's hello to the instance of that id (empty
            if the id is unknown).
        on_message: called for each message of each stream.
        on_opened: called for each stream that a peer has opened to this instance.
    """

    def __init__(
        self,
        secret: str,
        tls: TlsFiles | None,
        own_hello_for: Callable[[str], Hello],
        on_message: MessageHandler,
        on_opened: Callable[[PeerStream], None],
    ) -> None:
        self.refused = 0
        self._secret = secret
        self._tls = tls
        self._own_hello_for = own_hello_for
        self._on_message = on_message
        self._on_opened = on_opened
        self._handshakes = 0
        self._server: asyncio.Server | None = None

    async def open(self, address: Address) -> Address:
        """Start listening; return the bound address."""
        context = self._context(ssl.Purpose.CLIENT_AUTH)
        self._server = await listen(
            self._protocol, address.host, address.port, BACKLOG, context
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def close(self) -> None:
        """Stop listening; open streams stay open."""
        if self._server is not None:
            self._server.close()

    async def dial(self, address: Address, instance: str = "") -> PeerStream:
        """Open and return a stream to the instance that listens at ``address``.

        Args:
            address: address of the peer listener.
            instance: expected id of the peer; empty to accept any.

        Raises:
            OSError: the connection failed, or it or the handshake timed out.
            HandshakeError: the peer failed to authenticate, or has another id.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                address.host,
                address.port,
                ssl=self._context(ssl.Purpose.SERVER_AUTH),
                limit=READ_AHEAD_BYTES,
            )
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                own = self._own_hello_for(instance)
                peer = await handshake.dial(reader, writer, own, self._secret)
            if instance and peer.instance != instance:
                raise handshake.HandshakeError(f"{peer.instance} answered")
        except asyncio.IncompleteReadError as error:
            writer.close()
            raise handshake.HandshakeError("it hung up on the hello") from error
        except BaseException:
            writer.close()
            raise
        return PeerStream(reader, writer, peer, True, self._on_message, own.instance)

    def _protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection."""
        reader = asyncio.StreamReader(READ_AHEAD_BYTES)
        return asyncio.StreamReaderProtocol(reader, self._accept)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._handshakes >= MAX_HANDSHAKES:
            writer.close()
            return
        self._handshakes += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer = await handshake.listen(
                    reader, writer, self._own_hello_for, self._secret
                )
        except (handshake.HandshakeError, TimeoutError, EOFError, OSError) as error:
            self.refused += 1
            host = (writer.get_extra_info("peername") or ["?"])[0]
            reason = str(error) or type(error).__name__
            log.warning("peer refused", host=host, reason=reason)
            writer.close()
            return
        finally:
            self._handshakes -= 1
        own = self._own_hello_for(peer.instance).instance
        self._on_opened(PeerStream(reader, writer, peer, False, self._on_message, own))

    def _context(self, purpose: ssl.Purpose) -> ssl.SSLContext | None:
        return None if self._tls is None else peer_context(self._tls, purpose)
