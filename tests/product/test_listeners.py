"""Listeners of an instance end without swallowing what they have read."""

import asyncio
import socket

import pytest
from aiohttp import web
from prometheus_client import CollectorRegistry

from caperridge.instance.listeners import Listeners
from caperridge.listening.guard import ConnectionGuard
from caperridge.listening.limits import ConnectionSettings
from caperridge.machine import machine_from
from caperridge.settings import Address

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
BODY = b"whole"


@pytest.mark.parametrize("turns", range(8))
async def test_a_connection_made_when_listeners_close_is_answered_or_reset(
    turns: int,
) -> None:
    """A caller whom listeners let in is not left alone by them.

    Found by closing them at each turn of the loop after a connection was requested.

    Cause: asyncio accepts a connection in one turn and makes its transport in the next;
    when the listener is closed in between, the connection stays open, and is not read.

    Proved by: at one turn the call below gets neither an answer nor a reset.
    """
    go = asyncio.Event()
    begun = 0

    async def answer(_: web.Request) -> web.Response:
        nonlocal begun
        begun += 1
        await go.wait()
        return web.Response(body=BODY)

    application = web.Application()
    application.router.add_get("/", answer)
    settings = ConnectionSettings()
    guard = ConnectionGuard(machine_from({}), settings, CollectorRegistry())
    listeners = Listeners(guard, settings.limits)
    await listeners.open("operators", application, Address("127.0.0.1", 0), None)
    at = listeners.addresses_by_name["operators"]
    running, writing = await asyncio.open_connection(at.host, at.port)
    writing.write(REQUEST)
    async with asyncio.timeout(5):
        while not begun:
            await asyncio.sleep(0)
    late = socket.create_connection((at.host, at.port))
    late.sendall(REQUEST)
    late.setblocking(False)
    for _ in range(turns):
        await asyncio.sleep(0)
    closing = asyncio.ensure_future(listeners.close())
    loop = asyncio.get_running_loop()
    loop.call_later(0.1, go.set)
    got = b""
    was_reset = False
    try:
        async with asyncio.timeout(5):
            while data := await loop.sock_recv(late, 65536):
                got += data
    except ConnectionError:
        was_reset = True
    await closing
    assert was_reset != got.endswith(BODY)
    assert BODY in await running.read()
    late.close()
    writing.close()
