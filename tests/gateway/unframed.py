"""Answers with neither a length nor chunks, and connections that are reset."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Mapping

from aiohttp import web


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection; without this option closing it looks like its end."""
    connection = transport.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):  # it may be closed already
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


class UnframedResponse:
    """Stands in for the response of the HTTP library, which would send chunks.

    Args:
        status: HTTP status.
        headers: to send.
    """

    def __init__(self, status: int, headers: Mapping[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} As Said", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        self._transport: asyncio.Transport | None = None

    async def prepare(self, request: web.Request) -> None:
        """Send the head."""
        self._transport = request.transport
        await self.write(self._head)

    async def write(self, data: bytes) -> None:
        """Send more of the body."""
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("its connection is closed")
        self._transport.write(data)

    async def write_eof(self) -> None:
        """End the body, which ends the connection."""
        if self._transport is not None:
            self._transport.close()
