"""The proxy: what a connection through it may look like."""

import asyncio

import pytest

from soak.proxy import PASS, SILENCE, SILENCE_BACK, FaultProxy


# A target's answer lost an event in its middle and looked whole to the instance: the
# proxy dropped what came while it was silent, and then went on with the connection. No
# network does that; a connection that has lost a piece is silent for good.
@pytest.mark.parametrize("mode", [SILENCE, SILENCE_BACK])
async def test_a_connection_that_lost_a_piece_stays_silent(mode: str) -> None:
    came: asyncio.Queue[bytes] = asyncio.Queue()
    pieces: asyncio.Queue[bytes] = asyncio.Queue()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while piece := await pieces.get():
            writer.write(piece)
            await writer.drain()
        writer.close()

    async def read(reader: asyncio.StreamReader) -> None:
        while piece := await reader.read(100):
            came.put_nowait(piece)
        came.put_nowait(b"")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    proxy = FaultProxy(f"{host}:{port}")
    await proxy.start()
    host, _, port = proxy.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    reading = asyncio.ensure_future(read(reader))
    try:
        pieces.put_nowait(b"one")
        assert await came.get() == b"one"
        proxy.set_mode(mode)
        pieces.put_nowait(b"two")
        await asyncio.sleep(0.1)
        proxy.set_mode(PASS)
        pieces.put_nowait(b"three")
        pieces.put_nowait(b"")
        await asyncio.sleep(0.1)
        assert came.empty()
    finally:
        reading.cancel()
        writer.transport.abort()
        proxy.stop()
        server.close()
