"""A raw server on loopback that counts connections, requests and bytes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawServer:
    """Runs one script for each connection and counts what arrived."""

    def __init__(self) -> None:
        self.address = ""
        self.connections = 0
        self.heads: list[bytes] = []
        self._script: Script

    async def serve(self, script: Script) -> asyncio.Server:
        self._script = script
        server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return server

    async def head(self, reader: asyncio.StreamReader) -> bytes:
        """Read and count the head of one request."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        return head

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await self._script(reader, writer)
        writer.close()


@pytest.fixture
async def raw() -> AsyncIterator[Callable[[Script], Awaitable[RawServer]]]:
    """Return a function that serves a script and returns its counting server."""
    servers: list[asyncio.Server] = []

    async def start(script: Script) -> RawServer:
        server = RawServer()
        servers.append(await server.serve(script))
        return server

    yield start
    for server in servers:
        server.close()
