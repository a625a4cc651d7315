"""A door closes without forgetting whom it let in."""

import asyncio
import contextlib
import socket

import pytest

from caperridge.door import SocketListener

GREETING = b"hello"


class Greeter(asyncio.Protocol):
    """Greets whoever connects."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.write(GREETING)
        transport.close()


@pytest.mark.parametrize("turns", range(8))
async def test_whoever_connects_when_it_closes_is_served_or_reset(turns: int) -> None:
    """At whatever turn of the loop it closes; asyncio alone forgets a caller at one."""
    loop = asyncio.get_running_loop()
    door = await SocketListener.open(Greeter, "127.0.0.1", 0)
    caller = socket.create_connection(door.address)
    caller.setblocking(False)
    for _ in range(turns):
        await asyncio.sleep(0)
    await door.close()
    async with asyncio.timeout(5):
        with contextlib.suppress(ConnectionResetError):
            assert await loop.sock_recv(caller, 100) == GREETING
    caller.close()


async def test_nobody_is_let_in_once_it_is_closed() -> None:
    door = await SocketListener.open(Greeter, "127.0.0.1", 0)
    address = door.address
    await door.close()
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(*address)
