"""Connections are counted, bounded in time and closable before their TLS handshake."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web
from prometheus_client import CollectorRegistry

from caperridge.door import SocketListener
from caperridge.listening.accepting import http_protocols
from caperridge.listening.guard import ConnectionGuard, Listening
from caperridge.listening.limits import ConnectionSettings
from caperridge.listening.memory import TLS_CONNECTION_BYTES
from caperridge.machine import Machine
from caperridge.tls import client_context, server_context
from conftest import until
from loop_clock import LoopClock
from product.conftest import Authority

HEAD_S = 20.0
MACHINE = Machine(2**30, 64)


class Listener:
    """A listener with TLS that answers every request.

    Attributes:
        guard: of its connections.
    """

    def __init__(self) -> None:
        settings = ConnectionSettings(head_s=HEAD_S)
        self.guard = ConnectionGuard(MACHINE, settings, CollectorRegistry())
        self._listening = Listening("callers", settings.limits)
        application = web.Application()
        application.router.add_get("/", lambda _: _answer())
        self._runner = web.AppRunner(application)
        self.address = ("", 0)

    async def start(self, authority: Authority) -> None:
        await self._runner.setup()
        context = server_context(authority.issue("server"))
        self._door = await SocketListener.open(
            http_protocols(self._runner.server, self.guard, self._listening, context),
            "127.0.0.1",
            0,
        )
        self.address = self._door.address

    async def stop(self) -> None:
        await self._door.close()
        await self._runner.cleanup()
        self.guard.close()

    @property
    def open(self) -> int:
        """Number of connections that the guard knows."""
        return self.guard.state()["open"]


async def _answer() -> web.Response:
    return web.Response(text="here")


@pytest.fixture
async def listener(authority: Authority) -> AsyncIterator[Listener]:
    made = Listener()
    await made.start(authority)
    yield made
    await made.stop()


async def test_a_connection_is_counted_before_its_handshake(listener: Listener) -> None:
    """Guards against descriptors that nothing bounds."""
    _, writer = await asyncio.open_connection(*listener.address)
    await until(lambda: listener.open == 1)
    assert listener.guard.memory.held_bytes == TLS_CONNECTION_BYTES
    writer.close()
    await until(lambda: listener.open == 0)
    assert listener.guard.memory.held_bytes == 0


async def test_a_handshake_that_takes_too_long_is_ended(listener: Listener) -> None:
    reader, writer = await asyncio.open_connection(*listener.address)
    await until(lambda: listener.open == 1)
    await LoopClock().ahead(HEAD_S + 1.0)
    assert await reader.read() == b""
    await until(lambda: listener.open == 0)
    writer.close()


async def test_one_that_only_connects_gives_way_to_a_caller(
    listener: Listener, authority: Authority
) -> None:
    """Guards against callers that find every place taken by strangers."""
    silent = []
    for _ in range(listener.guard.max_connections):
        silent.append(await asyncio.open_connection(*listener.address))
    await until(lambda: listener.open == listener.guard.max_connections)
    host, port = listener.address
    tls = client_context(authority.file)
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"https://{host}:{port}/", ssl=tls) as response,
    ):
        assert await response.text() == "here"
        assert listener.open == listener.guard.max_connections
    reader, _ = silent[0]
    assert await reader.read() == b""
    for _, writer in silent:
        writer.close()


async def test_a_handshake_is_counted_once_when_it_is_complete(
    listener: Listener, authority: Authority
) -> None:
    host, port = listener.address
    tls = client_context(authority.file)
    async with aiohttp.ClientSession() as session:
        for _ in range(2):
            async with session.get(f"https://{host}:{port}/", ssl=tls) as response:
                assert response.status == 200
            assert listener.open == 1
            assert listener.guard.memory.held_bytes == TLS_CONNECTION_BYTES
    await until(lambda: listener.open == 0)
    assert listener.guard.memory.held_bytes == 0


async def test_what_is_no_handshake_is_closed_and_forgotten(listener: Listener) -> None:
    reader, writer = await asyncio.open_connection(*listener.address)
    writer.write(b"GET / HTTP/1.1\r\nHost: here\r\n\r\n")
    await reader.read()
    await until(lambda: listener.open == 0)
    writer.close()
