"""Opens authenticated streams as dialer or listener, with mutual TLS if configured."""

import asyncio
import ssl
from collections.abc import Callable

from caperridge.door import listen
from caperridge.listening.guard import (
    Client,
    ConnectionGuard,
    Listening,
    Newcomer,
)
from caperridge.listening.limits import ConnectionSettings
from caperridge.listening.tls import TlsGreeting
from caperridge.log import logger
from caperridge.peers import handshake
from caperridge.peers.messages import Hello
from caperridge.peers.stream import PeerStream
from caperridge.records import Record
from caperridge.settings import Address, Settings
from caperridge.tls import peer_context

log = logger(__name__)
CONNECT_TIMEOUT_S = 3.0
HANDSHAKE_TIMEOUT_S = 3.0
MAX_HANDSHAKES = 64
BACKLOG = 256
READ_AHEAD_BYTES = 64 * 2**10

STRANGERS = Listening("peers", ConnectionSettings(head_s=HANDSHAKE_TIMEOUT_S).limits)

MessageHandler = Callable[[PeerStream, Record], None]


class Stranger(Newcomer):
    """A connection whose other end has not proved yet that it is a peer.

    Args:
        writer: of the connection.
    """

    __slots__ = ("_writer",)

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        super().__init__(STRANGERS)
        self.peer = (writer.get_extra_info("peername") or ("",))[0]
        self._writer = writer

    def revoke(self) -> None:
        """See :meth:`Holder.revoke`."""
        self._writer.transport.abort()

    def make_room(self) -> None:
        """See :meth:`Client.make_room`."""
        self._writer.transport.abort()


class Connector:
    """Dials and accepts the streams of one instance.

    Args:
        settings: of the instance, with the secret that all share, and files for TLS.
        own_hello_for: returns this instance's hello to the instance of that id (empty
            if the id is unknown).
        on_message: called for each message of each stream.
        on_opened: called for each stream that a peer has opened to this instance.
        guard: of all connections of the process; knows those that are no peers yet.
    """

    def __init__(
        self,
        settings: Settings,
        own_hello_for: Callable[[str], Hello],
        on_message: MessageHandler,
        on_opened: Callable[[PeerStream], None],
        guard: ConnectionGuard,
    ) -> None:
        self.refused = 0
        self._secret = settings.peers_secret
        self._tls = settings.tls_by_listener.get("peers")
        self._own_hello_for = own_hello_for
        self._on_message = on_message
        self._on_opened = on_opened
        self._guard = guard
        self._handshakes = 0
        self._server: asyncio.Server | None = None

    async def open(self, address: Address) -> Address:
        """Start listening; return the bound address."""
        self._server = await listen(
            self._protocols(), address.host, address.port, BACKLOG
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

    def _protocols(self) -> Callable[[], asyncio.BaseProtocol]:
        """Return the factory of the protocols of new connections."""
        context = self._context(ssl.Purpose.CLIENT_AUTH)

        def protocol(greeting: Client | None = None) -> asyncio.BaseProtocol:
            reader = asyncio.StreamReader(READ_AHEAD_BYTES)
            return asyncio.StreamReaderProtocol(reader, self._accept)

        def greeting() -> asyncio.BaseProtocol:
            assert context is not None
            return TlsGreeting(protocol, context, self._guard, STRANGERS)

        return protocol if context is None else greeting

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stranger = Stranger(writer)
        if self._handshakes >= MAX_HANDSHAKES or not self._guard.add(stranger):
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
            self._guard.remove(stranger)
        own = self._own_hello_for(peer.instance).instance
        self._on_opened(PeerStream(reader, writer, peer, False, self._on_message, own))

    def _context(self, purpose: ssl.Purpose) -> ssl.SSLContext | None:
        return None if self._tls is None else peer_context(self._tls, purpose)
