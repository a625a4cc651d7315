"""Listening sockets that close without dropping an accepted connection.

asyncio accepts a connection in one iteration of the event loop and creates its
transport in the next. If the server is closed in between, the transport is never
created and the connection stays open: it is not read, and the caller gets neither
response nor reset until the process exits.
"""

import asyncio
import contextlib
import socket
from typing import Any

# Iterations of the event loop from accept to the protocol, with a margin.
ITERATIONS_TO_PROTOCOL = 5
# asyncio accepts up to a backlog of connections before one of them has its protocol.
ACCEPTED_AT_ONCE = 4
# What the kernel keeps of a connection that is not read; it doubles the value.
RECEIVE_BUFFER_BYTES = 32 * 2**10


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
        backlog: int = 128,
    ) -> "SocketListener":
        """Start listening.

        Args:
            protocols: factory that creates the protocol of each connection.
            host: address to listen on.
            port: TCP port; 0 for any free one.
            backlog: maximum number of connections queued for accept.
        """
        server = await listen(protocols, host, port, backlog, RECEIVE_BUFFER_BYTES)
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


async def listen(
    protocols: Any,
    host: str,
    port: int,
    backlog: int,
    receive_buffer_bytes: int = 0,
) -> asyncio.Server:
    """Start listening; connections are accepted a few at a time.

    Args:
        protocols: factory that creates the protocol of each connection.
        host: address to listen on.
        port: TCP port; 0 for any free one.
        backlog: maximum number of connections queued for accept.
        receive_buffer_bytes: of each connection in the kernel; 0 for its default.
    """
    server = await asyncio.get_running_loop().create_server(
        protocols,
        host,
        port,
        backlog=min(backlog, ACCEPTED_AT_ONCE),
        reuse_address=True,
    )
    for listening_socket in server.sockets:
        copy = socket.socket(fileno=listening_socket.dup().detach())
        with copy:
            if receive_buffer_bytes:
                _set_receive_buffer(copy, receive_buffer_bytes)
            copy.listen(backlog)
    return server


def _set_receive_buffer(listening_socket: socket.socket, size: int) -> None:
    """Bound what the kernel keeps of accepted connections, if it offers that."""
    with contextlib.suppress(OSError):
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
