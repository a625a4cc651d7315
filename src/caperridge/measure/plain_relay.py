"""A relay that passes bytes on unread: the least that asyncio takes for a read.

Neither HTTP nor a check is in it, so it bounds what the real path can reach.
"""

import asyncio


class _Towards(asyncio.Protocol):
    """The connection to the engine."""

    def __init__(self, caller: asyncio.WriteTransport) -> None:
        self._caller = caller

    def data_received(self, data: bytes) -> None:
        self._caller.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._caller.close()


class _Caller(asyncio.Protocol):
    """The connection of a caller; its request must fit one read."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._tasks: set[asyncio.Task[None]] = set()
        self._transport: asyncio.WriteTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        task = asyncio.get_running_loop().create_task(self._pass_on(data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pass_on(self, data: bytes) -> None:
        transport, _ = await asyncio.get_running_loop().create_connection(
            lambda: _Towards(self._transport), self._host, self._port
        )
        transport.write(data)


async def start_plain_relay(engine_address: str) -> tuple[asyncio.Server, str]:
    """Relay to the engine from a port of the system; return server and address."""
    host, _, port = engine_address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Caller(host, int(port)), "127.0.0.1", 0)
    own_host, own_port = server.sockets[0].getsockname()[:2]
    return server, f"{own_host}:{own_port}"
