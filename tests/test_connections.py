"""Connections end only while nothing is read from them and no request of them runs."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from aiohttp import web

from caperridge.connections import Connections
from loop_clock import LoopClock, turns

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"


class Server:
    """A server whose answers wait for ``go``; it echoes bodies."""

    def __init__(self) -> None:
        self.go = asyncio.Event()
        self.go.set()
        self.begun = 0
        application = web.Application()
        application.router.add_post("/", self._echo)
        self.connections = Connections(application)
        self.runner = web.AppRunner(
            application, handler_cancellation=True, shutdown_timeout=0.1
        )

    async def start(self) -> None:
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await self.site.start()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.runner.addresses[0])

    @property
    def server(self) -> web.Server:
        assert self.runner.server is not None
        return self.runner.server

    async def end_all(self, within_s: float = 5.0) -> int:
        until = asyncio.get_running_loop().time() + within_s
        return await self.connections.close_all(self.server, until)

    async def _echo(self, request: web.Request) -> web.Response:
        self.begun += 1
        body = await request.read()
        await self.go.wait()
        return web.Response(body=body)


@pytest_asyncio.fixture
async def server() -> AsyncIterator[Server]:
    made = Server()
    await made.start()
    yield made
    made.go.set()
    await made.runner.cleanup()


async def until_begun(server: Server, count: int) -> None:
    async with asyncio.timeout(5):
        while server.begun < count:
            await asyncio.sleep(0.01)


async def read_all(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(5):
        return await reader.read()


async def test_an_idle_connection_is_closed_at_once_beside_a_running_one(
    server: Server,
) -> None:
    idle, _ = await server.connect()
    server.go.clear()
    busy, writer = await server.connect()
    writer.write(HEAD + b"body")
    await until_begun(server, 1)
    ending = asyncio.ensure_future(server.end_all())
    assert await read_all(idle) == b""
    assert not ending.done()
    server.go.set()
    assert (await read_all(busy)).endswith(b"body")
    assert await ending == 0


async def test_a_body_that_is_still_coming_is_read_to_its_end(server: Server) -> None:
    reader, writer = await server.connect()
    writer.write(HEAD + b"bo")
    await until_begun(server, 1)
    ending = asyncio.ensure_future(server.end_all())
    await asyncio.sleep(0.2)
    writer.write(b"dy")
    assert (await read_all(reader)).endswith(b"body")
    assert await ending == 0


@pytest.mark.parametrize("turns", range(8))
async def test_a_request_that_was_read_is_answered(server: Server, turns: int) -> None:
    """Whatever turn of the loop the look for idle connections falls on."""
    reader, writer = await server.connect()
    await asyncio.sleep(0.05)
    writer.write(HEAD + b"body")
    for _ in range(turns):
        await asyncio.sleep(0)
    await server.connections.close_idle(server.server)
    ending = asyncio.ensure_future(server.end_all())
    try:
        answer = await read_all(reader)
        reset = False
    except ConnectionResetError:
        answer = b""
        reset = True
    assert await ending == 0
    # A close resets only where the request was not read.
    assert answer.endswith(b"body") != reset
    assert answer.endswith(b"body") == (server.begun == 1)


async def test_a_connection_kept_by_an_answer_is_closed_after_it(
    server: Server,
) -> None:
    reader, writer = await server.connect()
    server.go.clear()
    writer.write(HEAD + b"body")
    await until_begun(server, 1)
    ending = asyncio.ensure_future(server.end_all())
    await asyncio.sleep(0.1)
    server.go.set()
    answer = await read_all(reader)
    assert answer.endswith(b"body")
    assert await ending == 0


async def test_what_still_runs_at_the_end_is_counted(server: Server) -> None:
    _, writer = await server.connect()
    server.go.clear()
    writer.write(HEAD + b"body")
    await until_begun(server, 1)
    assert await server.end_all(within_s=0.2) == 1


@pytest.mark.parametrize("turns", range(5))
async def test_a_connection_accepted_when_the_door_closes_is_ended_or_answered(
    server: Server, turns: int
) -> None:
    """Nothing is read after the wait for connections has ended without any left."""
    connection = socket.create_connection(server.runner.addresses[0])
    connection.sendall(HEAD + b"body")
    for _ in range(turns):
        await asyncio.sleep(0)
    await server.site.stop()
    assert await server.end_all() == 0
    begun = server.begun
    await asyncio.sleep(0.1)
    assert server.begun == begun
    connection.close()


async def test_every_request_that_was_read_with_others_is_answered(
    server: Server,
) -> None:
    """Quick answers end between two looks at what runs; the next was read, too."""
    reader, writer = await server.connect()
    await asyncio.sleep(0.05)
    writer.write((HEAD + b"body") * 8)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await server.connections.close_idle(server.server)
    assert await server.end_all() == 0
    answers = await read_all(reader)
    assert answers.count(b"200 OK") in (0, 8)


async def test_no_request_is_taken_on_a_connection_after_its_last_answer(
    server: Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Else one that comes near the end of the wait is taken and cut."""
    look_s = 10.0  # so that it comes between the last two looks however slow this is
    monkeypatch.setattr("caperridge.connections.POLL_INTERVAL_S", look_s)
    clock = LoopClock()
    reader, writer = await server.connect()
    server.go.clear()
    writer.write(HEAD + b"body")
    await until_begun(server, 1)
    ending = asyncio.ensure_future(server.end_all(within_s=1.5 * look_s))
    await turns()
    await clock.ahead(1.1 * look_s)
    assert not ending.done()
    server.go.set()
    async with asyncio.timeout(5):
        await reader.readuntil(b"body")
    server.go.clear()
    writer.write(HEAD + b"body")
    await turns()
    await clock.ahead_until(ending.done)
    left = await ending
    assert (server.begun, left) == (1, 0)


async def test_an_answer_given_before_its_body_had_come_reaches_its_caller(
    server: Server,
) -> None:
    reader, writer = await server.connect()
    long = HEAD.replace(b"POST / ", b"POST /none ").replace(b"4", b"400000")
    writer.write(long + b"b" * 200_000)
    await asyncio.sleep(0.05)
    ending = asyncio.ensure_future(server.end_all())
    await asyncio.sleep(0.2)
    with contextlib.suppress(ConnectionError):
        writer.write(b"b" * 200_000)
        await writer.drain()
    assert b"404" in await read_all(reader)
    assert await ending == 0


async def test_an_answer_is_flushed_to_a_slow_reader(server: Server) -> None:
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, server.runner.addresses[0])
    size = 600_000
    head = HEAD.replace(b"4", str(size).encode())
    await loop.sock_sendall(connection, head + b"b" * size)
    await until_begun(server, 1)
    ending = asyncio.ensure_future(server.end_all())
    got = 0
    while True:
        data = await loop.sock_recv(connection, 60_000)
        if not data:
            break
        got += len(data)
        await asyncio.sleep(0.02)
    assert got > size
    assert await ending == 0
    connection.close()
