"""Opening streams: as a dialer or as a listener, with TLS if there are files for it."""

import asyncio
import ssl
from collections.abc import Callable

from caperridge.log import logger
from caperridge.peers import handshake
from caperridge.peers.messages import Hello
from caperridge.peers.stream import PeerStream
from caperridge.records import Record
from caperridge.settings import Address
from caperridge.tls import TlsFiles, peer_context

log = logger(__name__)
CONNECT_S = 3.0
HANDSHAKE_S = 3.0
MOST_HANDSHAKES = 64
READ_AHEAD_BYTES = 64 * 2**10

Received = Callable[[PeerStream, Record], None]


class Connector:
    """Opens streams on behalf of one instance.

    Args:
        secret: shared by all instances.
        tls: files for both directions; None for no TLS.
        own_to: the own hello to the instance of that id (empty: not known).
        received: told of each message of each stream.
        opened: told of each stream that a peer has opened here.
    """

    def __init__(
        self,
        secret: str,
        tls: TlsFiles | None,
        own_to: Callable[[str], Hello],
        received: Received,
        opened: Callable[[PeerStream], None],
    ) -> None:
        self.refused = 0
        self._secret = secret
        self._tls = tls
        self._own_to = own_to
        self._received = received
        self._opened = opened
        self._handshakes = 0
        self._server: asyncio.Server | None = None

    async def open(self, at: Address) -> Address:
        """Listen; return where."""
        context = self._context(ssl.Purpose.CLIENT_AUTH)
        self._server = await asyncio.start_server(
            self._accept, at.host, at.port, ssl=context, limit=READ_AHEAD_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def close(self) -> None:
        """Stop listening; streams that are open stay."""
        if self._server is not None:
            self._server.close()

    async def dial(self, to: Address, instance: str = "") -> PeerStream:
        """Return a stream to the instance that listens there.

        Args:
            to: its listener for peers.
            instance: whom to expect; empty for anyone.

        Raises:
            OSError: it was not reached, in time.
            HandshakeError: it did not prove itself, or is another one.
        """
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(
                to.host,
                to.port,
                ssl=self._context(ssl.Purpose.SERVER_AUTH),
                limit=READ_AHEAD_BYTES,
            )
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                own = self._own_to(instance)
                said = await handshake.dial(reader, writer, own, self._secret)
            if instance and said.instance != instance:
                raise handshake.HandshakeError(f"{said.instance} answered")
        except asyncio.IncompleteReadError as error:
            writer.close()
            raise handshake.HandshakeError("it hung up on the hello") from error
        except BaseException:
            writer.close()
            raise
        return PeerStream(reader, writer, said, True, self._received, own.instance)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._handshakes >= MOST_HANDSHAKES:
            writer.close()
            return
        self._handshakes += 1
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                said = await handshake.listen(
                    reader, writer, self._own_to, self._secret
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
        own = self._own_to(said.instance).instance
        self._opened(PeerStream(reader, writer, said, False, self._received, own))

    def _context(self, purpose: ssl.Purpose) -> ssl.SSLContext | None:
        return None if self._tls is None else peer_context(self._tls, purpose)
