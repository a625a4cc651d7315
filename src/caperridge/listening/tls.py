"""Connections until their TLS handshake is complete.

The event loop's servers show a connection with TLS only after its handshake. Here it
is accepted without TLS, so that it is counted, can be closed to make room, and is
bounded in time like any other one.
"""

import asyncio
import socket
import ssl
from asyncio import sslproto
from collections.abc import Callable

from caperridge.listening.guard import (
    READ_BYTES,
    Client,
    ConnectionGuard,
    Listening,
    Newcomer,
)
from caperridge.listening.memory import TLS_CONNECTION_BYTES

ProtocolFactory = Callable[[Client | None], asyncio.BaseProtocol]

# How long a client may take to confirm that its connection is closed.
SHUTDOWN_TIMEOUT_S = 1.0
# asyncio makes a buffer of 256 KiB for each connection and has no setting for it.
sslproto.SSLProtocol.max_size = READ_BYTES


class TlsGreeting(asyncio.Protocol, Newcomer):
    """A new connection that begins its TLS handshake.

    Args:
        protocols: factory of the protocols of connections after the handshake; each is
            given this client, in whose place it is counted.
        context: of the listener.
        guard: of all connections of the process.
        listening: listener that accepted it.
    """

    def __init__(
        self,
        protocols: ProtocolFactory,
        context: ssl.SSLContext,
        guard: ConnectionGuard,
        listening: Listening,
    ) -> None:
        Newcomer.__init__(self, listening, TLS_CONNECTION_BYTES)
        self._protocols = protocols
        self._context = context
        self._guard = guard
        self._handshake: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self.peer = (transport.get_extra_info("peername") or ("",))[0]
        if self._guard.add(self):
            self._guard.memory.set_revocable(self, True)
            self._begin(transport)
        transport.abort()

    def _begin(self, transport: asyncio.Transport) -> None:
        """Begin the handshake on a transport of its own, with the same connection."""
        try:
            accepted = transport.get_extra_info("socket").dup()
        except OSError:
            self._guard.count_closed(self, "no descriptor is left")
            self._guard.remove(self)
            return
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        self._handshake = loop.create_task(self._shake_hands(accepted))

    async def _shake_hands(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: self._protocols(self),
                accepted,
                ssl=self._context,
                ssl_handshake_timeout=self.listening.limits().header_s,
                ssl_shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            )
        except OSError:
            self._guard.count_closed(self, "its TLS handshake failed")
        finally:
            self._guard.remove(self)

    # What the guard of all connections asks.

    def revoke(self) -> None:
        """See :meth:`Holder.revoke`."""
        self._cancel("others need its memory")

    def make_room(self) -> None:
        """See :meth:`Client.make_room`."""
        self._cancel("others need its connection")

    def _cancel(self, reason: str) -> None:
        self._guard.count_closed(self, reason)
        if self._handshake is not None:
            self._handshake.cancel()
