"""Listening sockets that close without dropping an accepted connection.

asyncio accepts a connection in one iteration of the event loop and creates its
transport in the next. If the server is closed in between, the transport is never
created and the connection stays open: it is not read, and the caller gets neither
response nor reset until the process exits.
"""

import asyncio
import ssl
from typing import Any

# Iterations of the event loop from accept to the protocol, with a margin.
ITERATIONS_TO_PROTOCOL = 5


class SocketListener:
    """Accepts connections at one address.

    Args:
        server: server of asyncio.
    """

    def __init__(self, server: asyncio.Server) -> None:
        self._server = server

    @classmethod
    async def open(
        cls,
        protocols: Any,
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
        backlog: int = 128,
    ) -> "SocketListener":
        """Start listening.

        Args:
            protocols: factory that creates the protocol of each connection.
            host: address to listen on.
            port: TCP port; 0 for any free one.
            tls: TLS context of the connections; None for no TLS.
            backlog: maximum number of connections queued for accept.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            protocols, host, port, ssl=tls, backlog=backlog, reuse_address=True
        )
        return cls(server)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the first socket."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def close(self) -> None:
        """Stop accepting; close after each accepted connection has its protocol."""
        loop = asyncio.get_running_loop()
        for listening_socket in self._server.sockets:
            loop.remove_reader(listening_socket)
        for _ in range(ITERATIONS_TO_PROTOCOL):
            await asyncio.sleep(0)
        self._server.close()
