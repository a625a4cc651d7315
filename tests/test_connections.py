"""Connections end only while nothing is read from them and no request of them runs."""

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from aiohttp import web

from caperridge.connections import Connections

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
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)

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
        return await self.connections.end_all(self.server, until)

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
    await server.connections.end_idle(server.server)
    ending = asyncio.ensure_future(server.end_all())
    try:
        answer = await read_all(reader)
    except ConnectionResetError:
        answer = b""
    assert await ending == 0
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
