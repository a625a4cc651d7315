"""Requests that are not read in one piece, or not wholly answered, when all end."""

import asyncio
import socket

import pytest
import pytest_asyncio
from aiohttp import web

from caperridge.connections import Connections
from loop_clock import turns as iterations

EXPECTING = b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
EXPECTING += b"Expect: 100-continue\r\n\r\n"
REFUSED = b"POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
ECHOED = REFUSED.replace(b"refused", b"echo") + b"body"
GET = b"GET /%s HTTP/1.1\r\nHost: x\r\n\r\n"
BIG_BYTES = 4_000_000


class Server:
    """Serves some odd answers."""

    def __init__(self) -> None:
        application = web.Application()
        application.router.add_post("/echo", self._echo)
        application.router.add_post("/refused", self._refused)
        application.router.add_post("/raised", self._raised)
        application.router.add_get("/big", self._big)
        application.router.add_get("/broken", self._broken)
        self.begun = 0
        self.connections = Connections(application)
        self.runner = web.AppRunner(
            application,
            handler_cancellation=True,
            lingering_time=0.0,
            shutdown_timeout=0.1,
        )

    async def start(self) -> None:
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.runner.addresses[0])

    async def end_all(self, within_s: float = 5.0) -> int:
        assert self.runner.server is not None
        until = asyncio.get_running_loop().time() + within_s
        return await self.connections.close_all(self.runner.server, until)

    async def end_idle(self) -> None:
        assert self.runner.server is not None
        await self.connections.close_idle(self.runner.server)

    async def _echo(self, request: web.Request) -> web.Response:
        self.begun += 1
        return web.Response(body=await request.read())

    async def _refused(self, _: web.Request) -> web.Response:
        self.begun += 1
        return web.Response(status=503)

    async def _raised(self, _: web.Request) -> web.Response:
        self.begun += 1
        raise web.HTTPServiceUnavailable

    async def _big(self, _: web.Request) -> web.Response:
        self.begun += 1
        return web.Response(body=b"b" * BIG_BYTES)

    async def _broken(self, _: web.Request) -> web.Response:
        self.begun += 1
        raise RuntimeError("broken")


@pytest_asyncio.fixture
async def server():
    made = Server()
    await made.start()
    yield made
    await made.runner.cleanup()


async def all_of(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return what came, and whether the connection was reset."""
    got = b""
    async with asyncio.timeout(5):
        try:
            while piece := await reader.read(65536):
                got += piece
        except ConnectionResetError:
            return got, True
    return got, False


@pytest.mark.parametrize("turns", range(8))
async def test_a_caller_that_was_told_to_continue_is_answered(
    server: Server, turns: int
) -> None:
    reader, writer = await server.connect()
    await asyncio.sleep(0.05)
    writer.write(EXPECTING)
    for _ in range(turns):
        await asyncio.sleep(0)
    ending = asyncio.ensure_future(server.end_all())
    await server.end_idle()
    try:
        line = await reader.readline()
    except ConnectionResetError:
        assert server.begun == 0
        await ending
        return
    assert b"100 Continue" in line
    writer.write(b"body")
    got, _ = await all_of(reader)
    assert got.endswith(b"body")
    assert await ending == 0


@pytest.mark.parametrize("path", [b"big", b"broken"])
@pytest.mark.parametrize("turns", range(12))
async def test_an_answer_that_has_begun_comes_whole(
    server: Server, path: bytes, turns: int
) -> None:
    """Also one that the library makes of an error, and one larger than all buffers."""
    reader, writer = await server.connect()
    await asyncio.sleep(0.05)
    writer.write(GET % path)
    for _ in range(turns):
        await asyncio.sleep(0)
    await server.end_idle()
    ending = asyncio.ensure_future(server.end_all())
    got, was_reset = await all_of(reader)
    assert await ending == 0
    assert was_reset == (server.begun == 0)
    if was_reset:
        return
    head, _, body = got.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    assert len(body) == length


@pytest.mark.parametrize("turns", range(8))
async def test_half_a_head_reaches_nobody(server: Server, turns: int) -> None:
    reader, writer = await server.connect()
    writer.write(EXPECTING[:30])
    for _ in range(turns):
        await asyncio.sleep(0)
    ending = asyncio.ensure_future(server.end_all())
    got, _ = await all_of(reader)
    assert got == b""
    assert await ending == 0
    assert server.begun == 0
    writer.close()


@pytest.mark.parametrize("path", [b"refused", b"raised"])
async def test_an_answer_given_before_its_body_had_come_is_not_reset(
    server: Server, path: bytes
) -> None:
    """Guards against refusals that a stop resets while their caller still sends.

    The connection counted as idle once the answer was written, and was closed. A caller
    that reads only after it has sent all of its body saw a reset instead of the answer.
    """
    loop = asyncio.get_running_loop()
    caller = socket.create_connection(server.runner.addresses[0])
    caller.setblocking(False)
    await loop.sock_sendall(caller, REFUSED.replace(b"refused", path) + b"bo")
    async with asyncio.timeout(5):
        while server.begun == 0:
            await asyncio.sleep(0)
    for _ in range(3):
        await server.end_idle()
    ending = asyncio.ensure_future(server.end_all())
    for piece in (b"d", b"y"):
        await loop.sock_sendall(caller, piece)
        await iterations()
    got = b""
    async with asyncio.timeout(5):
        while piece := await loop.sock_recv(caller, 65536):
            got += piece
    assert b"503 Service Unavailable" in got
    assert await ending == 0
    caller.close()


async def test_a_refused_body_that_never_ends_does_not_hold_a_stop(
    server: Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("caperridge.connections.LINGER_S", 0.01)
    reader, writer = await server.connect()
    writer.write(REFUSED + b"bo")
    ending = asyncio.ensure_future(server.end_all())
    got, _ = await all_of(reader)
    assert b"503 Service Unavailable" in got
    assert await ending == 0
    writer.close()


@pytest.mark.parametrize("turns", range(10))
async def test_a_request_behind_a_refused_body_is_answered(
    server: Server, turns: int
) -> None:
    """Guards against requests that are read and cut behind an early answer.

    The library discards the rest of a body that a handler did not read, and resumes
    reading for each part of it. So a connection that had been paused, to be closed a
    few iterations later, was read.
    """
    await server.end_idle()  # from now on what becomes idle is paused
    reader, writer = await server.connect()
    writer.write(REFUSED + b"bo")
    async with asyncio.timeout(5):
        while server.begun == 0:
            await asyncio.sleep(0)
    closing = asyncio.ensure_future(server.end_idle())
    await iterations(turns)
    writer.write(b"dy" + ECHOED)
    await closing
    ending = asyncio.ensure_future(server.end_all())
    got, was_reset = await all_of(reader)
    assert await ending == 0
    assert not was_reset
    assert got.count(b"HTTP/1.1 ") == server.begun == 2
