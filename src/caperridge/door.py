"""Listening sockets that close without forgetting a connection they accepted.

asyncio accepts a connection in one turn of the loop and makes its transport in the
next. If its server closes between the two, the transport is never made and the
connection stays open: nobody reads it, and its caller hears nothing until the process
ends.
"""

import asyncio
import ssl
from typing import Any

# Turns of the loop from accepting a connection to its protocol; the rest are spare.
TURNS_TO_PROTOCOL = 5


class Door:
    """Takes connections at one address for a server.

    Args:
        listening: asyncio's server.
    """

    def __init__(self, listening: asyncio.Server) -> None:
        self._listening = listening

    @classmethod
    async def open(
        cls,
        protocols: Any,
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
        backlog: int = 128,
    ) -> "Door":
        """Begin to listen.

        Args:
            protocols: makes the protocol of each connection.
            host: address to listen on.
            port: of TCP; 0 for any.
            tls: of connections; None for none.
            backlog: connections that may wait to be accepted.
        """
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(
            protocols, host, port, ssl=tls, backlog=backlog, reuse_address=True
        )
        return cls(listening)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of its first socket."""
        host, port = self._listening.sockets[0].getsockname()[:2]
        return host, port

    async def close(self) -> None:
        """Accept no more, and close once what was accepted has its protocol."""
        loop = asyncio.get_running_loop()
        for accepting in self._listening.sockets:
            loop.remove_reader(accepting)
        for _ in range(TURNS_TO_PROTOCOL):
            await asyncio.sleep(0)
        self._listening.close()
