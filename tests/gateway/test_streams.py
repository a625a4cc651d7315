"""Streams between instances."""

import asyncio
import socket

from caperridge.gateway.mesh.messages import Hello
from caperridge.gateway.mesh.streams import UNACKNOWLEDGED_MS, OutStream
from gateway.conftest import until


async def test_a_stream_that_went_silent_ends_by_itself() -> None:
    """Loopback loses nothing, so what the system was asked to do is looked at."""
    server = await asyncio.get_running_loop().create_server(
        asyncio.Protocol, "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    stream = OutStream(f"{host}:{port}", lambda: Hello("e", "e.1", "a", "e:1", []))
    running = asyncio.ensure_future(stream.run_once())
    await until(lambda: stream.connected)
    connection = stream._transport.get_extra_info("socket")
    limit_ms = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert limit_ms == UNACKNOWLEDGED_MS
    running.cancel()
    server.close()
